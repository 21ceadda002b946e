//! Helpers for tests of replicas: seeds at fixed addresses, their setup, and the content of their effects.
#![allow(dead_code, reason = "each test file uses only a part")]

use std::net::SocketAddrV4;
use std::sync::Arc;

use lockusher_control::{
    ConfigurationDocument, DurableRecord, Effect, Event, Identity, Locality, PersistTicket,
    ProposalNumber, Replica, ReplicaSetup, ReplicatedState, ToleratedDomains, View,
};

/// Internal listener of a node.
pub fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host].into(), 7000)
}

/// Identity of a seed at the first start.
pub fn identity(host: u8) -> Identity {
    Identity::of_first_start(address(host))
}

/// Setup of a node; nodes 1, 2 and 3 are the seeds.
pub fn setup(host: u8, first_start: bool) -> ReplicaSetup {
    ReplicaSetup {
        address: address(host),
        seeds: vec![address(1), address(2), address(3)],
        first_start,
        tolerated_losses: 1,
        locality: Locality::default(),
        tolerated_domains: ToleratedDomains::default(),
        acknowledge_ms: 4000,
        bytes_per_ms: 4096,
        catch_up_ms: 4000,
        random_seed: u64::from(host),
    }
}

/// The view of the first start: all seeds are voters, and form the chain in their order.
pub fn first_view() -> View {
    View::first(&[address(1), address(2), address(3)])
}

/// A view of the same voters with this chain.
pub fn view(epoch: u64, chain: &[u8]) -> View {
    let chain = chain.iter().map(|host| identity(*host)).collect();
    View {
        epoch,
        chain,
        ..first_view()
    }
}

pub fn proposal_number(counter: u64) -> ProposalNumber {
    ProposalNumber {
        counter,
        proposer: 1,
    }
}

/// A configuration whose content is its version.
pub fn document(version: u64) -> ConfigurationDocument {
    ConfigurationDocument::new(version, Arc::from(version.to_string().into_bytes()))
}

/// The state after configurations of these versions.
pub fn state(versions: &[u64]) -> ReplicatedState {
    versions
        .iter()
        .fold(ReplicatedState::default(), |state, version| {
            state.with(document(*version))
        })
}

/// Tickets of the requested writes, in order.
pub fn tickets(effects: &[Effect]) -> Vec<PersistTicket> {
    let persists = effects.iter().filter_map(|effect| match effect {
        Effect::Persist { ticket, .. } => Some(*ticket),
        _ => None,
    });
    persists.collect()
}

/// Records of the requested writes, in order.
pub fn records(effects: &[Effect]) -> Vec<DurableRecord> {
    let persisted = effects.iter().filter_map(|effect| match effect {
        Effect::Persist { records, .. } => Some(records.clone()),
        _ => None,
    });
    persisted.flatten().collect()
}

/// Reports all requested writes as durable; returns the effects that follow.
pub fn persist(replica: &mut Replica, now: u64, effects: &[Effect]) -> Vec<Effect> {
    let tickets = tickets(effects);
    tickets
        .into_iter()
        .flat_map(|ticket| replica.handle(now, Event::Persisted { ticket }))
        .collect()
}

/// The replicated state in the replica's snapshot.
pub fn state_of(replica: &Replica) -> Option<ReplicatedState> {
    replica
        .snapshot()
        .into_iter()
        .find_map(|record| match record {
            DurableRecord::State { state, .. } => Some(state),
            _ => None,
        })
}
