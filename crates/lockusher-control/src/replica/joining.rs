//! Sealing of the epoch, and the transfer of the sealed state to nodes that join the next chain.
//!
//! Invariant: a joiner is sent a member's state only after that member has durably sealed the epoch and has no write in
//! flight, so that no entry can be committed that the joiner lacks.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use super::view_proposal::Phase;
use crate::acceptor_log::AfterAcceptorWrite;
use crate::durable_record::DurableRecord;
use crate::durable_state::payload_for;
use crate::message::{MessageBody, Transfer, TransferPurpose};
use crate::position::Position;
use crate::view::Identity;

impl Replica {
    /// Seals the epoch durably: this node accepts no further entries in it.
    pub(super) fn seal_epoch(&mut self) {
        if self.acceptor.sealed {
            return;
        }
        self.acceptor.sealed = true;
        let epoch = self.epoch();
        self.persist_acceptor_records(
            vec![DurableRecord::Seal { epoch }],
            vec![AfterAcceptorWrite::SealDurable { epoch }],
        );
    }

    /// Starts the transfer to the joiners once the seal is durable and no write of the state is in flight.
    pub(super) fn start_joining_once_sealed(&mut self) {
        let sealing = self
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.phase == Phase::Sealing);
        let sealed =
            self.acceptor.seal_durable || bug_injected!(self.bug_injection, SealNotAwaited);
        if sealing && sealed && self.durable_state.pending.is_none() {
            self.enter_phase(Phase::Joining);
        }
    }

    /// Sends the sealed state to the joiners that haven't stored it.
    pub(super) fn send_join_transfers(&mut self) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let missing = proposal
            .change
            .joiners
            .iter()
            .filter(|joiner| !self.sealed_state_holders.contains(&joiner.identity));
        for address in missing.map(|joiner| joiner.address).collect::<Vec<_>>() {
            let history_digest = self.peers.at(address).and_then(|peer| peer.history_digest);
            self.send_join_transfer(address, history_digest);
        }
    }

    /// Sends the part of the sealed state that a joiner with this history digest lacks; `None` for a full snapshot.
    fn send_join_transfer(
        &mut self,
        to: SocketAddrV4,
        history_digest: Option<crate::state::HistoryDigest>,
    ) {
        let state = &self.durable_state.state;
        let transfer = Transfer {
            purpose: TransferPurpose::Join,
            position: Position {
                epoch: self.epoch(),
                index: Position::SEALED,
            },
            history_digest: state.history_digest(),
            payload: payload_for(state, history_digest),
        };
        self.send(to, MessageBody::Transfer(transfer));
    }

    /// Handles a joiner's response: it has stored the sealed state, or needs a full snapshot.
    pub(super) fn on_join_response(&mut self, from: SocketAddrV4, joiner: Identity, stored: bool) {
        let sealed =
            self.acceptor.seal_durable || bug_injected!(self.bug_injection, SealNotAwaited);
        if !sealed || self.durable_state.pending.is_some() {
            return;
        }
        if !stored {
            self.counters.full_snapshots_sent += 1;
            self.send_join_transfer(from, None);
            return;
        }
        self.sealed_state_holders.insert(joiner);
        let Some(proposal) = &self.proposal else {
            return;
        };
        let stored_by_all = proposal
            .change
            .joiners
            .iter()
            .all(|joiner| self.sealed_state_holders.contains(&joiner.identity));
        if proposal.phase == Phase::Joining && stored_by_all {
            self.enter_phase(Phase::Preparing);
        }
    }
}
