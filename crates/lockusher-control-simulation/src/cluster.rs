//! All machines, the network and the operators, in virtual time.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Outcome, SimulationOptions,
    calls::DelayedCall,
    disk::DiskSpace,
    invariants::ProtocolInvariants,
    network::{Delivery, Network},
    node::Node,
    operator::Operator,
    reference_model::ReferenceModel,
    targeted_faults::{FaultAction, TargetedFault},
};
use lockusher_control::{Effect, Event, Millis, Replica, ReplicaSetup, Reply, Request, RequestTicket};

/// How often steps are faults; each run draws one.
const FAULT_PERCENTS: [u32; 4] = [1, 3, 6, 12];

/// Bounds of the simulated deployment.
pub(crate) const ACKNOWLEDGE_MS: Millis = 4000;
pub(crate) const CATCH_UP_MS: Millis = 4000;
const TICK_MS: Millis = 50;
const SEED_COUNT: usize = 3;
const OPERATOR_COUNT: usize = 3;
/// Within this time every node knows the newest configuration.
const DISSEMINATION_MS: Millis = 2000;

/// A simulated deployment.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) options: SimulationOptions,
    pub(crate) now: Millis,
    pub(crate) random: ChaCha8Rng,
    /// For the fault of the present step.
    pub(crate) fault_random: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) nodes: Vec<Node>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) model: ReferenceModel,
    pub(crate) invariants: ProtocolInvariants,
    /// A fault that waits for a step of the protocol.
    pub(crate) targeted_fault: Option<TargetedFault>,
    /// Calls that were held on their way.
    pub(crate) delayed_calls: Vec<DelayedCall>,
    /// When a majority of the voters last wasn't well.
    pub(crate) majority_unhealthy_at: Millis,
    pub(crate) next_request: u64,
    /// A single request, and its answer.
    pub(crate) pending_request: Option<(RequestTicket, Option<Reply>)>,
    /// How often a step is a fault or its end, in percent.
    pub(crate) fault_percent: u32,
    pub(crate) outcome: Outcome,
}

impl Cluster {
    /// A first start of all nodes within 0.3 s.
    pub fn new(options: SimulationOptions) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let fault_percent = FAULT_PERCENTS[random.random_range(0..FAULT_PERCENTS.len())];
        let nodes = (0..options.replicas)
            .map(|number| Node::new(address(number), true, random.random_range(1..300)))
            .collect();
        Self {
            options,
            now: 0,
            fault_random: ChaCha8Rng::seed_from_u64(options.seed),
            random,
            network: Network::default(),
            nodes,
            operators: (0..OPERATOR_COUNT).map(Operator::new).collect(),
            model: ReferenceModel::default(),
            invariants: ProtocolInvariants::default(),
            targeted_fault: None,
            delayed_calls: Vec::new(),
            majority_unhealthy_at: 0,
            next_request: 0,
            pending_request: None,
            fault_percent,
            outcome: Outcome::default(),
        }
    }

    /// Voters that may be lost at once.
    pub fn tolerated_losses(&self) -> usize {
        (self.options.replicas.saturating_sub(1) / 2).min(2)
    }

    /// Steps under faults and calls; the faults of some steps are left out.
    pub fn run_under_faults(&mut self, steps: usize, left_out: &BTreeSet<usize>) {
        for step in 0..steps {
            if !self.model.violations.is_empty() {
                return;
            }
            self.step_faults(step, left_out);
            self.step_operators();
            let interval = self.random.random_range(5..60);
            self.advance(self.now + interval);
        }
    }

    /// Ends all faults, and checks that the system comes back and holds what it told.
    pub fn run_recovery(&mut self) {
        if !self.model.violations.is_empty() {
            return;
        }
        self.end_faults();
        let faults_ended_at = self.now;
        let Some(version) = self.write_until_acknowledged(ACKNOWLEDGE_MS) else {
            let text = format!("{}: no write acknowledged after calm returned", self.now);
            self.model.violations.push(text);
            return;
        };
        self.outcome.recovery_ms = self.now - faults_ended_at;
        let rest = CATCH_UP_MS.saturating_sub(self.outcome.recovery_ms);
        if self.run_until_all_members(rest).is_none() {
            let text = format!("{}: not all are members of the chain", self.now);
            self.model.violations.push(text);
        }
        self.outcome.settle_ms = self.now - faults_ended_at;
        self.check_all_know(version);
        self.check_last_read();
        self.model.finish(self.now);
    }

    /// The result.
    pub fn into_outcome(self) -> Outcome {
        let epochs =
            self.nodes.iter().filter_map(|node| node.replica.as_ref()?.view()).map(|view| view.epoch);
        Outcome {
            epochs: epochs.max().unwrap_or(0),
            acknowledged: self.model.acknowledged,
            violations: self.model.violations,
            messages: self.network.sent,
            ..self.outcome
        }
    }

    /// The nodes' present state, one line each.
    pub fn describe(&self) -> String {
        let lines = self.nodes.iter().map(|node| {
            let Some(replica) = &node.replica else { return format!("{} down", node.address) };
            let view = replica.view().map(|view| (view.epoch, view.voters.len(), view.chain.clone()));
            format!(
                "{} {} head={} clean={} at={:?} committed={:?} view={view:?} {:?}",
                node.address,
                replica.identity(),
                replica.is_head(),
                replica.is_clean(),
                replica.position(),
                replica.committed().map(|document| document.version),
                replica.counters(),
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Full state of the replicas that run, for a search for a fault.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.nodes.iter().filter_map(|node| node.replica.as_ref())
    }

    // Calm

    /// One operator writes, with retries; the version acknowledged.
    pub(crate) fn write_until_acknowledged(&mut self, limit: Millis) -> Option<u64> {
        let deadline = self.now + limit;
        self.operators.truncate(1);
        self.operators[0].change = None;
        self.operators[0].call = None;
        self.operators[0].idle_until = 0;
        let acknowledged_before = self.operators[0].acknowledged.len();
        while self.now < deadline {
            if self.operators[0].call.is_none() && self.operators[0].change.is_none() {
                let change = self.operators[0].new_full_document(&mut self.random);
                self.operators[0].change = Some(change);
            }
            self.step_operator(0, false);
            self.advance(self.now + 5);
            let acknowledged = &self.operators[0].acknowledged;
            if let Some(change) = acknowledged[acknowledged_before..].last() {
                return Some(change.version);
            }
        }
        None
    }

    fn check_all_know(&mut self, version: u64) {
        self.advance(self.now + DISSEMINATION_MS);
        for node in self.nodes.iter().filter(|node| !node.removed) {
            let known = node.replica.as_ref().and_then(|replica| replica.committed());
            if known.map_or(0, |document| document.version) < version {
                let text = format!("{}: {} didn't learn version {version}", self.now, node.address);
                self.model.violations.push(text);
            }
        }
    }

    fn check_last_read(&mut self) {
        let reads = self.outcome.reads;
        let deadline = self.now + ACKNOWLEDGE_MS;
        while self.outcome.reads == reads && self.now < deadline {
            if self.operators[0].call.is_none() {
                self.call(0, Request::Read, None);
            }
            self.advance(self.now + 10);
            self.expire_call(0);
        }
        if self.outcome.reads == reads {
            self.model.violations.push(format!("{}: no read answered after calm returned", self.now));
        }
    }

    // Time

    /// Runs until this time.
    pub fn advance(&mut self, until: Millis) {
        while let Some(next) = self.next_time().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            self.deliver();
            self.deliver_delayed_calls();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
        }
        self.now = until;
    }

    fn next_time(&self) -> Option<Millis> {
        let nodes = self.nodes.iter().flat_map(|node| {
            let start = node.start_at.filter(|_| node.replica.is_none());
            let tick = node.replica.is_some().then(|| node.next_tick.max(node.frozen_until));
            let disk = node.disk.next_due().filter(|_| node.replica.is_some());
            [start, tick, disk.map(|due| due.max(node.frozen_until))].into_iter().flatten()
        });
        let late = self.delayed_calls.iter().map(|call| call.due);
        nodes.chain(late).chain(self.network.next_due()).min()
    }

    fn deliver(&mut self) {
        while let Some(arrival) = self.network.arrive(self.now) {
            let Some(Delivery { from, to, message }) = arrival else { continue };
            let Some(node) = self.nodes.iter().position(|node| node.address == to) else { continue };
            let thaws_at = self.nodes[node].frozen_until;
            if self.nodes[node].runs(self.now) {
                self.event(node, Event::Message { from, message });
            } else if thaws_at > self.now {
                self.network.hold(Delivery { from, to, message }, thaws_at);
            }
        }
    }

    fn run_node(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.replica.is_none() && node.start_at.is_some_and(|at| at <= now) {
            self.start(number);
            return;
        }
        if !node.runs(now) {
            return;
        }
        while let Some(finished) = self.nodes[number].disk.finish(now) {
            let ticket = finished.ticket;
            let event = match &finished.durable {
                Some(records) => {
                    self.check_written(number, records);
                    Event::Persisted { ticket }
                }
                None => Event::PersistFailed { ticket },
            };
            self.event(number, event);
        }
        let node = &mut self.nodes[number];
        if node.next_tick <= now {
            node.next_tick = now + TICK_MS;
            self.event(number, Event::Tick);
            self.take_snapshot(number);
        }
    }

    /// As a storage does: the snapshot takes the place of the log while no write is under way.
    fn take_snapshot(&mut self, number: usize) {
        let node = &self.nodes[number];
        if !node.disk.wants_snapshot() || node.disk.space != DiskSpace::Sufficient {
            return;
        }
        let Some(records) = node.replica.as_ref().map(Replica::snapshot) else { return };
        self.check_snapshot(number, &records);
        self.nodes[number].disk.replace(records);
    }

    fn start(&mut self, number: usize) {
        let tolerated_losses = self.tolerated_losses() as u32;
        let random_seed = self.random.random();
        let node = &mut self.nodes[number];
        let setup = ReplicaSetup {
            address: node.address,
            seeds: (0..SEED_COUNT.min(self.options.replicas)).map(address).collect(),
            first_start: node.first_start,
            tolerated_losses,
            acknowledge_ms: ACKNOWLEDGE_MS,
            catch_up_ms: CATCH_UP_MS,
            random_seed,
        };
        let setup = ReplicaSetup { seeds: self.seeds_for(number, setup.seeds), ..setup };
        let records = self.nodes[number].disk.records();
        log::trace!("{}: start of machine {number} with {records:?}", self.now);
        let (replica, effects) = match self.options.injected_bug {
            None => Replica::new(setup, records, self.now),
            Some(injected_bug) => Replica::with_injected_bug(setup, records, self.now, injected_bug),
        };
        let node = &mut self.nodes[number];
        node.replica = Some(replica);
        node.start_at = None;
        node.next_tick = self.now + TICK_MS;
        node.committed_version = 0;
        self.check_recovered(number);
        self.carry_out(number, effects);
    }

    /// At the first start the fixed seeds, later any three machines.
    fn seeds_for(&mut self, number: usize, first: Vec<SocketAddrV4>) -> Vec<SocketAddrV4> {
        let node = &mut self.nodes[number];
        if std::mem::replace(&mut node.first_start, false) {
            return first;
        }
        let present: Vec<SocketAddrV4> =
            self.nodes.iter().filter(|node| !node.removed).map(|node| node.address).collect();
        let skip = self.random.random_range(0..present.len());
        present.iter().cycle().skip(skip).take(SEED_COUNT.min(present.len())).copied().collect()
    }

    pub(crate) fn event(&mut self, number: usize, event: Event) {
        let now = self.now;
        let Some(replica) = &mut self.nodes[number].replica else { return };
        let effects = replica.handle(now, event);
        let fault_action = self.targeted_fault_triggered_by(&effects);
        if !matches!(fault_action, Some(FaultAction::CrashBeforeSend { .. })) {
            self.carry_out(number, effects);
        }
        if let Some(fault_action) = fault_action {
            self.apply_fault_action(number, fault_action);
        }
    }

    fn carry_out(&mut self, number: usize, effects: Vec<Effect>) {
        self.check_adopted(number);
        let now = self.now;
        let from = self.nodes[number].address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.check_sent(number, &message);
                    self.network.send(Delivery { from, to, message }, now, &mut self.random);
                }
                Effect::Persist { ticket, records } => {
                    self.nodes[number].disk.write(ticket, records, now, &mut self.random);
                }
                Effect::Reply { ticket, reply } => self.on_reply(ticket, reply),
                Effect::Committed(document) => {
                    if self.model.commit(&document, now) {
                        self.check_committed_is_stored();
                    }
                    let node = &mut self.nodes[number];
                    if document.version <= node.committed_version {
                        let text = format!("{now}: {from} went back to version {}", document.version);
                        self.model.violations.push(text);
                    }
                    node.committed_version = document.version;
                }
                Effect::RoleChanged { head: true, epoch } => self.model.head(epoch, from, now),
                Effect::RoleChanged { .. } | Effect::Members(_) => {}
            }
        }
    }
}

/// Address of the machine with this number.
pub(crate) fn address(number: usize) -> SocketAddrV4 {
    let number = u8::try_from(number % 200).unwrap_or(0);
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number + 1), 7000)
}
