//! The demo: a whole fleet on the loopback under load, with disturbances, a live view and a summary.

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

/// Interval between lines of the live view.
const VIEW_INTERVAL: Duration = Duration::from_secs(1);
/// How long the operator retries a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Polls until a process that was sent SIGTERM must have exited.
const EXIT_POLLS: u32 = 400;

/// Why the demo could not be run.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    #[display("{_0}")]
    World(WorldError),
    #[display("{_0}")]
    Fleet(FleetError),
    #[display("{_0}")]
    Wait(WaitTimeout),
}

/// Parameters of a demo or a load run.
#[derive(Clone, Debug)]
pub struct DemoPlan {
    /// Size and bounds of the deployment.
    pub world: WorldPlan,
    /// Requests per second, all kinds together.
    pub rate_per_second: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Whether the disturbances of the demo are run.
    pub disturbances: bool,
    /// Length of the load.
    pub length: Duration,
}

/// The result of a run.
pub struct Outcome {
    /// All requests.
    pub records: Vec<RequestRecord>,
    /// Counts and latencies by kind of request.
    pub figures: Figures,
    /// Violations of the protocol rules.
    pub verdict: Verdict,
    /// Processes that exited unexpectedly.
    pub unexpected_exits: Vec<String>,
}

impl Outcome {
    /// Whether no rule was violated and no process exited unexpectedly.
    pub fn passed(&self) -> bool {
        self.verdict.is_clean() && self.unexpected_exits.is_empty()
    }
}

/// A disturbance or a maintenance operation.
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

/// The steps of the demo, with their start in seconds of load.
const STEPS: [(u64, Step); 7] = [
    (4, Step::ChangeConfiguration),
    (7, Step::DrainSearcher),
    (12, Step::LoseSearcher),
    (14, Step::KillControl),
    (18, Step::RestartControl),
    (20, Step::TerminateProxy),
    (24, Step::RestartProxy),
];

/// Runs the demo and prints its progress line by line.
pub fn run_demo(plan: &DemoPlan) -> Result<Outcome, DemoError> {
    println!(
        "starting {} edge machines and {} core machines",
        plan.world.edges, plan.world.cores
    );
    let mut world = World::start(&plan.world)?;
    println!(
        "all proxies are ready, configuration version {} is in force",
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

/// Enough workers for two seconds of requests, so that a short stall doesn't delay the load.
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
            println!("-- searcher {} was stopped", departing.identity().instance);
        }
        Step::KillControl => {
            world.fleet.kill(Role::Control, last_core);
            println!("-- control node {last_core} was killed");
        }
        Step::RestartControl => {
            world.fleet.start_control(last_core, false)?;
            println!("-- control node {last_core} was restarted");
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
            println!("-- proxy {last_edge} exited with code {code} and was restarted");
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
        "-- configuration version {}: {outcome:?}",
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
    /// Number of requests covered by earlier lines.
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
