//! Setup shared by the tests.

use lockusher_control_simulation::{Cluster, SimulationOptions};

/// Bound for a new node to become a member, in milliseconds.
pub const CATCH_UP_MS: u64 = 4000;

/// Creates a cluster and runs its first start until all nodes are members of the chain.
pub fn started_cluster(options: SimulationOptions) -> Cluster {
    let mut cluster = Cluster::new(options);
    assert!(
        cluster.run_until_all_members(CATCH_UP_MS).is_some(),
        "first start:\n{}",
        cluster.describe()
    );
    cluster
}
