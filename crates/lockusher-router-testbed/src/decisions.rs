//! Builds a table from the decision trace that proxies log at level `debug`: latency of sends by target, purpose and
//! size.

use std::collections::BTreeMap;
use std::fmt::Write;

use derive_more::{Display, Error};

/// Marker before the fields in a line of the trace.
const TRACE_MARKER: &str = " decision ";

/// Upper bound of the smallest size class in tokens; the bound doubles with each further class.
const SMALLEST_CLASS_TOKENS: u64 = 1_024;

/// One send to a searcher, as logged by a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct TracedSend {
    /// `Prefill`, `Decode` or `Whole`.
    pub purpose: String,
    /// `FirstEvent`, or how it ended without one.
    pub outcome: String,
    /// Tokens expected to be prefilled or transferred.
    pub tokens: u64,
    /// Time between the request's admission and the send, in milliseconds.
    pub waited_ms: u64,
    /// Predicted time from the send to the outcome, in milliseconds.
    pub expected_ms: u64,
    /// Time from the send to the outcome, in milliseconds.
    pub took_ms: u64,
    /// Latency target of the request, in milliseconds.
    pub target_ms: u64,
}

/// A line that has the marker of the trace but can't be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: field {field} is missing or invalid")]
pub struct TraceError {
    pub line: usize,
    pub field: &'static str,
}

impl TracedSend {
    /// Parses one line; `None` if it doesn't belong to the trace.
    pub fn parse(line: &str, number: usize) -> Option<Result<Self, TraceError>> {
        let (_, fields) = line.split_once(TRACE_MARKER)?;
        Some(parse_fields(fields).map_err(|field| TraceError {
            line: number,
            field,
        }))
    }

    fn is_successful(&self) -> bool {
        matches!(self.outcome.as_str(), "FirstEvent" | "Answered")
    }

    /// Whether the request's latency target had passed when this send ended.
    fn is_late(&self) -> bool {
        self.waited_ms + self.took_ms > self.target_ms
    }

    fn size_class(&self) -> u64 {
        let mut class = SMALLEST_CLASS_TOKENS;
        while self.tokens > class {
            class *= 2;
        }
        class
    }
}

fn parse_fields(fields: &str) -> Result<TracedSend, &'static str> {
    let mut words = fields.split_whitespace();
    let purpose = words.next().ok_or("purpose")?.to_owned();
    let outcome = words.next().ok_or("outcome")?.to_owned();
    let values: BTreeMap<&str, &str> = words.filter_map(|word| word.split_once('=')).collect();
    let number = |name: &'static str| -> Result<u64, &'static str> {
        values
            .get(name)
            .and_then(|text| text.parse().ok())
            .ok_or(name)
    };
    Ok(TracedSend {
        purpose,
        outcome,
        tokens: number("tokens")?,
        waited_ms: number("waited_ms")?,
        expected_ms: number("expected_ms")?,
        took_ms: number("took_ms")?,
        target_ms: number("target_ms")?,
    })
}

/// Parses all sends of a log, in order.
pub fn read_trace(log: &str) -> Result<Vec<TracedSend>, TraceError> {
    let lines = log.lines().enumerate();
    lines
        .filter_map(|(index, line)| TracedSend::parse(line, index + 1))
        .collect()
}

/// Formats the table, with a row for each latency target, purpose and size class.
pub fn table(sends: &[TracedSend]) -> String {
    let mut rows: BTreeMap<(u64, &str, u64), Vec<&TracedSend>> = BTreeMap::new();
    for send in sends {
        rows.entry((send.target_ms, &send.purpose, send.size_class()))
            .or_default()
            .push(send);
    }
    let mut text = format!(
        "{:>9} {:8} {:>9} {:>7} {:>6} {:>6} {:>7} {:>7} {:>7} {:>9}\n",
        "target_ms",
        "purpose",
        "tokens<=",
        "sends",
        "good%",
        "late%",
        "p50_ms",
        "p90_ms",
        "p99_ms",
        "expect_ms"
    );
    for ((target, purpose, class), row) in rows {
        let percentage = |predicate: fn(&TracedSend) -> bool| {
            100.0 * row.iter().filter(|send| predicate(send)).count() as f64 / row.len() as f64
        };
        let took_quantile = |p: f64| quantile(row.iter().map(|send| send.took_ms).collect(), p);
        let expected_median = quantile(row.iter().map(|send| send.expected_ms).collect(), 0.5);
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{target:>9} {purpose:8} {class:>9} {:>7} {:>6.1} {:>6.1} {:>7} {:>7} {:>7} {expected_median:>9}",
            row.len(),
            percentage(TracedSend::is_successful),
            percentage(TracedSend::is_late),
            took_quantile(0.5),
            took_quantile(0.9),
            took_quantile(0.99),
        );
    }
    text
}

/// Returns the smallest value that is not exceeded by `fraction` of the values; 0 without values.
fn quantile(mut values: Vec<u64>, fraction: f64) -> u64 {
    values.sort_unstable();
    let rank = (values.len() as f64 * fraction).ceil() as usize;
    values
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}
