//! Announces the control nodes to the agents on those seed machines that run no control node.
//!
//! The seeds in a settings file are three machines that serve operators. Where agents serve operators too, these may be
//! machines without a control node, and a process that starts with such seeds finds no control node at them. Each
//! control node therefore announces the known control nodes to the agents on such machines, which pass them on to
//! processes that contact them. A node without contact to a majority announces nothing, but contacts the control nodes
//! in the agents' responses: it may be new, or may have moved to another address.
//!
//! A task of the control node, started by [`crate::serve`].

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join_all;
use lockusher_config::settings_file::SeedFile;
use lockusher_distribution::subscribe::announce_control_nodes;

use super::replica_driver::ReplicaDriver;
use crate::replica::{Event, Replica};

/// Time between two announcements; a random jitter of up to a quarter is added.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// The same without contact to a majority: either contact is made soon and can be announced, or this node depends on
/// the agents to learn of other control nodes.
const ANNOUNCEMENT_INTERVAL_WITHOUT_MAJORITY: Duration = Duration::from_millis(250);

/// Ports of the processes of a machine, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementPorts {
    /// Port on which agents receive announcements.
    pub agents: u16,
    /// Port on which control nodes receive messages from each other.
    pub replicas: u16,
}

/// Announces the control nodes periodically; never returns.
pub async fn run(
    driver: Rc<ReplicaDriver>,
    own_address: Ipv4Addr,
    ports: AnnouncementPorts,
    mut seed_file: SeedFile,
) {
    loop {
        if let Err(error) = seed_file.refresh() {
            log::debug!("reloading the seeds failed, the former ones stay in use: {error}");
        }
        let agents = seeds_without_control_node(&driver, own_address, &seed_file)
            .into_iter()
            .map(|ip| SocketAddrV4::new(ip, ports.agents));
        let announcements = agents.map(|agent| announce(&driver, agent, ports.replicas));
        join_all(announcements).await;
        let interval = if driver.read(Replica::is_voter_with_quorum) {
            ANNOUNCEMENT_INTERVAL
        } else {
            ANNOUNCEMENT_INTERVAL_WITHOUT_MAJORITY
        };
        sleep(interval.mul_f64(rand::random_range(1.0..1.25))).await;
    }
}

/// Addresses of the seeds at which no control node is known.
fn seeds_without_control_node(
    driver: &ReplicaDriver,
    own_address: Ipv4Addr,
    seed_file: &SeedFile,
) -> Vec<Ipv4Addr> {
    let known = known_control_nodes(driver);
    let is_known = |ip: &Ipv4Addr| known.iter().any(|node| node.ip() == ip);
    let seeds = seed_file.seeds().iter().map(|seed| *seed.ip());
    seeds
        .filter(|ip| *ip != own_address && !is_known(ip))
        .collect()
}

fn known_control_nodes(driver: &ReplicaDriver) -> Vec<SocketAddrV4> {
    driver
        .publisher
        .read(|publisher| publisher.control_nodes().to_vec())
}

async fn announce(driver: &ReplicaDriver, agent: SocketAddrV4, replica_port: u16) {
    let has_majority = driver.read(Replica::is_voter_with_quorum);
    let announced = if has_majority {
        known_control_nodes(driver)
    } else {
        Vec::new()
    };
    match announce_control_nodes(agent, announced).await {
        Ok(reported) if !has_majority && !reported.is_empty() => {
            let addresses = reported
                .iter()
                .map(|node| SocketAddrV4::new(*node.ip(), replica_port))
                .collect();
            log::info!("agent {agent} reported control nodes: {reported:?}");
            driver.dispatch(Event::Introduced { addresses });
        }
        Ok(_) => {}
        Err(error) => log::debug!("announcement to agent {agent} failed: {error}"),
    }
}
