//! Tests of the replicated log.

#[path = "replica/behaviour.rs"]
mod behaviour;
#[path = "replica/cluster.rs"]
mod cluster;
