//! Rate limit for log lines about a persistent condition: one after an initial delay, then one per interval,
//! and one when it ends.
//!
//! [`RecurrenceLog`] only decides when a line is due; callers pass the time and write the line.

/// Duration and number of observations of a condition, such as a recurring failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recurrence {
    /// How long the condition has lasted, in milliseconds.
    pub for_ms: u64,
    /// Number of times that it was observed.
    pub count: u64,
}

/// One occurrence of the condition, from its first observation to its end.
#[derive(Clone, Copy, Debug)]
struct Occurrence {
    since_ms: u64,
    reported_at_ms: Option<u64>,
    count: u64,
}

/// Decides when a condition is reported.
#[derive(Clone, Copy, Debug)]
pub struct RecurrenceLog {
    /// Minimum duration of the condition before it is reported, in milliseconds.
    delay_ms: u64,
    /// Minimum time between two reports, in milliseconds.
    interval_ms: u64,
    current: Option<Occurrence>,
}

impl RecurrenceLog {
    /// Creates the log of a condition that is reported once it has lasted for `delay_ms`, then at most every
    /// `interval_ms`.
    pub const fn new(delay_ms: u64, interval_ms: u64) -> Self {
        RecurrenceLog {
            delay_ms,
            interval_ms,
            current: None,
        }
    }

    /// Records an observation of the condition; returns the report if one is due.
    pub fn observe(&mut self, now_ms: u64) -> Option<Recurrence> {
        let occurrence = self.current.get_or_insert(Occurrence {
            since_ms: now_ms,
            reported_at_ms: None,
            count: 0,
        });
        occurrence.count += 1;
        let due_at_ms = match occurrence.reported_at_ms {
            Some(reported_at_ms) => reported_at_ms + self.interval_ms,
            None => occurrence.since_ms + self.delay_ms,
        };
        if now_ms < due_at_ms {
            return None;
        }
        occurrence.reported_at_ms = Some(now_ms);
        Some(recurrence(occurrence, now_ms))
    }

    /// Records the end of the condition; returns the report if the condition was reported before.
    pub fn end(&mut self, now_ms: u64) -> Option<Recurrence> {
        let occurrence = self.current.take()?;
        occurrence
            .reported_at_ms
            .map(|_| recurrence(&occurrence, now_ms))
    }
}

fn recurrence(occurrence: &Occurrence, now_ms: u64) -> Recurrence {
    Recurrence {
        for_ms: now_ms.saturating_sub(occurrence.since_ms),
        count: occurrence.count,
    }
}
