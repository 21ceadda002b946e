//! The rule LOST for one request, with its exceptions: a request that a process has read is answered completely.

use std::time::Duration;

use crate::engine::Micros;
use crate::fleet::FleetBounds;
use crate::record::{Arrival, ArrivalOutcome};
use crate::request::{FailureCause, TryOutcome, TryRecord};

/// A request that was sent later than this after SIGTERM isn't excused by a searcher that is still at work on it.
const EARLY: Duration = Duration::from_secs(3);
/// A searcher that is at work in the last part of the grace period excuses the cut: one in this many parts.
const LAST_PART: u32 = 6;
/// The rule holds for this long after the grace period.
const AFTER_GRACE: Duration = Duration::from_secs(1);

/// Clients announce the time that is left in whole milliseconds, rounded down, a moment after they have begun.
const DEADLINE_PRECISION: Duration = Duration::from_millis(2);

/// Times that the rule refers to.
#[derive(Clone, Copy, Debug)]
pub struct LostBounds {
    /// The platform kills a process this long after SIGTERM.
    pub grace: Duration,
    /// A request that wasn't forwarded counts as read if its connection ends later than this after its last byte.
    pub loss_slack: Duration,
}

impl LostBounds {
    /// The bounds of a fleet.
    pub fn new(bounds: &FleetBounds) -> LostBounds {
        LostBounds {
            grace: Duration::from_secs(bounds.grace_s),
            loss_slack: Duration::from_millis(bounds.loss_slack_ms),
        }
    }
}

/// A request that has ended, with what became of it.
#[derive(Clone, Copy, Debug)]
pub struct SettledRequest<'a> {
    /// What the client saw.
    pub record: &'a TryRecord,
    /// Its arrivals at searchers.
    pub arrivals: &'a [Arrival],
    /// When its proxy was sent SIGTERM.
    pub stops: &'a [Micros],
}

/// How the request breaks the rule; `None` if it doesn't.
pub fn check(request: &SettledRequest<'_>, bounds: LostBounds) -> Option<String> {
    let SettledRequest {
        record, arrivals, ..
    } = *request;
    let was_closed = matches!(
        record.outcome,
        TryOutcome::Failed {
            cause: FailureCause::Closed,
            ..
        }
    );
    let written = record.written.filter(|_| was_closed)?;
    let waited = between(written, record.ended);
    let was_read = !arrivals.is_empty() || waited > bounds.loss_slack;
    let is_excused = arrivals.iter().any(searcher_broke_off)
        || between(record.sent, record.ended) + DEADLINE_PRECISION >= record.spec.deadline
        || request
            .stops
            .iter()
            .any(|stop| ran_to_the_end(request, written, *stop, bounds));
    if !was_read || is_excused {
        return None;
    }
    let since_stop = request
        .stops
        .iter()
        .filter(|stop| **stop <= record.ended)
        .max()
        .map(|stop| between(*stop, written).as_secs_f64());
    let since_stop = since_stop.map_or("no SIGTERM before".to_owned(), |seconds| {
        format!("sent {seconds:.3} s after SIGTERM")
    });
    Some(format!(
        "{} closed the connection {:.3} s after the whole request (deadline {:.3} s) without a complete response; {since_stop}, {} arrivals at searchers",
        record.front,
        waited.as_secs_f64(),
        record.spec.deadline.as_secs_f64(),
        arrivals.len()
    ))
}

fn between(from: Micros, to: Micros) -> Duration {
    Duration::from_micros(to.saturating_sub(from))
}

fn searcher_broke_off(arrival: &Arrival) -> bool {
    match &arrival.outcome {
        ArrivalOutcome::Failed => true,
        ArrivalOutcome::Ran(run) => run.faulty,
        _ => false,
    }
}

/// Whether an early request was cut in the last part of the grace period with a searcher at work on it.
fn ran_to_the_end(
    request: &SettledRequest<'_>,
    written: Micros,
    stop: Micros,
    bounds: LostBounds,
) -> bool {
    let is_early = between(stop, written) <= EARLY;
    let cut = between(stop, request.record.ended);
    let last_part = bounds.grace - bounds.grace / LAST_PART..=bounds.grace + AFTER_GRACE;
    let at_work = |arrival: &Arrival| arrival.run().is_some_and(|run| !run.complete);
    is_early && last_part.contains(&cut) && request.arrivals.iter().any(at_work)
}
