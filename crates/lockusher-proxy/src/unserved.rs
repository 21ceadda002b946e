//! Counts the requests that no searcher served, by reason and service, for a summary in the log at most once a second.
//!
//! Part of `ProxyState`; `forward` records each response of the proxy itself that replaces a searcher's. No I/O and no
//! clock.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use derive_more::Display;

/// Time covered by one summary.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Why the proxy answers a request itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnservedReason {
    /// This proxy has no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// Admission control refused the request: too many requests wait, or its deadline has passed.
    #[display("not-admitted")]
    NotAdmitted,
    /// This proxy is shutting down and would end before the response.
    #[display("shutting-down")]
    ShuttingDown,
    /// No searcher of the stage that the request needs is available.
    #[display("no-searcher")]
    NoSearcher,
    /// This proxy has reached its limit of connections to the searchers.
    #[display("connection-limit")]
    ConnectionLimit,
    /// No connection to a searcher could be established.
    #[display("unreachable")]
    Unreachable,
    /// Searchers rejected the request because they are full or warming up.
    #[display("rejected-by-searchers")]
    Rejected,
    /// Searchers reported that the address belongs to another searcher or stage.
    #[display("misdirected")]
    Misdirected,
    /// A connection broke after the request was sent, or the response was invalid.
    #[display("broken")]
    Broken,
    /// The deadline passed while a searcher was processing the request.
    #[display("timed-out")]
    TimedOut,
}

/// The searchers of one service, as this proxy knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearcherCounts {
    /// All listed searchers, ready or not.
    pub listed: usize,
    /// Ready searchers without a stage.
    pub plain: usize,
    /// Ready prefill searchers.
    pub prefill: usize,
    /// Ready decode searchers.
    pub decode: usize,
    /// Ready searchers in slow start.
    pub warming_up: usize,
    /// Ready searchers whose last sends failed.
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

/// The counts since the last summary.
#[derive(Debug, Default)]
pub struct UnservedSummary {
    counts: BTreeMap<(String, UnservedReason), u64>,
    /// When the first request since the last summary was recorded, in milliseconds.
    since_ms: Option<u64>,
}

impl UnservedSummary {
    /// Records a request that no searcher served; `service` is empty if it isn't known.
    pub fn record(&mut self, now_ms: u64, service: &str, reason: UnservedReason) {
        self.since_ms.get_or_insert(now_ms);
        *self.counts.entry((service.to_owned(), reason)).or_default() += 1;
    }

    /// Returns one line for each service if a summary is due; `counts_of` returns the searchers of a service.
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

/// The log line for one service.
fn describe(
    span_ms: u64,
    service: &str,
    reasons: &[(UnservedReason, u64)],
    searchers: Option<SearcherCounts>,
) -> String {
    let mut line = format!("unserved in {span_ms} ms:");
    for (reason, count) in reasons {
        // Writing to a string can't fail.
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
