//! Announces the control nodes to the agents on the seeds' machines, where these run no control node.
//!
//! A settings file names three machines that take operators' calls. Where agents do that too, these may be machines without a
//! control node, and whoever is started with such seeds finds no control node by them. So each control node tells the agents
//! there of the control nodes, and an agent that is asked refers to them. A node that doesn't reach a majority announces nothing
//! but learns from the agents' answers whom to contact: it may be new, or may have moved.
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

/// Time between two announcements; up to a quarter of it is added at random.
const INTERVAL: Duration = Duration::from_secs(1);
/// The same while this node doesn't reach a majority: it will have something to announce soon, or needs to be told.
const INTERVAL_WITHOUT_MAJORITY: Duration = Duration::from_millis(250);

/// Ports of a machine at which its processes are called, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementPorts {
    /// Agents.
    pub agents: u16,
    /// Control nodes, by each other.
    pub replicas: u16,
}

/// Announces for ever.
pub async fn run(
    driver: Rc<ReplicaDriver>,
    own_address: Ipv4Addr,
    ports: AnnouncementPorts,
    mut seed_file: SeedFile,
) {
    loop {
        if let Err(error) = seed_file.refresh() {
            log::debug!("seeds are not read again: {error}");
        }
        let agents = seeds_without_control_node(&driver, own_address, &seed_file)
            .into_iter()
            .map(|ip| SocketAddrV4::new(ip, ports.agents));
        let announcements = agents.map(|agent| announce(&driver, agent, ports.replicas));
        join_all(announcements).await;
        let interval = if driver.read(Replica::is_voter_with_quorum) {
            INTERVAL
        } else {
            INTERVAL_WITHOUT_MAJORITY
        };
        sleep(interval.mul_f64(rand::random_range(1.0..1.25))).await;
    }
}

/// Machines of the seeds of which no control node is known.
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
    let is_current = driver.read(Replica::is_voter_with_quorum);
    let announced = if is_current {
        known_control_nodes(driver)
    } else {
        Vec::new()
    };
    match announce_control_nodes(agent, announced).await {
        Ok(named) if !is_current && !named.is_empty() => {
            let addresses = named
                .iter()
                .map(|node| SocketAddrV4::new(*node.ip(), replica_port))
                .collect();
            log::info!("the agent at {agent} names control nodes: {named:?}");
            driver.dispatch(Event::Introduced { addresses });
        }
        Ok(_) => {}
        Err(error) => log::debug!("announcement to {agent}: {error}"),
    }
}
