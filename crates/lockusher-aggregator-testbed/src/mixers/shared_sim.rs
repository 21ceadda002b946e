//! `shared-sim`: simulates shared state in virtual time, for fleets larger than processes on one machine allow.

use anyhow::Result;
use lockusher_membership::core::shared_state::{LocalReport, SharingConfig};
use lockusher_policy::interface::{Budget, SearcherId, SearcherObservation, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::percentiles;
use super::virtual_time::World;

/// The limit on convergence of the views, and on the spread of a verdict.
const CONVERGENCE_LIMIT: Span = Span::from_millis(10_000);
/// The interval of reports of a mixer. Real mixers report five times as often (the interval is a fifth of this), but
/// most of those reports change nothing.
const REPORT_INTERVAL: Span = Span::from_millis(1_000);
/// The time step between checks.
const STEP: Span = Span::from_millis(50);
const SEARCHERS: usize = 12;
/// One mixer in twenty, and four at least, observes the failure of a searcher, as under light traffic.
const WITNESS_STRIDE: usize = 20;
/// The limit on the 99th percentile of the spread of a verdict.
const VERDICT_LIMIT_MS: u64 = 3_000;
/// The limit on bytes sent by one mixer.
const MAX_BYTES_PER_S: f64 = 10_000.0;
/// The budget for each member, in retries a second.
const BUDGET_PER_MEMBER: f64 = 3.0;

/// A mixer's observation of a searcher.
fn observation(searcher: usize, now: Time, down_since: Option<Time>) -> SearcherObservation {
    let success_ratio = if down_since.is_some() { 0.1 } else { 1.0 };
    SearcherObservation {
        id: SearcherId::new(&format!("s{searcher}")),
        started_at: None,
        latency: Some(0.01),
        success_ratio,
        last_outcome_at: now,
        silent_since: None,
        down_since,
        cold_since: None,
    }
}

/// A fleet whose mixers report observations and demand.
struct Fleet {
    world: World,
    /// The failed searcher, and since when its witnesses observe the failure.
    failed: Option<(usize, Time)>,
    /// The time of the next reports.
    next_report: Time,
    /// The demand of each mixer, in retries a second.
    demands: Vec<f64>,
}

impl Fleet {
    /// Runs the simulation for this long, with reports.
    fn run_for(&mut self, span: Span) {
        let end = self.world.now + span;
        while self.world.now < end {
            if self.next_report <= self.world.now {
                self.next_report = self.next_report + REPORT_INTERVAL;
                self.report();
            }
            self.world.run_for(STEP);
        }
    }

    /// Reports the observations and demand of all running mixers.
    fn report(&mut self) {
        let running: Vec<usize> = self.world.running().collect();
        let now = self.world.now;
        let stride = if running.len() >= 4 * WITNESS_STRIDE {
            WITNESS_STRIDE
        } else {
            running.len().div_ceil(4)
        };
        for (index, mixer) in running.into_iter().enumerate() {
            let seen = (0..SEARCHERS).filter_map(|searcher| match self.failed {
                Some((of, since)) if of == searcher => {
                    (index % stride == 0).then(|| observation(of, now, Some(since)))
                }
                _ => Some(observation(searcher, now, None)),
            });
            let report = LocalReport {
                seen: seen.collect(),
                wants: vec![(Budget::Retries, self.demands[mixer])],
                ..LocalReport::default()
            };
            self.world.report(mixer, report);
        }
    }

    /// Whether a mixer holds a verdict that a searcher is degraded.
    fn holds_verdict(&self, mixer: usize, searcher: usize) -> bool {
        let id = SearcherId::new(&format!("s{searcher}"));
        self.world
            .core(mixer)
            .agreed_verdicts()
            .iter()
            .any(|of| of.health.id == id && of.health.is_degraded())
    }

    /// Runs for this long and returns the bytes that one mixer sends a second.
    fn bytes_s(&mut self, span: Span) -> f64 {
        let (before, start) = (self.world.total_counts().bytes_out, self.world.now);
        self.run_for(span);
        let member_seconds = self.world.mixers() as f64 * self.world.now.since(start).as_secs();
        (self.world.total_counts().bytes_out - before) as f64 / member_seconds
    }
}

/// Runs the simulation and returns whether all guarantees held. The last line printed has the figures.
pub fn run(members: usize, seed: u64, span: Span) -> Result<bool> {
    anyhow::ensure!(
        (4..=10_000).contains(&members),
        "--members: {members} is not between 4 and 10,000"
    );
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5a5a);
    let mut world = World::new(members, seed);
    let budget = BUDGET_PER_MEMBER * members as f64;
    world.zones = 3;
    world.config.sharing = Some(SharingConfig {
        judgements: true,
        budgets: vec![(Budget::Retries, budget)],
        mixers: members,
        ..SharingConfig::default()
    });
    for member in 0..members {
        world.start(member);
        world.run_for(Span::from_micros(1_000_000 / members as u64));
    }
    anyhow::ensure!(
        world.converge(CONVERGENCE_LIMIT).is_some(),
        "the views of the fleet do not converge"
    );
    // Uneven traffic: some mixers demand several times the mean, most little.
    let demand =
        |rng: &mut ChaCha8Rng| BUDGET_PER_MEMBER * rng.random_range(0.0..1.0_f64).powi(4) * 10.0;
    let demands = (0..members).map(|_| demand(&mut rng)).collect();
    let next_report = world.now;
    let mut fleet = Fleet {
        world,
        failed: None,
        next_report,
        demands,
    };
    fleet.run_for(Span::from_millis(5_000));
    let bytes_s_calm = fleet.bytes_s(Span::from_millis(5_000));
    // A searcher fails; its witnesses continue to report it.
    let failed_at = fleet.world.now;
    fleet.failed = Some((3, failed_at));
    let (mut verdict_delays, mut undetected) = (Vec::new(), (0..members).collect::<Vec<usize>>());
    let before = fleet.world.total_counts().bytes_out;
    while !undetected.is_empty() && fleet.world.now.since(failed_at) < CONVERGENCE_LIMIT {
        fleet.run_for(STEP);
        let now = fleet.world.now;
        let (detected, remaining): (Vec<usize>, Vec<usize>) = undetected
            .into_iter()
            .partition(|mixer| fleet.holds_verdict(*mixer, 3));
        verdict_delays.extend(detected.iter().map(|_| now.since(failed_at)));
        undetected = remaining;
    }
    let elapsed = fleet.world.now.since(failed_at);
    verdict_delays.extend(undetected.iter().map(|_| CONVERGENCE_LIMIT));
    let bytes_s_after = fleet.bytes_s(Span::from_millis(5_000));
    let bytes_s_spreading = (fleet.world.total_counts().bytes_out - before) as f64
        / members as f64
        / (elapsed.as_secs() + 5.0);
    fleet.failed = None;
    // The rate that the fleet may spend under partitions, kills and pauses, of which no single view is complete.
    let (mut most_of_budget, mut least_of_budget, end) =
        (0.0_f64, f64::MAX, fleet.world.now + span);
    fleet.world.records_false_deaths = false;
    while fleet.world.now < end {
        match rng.random_range(0..4) {
            0 => {
                let share: f64 = rng.random_range(0.1..0.6);
                fleet.world.network.partition = (0..members)
                    .map(|_| u8::from(rng.random::<f64>() < share))
                    .collect();
            }
            1 => {
                let group: Vec<usize> = fleet
                    .world
                    .running()
                    .filter(|_| rng.random::<f64>() < 0.2)
                    .collect();
                group.iter().for_each(|member| fleet.world.kill(*member));
                group.iter().for_each(|member| fleet.world.start(*member));
            }
            2 => {
                let member = rng.random_range(0..members);
                fleet
                    .world
                    .pause(member, Span::from_millis(rng.random_range(500..9_000)));
            }
            _ => fleet.world.network.partition = vec![0; members],
        }
        for _ in 0..rng.random_range(10..80) {
            fleet.run_for(STEP);
            let allowance = fleet.world.total_allowance(0);
            (most_of_budget, least_of_budget) = (
                most_of_budget.max(allowance / budget),
                least_of_budget.min(allowance / budget),
            );
        }
    }
    let [p50, p99, max] = percentiles(&mut verdict_delays);
    let max_bytes_s = bytes_s_calm.max(bytes_s_after).max(bytes_s_spreading);
    let passed =
        p99 <= VERDICT_LIMIT_MS && most_of_budget <= 1.0 + 1e-9 && max_bytes_s < MAX_BYTES_PER_S;
    println!(
        "members={members} seed={seed} seconds={} known_p50_ms={p50} known_p99_ms={p99} known_worst_ms={max} \
         bytes_s_calm={bytes_s_calm:.0} bytes_s_spreading={bytes_s_spreading:.0} bytes_s_after={bytes_s_after:.0} most_of_budget={most_of_budget:.3} \
         least_of_budget={least_of_budget:.3} kept={passed}",
        span.as_secs(),
    );
    Ok(passed)
}
