//! Makes a table of the decision trace that proxies log at the level `debug`: where sends wait, by purpose and size.

use std::collections::BTreeMap;
use std::fmt::Write;

use derive_more::{Display, Error};

/// What a line of the trace contains before its fields.
const MARK: &str = " decision ";

/// Prompts of up to so many tokens make the first class; each further class is twice as wide.
const FIRST_CLASS_TOKENS: u64 = 1_024;

/// One send, as a proxy logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct TracedSend {
    /// `Prefill`, `Decode` or `Whole`.
    pub purpose: String,
    /// Its first event, or how it ended without one.
    pub outcome: String,
    /// Tokens expected to be read or moved.
    pub tokens: u64,
    /// Time between the request's admission and the send, in milliseconds.
    pub waited_ms: u64,
    pub expected_ms: u64,
    pub took_ms: u64,
    pub target_ms: u64,
}

/// A line that has the mark of the trace but can't be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {field} is missing or no number")]
pub struct TraceError {
    pub line: usize,
    pub field: &'static str,
}

impl TracedSend {
    /// Reads one line; nothing if it isn't of the trace.
    pub fn parse(line: &str, number: usize) -> Option<Result<Self, TraceError>> {
        let (_, fields) = line.split_once(MARK)?;
        Some(parse_fields(fields).map_err(|field| TraceError {
            line: number,
            field,
        }))
    }

    fn is_good(&self) -> bool {
        matches!(self.outcome.as_str(), "FirstEvent" | "Answered")
    }

    /// Whether the request's time to its first event was over with this send.
    fn is_late(&self) -> bool {
        self.waited_ms + self.took_ms > self.target_ms
    }

    fn size_class(&self) -> u64 {
        let mut class = FIRST_CLASS_TOKENS;
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

/// All sends of a log, in its order.
pub fn read_trace(log: &str) -> Result<Vec<TracedSend>, TraceError> {
    let lines = log.lines().enumerate();
    lines
        .filter_map(|(index, line)| TracedSend::parse(line, index + 1))
        .collect()
}

/// The table: a row for each target latency, purpose and size class.
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
    for ((target, purpose, class), of_row) in rows {
        let share = |is: fn(&TracedSend) -> bool| {
            100.0 * of_row.iter().filter(|send| is(send)).count() as f64 / of_row.len() as f64
        };
        let took = |part: f64| quantile(of_row.iter().map(|send| send.took_ms).collect(), part);
        let expected = quantile(of_row.iter().map(|send| send.expected_ms).collect(), 0.5);
        // Writing to a string doesn't fail.
        let _ = writeln!(
            text,
            "{target:>9} {purpose:8} {class:>9} {:>7} {:>6.1} {:>6.1} {:>7} {:>7} {:>7} {expected:>9}",
            of_row.len(),
            share(TracedSend::is_good),
            share(TracedSend::is_late),
            took(0.5),
            took(0.9),
            took(0.99),
        );
    }
    text
}

/// The smallest value that this part of all values doesn't exceed; 0 of none.
fn quantile(mut values: Vec<u64>, part: f64) -> u64 {
    values.sort_unstable();
    let rank = (values.len() as f64 * part).ceil() as usize;
    values
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}
