//! The rule on recovery, by its own terms: if a quarter or more of the requests was served before the closing fault, then of
//! those that were sent later than the bound after the return a quarter at least is served.

use std::fmt;
use std::time::Duration;

use crate::engine::Micros;
use crate::request::RequestRecord;

/// The share of requests that counts as service.
const SERVICE_RATIO: f64 = 0.25;

/// Requests of a span, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub served: usize,
    pub requests: usize,
}

impl Served {
    /// Those of the requests that are due at the times that `is_in` admits.
    pub fn of(records: &[RequestRecord], is_in: impl Fn(Micros) -> bool) -> Served {
        let of_span = records.iter().filter(|record| is_in(record.due));
        of_span.fold(Served::default(), |sum, record| Served {
            served: sum.served + usize::from(record.is_served()),
            requests: sum.requests + 1,
        })
    }

    /// Whether a quarter or more was served.
    pub fn is_service(self) -> bool {
        self.requests > 0 && self.served as f64 >= self.requests as f64 * SERVICE_RATIO
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
    pub back_after: Option<Duration>,
}

/// Times of the closing fault on the clock of the requests.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryTimes {
    /// When the fault came.
    pub fault_at: Micros,
    /// When all machines had returned.
    pub returned_at: Micros,
    /// The bound, from the return.
    pub bound: Duration,
}

impl Recovery {
    /// What became of service around the closing fault.
    pub fn of(records: &[RequestRecord], times: RecoveryTimes) -> Recovery {
        let counted_from = times.returned_at + times.bound.as_micros() as Micros;
        Recovery {
            before: Served::of(records, |due| due < times.fault_at),
            after: Served::of(records, |due| due > counted_from),
            back_after: back_after(records, times.returned_at),
        }
    }

    /// Whether the rule is broken.
    pub fn is_broken(&self) -> bool {
        self.before.is_service() && self.after.requests > 0 && !self.after.is_service()
    }
}

impl fmt::Display for Recovery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Recovery { before, after, .. } = self;
        write!(formatter, "served before {before}, after {after}")?;
        match self.back_after {
            Some(span) => write!(
                formatter,
                ", back {:.1} s after the return",
                span.as_secs_f64()
            ),
            None => write!(formatter, ", never back"),
        }
    }
}

fn back_after(records: &[RequestRecord], returned_at: Micros) -> Option<Duration> {
    const SECOND: Micros = 1_000_000;
    let mut due: Vec<Micros> = records.iter().map(|record| record.due).collect();
    due.sort_unstable();
    let from = due.into_iter().filter(|due| *due >= returned_at);
    from.into_iter()
        .find(|from| Served::of(records, |due| due >= *from && due < from + SECOND).is_service())
        .map(|from| Duration::from_micros(from - returned_at))
}
