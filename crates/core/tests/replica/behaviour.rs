//! Behaviour of a cluster over simulated time.

use crate::cluster::Cluster;

// Guards against a cluster that elects no leader or does not commit.
#[test]
fn elects_a_leader_and_commits() {
    let mut cluster = Cluster::open(&[1, 2, 3]);
    let leader = cluster.elect();
    cluster.command(leader, b"a");
    cluster.flush(leader);
    cluster.run(300);
    for node in [1, 2, 3] {
        assert_eq!(cluster.commands(node), [b"a"]);
    }
}
