//! `fleet-sim`: the fleet's promises in virtual time, at sizes that processes do not reach.

use anyhow::Result;
use lockusher_policy::interface::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::percentiles;
use super::virtual_time::World;

/// Ten seconds of the bench's time at 3,000 members, as promised.
const SETTLES: Span = Span::from_millis(10_000);
const CRASH_KNOWN_MS: u64 = 3_000;
const MOST_BYTES_S: f64 = 10_000.0;
const MOST_MEMORY: u64 = 512;
/// With fewer, the world itself weighs as much as what its mixers hold.
const WEIGHED_FROM: usize = 1_000;
const MOST_FALSE: Span = Span::from_millis(1_000);

/// The most memory that this process ever held, in bytes; 0 where the system does not tell.
fn most_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok())
        .unwrap_or_default()
        * 1_024
}

/// Plays it; tells whether all promises were kept. The last line it prints has its figures.
pub fn run(members: usize, seed: u64, span: Span, say: bool) -> Result<bool> {
    anyhow::ensure!(
        (2..=10_000).contains(&members),
        "--members: {members} is not between 2 and 10,000"
    );
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xf1ee7);
    let mut world = World::new(members, seed);
    let (mut settled, mut unsettled, mut faults) = (Vec::new(), 0, 0);
    let mut settle = |world: &mut World, what: &str| {
        faults += 1;
        let took = world.settle(SETTLES);
        if say {
            println!(
                "{:.1} s: {what}: {took:?}",
                world.now.since(super::START).as_secs()
            );
        }
        match took {
            Some(took) => settled.push(took),
            None => unsettled += 1,
        }
    };
    // A mass join: all within a second.
    for member in 0..members {
        world.start(member);
        world.play(Span::from_micros(1_000_000 / members as u64));
    }
    settle(&mut world, "all start within a second");
    world.all_sound_from_now();
    let sum = |world: &World| world.counts();
    world.play(Span::from_millis(3_000));
    let (before, began) = (sum(&world), world.now);
    world.play(Span::from_millis(10_000));
    let after = sum(&world);
    let each = |bytes: u64| bytes as f64 / members as f64 / world.now.since(began).as_secs();
    let (bytes_s, datagrams_s) = (
        each(after.bytes_out - before.bytes_out),
        each(after.datagrams_out - before.datagrams_out),
    );
    let (mut seen, mut none_at_1) = (Vec::new(), 0);
    let end = world.now + span;
    let mut order: Vec<u8> = Vec::new();
    while world.now < end {
        let some = |rng: &mut ChaCha8Rng| rng.random_range(0..members);
        if order.is_empty() {
            // Each kind once in a cycle, in an order drawn from the seed.
            order = (0..7).collect();
            for last in (1..7).rev() {
                order.swap(last, rng.random_range(0..=last));
            }
        }
        match order.pop().unwrap_or_default() {
            0 => {
                let one = some(&mut rng);
                world.kill(one);
                world.play(Span::from_millis(4_000));
                seen.extend(world.crashes_seen());
                world.start(one);
                settle(&mut world, "one crashes and comes back");
            }
            1 => {
                world.net.loss = 0.01;
                world.play(Span::from_millis(10_000));
                none_at_1 += world.false_deaths.len();
                world.net.loss = 0.0;
                settle(&mut world, "one datagram in a hundred was lost");
            }
            2 => {
                world.net.loss = 0.1;
                world.play(Span::from_millis(5_000));
                let one = some(&mut rng);
                world.kill(one);
                world.play(Span::from_millis(5_000));
                seen.extend(world.crashes_seen());
                world.start(one);
                world.net.loss = 0.0;
                settle(&mut world, "one in ten was lost, and a crash");
            }
            3 => {
                // A tenth at a time, each told to stop.
                for tenth in 0..10 {
                    let part: Vec<usize> =
                        (0..members).filter(|member| member % 10 == tenth).collect();
                    part.iter().for_each(|member| world.leave(*member));
                    world.play(Span::from_millis(500));
                    part.iter().for_each(|member| world.start(*member));
                    world.play(Span::from_millis(500));
                }
                settle(&mut world, "a rolling restart, a tenth at a time");
            }
            4 => {
                world.judges = false;
                let share: f64 = rng.random_range(0.1..0.5);
                world.net.group = (0..members)
                    .map(|_| u8::from(rng.random::<f64>() < share))
                    .collect();
                world.play(Span::from_millis(8_000));
                world.net.group = vec![0; members];
                settle(&mut world, "cut in two, and healed");
                world.play(Span::from_millis(3_000));
                world.judges = true;
            }
            5 => {
                let part: Vec<usize> = (0..members).filter(|_| rng.random::<f64>() < 0.7).collect();
                part.iter().for_each(|member| world.kill(*member));
                world.play(Span::from_millis(800));
                part.iter().for_each(|member| world.start(*member));
                settle(
                    &mut world,
                    "seven in ten killed and started again within a second",
                );
                world.crashes_seen();
            }
            _ => {
                world.judges = false;
                world.net.loss = 0.3;
                world.play(Span::from_millis(8_000));
                world.net.loss = 0.0;
                settle(&mut world, "three in ten lost");
                world.play(Span::from_millis(3_000));
                world.judges = true;
            }
        }
        world.all_sound_from_now();
        world.play(Span::from_millis(1_500));
    }
    let now = world.now;
    let longest = world
        .false_deaths
        .iter()
        .map(|death| death.until.unwrap_or(now).since(death.since))
        .max();
    let longest = longest.unwrap_or_default();
    let [crash_p50, crash_p99, crash_worst] = percentiles(&mut seen);
    let [settle_p50, _, settle_worst] = percentiles(&mut settled);
    // All that this process ever held, over all that each mixer holds of each.
    let memory = most_memory() / (members * members) as u64;
    let kept = unsettled == 0
        && (members < WEIGHED_FROM || memory < MOST_MEMORY)
        && crash_p99 <= CRASH_KNOWN_MS
        && longest <= MOST_FALSE
        && none_at_1 == 0
        && bytes_s < MOST_BYTES_S;
    println!(
        "members={members} seed={seed} seconds={} faults={faults} disagree_after_settling={unsettled} \
         false_deaths={} false_at_1_percent={none_at_1} longest_false_ms={} crash_p50_ms={crash_p50} \
         crash_p99_ms={crash_p99} crash_worst_ms={crash_worst} settle_p50_ms={settle_p50} \
         settle_worst_ms={settle_worst} datagrams_s={datagrams_s:.1} bytes_s={bytes_s:.0} \
         memory_a_member={memory} kept={kept}",
        span.as_secs(),
        world.false_deaths.len(),
        longest.as_micros() / 1_000,
    );
    Ok(kept)
}
