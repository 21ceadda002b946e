//! Plays a soak's schedule on a world, and ends each disturbance after its time.
//!
//! Stands for the platform as well: a process that ends by itself is noted and started anew, one that was told to end is
//! killed after the grace, and the list shows the stages that searchers have taken.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use super::disturbance::Disturbance;
use super::schedule::{Closing, ClosingFault, Schedule};
use super::writer::{Order, Writer, Written};
use super::{CALM_END, SoakError};
use crate::deployment::mix;
use crate::engine::{Micros, Stage};
use crate::fleet::{ProcessId, Role, Signal};
use crate::load::{Load, LoadPlan};
use crate::request::RequestRecord;
use crate::world::World;

/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(800);
/// After this a process that has ended by itself, or was told to, is started anew.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const FREEZE: Duration = Duration::from_millis(2_500);
const PARTITION: Duration = Duration::from_secs(3);
const SLOW: Duration = Duration::from_secs(3);
const PLATFORM_DOWN: Duration = Duration::from_secs(2);
/// How long a searcher drains before it is replaced, or gone.
const DRAIN: Duration = Duration::from_secs(5);
const BURST: Duration = Duration::from_secs(3);
/// How many times the usual load comes in a burst, in all.
const BURST_FACTOR: f64 = 3.0;
const SLOW_FACTOR: u64 = 8;
const SLOW_LINK_FACTOR: u64 = 40;
/// Requests at each searcher that meet a fault.
const FAULTY_REQUESTS: usize = 2;
/// How long handles lapse at once.
const LAPSING: Duration = Duration::from_secs(1);
const LAPSE_PERIOD: Duration = Duration::from_millis(5);
/// How often the player looks after processes and list.
const SUPERVISION_PERIOD: Duration = Duration::from_millis(100);
/// How often it looks whether a process that was told to end has ended.
const END_LOOK: Duration = Duration::from_millis(50);
/// The processes of all machines start within this, in any order.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Searchers of a service that stay when the others leave for good.
const SEARCHERS_LEFT: usize = 2;

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

    /// Starts anew what has ended by itself, and lets the list follow the searchers.
    fn supervise(&mut self) -> Result<(), SoakError> {
        for (process, code) in self.world.fleet.take_ended() {
            let is_expected = self.plan.values().any(
                |action| matches!(action, Action::AwaitEnd { process: of, .. } if *of == process),
            );
            if !is_expected {
                let at = self.begun.elapsed().as_secs_f64();
                self.own_ends
                    .push(format!("{process} ended with {code} at {at:.2} s"));
                self.plan_in(RESTART_DELAY, Action::Start(process));
            }
        }
        self.world.list_stages();
        Ok(())
    }

    /// Takes everything at once and brings it back.
    fn close(&mut self, closing: Closing) -> Result<ClosingTimes, SoakError> {
        self.plan.retain(|_, action| !action.concerns_processes());
        let fault_at = self.world.clock.now();
        match closing.fault {
            ClosingFault::KillAll => self.world.fleet.kill_all(),
            // Silent, then gone: what the machines' peers and clients see of a loss of power.
            ClosingFault::PowerLost | ClosingFault::DisksLost => {
                self.world.fleet.signal_all(Signal::Stop);
            }
        }
        let returned = self.begun.elapsed() + closing.down;
        self.wait_until(returned)?;
        self.world.fleet.kill_all();
        if closing.fault == ClosingFault::DisksLost {
            for core in 0..self.world.fleet.tolerated_losses() {
                self.world.fleet.lose_disk(core)?;
            }
        }
        if let Some(span) = closing.ports_occupied {
            self.occupied_ports = self.world.fleet.occupy_agent_ports()?;
            self.plan_in(span, Action::ReleasePorts);
        }
        let returned_at = self.world.clock.now();
        self.start_all();
        Ok(ClosingTimes {
            fault_at,
            returned_at,
        })
    }

    /// Starts every process within the spread, the order by the number of the actions so far.
    fn start_all(&mut self) {
        let mut processes = self.world.fleet.all_processes();
        let turn = self.planned as usize % processes.len().max(1);
        processes.rotate_left(turn);
        let count = processes.len().max(1) as u32;
        for (number, process) in processes.into_iter().enumerate() {
            self.plan_in(START_SPREAD * number as u32 / count, Action::Start(process));
        }
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

    fn processes_of(&self, role: Role) -> std::vec::IntoIter<ProcessId> {
        let all = self.world.fleet.all_processes();
        let of_role: Vec<ProcessId> = all.into_iter().filter(|one| one.role == role).collect();
        of_role.into_iter()
    }

    fn kill(&mut self, process: ProcessId) {
        self.world.fleet.kill(process.role, process.machine);
        self.plan_in(AWAY, Action::Start(process));
    }

    fn freeze(&mut self, process: ProcessId) {
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Stop);
        self.plan_in(FREEZE, Action::Wake(process));
    }

    fn lose_disk(&mut self, number: usize) -> Result<(), SoakError> {
        let machine = self.machine(Role::Control, number);
        self.kill(ProcessId {
            role: Role::Control,
            machine,
        });
        self.world.fleet.lose_disk(machine)?;
        Ok(())
    }

    /// Tells a process to end; those after it follow in turn.
    fn roll(&mut self, process: ProcessId) {
        self.terminate(process, true);
    }

    fn terminate(&mut self, process: ProcessId, rolls: bool) {
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Terminate);
        let kill_at = self.begun.elapsed() + self.grace;
        self.plan_in(
            END_LOOK,
            Action::AwaitEnd {
                process,
                kill_at,
                rolls,
            },
        );
    }

    fn await_end(&mut self, process: ProcessId, kill_at: Duration, rolls: bool) {
        let is_running = self.world.fleet.is_running(process);
        if is_running && self.begun.elapsed() < kill_at {
            let look_again = Action::AwaitEnd {
                process,
                kill_at,
                rolls,
            };
            self.plan_in(END_LOOK, look_again);
            return;
        }
        self.world.fleet.kill(process.role, process.machine);
        self.plan_in(RESTART_DELAY, Action::Start(process));
        let machine = process.machine + 1;
        if rolls && machine < self.machines(process.role) {
            self.roll(ProcessId { machine, ..process });
        }
    }

    /// Shows a searcher as draining; a new incarnation takes its place later.
    fn release(&mut self, position: usize) {
        let model = &self.world.models[position];
        model.drain();
        self.world.platform.drain(&model.identity().instance);
        self.plan_in(DRAIN, Action::ReplaceModel(position));
    }

    /// Decode searchers leave for good, one after the other, while more searchers than are to stay are there.
    fn retire_decode_searchers(&mut self) {
        let leaving = |instance: &String| self.leaving.values().any(|other| other == instance);
        let staying: Vec<(String, Stage)> = self
            .world
            .models
            .iter()
            .map(|model| (model.identity().instance.clone(), model.report().stage))
            .filter(|(instance, _)| !leaving(instance))
            .collect();
        let may_leave = staying.len().saturating_sub(SEARCHERS_LEFT);
        let decoding = staying
            .into_iter()
            .filter(|(_, stage)| *stage == Stage::Decode)
            .take(may_leave);
        for (instance, _) in decoding.collect::<Vec<_>>() {
            self.world.drain_model(&instance);
            let number = self.planned;
            self.leaving.insert(number, instance);
            self.plan_in(DRAIN, Action::RemoveModel(number));
        }
    }

    fn remove_model(&mut self, number: u64) {
        if let Some(instance) = self.leaving.remove(&number) {
            self.world.remove_model(&instance);
        }
    }

    fn set_speed(&mut self, searcher: usize, factor: u64) {
        let searcher = self.model(searcher);
        self.world.models[searcher].set_slow_down(factor);
    }

    fn set_link_slow_down(&mut self, factor: u64) {
        for model in &self.world.models {
            model.set_link_slow_down(factor);
        }
    }

    fn lapse(&mut self, until: Duration) {
        for model in &self.world.models {
            model.lapse_all_handles();
        }
        if self.begun.elapsed() < until {
            self.plan_in(LAPSE_PERIOD, Action::Lapse { until });
        }
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

    fn machines(&self, role: Role) -> usize {
        match role {
            Role::Control => self.world.fleet.control_nodes(),
            Role::Agent | Role::Proxy => self.world.fleet.mixers().len(),
        }
    }

    fn machine(&self, role: Role, number: usize) -> usize {
        number % self.machines(role)
    }

    fn model(&self, number: usize) -> usize {
        number % self.world.models.len()
    }
}
