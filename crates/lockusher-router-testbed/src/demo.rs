//! The demo: a whole fleet on the loopback under load, with troubles, a live view and a summary.

use std::time::Duration;

use derive_more::{Display, Error, From};

use crate::checker::Verdict;
use crate::deployment::request_mix;
use crate::figures::Figures;
use crate::fleet::{FleetError, Role, Signal};
use crate::load::{Load, LoadPlan};
use crate::request::RequestRecord;
use crate::wait::WaitTimeout;
use crate::world::{World, WorldError, WorldPlan};

/// How often the live view shows a line.
const VIEW_INTERVAL: Duration = Duration::from_secs(1);
/// How long the operator waits for a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Looks until a process that was told to end has ended.
const EXIT_POLLS: u32 = 400;

/// Why the demo could not be played.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    #[display("{_0}")]
    World(WorldError),
    #[display("{_0}")]
    Fleet(FleetError),
    #[display("{_0}")]
    Wait(WaitTimeout),
}

/// What is played.
#[derive(Clone, Debug)]
pub struct DemoPlan {
    pub world: WorldPlan,
    pub rate_per_second: f64,
    pub seed: u64,
    /// Whether there are troubles; without them the load runs for as long.
    pub disturbances: bool,
    pub length: Duration,
}

/// What came of it.
pub struct Outcome {
    pub records: Vec<RequestRecord>,
    pub figures: Figures,
    pub verdict: Verdict,
    /// Processes that ended although nobody ended them.
    pub unexpected_exits: Vec<String>,
}

impl Outcome {
    /// Whether no rule was broken and nothing ended by itself.
    pub fn passed(&self) -> bool {
        self.verdict.is_clean() && self.unexpected_exits.is_empty()
    }
}

/// A trouble or planned work, after so many seconds of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    ChangeConfiguration,
    DrainSearcher,
    LoseSearcher,
    KillControl,
    RestartControl,
    TerminateProxy,
    RestartProxy,
}

const STEPS: [(u64, Step); 7] = [
    (4, Step::ChangeConfiguration),
    (7, Step::DrainSearcher),
    (12, Step::LoseSearcher),
    (14, Step::KillControl),
    (18, Step::RestartControl),
    (20, Step::TerminateProxy),
    (24, Step::RestartProxy),
];

/// Plays the demo and prints it line by line.
pub fn run_demo(plan: &DemoPlan) -> Result<Outcome, DemoError> {
    println!(
        "starting {} edge and {} core machines",
        plan.world.edges, plan.world.cores
    );
    let mut world = World::start(&plan.world)?;
    println!(
        "all proxies are ready, configuration {} is in force",
        world.configuration.version
    );
    println!("{}", View::TITLE);
    let load = world.load(&load_plan(plan, &world));
    let mut view = View::default();
    for second in 0..plan.length.as_secs() {
        for step in steps_at(plan, second) {
            run_step(&mut world, step)?;
        }
        std::thread::park_timeout(VIEW_INTERVAL);
        view.show(second + 1, &world, &load);
    }
    let records = load.finish();
    Ok(outcome(&mut world, records))
}

fn load_plan(plan: &DemoPlan, world: &World) -> LoadPlan {
    LoadPlan {
        kinds: request_mix(&world.configuration, plan.rate_per_second),
        length: plan.length,
        workers: worker_count(plan.rate_per_second),
        seed: plan.seed,
        max_idle: Duration::from_millis(world.configuration.limits.idle_timeout_ms * 4 / 5),
    }
}

/// Enough workers for two seconds of requests, so that a stall doesn't hold the load back.
fn worker_count(rate_per_second: f64) -> usize {
    const MIN_WORKERS: usize = 16;
    MIN_WORKERS.max((rate_per_second * 2.0).ceil() as usize)
}

fn steps_at(plan: &DemoPlan, second: u64) -> impl Iterator<Item = Step> {
    let disturbances = plan.disturbances;
    STEPS
        .into_iter()
        .filter(move |(at, _)| disturbances && *at == second)
        .map(|(_, step)| step)
}

fn run_step(world: &mut World, step: Step) -> Result<(), DemoError> {
    let last_core = world.fleet.control().len() - 1;
    let last_edge = world.fleet.mixers().len() - 1;
    match step {
        Step::ChangeConfiguration => change_configuration(world),
        Step::DrainSearcher => {
            let Some(departing) = world.models.last() else {
                return Ok(());
            };
            let instance = departing.identity().instance.clone();
            departing.drain();
            world.platform.drain(&instance);
            println!("-- searcher {instance} is draining");
        }
        Step::LoseSearcher => {
            let Some(mut departing) = world.models.pop() else {
                return Ok(());
            };
            departing.stop();
            world.platform.remove(&departing.identity().instance);
            println!("-- searcher {} has ended", departing.identity().instance);
        }
        Step::KillControl => {
            world.fleet.kill(Role::Control, last_core);
            println!("-- control node {last_core} was killed");
        }
        Step::RestartControl => {
            world.fleet.start_control(last_core, false)?;
            println!("-- control node {last_core} starts again");
        }
        Step::TerminateProxy => {
            world
                .fleet
                .signal(Role::Proxy, last_edge, Signal::Terminate);
            println!("-- proxy {last_edge} was sent SIGTERM");
        }
        Step::RestartProxy => {
            let code = world
                .fleet
                .wait_exited(Role::Proxy, last_edge, EXIT_POLLS)?;
            world.fleet.start_proxy(last_edge, false)?;
            println!("-- proxy {last_edge} ended with {code} and starts again");
        }
    }
    Ok(())
}

fn change_configuration(world: &mut World) {
    let outcome = world.change(
        |configuration| {
            for route in &mut configuration.routes {
                route.timeout_ms += 1_000;
            }
        },
        CHANGE_TIMEOUT,
    );
    println!(
        "-- configuration {}: {outcome:?}",
        world.configuration.version
    );
}

fn outcome(world: &mut World, records: Vec<RequestRecord>) -> Outcome {
    Outcome {
        figures: Figures::of(&records),
        verdict: world.check(&records),
        unexpected_exits: world.fleet.unexpected_exits(),
        records,
    }
}

/// The live view: one line a second.
#[derive(Default)]
struct View {
    /// Requests that earlier lines have told of.
    shown_requests: usize,
}

impl View {
    const TITLE: &str =
        "   s  ended  served refused  failed  first event p50/p99 ms  running+waiting by searcher";

    fn show(&mut self, second: u64, world: &World, load: &Load) {
        let total = load.inspect(|records| Figures::of(&records[self.shown_requests..]).total());
        self.shown_requests += total.requests as usize;
        let (median, tail) = (
            total.latencies.quantile_ms(0.5),
            total.latencies.quantile_ms(0.99),
        );
        let searchers: Vec<String> = world
            .models
            .iter()
            .map(|model| format_searcher(&model.report()))
            .collect();
        println!(
            "{second:>4}{:>7}{:>8}{:>8}{:>8}  {median:>10.0} /{tail:>6.0}         {}",
            total.requests,
            total.served,
            total.refused,
            total.failed(),
            searchers.join(" ")
        );
    }
}

fn format_searcher(report: &crate::engine::Report) -> String {
    let stage = &report.stage.as_str()[..1];
    format!("{stage}:{}+{}", report.running, report.waiting)
}
