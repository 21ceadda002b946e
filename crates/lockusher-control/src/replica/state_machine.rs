//! The state machine of one control node: its state and the events that advance it.

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

/// The state machine of one control node.
#[derive(Debug)]
pub struct Replica {
    pub(super) setup: ReplicaSetup,
    pub(super) timing: Timing,
    pub(super) bug_injection: BugInjection,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Millis,
    pub(super) started_at: Millis,
    pub(super) identity: Identity,
    /// The newest view known.
    pub(super) view: Option<View>,
    /// Epoch of the newest view on disk.
    pub(super) durable_epoch: u64,
    /// Votes on the successor of `view`.
    pub(super) acceptor: AcceptorState,
    pub(super) acceptor_log: AcceptorLog,
    pub(super) durable_state: DurableState,
    pub(super) committed_document: Option<ConfigurationDocument>,
    pub(super) known_committed: Position,
    /// Present while this node is head of `view`, from the start of its service on.
    pub(super) head: Option<Head>,
    /// This node is head by the view but can't serve in its epoch: it was restarted, or its disk failed.
    pub(super) epoch_change_required: bool,
    pub(super) proposal: Option<ViewProposal>,
    /// Nodes that hold this node's sealed state of the present epoch.
    pub(super) sealed_state_holders: BTreeSet<Identity>,
    pub(super) highest_proposal_counter: u64,
    /// Attempts of this node to have a view agreed on in this epoch.
    pub(super) proposal_attempts: u64,
    pub(super) back_off_until: Millis,
    /// Since when a change of the view has been due.
    pub(super) change_due_since: Option<Millis>,
    pub(super) peers: Peers,
    pub(super) requests: Requests,
    pub(super) next_ticket: u64,
    pub(super) effects: Vec<Effect>,
    /// Messages to this node itself.
    pub(super) loopback: VecDeque<Message>,
    pub(super) shutting_down: bool,
    pub(super) disk_failed_at: Option<Millis>,
    pub(super) last_tick_at: Millis,
    pub(super) last_heartbeat_at: Millis,
    pub(super) reported_role: (bool, u64),
    pub(super) reported_members: Vec<SocketAddrV4>,
    pub(super) counters: Counters,
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
    pub(super) fn settle(&mut self) {
        loop {
            self.activate_head();
            self.serve_queue();
            let Some(message) = self.loopback.pop_front() else { break };
            self.on_message(self.setup.address, message);
        }
        self.report_role();
    }
}
