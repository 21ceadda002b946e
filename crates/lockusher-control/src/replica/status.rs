//! Status of the replica: reported to the driver on request, and by effects when its role or the known nodes change.

use std::net::SocketAddrV4;

use super::counters::Counters;
use super::effect::Effect;
use super::state_machine::{Replica, ReportedRole};
use crate::document::ConfigurationDocument;
use crate::position::Position;
use crate::state::HistoryDigest;
use crate::view::{Identity, View};

/// A node's contact with the voters of the newest view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterContact {
    /// Epoch of the view; 0 if none is known.
    pub epoch: u64,
    /// Number of voters of the view.
    pub voters: usize,
    /// Number of voters needed for a decision.
    pub majority: usize,
    /// Voters without confirmed bidirectional contact, except this node.
    pub missing: Vec<SocketAddrV4>,
    /// Whether this node is a voter.
    pub is_voter: bool,
}

impl Replica {
    /// The newest view known.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Identity of this node's disk.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Whether this node serves as head of the newest view it knows and is in contact with a majority of the voters.
    pub fn is_head(&self) -> bool {
        self.head.is_some() && self.has_confirmed_quorum()
    }

    /// Whether this node is in the chain and knows that its whole state is committed.
    pub fn is_clean(&self) -> bool {
        let in_chain = self.is_in_chain(self.identity);
        in_chain
            && self.durable_state.pending.is_none()
            && self.known_committed.epoch == self.epoch()
            && self.known_committed == self.durable_state.position
    }

    /// Whether this node votes in the newest view that it knows and is in contact with a majority of the voters.
    pub fn is_voter_with_quorum(&self) -> bool {
        self.is_voter() && self.has_confirmed_quorum()
    }

    /// This node's contact with the voters.
    pub fn voter_contact(&self) -> VoterContact {
        let voters = self.view.iter().flat_map(|view| &view.voters);
        let is_missing = |address, identity| {
            identity != self.identity
                && !self
                    .peers
                    .is_confirmed(address, identity, &self.timing, self.now)
        };
        let missing = voters
            .filter(|voter| is_missing(voter.address, voter.identity))
            .map(|voter| voter.address);
        VoterContact {
            epoch: self.epoch(),
            voters: self.view.as_ref().map_or(0, |view| view.voters.len()),
            majority: self.view.as_ref().map_or(0, View::majority),
            missing: missing.collect(),
            is_voter: self.is_voter(),
        }
    }

    /// Whether a node that is shutting down may exit safely: it isn't in the chain, and is a voter only if no further
    /// voter may be removed and no other node can replace it.
    pub fn has_handed_over(&self) -> bool {
        let Some(view) = &self.view else { return true };
        let is_needed = view.voters.len() <= self.minimum_voters() && !self.has_spare_node(view);
        let may_exit = !view.is_voter(self.identity) || is_needed;
        may_exit && !view.in_chain(self.identity)
    }

    /// Number of votes that a majority would lack after the worst tolerated loss of zones or regions; 0 if it would
    /// lack none.
    pub fn domain_shortfall(&self) -> usize {
        let spread = self.voter_spread();
        self.view
            .as_ref()
            .map_or(0, |view| spread.imbalance(&view.voters).shortfall)
    }

    /// The newest configuration known to be committed.
    pub fn committed(&self) -> Option<&ConfigurationDocument> {
        self.committed_document.as_ref()
    }

    /// Identifies the sequence of configurations that the durable state contains.
    pub fn history_digest(&self) -> HistoryDigest {
        self.durable_state.state.history_digest()
    }

    /// Position of the durable state.
    pub fn position(&self) -> Position {
        self.durable_state.position
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Reports a change of role, or of the epoch while head.
    pub(super) fn report_role(&mut self) {
        let (head, epoch) = (self.is_head(), self.epoch());
        let reported = self.reported_role;
        if head != reported.head || (head && epoch != reported.epoch) {
            self.reported_role = ReportedRole { head, epoch };
            self.effects.push(Effect::RoleChanged { head, epoch });
        }
    }

    /// Reports a change of the known nodes.
    pub(super) fn report_members(&mut self) {
        let members = self.known_members();
        if members != self.reported_members {
            self.reported_members.clone_from(&members);
            self.effects.push(Effect::Members(members));
        }
    }

    /// Voters, and other control nodes that are reachable, by address.
    fn known_members(&self) -> Vec<SocketAddrV4> {
        let voters = self
            .view
            .iter()
            .flat_map(|view| view.voters.iter().map(|voter| voter.address));
        let contacted = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.reachable_since.is_some());
        let mut members: Vec<SocketAddrV4> = voters
            .chain(contacted.map(|(address, _)| address))
            .collect();
        members.push(self.setup.address);
        members.sort();
        members.dedup();
        members
    }
}
