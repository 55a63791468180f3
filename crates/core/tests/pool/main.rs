//! Tests of the pool scheduler.

mod differential;
mod estimates;
mod failover;
mod naive;
mod placement;
mod preemption;
mod registry;
mod routing;
mod support;
mod suspects;
mod tier_rule;
