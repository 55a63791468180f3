//! Tests of the pool scheduler.

mod placement;
mod preemption;
mod support;
mod tier_rule;
