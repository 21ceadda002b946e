//! `fleet`: real mixers under faults drawn from a seed, with a load beside them. What is promised is judged from outside:
//! from the mixers' pages, polled all the time, and from clients' and searchers' logs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use anyhow::Result;
use lockusher_policy::interface::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::{Ground, Plan, View, name};
use super::percentiles;
use super::rules::{Excused, Logs, check};
use super::switch::{End, Way};
use super::worker::Temper;

const SETTLES: Duration = Duration::from_secs(5);
const CRASH_KNOWN_MS: u64 = 3_000;
const MOST_FALSE: Duration = Duration::from_secs(1);
const MOST_BYTES_S: f64 = 10_000.0;
/// A share of a core, beside what a mixer costs that serves nobody.
const MOST_CPU: f64 = 0.01;
/// After a fault of its own, or a heal, a mixer counts as sound from this time on.
const SOUND_AFTER: Duration = Duration::from_secs(5);

/// What was seen so far.
#[derive(Default)]
struct Seen {
    settled: Vec<Span>,
    disagree: u64,
    crashes: Vec<Span>,
    /// Sound mixers that another sound one believes dead, since when.
    open: HashMap<(usize, usize), Instant>,
    false_deaths: u64,
    longest_false: Duration,
    faults: u64,
    excused: Excused,
    drains: Excused,
}

impl Seen {
    /// Sound mixers that sound ones believe dead.
    fn look(&mut self, ground: &Ground, views: &[Option<View>], judges: bool) {
        let now = Instant::now();
        let up = ground.up();
        let sound = |mixer: usize| now.duration_since(ground.troubled[mixer]) > SOUND_AFTER;
        for by in up.iter().copied() {
            let Some(view) = &views[by] else { continue };
            for of in up.iter().copied().filter(|of| *of != by) {
                let state = view.members.get(&name(of));
                let dead = state.is_some_and(|(state, ..)| state == "dead");
                match self.open.get(&(by, of)) {
                    None if dead && judges && sound(by) && sound(of) => {
                        self.open.insert((by, of), now);
                        self.false_deaths += 1;
                    }
                    Some(since) if !dead || !judges => {
                        self.longest_false = self.longest_false.max(now.duration_since(*since));
                        self.open.remove(&(by, of));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Lets time pass, looking all the while.
    fn watch(&mut self, ground: &Ground, span: Duration, judges: bool) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let views = ground.views();
            self.look(ground, &views, judges);
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// How long it takes each that runs to believe a death.
    fn crash(&mut self, ground: &Ground, of: usize, at: Instant) {
        let mut waiting = ground.up();
        while !waiting.is_empty() && at.elapsed() < 2 * SETTLES {
            let views = ground.views();
            let seen = Span::from_micros(at.elapsed().as_micros() as u64);
            waiting.retain(|by| {
                let state = views[*by]
                    .as_ref()
                    .and_then(|view| view.members.get(&name(of)));
                let lives = state.is_none_or(|(state, ..)| state == "alive" || state == "suspect");
                if !lives {
                    self.crashes.push(seen);
                }
                lives
            });
            self.look(ground, &views, true);
            std::thread::sleep(Duration::from_millis(20));
        }
        let never = Span::from_micros(at.elapsed().as_micros() as u64);
        self.crashes.extend(waiting.iter().map(|_| never));
    }

    fn settle(&mut self, ground: &Ground, what: &str, say: bool) {
        self.faults += 1;
        let took = ground.settles(2 * SETTLES);
        if say {
            println!("{what}: settled after {took:?}");
        }
        match took.filter(|took| *took <= SETTLES) {
            Some(took) => self
                .settled
                .push(Span::from_micros(took.as_micros() as u64)),
            None => {
                self.disagree += 1;
                for (mixer, view) in ground.views().into_iter().enumerate().filter(|_| say) {
                    let view = view.map(|v| (v.standing, v.living, v.digest));
                    println!("  {}: {view:?}", name(mixer));
                }
            }
        }
    }
}

/// Plays it; tells whether all promises were kept. The last line it prints has its figures.
pub fn run(mixers: usize, seed: u64, span: Duration, rate: f64, say: bool) -> Result<bool> {
    anyhow::ensure!(
        (3..=60).contains(&mixers),
        "--mixers: {mixers} is not between 3 and 60"
    );
    let plan = Plan {
        mixers,
        seed,
        rate,
        ..Plan::default()
    };
    let mut ground = Ground::new(plan)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let mut seen = Seen::default();
    let all: Vec<usize> = (0..mixers).collect();
    let began = Instant::now();
    ground.start_all(&all);
    seen.settle(&ground, "all start at once", say);
    all.iter()
        .for_each(|mixer| seen.excused.excuse(*mixer, began, Instant::now()));
    // What the view costs where nothing happens and nobody asks.
    ground.clients.rate(0.0);
    seen.watch(&ground, SOUND_AFTER, true);
    let (sent, cpu, at) = (bytes_out(&ground), ground.cpu_us(), Instant::now());
    std::thread::sleep(Duration::from_secs(4));
    let cpu_after = ground.cpu_us();
    let each = mixers as f64 * at.elapsed().as_secs_f64();
    let bytes_s = (bytes_out(&ground) - sent) as f64 / each;
    let used: u64 = cpu_after
        .iter()
        .map(|(mixer, us)| us - cpu.get(mixer).copied().unwrap_or_default())
        .sum();
    let cpu_share = used as f64 / 1e6 / each;
    ground.clients.rate(rate);
    let end = Instant::now() + span;
    while Instant::now() < end {
        let began = Instant::now();
        let one = rng.random_range(0..mixers);
        let (what, touched) = fault(&mut ground, &mut seen, &mut rng, one);
        ground.switch.everywhere(Way::default());
        seen.settle(&ground, &what, say);
        let excused_until = Instant::now() + Duration::from_millis(500);
        touched
            .iter()
            .for_each(|mixer| seen.excused.excuse(*mixer, began, excused_until));
        seen.watch(&ground, Duration::from_millis(1_500), true);
    }
    ground.clients.rate(0.0);
    // All that was asked has its answer, or none comes.
    seen.watch(
        &ground,
        super::clients::PATIENCE + super::clients::LOST_AFTER,
        true,
    );
    let done = std::mem::take(&mut *ground.clients.done.lock().unwrap());
    let logs = Logs {
        done: &done,
        came: ground.workers.iter().map(|worker| worker.log()).collect(),
        mixers: std::mem::take(&mut seen.excused),
        drains: std::mem::take(&mut seen.drains),
        fell: ground
            .workers
            .iter()
            .map(|worker| *worker.fell.lock().unwrap())
            .sum(),
    };
    let broken = check(&logs);
    for what in broken.some.iter().filter(|_| say || broken.all() > 0) {
        println!("{what}");
    }
    let served = done
        .iter()
        .filter(|done| matches!(done.end, super::clients::End::Answered(..)))
        .count();
    let longest = seen
        .open
        .values()
        .map(Instant::elapsed)
        .chain([seen.longest_false])
        .max()
        .unwrap_or_default();
    let [crash_p50, crash_p99, crash_worst] = percentiles(&mut seen.crashes);
    let [settle_p50, _, settle_worst] = percentiles(&mut seen.settled);
    let kept = seen.disagree == 0
        && broken.all() == 0
        && longest <= MOST_FALSE
        && crash_p99 <= CRASH_KNOWN_MS
        && bytes_s < MOST_BYTES_S
        && cpu_share < MOST_CPU;
    println!(
        "mixers={mixers} seed={seed} seconds={} faults={} disagree_after_settling={} false_deaths={} \
         longest_false_ms={} crash_p50_ms={crash_p50} crash_p99_ms={crash_p99} crash_worst_ms={crash_worst} \
         settle_p50_ms={settle_p50} settle_worst_ms={settle_worst} bytes_s={bytes_s:.0} cpu_share={cpu_share:.4} \
         multigets={} served={served} rules_broken={} by_rule={:?} kept={kept}",
        span.as_secs(),
        seen.faults,
        seen.disagree,
        seen.false_deaths,
        longest.as_millis(),
        done.len(),
        broken.all(),
        broken.by_rule,
    );
    Ok(kept)
}

fn bytes_out(ground: &Ground) -> u64 {
    ground
        .views()
        .iter()
        .flatten()
        .filter_map(|view| view.counts["bytes_out"].as_u64())
        .sum()
}

/// One fault, drawn by chance, from its beginning to its heal; what it was, and which mixers it touched so that what
/// they owed then is not judged.
fn fault(
    ground: &mut Ground,
    seen: &mut Seen,
    rng: &mut ChaCha8Rng,
    one: usize,
) -> (String, Vec<usize>) {
    let mixers = ground.mixers();
    let all: Vec<usize> = (0..mixers).collect();
    let span = |rng: &mut ChaCha8Rng, least: u64, most: u64| {
        Duration::from_millis(rng.random_range(least..most))
    };
    match rng.random_range(0..13) {
        0 | 1 => {
            ground.kill(one);
            seen.crash(ground, one, Instant::now());
            ground.start(one);
            (
                format!("{} is killed, and started again", name(one)),
                vec![one],
            )
        }
        2 => {
            let part: Vec<usize> = all
                .iter()
                .copied()
                .filter(|_| rng.random::<f64>() < 0.7)
                .collect();
            part.iter().for_each(|mixer| ground.kill(*mixer));
            std::thread::sleep(span(rng, 100, 800));
            ground.start_all(&part);
            (
                format!(
                    "{} are killed and started again within a second",
                    part.len()
                ),
                part,
            )
        }
        3 => {
            let still = span(rng, 500, 10_000);
            ground.halt(one);
            seen.watch(ground, still, true);
            ground.resume(one);
            (
                format!("{} stands still for {still:?}", name(one)),
                vec![one],
            )
        }
        4 => {
            let part: Vec<usize> = all
                .iter()
                .copied()
                .filter(|mixer| mixer % 10 == one % 10)
                .collect();
            ground.terminate(&part);
            ground.start_all(&part);
            (
                format!("{} are told to stop, and started again", part.len()),
                part,
            )
        }
        5 => {
            // Now and then longer than the dead are remembered.
            let (cut, cut_for) = (rng.random_range(1..mixers), span(rng, 3_000, 16_000));
            ground.trouble_all();
            for near in 0..cut {
                for far in cut..mixers {
                    let way = Way {
                        cut: true,
                        ..Way::default()
                    };
                    ground
                        .switch
                        .both_ways(End::Mixer(near), End::Mixer(far), way);
                }
            }
            seen.watch(ground, cut_for, false);
            ground.trouble_all();
            (
                format!("{cut} are cut off from {} for {cut_for:?}", mixers - cut),
                Vec::new(),
            )
        }
        6 => {
            let other = (one + 1) % mixers;
            ground.switch.way(
                End::Mixer(one),
                End::Mixer(other),
                Way {
                    cut: true,
                    ..Way::default()
                },
            );
            seen.watch(ground, span(rng, 2_000, 6_000), true);
            (
                format!("{} does not reach {}", name(one), name(other)),
                Vec::new(),
            )
        }
        7 => {
            let way = Way {
                loss: 0.1,
                doubled: 0.05,
                damaged: 0.01,
                least: Duration::ZERO,
                most: Duration::from_millis(20),
                ..Way::default()
            };
            ground.switch.everywhere(way);
            seen.watch(ground, span(rng, 4_000, 10_000), true);
            (
                "one datagram in ten is lost, others late, doubled or damaged".to_owned(),
                Vec::new(),
            )
        }
        8 => {
            ground.trouble_all();
            for from in 0..mixers {
                for to in (0..mixers).filter(|to| {
                    (to + mixers - from) % mixers > 1 && (from + mixers - to) % mixers > 1
                }) {
                    ground.switch.way(
                        End::Mixer(from),
                        End::Mixer(to),
                        Way {
                            cut: true,
                            ..Way::default()
                        },
                    );
                }
            }
            seen.watch(ground, span(rng, 3_000, 8_000), false);
            ground.trouble_all();
            ("each reaches only its neighbours".to_owned(), Vec::new())
        }
        9 => {
            let searcher = rng.random_range(0..ground.workers.len());
            ground.workers[searcher].down();
            ground.tell();
            std::thread::sleep(span(rng, 500, 2_000));
            ground.workers[searcher].up();
            ground.tell();
            (format!("s{searcher} ends, and comes back cold"), Vec::new())
        }
        10 => {
            let searcher = rng.random_range(0..ground.workers.len());
            let answers = |temper: &mut Temper, [late, wrong, missing]: [f64; 3]| {
                (temper.late, temper.wrong, temper.missing) = (late, wrong, missing);
            };
            ground.workers[searcher].set(|temper| answers(temper, [0.2, 0.05, 0.05]));
            seen.watch(ground, span(rng, 3_000, 8_000), true);
            ground.workers[searcher].set(|temper| answers(temper, [0.0; 3]));
            (
                format!("some of s{searcher}'s answers are late, wrong or missing"),
                Vec::new(),
            )
        }
        11 => {
            // Mixer's frames to one searcher wait as long as the way is cut, or each for a while.
            let (searcher, whole) = (
                rng.random_range(0..ground.workers.len()),
                rng.random::<bool>(),
            );
            let most = Duration::from_millis(if whole { 0 } else { 80 });
            let way = Way {
                cut: whole,
                most,
                ..Way::default()
            };
            ground
                .switch
                .both_ways(End::Mixer(one), End::Searcher(searcher), way);
            seen.watch(ground, span(rng, 1_500, 6_000), true);
            let how = if whole { "is cut" } else { "is slow" };
            (
                format!("the way from {} to s{searcher} {how}", name(one)),
                Vec::new(),
            )
        }
        _ => {
            let searcher = rng.random_range(0..ground.workers.len());
            ground.workers[searcher].set(|temper| temper.drains = true);
            ground.tell();
            let told = Instant::now();
            seen.watch(ground, span(rng, 2_500, 5_000), true);
            ground.workers[searcher].set(|temper| temper.drains = false);
            seen.drains.excuse(searcher, told, Instant::now());
            ground.tell();
            (format!("s{searcher} drains"), Vec::new())
        }
    }
}
