//! Replication of an entry from the head down the chain, after van Renesse and Schneider, "Chain Replication for
//! Supporting High Throughput and Availability" (OSDI 2004).
//!
//! The head persists the entry and sends it to its successor; acknowledgements travel back from the tail. A member that
//! hasn't acknowledged the entry in time is sent it directly. Invariant: an entry is committed, and its request
//! acknowledged, only once every member of the chain has stored it.

use std::collections::BTreeSet;

use super::bug_injection::bug_injected;
use super::head::InFlight;
use super::request_queue::Origin;
use super::state_machine::Replica;
use crate::document::ConfigurationDocument;
use crate::durable_record::DurableRecord;
use crate::durable_state::AfterWrite;
use crate::message::TransferPurpose;
use crate::position::Position;
use crate::request::Reply;
use crate::time::Millis;
use crate::view::Identity;

impl Replica {
    /// Appends a configuration as the next entry. The caller ensures that none is in flight.
    pub(super) fn append(&mut self, document: ConfigurationDocument, origin: Origin) {
        let epoch = self.epoch();
        let Some(head) = &mut self.head else { return };
        let index = head.index + 1;
        let previous = head.base.history_digest();
        let state = head.base.with(document.clone());
        head.in_flight = Some(InFlight {
            index,
            previous,
            document: document.clone(),
            state: state.clone(),
            origin,
            started_at: self.now,
            resend_at: self.now,
            stored_by: BTreeSet::new(),
        });
        let position = Position { epoch, index };
        let record = DurableRecord::Entry {
            position,
            previous,
            document,
        };
        self.persist_state(record, position, state, AfterWrite::SendToSuccessor);
    }

    /// The origin of the entry in flight.
    pub(super) fn in_flight_origin(&self) -> Option<Origin> {
        Some(self.head.as_ref()?.in_flight.as_ref()?.origin)
    }

    /// Additional time allowed for the entry in flight to pass this many hops of the chain, in milliseconds.
    pub(super) fn entry_allowance(&self, hops: usize) -> Millis {
        let in_flight = self.head.as_ref().and_then(|head| head.in_flight.as_ref());
        let bytes = in_flight.map_or(0, |in_flight| in_flight.document.body.len());
        self.size_allowance(bytes) * hops as Millis
    }

    /// Additional time allowed for a transfer of this node's state to another node, in milliseconds.
    pub(super) fn state_allowance(&self) -> Millis {
        let document = self.durable_state.state.document();
        self.size_allowance(document.map_or(0, |document| document.body.len()))
    }

    /// Time to transfer this many bytes over one hop, in milliseconds.
    pub(super) fn size_allowance(&self, bytes: usize) -> Millis {
        bytes as Millis / self.setup.bytes_per_ms.max(1)
    }

    fn chain_length(&self) -> usize {
        self.view.as_ref().map_or(0, |view| view.chain.len())
    }

    /// Sends the entry in flight down the chain, now that it is durable at the head.
    pub(super) fn send_to_successor(&mut self) {
        let own_identity = self.identity;
        let successor = self
            .view
            .as_ref()
            .and_then(|view| view.successor_of(own_identity));
        let allowance = self.entry_allowance(self.chain_length());
        let Some(in_flight) = self.head.as_mut().and_then(|head| head.in_flight.as_mut()) else {
            return;
        };
        in_flight.stored_by.insert(own_identity);
        in_flight.started_at = self.now;
        in_flight.resend_at = self.now + self.timing.retransmit_interval + allowance;
        let body = in_flight.append(true);
        let is_unsealed =
            !self.acceptor.sealed || bug_injected!(self.bug_injection, ServeAfterSeal);
        if let (Some(successor), true) = (successor, is_unsealed) {
            self.send_to_voter(successor, body);
        }
        self.commit_if_stored_by_all();
    }

    /// Records that all members after the head have stored the entry.
    pub(super) fn on_append_stored_by_chain(&mut self, index: u64) {
        let chain = self
            .view
            .iter()
            .flat_map(|view| view.chain.iter().skip(1).copied());
        for member in chain.collect::<Vec<_>>() {
            self.on_append_stored(member, index);
        }
    }

    /// Records that a member of the chain has stored the entries up to this one.
    pub(super) fn on_append_stored(&mut self, sender: Identity, index: u64) {
        let Some(in_flight) = self.head.as_mut().and_then(|head| head.in_flight.as_mut()) else {
            return;
        };
        if index >= in_flight.index && index != Position::SEALED {
            in_flight.stored_by.insert(sender);
            self.commit_if_stored_by_all();
        }
    }

    /// Sends a full snapshot to a member that rejected an entry because the preceding one is missing.
    pub(super) fn on_append_rejected(&mut self, sender: Identity, _index: u64) {
        let in_chain = self.is_in_chain(sender);
        let address = self.view.as_ref().and_then(|view| view.address_of(sender));
        if let (true, Some(address)) = (in_chain, address) {
            self.send_base(address, TransferPurpose::Synchronise, None);
        }
    }

    /// Sends the entry in flight directly to members that aren't known to have stored it.
    pub(super) fn send_missing_entries(&mut self) {
        let allowance = self.entry_allowance(self.chain_length());
        let (Some(head), Some(view)) = (&mut self.head, &self.view) else {
            return;
        };
        let Some(in_flight) = &mut head.in_flight else {
            return;
        };
        let due = self.now >= in_flight.resend_at;
        if !in_flight.stored_by.contains(&self.identity) || self.acceptor.sealed || !due {
            return;
        }
        let elapsed = self.now - in_flight.started_at;
        let resend_delay =
            elapsed.clamp(self.timing.retransmit_interval, self.timing.write_timeout);
        in_flight.resend_at = self.now + resend_delay + allowance;
        let body = in_flight.append(false);
        let missing = view
            .chain
            .iter()
            .filter(|member| !in_flight.stored_by.contains(member));
        for member in missing.copied().collect::<Vec<_>>() {
            self.send_to_voter(member, body.clone());
        }
    }

    /// Commits the entry in flight once every member of the chain has stored it.
    fn commit_if_stored_by_all(&mut self) {
        let (Some(head), Some(view)) = (&mut self.head, &self.view) else {
            return;
        };
        let Some(in_flight) = &head.in_flight else {
            return;
        };
        let all = view
            .chain
            .iter()
            .all(|member| in_flight.stored_by.contains(member));
        let early = bug_injected!(self.bug_injection, AcknowledgeBeforeTail)
            && in_flight.stored_by.contains(&self.identity);
        if !all && !early {
            return;
        }
        let Some(in_flight) = head.in_flight.take() else {
            return;
        };
        head.base = in_flight.state;
        head.index = in_flight.index;
        self.counters.commits += 1;
        self.reply_to(in_flight.origin, Reply::Accepted);
        self.mark_durable_state_committed();
        self.announce_committed();
    }
}
