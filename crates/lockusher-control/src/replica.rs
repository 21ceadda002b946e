//! One control node: the events it takes and the effects it asks for.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddrV4,
};

use bitcode::{Decode, Encode};
use rand_chacha::ChaCha8Rng;

use crate::{
    ConfigurationDocument, Digest, DurableRecord, Identity, Message, Millis, Position, View,
    acceptor::AcceptorState,
    acceptor_log::{AcceptorLog, AfterAcceptorWrite},
    durable_state::DurableState,
    failure_detector::Peers,
    message::MessageBody,
    timing::Timing,
};

mod agreement;
mod bug_injection;
mod chain;
mod confirmation;
mod head;
#[cfg(feature = "injected-bugs")]
mod injected_bug;
mod membership;
mod persistence;
mod recovery;
mod repair;
mod requests;
mod status;

use agreement::ViewProposal;
use bug_injection::{BugInjection, altered_by_bug, bug_injected};
use head::Head;
#[cfg(feature = "injected-bugs")]
pub use injected_bug::InjectedBug;
pub use repair::DiskComparison;
use requests::Requests;

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSetup {
    /// Its own internal listener.
    pub address: SocketAddrV4,
    /// Internal listeners of the seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// How many voters may be lost at once.
    pub tolerated_losses: u32,
    /// How long the operator waits for an acknowledgement, in milliseconds.
    pub acknowledge_ms: u64,
    /// Within how long a new node must be a full member, in milliseconds.
    pub catch_up_ms: u64,
    /// Seed of the identity (on an empty disk) and of the back-off.
    pub random_seed: u64,
}

/// Names a [`Effect::Persist`] until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PersistTicket(pub u64);

/// Names a request of the shell until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestTicket(pub u64);

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message came; `from` is the sender's internal listener.
    Message { from: SocketAddrV4, message: Message },
    /// The records of this ticket are durable.
    Persisted { ticket: PersistTicket },
    /// The records of this ticket were refused by the disk; none of them counts.
    PersistFailed { ticket: PersistTicket },
    /// The operator asks for something.
    Request { ticket: RequestTicket, request: Request },
    /// Comes about every 50 ms.
    Tick,
    /// The process will end soon: hand over.
    Stop,
}

/// What the operator asks for.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Request {
    /// Takes a configuration that the shell has found valid.
    Put {
        /// Version that it builds on; 0 for the first.
        if_match: u64,
        document: ConfigurationDocument,
    },
    /// Asks for the configuration that a patch builds on, unless the patch was taken or can't be.
    Base {
        /// Version that the patch builds on.
        if_match: u64,
        /// Version that the patch makes.
        version: u64,
        /// [`patch_identity`](crate::document::patch_identity).
        request: Digest,
    },
    /// Reads the newest configuration.
    Read,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Reply {
    /// The configuration is taken.
    Accepted,
    /// Another version than the one built on is in place.
    Conflict { current: u64 },
    /// The version isn't above the current one.
    NotNewer { current: u64 },
    /// The newest configuration, or the one that a patch builds on.
    Document(Option<ConfigurationDocument>),
    /// Undecided: ask again.
    Unavailable,
}

/// What a replica asks its shell to do, in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send this; it may be lost.
    Send { to: SocketAddrV4, message: Message },
    /// Append these and sync, in order, and answer by the ticket afterwards.
    Persist { ticket: PersistTicket, records: Vec<DurableRecord> },
    /// Answer the operator.
    Reply { ticket: RequestTicket, reply: Reply },
    /// A newer configuration is known to be committed.
    Committed(ConfigurationDocument),
    /// This node became, or is no longer, head of the newest view it knows while it hears a majority.
    RoleChanged { head: bool, epoch: u64 },
    /// The control nodes known, for agents.
    Members(Vec<SocketAddrV4>),
}

/// Counts since the start, for the status page.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Views adopted.
    pub views_adopted: u64,
    /// Attempts to agree on a view.
    pub proposals: u64,
    /// Configurations committed while head.
    pub commits: u64,
    /// States sent whole to another replica.
    pub full_snapshots_sent: u64,
    /// States received that replaced a differing one.
    pub repairs: u64,
    /// Members found to differ from the head when a request had them confirm the epoch.
    pub read_repairs: u64,
    /// Members found to differ from the head by their heartbeats.
    pub digest_repairs: u64,
    /// Writes that the disk refused.
    pub persist_failures: u64,
}

/// The state machine of one control node.
#[derive(Debug)]
pub struct Replica {
    setup: ReplicaSetup,
    timing: Timing,
    bug_injection: BugInjection,
    random: ChaCha8Rng,
    now: Millis,
    started_at: Millis,
    identity: Identity,
    /// The newest view known.
    view: Option<View>,
    /// Epoch of the newest view on disk.
    durable_epoch: u64,
    /// Votes on the successor of `view`.
    acceptor: AcceptorState,
    acceptor_log: AcceptorLog,
    durable_state: DurableState,
    committed_document: Option<ConfigurationDocument>,
    known_committed: Position,
    /// Present while this node is head of `view`, from the start of its service on.
    head: Option<Head>,
    /// This node is head by the view but can't serve in its epoch: it was restarted, or its disk failed.
    epoch_change_required: bool,
    proposal: Option<ViewProposal>,
    /// Nodes that hold this node's sealed state of the present epoch.
    sealed_state_holders: BTreeSet<Identity>,
    highest_proposal_counter: u64,
    /// Attempts of this node to have a view agreed on in this epoch.
    proposal_attempts: u64,
    back_off_until: Millis,
    /// Since when a change of the view has been due.
    change_due_since: Option<Millis>,
    peers: Peers,
    requests: Requests,
    next_ticket: u64,
    effects: Vec<Effect>,
    /// Messages to this node itself.
    loopback: VecDeque<Message>,
    shutting_down: bool,
    disk_failed_at: Option<Millis>,
    last_tick_at: Millis,
    last_heartbeat_at: Millis,
    reported_role: (bool, u64),
    reported_members: Vec<SocketAddrV4>,
    counters: Counters,
}

impl Replica {
    /// A replica that starts now with what its disk held: snapshot records, then log records, in order.
    pub fn new(setup: ReplicaSetup, recovered: Vec<DurableRecord>, now: Millis) -> (Replica, Vec<Effect>) {
        Self::start(setup, recovered, now, BugInjection::default())
    }

    /// A replica with an injected bug, for tests.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected_bug(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
        injected_bug: InjectedBug,
    ) -> (Replica, Vec<Effect>) {
        Self::start(setup, recovered, now, BugInjection::of(injected_bug))
    }

    /// Takes an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Message { from, message } => self.on_message(from, message),
            Event::Persisted { ticket } => self.on_persisted(ticket),
            Event::PersistFailed { ticket } => self.on_persist_failed(ticket),
            Event::Request { ticket, request } => self.on_request(ticket, request),
            Event::Tick => self.on_tick(),
            Event::Stop => self.on_stop(),
        }
        self.settle();
        std::mem::take(&mut self.effects)
    }

    /// All that must be durable, compact: storage may replace its log by it.
    pub fn snapshot(&self) -> Vec<DurableRecord> {
        self.durable_records()
    }

    fn on_tick(&mut self) {
        let elapsed = self.now - self.last_tick_at;
        self.last_tick_at = self.now;
        if elapsed > self.timing.suspicion_timeout / 2 {
            self.peers.restart_observation(self.now, self.timing.suspicion_timeout);
        }
        self.expire_peers();
        self.retry_refused_writes();
        if self.now - self.last_heartbeat_at >= self.timing.heartbeat_interval {
            self.send_heartbeats();
        }
        self.on_head_tick();
        self.on_requests_tick();
        self.consider_view_change();
        self.report_members();
    }

    fn on_stop(&mut self) {
        self.shutting_down = true;
        self.send_heartbeats();
    }

    /// Does what has become possible by an event.
    fn settle(&mut self) {
        loop {
            self.activate_head();
            self.serve_queue();
            let Some(message) = self.loopback.pop_front() else { break };
            self.on_message(self.setup.address, message);
        }
        self.report_role();
    }

    // Effects

    fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Whether the newest view is on disk, so that this node may act in it.
    fn is_established_in_view(&self) -> bool {
        let durable =
            self.durable_epoch == self.epoch() || bug_injected!(self.bug_injection, ActBeforeViewDurable);
        self.view.is_some() && durable
    }

    fn message(&self, body: MessageBody) -> Message {
        let body_sent = altered_by_bug!(self.bug_injection, altered_body, body);
        Message { sender: self.identity, epoch: self.epoch(), body: body_sent }
    }

    fn send(&mut self, to: SocketAddrV4, body: MessageBody) {
        let message = self.message(body);
        self.send_message(to, message);
    }

    fn send_message(&mut self, to: SocketAddrV4, message: Message) {
        if to == self.setup.address {
            self.loopback.push_back(message);
        } else {
            self.effects.push(Effect::Send { to, message });
        }
    }

    fn send_to_voter(&mut self, voter: Identity, body: MessageBody) {
        let address = self.view.as_ref().and_then(|view| view.address_of(voter));
        if let Some(address) = address {
            self.send(address, body);
        }
    }

    /// Sends this once all votes cast so far are durable.
    fn send_after_acceptor_writes(&mut self, to: SocketAddrV4, body: MessageBody) {
        let message = self.message(body);
        if bug_injected!(self.bug_injection, VoteAnsweredBeforeDurable) {
            self.send_message(to, message);
            return;
        }
        if let Some(after) = self.acceptor_log.defer(AfterAcceptorWrite::Send { to, message }) {
            self.after_acceptor_write(after);
        }
    }
}
