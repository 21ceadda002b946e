//! Plays a day's troubles on a world, and ends each after its time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::trouble::{Day, Trouble};
use super::writer::{Order, Writer, Written};
use super::{CALM_END, HuntError};
use crate::deployment::mix;
use crate::fleet::{Role, Signal};
use crate::load::{Load, LoadPlan};
use crate::request::RequestRecord;
use crate::world::World;

/// How long a killed process stays away, and how long a freeze or a slow time lasts.
const AWAY: Duration = Duration::from_millis(800);
const FREEZE: Duration = Duration::from_millis(2_500);
const SLOW: Duration = Duration::from_secs(3);
const PLATFORM_DOWN: Duration = Duration::from_secs(2);
/// How long a searcher drains before it is replaced.
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
/// A new trouble of a core machine waits until the one before is over and caught up with.
const CORE_PAUSE: Duration = Duration::from_secs(5);
/// Looks until a process that was told to end has ended.
const END_TRIES: u32 = 400;

/// What ends a trouble, or continues it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Begin(Trouble),
    Start(Role, usize),
    Wake(Role, usize),
    /// The proxy was told to end; the next in turn follows when it is back.
    AwaitProxy(usize),
    RestoreSpeed(usize),
    RestoreLinks,
    Lapse {
        until: Duration,
    },
    ReplaceModel(usize),
    PlatformUp,
}

pub(super) struct Player<'a> {
    world: &'a mut World,
    writer: Writer,
    rate_per_second: f64,
    begun: Instant,
    /// What is to be done, by when and in which order it was planned.
    plan: BTreeMap<(Duration, u64), Action>,
    planned: u64,
    bursts: Vec<Load>,
    /// Until when no further core machine may be troubled.
    core_troubled: Duration,
    /// Until when no further process of the edge machines may be told to end or killed.
    edge_troubled: Duration,
}

impl<'a> Player<'a> {
    pub fn new(world: &'a mut World, rate_per_second: f64) -> Player<'a> {
        let writer = Writer::start(
            std::sync::Arc::clone(&world.operator),
            world.configuration.clone(),
        );
        Player {
            world,
            writer,
            rate_per_second,
            begun: Instant::now(),
            plan: BTreeMap::new(),
            planned: 0,
            bursts: Vec::new(),
            core_troubled: Duration::ZERO,
            edge_troubled: Duration::ZERO,
        }
    }

    /// Plays all troubles; returns when the traffic of the day has ended.
    pub fn play(&mut self, day: &Day, length: Duration) -> Result<(), HuntError> {
        for step in &day.steps {
            self.plan_at(step.at, Action::Begin(step.trouble));
        }
        while let Some(((at, _), action)) = self.plan.pop_first() {
            self.wait_until(at);
            self.act(action, length)?;
        }
        self.wait_until(length);
        Ok(())
    }

    /// Waits for bursts and changes.
    pub fn end(self) -> (Vec<RequestRecord>, Written) {
        let records = self.bursts.into_iter().flat_map(Load::finish).collect();
        (records, self.writer.end())
    }

    fn plan_at(&mut self, at: Duration, action: Action) {
        self.plan.insert((at, self.planned), action);
        self.planned += 1;
    }

    fn plan_in(&mut self, span: Duration, action: Action) {
        self.plan_at(self.begun.elapsed() + span, action);
    }

    fn wait_until(&self, at: Duration) {
        while let Some(left) = at
            .checked_sub(self.begun.elapsed())
            .filter(|left| !left.is_zero())
        {
            std::thread::park_timeout(left);
        }
    }

    fn act(&mut self, action: Action, length: Duration) -> Result<(), HuntError> {
        match action {
            Action::Begin(trouble) => self.begin(trouble, length)?,
            Action::Start(role, machine) => self.start(role, machine)?,
            Action::Wake(role, machine) => self.world.fleet.signal(role, machine, Signal::Continue),
            Action::AwaitProxy(edge) => self.follow_roll(edge)?,
            Action::RestoreSpeed(searcher) => self.set_speed(searcher, 1),
            Action::RestoreLinks => self
                .world
                .models
                .iter()
                .for_each(|model| model.set_link_slow_down(1)),
            Action::Lapse { until } => self.lapse(until),
            Action::ReplaceModel(position) => self.world.restart_model(position)?,
            Action::PlatformUp => self.world.platform.set_down(false),
        }
        Ok(())
    }

    /// Begins a trouble; one that may not come on top of another is put off, or left out near the end.
    fn begin(&mut self, trouble: Trouble, length: Duration) -> Result<(), HuntError> {
        let now = self.begun.elapsed();
        let free_at = self.free_at(trouble);
        if free_at > now {
            if free_at + CALM_END <= length {
                self.plan_at(free_at, Action::Begin(trouble));
            }
            return Ok(());
        }
        if troubles_core(trouble) {
            self.core_troubled = now + FREEZE + CORE_PAUSE;
        }
        if troubles_edge(trouble) {
            self.edge_troubled = now + FREEZE;
        }
        self.begin_now(trouble)
    }

    fn free_at(&self, trouble: Trouble) -> Duration {
        if troubles_core(trouble) {
            self.core_troubled
        } else if troubles_edge(trouble) {
            self.edge_troubled
        } else {
            Duration::ZERO
        }
    }

    fn begin_now(&mut self, trouble: Trouble) -> Result<(), HuntError> {
        match trouble {
            Trouble::KillProxy(number) => self.kill(Role::Proxy, self.edge(number)),
            Trouble::KillAgent(number) => self.kill(Role::Agent, self.edge(number)),
            Trouble::KillControl(number) => self.kill(Role::Control, self.core(number)),
            Trouble::KillAllControl => {
                (0..self.cores()).for_each(|core| self.kill(Role::Control, core));
            }
            Trouble::FreezeProxy(number) => self.freeze(Role::Proxy, self.edge(number)),
            Trouble::FreezeAgent(number) => self.freeze(Role::Agent, self.edge(number)),
            Trouble::FreezeControl(number) => self.freeze(Role::Control, self.core(number)),
            Trouble::LoseDisk(number) => {
                let core = self.core(number);
                self.kill(Role::Control, core);
                self.world.fleet.lose_disk(core)?;
            }
            Trouble::RollProxies => self.roll(0),
            Trouble::ChangeConfiguration => self.writer.order(Order::Change),
            Trouble::ConfigurationStorm => self.writer.order(Order::Storm),
            Trouble::RacingChanges => self.writer.order(Order::Race),
            Trouble::InvalidConfiguration => self.writer.order(Order::Invalid),
            Trouble::LostAcknowledgements => self.writer.order(Order::LostAcknowledgements),
            Trouble::CrashSearcher(number) => self.world.restart_model(self.model(number))?,
            Trouble::ReleaseSearcher(number) => self.release(self.model(number)),
            Trouble::SlowSearcher(number) => {
                let searcher = self.model(number);
                self.set_speed(searcher, SLOW_FACTOR);
                self.plan_in(SLOW, Action::RestoreSpeed(searcher));
            }
            Trouble::SlowLinks => {
                self.world
                    .models
                    .iter()
                    .for_each(|model| model.set_link_slow_down(SLOW_LINK_FACTOR));
                self.plan_in(SLOW, Action::RestoreLinks);
            }
            Trouble::LapsingHandles => self.lapse(self.begun.elapsed() + LAPSING),
            Trouble::FaultyRuns(fault) => {
                self.world
                    .faults()
                    .for_each(|faults| faults.on_runs(fault, FAULTY_REQUESTS));
            }
            Trouble::FaultyPrefills(fault) => {
                self.world
                    .faults()
                    .for_each(|faults| faults.on_prefills(fault, FAULTY_REQUESTS));
            }
            Trouble::PlatformDown => {
                self.world.platform.set_down(true);
                self.plan_in(PLATFORM_DOWN, Action::PlatformUp);
            }
            Trouble::Burst => self.burst(),
        }
        Ok(())
    }

    fn kill(&mut self, role: Role, machine: usize) {
        self.world.fleet.kill(role, machine);
        self.plan_in(AWAY, Action::Start(role, machine));
    }

    fn freeze(&mut self, role: Role, machine: usize) {
        self.world.fleet.signal(role, machine, Signal::Stop);
        self.plan_in(FREEZE, Action::Wake(role, machine));
    }

    fn start(&mut self, role: Role, machine: usize) -> Result<(), HuntError> {
        match role {
            Role::Control => self.world.fleet.start_control(machine, false)?,
            Role::Agent => self.world.fleet.start_agent(machine, false)?,
            Role::Proxy => self.world.fleet.start_proxy(machine, false)?,
        }
        Ok(())
    }

    /// Tells a proxy to end; those after it follow in turn.
    fn roll(&mut self, edge: usize) {
        self.world
            .fleet
            .signal(Role::Proxy, edge, Signal::Terminate);
        self.plan_in(AWAY, Action::AwaitProxy(edge));
    }

    fn follow_roll(&mut self, edge: usize) -> Result<(), HuntError> {
        self.world.fleet.wait_ended(Role::Proxy, edge, END_TRIES)?;
        self.world.fleet.start_proxy(edge, false)?;
        self.world.fleet.wait_ready(edge)?;
        self.edge_troubled = self.begun.elapsed() + FREEZE;
        if edge + 1 < self.edges() {
            self.roll(edge + 1);
        }
        Ok(())
    }

    /// Shows a searcher as draining; a new incarnation takes its place later.
    fn release(&mut self, position: usize) {
        let model = &self.world.models[position];
        model.drain();
        self.world.platform.drain(&model.identity().instance);
        self.plan_in(DRAIN, Action::ReplaceModel(position));
    }

    fn set_speed(&mut self, searcher: usize, factor: u64) {
        self.world.models[searcher].set_slow_down(factor);
    }

    fn lapse(&mut self, until: Duration) {
        self.world
            .models
            .iter()
            .for_each(super::super::model_searcher::ModelSearcher::lapse_all_handles);
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
            reuse_within: BURST,
        };
        self.bursts.push(self.world.load(&plan));
    }

    fn edges(&self) -> usize {
        self.world.fleet.mixers().len()
    }

    fn cores(&self) -> usize {
        self.world.fleet.control().len()
    }

    fn edge(&self, number: usize) -> usize {
        number % self.edges()
    }

    fn core(&self, number: usize) -> usize {
        number % self.cores()
    }

    fn model(&self, number: usize) -> usize {
        number % self.world.models.len()
    }
}

fn troubles_core(trouble: Trouble) -> bool {
    use Trouble::*;
    matches!(
        trouble,
        KillControl(_) | KillAllControl | FreezeControl(_) | LoseDisk(_)
    )
}

fn troubles_edge(trouble: Trouble) -> bool {
    use Trouble::*;
    matches!(
        trouble,
        KillProxy(_) | KillAgent(_) | FreezeProxy(_) | FreezeAgent(_) | RollProxies
    )
}
