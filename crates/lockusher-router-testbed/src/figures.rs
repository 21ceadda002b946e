//! Figures of a load: shares and latencies by kind of request.
//!
//! Latency counts from when a request was due, not from when it was sent: a stall of the system or of the load
//! generator can't hide the requests that it held back (coordinated omission).

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use crate::engine::Micros;
use crate::request::RequestRecord;

/// Digits to which latencies are kept.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest latency that is told apart; longer ones count as this.
const MAX_LATENCY_US: Micros = 600_000_000;
const MICROS_PER_MS: f64 = 1000.0;

/// Latencies in microseconds.
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
    /// Adds one.
    pub fn add(&mut self, latency: Micros) {
        self.histogram.saturating_record(latency.max(1));
    }

    /// The latency in milliseconds that a share of the requests kept to.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS
    }

    /// The longest, in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.histogram.max() as f64 / MICROS_PER_MS
    }
}

/// Figures of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct KindFigures {
    pub requests: u64,
    pub served: u64,
    /// Served within the objective.
    pub within_target: u64,
    /// Ended with a promise that they haven't run.
    pub refused: u64,
    pub tries: u64,
    /// From the time when due, of those served.
    pub latencies: Latencies,
}

impl KindFigures {
    fn add(&mut self, record: &RequestRecord) {
        self.requests += 1;
        self.tries += record.tries.len() as u64;
        if let Some(latency) = record.latency() {
            self.served += 1;
            self.within_target += u64::from(u128::from(latency) <= record.spec.aim.as_micros());
            self.latencies.add(latency);
        } else if record
            .tries
            .last()
            .is_some_and(super::request::TryRecord::is_promise)
        {
            self.refused += 1;
        }
    }

    /// Neither served nor refused.
    pub fn failed(&self) -> u64 {
        self.requests - self.served - self.refused
    }
}

/// Figures of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub kinds: BTreeMap<String, KindFigures>,
}

impl Figures {
    /// The figures of some requests.
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

    /// All kinds together.
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
                .expect("histograms of one kind");
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
