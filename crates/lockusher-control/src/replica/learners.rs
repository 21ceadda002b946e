//! Distribution of the committed state: announced to the chain, and transferred to nodes outside of it (learners).

use std::net::SocketAddrV4;

use super::state_machine::Replica;
use crate::message::{Health, Heartbeat, MessageBody, TransferPurpose};
use crate::state::HistoryDigest;

impl Replica {
    /// Announces the committed position to the chain, and transfers the committed state to reachable learners.
    pub(super) fn announce_committed(&mut self) {
        let (Some(head), Some(view)) = (&self.head, &self.view) else {
            return;
        };
        let (index, history_digest) = (head.index, head.base.history_digest());
        let own_address = self.setup.address;
        let members: Vec<SocketAddrV4> = view
            .chain
            .iter()
            .filter_map(|member| view.address_of(*member))
            .collect();
        let known = self.peers.iter().filter(|(address, peer)| {
            !members.contains(address) && peer.epoch == view.epoch && peer.reachable_since.is_some()
        });
        let learners: Vec<(SocketAddrV4, Option<HistoryDigest>)> = known
            .map(|(address, peer)| (address, peer.history_digest))
            .collect();
        for member in members.into_iter().filter(|member| *member != own_address) {
            self.send(
                member,
                MessageBody::Committed {
                    index,
                    history_digest,
                },
            );
        }
        for (address, history_digest) in learners {
            self.send_base(address, TransferPurpose::Learn, history_digest);
        }
    }

    /// Brings a learner up to date. One with a disk fault can't store the state; it is sent each configuration only
    /// once, to distribute it to its agents.
    pub(super) fn update_learner(&mut self, to: SocketAddrV4, heartbeat: &Heartbeat, lags: bool) {
        let Some(head) = &self.head else { return };
        if heartbeat.health != Health::DiskFault {
            if lags {
                self.send_base(to, TransferPurpose::Learn, Some(heartbeat.history_digest));
            }
        } else if heartbeat.committed_version < head.base.version() {
            let previous = head.base.previous_history_digest();
            self.send_base(to, TransferPurpose::Learn, Some(previous));
        }
    }

    /// Sends a full snapshot to a learner that lacks the base of a smaller transfer.
    pub(super) fn send_full_snapshot_to_learner(&mut self, to: SocketAddrV4) {
        if self.may_add_members() {
            self.send_base(to, TransferPurpose::Learn, None);
        }
    }
}
