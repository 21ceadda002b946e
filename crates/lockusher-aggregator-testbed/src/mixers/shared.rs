//! `shared`: runs real mixers that share state. The budget usage of the fleet is counted from outside, under faults
//! drawn from a seed; the effect of shared verdicts and warm starts is measured by running a scenario with and without
//! them.

use std::cell::Cell;
use std::time::{Duration, Instant};

use anyhow::Result;
use lockusher_policy::interface::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::budget_usage::{budget_slack, max_per_second, retry_times};
use super::clients::{CLIENT_TIMEOUT, FinishedMultiget, Outcome, TIMEOUT_GRACE};
use super::harness::{Harness, HarnessConfig, View, name};
use super::percentiles;
use super::rules::{Logs, TimeWindows, Violations, check};
use super::switch::{Endpoint, LinkConditions};
use super::worker::PartOutcome;

/// So many that at some tens of multigets a second a mixer receives an answer of each about once a second.
const SEARCHERS: usize = 72;
/// Cells of searchers.
const CELLS: usize = 24;
/// Parts of a multiget.
const WIDTH: usize = 4;
/// The latency budget in `stand_in::settings`.
const LATENCY_BUDGET: Duration = Duration::from_millis(300);
/// How long the effect of a fault is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Once one mixer holds a verdict on a hung searcher, all connected mixers must hold it within this time.
const VERDICT_SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// A verdict on a healthy searcher that stands for longer than this is false: a searcher that has just recovered may be
/// held down until a request to it succeeds.
const FALSE_VERDICT_AFTER: Duration = Duration::from_secs(6);
/// The limit on convergence of the views.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(30);

/// The usage of one budget.
#[derive(Debug)]
struct BudgetUsage {
    name: &'static str,
    /// The budget, in events a second.
    budget: f64,
    /// The budget and its slack, which `peak` must not exceed.
    limit: f64,
    /// The most events in one second.
    peak: usize,
    /// All events.
    total: usize,
}

/// The measurements of one run, with or without shared verdicts and warm starts.
#[derive(Debug, Default)]
struct SharingEffect {
    /// Parts sent to hung searchers, per mixer.
    sends_to_hung: f64,
    /// When 99 in 100 of them had been received, since the searchers hung.
    last_send_ms: u64,
    /// The shares of multigets answered in time in the ten seconds after each fault.
    in_time_after_hang: f64,
    in_time_after_restart: f64,
    in_time_after_cold: f64,
    /// For each hung searcher with a verdict: how long it took from the first mixer that held it to the last.
    verdict_delays: Vec<Span>,
    /// Polls in which a false verdict on a healthy searcher stood.
    false_verdicts: u64,
    violations: Violations,
}

/// The share of multigets sent in a time window that were answered within the latency budget.
fn in_time_share(finished: &[FinishedMultiget], from: Instant, to: Instant) -> f64 {
    let of: Vec<&FinishedMultiget> = finished
        .iter()
        .filter(|multiget| multiget.sent_at >= from && multiget.sent_at < to)
        .collect();
    let answered_in_time = |multiget: &&&FinishedMultiget| {
        matches!(multiget.outcome, Outcome::Answered(..))
            && multiget.finished_at - multiget.sent_at <= LATENCY_BUDGET
    };
    of.iter().filter(answered_in_time).count() as f64 / of.len().max(1) as f64
}

/// The searchers on which a mixer holds a verdict of a fault.
fn degraded(view: &View) -> Vec<&str> {
    let verdicts = view.shared["judged"].as_array().into_iter().flatten();
    verdicts
        .filter(|of| of["fault"] != "fine")
        .filter_map(|of| of["searcher"].as_str())
        .collect()
}

/// Stops the load, waits for multigets in flight and checks the rules.
fn finish(harness: &Harness, fault_windows: TimeWindows) -> (Vec<FinishedMultiget>, Violations) {
    harness.clients.set_rate(0.0);
    std::thread::sleep(CLIENT_TIMEOUT + TIMEOUT_GRACE);
    let finished = harness.clients.finished.lock().unwrap().clone();
    let violations = check(&Logs {
        multigets: &finished,
        received: harness.workers.iter().map(|worker| worker.log()).collect(),
        mixer_faults: fault_windows,
        drains: TimeWindows::default(),
        overload_crashes: harness
            .workers
            .iter()
            .map(|worker| *worker.overload_crashes.lock().unwrap())
            .sum(),
    });
    (finished, violations)
}

/// Runs a scenario in which searchers hang, mixers are restarted and searchers restart cold. It depends only on the
/// seed, not on whether state is shared.
fn measure_sharing(
    mixers: usize,
    seed: u64,
    rate: f64,
    shared: &str,
    verbose: bool,
) -> Result<SharingEffect> {
    let config = HarnessConfig {
        mixers,
        searchers: SEARCHERS,
        cells: CELLS,
        seed,
        rate,
        width: WIDTH,
        zones: 3.min(mixers),
        shared: shared.to_owned(),
        ..HarnessConfig::default()
    };
    let mut harness = Harness::new(config)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5a7e);
    let (mut effect, mut fault_windows) = (SharingEffect::default(), TimeWindows::default());
    let all: Vec<usize> = (0..mixers).collect();
    let start = Instant::now();
    harness.start_all(&all);
    anyhow::ensure!(
        harness.wait_converged(CONVERGENCE_LIMIT).is_some(),
        "the views of the fleet do not converge"
    );
    all.iter()
        .for_each(|mixer| fault_windows.add(*mixer, start, Instant::now()));
    std::thread::sleep(MEASURED_TIME);
    // An eighth of the searchers hang.
    let first = rng.random_range(0..SEARCHERS);
    let hung: Vec<usize> = (0..SEARCHERS / 8)
        .map(|nth| (first + nth * 8) % SEARCHERS)
        .collect();
    hung.iter().for_each(|searcher| {
        harness.workers[*searcher].set_behavior(|behavior| behavior.unresponsive = true);
    });
    let hung_at = Instant::now();
    let mut degraded_since: Vec<Option<Instant>> = vec![None; SEARCHERS];
    let mut undetected: Vec<(usize, Cell<Option<Instant>>)> =
        hung.iter().map(|of| (*of, Cell::new(None))).collect();
    while hung_at.elapsed() < MEASURED_TIME {
        let views = harness.views();
        undetected.retain(|(of, first)| {
            let id = format!("s{of}");
            let holds_verdict = |view: &View| degraded(view).contains(&id.as_str());
            let holders = views
                .iter()
                .flatten()
                .filter(|view| holds_verdict(view))
                .count();
            // Counted from the first mixer that holds the verdict; before, too few had sent to the searcher.
            if holders > 0 && first.get().is_none() {
                first.set(Some(Instant::now()));
            }
            let all = holders == mixers;
            if let Some(first) = first.get().filter(|_| all) {
                effect
                    .verdict_delays
                    .push(Span::from_micros(first.elapsed().as_micros() as u64));
            }
            !all
        });
        for (searcher, since) in degraded_since
            .iter_mut()
            .enumerate()
            .filter(|(of, _)| !hung.contains(of))
        {
            let id = format!("s{searcher}");
            let degraded_anywhere = views
                .iter()
                .flatten()
                .any(|view| degraded(view).contains(&id.as_str()));
            match since {
                Some(since) if degraded_anywhere && since.elapsed() > FALSE_VERDICT_AFTER => {
                    effect.false_verdicts += 1;
                }
                Some(_) if degraded_anywhere => {}
                _ => *since = degraded_anywhere.then(Instant::now),
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let until = Instant::now();
    let mut received: Vec<Duration> = hung
        .iter()
        .flat_map(|searcher| harness.workers[*searcher].log())
        .filter(|received| received.outcome == PartOutcome::Unanswered)
        .map(|received| received.received_at.saturating_duration_since(hung_at))
        .collect();
    received.sort();
    if verbose {
        let bins = (0..10)
            .map(|bin| received.iter().filter(|at| at.as_secs() == bin).count())
            .collect::<Vec<_>>();
        println!("sends to hung searchers by second: {bins:?}");
    }
    effect.sends_to_hung = received.len() as f64 / mixers as f64;
    effect.last_send_ms = received
        .get((received.len() * 99 / 100).min(received.len().saturating_sub(1)))
        .map_or(0, |at| at.as_millis() as u64);
    hung.iter().for_each(|searcher| {
        harness.workers[*searcher].set_behavior(|behavior| behavior.unresponsive = false);
    });
    std::thread::sleep(MEASURED_TIME);
    // About seven in ten mixers are killed and restarted, while one in eight searchers is slower than the latency
    // budget.
    let usual_mean = harness.workers[0].behavior().mean_service_time;
    let set_slow = |harness: &Harness, mean: Duration| {
        let of = harness.workers.iter().skip(first % 8).step_by(8);
        of.for_each(|worker| worker.set_behavior(|behavior| behavior.mean_service_time = mean));
    };
    set_slow(&harness, LATENCY_BUDGET);
    std::thread::sleep(MEASURED_TIME / 2);
    let group: Vec<usize> = all
        .iter()
        .copied()
        .filter(|_| rng.random::<f64>() < 0.7)
        .collect();
    let killed_at = Instant::now();
    group.iter().for_each(|mixer| harness.kill(*mixer));
    harness.start_all(&group);
    let started_at = Instant::now();
    group.iter().for_each(|mixer| {
        fault_windows.add(*mixer, killed_at, started_at + Duration::from_millis(500));
    });
    std::thread::sleep(MEASURED_TIME);
    let measured_until = Instant::now();
    set_slow(&harness, usual_mean);
    // A third of the searchers crashes, is removed from the list, and restarts cold.
    let cold_group: Vec<usize> = (0..SEARCHERS)
        .filter(|searcher| searcher % 3 == first % 3)
        .collect();
    cold_group
        .iter()
        .for_each(|searcher| harness.workers[*searcher].crash());
    harness.publish_searchers();
    std::thread::sleep(Duration::from_secs(3));
    cold_group
        .iter()
        .for_each(|searcher| harness.workers[*searcher].restart_cold());
    harness.publish_searchers();
    let restarted_at = Instant::now();
    std::thread::sleep(MEASURED_TIME);
    let ended = Instant::now();
    let (finished, violations) = finish(&harness, fault_windows);
    effect.in_time_after_hang = in_time_share(&finished, hung_at, until);
    effect.in_time_after_restart = in_time_share(&finished, started_at, measured_until);
    effect.in_time_after_cold = in_time_share(&finished, restarted_at, ended);
    effect.violations = violations;
    if verbose {
        println!(
            "{}: {effect:#?}",
            if shared.is_empty() {
                "without sharing"
            } else {
                "with sharing"
            }
        );
    }
    Ok(effect)
}

/// Measures the budget usage of a fleet whose demand exceeds its budgets, under faults of mixers and of the links
/// between them.
fn measure_budgets(
    mixers: usize,
    seed: u64,
    span: Duration,
    rate: f64,
    verbose: bool,
) -> Result<(Vec<BudgetUsage>, Violations, u64)> {
    let per_mixer = mixers as f64;
    let budgets = [
        ("further", per_mixer),
        ("cold", per_mixer),
        ("connections", 20.0 * per_mixer),
        ("probes", 0.5 * per_mixer),
    ];
    let budget_lines: String = budgets
        .iter()
        .map(|(name, rate)| format!("{name}_per_s: {rate} "))
        .collect();
    let config = HarnessConfig {
        mixers,
        searchers: SEARCHERS,
        cells: CELLS,
        seed,
        rate,
        zones: 3.min(mixers),
        shared: format!("  shared {{ judgements: true budgets {{ {budget_lines}}} }}\n"),
        ..HarnessConfig::default()
    };
    let mut harness = Harness::new(config)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x10a4);
    let mut fault_windows = TimeWindows::default();
    let all: Vec<usize> = (0..mixers).collect();
    let start = Instant::now();
    harness
        .workers
        .iter()
        .for_each(|worker| worker.set_behavior(|behavior| behavior.missing_share = 0.01));
    harness.start_all(&all);
    anyhow::ensure!(
        harness.wait_converged(CONVERGENCE_LIMIT).is_some(),
        "the views of the fleet do not converge"
    );
    all.iter()
        .for_each(|mixer| fault_windows.add(*mixer, start, Instant::now()));
    let (mut faults, end) = (0, Instant::now() + span);
    while Instant::now() < end {
        faults += 1;
        let from = Instant::now();
        let chosen = rng.random_range(0..mixers);
        let (description, affected) = fault(&mut harness, &mut rng, chosen);
        harness.switch.set_all_links(LinkConditions::default());
        let converged_after = harness.wait_converged(CONVERGENCE_LIMIT);
        if verbose {
            println!("{description}: converged after {converged_after:?}");
        }
        let to = Instant::now() + Duration::from_millis(500);
        affected
            .iter()
            .for_each(|mixer| fault_windows.add(*mixer, from, to));
        // After each fault, connections break and a searcher restarts cold.
        for _ in 0..4 {
            harness.workers[rng.random_range(0..SEARCHERS)].drop_connections();
            std::thread::sleep(Duration::from_millis(rng.random_range(200..600)));
        }
        let searcher = rng.random_range(0..SEARCHERS);
        harness.workers[searcher].crash();
        harness.publish_searchers();
        std::thread::sleep(Duration::from_millis(400));
        harness.workers[searcher].restart_cold();
        harness.publish_searchers();
    }
    let (finished, violations) = finish(&harness, fault_windows);
    if verbose {
        let served = finished
            .iter()
            .filter(|multiget| matches!(multiget.outcome, Outcome::Answered(..)))
            .count();
        println!("{served} of {} multigets answered", finished.len());
    }
    let logs: Vec<_> = harness.workers.iter().map(|worker| worker.log()).collect();
    let sorted = |mut at: Vec<Instant>| {
        at.sort();
        at
    };
    let cold_sends = logs
        .iter()
        .flatten()
        .filter(|received| received.cold)
        .map(|received| received.received_at)
        .collect();
    let connections_opened = harness.switch.connections_opened.lock().unwrap().clone();
    let health_check_times = harness
        .workers
        .iter()
        .flat_map(|worker| worker.health_check_times())
        .collect();
    let event_times = [
        retry_times(&logs),
        sorted(cold_sends),
        sorted(connections_opened),
        sorted(health_check_times),
    ];
    let usage = budgets
        .iter()
        .zip(event_times)
        .map(|((name, budget), at)| BudgetUsage {
            name,
            budget: *budget,
            limit: budget + budget_slack(*budget, mixers),
            peak: max_per_second(&at),
            total: at.len(),
        });
    Ok((usage.collect(), violations, faults))
}

/// Injects one fault of mixers or of the links between them. Returns its description and the mixers that are not
/// checked while it lasted.
fn fault(harness: &mut Harness, rng: &mut ChaCha8Rng, chosen: usize) -> (String, Vec<usize>) {
    let mixers = harness.mixers();
    let blocked = LinkConditions {
        blocked: true,
        ..LinkConditions::default()
    };
    let span = |rng: &mut ChaCha8Rng, min: u64, max: u64| {
        Duration::from_millis(rng.random_range(min..max))
    };
    let set_between = |harness: &Harness, left: usize, link: LinkConditions| {
        for from in 0..left {
            (left..mixers).for_each(|to| {
                harness.switch.set_both_directions(
                    Endpoint::Mixer(from),
                    Endpoint::Mixer(to),
                    link,
                );
            });
        }
    };
    match rng.random_range(0..6) {
        0 => {
            let (left, duration) = (rng.random_range(1..mixers), span(rng, 4_000, 14_000));
            set_between(harness, left, blocked);
            std::thread::sleep(duration);
            (
                format!(
                    "{left} mixers are partitioned from {} for {duration:?}",
                    mixers - left
                ),
                Vec::new(),
            )
        }
        1 => {
            let left = (mixers / 2).max(1);
            for _ in 0..6 {
                set_between(harness, left, blocked);
                std::thread::sleep(Duration::from_secs(1));
                harness.switch.set_all_links(LinkConditions::default());
                std::thread::sleep(Duration::from_secs(1));
            }
            ("a partition into halves that flaps".to_owned(), Vec::new())
        }
        2 => {
            (0..mixers).filter(|to| *to != chosen).for_each(|to| {
                harness
                    .switch
                    .set_link(Endpoint::Mixer(chosen), Endpoint::Mixer(to), blocked);
            });
            std::thread::sleep(span(rng, 3_000, 9_000));
            (
                format!("datagrams from {} are blocked", name(chosen)),
                Vec::new(),
            )
        }
        3 => {
            let duration = span(rng, 1_000, 9_000);
            harness.pause(chosen);
            std::thread::sleep(duration);
            harness.resume(chosen);
            (
                format!("{} is paused for {duration:?}", name(chosen)),
                vec![chosen],
            )
        }
        4 => {
            let group: Vec<usize> = (0..mixers).filter(|_| rng.random::<f64>() < 0.7).collect();
            group.iter().for_each(|mixer| harness.kill(*mixer));
            harness.start_all(&group);
            (
                format!("{} mixers are killed and restarted", group.len()),
                group,
            )
        }
        _ => {
            harness.kill(chosen);
            std::thread::sleep(span(rng, 500, 5_000));
            harness.start(chosen);
            (
                format!("{} is killed and restarted", name(chosen)),
                vec![chosen],
            )
        }
    }
}

/// Runs all scenarios and returns whether all guarantees held. The last line printed has the figures.
pub fn run(mixers: usize, seed: u64, span: Duration, rate: f64, verbose: bool) -> Result<bool> {
    anyhow::ensure!(
        (3..=60).contains(&mixers),
        "--mixers: {mixers} is not between 3 and 60"
    );
    let without_sharing = measure_sharing(mixers, seed, rate, "", verbose)?;
    let shared = "  shared { judgements: true warm_starts: true }\n";
    let mut with_sharing = measure_sharing(mixers, seed, rate, shared, verbose)?;
    let (usage, violations, faults) = measure_budgets(mixers, seed, span, rate, verbose)?;
    let rule_violations =
        without_sharing.violations.total() + with_sharing.violations.total() + violations.total();
    for violation in [
        &without_sharing.violations,
        &with_sharing.violations,
        &violations,
    ]
    .iter()
    .flat_map(|violations| &violations.examples)
    {
        println!("{violation}");
    }
    let within_budgets = usage.iter().all(|usage| usage.peak as f64 <= usage.limit);
    let [known_p50, _, known_worst] = percentiles(&mut with_sharing.verdict_delays);
    let spread_in_time = !with_sharing.verdict_delays.is_empty()
        && known_worst <= VERDICT_SPREAD_LIMIT.as_millis() as u64;
    let passed = rule_violations == 0
        && within_budgets
        && spread_in_time
        && with_sharing.false_verdicts == 0;
    let budgets: Vec<String> = usage
        .iter()
        .map(|of| {
            format!(
                "{}_worst={} {}_budget={} {}_most={:.0} {}_all={}",
                of.name, of.peak, of.name, of.budget, of.name, of.limit, of.name, of.total
            )
        })
        .collect();
    println!(
        "mixers={mixers} seed={seed} seconds={} faults={faults} {} known={} known_p50_ms={known_p50} known_worst_ms={known_worst} wrong={} into_dead={:.1}/{:.1} \
         until_ms={}/{} after_death={:.4}/{:.4} after_restart={:.4}/{:.4} after_cold={:.4}/{:.4} rules_broken={rule_violations} \
         kept={passed}",
        span.as_secs(),
        budgets.join(" "),
        with_sharing.verdict_delays.len(),
        with_sharing.false_verdicts,
        with_sharing.sends_to_hung,
        without_sharing.sends_to_hung,
        with_sharing.last_send_ms,
        without_sharing.last_send_ms,
        with_sharing.in_time_after_hang,
        without_sharing.in_time_after_hang,
        with_sharing.in_time_after_restart,
        without_sharing.in_time_after_restart,
        with_sharing.in_time_after_cold,
        without_sharing.in_time_after_cold,
    );
    Ok(passed)
}
