//! The state of one control node, and the events that advance it.
//!
//! Owned by the driver, which calls [`Replica::handle`] with one event at a time and carries out the effects in order.
//! The sibling modules add the methods of each concern. The replica has no I/O, clock or threads: the same events at
//! the same times, with the same seed, give the same effects.

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

/// The role last reported to the driver.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedRole {
    /// Whether this node was head.
    pub(super) head: bool,
    /// Epoch of the newest view at that time.
    pub(super) epoch: u64,
}

/// The state machine of one control node.
#[derive(Debug)]
pub struct Replica {
    /// Address, seeds and the operator's bounds; never changes.
    pub(super) setup: ReplicaSetup,
    /// Intervals and timeouts derived from `setup`.
    pub(super) timing: Timing,
    /// Bugs injected by a test, if any.
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
    /// Present while this node is head of `view`, from its activation on.
    pub(super) head: Option<Head>,
    /// Whether this node, as head of `view`, can't serve in its epoch because it was restarted or its disk failed.
    /// Reset by the next view.
    pub(super) epoch_change_required: bool,
    /// This node's proposal of the next view, while one is in progress.
    pub(super) proposal: Option<ViewProposal>,
    /// Nodes that have stored this node's sealed state of the current epoch.
    pub(super) sealed_state_holders: BTreeSet<Identity>,
    /// Highest counter of a proposal number seen; the next proposal uses a higher one.
    pub(super) highest_proposal_counter: u64,
    /// Number of proposals that this node has started in the current epoch.
    pub(super) proposal_attempts: u64,
    /// No proposal is started before this time.
    pub(super) backoff_until: Millis,
    /// Since when a view change has been due.
    pub(super) change_due_since: Option<Millis>,
    /// Failure detector: the other nodes' reports, and whether they are reachable.
    pub(super) peers: Peers,
    /// Control nodes reported by an agent, contacted in addition to the seeds.
    pub(super) introduced: Vec<SocketAddrV4>,
    /// Unanswered requests of this node's driver.
    pub(super) requests: Requests,
    /// Number of the newest [`PersistTicket`](crate::durable_record::PersistTicket).
    pub(super) next_ticket: u64,
    /// Effects of the current event, in order. Empty between events.
    pub(super) effects: Vec<Effect>,
    /// Messages to this node itself, delivered before the current event ends. Empty between events.
    pub(super) loopback: VecDeque<Message>,
    /// Whether [`Event::Stop`] was received.
    pub(super) shutting_down: bool,
    /// When a write of the replicated state last failed; `None` once a later one has succeeded.
    pub(super) disk_failed_at: Option<Millis>,
    /// Time of the newest tick.
    pub(super) last_tick_at: Millis,
    /// When heartbeats were last sent to all known nodes.
    pub(super) last_heartbeat_at: Millis,
    /// The role reported by the newest [`Effect::RoleChanged`].
    pub(super) reported_role: ReportedRole,
    /// The nodes reported by the newest [`Effect::Members`].
    pub(super) reported_members: Vec<SocketAddrV4>,
    /// Counts since the start.
    pub(super) counters: Counters,
}

impl Replica {
    /// Starts a replica with the records of its disk: those of the snapshot, then those of the log, in order.
    pub fn new(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
    ) -> (Replica, Vec<Effect>) {
        Self::start(setup, recovered, now, BugInjection::default())
    }

    /// Starts a replica with an injected bug, for tests.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected_bug(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
        injected_bug: InjectedBug,
    ) -> (Replica, Vec<Effect>) {
        Self::with_injected_bugs(setup, recovered, now, [Some(injected_bug), None])
    }

    /// Starts a replica with up to two injected bugs, to test a guard together with the one that covers for it.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected_bugs(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
        injected_bugs: [Option<InjectedBug>; 2],
    ) -> (Replica, Vec<Effect>) {
        Self::start(setup, recovered, now, BugInjection::of(injected_bugs))
    }

    /// Handles an event and returns the effects to carry out, in order.
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

    /// The whole durable state as records, by which storage may replace its log.
    pub fn snapshot(&self) -> Vec<DurableRecord> {
        self.durable_records()
    }

    /// Runs time-driven work: failure detection, heartbeats, retries, timeouts and view changes.
    fn on_tick(&mut self) {
        let elapsed = self.now - self.last_tick_at;
        self.last_tick_at = self.now;
        if elapsed > self.timing.suspicion_timeout / 2 {
            self.peers
                .restart_observation(self.now, self.timing.suspicion_timeout);
        }
        self.expire_peers();
        self.retry_failed_writes();
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

    /// Makes the progress that an event enables: activates the head, serves queued requests and delivers loopback
    /// messages.
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
