//! Schedules of restart soaks, drawn deterministically from a seed: the size of the fleet, and series of planned work.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Role;
use crate::soak::disturbance::Disturbance;
use crate::soak::schedule::Step;
use crate::world::WorldPlan;

/// One run in this many has a large fleet.
const LARGE_ONE_IN: u64 = 8;
/// Edge machines of a large fleet, each with two processes.
const LARGE_EDGES: usize = 130;
/// Control nodes of a large fleet.
const LARGE_CORES: usize = 7;
/// Edge machines of other fleets.
const EDGES: std::ops::RangeInclusive<usize> = 2..=4;
/// Control nodes of other fleets.
const CORES: usize = 3;
/// Clients for each edge machine of a large fleet, and of others.
const LARGE_CLIENTS_PER_EDGE: usize = 2;
const CLIENTS_PER_EDGE: usize = 16;
/// Searchers of each kind, in a large fleet and in others.
const LARGE_SEARCHERS: usize = 6;
const SEARCHERS: usize = 3;
/// Sizes of the plain searchers' answers, in bytes.
const ANSWER_BYTES: std::ops::RangeInclusive<usize> = 10..=300_000;
/// `timeoutMs` of all routes; longer than clients wait, so that no route ends a stream.
const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// Number of series.
const SERIES: std::ops::RangeInclusive<usize> = 3..=6;
/// Begin of a series, in seconds. The last one ends a grace period before the load does.
const SERIES_BEGIN_S: std::ops::Range<f64> = 1.0..9.0;
/// Latest step of a series, in seconds.
const LAST_STEP_S: f64 = 12.5;
/// Interval between the steps of a series, in seconds.
const GAP_S: std::ops::Range<f64> = 0.1..3.0;
/// Number of steps in a series.
const STEPS: std::ops::RangeInclusive<usize> = 1..=4;

/// The schedule of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RestartSchedule {
    /// Seed of the schedule and of the clients.
    pub seed: u64,
    /// Edge machines.
    pub edges: usize,
    /// Control nodes.
    pub cores: usize,
    /// Searchers of each kind.
    pub searchers: usize,
    /// Clients.
    pub clients: usize,
    /// The planned work, ordered by start.
    pub steps: Vec<Step>,
}

impl RestartSchedule {
    /// The deployment of this run; `base` has what the schedule doesn't determine.
    pub fn world(&self, base: &WorldPlan) -> WorldPlan {
        let mut first_configuration = base.first_configuration.clone();
        for route in &mut first_configuration.routes {
            route.timeout_ms = ROUTE_TIMEOUT_MS;
        }
        WorldPlan {
            first_configuration,
            edges: self.edges,
            cores: self.cores,
            prefill_searchers: self.searchers,
            decode_searchers: self.searchers,
            plain_searchers: self.searchers,
            answer_bytes: ANSWER_BYTES,
            ..base.clone()
        }
    }

    /// Number of processes of the fleet.
    pub fn processes(&self) -> usize {
        2 * self.edges + self.cores
    }
}

impl fmt::Display for RestartSchedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "seed {}, {} processes, {} clients:",
            self.seed,
            self.processes(),
            self.clients
        )?;
        for step in &self.steps {
            let at = step.at.as_secs_f64();
            write!(formatter, " {at:.2}s {:?}", step.disturbance)?;
        }
        Ok(())
    }
}

/// Draws the schedule for a seed.
pub fn draw_restarts(seed: u64) -> RestartSchedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let is_large = seed.is_multiple_of(LARGE_ONE_IN);
    let edges = rng.random_range(EDGES);
    let series = rng.random_range(SERIES);
    // At least one series stops proxies, which owe clients most.
    let mut steps = draw_series(&mut rng, draw_stop_of_proxies);
    for _ in 1..series {
        steps.extend(draw_series(&mut rng, draw_work));
    }
    steps.sort_by_key(|step| step.at);
    if is_large {
        return RestartSchedule {
            seed,
            edges: LARGE_EDGES,
            cores: LARGE_CORES,
            searchers: LARGE_SEARCHERS,
            clients: LARGE_EDGES * LARGE_CLIENTS_PER_EDGE,
            steps,
        };
    }
    RestartSchedule {
        seed,
        edges,
        cores: CORES,
        searchers: SEARCHERS,
        clients: edges * CLIENTS_PER_EDGE,
        steps,
    }
}

fn draw_series(
    rng: &mut ChaCha8Rng,
    draw: impl Fn(&mut ChaCha8Rng, usize) -> Disturbance,
) -> Vec<Step> {
    let begin_s = rng.random_range(SERIES_BEGIN_S);
    let gap_s = rng.random_range(GAP_S);
    let length = rng.random_range(STEPS);
    let first_machine = rng.random_range(0..64);
    // All steps of a series are of the same kind.
    let kind_seed = rng.next_u64();
    (0..length)
        .map(|number| Step {
            at: Duration::from_secs_f64((begin_s + number as f64 * gap_s).min(LAST_STEP_S)),
            disturbance: draw(
                &mut ChaCha8Rng::seed_from_u64(kind_seed),
                first_machine + number,
            ),
        })
        .collect()
}

fn draw_stop_of_proxies(rng: &mut ChaCha8Rng, machine: usize) -> Disturbance {
    match rng.random_range(0..3) {
        0 => Disturbance::TerminateEdge(machine),
        _ => Disturbance::Terminate(Role::Proxy, machine),
    }
}

fn draw_work(rng: &mut ChaCha8Rng, machine: usize) -> Disturbance {
    match rng.random_range(0..12) {
        0..=2 => Disturbance::Terminate(Role::Proxy, machine),
        3 | 4 => Disturbance::TerminateEdge(machine),
        5 => Disturbance::Terminate(Role::Agent, machine),
        6 => Disturbance::Terminate(Role::Control, machine),
        7 => Disturbance::HangUpAll,
        8 => Disturbance::ChangeConfiguration,
        9 => Disturbance::ConfigurationStorm,
        10 => Disturbance::RacingChanges,
        _ => Disturbance::ReleaseSearcher(machine),
    }
}
