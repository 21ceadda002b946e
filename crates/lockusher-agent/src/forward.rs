//! Forwards received state to the proxy, to the control plane and to the gossip.
//!
//! Called after each event that may have changed the state: a message of the control node, an acknowledgement of the
//! proxy, a departure received by gossip, a poll of the platform. Received state is compared with the published state,
//! so that redundant calls have no effect.

use lockusher_distribution::message::DownstreamState;
use lockusher_distribution::publisher::{Publisher, PublisherStatus};
use lockusher_distribution::subscriber::Subscriber;

use crate::state::AgentState;

/// Forwards all state that is newer than what was last forwarded.
pub fn forward(agent: &AgentState) {
    let now_ms = agent.clock.millis();
    forward_control_nodes(agent);
    forward_configuration(agent);
    forward_list(agent, now_ms);
    forward_status(agent, now_ms);
    report_downstream(agent);
    update_gossip(agent);
}

/// Publishes the known control nodes, so that this agent can refer other agents to them. Announcements by control nodes
/// are used only while this agent isn't connected to one.
fn forward_control_nodes(agent: &AgentState) {
    let announced = agent
        .publisher
        .update_no_wake(Publisher::take_announced_control_nodes);
    let is_connected = agent
        .subscriber
        .update_policy(|policy| policy.connected_control_node().is_some());
    if let Some(announced) = announced.filter(|_| !is_connected) {
        agent.subscriber.learn(&announced);
        agent
            .subscriber
            .update_no_wake(|subscriber| subscriber.set_control_nodes(announced));
    }
    let control_nodes = agent
        .subscriber
        .read(|subscriber| subscriber.control_nodes().to_vec());
    let is_published = agent
        .publisher
        .read(|publisher| publisher.control_nodes() == control_nodes);
    if !is_published {
        agent
            .publisher
            .update(|publisher| publisher.set_control_nodes(control_nodes));
    }
}

/// Publishes the newest configuration if it isn't published yet.
fn forward_configuration(agent: &AgentState) {
    let newest = agent
        .subscriber
        .read(|subscriber| subscriber.configuration().cloned());
    let Some(configuration) = newest else { return };
    let published = agent
        .publisher
        .read(|publisher| publisher.newest().configuration_version);
    if configuration.version > published {
        log::info!("publishes configuration {}", configuration.version);
        agent
            .publisher
            .update(|publisher| publisher.publish_configuration(configuration));
    }
}

/// Selects the instance list in force, and publishes it if it has changed.
fn forward_list(agent: &AgentState, now_ms: u64) {
    let mut lists = agent.lists.borrow_mut();
    agent.subscriber.read(|subscriber| {
        if let Some(list) = subscriber.list() {
            lists.receive_control_list(now_ms, list, subscriber.list_confirmed_at_ms());
        }
    });
    lists.receive_proxy_revision(
        now_ms,
        agent.publisher.read(Publisher::highest_applied_revision),
    );
    if let Some(list) = lists.take_update(now_ms) {
        if agent.publisher.read(|publisher| publisher.list().is_none()) {
            let (sequence, searchers) = (list.revision.sequence, list.instances.len());
            log::info!(
                "publishes the first instance list: sequence {sequence}, {searchers} searchers"
            );
        }
        agent
            .publisher
            .update(|publisher| publisher.publish_list(list.revision, list.instances));
    }
}

/// Updates the status that heartbeats to the proxy carry.
fn forward_status(agent: &AgentState, now_ms: u64) {
    let proxies = agent.subscriber.read(Subscriber::proxies);
    let calls_per_poll = agent.subscriber.read(Subscriber::calls_per_poll);
    let mut fleet_size = agent.fleet_size.borrow_mut();
    fleet_size.record(now_ms, proxies);
    let status = PublisherStatus {
        list_confirmed_at_ms: agent.lists.borrow().confirmed_at_ms(),
        calls_per_poll,
        proxies: fleet_size.proxies(),
        in_view: true,
    };
    agent
        .publisher
        .update_no_wake(|publisher| publisher.set_status(status));
}

/// Updates the downstream status that acknowledgements to the control node carry.
fn report_downstream(agent: &AgentState) {
    let downstream = agent.publisher.read(|publisher| {
        // Subscribers with an agent address are peers that fetch a configuration; proxies have none.
        let proxies = publisher
            .subscribers()
            .filter(|subscriber| subscriber.identity.agent_address.is_none());
        let versions = proxies.map(|proxy| proxy.acknowledged.configuration_version);
        let in_force_version = versions.max().unwrap_or_default();
        DownstreamState {
            in_force_version,
            proxies: 1,
            loads: publisher.downstream_loads(),
        }
    });
    agent
        .subscriber
        .update_no_wake(|subscriber| subscriber.set_downstream(downstream));
}

/// Passes the known peers, the configuration version and the observed departures to the gossip.
fn update_gossip(agent: &AgentState) {
    let departures = agent.lists.borrow_mut().take_departures();
    agent.peers.update(|gossip| {
        agent.subscriber.read(|subscriber| {
            gossip.set_bootstrap_peers(subscriber.peers());
            gossip.set_configuration_version(subscriber.applied().configuration_version);
        });
        departures
            .into_iter()
            .for_each(|observed| gossip.add_rumor(observed));
    });
}
