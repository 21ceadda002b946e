//! Executes a soak's schedule on a world, and ends each disturbance after its duration.
//!
//! Also takes the platform's part: a process that exits unexpectedly is recorded and restarted, a process that was sent
//! SIGTERM is killed after the grace period, and the instance list follows the stages of the searchers.

mod processes;
mod searchers;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use super::disturbance::Disturbance;
use super::schedule::{Schedule, Step};
use super::writer::{Command, Writer, WriterResult};
use super::{POST_RECOVERY_TRAFFIC, SoakError};
use crate::deployment::request_mix;
use crate::engine::Micros;
use crate::fleet::{ProcessId, Role, Signal};
use crate::load::{Load, LoadPlan};
use crate::request::RequestRecord;
use crate::world::World;

const PARTITION_DURATION: Duration = Duration::from_secs(3);
const SLOW_DURATION: Duration = Duration::from_secs(3);
const PLATFORM_OUTAGE_DURATION: Duration = Duration::from_secs(2);
const BURST_DURATION: Duration = Duration::from_secs(3);
/// Total load during a burst, as a multiple of the usual load.
const BURST_FACTOR: f64 = 3.0;
/// Slow-down of a slow searcher.
const SLOW_FACTOR: u64 = 8;
/// Slow-down of KV cache transfers.
const SLOW_LINK_FACTOR: u64 = 40;
/// Requests at each searcher into which a fault is injected.
const FAULTY_REQUESTS: usize = 2;
/// How long all handles are expired repeatedly.
const EXPIRY: Duration = Duration::from_secs(1);
/// Interval between checks of the processes and the instance list.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(100);

/// A scheduled action that begins, continues or ends a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Begin(Disturbance),
    Start(ProcessId),
    Resume(ProcessId),
    /// Polls a process that was sent SIGTERM and kills it at `kill_at`; if `rolling`, the next one of its role follows.
    AwaitExit {
        process: ProcessId,
        kill_at: Duration,
        rolling: bool,
    },
    HealEdgePartition(usize),
    HealCorePartition(usize),
    RestoreSpeed(usize),
    RestoreLinks,
    ExpireHandles {
        until: Duration,
    },
    ReplaceModel(usize),
    /// Removes the departing searcher with this number.
    RemoveModel(u64),
    RestorePlatform,
    ReleasePorts,
}

impl Action {
    /// Whether it concerns a process of the fleet; the final outage cancels such actions.
    fn concerns_processes(self) -> bool {
        matches!(
            self,
            Action::Begin(_) | Action::Start(_) | Action::Resume(_) | Action::AwaitExit { .. }
        )
    }
}

/// Start and end of the final outage, on the clock of the requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutageTimes {
    pub outage_at: Micros,
    pub restored_at: Micros,
}

/// A SIGTERM to a process, on the clock of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The process.
    pub process: ProcessId,
    /// When the first signal was sent.
    pub at: Micros,
}

/// Executes one soak's schedule.
pub(super) struct Executor<'a> {
    world: &'a mut World,
    writer: Writer,
    rate_per_second: f64,
    grace: Duration,
    started_at: Instant,
    /// Pending actions by due time and sequence number.
    schedule: BTreeMap<(Duration, u64), Action>,
    scheduled_count: u64,
    bursts: Vec<Load>,
    unexpected_exits: Vec<String>,
    stops: Vec<Stop>,
    /// Instances of departing model searchers, by the number in [`Action::RemoveModel`].
    departing: BTreeMap<u64, String>,
    /// Sockets that occupy ports of the fleet.
    occupied_ports: Vec<TcpListener>,
}

impl<'a> Executor<'a> {
    pub fn new(world: &'a mut World, rate_per_second: f64, grace: Duration) -> Executor<'a> {
        let writer = Writer::start(
            std::sync::Arc::clone(&world.operator),
            world.configuration.clone(),
        );
        Executor {
            world,
            writer,
            rate_per_second,
            grace,
            started_at: Instant::now(),
            schedule: BTreeMap::new(),
            scheduled_count: 0,
            bursts: Vec::new(),
            unexpected_exits: Vec::new(),
            stops: Vec::new(),
            departing: BTreeMap::new(),
            occupied_ports: Vec::new(),
        }
    }

    /// Runs the schedule; returns `length` after the start, when the load has ended.
    pub fn run(&mut self, schedule: &Schedule, length: Duration) -> Result<OutageTimes, SoakError> {
        for step in &schedule.steps {
            self.schedule_at(step.at, Action::Begin(step.disturbance));
        }
        self.run_until(schedule.outage.at)?;
        let times = self.run_outage(schedule.outage)?;
        self.run_until(length)?;
        Ok(times)
    }

    /// Runs steps without a final outage; returns `length` after the start.
    pub fn run_steps(&mut self, steps: &[Step], length: Duration) -> Result<(), SoakError> {
        for step in steps {
            self.schedule_at(step.at, Action::Begin(step.disturbance));
        }
        self.run_until(length)
    }

    /// All SIGTERMs so far.
    pub fn stops(&self) -> Vec<Stop> {
        self.stops.clone()
    }

    /// Waits for bursts and configuration changes; returns the bursts' records, the writer's result and the unexpected
    /// process exits.
    pub fn end(self) -> (Vec<RequestRecord>, WriterResult, Vec<String>) {
        let records = self.bursts.into_iter().flat_map(Load::finish).collect();
        (records, self.writer.end(), self.unexpected_exits)
    }

    /// Executes the actions due up to `until`, and supervises the processes meanwhile.
    fn run_until(&mut self, until: Duration) -> Result<(), SoakError> {
        loop {
            let next = self.schedule.first_key_value().map(|((at, _), _)| *at);
            let due_at = next.unwrap_or(until).min(until);
            self.wait_until(due_at)?;
            match self.schedule.first_entry() {
                Some(entry) if entry.key().0 <= self.started_at.elapsed() => {
                    let action = entry.remove();
                    self.execute(action)?;
                }
                _ if self.started_at.elapsed() >= until => return Ok(()),
                _ => {}
            }
        }
    }

    fn schedule_at(&mut self, at: Duration, action: Action) {
        self.schedule.insert((at, self.scheduled_count), action);
        self.scheduled_count += 1;
    }

    fn schedule_after(&mut self, delay: Duration, action: Action) {
        self.schedule_at(self.started_at.elapsed() + delay, action);
    }

    fn wait_until(&mut self, at: Duration) -> Result<(), SoakError> {
        while let Some(left) = at
            .checked_sub(self.started_at.elapsed())
            .filter(|left| !left.is_zero())
        {
            std::thread::park_timeout(left.min(SUPERVISION_INTERVAL));
            self.supervise()?;
        }
        Ok(())
    }

    fn execute(&mut self, action: Action) -> Result<(), SoakError> {
        match action {
            Action::Begin(disturbance) => self.begin(disturbance)?,
            Action::Start(process) => self.world.fleet.start(process, false)?,
            Action::Resume(process) => {
                self.world
                    .fleet
                    .signal(process.role, process.machine, Signal::Continue);
            }
            Action::AwaitExit {
                process,
                kill_at,
                rolling,
            } => self.await_exit(process, kill_at, rolling),
            Action::HealEdgePartition(edge) => self.world.fleet.set_edge_partitioned(edge, false),
            Action::HealCorePartition(core) => self
                .world
                .fleet
                .set_core_partitioned_from_edges(core, false),
            Action::RestoreSpeed(searcher) => self.set_speed(searcher, 1),
            Action::RestoreLinks => self.set_link_slow_down(1),
            Action::ExpireHandles { until } => self.expire_handles(until),
            Action::ReplaceModel(position) => {
                let position = self.model(position);
                self.world.restart_model(position)?;
            }
            Action::RemoveModel(number) => self.remove_model(number),
            Action::RestorePlatform => self.world.platform.set_down(false),
            Action::ReleasePorts => self.occupied_ports.clear(),
        }
        Ok(())
    }

    fn begin(&mut self, disturbance: Disturbance) -> Result<(), SoakError> {
        match disturbance {
            Disturbance::Kill(role, number) => {
                let machine = self.machine(role, number);
                self.kill(ProcessId { role, machine });
            }
            Disturbance::KillAll(role) => self
                .processes_of(role)
                .for_each(|process| self.kill(process)),
            Disturbance::Freeze(role, number) => {
                let machine = self.machine(role, number);
                self.freeze(ProcessId { role, machine });
            }
            Disturbance::Roll(role) => self.roll(ProcessId { role, machine: 0 }),
            Disturbance::Terminate(role, number) => {
                let machine = self.machine(role, number);
                self.terminate(ProcessId { role, machine }, false);
            }
            Disturbance::TerminateEdge(number) => {
                let machine = self.machine(Role::Proxy, number);
                for role in [Role::Agent, Role::Proxy] {
                    self.terminate(ProcessId { role, machine }, false);
                }
            }
            Disturbance::HangUpAll => self.world.fleet.signal_all(Signal::HangUp),
            Disturbance::LoseDisk(number) => self.lose_disk(number)?,
            Disturbance::ChangeSeeds(choice) => {
                self.world.fleet.change_seeds(choice)?;
                self.world.fleet.signal_all(Signal::HangUp);
            }
            Disturbance::PartitionEdge(number) => {
                let edge = self.machine(Role::Agent, number);
                self.world.fleet.set_edge_partitioned(edge, true);
                self.schedule_after(PARTITION_DURATION, Action::HealEdgePartition(edge));
            }
            Disturbance::PartitionCore(number) => {
                let core = self.machine(Role::Control, number);
                self.world.fleet.set_core_partitioned_from_edges(core, true);
                self.schedule_after(PARTITION_DURATION, Action::HealCorePartition(core));
            }
            Disturbance::ChangeConfiguration => self.writer.send(Command::Change),
            Disturbance::ConfigurationStorm => self.writer.send(Command::Storm),
            Disturbance::RacingChanges => self.writer.send(Command::Race),
            Disturbance::InvalidConfiguration => self.writer.send(Command::Invalid),
            Disturbance::LostAcknowledgements => self.writer.send(Command::LostAcknowledgements),
            Disturbance::CrashSearcher(number) => {
                let position = self.model(number);
                self.world.restart_model(position)?;
            }
            Disturbance::ReleaseSearcher(number) => self.release(self.model(number)),
            Disturbance::RetireDecodeSearchers => self.retire_decode_searchers(),
            Disturbance::SlowSearcher(number) => {
                let searcher = self.model(number);
                self.set_speed(searcher, SLOW_FACTOR);
                self.schedule_after(SLOW_DURATION, Action::RestoreSpeed(searcher));
            }
            Disturbance::SlowLinks => {
                self.set_link_slow_down(SLOW_LINK_FACTOR);
                self.schedule_after(SLOW_DURATION, Action::RestoreLinks);
            }
            Disturbance::LapsingHandles => self.expire_handles(self.started_at.elapsed() + EXPIRY),
            Disturbance::FaultyRuns(fault) => {
                let faults = self.world.faults();
                faults.for_each(|faults| faults.on_runs(fault, FAULTY_REQUESTS));
            }
            Disturbance::FaultyPrefills(fault) => {
                let faults = self.world.faults();
                faults.for_each(|faults| faults.on_prefills(fault, FAULTY_REQUESTS));
            }
            Disturbance::PlatformDown => {
                self.world.platform.set_down(true);
                self.schedule_after(PLATFORM_OUTAGE_DURATION, Action::RestorePlatform);
            }
            Disturbance::Burst => self.burst(),
        }
        Ok(())
    }

    fn burst(&mut self) {
        let rate = self.rate_per_second * (BURST_FACTOR - 1.0);
        let plan = LoadPlan {
            kinds: request_mix(&self.world.configuration, rate),
            length: BURST_DURATION,
            workers: (rate * 3.0) as usize,
            seed: self.scheduled_count,
            max_idle: POST_RECOVERY_TRAFFIC,
        };
        self.bursts.push(self.world.load(&plan));
    }
}
