//! `fleet`: runs real mixers under load and under faults drawn from a seed. The guarantees are checked from outside: on
//! the mixers' views, which are polled throughout, and on the logs of clients and searchers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use anyhow::Result;
use lockusher_policy::interface::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::{Harness, HarnessConfig, View, name};
use super::percentiles;
use super::rules::{Logs, TimeWindows, check};
use super::switch::{Endpoint, LinkConditions};
use super::worker::Behavior;

/// Within this time after a fault, all views must be the same.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);
/// The limit on the 99th percentile of crash detection.
const CRASH_DETECTION_LIMIT_MS: u64 = 3_000;
/// The longest time for which a healthy mixer may be held dead.
const MAX_FALSE_DEATH: Duration = Duration::from_secs(1);
/// The limit on bytes sent by one idle mixer.
const MAX_BYTES_PER_S: f64 = 10_000.0;
/// The limit on the CPU time of one idle mixer, as a share of a core; it includes what an idle mixer needs otherwise.
const MAX_CPU_SHARE: f64 = 0.01;
/// A mixer counts as healthy this long after a fault or the end of a partition.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// The measurements so far.
#[derive(Default)]
struct Observations {
    /// The times to convergence after faults.
    convergence_times: Vec<Span>,
    /// Faults after which the views did not converge in time.
    not_converged: u64,
    /// How long each observer took to detect each crash.
    detection_delays: Vec<Span>,
    /// Pairs of observer and subject, both healthy, of which the observer holds the subject dead; and since when.
    ongoing: HashMap<(usize, usize), Instant>,
    false_deaths: u64,
    longest_false: Duration,
    faults: u64,
    /// Windows in which mixers were under an injected fault.
    mixer_faults: TimeWindows,
    /// Windows in which searchers were published as draining.
    drains: TimeWindows,
}

impl Observations {
    /// Records healthy mixers that healthy ones hold dead.
    fn check_views(
        &mut self,
        harness: &Harness,
        views: &[Option<View>],
        record_false_deaths: bool,
    ) {
        let now = Instant::now();
        let running = harness.running();
        let healthy =
            |mixer: usize| now.duration_since(harness.last_disturbed[mixer]) > RECOVERY_TIME;
        for observer in running.iter().copied() {
            let Some(view) = &views[observer] else {
                continue;
            };
            for subject in running
                .iter()
                .copied()
                .filter(|subject| *subject != observer)
            {
                let entry = view.members.get(&name(subject));
                let dead = entry.is_some_and(|(state, ..)| state == "dead");
                match self.ongoing.get(&(observer, subject)) {
                    None if dead
                        && record_false_deaths
                        && healthy(observer)
                        && healthy(subject) =>
                    {
                        self.ongoing.insert((observer, subject), now);
                        self.false_deaths += 1;
                    }
                    Some(since) if !dead || !record_false_deaths => {
                        self.longest_false = self.longest_false.max(now.duration_since(*since));
                        self.ongoing.remove(&(observer, subject));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Checks the views for this long.
    fn watch(&mut self, harness: &Harness, span: Duration, record_false_deaths: bool) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let views = harness.views();
            self.check_views(harness, &views, record_false_deaths);
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Measures how long each running mixer takes to detect a crash.
    fn await_detection(&mut self, harness: &Harness, subject: usize, killed_at: Instant) {
        let mut observers = harness.running();
        while !observers.is_empty() && killed_at.elapsed() < 2 * CONVERGENCE_LIMIT {
            let views = harness.views();
            let delay = Span::from_micros(killed_at.elapsed().as_micros() as u64);
            observers.retain(|observer| {
                let entry = views[*observer]
                    .as_ref()
                    .and_then(|view| view.members.get(&name(subject)));
                let alive = entry.is_none_or(|(state, ..)| state == "alive" || state == "suspect");
                if !alive {
                    self.detection_delays.push(delay);
                }
                alive
            });
            self.check_views(harness, &views, true);
            std::thread::sleep(Duration::from_millis(20));
        }
        let timeout = Span::from_micros(killed_at.elapsed().as_micros() as u64);
        self.detection_delays
            .extend(observers.iter().map(|_| timeout));
    }

    /// Waits for convergence after a fault and records how long it took.
    fn await_convergence(&mut self, harness: &Harness, description: &str, verbose: bool) {
        self.faults += 1;
        let elapsed = harness.wait_converged(2 * CONVERGENCE_LIMIT);
        if verbose {
            println!("{description}: converged after {elapsed:?}");
        }
        match elapsed.filter(|elapsed| *elapsed <= CONVERGENCE_LIMIT) {
            Some(elapsed) => self
                .convergence_times
                .push(Span::from_micros(elapsed.as_micros() as u64)),
            None => {
                self.not_converged += 1;
                for (mixer, view) in harness.views().into_iter().enumerate().filter(|_| verbose) {
                    let view = view.map(|view| (view.status, view.live_count, view.digest));
                    println!("  {}: {view:?}", name(mixer));
                }
            }
        }
    }
}

/// Runs the scenario and returns whether all guarantees held. The last line printed has the figures.
pub fn run(mixers: usize, seed: u64, span: Duration, rate: f64, verbose: bool) -> Result<bool> {
    anyhow::ensure!(
        (3..=60).contains(&mixers),
        "--mixers: {mixers} is not between 3 and 60"
    );
    let config = HarnessConfig {
        mixers,
        seed,
        rate,
        ..HarnessConfig::default()
    };
    let mut harness = Harness::new(config)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let mut observations = Observations::default();
    let all: Vec<usize> = (0..mixers).collect();
    let start = Instant::now();
    harness.start_all(&all);
    observations.await_convergence(&harness, "all start at once", verbose);
    all.iter()
        .for_each(|mixer| observations.mixer_faults.add(*mixer, start, Instant::now()));
    // The cost of membership without faults and load.
    harness.clients.set_rate(0.0);
    observations.watch(&harness, RECOVERY_TIME, true);
    let (bytes_before, cpu_before, at) = (bytes_out(&harness), harness.cpu_us(), Instant::now());
    std::thread::sleep(Duration::from_secs(4));
    let cpu_after = harness.cpu_us();
    let mixer_seconds = mixers as f64 * at.elapsed().as_secs_f64();
    let bytes_s = (bytes_out(&harness) - bytes_before) as f64 / mixer_seconds;
    let cpu_used_us: u64 = cpu_after
        .iter()
        .map(|(mixer, cpu_us)| cpu_us - cpu_before.get(mixer).copied().unwrap_or_default())
        .sum();
    let cpu_share = cpu_used_us as f64 / 1e6 / mixer_seconds;
    harness.clients.set_rate(rate);
    let end = Instant::now() + span;
    while Instant::now() < end {
        let start = Instant::now();
        let chosen = rng.random_range(0..mixers);
        let (description, affected) = fault(&mut harness, &mut observations, &mut rng, chosen);
        harness.switch.set_all_links(LinkConditions::default());
        observations.await_convergence(&harness, &description, verbose);
        let faulty_until = Instant::now() + Duration::from_millis(500);
        affected
            .iter()
            .for_each(|mixer| observations.mixer_faults.add(*mixer, start, faulty_until));
        observations.watch(&harness, Duration::from_millis(1_500), true);
    }
    harness.clients.set_rate(0.0);
    // Waits until all multigets have their answers or timed out.
    observations.watch(
        &harness,
        super::clients::CLIENT_TIMEOUT + super::clients::TIMEOUT_GRACE,
        true,
    );
    let finished = std::mem::take(&mut *harness.clients.finished.lock().unwrap());
    let logs = Logs {
        multigets: &finished,
        received: harness.workers.iter().map(|worker| worker.log()).collect(),
        mixer_faults: std::mem::take(&mut observations.mixer_faults),
        drains: std::mem::take(&mut observations.drains),
        overload_crashes: harness
            .workers
            .iter()
            .map(|worker| *worker.overload_crashes.lock().unwrap())
            .sum(),
    };
    let violations = check(&logs);
    for violation in violations
        .examples
        .iter()
        .filter(|_| verbose || violations.total() > 0)
    {
        println!("{violation}");
    }
    let served = finished
        .iter()
        .filter(|multiget| matches!(multiget.outcome, super::clients::Outcome::Answered(..)))
        .count();
    let longest = observations
        .ongoing
        .values()
        .map(Instant::elapsed)
        .chain([observations.longest_false])
        .max()
        .unwrap_or_default();
    let [crash_p50, crash_p99, crash_worst] = percentiles(&mut observations.detection_delays);
    let [settle_p50, _, settle_worst] = percentiles(&mut observations.convergence_times);
    let passed = observations.not_converged == 0
        && violations.total() == 0
        && longest <= MAX_FALSE_DEATH
        && crash_p99 <= CRASH_DETECTION_LIMIT_MS
        && bytes_s < MAX_BYTES_PER_S
        && cpu_share < MAX_CPU_SHARE;
    println!(
        "mixers={mixers} seed={seed} seconds={} faults={} disagree_after_settling={} false_deaths={} \
         longest_false_ms={} crash_p50_ms={crash_p50} crash_p99_ms={crash_p99} crash_worst_ms={crash_worst} \
         settle_p50_ms={settle_p50} settle_worst_ms={settle_worst} bytes_s={bytes_s:.0} cpu_share={cpu_share:.4} \
         multigets={} served={served} rules_broken={} by_rule={:?} kept={passed}",
        span.as_secs(),
        observations.faults,
        observations.not_converged,
        observations.false_deaths,
        longest.as_millis(),
        finished.len(),
        violations.total(),
        violations.by_rule,
    );
    Ok(passed)
}

fn bytes_out(harness: &Harness) -> u64 {
    harness
        .views()
        .iter()
        .flatten()
        .filter_map(|view| view.counts["bytes_out"].as_u64())
        .sum()
}

/// Injects one fault, drawn at random, and ends it, except for link conditions, which the caller resets. Returns its
/// description and the mixers that are not checked while it lasted.
fn fault(
    harness: &mut Harness,
    observations: &mut Observations,
    rng: &mut ChaCha8Rng,
    chosen: usize,
) -> (String, Vec<usize>) {
    let mixers = harness.mixers();
    let all: Vec<usize> = (0..mixers).collect();
    let span = |rng: &mut ChaCha8Rng, min: u64, max: u64| {
        Duration::from_millis(rng.random_range(min..max))
    };
    match rng.random_range(0..13) {
        0 | 1 => {
            harness.kill(chosen);
            observations.await_detection(harness, chosen, Instant::now());
            harness.start(chosen);
            (
                format!("{} is killed and restarted", name(chosen)),
                vec![chosen],
            )
        }
        2 => {
            let group: Vec<usize> = all
                .iter()
                .copied()
                .filter(|_| rng.random::<f64>() < 0.7)
                .collect();
            group.iter().for_each(|mixer| harness.kill(*mixer));
            std::thread::sleep(span(rng, 100, 800));
            harness.start_all(&group);
            (
                format!(
                    "{} mixers are killed and restarted within a second",
                    group.len()
                ),
                group,
            )
        }
        3 => {
            let duration = span(rng, 500, 10_000);
            harness.pause(chosen);
            observations.watch(harness, duration, true);
            harness.resume(chosen);
            (
                format!("{} is paused for {duration:?}", name(chosen)),
                vec![chosen],
            )
        }
        4 => {
            let group: Vec<usize> = all
                .iter()
                .copied()
                .filter(|mixer| mixer % 10 == chosen % 10)
                .collect();
            harness.terminate(&group);
            harness.start_all(&group);
            (
                format!("{} mixers are terminated and restarted", group.len()),
                group,
            )
        }
        5 => {
            // Sometimes longer than dead members are retained.
            let (split, duration) = (rng.random_range(1..mixers), span(rng, 3_000, 16_000));
            harness.mark_all_disturbed();
            for left in 0..split {
                for right in split..mixers {
                    let link = LinkConditions {
                        blocked: true,
                        ..LinkConditions::default()
                    };
                    harness.switch.set_both_directions(
                        Endpoint::Mixer(left),
                        Endpoint::Mixer(right),
                        link,
                    );
                }
            }
            observations.watch(harness, duration, false);
            harness.mark_all_disturbed();
            (
                format!(
                    "{split} mixers are partitioned from {} for {duration:?}",
                    mixers - split
                ),
                Vec::new(),
            )
        }
        6 => {
            let other = (chosen + 1) % mixers;
            harness.switch.set_link(
                Endpoint::Mixer(chosen),
                Endpoint::Mixer(other),
                LinkConditions {
                    blocked: true,
                    ..LinkConditions::default()
                },
            );
            observations.watch(harness, span(rng, 2_000, 6_000), true);
            (
                format!(
                    "datagrams from {} to {} are blocked",
                    name(chosen),
                    name(other)
                ),
                Vec::new(),
            )
        }
        7 => {
            let link = LinkConditions {
                loss: 0.1,
                duplicated: 0.05,
                corrupted: 0.01,
                min_delay: Duration::ZERO,
                max_delay: Duration::from_millis(20),
                ..LinkConditions::default()
            };
            harness.switch.set_all_links(link);
            observations.watch(harness, span(rng, 4_000, 10_000), true);
            (
                "one datagram in ten is lost, others are delayed, duplicated or corrupted"
                    .to_owned(),
                Vec::new(),
            )
        }
        8 => {
            harness.mark_all_disturbed();
            for from in 0..mixers {
                for to in (0..mixers).filter(|to| {
                    (to + mixers - from) % mixers > 1 && (from + mixers - to) % mixers > 1
                }) {
                    harness.switch.set_link(
                        Endpoint::Mixer(from),
                        Endpoint::Mixer(to),
                        LinkConditions {
                            blocked: true,
                            ..LinkConditions::default()
                        },
                    );
                }
            }
            observations.watch(harness, span(rng, 3_000, 8_000), false);
            harness.mark_all_disturbed();
            (
                "each mixer reaches only its neighbors".to_owned(),
                Vec::new(),
            )
        }
        9 => {
            let searcher = rng.random_range(0..harness.workers.len());
            harness.workers[searcher].crash();
            harness.publish_searchers();
            std::thread::sleep(span(rng, 500, 2_000));
            harness.workers[searcher].restart_cold();
            harness.publish_searchers();
            (
                format!("searcher s{searcher} crashes and restarts cold"),
                Vec::new(),
            )
        }
        10 => {
            let searcher = rng.random_range(0..harness.workers.len());
            let set_shares = |behavior: &mut Behavior, [late, wrong, missing]: [f64; 3]| {
                (
                    behavior.late_share,
                    behavior.wrong_share,
                    behavior.missing_share,
                ) = (late, wrong, missing);
            };
            harness.workers[searcher]
                .set_behavior(|behavior| set_shares(behavior, [0.2, 0.05, 0.05]));
            observations.watch(harness, span(rng, 3_000, 8_000), true);
            harness.workers[searcher].set_behavior(|behavior| set_shares(behavior, [0.0; 3]));
            (
                format!("some answers of searcher s{searcher} are late, wrong or missing"),
                Vec::new(),
            )
        }
        11 => {
            // Frames between the mixer and one searcher wait while the link is blocked, or each is delayed.
            let (searcher, is_blocked) = (
                rng.random_range(0..harness.workers.len()),
                rng.random::<bool>(),
            );
            let max_delay = Duration::from_millis(if is_blocked { 0 } else { 80 });
            let link = LinkConditions {
                blocked: is_blocked,
                max_delay,
                ..LinkConditions::default()
            };
            harness.switch.set_both_directions(
                Endpoint::Mixer(chosen),
                Endpoint::Searcher(searcher),
                link,
            );
            observations.watch(harness, span(rng, 1_500, 6_000), true);
            let effect = if is_blocked { "is blocked" } else { "is slow" };
            (
                format!(
                    "the link from {} to searcher s{searcher} {effect}",
                    name(chosen)
                ),
                Vec::new(),
            )
        }
        _ => {
            let searcher = rng.random_range(0..harness.workers.len());
            harness.workers[searcher].set_behavior(|behavior| behavior.draining = true);
            harness.publish_searchers();
            let published_at = Instant::now();
            observations.watch(harness, span(rng, 2_500, 5_000), true);
            harness.workers[searcher].set_behavior(|behavior| behavior.draining = false);
            observations
                .drains
                .add(searcher, published_at, Instant::now());
            harness.publish_searchers();
            (format!("searcher s{searcher} drains"), Vec::new())
        }
    }
}
