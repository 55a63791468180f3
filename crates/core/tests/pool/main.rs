//! Tests of the pool scheduler.

mod computing;
mod differential;
mod estimates;
mod failover;
mod naive;
mod overtaking;
mod placement;
mod preemption;
mod registry;
mod routing;
mod support;
mod suspects;
mod tier_rule;
