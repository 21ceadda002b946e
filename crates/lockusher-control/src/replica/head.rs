//! The head's part: bringing the chain to its state, taking writes, confirming that its epoch is the newest.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddrV4,
};

use super::{
    Replica,
    bug_injection::bug_injected,
    confirmation::EpochConfirmation,
    repair::NoticedBy,
    requests::{Origin, QueuedRequest},
};
use crate::{
    ConfigurationDocument, DurableRecord, Identity, Millis, Position, ReplicatedState, Reply,
    durable_state::{AfterWrite, payload_for},
    message::{Health, Heartbeat, MessageBody, Payload, Transfer, TransferPurpose, TransferResponse},
    state::HistoryDigest,
};

/// Least throughput of a disk or link that is given time for a large configuration.
const BYTES_PER_MS: Millis = 4096;

/// What a head keeps beside its state, from the start of its service until the epoch ends.
#[derive(Debug)]
pub(super) struct Head {
    /// Its state without the entry under way.
    base: ReplicatedState,
    /// Entries of this epoch in `base`.
    index: u64,
    /// Members that have been brought to `base` in this epoch.
    synchronised: BTreeSet<Identity>,
    /// All are: `base` is committed.
    pub(super) established: bool,
    activated_at: Millis,
    in_flight: Option<InFlight>,
    pub(super) queue: VecDeque<QueuedRequest>,
    pub(super) confirmation: EpochConfirmation,
    last_resend_at: Millis,
}

/// An entry that isn't known to be stored by the whole chain.
#[derive(Debug)]
struct InFlight {
    index: u64,
    previous: HistoryDigest,
    document: ConfigurationDocument,
    state: ReplicatedState,
    origin: Origin,
    started_at: Millis,
    /// When it is sent directly to those that haven't confirmed it; the pauses grow.
    resend_at: Millis,
    stored_by: BTreeSet<Identity>,
}

impl Replica {
    // Establishment

    /// Starts the service as head, if this node is head by the view and nothing prevents it.
    pub(super) fn activate_head(&mut self) {
        let Some(view) = &self.view else { return };
        let may =
            view.head() == Some(self.identity) && self.is_established_in_view() && !self.acceptor.sealed;
        let able = self.durable_state.pending.is_none() && self.health() != Health::DiskFault;
        if self.head.is_some() || self.epoch_change_required || !may || !able {
            return;
        }
        self.durable_state.position = Position { epoch: view.epoch, index: 0 };
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

    /// Sends the base to the members that haven't confirmed it.
    fn send_synchronise(&mut self) {
        let (Some(head), Some(view)) = (&self.head, &self.view) else { return };
        let missing = view.chain.iter().filter(|member| !head.synchronised.contains(member));
        let missing: Vec<SocketAddrV4> = missing.filter_map(|member| view.address_of(*member)).collect();
        for address in missing {
            let history_digest = self.peers.at(address).and_then(|peer| peer.history_digest);
            // A member that was never heard is asked what it holds before the state is sent whole.
            let history_digest = history_digest.or_else(|| self.base_history_digest());
            self.send_base(address, TransferPurpose::Synchronise, history_digest);
        }
    }

    fn base_history_digest(&self) -> Option<HistoryDigest> {
        self.head.as_ref().map(|head| head.base.history_digest())
    }

    /// History digest of the committed state, if this node is head and knows it.
    pub(super) fn committed_history_digest(&self) -> Option<HistoryDigest> {
        self.head.as_ref().filter(|head| head.established).map(|head| head.base.history_digest())
    }

    /// Position of the committed state, if this node is head and knows it.
    pub(super) fn committed_position(&self) -> Option<Position> {
        let head = self.head.as_ref().filter(|head| head.established)?;
        Some(Position { epoch: self.epoch(), index: head.index })
    }

    /// Whether the epoch may be ended in order to take in others.
    pub(super) fn may_add_members(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.established) && !self.shutting_down
    }

    /// Sends the base to a node that holds the state with this history digest.
    fn send_base(
        &mut self,
        to: SocketAddrV4,
        purpose: TransferPurpose,
        history_digest: Option<HistoryDigest>,
    ) {
        let Some(head) = &self.head else { return };
        let payload = payload_for(&head.base, history_digest);
        self.counters.full_snapshots_sent += u64::from(matches!(payload, Payload::FullSnapshot(_)));
        let position = Position { epoch: self.epoch(), index: head.index };
        let transfer = Transfer { purpose, position, history_digest: head.base.history_digest(), payload };
        self.send(to, MessageBody::Transfer(transfer));
    }

    pub(super) fn send_full_snapshot_to_learner(&mut self, to: SocketAddrV4) {
        if self.may_add_members() {
            self.send_base(to, TransferPurpose::Learn, None);
        }
    }

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

    fn mark_synchronised(&mut self, member: Identity) {
        let in_chain = self.view.as_ref().is_some_and(|view| view.in_chain(member));
        let Some(head) = &mut self.head else { return };
        if in_chain && head.synchronised.insert(member) {
            self.establish_if_complete();
        }
    }

    fn establish_if_complete(&mut self) {
        let (Some(head), Some(view)) = (&mut self.head, &self.view) else { return };
        let early = bug_injected!(self.bug_injection, ServeBeforeSynchronised);
        let complete = view.chain.iter().all(|member| head.synchronised.contains(member));
        if head.established || !(complete || early) {
            return;
        }
        head.established = true;
        self.mark_durable_state_committed();
        self.announce_committed();
    }

    /// Tells all nodes what is committed; those outside of the chain get it with the news.
    fn announce_committed(&mut self) {
        let (Some(head), Some(view)) = (&self.head, &self.view) else { return };
        let (index, history_digest) = (head.index, head.base.history_digest());
        let me = self.setup.address;
        let members: Vec<SocketAddrV4> =
            view.chain.iter().filter_map(|member| view.address_of(*member)).collect();
        let known = self.peers.iter().filter(|(address, peer)| {
            !members.contains(address) && peer.epoch == view.epoch && peer.reachable_since.is_some()
        });
        let learners: Vec<(SocketAddrV4, Option<HistoryDigest>)> =
            known.map(|(address, peer)| (address, peer.history_digest)).collect();
        for member in members.into_iter().filter(|member| *member != me) {
            self.send(member, MessageBody::Committed { index, history_digest });
        }
        for (address, history_digest) in learners {
            self.send_base(address, TransferPurpose::Learn, history_digest);
        }
    }

    // Progress of the others

    pub(super) fn on_replica_heartbeat(
        &mut self,
        from: SocketAddrV4,
        sender: Identity,
        heartbeat: &Heartbeat,
    ) {
        let (Some(head), Some(view)) = (&self.head, &self.view) else { return };
        let committed = Position { epoch: view.epoch, index: head.index };
        let lags = heartbeat.committed != committed;
        if !view.in_chain(sender) {
            if head.established && !self.acceptor.sealed {
                self.update_learner(from, heartbeat, lags);
            }
            return;
        }
        if !head.synchronised.contains(&sender) {
            self.send_base(from, TransferPurpose::Synchronise, Some(heartbeat.history_digest));
            return;
        }
        let (index, history_digest) = (head.index, head.base.history_digest());
        if head.established && lags {
            self.send(from, MessageBody::Committed { index, history_digest });
        }
        self.repair_if_different(sender, heartbeat.position, heartbeat.history_digest, NoticedBy::Heartbeat);
        if heartbeat.position.epoch == committed.epoch {
            self.on_append_stored(sender, heartbeat.position.index);
        }
    }

    /// Brings a node outside of the chain up to date. One whose disk is in trouble gets each configuration once
    /// only, to hand it on.
    fn update_learner(&mut self, to: SocketAddrV4, heartbeat: &Heartbeat, lags: bool) {
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

    /// Whether a member keeps the chain waiting for too long.
    pub(super) fn is_lagging(&self, member: Identity) -> bool {
        let (Some(head), Some(view)) = (&self.head, &self.view) else { return false };
        // A sealed head sends nothing down, so that nobody lags by it.
        if self.acceptor.sealed
            || !view.in_chain(member)
            || self.now < self.started_at + self.timing.startup_grace
        {
            return false;
        }
        let unsynchronised = !head.synchronised.contains(&member);
        if unsynchronised && self.now - head.activated_at >= self.timing.write_timeout {
            return true;
        }
        head.in_flight.as_ref().is_some_and(|in_flight| {
            let limit = self.timing.write_timeout + in_flight.size_allowance();
            !in_flight.stored_by.contains(&member) && self.now - in_flight.started_at >= limit
        })
    }

    pub(super) fn on_head_tick(&mut self) {
        let Some(head) = &mut self.head else { return };
        if self.now - head.last_resend_at < self.timing.retransmit_interval {
            return;
        }
        head.last_resend_at = self.now;
        if !head.established {
            self.send_synchronise();
        }
        self.send_missing_entries();
        self.send_confirm_epoch();
    }

    /// Sends the entry under way directly to members that haven't been seen to hold it.
    fn send_missing_entries(&mut self) {
        let (Some(head), Some(view)) = (&mut self.head, &self.view) else { return };
        let Some(in_flight) = &mut head.in_flight else { return };
        let due = self.now >= in_flight.resend_at;
        if !in_flight.stored_by.contains(&self.identity) || self.acceptor.sealed || !due {
            return;
        }
        let waited = self.now - in_flight.started_at;
        let resend_delay = waited.clamp(self.timing.retransmit_interval, self.timing.write_timeout);
        in_flight.resend_at = self.now + resend_delay;
        let body = in_flight.append(false);
        let missing = view.chain.iter().filter(|member| !in_flight.stored_by.contains(member));
        for member in missing.copied().collect::<Vec<_>>() {
            self.send_to_voter(member, body.clone());
        }
    }

    pub(super) fn on_append_rejected(&mut self, sender: Identity, _index: u64) {
        let in_chain = self.view.as_ref().is_some_and(|view| view.in_chain(sender));
        let address = self.view.as_ref().and_then(|view| view.address_of(sender));
        if let (true, Some(address)) = (in_chain, address) {
            self.send_base(address, TransferPurpose::Synchronise, None);
        }
    }

    // Writes

    /// Takes a configuration as the next entry.
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
        let record = DurableRecord::Entry { position, previous, document };
        self.persist_state(record, position, state, AfterWrite::SendToSuccessor);
    }

    /// The origin of the entry under way.
    pub(super) fn write_in_flight(&self) -> Option<Origin> {
        Some(self.head.as_ref()?.in_flight.as_ref()?.origin)
    }

    /// The head's own disk holds the entry: it goes down the chain.
    pub(super) fn send_to_successor(&mut self) {
        let me = self.identity;
        let successor = self.view.as_ref().and_then(|view| view.successor_of(me));
        let Some(in_flight) = self.head.as_mut().and_then(|head| head.in_flight.as_mut()) else { return };
        in_flight.stored_by.insert(me);
        in_flight.started_at = self.now;
        in_flight.resend_at = self.now + self.timing.retransmit_interval + in_flight.size_allowance();
        let body = in_flight.append(true);
        let open = !self.acceptor.sealed || bug_injected!(self.bug_injection, ServeAfterSeal);
        if let (Some(successor), true) = (successor, open) {
            self.send_to_voter(successor, body);
        }
        self.commit_if_stored_by_all();
    }

    /// All members after the head hold the entry.
    pub(super) fn on_append_stored_by_chain(&mut self, index: u64) {
        let chain = self.view.iter().flat_map(|view| view.chain.iter().skip(1).copied());
        for member in chain.collect::<Vec<_>>() {
            self.on_append_stored(member, index);
        }
    }

    pub(super) fn on_append_stored(&mut self, sender: Identity, index: u64) {
        let Some(in_flight) = self.head.as_mut().and_then(|head| head.in_flight.as_mut()) else { return };
        if index >= in_flight.index && index != Position::SEALED {
            in_flight.stored_by.insert(sender);
            self.commit_if_stored_by_all();
        }
    }

    fn commit_if_stored_by_all(&mut self) {
        let (Some(head), Some(view)) = (&mut self.head, &self.view) else { return };
        let Some(in_flight) = &head.in_flight else { return };
        let all = view.chain.iter().all(|member| in_flight.stored_by.contains(member));
        let early = bug_injected!(self.bug_injection, AcknowledgeBeforeTail)
            && in_flight.stored_by.contains(&self.identity);
        if !all && !early {
            return;
        }
        let Some(in_flight) = head.in_flight.take() else { return };
        head.base = in_flight.state;
        head.index = in_flight.index;
        self.counters.commits += 1;
        self.reply_to(in_flight.origin, Reply::Accepted);
        self.mark_durable_state_committed();
        self.announce_committed();
    }

    /// The committed state, to decide requests by.
    pub(super) fn serving_state(&self) -> Option<&ReplicatedState> {
        let head = self.head.as_ref().filter(|head| head.established)?;
        let open = !self.acceptor.sealed || bug_injected!(self.bug_injection, ServeAfterSeal);
        open.then_some(&head.base)
    }
}

impl InFlight {
    /// Time beyond the usual that a large configuration may take at each replica, in milliseconds.
    fn size_allowance(&self) -> Millis {
        self.document.body.len() as Millis / BYTES_PER_MS
    }

    fn append(&self, relay: bool) -> MessageBody {
        MessageBody::Append {
            index: self.index,
            previous: self.previous,
            document: self.document.clone(),
            relay,
        }
    }
}
