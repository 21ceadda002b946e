//! What became of the multigets of each second, for the log: a push-back for which nothing was sent tells of a gate
//! that would not let it in; one after sends, of parts that could not be had. At 300 mixers the first kind, if it
//! comes from a gate that has stopped learning, shows as mixers that push back nearly all while their neighbours do
//! not (issue 25, docs/design/platform-rules.md). Decides nothing, reads no clock: the router gives the time.

use lockusher_membership::core::share::Totals;
use lockusher_policy::interface::{Reply, Span, Time};

/// One line a second at most: often enough to follow a trouble of a few seconds, rare enough for a fleet's logs.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// Final answers and sends of one stretch of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub answered: u32,
    pub partial: u32,
    /// Pushed back before any of its parts was sent.
    pub pushed_back_unsent: u32,
    pub pushed_back_sent: u32,
    pub failed: u32,
    pub sends: u32,
}

impl OutcomeCounts {
    fn has_failures(&self) -> bool {
        self.pushed_back_unsent + self.pushed_back_sent + self.failed > 0
    }
}

/// The counts of the stretch that is going on, and since when.
#[derive(Default)]
pub struct OutcomeStats {
    period_start: Option<Time>,
    counts: OutcomeCounts,
    /// Whether what the gate believed was told in this stretch: once is enough to follow it.
    estimate_logged: bool,
    totals: Totals,
}

impl OutcomeStats {
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// A multiget of so many parts.
    pub fn record_multiget(&mut self, parts: usize) {
        self.totals.multigets += 1;
        self.totals.parts += parts as u64;
    }

    /// A final answer; `sent` whether any part of it was ever sent.
    pub fn record_reply(&mut self, reply: Reply, sent: bool) {
        let counts = &mut self.counts;
        self.totals.pushed_back += u64::from(matches!(reply, Reply::PushedBack { .. }));
        match reply {
            Reply::Answered { whole: true } => counts.answered += 1,
            Reply::Answered { whole: false } => counts.partial += 1,
            Reply::PushedBack { .. } if sent => counts.pushed_back_sent += 1,
            Reply::PushedBack { .. } => counts.pushed_back_unsent += 1,
            Reply::Failed => counts.failed += 1,
        }
    }

    /// Whether the gate's belief at a push-back is to be told now; once a stretch.
    pub fn should_log_estimate(&self) -> bool {
        !self.estimate_logged
    }

    pub fn set_estimate_logged(&mut self) {
        self.estimate_logged = true;
    }

    /// A send of a part, its first or a further one.
    pub fn record_send(&mut self, nth: usize) {
        self.totals.further += u64::from(nth > 0);
        self.counts.sends += 1;
    }

    /// Once a stretch is over: its counts and length, if anything in it was pushed back or failed; a calm mixer
    /// says nothing. The next stretch begins now.
    pub fn finish_period(&mut self, now: Time) -> Option<(OutcomeCounts, Span)> {
        let period_start = *self.period_start.get_or_insert(now);
        if now.since(period_start) < LOG_INTERVAL {
            return None;
        }
        let counts = std::mem::take(&mut self.counts);
        (self.period_start, self.estimate_logged) = (Some(now), false);
        counts
            .has_failures()
            .then_some((counts, now.since(period_start)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PUSHED_BACK: Reply = Reply::PushedBack { come_back_in: None };

    #[test]
    fn periods_without_failures_are_not_logged_and_an_estimate_is_logged_once_a_period() {
        let mut stats = OutcomeStats::default();
        let at_ms = |ms: u64| Time::from_micros(ms * 1_000);
        assert_eq!(stats.finish_period(at_ms(0)), None);
        stats.record_send(0);
        stats.record_reply(Reply::Answered { whole: true }, true);
        assert_eq!(
            stats.finish_period(at_ms(1_000)),
            None,
            "answers alone are not told"
        );
        for _ in 0..40 {
            stats.record_reply(PUSHED_BACK, false);
        }
        stats.record_reply(PUSHED_BACK, true);
        assert_eq!(
            stats.finish_period(at_ms(1_500)),
            None,
            "not before the second is over"
        );
        let (counts, span) = stats.finish_period(at_ms(2_100)).expect("told");
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
            "what was told is not told again"
        );
        assert!(stats.should_log_estimate());
        stats.set_estimate_logged();
        assert!(!stats.should_log_estimate(), "one belief a second");
        stats.finish_period(at_ms(4_300));
        assert!(stats.should_log_estimate());
    }
}
