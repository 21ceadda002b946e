//! Why requests aren't served: a count by reason and service, logged once a second while there is something to log.
//!
//! Owned by the state that the tasks of a proxy share; `forward` records each answer that the proxy gives in
//! place of a searcher's. No I/O and no clock.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use derive_more::Display;

/// Time between two lines, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Why the proxy answers a request itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnservedReason {
    /// This proxy has no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// Admission control rejected it: too many wait, or its time was over.
    #[display("not-admitted")]
    NotAdmitted,
    /// No searcher of the stage that it needs may take it.
    #[display("no-searcher")]
    NoSearcher,
    /// This proxy may open no further connection to the searchers.
    #[display("connection-limit")]
    ConnectionLimit,
    /// No connection to a searcher came up.
    #[display("unreachable")]
    Unreachable,
    /// Searchers rejected it: they are full, or warming up.
    #[display("rejected-by-searchers")]
    Rejected,
    /// Searchers said that they are others than listed, or of another stage.
    #[display("misdirected")]
    Misdirected,
    /// A connection broke after the request was sent, or the answer can't be used.
    #[display("broken")]
    Broken,
    /// Time ran out at a searcher.
    #[display("timed-out")]
    TimedOut,
}

/// The searchers of one service, as this proxy knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearcherCounts {
    /// Listed, whatever their state.
    pub listed: usize,
    /// Ready, without a stage.
    pub plain: usize,
    /// Ready to prefill.
    pub prefill: usize,
    /// Ready to decode.
    pub decode: usize,
    /// Of the ready ones, those that are in slow start.
    pub warming_up: usize,
    /// Of the ready ones, those whose last sends failed.
    pub failing: usize,
}

impl fmt::Display for SearcherCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} listed; ready: {} plain, {} prefill, {} decode; {} warming up, {} failing",
            self.listed, self.plain, self.prefill, self.decode, self.warming_up, self.failing
        )
    }
}

/// Counts since the last line.
#[derive(Debug, Default)]
pub struct UnservedSummary {
    counts: BTreeMap<(String, UnservedReason), u64>,
    /// When the first count was recorded, in milliseconds.
    since_ms: Option<u64>,
}

impl UnservedSummary {
    /// Records a request that the proxy answered itself; `service` is empty if its route isn't known.
    pub fn record(&mut self, now_ms: u64, service: &str, reason: UnservedReason) {
        self.since_ms.get_or_insert(now_ms);
        *self.counts.entry((service.to_owned(), reason)).or_default() += 1;
    }

    /// One line for each service, if they are due; `counts_of` says what searchers a service has.
    pub fn take_lines(
        &mut self,
        now_ms: u64,
        counts_of: impl Fn(&str) -> Option<SearcherCounts>,
    ) -> Vec<String> {
        let is_due = |since_ms| now_ms >= since_ms + SUMMARY_INTERVAL_MS;
        let Some(since_ms) = self.since_ms.take_if(|since_ms| is_due(*since_ms)) else {
            return Vec::new();
        };
        let span_ms = now_ms - since_ms;
        let mut by_service: BTreeMap<String, Vec<(UnservedReason, u64)>> = BTreeMap::new();
        for ((service, reason), count) in std::mem::take(&mut self.counts) {
            by_service.entry(service).or_default().push((reason, count));
        }
        let line = |(service, reasons): (String, Vec<(UnservedReason, u64)>)| {
            describe(span_ms, &service, &reasons, counts_of(&service))
        };
        by_service.into_iter().map(line).collect()
    }
}

fn describe(
    span_ms: u64,
    service: &str,
    reasons: &[(UnservedReason, u64)],
    searchers: Option<SearcherCounts>,
) -> String {
    let mut line = format!("unserved in {span_ms} ms:");
    for (reason, count) in reasons {
        // Writing to a string doesn't fail.
        let _ = write!(line, " {reason}={count}");
    }
    if !service.is_empty() {
        let _ = write!(line, " of service {service}");
    }
    if let Some(searchers) = searchers {
        let _ = write!(line, " ({searchers})");
    }
    line
}
