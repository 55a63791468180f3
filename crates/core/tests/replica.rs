//! Tests of the replicated log.

#[path = "replica/behaviour.rs"]
mod behaviour;
#[path = "replica/cluster.rs"]
mod cluster;
#[path = "replica/model.rs"]
mod model;
#[path = "replica/random.rs"]
mod random;
#[path = "replica/search.rs"]
mod search;
#[path = "replica/specification.rs"]
mod specification;
