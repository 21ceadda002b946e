//! Views: the membership of each epoch, that is its voters and the order of its chain of replicas.
//!
//! As in Vertical Paxos (Lamport, Malkhi, Zhou; PODC 2009), the membership is replaced as a whole and its members
//! transfer the state; unlike there, a view's own voters agree on its successor, without a separate master. The chain
//! is that of chain replication (van Renesse and Schneider, OSDI 2004).

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};
use derive_more::Display;

/// Identity of a control node's disk. A node that lost its disk restarts with another one.
#[derive(Clone, Copy, Debug, Decode, Display, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:016x}")]
pub struct Identity(pub u64);

/// A voter and its address.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Identity of the voter's disk.
    pub identity: Identity,
    /// Address of its internal listener.
    pub address: SocketAddrV4,
}

/// One epoch's membership. Its successor is agreed on by its voters, so each epoch has one view only.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, PartialEq)]
pub struct View {
    /// Number of the epoch. Increases by one with each view; the first is 1.
    pub epoch: u64,
    /// Nodes that decide on the next view by majority. Those outside of the chain come last, in the order in which they
    /// left it.
    pub voters: Vec<Member>,
    /// Replicas in order: writes enter at the first (head), the last is the tail. All are voters.
    pub chain: Vec<Identity>,
}

impl View {
    /// The view of a first start: the seeds vote and form the chain, in the order of their addresses. Every seed
    /// computes the same view without communication.
    pub fn first(seeds: &[SocketAddrV4]) -> Self {
        let mut addresses = seeds.to_vec();
        addresses.sort();
        addresses.dedup();
        let voters: Vec<Member> = addresses
            .into_iter()
            .map(|address| Member {
                identity: Identity::of_first_start(address),
                address,
            })
            .collect();
        let chain = voters.iter().map(|member| member.identity).collect();
        Self {
            epoch: 1,
            voters,
            chain,
        }
    }

    /// Smallest number of voters that is more than half of them.
    pub fn majority(&self) -> usize {
        majority_of(self.voters.len())
    }

    /// The replica that accepts writes.
    pub fn head(&self) -> Option<Identity> {
        self.chain.first().copied()
    }

    /// Whether this identity votes on the next view.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.voters.iter().any(|member| member.identity == identity)
    }

    /// Whether this identity is in the chain of this epoch.
    pub fn in_chain(&self, identity: Identity) -> bool {
        self.chain.contains(&identity)
    }

    /// Address of this voter.
    pub fn address_of(&self, identity: Identity) -> Option<SocketAddrV4> {
        self.voters
            .iter()
            .find(|member| member.identity == identity)
            .map(|member| member.address)
    }

    /// The voter at this address.
    pub fn voter_at(&self, address: SocketAddrV4) -> Option<Identity> {
        self.voters
            .iter()
            .find(|member| member.address == address)
            .map(|member| member.identity)
    }

    /// The chain's member after this one.
    pub fn successor_of(&self, identity: Identity) -> Option<Identity> {
        let position = self.chain.iter().position(|member| *member == identity)?;
        self.chain.get(position + 1).copied()
    }

    /// The chain's member before this one.
    pub fn predecessor_of(&self, identity: Identity) -> Option<Identity> {
        let position = self.chain.iter().position(|member| *member == identity)?;
        self.chain.get(position.checked_sub(1)?).copied()
    }
}

/// Smallest number that is more than half of `count`.
pub fn majority_of(count: usize) -> usize {
    count / 2 + 1
}

/// Set in the identities of a first start, and in no other.
const FIRST_START_BIT: u64 = 1 << 63;

impl Identity {
    /// Identity of a seed with an empty disk at the first start of the whole system.
    pub fn of_first_start(address: SocketAddrV4) -> Self {
        let host = u64::from(address.ip().to_bits());
        Self(FIRST_START_BIT | host << 16 | u64::from(address.port()))
    }

    /// A random identity for a node that joins; it can't equal one of a first start.
    pub fn of_joiner(random: u64) -> Self {
        Self(random & !FIRST_START_BIT)
    }
}
