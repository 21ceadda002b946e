//! Plays a soak's schedule on a world, and ends each disturbance after its time.
//!
//! Stands for the platform as well: a process that ends by itself is noted and started anew, one that was told to end is
//! killed after the grace, and the list shows the stages that searchers have taken.

mod processes;
mod searchers;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use super::disturbance::Disturbance;
use super::schedule::Schedule;
use super::writer::{Order, Writer, Written};
use super::{CALM_END, SoakError};
use crate::deployment::mix;
use crate::engine::Micros;
use crate::fleet::{ProcessId, Role, Signal};
use crate::load::{Load, LoadPlan};
use crate::request::RequestRecord;
use crate::world::World;

const PARTITION: Duration = Duration::from_secs(3);
const SLOW: Duration = Duration::from_secs(3);
const PLATFORM_DOWN: Duration = Duration::from_secs(2);
const BURST: Duration = Duration::from_secs(3);
/// How many times the usual load comes in a burst, in all.
const BURST_FACTOR: f64 = 3.0;
const SLOW_FACTOR: u64 = 8;
const SLOW_LINK_FACTOR: u64 = 40;
/// Requests at each searcher that meet a fault.
const FAULTY_REQUESTS: usize = 2;
/// How long handles lapse at once.
const LAPSING: Duration = Duration::from_secs(1);
/// How often the player looks after processes and list.
const SUPERVISION_PERIOD: Duration = Duration::from_millis(100);

/// What ends a disturbance, or continues it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Begin(Disturbance),
    Start(ProcessId),
    Wake(ProcessId),
    /// The process was told to end, by the time given at the latest; the next of its role follows if `rolls`.
    AwaitEnd {
        process: ProcessId,
        kill_at: Duration,
        rolls: bool,
    },
    JoinEdge(usize),
    JoinCore(usize),
    RestoreSpeed(usize),
    RestoreLinks,
    Lapse {
        until: Duration,
    },
    ReplaceModel(usize),
    /// The searcher with this instance is gone for good.
    RemoveModel(u64),
    PlatformUp,
    ReleasePorts,
}

impl Action {
    /// Whether it concerns a process of the fleet: the closing fault leaves nothing of that to be done.
    fn concerns_processes(self) -> bool {
        matches!(
            self,
            Action::Begin(_) | Action::Start(_) | Action::Wake(_) | Action::AwaitEnd { .. }
        )
    }
}

/// When the closing fault came and all was back, on the clock of the requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosingTimes {
    pub fault_at: Micros,
    pub returned_at: Micros,
}

pub(super) struct Player<'a> {
    world: &'a mut World,
    writer: Writer,
    rate_per_second: f64,
    grace: Duration,
    begun: Instant,
    /// What is to be done, by when and in which order it was planned.
    plan: BTreeMap<(Duration, u64), Action>,
    planned: u64,
    bursts: Vec<Load>,
    own_ends: Vec<String>,
    /// Model searchers that leave for good, by the number of their action.
    leaving: BTreeMap<u64, String>,
    /// Sockets that hold ports of the fleet.
    occupied_ports: Vec<TcpListener>,
}

impl<'a> Player<'a> {
    pub fn new(world: &'a mut World, rate_per_second: f64, grace: Duration) -> Player<'a> {
        let writer = Writer::start(
            std::sync::Arc::clone(&world.operator),
            world.configuration.clone(),
        );
        Player {
            world,
            writer,
            rate_per_second,
            grace,
            begun: Instant::now(),
            plan: BTreeMap::new(),
            planned: 0,
            bursts: Vec::new(),
            own_ends: Vec::new(),
            leaving: BTreeMap::new(),
            occupied_ports: Vec::new(),
        }
    }

    /// Plays everything; returns when the traffic has ended, `length` after the start.
    pub fn play(
        &mut self,
        schedule: &Schedule,
        length: Duration,
    ) -> Result<ClosingTimes, SoakError> {
        for step in &schedule.steps {
            self.plan_at(step.at, Action::Begin(step.disturbance));
        }
        self.play_until(schedule.closing.at)?;
        let times = self.close(schedule.closing)?;
        self.play_until(length)?;
        Ok(times)
    }

    /// Waits for bursts and changes; also returns what processes ended by themselves.
    pub fn end(self) -> (Vec<RequestRecord>, Written, Vec<String>) {
        let records = self.bursts.into_iter().flat_map(Load::finish).collect();
        (records, self.writer.end(), self.own_ends)
    }

    /// Does what is planned until a time, and looks after processes meanwhile.
    fn play_until(&mut self, until: Duration) -> Result<(), SoakError> {
        loop {
            let next = self.plan.first_key_value().map(|((at, _), _)| *at);
            let due_at = next.unwrap_or(until).min(until);
            self.wait_until(due_at)?;
            match self.plan.first_entry() {
                Some(entry) if entry.key().0 <= self.begun.elapsed() => {
                    let action = entry.remove();
                    self.act(action)?;
                }
                _ if self.begun.elapsed() >= until => return Ok(()),
                _ => {}
            }
        }
    }

    fn plan_at(&mut self, at: Duration, action: Action) {
        self.plan.insert((at, self.planned), action);
        self.planned += 1;
    }

    fn plan_in(&mut self, span: Duration, action: Action) {
        self.plan_at(self.begun.elapsed() + span, action);
    }

    fn wait_until(&mut self, at: Duration) -> Result<(), SoakError> {
        while let Some(left) = at
            .checked_sub(self.begun.elapsed())
            .filter(|left| !left.is_zero())
        {
            std::thread::park_timeout(left.min(SUPERVISION_PERIOD));
            self.supervise()?;
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Result<(), SoakError> {
        match action {
            Action::Begin(disturbance) => self.begin(disturbance)?,
            Action::Start(process) => self.world.fleet.start(process, false)?,
            Action::Wake(process) => {
                self.world
                    .fleet
                    .signal(process.role, process.machine, Signal::Continue);
            }
            Action::AwaitEnd {
                process,
                kill_at,
                rolls,
            } => self.await_end(process, kill_at, rolls),
            Action::JoinEdge(edge) => self.world.fleet.set_edge_cut(edge, false),
            Action::JoinCore(core) => self.world.fleet.set_core_cut_from_edges(core, false),
            Action::RestoreSpeed(searcher) => self.set_speed(searcher, 1),
            Action::RestoreLinks => self.set_link_slow_down(1),
            Action::Lapse { until } => self.lapse(until),
            Action::ReplaceModel(position) => {
                let position = self.model(position);
                self.world.restart_model(position)?;
            }
            Action::RemoveModel(number) => self.remove_model(number),
            Action::PlatformUp => self.world.platform.set_down(false),
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
            Disturbance::KillAll(role) => self.processes_of(role).for_each(|one| self.kill(one)),
            Disturbance::Freeze(role, number) => {
                let machine = self.machine(role, number);
                self.freeze(ProcessId { role, machine });
            }
            Disturbance::Roll(role) => self.roll(ProcessId { role, machine: 0 }),
            Disturbance::HangUpAll => self.world.fleet.signal_all(Signal::HangUp),
            Disturbance::LoseDisk(number) => self.lose_disk(number)?,
            Disturbance::ChangeSeeds(choice) => {
                self.world.fleet.change_seeds(choice)?;
                self.world.fleet.signal_all(Signal::HangUp);
            }
            Disturbance::PartitionEdge(number) => {
                let edge = self.machine(Role::Agent, number);
                self.world.fleet.set_edge_cut(edge, true);
                self.plan_in(PARTITION, Action::JoinEdge(edge));
            }
            Disturbance::PartitionCore(number) => {
                let core = self.machine(Role::Control, number);
                self.world.fleet.set_core_cut_from_edges(core, true);
                self.plan_in(PARTITION, Action::JoinCore(core));
            }
            Disturbance::ChangeConfiguration => self.writer.order(Order::Change),
            Disturbance::ConfigurationStorm => self.writer.order(Order::Storm),
            Disturbance::RacingChanges => self.writer.order(Order::Race),
            Disturbance::InvalidConfiguration => self.writer.order(Order::Invalid),
            Disturbance::LostAcknowledgements => self.writer.order(Order::LostAcknowledgements),
            Disturbance::CrashSearcher(number) => {
                let position = self.model(number);
                self.world.restart_model(position)?;
            }
            Disturbance::ReleaseSearcher(number) => self.release(self.model(number)),
            Disturbance::RetireDecodeSearchers => self.retire_decode_searchers(),
            Disturbance::SlowSearcher(number) => {
                let searcher = self.model(number);
                self.set_speed(searcher, SLOW_FACTOR);
                self.plan_in(SLOW, Action::RestoreSpeed(searcher));
            }
            Disturbance::SlowLinks => {
                self.set_link_slow_down(SLOW_LINK_FACTOR);
                self.plan_in(SLOW, Action::RestoreLinks);
            }
            Disturbance::LapsingHandles => self.lapse(self.begun.elapsed() + LAPSING),
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
                self.plan_in(PLATFORM_DOWN, Action::PlatformUp);
            }
            Disturbance::Burst => self.burst(),
        }
        Ok(())
    }

    fn burst(&mut self) {
        let rate = self.rate_per_second * (BURST_FACTOR - 1.0);
        let plan = LoadPlan {
            kinds: mix(&self.world.configuration, rate),
            length: BURST,
            workers: (rate * 3.0) as usize,
            seed: self.planned,
            reuse_within: CALM_END,
        };
        self.bursts.push(self.world.load(&plan));
    }
}
