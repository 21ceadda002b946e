//! The agent's gossip tasks: one receives messages, one starts exchanges, one fetches configurations from peers.
//!
//! Spawned by [`serve::run`](crate::serve::run). They connect the gossip ([`peers`](crate::peers)) with the rest of the
//! agent: new departures are forwarded to the proxy and to further peers, fetched configurations are handled like those
//! received from the control plane.

use std::rc::Rc;

use crate::forward::forward;
use crate::peers::configuration_fetch::fetch_configuration;
use crate::peers::message::InstanceDeparture;
use crate::state::AgentState;

/// Receives gossip messages. Never returns.
pub async fn receive_from_peers(agent: Rc<AgentState>) {
    let peers = Rc::clone(&agent.peers);
    peers
        .receive(move |departures| receive_departures(&agent, departures))
        .await;
}

fn receive_departures(agent: &AgentState, departures: Vec<InstanceDeparture>) {
    let now_ms = agent.clock.millis();
    for observed in departures {
        let is_new = agent
            .lists
            .borrow_mut()
            .record_peer_departure(now_ms, &observed);
        if is_new {
            agent.peers.update(|gossip| gossip.add_rumor(observed));
        }
    }
    forward(agent);
}

/// Starts gossip exchanges. Never returns.
pub async fn run_gossip(agent: Rc<AgentState>) {
    let peers = Rc::clone(&agent.peers);
    peers.run_gossip(move || agent.is_partitioned()).await;
}

/// Fetches newer configurations that peers have advertised. Never returns.
pub async fn fetch_from_peers(agent: Rc<AgentState>) {
    let peers = &agent.peers;
    loop {
        let seen = peers.received().generation();
        peers.received().changed_since(seen).await;
        let Some(peer) = peers.update(|gossip| gossip.take_due_fetch(agent.clock.millis())) else {
            continue;
        };
        let local = agent
            .subscriber
            .read(|subscriber| subscriber.configuration().cloned());
        let identity = agent.ports.identity(&agent.settings);
        match fetch_configuration(peer, identity, local, agent.clock).await {
            Ok(configuration) => {
                log::info!(
                    "configuration {} fetched from the agent at {peer}",
                    configuration.version
                );
                agent
                    .subscriber
                    .update(|subscriber| subscriber.apply_configuration_if_newer(configuration));
            }
            Err(error) => log::debug!("{error}"),
        }
    }
}
