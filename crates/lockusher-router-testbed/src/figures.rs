//! Counts and latencies of a load by kind of request.
//!
//! Latency is measured from when a request was due, not from when it was sent, to avoid coordinated omission: a stall
//! of the system or of the load generator can't hide the requests that it delayed.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use crate::engine::Micros;
use crate::request::RequestRecord;

/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest recorded latency; longer ones are clamped to it.
const MAX_LATENCY_US: Micros = 600_000_000;
const MICROS_PER_MS: f64 = 1000.0;

/// A histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("valid bounds"),
        }
    }
}

impl Latencies {
    /// Records a latency.
    pub fn add(&mut self, latency: Micros) {
        self.histogram.saturating_record(latency.max(1));
    }

    /// The latency quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS
    }

    /// The maximum latency in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.histogram.max() as f64 / MICROS_PER_MS
    }
}

/// Figures of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct KindFigures {
    /// All requests.
    pub requests: u64,
    /// Served requests.
    pub served: u64,
    /// Served within the latency target.
    pub within_target: u64,
    /// Ended with a response that guarantees that the request was not executed.
    pub refused: u64,
    /// Tries of all requests.
    pub tries: u64,
    /// Latencies of served requests, from their due time.
    pub latencies: Latencies,
}

impl KindFigures {
    fn add(&mut self, record: &RequestRecord) {
        self.requests += 1;
        self.tries += record.tries.len() as u64;
        if let Some(latency) = record.latency() {
            self.served += 1;
            self.within_target +=
                u64::from(u128::from(latency) <= record.spec.latency_target.as_micros());
            self.latencies.add(latency);
        } else if record
            .tries
            .last()
            .is_some_and(super::request::TryRecord::promises_not_executed)
        {
            self.refused += 1;
        }
    }

    /// Number of requests that were neither served nor refused.
    pub fn failed(&self) -> u64 {
        self.requests - self.served - self.refused
    }
}

/// Figures of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Figures by kind of request.
    pub kinds: BTreeMap<String, KindFigures>,
}

impl Figures {
    /// Computes the figures of these requests.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a RequestRecord>) -> Figures {
        let mut figures = Figures::default();
        for record in records {
            figures
                .kinds
                .entry(record.spec.kind.clone())
                .or_default()
                .add(record);
        }
        figures
    }

    /// The figures of all kinds together.
    pub fn total(&self) -> KindFigures {
        let mut total = KindFigures::default();
        for kind in self.kinds.values() {
            total.requests += kind.requests;
            total.served += kind.served;
            total.within_target += kind.within_target;
            total.refused += kind.refused;
            total.tries += kind.tries;
            total
                .latencies
                .histogram
                .add(&kind.latencies.histogram)
                .expect("same histogram bounds");
        }
        total
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let titles = [
            "kind", "requests", "served", "in time", "refused", "failed", "p50 ms", "p99 ms",
            "max ms",
        ];
        writeln!(
            f,
            "{:<12}{}",
            titles[0],
            titles[1..]
                .iter()
                .map(|title| format!("{title:>10}"))
                .collect::<String>()
        )?;
        for (name, kind) in &self.kinds {
            write_row(f, name, kind)?;
        }
        write_row(f, "all", &self.total())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, kind: &KindFigures) -> fmt::Result {
    let counts = [
        kind.requests,
        kind.served,
        kind.within_target,
        kind.refused,
        kind.failed(),
    ];
    let latencies = [
        kind.latencies.quantile_ms(0.5),
        kind.latencies.quantile_ms(0.99),
        kind.latencies.max_ms(),
    ];
    let counts = counts.map(|count| format!("{count:>10}")).concat();
    let latencies = latencies.map(|latency| format!("{latency:>10.1}")).concat();
    writeln!(f, "{name:<12}{counts}{latencies}")
}
