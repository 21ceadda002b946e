//! `fleet-sim`: checks the guarantees of membership in virtual time, for fleets larger than processes on one machine
//! allow.

use anyhow::Result;
use lockusher_policy::interface::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::percentiles;
use super::virtual_time::World;

/// All views must be the same within these ten seconds after a fault, at up to 3,000 members.
const CONVERGENCE_LIMIT: Span = Span::from_millis(10_000);
/// The limit on the 99th percentile of crash detection.
const CRASH_DETECTION_LIMIT_MS: u64 = 3_000;
/// The limit on bytes sent by one member without faults.
const MAX_BYTES_PER_S: f64 = 10_000.0;
/// The limit on memory for one member's entry of another, in bytes.
const MAX_MEMORY_BYTES: u64 = 512;
/// With fewer members, the simulation itself needs as much memory as the views of its mixers.
const MEMORY_CHECKED_FROM: usize = 1_000;
/// The longest time for which a healthy member may be held dead.
const MAX_FALSE_DEATH: Span = Span::from_millis(1_000);

/// The peak memory of this process, in bytes; 0 where the system does not report it.
fn peak_memory_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok())
        .unwrap_or_default()
        * 1_024
}

/// Runs the simulation and returns whether all guarantees held. The last line printed has the figures.
pub fn run(members: usize, seed: u64, span: Span, verbose: bool) -> Result<bool> {
    anyhow::ensure!(
        (2..=10_000).contains(&members),
        "--members: {members} is not between 2 and 10,000"
    );
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xf1ee7);
    let mut world = World::new(members, seed);
    let (mut convergence_times, mut not_converged, mut faults) = (Vec::new(), 0, 0);
    let mut await_convergence = |world: &mut World, description: &str| {
        faults += 1;
        let elapsed = world.converge(CONVERGENCE_LIMIT);
        if verbose {
            println!(
                "{:.1} s: {description}: {elapsed:?}",
                world.now.since(super::START).as_secs()
            );
        }
        match elapsed {
            Some(elapsed) => convergence_times.push(elapsed),
            None => not_converged += 1,
        }
    };
    // A mass join: all within a second.
    for member in 0..members {
        world.start(member);
        world.run_for(Span::from_micros(1_000_000 / members as u64));
    }
    await_convergence(&mut world, "all start within a second");
    world.mark_all_healthy();
    let sum = |world: &World| world.total_counts();
    world.run_for(Span::from_millis(3_000));
    let (before, start) = (sum(&world), world.now);
    world.run_for(Span::from_millis(10_000));
    let after = sum(&world);
    let per_member_second =
        |bytes: u64| bytes as f64 / members as f64 / world.now.since(start).as_secs();
    let (bytes_s, datagrams_s) = (
        per_member_second(after.bytes_out - before.bytes_out),
        per_member_second(after.datagrams_out - before.datagrams_out),
    );
    let (mut detection_delays, mut false_at_1_percent) = (Vec::new(), 0);
    let end = world.now + span;
    let mut order: Vec<u8> = Vec::new();
    while world.now < end {
        let random_member = |rng: &mut ChaCha8Rng| rng.random_range(0..members);
        if order.is_empty() {
            // Each kind once in a cycle, in an order drawn from the seed.
            order = (0..7).collect();
            for last in (1..7).rev() {
                order.swap(last, rng.random_range(0..=last));
            }
        }
        match order.pop().unwrap_or_default() {
            0 => {
                let member = random_member(&mut rng);
                world.kill(member);
                world.run_for(Span::from_millis(4_000));
                detection_delays.extend(world.take_crash_delays());
                world.start(member);
                await_convergence(&mut world, "a member crashes and restarts");
            }
            1 => {
                world.network.loss = 0.01;
                world.run_for(Span::from_millis(10_000));
                false_at_1_percent += world.false_deaths.len();
                world.network.loss = 0.0;
                await_convergence(&mut world, "one datagram in a hundred is lost");
            }
            2 => {
                world.network.loss = 0.1;
                world.run_for(Span::from_millis(5_000));
                let member = random_member(&mut rng);
                world.kill(member);
                world.run_for(Span::from_millis(5_000));
                detection_delays.extend(world.take_crash_delays());
                world.start(member);
                world.network.loss = 0.0;
                await_convergence(
                    &mut world,
                    "one datagram in ten is lost, and a member crashes",
                );
            }
            3 => {
                // A tenth at a time, each shut down gracefully.
                for tenth in 0..10 {
                    let group: Vec<usize> =
                        (0..members).filter(|member| member % 10 == tenth).collect();
                    group.iter().for_each(|member| world.leave(*member));
                    world.run_for(Span::from_millis(500));
                    group.iter().for_each(|member| world.start(*member));
                    world.run_for(Span::from_millis(500));
                }
                await_convergence(&mut world, "a rolling restart, a tenth at a time");
            }
            4 => {
                world.records_false_deaths = false;
                let share: f64 = rng.random_range(0.1..0.5);
                world.network.partition = (0..members)
                    .map(|_| u8::from(rng.random::<f64>() < share))
                    .collect();
                world.run_for(Span::from_millis(8_000));
                world.network.partition = vec![0; members];
                await_convergence(&mut world, "a partition into two");
                world.run_for(Span::from_millis(3_000));
                world.records_false_deaths = true;
            }
            5 => {
                let group: Vec<usize> =
                    (0..members).filter(|_| rng.random::<f64>() < 0.7).collect();
                group.iter().for_each(|member| world.kill(*member));
                world.run_for(Span::from_millis(800));
                group.iter().for_each(|member| world.start(*member));
                await_convergence(
                    &mut world,
                    "seven in ten members are killed and restarted within a second",
                );
                world.take_crash_delays();
            }
            _ => {
                world.records_false_deaths = false;
                world.network.loss = 0.3;
                world.run_for(Span::from_millis(8_000));
                world.network.loss = 0.0;
                await_convergence(&mut world, "three datagrams in ten are lost");
                world.run_for(Span::from_millis(3_000));
                world.records_false_deaths = true;
            }
        }
        world.mark_all_healthy();
        world.run_for(Span::from_millis(1_500));
    }
    let now = world.now;
    let longest_false_death = world
        .false_deaths
        .iter()
        .map(|death| death.until.unwrap_or(now).since(death.since))
        .max();
    let longest_false_death = longest_false_death.unwrap_or_default();
    let [crash_p50, crash_p99, crash_worst] = percentiles(&mut detection_delays);
    let [settle_p50, _, settle_worst] = percentiles(&mut convergence_times);
    // The peak memory of this process, divided by the entries of all views.
    let memory_bytes = peak_memory_bytes() / (members * members) as u64;
    let passed = not_converged == 0
        && (members < MEMORY_CHECKED_FROM || memory_bytes < MAX_MEMORY_BYTES)
        && crash_p99 <= CRASH_DETECTION_LIMIT_MS
        && longest_false_death <= MAX_FALSE_DEATH
        && false_at_1_percent == 0
        && bytes_s < MAX_BYTES_PER_S;
    println!(
        "members={members} seed={seed} seconds={} faults={faults} disagree_after_settling={not_converged} \
         false_deaths={} false_at_1_percent={false_at_1_percent} longest_false_ms={} crash_p50_ms={crash_p50} \
         crash_p99_ms={crash_p99} crash_worst_ms={crash_worst} settle_p50_ms={settle_p50} \
         settle_worst_ms={settle_worst} datagrams_s={datagrams_s:.1} bytes_s={bytes_s:.0} \
         memory_a_member={memory_bytes} kept={passed}",
        span.as_secs(),
        world.false_deaths.len(),
        longest_false_death.as_micros() / 1_000,
    );
    Ok(passed)
}
