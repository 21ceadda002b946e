//! Checks the rules of the rules page against what clients, searchers, platform and operator recorded.
//!
//! The checker is strict: it treats all machines as connected throughout, and a single case is a violation.

mod answers;
mod changes;
mod runs;
mod streams;

use std::collections::{BTreeMap, HashMap};

use derive_more::Display;

use crate::engine::Micros;
use crate::operator::Change;
use crate::record::{Arrival, DrainTimes, Run};
use crate::request::TryRecord;

/// A rule of the rules page.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A client received anything but the response to its own request.
    #[display("MIXED")]
    Mixed,
    /// A request that is not idempotent ran more than once.
    #[display("TWICE")]
    Twice,
    /// A request ran although its response promised that it never runs.
    #[display("REFUSED")]
    Refused,
    /// A searcher received a request that no client sent, or a changed one.
    #[display("UNASKED")]
    Unasked,
    /// A request ran at a service that no configuration allows.
    #[display("ROUTE")]
    Route,
    /// A request reached more searchers than allowed, or a service received more retries than its budget allows.
    #[display("BUDGET")]
    Budget,
    /// A searcher received requests for too long after the list showed it as draining or removed.
    #[display("DRAIN")]
    Drain,
    /// A stream has a missing, duplicated or wrongly joined event.
    #[display("ORDER")]
    Order,
    /// A request ran or got 404 against every version in force, or conflicting changes were acknowledged.
    #[display("CONFIG")]
    Config,
    /// A connection closed without a complete response although no searcher failed.
    #[display("LOST")]
    Lost,
}

/// One violation of a rule.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{rule}: {detail} (request {request_id})")]
pub struct Violation {
    pub rule: Rule,
    pub request_id: String,
    pub detail: String,
}

/// Limits that the rules are checked against; times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RuleBounds {
    /// How long a searcher may still receive requests after the list shows it as draining or removed.
    pub drain: Micros,
    /// How long an acknowledged configuration may take to reach every machine.
    pub configuration: Micros,
    /// Without an arrival, a request counts as received only if its try lasted longer than this.
    pub loss_slack: Micros,
    /// Length of the window over which retries are counted.
    pub budget_window: Micros,
    /// Retries allowed in a window for each request in it.
    pub retry_budget_ratio: f64,
    /// Retries allowed in a window on top of the ratio.
    pub retry_budget_slack: f64,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug)]
pub struct Evidence {
    pub tries: Vec<TryRecord>,
    pub arrivals: Vec<Arrival>,
    pub changes: Vec<Change>,
    pub drained: DrainTimes,
    pub bounds: RuleBounds,
}

/// The violations that the checker found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Number of violations by rule.
    pub fn counts(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.rule).or_insert(0) += 1;
        }
        counts
    }

    /// The violations of all rules except one.
    pub fn without(&self, rule: Rule) -> Vec<&Violation> {
        self.violations
            .iter()
            .filter(|violation| violation.rule != rule)
            .collect()
    }
}

/// Checks all rules against the evidence.
pub fn check(evidence: &Evidence) -> Verdict {
    let index = Index::new(evidence);
    let mut verdict = Verdict::default();
    answers::check(evidence, &index, &mut verdict);
    runs::check(evidence, &index, &mut verdict);
    streams::check(evidence, &index, &mut verdict);
    changes::check(evidence, &index, &mut verdict);
    verdict
}

impl Verdict {
    fn add(&mut self, rule: Rule, request_id: &str, detail: impl Into<String>) {
        self.violations.push(Violation {
            rule,
            request_id: request_id.to_owned(),
            detail: detail.into(),
        });
    }
}

/// Indexes the evidence by request id and by signature.
struct Index<'a> {
    tries: HashMap<&'a str, &'a TryRecord>,
    arrivals: HashMap<&'a str, Vec<&'a Arrival>>,
    runs_by_signature: HashMap<&'a str, (&'a Arrival, &'a Run)>,
}

impl<'a> Index<'a> {
    fn new(evidence: &'a Evidence) -> Index<'a> {
        let tries = evidence
            .tries
            .iter()
            .map(|record| (record.request_id.as_str(), record))
            .collect();
        let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        let mut runs_by_signature = HashMap::new();
        for arrival in &evidence.arrivals {
            arrivals
                .entry(&arrival.request_id)
                .or_default()
                .push(arrival);
            if let Some(run) = arrival.run() {
                runs_by_signature.insert(run.signature.as_str(), (arrival, run));
            }
        }
        Index {
            tries,
            arrivals,
            runs_by_signature,
        }
    }

    fn arrivals_of(&self, request_id: &str) -> &[&'a Arrival] {
        self.arrivals
            .get(request_id)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    fn runs_of(&self, request_id: &str) -> impl Iterator<Item = (&'a Arrival, &'a Run)> {
        self.arrivals_of(request_id)
            .iter()
            .filter_map(|arrival| arrival.run().map(|run| (*arrival, run)))
    }
}
