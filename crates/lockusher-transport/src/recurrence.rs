//! How often a condition that lasts is logged: when it begins, then once in each interval, and when it is over.
//!
//! Owned by whoever observes the condition. It decides only; callers pass the time and write the line.

/// A condition that was observed, such as a failure that recurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recurrence {
    /// For how long it has lasted, in milliseconds.
    pub for_ms: u64,
    /// How many times it was observed.
    pub count: u64,
}

/// The present run of observations of one condition.
#[derive(Clone, Copy, Debug)]
struct Run {
    since_ms: u64,
    reported_at_ms: Option<u64>,
    count: u64,
}

/// Observations of one condition.
#[derive(Clone, Copy, Debug)]
pub struct RecurrenceLog {
    /// How long a condition must have lasted before it is reported, in milliseconds.
    delay_ms: u64,
    /// Time between two reports, in milliseconds.
    interval_ms: u64,
    run: Option<Run>,
}

impl RecurrenceLog {
    /// Reports a condition once it has lasted for `delay_ms`, then every `interval_ms` at most.
    pub const fn new(delay_ms: u64, interval_ms: u64) -> Self {
        RecurrenceLog {
            delay_ms,
            interval_ms,
            run: None,
        }
    }

    /// The condition was observed; returns what to report, if a report is due.
    pub fn observe(&mut self, now_ms: u64) -> Option<Recurrence> {
        let run = self.run.get_or_insert(Run {
            since_ms: now_ms,
            reported_at_ms: None,
            count: 0,
        });
        run.count += 1;
        let due_at_ms = match run.reported_at_ms {
            Some(reported_at_ms) => reported_at_ms + self.interval_ms,
            None => run.since_ms + self.delay_ms,
        };
        if now_ms < due_at_ms {
            return None;
        }
        run.reported_at_ms = Some(now_ms);
        Some(recurrence(run, now_ms))
    }

    /// The condition is over; returns what to report, if it was reported before.
    pub fn end(&mut self, now_ms: u64) -> Option<Recurrence> {
        let run = self.run.take()?;
        run.reported_at_ms.map(|_| recurrence(&run, now_ms))
    }
}

fn recurrence(run: &Run, now_ms: u64) -> Recurrence {
    Recurrence {
        for_ms: now_ms.saturating_sub(run.since_ms),
        count: run.count,
    }
}
