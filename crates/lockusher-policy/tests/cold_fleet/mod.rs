//! A fleet told at one instant of a searcher that starts cold, in virtual time: what all its mixers send together.

use crate::host::{Host, Site, ms};
use lockusher_policy::interface::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const START: Time = Time::from_micros(1_000_000_000);
/// Mixers learn what the warm searchers return, then hear of the cold one.
const WARMS_UP: Span = Span::from_millis(8_000);
/// Before that it was up under the same name, and drained.
const DRAINS: Span = Span::from_millis(4_000);

/// What a day is like. A searcher that is warm does `slots` parts at once, each in 100 ms.
struct Day {
    mixers: usize,
    slots: f64,
    /// Of what the warm ones can do, how much they get.
    load: f64,
    cold: ColdRule,
    /// One in so many mixers starts anew, a while after the searcher did.
    restarts: usize,
}

impl Day {
    /// Parts a second that a warm searcher does.
    fn warm(&self) -> f64 {
        self.slots * 10.0
    }

    /// When each mixer sent parts to the cold searcher, all mixers together.
    fn sends(&self, seed: u64) -> Vec<Time> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let told = START + WARMS_UP;
        // Some mixers get several times what others do.
        let shares: Vec<f64> = (0..self.mixers).map(|_| rng.random_range(0.2..1.8)).collect();
        let whole: f64 = shares.iter().sum();
        // Queues grow with load; what is seen of a searcher includes them.
        let takes = Span::from_secs(0.1 / (1.0 - self.load.powf(self.slots)));
        let mut sends = Vec::new();
        for (rank, share) in shares.iter().enumerate() {
            let anew = self.restarts > 0 && rank % self.restarts == 0;
            let starts = if anew { told + Span::from_secs(rng.random_range(0.0..3.0)) } else { START };
            let mut mixer = Host::new(Site {
                rank,
                mixers: self.mixers,
                cold: self.cold,
                starts,
                seed: seed * 1_000 + rank as u64,
                most_sends: 1,
                ..Site::default()
            });
            ["a", "b", "c"].iter().for_each(|id| mixer.speed(id, takes));
            if anew {
                mixer.started("c", told);
                ["a", "b"].iter().for_each(|id| mixer.listed(id, SearcherState::Draining));
            }
            let rate = self.load * self.warm() * 2.0 * share / whole;
            let (mut now, mut heard, mut drained) = (starts, anew, anew);
            loop {
                let next = now + Span::from_secs(-rng.random_range(1e-9f64..1.0).ln() / rate);
                if !drained && next >= START + DRAINS {
                    mixer.listed("c", SearcherState::Draining);
                    drained = true;
                }
                if !heard && next >= told {
                    mixer.pass(told.since(now));
                    mixer.started("c", told);
                    // Nowhere else to go, and each asks at once: the push is as strong as it gets.
                    ["a", "b"].iter().for_each(|id| mixer.listed(id, SearcherState::Draining));
                    mixer.ask("at once", &[0]);
                    (now, heard) = (told, true);
                    continue;
                }
                if next >= told + self.cold.ramp {
                    break;
                }
                mixer.pass(next.since(now));
                now = next;
                mixer.ask(&format!("m{}", now.since(START).as_micros()), &[0]);
            }
            sends.extend(mixer.times("c").into_iter().filter(|at| *at >= told));
        }
        sends.sort();
        sends
    }

    /// The window that comes nearest to what is put down to chance: sends in it and what it may hold.
    fn worst(&self, seed: u64) -> (usize, f64) {
        let (sends, told) = (self.sends(seed), START + WARMS_UP);
        let mut worst = (0, f64::MAX);
        for (i, first) in sends.iter().enumerate() {
            let within = sends[i..].iter().take_while(|at| at.since(*first) < self.cold.tip_after).count();
            let warmth = first.since(told).as_secs() / self.cold.ramp.as_secs();
            let capacity = (self.cold.starts_at + (1.0 - self.cold.starts_at) * warmth).min(1.0);
            let budget = self.cold.fall_multiple * capacity * self.warm() * self.cold.tip_after.as_secs();
            let most = budget + 2.0 * budget.sqrt() + 2.0;
            if within as f64 - most > worst.0 as f64 - worst.1 {
                worst = (within, most);
            }
        }
        worst
    }
}

/// All mixers are told at once, and those that had sent it nothing once had nothing to wait for: each could send its
/// first part at once, as could those that had sent its former life something long ago. Some have just restarted. Over ten seeds no window holds more than its budget and chance allow.
#[rstest]
fn a_cold_searcher_is_not_pushed_over_by_the_sum(
    #[values(20, 30)] mixers: usize,
    #[values(0.05, 0.5, 0.9)] load: f64,
    #[values((1.0, 2.0, 1_000), (1.0, 4.0, 3_000), (8.0, 2.0, 1_000), (8.0, 4.0, 1_000))] rule: (
        f64,
        f64,
        u64,
    ),
    #[values(0, 4)] restarts: usize,
) {
    let (slots, fall_multiple, window) = rule;
    let cold = ColdRule { starts_at: 0.2, ramp: ms(10_000), fall_multiple, tip_after: ms(window) };
    let day = Day { mixers, slots, load, cold, restarts };
    for seed in 1..=10 {
        let (sent, most) = day.worst(seed);
        assert!(sent as f64 <= most, "seed {seed}: {sent} sends in a window that may hold {most:.1}");
    }
}
