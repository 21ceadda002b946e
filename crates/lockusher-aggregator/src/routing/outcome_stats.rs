//! Per-second statistics on the outcomes of multigets, for the log. A push-back before any send comes from the
//! admission gate; one after sends comes from parts that could not be served. At 300 mixers, a gate that has
//! stopped learning shows as mixers that push back nearly everything before sending while their neighbours do not
//! (issue 25, docs/design/platform-rules.md). Makes no decisions and reads no clock: the router passes the time in.

use lockusher_membership::core::shared_state::Totals;
use lockusher_policy::interface::{Reply, Span, Time};

/// Minimum interval between log lines: short enough to follow a fault of a few seconds, long enough for the logs of
/// a whole fleet.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Counts of final answers and sends in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub answered: u32,
    pub partial: u32,
    /// Pushed back before any part was sent.
    pub pushed_back_unsent: u32,
    /// Pushed back after at least one part was sent.
    pub pushed_back_sent: u32,
    pub failed: u32,
    pub sends: u32,
}

impl OutcomeCounts {
    fn has_failures(&self) -> bool {
        self.pushed_back_unsent + self.pushed_back_sent + self.failed > 0
    }
}

/// Statistics of the current period, and totals since the start.
#[derive(Default)]
pub struct OutcomeStats {
    period_start: Option<Time>,
    counts: OutcomeCounts,
    /// Whether an admission trace was logged in this period; one per period is enough.
    admission_trace_logged: bool,
    totals: Totals,
}

impl OutcomeStats {
    /// Totals since the start of the process.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Counts an accepted multiget and its parts.
    pub fn record_multiget(&mut self, parts: usize) {
        self.totals.multigets += 1;
        self.totals.parts += parts as u64;
    }

    /// Counts a final answer; `sent` is whether any part of the multiget was ever sent.
    pub fn record_reply(&mut self, reply: Reply, sent: bool) {
        let counts = &mut self.counts;
        self.totals.pushed_back += u64::from(matches!(reply, Reply::PushedBack { .. }));
        match reply {
            Reply::Answered { complete: true } => counts.answered += 1,
            Reply::Answered { complete: false } => counts.partial += 1,
            Reply::PushedBack { .. } if sent => counts.pushed_back_sent += 1,
            Reply::PushedBack { .. } => counts.pushed_back_unsent += 1,
            Reply::Failed => counts.failed += 1,
        }
    }

    /// Whether the admission trace of a rejected multiget should be logged; true once a period.
    pub fn should_log_admission_trace(&self) -> bool {
        !self.admission_trace_logged
    }

    /// Records that an admission trace was logged in this period.
    pub fn set_admission_trace_logged(&mut self) {
        self.admission_trace_logged = true;
    }

    /// Counts a send of a part by its index; sends after the first count as additional.
    pub fn record_send(&mut self, nth: usize) {
        self.totals.further += u64::from(nth > 0);
        self.counts.sends += 1;
    }

    /// If the period is over, starts the next one, and returns the counts and the length of the ended one if it had
    /// any push-back or failure. Periods without either are not logged.
    pub fn finish_period(&mut self, now: Time) -> Option<(OutcomeCounts, Span)> {
        let period_start = *self.period_start.get_or_insert(now);
        if now.since(period_start) < LOG_INTERVAL {
            return None;
        }
        let counts = std::mem::take(&mut self.counts);
        (self.period_start, self.admission_trace_logged) = (Some(now), false);
        counts
            .has_failures()
            .then_some((counts, now.since(period_start)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PUSHED_BACK: Reply = Reply::PushedBack { retry_after: None };

    #[test]
    fn periods_without_failures_are_not_logged_and_an_estimate_is_logged_once_a_period() {
        let mut stats = OutcomeStats::default();
        let at_ms = |ms: u64| Time::from_micros(ms * 1_000);
        assert_eq!(stats.finish_period(at_ms(0)), None);
        stats.record_send(0);
        stats.record_reply(Reply::Answered { complete: true }, true);
        assert_eq!(
            stats.finish_period(at_ms(1_000)),
            None,
            "answers alone are not logged"
        );
        for _ in 0..40 {
            stats.record_reply(PUSHED_BACK, false);
        }
        stats.record_reply(PUSHED_BACK, true);
        assert_eq!(
            stats.finish_period(at_ms(1_500)),
            None,
            "not before the period is over"
        );
        let (counts, span) = stats.finish_period(at_ms(2_100)).expect("logged");
        assert_eq!(
            (
                counts.pushed_back_unsent,
                counts.pushed_back_sent,
                counts.sends
            ),
            (40, 1, 0)
        );
        assert_eq!(span, Span::from_millis(1_100));
        assert_eq!(
            stats.finish_period(at_ms(3_200)),
            None,
            "counts are logged once"
        );
        assert!(stats.should_log_admission_trace());
        stats.set_admission_trace_logged();
        assert!(!stats.should_log_admission_trace(), "one trace per period");
        stats.finish_period(at_ms(4_300));
        assert!(stats.should_log_admission_trace());
    }
}
