//! Processes of the simulated machines: starts, events for the replica and execution of its effects.

use std::net::SocketAddrV4;

use lockusher_control::{Effect, Event, Locality, Millis, Replica, ReplicaSetup};
use rand::RngExt;

use crate::{
    cluster::{ACKNOWLEDGE_MS, CATCH_UP_MS, Cluster, address},
    disk::DiskSpace,
    network::Delivery,
    targeted_faults::FaultAction,
    violation::ModelViolation,
};

/// Throughput that the replicas assume if links are unlimited, in bytes per millisecond.
const ASSUMED_BYTES_PER_MS: u64 = 4096;
/// Interval of [`Event::Tick`].
const TICK_MS: Millis = 50;
/// Number of seeds in the setup of each process.
const SEED_COUNT: usize = 3;

impl Cluster {
    /// Starts the process if that is due; otherwise completes its writes and sends its tick if they are due.
    pub(crate) fn run_node(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.replica.is_none() && node.start_at.is_some_and(|at| at <= now) {
            self.start_process(number);
            return;
        }
        if !node.runs(now) {
            return;
        }
        while let Some(completed_write) = self.nodes[number].disk.complete_next_write(now) {
            let ticket = completed_write.ticket;
            let event = match &completed_write.durable {
                Some(records) => {
                    self.check_written(number, records);
                    Event::Persisted { ticket }
                }
                None => Event::PersistFailed { ticket },
            };
            self.handle_event(number, event);
        }
        let node = &mut self.nodes[number];
        if node.next_tick <= now {
            node.next_tick = now + TICK_MS;
            self.handle_event(number, Event::Tick);
            self.take_snapshot(number);
        }
    }

    /// Replaces a long log by a snapshot while no write is in flight, as the production storage does.
    fn take_snapshot(&mut self, number: usize) {
        let node = &self.nodes[number];
        if !node.disk.needs_snapshot() || node.disk.space != DiskSpace::Sufficient {
            return;
        }
        let Some(records) = node.replica.as_ref().map(Replica::snapshot) else {
            return;
        };
        self.check_snapshot(number, &records);
        self.nodes[number].disk.replace_log(records);
    }

    /// Starts the process with the records on its disk.
    fn start_process(&mut self, number: usize) {
        let tolerated_losses = self.tolerated_losses() as u32;
        let tolerated_domains = self.tolerated_domains();
        let random_seed = self.random.random();
        let node = &mut self.nodes[number];
        let setup = ReplicaSetup {
            address: node.address,
            seeds: (0..SEED_COUNT.min(self.options.replicas))
                .map(address)
                .collect(),
            first_start: node.first_start,
            tolerated_losses,
            locality: Locality {
                zone: node.zone.to_string(),
                region: String::new(),
            },
            tolerated_domains,
            acknowledge_ms: ACKNOWLEDGE_MS,
            bytes_per_ms: self
                .options
                .link_bytes_per_ms
                .map_or(ASSUMED_BYTES_PER_MS, |link| link / 2),
            catch_up_ms: CATCH_UP_MS,
            random_seed,
        };
        let setup = ReplicaSetup {
            seeds: self.draw_seeds(number, setup.seeds),
            ..setup
        };
        let records = self.nodes[number].disk.records();
        log::trace!(
            "{}: machine {number} starts with the records {records:?}",
            self.now
        );
        let bugs = [self.options.injected_bug, self.options.second_injected_bug];
        let (replica, effects) = Replica::with_injected_bugs(setup, records, self.now, bugs);
        let node = &mut self.nodes[number];
        node.replica = Some(replica);
        node.start_at = None;
        node.next_tick = self.now + TICK_MS;
        node.committed_version = 0;
        self.check_recovered(number);
        self.execute_effects(number, effects);
    }

    /// Seeds of a process: the fixed ones at the first start, later any three consecutive machines that are present.
    fn draw_seeds(
        &mut self,
        number: usize,
        first_start_seeds: Vec<SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let node = &mut self.nodes[number];
        if std::mem::replace(&mut node.first_start, false) {
            return first_start_seeds;
        }
        let present: Vec<SocketAddrV4> = self
            .nodes
            .iter()
            .filter(|node| !node.removed)
            .map(|node| node.address)
            .collect();
        let skip = self.random.random_range(0..present.len());
        present
            .iter()
            .cycle()
            .skip(skip)
            .take(SEED_COUNT.min(present.len()))
            .copied()
            .collect()
    }

    /// Passes an event to a replica and executes the effects, unless a targeted fault kills the process before.
    pub(crate) fn handle_event(&mut self, number: usize, event: Event) {
        let now = self.now;
        let Some(replica) = &mut self.nodes[number].replica else {
            return;
        };
        let effects = replica.handle(now, event);
        let fault_action = self.trigger_targeted_fault(&effects);
        if !matches!(fault_action, Some(FaultAction::CrashBeforeSend { .. })) {
            self.execute_effects(number, effects);
        }
        if let Some(fault_action) = fault_action {
            self.apply_fault_action(number, fault_action);
        }
    }

    /// Executes the effects of a replica and checks them against the reference model and the invariants.
    fn execute_effects(&mut self, number: usize, effects: Vec<Effect>) {
        self.check_adopted(number);
        let now = self.now;
        let from = self.nodes[number].address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    self.check_sent(number, &message);
                    self.network
                        .send(Delivery { from, to, message }, now, &mut self.random);
                }
                Effect::Persist { ticket, records } => {
                    self.nodes[number]
                        .disk
                        .write(ticket, records, now, &mut self.random);
                }
                Effect::Reply { ticket, reply } => self.on_reply(ticket, reply),
                Effect::Committed(document) => {
                    if self
                        .model
                        .record_committed(&document, now, &mut self.violations)
                    {
                        self.check_committed_is_stored();
                    }
                    let node = &mut self.nodes[number];
                    if document.version <= node.committed_version {
                        let version = document.version;
                        let violation = ModelViolation::CommittedVersionNotIncreased {
                            node: from,
                            version,
                        };
                        self.violations.report(now, violation);
                    }
                    node.committed_version = document.version;
                }
                Effect::RoleChanged { head: true, epoch } => {
                    self.model
                        .record_head(epoch, from, now, &mut self.violations);
                }
                Effect::RoleChanged { .. } | Effect::Members(_) => {}
            }
        }
    }
}
