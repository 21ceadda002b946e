//! `shared`: real mixers that share state. What the fleet spends of its budgets is counted from outside under faults drawn
//! from a seed; what judgements and warm starts earn is played twice, with and without them.

use std::cell::Cell;
use std::time::{Duration, Instant};

use anyhow::Result;
use lockusher_policy::interface::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::budget_usage::{further_sends, slack, worst_second};
use super::clients::{Done, End as Ended, LOST_AFTER, PATIENCE};
use super::harness::{Ground, Plan, View, name};
use super::percentiles;
use super::rules::{Broken, Excused, Logs, check};
use super::switch::{End, Way};
use super::worker::Did;

/// So many that at some tens of multigets a second a mixer hears of each about once in a second.
const SEARCHERS: usize = 72;
const CELLS: usize = 24;
/// Parts of a multiget.
const WIDTH: usize = 4;
/// The latency budget in `stand_in::settings`.
const IN_TIME: Duration = Duration::from_millis(300);
/// What follows a trouble is counted for so long.
const AFTER: Duration = Duration::from_secs(10);
/// Once one mixer knows that a searcher hangs, all that hear of each other do within this.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// What stands of a sound searcher for longer than this is wrong: one that has just come back may be said to be down
/// until it is tried.
const WRONG_AFTER: Duration = Duration::from_secs(6);
const LONG: Duration = Duration::from_secs(30);

/// What is counted against a budget, with its worst second.
#[derive(Debug)]
struct Spent {
    what: &'static str,
    budget: f64,
    most: f64,
    worst: usize,
    all: usize,
}

/// How a play with judgements and warm starts, or without them, went.
#[derive(Debug, Default)]
struct Earned {
    /// Parts that came to hanging searchers a mixer, and when the last but one in a hundred of them came.
    into_dead: f64,
    until_ms: u64,
    /// Shares in time, in the ten seconds after each trouble.
    after_death: f64,
    after_restart: f64,
    after_cold: f64,
    /// Judgements: how long until all knew of each hanging one that came to be accused; and how many stood of sound ones.
    known: Vec<Span>,
    wrong: u64,
    broken: Broken,
}

/// The share of multigets of a time that were answered within their latency budget, among those of some mixers.
fn in_time(done: &[Done], from: Instant, to: Instant) -> f64 {
    let of: Vec<&Done> = done
        .iter()
        .filter(|done| done.asked >= from && done.asked < to)
        .collect();
    let good = |done: &&&Done| {
        matches!(done.end, Ended::Answered(..)) && done.ended - done.asked <= IN_TIME
    };
    of.iter().filter(good).count() as f64 / of.len().max(1) as f64
}

fn accused(view: &View) -> Vec<&str> {
    let judged = view.shared["judged"].as_array().into_iter().flatten();
    judged
        .filter(|of| of["fault"] != "fine")
        .filter_map(|of| of["searcher"].as_str())
        .collect()
}

/// Waits for what is under way, and checks the rules.
fn ends(ground: &Ground, excused: Excused) -> (Vec<Done>, Broken) {
    ground.clients.rate(0.0);
    std::thread::sleep(PATIENCE + LOST_AFTER);
    let done = ground.clients.done.lock().unwrap().clone();
    let broken = check(&Logs {
        done: &done,
        came: ground.workers.iter().map(|worker| worker.log()).collect(),
        mixers: excused,
        drains: Excused::default(),
        fell: ground
            .workers
            .iter()
            .map(|worker| *worker.fell.lock().unwrap())
            .sum(),
    });
    (done, broken)
}

/// Some searchers hang, mixers are restarted, searchers come back cold; on one seed the same with and without sharing.
fn earns(mixers: usize, seed: u64, rate: f64, shared: &str, say: bool) -> Result<Earned> {
    let plan = Plan {
        mixers,
        searchers: SEARCHERS,
        cells: CELLS,
        seed,
        rate,
        width: WIDTH,
        zones: 3.min(mixers),
        shared: shared.to_owned(),
        ..Plan::default()
    };
    let mut ground = Ground::new(plan)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5a7e);
    let (mut earned, mut excused) = (Earned::default(), Excused::default());
    let all: Vec<usize> = (0..mixers).collect();
    let began = Instant::now();
    ground.start_all(&all);
    anyhow::ensure!(ground.settles(LONG).is_some(), "the fleet does not settle");
    all.iter()
        .for_each(|mixer| excused.excuse(*mixer, began, Instant::now()));
    std::thread::sleep(AFTER);
    // An eighth of the searchers hang.
    let first = rng.random_range(0..SEARCHERS);
    let dead: Vec<usize> = (0..SEARCHERS / 8)
        .map(|nth| (first + nth * 8) % SEARCHERS)
        .collect();
    dead.iter()
        .for_each(|searcher| ground.workers[*searcher].set(|temper| temper.hangs = true));
    let died = Instant::now();
    let mut wrong_since: Vec<Option<Instant>> = vec![None; SEARCHERS];
    let mut unknown: Vec<(usize, Cell<Option<Instant>>)> =
        dead.iter().map(|of| (*of, Cell::new(None))).collect();
    while died.elapsed() < AFTER {
        let views = ground.views();
        unknown.retain(|(of, first)| {
            let id = format!("s{of}");
            let knows = |view: &View| accused(view).contains(&id.as_str());
            let known = views.iter().flatten().filter(|view| knows(view)).count();
            // From when the first of them knew: before, too few had tried it.
            if known > 0 && first.get().is_none() {
                first.set(Some(Instant::now()));
            }
            let all = known == mixers;
            if let Some(first) = first.get().filter(|_| all) {
                earned
                    .known
                    .push(Span::from_micros(first.elapsed().as_micros() as u64));
            }
            !all
        });
        for (searcher, since) in wrong_since
            .iter_mut()
            .enumerate()
            .filter(|(of, _)| !dead.contains(of))
        {
            let id = format!("s{searcher}");
            let stands = views
                .iter()
                .flatten()
                .any(|view| accused(view).contains(&id.as_str()));
            match since {
                Some(since) if stands && since.elapsed() > WRONG_AFTER => earned.wrong += 1,
                Some(_) if stands => {}
                _ => *since = stands.then(Instant::now),
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let until = Instant::now();
    let mut came: Vec<Duration> = dead
        .iter()
        .flat_map(|searcher| ground.workers[*searcher].log())
        .filter(|came| came.did == Did::Swallowed)
        .map(|came| came.at.saturating_duration_since(died))
        .collect();
    came.sort();
    if say {
        let bins = (0..10)
            .map(|bin| came.iter().filter(|at| at.as_secs() == bin).count())
            .collect::<Vec<_>>();
        println!("sends into the dead by second: {bins:?}");
    }
    earned.into_dead = came.len() as f64 / mixers as f64;
    earned.until_ms = came
        .get((came.len() * 99 / 100).min(came.len().saturating_sub(1)))
        .map_or(0, |at| at.as_millis() as u64);
    dead.iter()
        .for_each(|searcher| ground.workers[*searcher].set(|temper| temper.hangs = false));
    std::thread::sleep(AFTER);
    // Seven in ten mixers are killed and started again, while one in eight searchers is too slow.
    let usual = ground.workers[0].temper().mean;
    let slow = |ground: &Ground, mean: Duration| {
        let of = ground.workers.iter().skip(first % 8).step_by(8);
        of.for_each(|worker| worker.set(|temper| temper.mean = mean));
    };
    slow(&ground, IN_TIME);
    std::thread::sleep(AFTER / 2);
    let part: Vec<usize> = all
        .iter()
        .copied()
        .filter(|_| rng.random::<f64>() < 0.7)
        .collect();
    let killed = Instant::now();
    part.iter().for_each(|mixer| ground.kill(*mixer));
    ground.start_all(&part);
    let started = Instant::now();
    part.iter()
        .for_each(|mixer| excused.excuse(*mixer, killed, started + Duration::from_millis(500)));
    std::thread::sleep(AFTER);
    let restarted = Instant::now();
    slow(&ground, usual);
    // A third of the searchers goes down, is listed so, and comes back cold.
    let zone: Vec<usize> = (0..SEARCHERS)
        .filter(|searcher| searcher % 3 == first % 3)
        .collect();
    zone.iter()
        .for_each(|searcher| ground.workers[*searcher].down());
    ground.tell();
    std::thread::sleep(Duration::from_secs(3));
    zone.iter()
        .for_each(|searcher| ground.workers[*searcher].up());
    ground.tell();
    let back = Instant::now();
    std::thread::sleep(AFTER);
    let ended = Instant::now();
    let (done, broken) = ends(&ground, excused);
    earned.after_death = in_time(&done, died, until);
    earned.after_restart = in_time(&done, started, restarted);
    earned.after_cold = in_time(&done, back, ended);
    earned.broken = broken;
    if say {
        println!(
            "{}: {earned:#?}",
            if shared.is_empty() {
                "alone"
            } else {
                "together"
            }
        );
    }
    Ok(earned)
}

/// A fleet that would spend all it can, under faults between its mixers and of them.
fn spends(
    mixers: usize,
    seed: u64,
    span: Duration,
    rate: f64,
    say: bool,
) -> Result<(Vec<Spent>, Broken, u64)> {
    let each = mixers as f64;
    let budgets = [
        ("further", each),
        ("cold", each),
        ("connections", 20.0 * each),
        ("probes", 0.5 * each),
    ];
    let lines: String = budgets
        .iter()
        .map(|(what, rate)| format!("{what}_per_s: {rate} "))
        .collect();
    let plan = Plan {
        mixers,
        searchers: SEARCHERS,
        cells: CELLS,
        seed,
        rate,
        zones: 3.min(mixers),
        shared: format!("  shared {{ judgements: true budgets {{ {lines}}} }}\n"),
        ..Plan::default()
    };
    let mut ground = Ground::new(plan)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x10a4);
    let mut excused = Excused::default();
    let all: Vec<usize> = (0..mixers).collect();
    let began = Instant::now();
    ground
        .workers
        .iter()
        .for_each(|worker| worker.set(|temper| temper.missing = 0.01));
    ground.start_all(&all);
    anyhow::ensure!(ground.settles(LONG).is_some(), "the fleet does not settle");
    all.iter()
        .for_each(|mixer| excused.excuse(*mixer, began, Instant::now()));
    let (mut faults, end) = (0, Instant::now() + span);
    while Instant::now() < end {
        faults += 1;
        let from = Instant::now();
        let one = rng.random_range(0..mixers);
        let (what, touched) = fault(&mut ground, &mut rng, one);
        ground.switch.everywhere(Way::default());
        let settled = ground.settles(LONG);
        if say {
            println!("{what}: settled after {settled:?}");
        }
        let to = Instant::now() + Duration::from_millis(500);
        touched
            .iter()
            .for_each(|mixer| excused.excuse(*mixer, from, to));
        // Connections break all the while, and now and then a searcher comes back cold.
        for _ in 0..4 {
            ground.workers[rng.random_range(0..SEARCHERS)].break_off();
            std::thread::sleep(Duration::from_millis(rng.random_range(200..600)));
        }
        let cold = rng.random_range(0..SEARCHERS);
        ground.workers[cold].down();
        ground.tell();
        std::thread::sleep(Duration::from_millis(400));
        ground.workers[cold].up();
        ground.tell();
    }
    let (done, broken) = ends(&ground, excused);
    if say {
        let served = done
            .iter()
            .filter(|done| matches!(done.end, Ended::Answered(..)))
            .count();
        println!("{served} of {} answered", done.len());
    }
    let logs: Vec<_> = ground.workers.iter().map(|worker| worker.log()).collect();
    let sorted = |mut at: Vec<Instant>| {
        at.sort();
        at
    };
    let cold = logs
        .iter()
        .flatten()
        .filter(|came| came.cold)
        .map(|came| came.at)
        .collect();
    let opened = ground.switch.opened.lock().unwrap().clone();
    let probed = ground
        .workers
        .iter()
        .flat_map(|worker| worker.probed())
        .collect();
    let counted = [
        further_sends(&logs),
        sorted(cold),
        sorted(opened),
        sorted(probed),
    ];
    let spent = budgets
        .iter()
        .zip(counted)
        .map(|((what, budget), at)| Spent {
            what,
            budget: *budget,
            most: budget + slack(*budget, mixers),
            worst: worst_second(&at),
            all: at.len(),
        });
    Ok((spent.collect(), broken, faults))
}

/// One fault between mixers, or of some; what it was, and whom it touched.
fn fault(ground: &mut Ground, rng: &mut ChaCha8Rng, one: usize) -> (String, Vec<usize>) {
    let mixers = ground.mixers();
    let cut = Way {
        cut: true,
        ..Way::default()
    };
    let span = |rng: &mut ChaCha8Rng, least: u64, most: u64| {
        Duration::from_millis(rng.random_range(least..most))
    };
    let parts = |ground: &Ground, near: usize, way: Way| {
        for from in 0..near {
            (near..mixers).for_each(|to| {
                ground
                    .switch
                    .both_ways(End::Mixer(from), End::Mixer(to), way);
            });
        }
    };
    match rng.random_range(0..6) {
        0 => {
            let (near, cut_for) = (rng.random_range(1..mixers), span(rng, 4_000, 14_000));
            parts(ground, near, cut);
            std::thread::sleep(cut_for);
            (
                format!("{near} are cut off from {} for {cut_for:?}", mixers - near),
                Vec::new(),
            )
        }
        1 => {
            let near = (mixers / 2).max(1);
            for _ in 0..6 {
                parts(ground, near, cut);
                std::thread::sleep(Duration::from_secs(1));
                ground.switch.everywhere(Way::default());
                std::thread::sleep(Duration::from_secs(1));
            }
            ("a cut in halves that flaps".to_owned(), Vec::new())
        }
        2 => {
            (0..mixers)
                .filter(|to| *to != one)
                .for_each(|to| ground.switch.way(End::Mixer(one), End::Mixer(to), cut));
            std::thread::sleep(span(rng, 3_000, 9_000));
            (format!("{} is not heard", name(one)), Vec::new())
        }
        3 => {
            let still = span(rng, 1_000, 9_000);
            ground.halt(one);
            std::thread::sleep(still);
            ground.resume(one);
            (
                format!("{} stands still for {still:?}", name(one)),
                vec![one],
            )
        }
        4 => {
            let part: Vec<usize> = (0..mixers).filter(|_| rng.random::<f64>() < 0.7).collect();
            part.iter().for_each(|mixer| ground.kill(*mixer));
            ground.start_all(&part);
            (format!("{} are killed and started again", part.len()), part)
        }
        _ => {
            ground.kill(one);
            std::thread::sleep(span(rng, 500, 5_000));
            ground.start(one);
            (
                format!("{} is killed, and started again", name(one)),
                vec![one],
            )
        }
    }
}

/// Plays it; tells whether all promises were kept. The last line it prints has its figures.
pub fn run(mixers: usize, seed: u64, span: Duration, rate: f64, say: bool) -> Result<bool> {
    anyhow::ensure!(
        (3..=60).contains(&mixers),
        "--mixers: {mixers} is not between 3 and 60"
    );
    let alone = earns(mixers, seed, rate, "", say)?;
    let shared = "  shared { judgements: true warm_starts: true }\n";
    let mut together = earns(mixers, seed, rate, shared, say)?;
    let (spent, broken, faults) = spends(mixers, seed, span, rate, say)?;
    let rules = alone.broken.all() + together.broken.all() + broken.all();
    for what in [&alone.broken, &together.broken, &broken]
        .iter()
        .flat_map(|broken| &broken.some)
    {
        println!("{what}");
    }
    let within = spent.iter().all(|spent| spent.worst as f64 <= spent.most);
    let [known_p50, _, known_worst] = percentiles(&mut together.known);
    let known = !together.known.is_empty() && known_worst <= KNOWN_WITHIN.as_millis() as u64;
    let kept = rules == 0 && within && known && together.wrong == 0;
    let budgets: Vec<String> = spent
        .iter()
        .map(|of| {
            format!(
                "{}_worst={} {}_budget={} {}_most={:.0} {}_all={}",
                of.what, of.worst, of.what, of.budget, of.what, of.most, of.what, of.all
            )
        })
        .collect();
    println!(
        "mixers={mixers} seed={seed} seconds={} faults={faults} {} known={} known_p50_ms={known_p50} known_worst_ms={known_worst} wrong={} into_dead={:.1}/{:.1} \
         until_ms={}/{} after_death={:.4}/{:.4} after_restart={:.4}/{:.4} after_cold={:.4}/{:.4} rules_broken={rules} \
         kept={kept}",
        span.as_secs(),
        budgets.join(" "),
        together.known.len(),
        together.wrong,
        together.into_dead,
        alone.into_dead,
        together.until_ms,
        alone.until_ms,
        together.after_death,
        alone.after_death,
        together.after_restart,
        alone.after_restart,
        together.after_cold,
        alone.after_cold,
    );
    Ok(kept)
}
