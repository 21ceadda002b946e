//! The budget usage of a fleet, counted from the searchers' logs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::worker::ReceivedPart;

/// The times at which retries of parts arrived, from the logs of all searchers: each send of a part but the first.
pub fn retry_times(logs: &[Vec<ReceivedPart>]) -> Vec<Instant> {
    let mut by_part: HashMap<&str, Vec<Instant>> = HashMap::new();
    for received in logs.iter().flatten() {
        by_part
            .entry(&received.part)
            .or_default()
            .push(received.received_at);
    }
    let mut retries: Vec<Instant> = by_part
        .into_values()
        .flat_map(|mut at| {
            at.sort();
            at.into_iter().skip(1)
        })
        .collect();
    retries.sort();
    retries
}

/// The most events within any window of one second. The times are sorted.
pub fn max_per_second(at: &[Instant]) -> usize {
    let mut first = 0;
    let within = |(last, end): (usize, &Instant)| {
        while end.duration_since(at[first]) >= Duration::from_secs(1) {
            first += 1;
        }
        last + 1 - first
    };
    at.iter().enumerate().map(within).max().unwrap_or_default()
}

/// How far the sends counted in one second may exceed a budget: the meters' burst of a fifth of the budget and one send
/// a mixer, and the sends of `JITTER_SECONDS` more, since sends take different times to reach the searchers.
pub fn budget_slack(budget: f64, mixers: usize) -> f64 {
    /// Half of the additional time over which sends of one second arrive on a busy machine.
    const JITTER_SECONDS: f64 = 0.1;
    budget * (0.2 + JITTER_SECONDS) + mixers as f64
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mixers::worker::PartOutcome;

    #[test]
    fn max_per_second_considers_every_window() {
        let start = Instant::now();
        let at = |ms: &u64| start + Duration::from_millis(*ms);
        assert_eq!(
            max_per_second(
                &[0, 900, 1_500, 1_800, 1_899, 3_000]
                    .iter()
                    .map(at)
                    .collect::<Vec<_>>()
            ),
            4
        );
        assert_eq!(max_per_second(&[]), 0);
        let received = |part: &str, ms: u64| ReceivedPart {
            part: part.into(),
            received_at: at(&ms),
            outcome: PartOutcome::Executed,
            value: None,
            cold: false,
        };
        let logs = [
            vec![received("a", 5), received("b", 9)],
            vec![received("a", 2), received("a", 7)],
        ];
        assert_eq!(retry_times(&logs), [at(&5), at(&7)]);
    }
}
