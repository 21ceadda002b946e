//! The proving ground of many mixers: the same core in virtual time, and real processes with faults between them.

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

/// The median, the 99th of 100, and the worst, in milliseconds; zeros of nothing.
pub fn percentiles(spans: &mut [Span]) -> [u64; 3] {
    spans.sort();
    let at = |share: f64| {
        let nth = (spans.len() as f64 * share) as usize;
        spans
            .get(nth.min(spans.len().saturating_sub(1)))
            .map_or(0, |span| span.as_micros() / 1_000)
    };
    [at(0.5), at(0.99), at(1.0)]
}

pub const START: Time = Time::from_micros(1_000_000);
