//! Fake targets, load program and deployments of real processes, for tests and measurements.

pub mod deployment;
pub mod probe;
pub mod relay;
