//! The checker: which rules of the rules page were broken, from what clients, searchers, platform and operator
//! saw. It is strict: machines count as in touch throughout, and a single case counts.

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
    #[display("MIXED")]
    Mixed,
    #[display("TWICE")]
    Twice,
    #[display("REFUSED")]
    Refused,
    #[display("UNASKED")]
    Unasked,
    #[display("ROUTE")]
    Route,
    #[display("BUDGET")]
    Budget,
    #[display("DRAIN")]
    Drain,
    #[display("ORDER")]
    Order,
    #[display("CONFIG")]
    Config,
    #[display("LOST")]
    Lost,
}

/// One case of a broken rule.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{rule}: {detail} (request {request_id})")]
pub struct Violation {
    pub rule: Rule,
    pub request_id: String,
    pub detail: String,
}

/// The figures of the rules, in microseconds where they are times.
#[derive(Clone, Copy, Debug)]
pub struct RuleBounds {
    pub drain: Micros,
    pub configuration: Micros,
    pub loss_slack: Micros,
    pub budget_window: Micros,
    pub retry_budget_ratio: f64,
    pub retry_budget_slack: f64,
}

/// Everything that was seen.
#[derive(Clone, Debug)]
pub struct Evidence {
    pub tries: Vec<TryRecord>,
    pub arrivals: Vec<Arrival>,
    pub changes: Vec<Change>,
    pub drained: DrainTimes,
    pub bounds: RuleBounds,
}

/// What the checker found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Cases by rule.
    pub fn counts(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.rule).or_insert(0) += 1;
        }
        counts
    }

    /// The violations but for those of one rule.
    pub fn without(&self, rule: Rule) -> Vec<&Violation> {
        self.violations
            .iter()
            .filter(|violation| violation.rule != rule)
            .collect()
    }
}

/// Checks all rules.
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

/// The evidence by request id and by signature.
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
            .map(|one| (one.request_id.as_str(), one))
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
