//! What a fleet spent of its budgets, counted from outside, at the searchers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::worker::Came;

/// When further sends of parts came, in all searchers' logs: each but the first of its part.
pub fn further_sends(logs: &[Vec<Came>]) -> Vec<Instant> {
    let mut by_part: HashMap<&str, Vec<Instant>> = HashMap::new();
    for came in logs.iter().flatten() {
        by_part.entry(&came.part).or_default().push(came.at);
    }
    let mut further: Vec<Instant> = by_part
        .into_values()
        .flat_map(|mut at| {
            at.sort();
            at.into_iter().skip(1)
        })
        .collect();
    further.sort();
    further
}

/// The most that came within any one second.
pub fn worst_second(at: &[Instant]) -> usize {
    let mut first = 0;
    let within = |(last, until): (usize, &Instant)| {
        while until.duration_since(at[first]) >= Duration::from_secs(1) {
            first += 1;
        }
        last + 1 - first
    };
    at.iter().enumerate().map(within).max().unwrap_or_default()
}

/// What the fleet may spend beyond a budget in one second: a fifth of it and one a mixer, as the meters save that; and
/// what a part of a second more carries, since sends take unlike times to where they are counted.
pub fn slack(budget: f64, mixers: usize) -> f64 {
    /// Half of the time in which a busy machine brings what left in one second.
    const JITTER: f64 = 0.1;
    budget * (0.2 + JITTER) + mixers as f64
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mixers::worker::Did;

    #[test]
    fn the_worst_second_is_found_wherever_it_lies() {
        let start = Instant::now();
        let at = |ms: &u64| start + Duration::from_millis(*ms);
        assert_eq!(
            worst_second(
                &[0, 900, 1_500, 1_800, 1_899, 3_000]
                    .iter()
                    .map(at)
                    .collect::<Vec<_>>()
            ),
            4
        );
        assert_eq!(worst_second(&[]), 0);
        let came = |part: &str, ms: u64| Came {
            part: part.into(),
            at: at(&ms),
            did: Did::Ran,
            value: None,
            cold: false,
        };
        let logs = [
            vec![came("a", 5), came("b", 9)],
            vec![came("a", 2), came("a", 7)],
        ];
        assert_eq!(further_sends(&logs), [at(&5), at(&7)]);
    }
}
