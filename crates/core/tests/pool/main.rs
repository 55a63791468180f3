//! Tests of the pool scheduler.

mod differential;
mod naive;
mod placement;
mod preemption;
mod support;
mod tier_rule;
