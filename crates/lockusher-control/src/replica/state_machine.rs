//! The state of one control node, and the events that advance it.
//!
//! Owned by the driver, which calls [`Replica::handle`] with one event at a time and carries out the effects in order. The
//! modules beside this one add the methods of each concern. No I/O, clock or thread: the same events at the same times,
//! with the same seed, give the same effects.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use rand_chacha::ChaCha8Rng;

use super::bug_injection::BugInjection;
use super::counters::Counters;
use super::effect::Effect;
use super::event::Event;
use super::head::Head;
#[cfg(feature = "injected-bugs")]
use super::injected_bug::InjectedBug;
use super::request_queue::Requests;
use super::setup::ReplicaSetup;
use super::view_proposal::ViewProposal;
use crate::acceptor::AcceptorState;
use crate::acceptor_log::AcceptorLog;
use crate::document::ConfigurationDocument;
use crate::durable_record::DurableRecord;
use crate::durable_state::DurableState;
use crate::failure_detector::Peers;
use crate::message::Message;
use crate::position::Position;
use crate::time::Millis;
use crate::timing::Timing;
use crate::view::{Identity, View};

/// Whether this node is head, and in which epoch, as its driver was last told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedRole {
    /// Whether it is head.
    pub(super) head: bool,
    /// Epoch of the newest view at that time.
    pub(super) epoch: u64,
}

/// The state machine of one control node.
#[derive(Debug)]
pub struct Replica {
    /// Address, seeds and the operator's bounds; never changed.
    pub(super) setup: ReplicaSetup,
    /// Intervals that follow from `setup`.
    pub(super) timing: Timing,
    /// The guard of the protocol that a test has left out, if any.
    pub(super) bug_injection: BugInjection,
    /// Source of all random numbers; each draw is part of the reproducible behaviour.
    pub(super) random: ChaCha8Rng,
    /// Time of the newest event. Never decreases.
    pub(super) now: Millis,
    /// Time of the start.
    pub(super) started_at: Millis,
    /// Identity of this node's disk.
    pub(super) identity: Identity,
    /// The newest view known. Its epoch never decreases.
    pub(super) view: Option<View>,
    /// Epoch of the newest view on disk: at most that of `view`. The node acts in `view` once they are equal.
    pub(super) durable_epoch: u64,
    /// The acceptor of the agreement on the successor of `view`. May be ahead of the disk; messages that report it wait
    /// in `acceptor_log`.
    pub(super) acceptor: AcceptorState,
    /// Writes of `acceptor` and of views that aren't durable yet.
    pub(super) acceptor_log: AcceptorLog,
    /// This node's copy of the replicated state, and the write of it in flight.
    pub(super) durable_state: DurableState,
    /// The newest configuration known to be committed. Its version never decreases.
    pub(super) committed_document: Option<ConfigurationDocument>,
    /// Position up to which the durable state is known to be committed.
    pub(super) known_committed: Position,
    /// Present while this node is head of `view`, from the start of its service on.
    pub(super) head: Option<Head>,
    /// This node is head by the view but can't serve in its epoch: it was restarted, or its disk failed. Only a further
    /// view ends this.
    pub(super) epoch_change_required: bool,
    /// The attempt of this node to have a view agreed on, while one is in progress.
    pub(super) proposal: Option<ViewProposal>,
    /// Nodes that have stored this node's sealed state of the present epoch.
    pub(super) sealed_state_holders: BTreeSet<Identity>,
    /// Highest counter of a proposal number seen: the next proposal's is above it.
    pub(super) highest_proposal_counter: u64,
    /// Attempts of this node to have a view agreed on in this epoch.
    pub(super) proposal_attempts: u64,
    /// No proposal is started before this time.
    pub(super) back_off_until: Millis,
    /// Since when a change of the view has been due.
    pub(super) change_due_since: Option<Millis>,
    /// What the other nodes have reported, and whom this node can reach.
    pub(super) peers: Peers,
    /// Control nodes that an agent named, for when the seeds lead to none.
    pub(super) introduced: Vec<SocketAddrV4>,
    /// Requests of this node's driver that aren't answered.
    pub(super) requests: Requests,
    /// Number of the newest [`PersistTicket`](crate::durable_record::PersistTicket).
    pub(super) next_ticket: u64,
    /// Effects of the present event, in order. Empty between events.
    pub(super) effects: Vec<Effect>,
    /// Messages to this node itself, delivered before the present event ends. Empty between events.
    pub(super) loopback: VecDeque<Message>,
    /// [`Event::Stop`] has come.
    pub(super) shutting_down: bool,
    /// When the disk refused a write of the replicated state; `None` once it has taken a later one.
    pub(super) disk_failed_at: Option<Millis>,
    /// Time of the newest tick.
    pub(super) last_tick_at: Millis,
    /// When heartbeats were last sent to everybody.
    pub(super) last_heartbeat_at: Millis,
    /// What the newest [`Effect::RoleChanged`] said.
    pub(super) reported_role: ReportedRole,
    /// Nodes named by the newest [`Effect::Members`].
    pub(super) reported_members: Vec<SocketAddrV4>,
    /// Counts since the start.
    pub(super) counters: Counters,
}

impl Replica {
    /// A replica that starts now with the records of its disk: those of the snapshot, then those of the log, in order.
    pub fn new(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
    ) -> (Replica, Vec<Effect>) {
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
        Self::with_injected_bugs(setup, recovered, now, [Some(injected_bug), None])
    }

    /// A replica with two injected bugs at most, for tests of a guard together with the one that covers it.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected_bugs(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
        injected_bugs: [Option<InjectedBug>; 2],
    ) -> (Replica, Vec<Effect>) {
        Self::start(setup, recovered, now, BugInjection::of(injected_bugs))
    }

    /// Takes an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Message { from, message } => self.on_message(from, message),
            Event::Persisted { ticket } => self.on_persisted(ticket),
            Event::PersistFailed { ticket } => self.on_persist_failed(ticket),
            Event::Request { ticket, request } => self.on_request(ticket, request),
            Event::Introduced { addresses } => self.introduced = addresses,
            Event::Tick => self.on_tick(),
            Event::Stop => self.on_stop(),
        }
        self.advance();
        std::mem::take(&mut self.effects)
    }

    /// All that must be durable, compact: storage may replace its log by it.
    pub fn snapshot(&self) -> Vec<DurableRecord> {
        self.durable_records()
    }

    /// Whatever depends on time alone.
    fn on_tick(&mut self) {
        let elapsed = self.now - self.last_tick_at;
        self.last_tick_at = self.now;
        if elapsed > self.timing.suspicion_timeout / 2 {
            self.peers
                .restart_observation(self.now, self.timing.suspicion_timeout);
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

    /// Announces the shutdown, so that the others replace this node.
    fn on_stop(&mut self) {
        self.shutting_down = true;
        self.send_heartbeats();
    }

    /// Does what has become possible by an event.
    pub(super) fn advance(&mut self) {
        loop {
            self.activate_head();
            self.serve_queue();
            let Some(message) = self.loopback.pop_front() else {
                break;
            };
            self.on_message(self.setup.address, message);
        }
        self.report_role();
    }
}
