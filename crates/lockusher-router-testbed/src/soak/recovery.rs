//! The rule on recovery, by its own terms: if a quarter or more of the requests was served before the closing fault, then of
//! those that were sent later than the bound after the return a quarter at least is served.

use std::fmt;
use std::time::Duration;

use crate::engine::Micros;
use crate::request::RequestRecord;

/// The share of requests that counts as service.
const AVAILABILITY_RATIO: f64 = 0.25;

/// Requests of a span, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub served: usize,
    pub requests: usize,
}

impl Served {
    /// Those of the requests that are due at the times that `in_span_at` admits.
    pub fn of(records: &[RequestRecord], in_span_at: impl Fn(Micros) -> bool) -> Served {
        let in_span = records.iter().filter(|record| in_span_at(record.due));
        in_span.fold(Served::default(), |sum, record| Served {
            served: sum.served + usize::from(record.is_served()),
            requests: sum.requests + 1,
        })
    }

    /// Whether a quarter or more was served.
    pub fn is_available(self) -> bool {
        self.requests > 0 && self.served as f64 >= self.requests as f64 * AVAILABILITY_RATIO
    }
}

impl fmt::Display for Served {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.served, self.requests)
    }
}

/// What was served around the closing fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Of the requests before the fault.
    pub before: Served,
    /// Of those later than the bound after the return.
    pub after: Served,
    /// From the return to the first request from which on a second's requests were served by a quarter at least; none if
    /// that never came.
    pub time_to_recovery: Option<Duration>,
}

/// Times of the closing fault on the clock of the requests.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryTimes {
    /// When the fault came.
    pub outage_at: Micros,
    /// When all machines had returned.
    pub restored_at: Micros,
    /// The bound, from the return.
    pub bound: Duration,
}

impl Recovery {
    /// What became of service around the closing fault.
    pub fn of(records: &[RequestRecord], times: RecoveryTimes) -> Recovery {
        let recovery_deadline = times.restored_at + times.bound.as_micros() as Micros;
        Recovery {
            before: Served::of(records, |due| due < times.outage_at),
            after: Served::of(records, |due| due > recovery_deadline),
            time_to_recovery: time_to_recovery(records, times.restored_at),
        }
    }

    /// Whether the rule is broken.
    pub fn is_violated(&self) -> bool {
        self.before.is_available() && self.after.requests > 0 && !self.after.is_available()
    }
}

impl fmt::Display for Recovery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Recovery { before, after, .. } = self;
        write!(formatter, "served before {before}, after {after}")?;
        match self.time_to_recovery {
            Some(span) => write!(
                formatter,
                ", back {:.1} s after the return",
                span.as_secs_f64()
            ),
            None => write!(formatter, ", never back"),
        }
    }
}

fn time_to_recovery(records: &[RequestRecord], restored_at: Micros) -> Option<Duration> {
    const SECOND: Micros = 1_000_000;
    let mut due: Vec<Micros> = records.iter().map(|record| record.due).collect();
    due.sort_unstable();
    let starts = due.into_iter().filter(|due| *due >= restored_at);
    starts
        .into_iter()
        .find(|at| Served::of(records, |due| due >= *at && due < at + SECOND).is_available())
        .map(|start| Duration::from_micros(start - restored_at))
}
