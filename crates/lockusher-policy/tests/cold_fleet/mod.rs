//! A fleet whose mixers all learn of a searcher in slow start at the same time, in virtual time: the sum of
//! the parts that they send to it.

use crate::host::{Host, HostConfig, ms};
use lockusher_policy::interface::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const START: Time = Time::from_micros(1_000_000_000);
/// When the searcher restarts; before, the mixers measure the rate of the searchers that are warmed up.
const NEW_START_AFTER: Span = Span::from_millis(8_000);
/// When its former incarnation, under the same id, starts draining.
const DRAINED_AFTER: Span = Span::from_millis(4_000);

/// A fleet and its load. A searcher that is warmed up serves `slots` parts at once, each in 100 ms.
struct FleetScenario {
    mixers: usize,
    slots: f64,
    /// Load as a fraction of the capacity of the searchers that are warmed up.
    load: f64,
    slow_start: SlowStart,
    /// One in this many mixers restarts shortly after the searcher did; 0 for none.
    restart_one_in: usize,
}

impl FleetScenario {
    /// Parts per second that a searcher serves once it is warmed up.
    fn warm_rate(&self) -> f64 {
        self.slots * 10.0
    }

    /// Send times of all parts that all mixers send to the searcher in slow start.
    fn sends(&self, seed: u64) -> Vec<Time> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = START + NEW_START_AFTER;
        // Some mixers receive several times the load of others.
        let loads: Vec<f64> = (0..self.mixers).map(|_| rng.random_range(0.2..1.8)).collect();
        let total: f64 = loads.iter().sum();
        // Queues grow with load; the observed latency includes queueing.
        let latency = Span::from_secs(0.1 / (1.0 - self.load.powf(self.slots)));
        let mut sends = Vec::new();
        for (rank, load) in loads.iter().enumerate() {
            let restarted = self.restart_one_in > 0 && rank % self.restart_one_in == 0;
            let started_at =
                if restarted { start + Span::from_secs(rng.random_range(0.0..3.0)) } else { START };
            let mut mixer = Host::new(HostConfig {
                rank,
                mixers: self.mixers,
                slow_start: self.slow_start,
                started_at,
                seed: seed * 1_000 + rank as u64,
                max_attempts: 1,
                ..HostConfig::default()
            });
            ["a", "b", "c"].iter().for_each(|id| mixer.set_latency(id, latency));
            if restarted {
                mixer.list_start("c", start);
                ["a", "b"].iter().for_each(|id| mixer.list_state(id, SearcherState::Draining));
            }
            let rate = self.load * self.warm_rate() * 2.0 * load / total;
            let (mut now, mut start_listed, mut drained) = (started_at, restarted, restarted);
            loop {
                let next = now + Span::from_secs(-rng.random_range(1e-9f64..1.0).ln() / rate);
                if !drained && next >= START + DRAINED_AFTER {
                    mixer.list_state("c", SearcherState::Draining);
                    drained = true;
                }
                if !start_listed && next >= start {
                    mixer.advance(start.since(now));
                    mixer.list_start("c", start);
                    // The worst case: no other searcher is left, and every mixer receives a request at once.
                    ["a", "b"].iter().for_each(|id| mixer.list_state(id, SearcherState::Draining));
                    mixer.request("at once", &[0]);
                    (now, start_listed) = (start, true);
                    continue;
                }
                if next >= start + self.slow_start.ramp {
                    break;
                }
                mixer.advance(next.since(now));
                now = next;
                mixer.request(&format!("m{}", now.since(START).as_micros()), &[0]);
            }
            sends.extend(mixer.received_at("c").into_iter().filter(|at| *at >= start));
        }
        sends.sort();
        sends
    }

    /// Window with the largest excess over what chance allows: the sends in it, and its limit.
    fn worst(&self, seed: u64) -> (usize, f64) {
        let (sends, start) = (self.sends(seed), START + NEW_START_AFTER);
        let mut worst = (0, f64::MAX);
        for (i, first) in sends.iter().enumerate() {
            let within =
                sends[i..].iter().take_while(|at| at.since(*first) < self.slow_start.overload_window).count();
            let ramp_progress = first.since(start).as_secs() / self.slow_start.ramp.as_secs();
            let capacity = (self.slow_start.initial_capacity
                + (1.0 - self.slow_start.initial_capacity) * ramp_progress)
                .min(1.0);
            let limit = self.slow_start.overload_multiple
                * capacity
                * self.warm_rate()
                * self.slow_start.overload_window.as_secs();
            let max_sends = limit + 2.0 * limit.sqrt() + 2.0;
            if within as f64 - max_sends > worst.0 as f64 - worst.1 {
                worst = (within, max_sends);
            }
        }
        worst
    }
}

/// Guards against overload by the sum of all mixers. All learn of the start at the same time, and mixers that
/// had never sent to the searcher, or only to its former incarnation, had nothing to wait for: each could
/// send its first part at once. Some mixers have just restarted. Over ten seeds, no window holds more than
/// its limit and chance allow.
#[rstest]
fn a_searcher_in_slow_start_is_not_overloaded_by_all_mixers_together(
    #[values(20, 30)] mixers: usize,
    #[values(0.05, 0.5, 0.9)] load: f64,
    #[values((1.0, 2.0, 1_000), (1.0, 4.0, 3_000), (8.0, 2.0, 1_000), (8.0, 4.0, 1_000))] rule: (
        f64,
        f64,
        u64,
    ),
    #[values(0, 4)] restart_one_in: usize,
) {
    let (slots, overload_multiple, window) = rule;
    let slow_start =
        SlowStart { initial_capacity: 0.2, ramp: ms(10_000), overload_multiple, overload_window: ms(window) };
    let scenario = FleetScenario { mixers, slots, load, slow_start, restart_one_in };
    for seed in 1..=10 {
        let (sent, max_sends) = scenario.worst(seed);
        assert!(
            sent as f64 <= max_sends,
            "seed {seed}: {sent} sends in a window that may hold {max_sends:.1}"
        );
    }
}
