//! Tests of the pool scheduler.

mod placement;
mod preemption;
mod support;
