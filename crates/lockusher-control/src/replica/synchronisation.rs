//! Activation of the head: every member of the chain is synchronised to the head's state.
//!
//! Invariant: the head decides no request before all members have stored its state, which is then committed.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::epoch_confirmation::EpochConfirmation;
use super::head::Head;
use super::state_machine::Replica;
use crate::durable_state::payload_for;
use crate::message::{Health, MessageBody, Payload, Transfer, TransferPurpose, TransferResponse};
use crate::position::Position;
use crate::state::HistoryDigest;
use crate::view::Identity;

impl Replica {
    /// Activates this node as head, if it is head of the newest view and able to serve.
    pub(super) fn activate_head(&mut self) {
        let Some(view) = &self.view else { return };
        let may_serve = view.head() == Some(self.identity)
            && self.is_established_in_view()
            && !self.acceptor.sealed;
        let can_write = self.durable_state.pending.is_none() && self.health() != Health::DiskFault;
        if self.head.is_some() || self.epoch_change_required || !may_serve || !can_write {
            return;
        }
        self.durable_state.position = Position {
            epoch: view.epoch,
            index: 0,
        };
        self.head = Some(Head {
            base: self.durable_state.state.clone(),
            index: 0,
            synchronised: BTreeSet::from([self.identity]),
            established: false,
            activated_at: self.now,
            in_flight: None,
            queue: VecDeque::new(),
            confirmation: EpochConfirmation::default(),
            last_resend_at: self.now,
        });
        self.send_synchronise();
        self.establish_if_complete();
        self.requests.forward_all_now();
        self.forward_requests();
    }

    /// Sends the base to the members that aren't known to have stored it.
    fn send_synchronise(&mut self) {
        let (Some(head), Some(view)) = (&self.head, &self.view) else {
            return;
        };
        let missing = view
            .chain
            .iter()
            .filter(|member| !head.synchronised.contains(member));
        let missing: Vec<SocketAddrV4> = missing
            .filter_map(|member| view.address_of(*member))
            .collect();
        for address in missing {
            let history_digest = self.peers.at(address).and_then(|peer| peer.history_digest);
            // A member without a heartbeat so far is sent an empty transfer first: its response shows whether it needs
            // a full snapshot.
            let history_digest = history_digest.or_else(|| self.base_history_digest());
            self.send_base(address, TransferPurpose::Synchronise, history_digest);
        }
    }

    fn base_history_digest(&self) -> Option<HistoryDigest> {
        self.head.as_ref().map(|head| head.base.history_digest())
    }

    /// Sends the base to a node whose state has this history digest; `None` for a full snapshot.
    pub(super) fn send_base(
        &mut self,
        to: SocketAddrV4,
        purpose: TransferPurpose,
        history_digest: Option<HistoryDigest>,
    ) {
        let Some(head) = &self.head else { return };
        let payload = payload_for(&head.base, history_digest);
        self.counters.full_snapshots_sent += u64::from(matches!(payload, Payload::FullSnapshot(_)));
        let position = Position {
            epoch: self.epoch(),
            index: head.index,
        };
        let transfer = Transfer {
            purpose,
            position,
            history_digest: head.base.history_digest(),
            payload,
        };
        self.send(to, MessageBody::Transfer(transfer));
    }

    /// Handles a chain member's response to the transfer of the base.
    pub(super) fn on_synchronised(
        &mut self,
        from: SocketAddrV4,
        sender: Identity,
        response: TransferResponse,
    ) {
        if !response.stored {
            self.send_base(from, TransferPurpose::Synchronise, None);
        } else if response.position.epoch == self.epoch() {
            self.mark_synchronised(sender);
        }
    }

    /// Records that a member has stored the base.
    fn mark_synchronised(&mut self, member: Identity) {
        let in_chain = self.is_in_chain(member);
        let Some(head) = &mut self.head else { return };
        if in_chain && head.synchronised.insert(member) {
            self.establish_if_complete();
        }
    }

    /// Once all members have stored the base, marks it as committed and starts to serve requests.
    fn establish_if_complete(&mut self) {
        let (Some(head), Some(view)) = (&mut self.head, &self.view) else {
            return;
        };
        let early = bug_injected!(self.bug_injection, ServeBeforeSynchronised);
        let complete = view
            .chain
            .iter()
            .all(|member| head.synchronised.contains(member));
        if head.established || !(complete || early) {
            return;
        }
        head.established = true;
        self.mark_durable_state_committed();
        self.announce_committed();
    }

    /// As head, retransmits unanswered messages.
    pub(super) fn on_head_tick(&mut self) {
        let allowance = self.state_allowance();
        let Some(head) = &mut self.head else { return };
        let allowance = if head.established { 0 } else { allowance };
        if self.now - head.last_resend_at < self.timing.retransmit_interval + allowance {
            return;
        }
        head.last_resend_at = self.now;
        if !head.established {
            self.send_synchronise();
        }
        self.send_missing_entries();
        self.send_confirm_epoch();
    }
}
