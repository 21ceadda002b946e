//! The recovery rule: if at least a quarter of the requests was served before the final outage, at least a quarter of
//! those sent after the recovery bound has passed must be served.

use std::fmt;
use std::time::Duration;

use crate::engine::Micros;
use crate::request::RequestRecord;

/// The service counts as available if at least this share of the requests is served.
const AVAILABILITY_RATIO: f64 = 0.25;

/// The number of requests in a time span, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Served requests.
    pub served: usize,
    /// All requests.
    pub requests: usize,
}

impl Served {
    /// Counts the requests whose due time satisfies `in_span_at`.
    pub fn of(records: &[RequestRecord], in_span_at: impl Fn(Micros) -> bool) -> Served {
        let in_span = records.iter().filter(|record| in_span_at(record.due));
        in_span.fold(Served::default(), |sum, record| Served {
            served: sum.served + usize::from(record.is_served()),
            requests: sum.requests + 1,
        })
    }

    /// Whether at least a quarter of the requests was served; `false` without requests.
    pub fn is_available(self) -> bool {
        self.requests > 0 && self.served as f64 >= self.requests as f64 * AVAILABILITY_RATIO
    }
}

impl fmt::Display for Served {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.served, self.requests)
    }
}

/// Service before and after the final outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Requests due before the outage.
    pub before: Served,
    /// Requests due after the recovery bound has passed.
    pub after: Served,
    /// Time from the restart of the machines to the first one-second window in which the service was available; `None` if
    /// there is no such window.
    pub time_to_recovery: Option<Duration>,
}

/// Times of the final outage on the clock of the requests.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryTimes {
    /// Start of the outage.
    pub outage_at: Micros,
    /// End of the outage, when the machines restart.
    pub restored_at: Micros,
    /// Time allowed for recovery, from the end of the outage.
    pub bound: Duration,
}

impl Recovery {
    /// Evaluates the requests around the final outage.
    pub fn of(records: &[RequestRecord], times: RecoveryTimes) -> Recovery {
        let recovery_deadline = times.restored_at + times.bound.as_micros() as Micros;
        Recovery {
            before: Served::of(records, |due| due < times.outage_at),
            after: Served::of(records, |due| due > recovery_deadline),
            time_to_recovery: time_to_recovery(records, times.restored_at),
        }
    }

    /// Whether the recovery rule is violated.
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
                ", recovered {:.1} s after the restart",
                span.as_secs_f64()
            ),
            None => write!(formatter, ", not recovered"),
        }
    }
}

/// Time from `restored_at` to the first one-second window in which the service is available.
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
