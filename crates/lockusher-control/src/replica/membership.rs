//! This node's role in the newest view, and its contact with the voters of that view.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::locality::Locality;
use crate::view::Identity;
use crate::voter_spread::VoterSpread;

impl Replica {
    /// Epoch of the newest view; 0 before the first.
    pub(super) fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Whether the newest view is durable, so that this node may act in it.
    pub(super) fn is_established_in_view(&self) -> bool {
        let durable = self.durable_epoch == self.epoch()
            || bug_injected!(self.bug_injection, ActBeforeViewDurable);
        self.view.is_some() && durable
    }

    /// Whether this node votes on the successor of the newest view.
    pub(super) fn is_voter(&self) -> bool {
        self.view
            .as_ref()
            .is_some_and(|view| view.is_voter(self.identity))
    }

    /// Whether this replica is a member of the chain of the newest view.
    pub(super) fn is_in_chain(&self, identity: Identity) -> bool {
        self.view
            .as_ref()
            .is_some_and(|view| view.in_chain(identity))
    }

    /// Whether this replica is head of the newest view.
    pub(super) fn is_view_head(&self, identity: Identity) -> bool {
        self.view
            .as_ref()
            .is_some_and(|view| view.head() == Some(identity))
    }

    /// Minimum number of voters, below which none is removed.
    pub(super) fn minimum_voters(&self) -> usize {
        let for_machines = 2 * self.setup.tolerated_losses as usize + 1;
        for_machines.max(self.setup.tolerated_domains.minimum_voters())
    }

    /// The known failure domains of this node and its peers.
    pub(super) fn voter_spread(&self) -> VoterSpread {
        let tolerated = self.setup.tolerated_domains;
        if !tolerated.any() || bug_injected!(self.bug_injection, DomainsIgnored) {
            return VoterSpread::default();
        }
        let of_peers = self
            .peers
            .iter()
            .filter_map(|(_, peer)| Some((peer.identity, peer.locality.clone()?)));
        let mut localities: BTreeMap<Identity, Locality> = of_peers.collect();
        localities.insert(self.identity, self.setup.locality.clone());
        VoterSpread {
            tolerated,
            localities,
        }
    }

    /// Whether recent heartbeats confirm bidirectional contact with a majority of the voters.
    pub(super) fn has_confirmed_quorum(&self) -> bool {
        self.is_quorum(|address, identity| {
            self.peers
                .is_confirmed(address, identity, &self.timing, self.now)
        })
    }

    /// Like [`Self::has_confirmed_quorum`], but all voters count as reachable for a grace period after a start.
    pub(super) fn has_reachable_quorum(&self) -> bool {
        self.is_quorum(|address, identity| {
            self.peers
                .is_reachable(address, identity, &self.timing, self.now)
        })
    }

    /// Whether the voters that are `in_contact`, with this node if it votes, are a majority.
    fn is_quorum(&self, in_contact: impl Fn(SocketAddrV4, Identity) -> bool) -> bool {
        let Some(view) = &self.view else { return false };
        let counted = view.voters.iter().filter(|voter| {
            voter.identity == self.identity || in_contact(voter.address, voter.identity)
        });
        counted.count() >= view.majority()
    }
}
