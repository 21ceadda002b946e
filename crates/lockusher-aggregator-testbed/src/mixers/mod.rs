//! The test bed for fleets of mixers: membership cores in virtual time, and real processes with faults injected between
//! them.

pub mod budget_usage;
pub mod clients;
pub mod harness;
pub mod rules;
pub mod run;
pub mod shared;
pub mod shared_sim;
pub mod simulate;
pub mod switch;
pub mod virtual_time;
pub mod worker;

use lockusher_policy::interface::{Span, Time};

/// The median, the 99th percentile and the maximum, in milliseconds; zeros if there are no values.
pub fn percentiles(durations: &mut [Span]) -> [u64; 3] {
    durations.sort();
    let at = |quantile: f64| {
        let index = (durations.len() as f64 * quantile) as usize;
        durations
            .get(index.min(durations.len().saturating_sub(1)))
            .map_or(0, |duration| duration.as_micros() / 1_000)
    };
    [at(0.5), at(0.99), at(1.0)]
}

/// The virtual time at which simulations start.
pub const START: Time = Time::from_micros(1_000_000);
