//! Checks six rules on the logs of clients and searchers, without relying on anything that a mixer reports:
//!
//! 1. Each multiget has one final answer, after which none of its parts is sent.
//! 2. A non-retriable part is executed at most once, and not at all if its multiget was rejected.
//! 3. No part is sent to a searcher that has been draining for longer than the grace period.
//! 4. No searcher is overloaded while it warms up.
//! 5. An answer has only values that searchers sent, each shard once, and is marked complete only if all are there.
//! 6. No part is sent more often than the limit.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::clients::{CLIENT_TIMEOUT, FinishedMultiget, Outcome};
use super::worker::{PartOutcome, ReceivedPart};

/// How far two timestamps may be off on a machine that runs the whole fleet beside clients and searchers.
const TIMING_SLACK: Duration = Duration::from_millis(250);
/// How long after a drain is published parts may still be sent to the searcher.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// The limit on sends of one part in `stand_in::settings`.
const MAX_SENDS: usize = 4;

/// Time windows by mixer or searcher: those in which a mixer was under an injected fault, so that it is not checked, or
/// those in which a searcher was draining.
#[derive(Clone, Debug, Default)]
pub struct TimeWindows {
    windows: HashMap<usize, Vec<(Instant, Instant)>>,
}

impl TimeWindows {
    /// Adds a window.
    pub fn add(&mut self, number: usize, from: Instant, to: Instant) {
        self.windows.entry(number).or_default().push((from, to));
    }

    /// Whether a window overlaps the interval.
    fn overlap(&self, number: usize, from: Instant, to: Instant) -> bool {
        let windows = self.windows.get(&number);
        windows.is_some_and(|windows| {
            windows
                .iter()
                .any(|(start, end)| *start <= to && from <= *end)
        })
    }
}

/// The logs to be checked.
pub struct Logs<'a> {
    /// The finished attempts of all clients.
    pub multigets: &'a [FinishedMultiget],
    /// The parts received, by the number of the searcher.
    pub received: Vec<Vec<ReceivedPart>>,
    /// Windows in which mixers were under an injected fault.
    pub mixer_faults: TimeWindows,
    /// Windows in which searchers were published as draining.
    pub drains: TimeWindows,
    /// Crashes of searchers by overload while they warmed up, as they count them.
    pub overload_crashes: u64,
}

/// The number of violations of each rule, and the first 20 of them in words.
#[derive(Debug, Default, PartialEq)]
pub struct Violations {
    pub by_rule: [u64; 6],
    pub examples: Vec<String>,
}

impl Violations {
    fn record(&mut self, rule: usize, describe: impl FnOnce() -> String) {
        self.by_rule[rule - 1] += 1;
        if self.examples.len() < 20 {
            self.examples.push(format!("rule {rule}: {}", describe()));
        }
    }

    /// The number of all violations.
    pub fn total(&self) -> u64 {
        self.by_rule.iter().sum()
    }
}

/// Checks all rules.
pub fn check(logs: &Logs) -> Violations {
    let mut violations = Violations::default();
    let mut sends: BTreeMap<&str, Vec<(usize, &ReceivedPart)>> = BTreeMap::new();
    for (searcher, received) in logs.received.iter().enumerate() {
        received
            .iter()
            .for_each(|part| sends.entry(&part.part).or_default().push((searcher, part)));
    }
    for multiget in logs.multigets {
        let under_fault = logs.mixer_faults.overlap(
            multiget.mixer,
            multiget.sent_at,
            multiget.finished_at.max(multiget.sent_at + CLIENT_TIMEOUT),
        );
        let unanswered = matches!(
            multiget.outcome,
            Outcome::TimedOut | Outcome::ConnectionLost
        );
        if unanswered && !under_fault {
            violations.record(1, || {
                format!(
                    "multiget {} has no final answer: {:?}",
                    multiget.id, multiget.outcome
                )
            });
        }
        let parts = multiget
            .shards
            .iter()
            .map(|shard| format!("{}.{shard}", multiget.id));
        let sends_by_part: Vec<Vec<(usize, &ReceivedPart)>> = parts
            .map(|part| sends.get(part.as_str()).cloned().unwrap_or_default())
            .collect();
        for (searcher, received) in sends_by_part.iter().flatten() {
            // An executed part is logged after its execution, under the time at which it arrived.
            if !unanswered
                && !under_fault
                && received.received_at > multiget.finished_at + TIMING_SLACK
            {
                violations.record(1, || {
                    format!("part {} reached searcher s{searcher} after the final answer of its multiget", received.part)
                });
            }
        }
        for (index, sends) in sends_by_part.iter().enumerate() {
            let executed = sends
                .iter()
                .filter(|(_, received)| received.outcome == PartOutcome::Executed)
                .count();
            let rejected = matches!(multiget.outcome, Outcome::Rejected(_));
            if multiget.non_retriable && (executed > 1 || (rejected && executed > 0)) {
                violations.record(2, || {
                    format!(
                        "non-retriable part {}.{} was executed {executed} times",
                        multiget.id, multiget.shards[index]
                    )
                });
            }
            if sends.len() > MAX_SENDS {
                violations.record(6, || {
                    format!(
                        "part {}.{} was sent {} times",
                        multiget.id,
                        multiget.shards[index],
                        sends.len()
                    )
                });
            }
        }
        if let Outcome::Answered(complete, values) = &multiget.outcome {
            check_answer(&mut violations, multiget, *complete, values, &sends_by_part);
        }
    }
    for (searcher, received) in logs.received.iter().enumerate() {
        for received in received {
            let grace_ago = received.received_at.checked_sub(DRAIN_GRACE + TIMING_SLACK);
            let draining = |at: Instant| logs.drains.overlap(searcher, at, at);
            if draining(received.received_at) && grace_ago.is_some_and(draining) {
                violations.record(3, || {
                    format!(
                        "part {} reached searcher s{searcher} after the drain grace",
                        received.part
                    )
                });
            }
        }
    }
    for _ in 0..logs.overload_crashes {
        violations.record(4, || {
            "a searcher crashed by overload while it was warming up".to_owned()
        });
    }
    violations
}

/// Checks that each value is one that a searcher sent for that shard, that each shard occurs once, and that an answer
/// marked complete has all shards.
fn check_answer(
    violations: &mut Violations,
    multiget: &FinishedMultiget,
    complete: bool,
    values: &[(u64, String)],
    sends_by_part: &[Vec<(usize, &ReceivedPart)>],
) {
    let requested: HashSet<u64> = multiget.shards.iter().map(|shard| *shard as u64).collect();
    let shards: HashSet<u64> = values.iter().map(|(shard, _)| *shard).collect();
    if shards.len() < values.len() || !shards.is_subset(&requested) {
        violations.record(5, || {
            format!(
                "multiget {}: a shard occurs twice or was not requested",
                multiget.id
            )
        });
    }
    if complete && shards.len() < requested.len() {
        violations.record(5, || {
            format!(
                "multiget {} is marked complete with {} of {} shards",
                multiget.id,
                shards.len(),
                requested.len()
            )
        });
    }
    for (shard, value) in values {
        let index = multiget
            .shards
            .iter()
            .position(|requested| *requested as u64 == *shard);
        let sent_by_searcher = index.is_some_and(|index| {
            sends_by_part[index]
                .iter()
                .any(|(_, received)| received.value.as_ref() == Some(value))
        });
        if !sent_by_searcher {
            violations.record(5, || {
                format!(
                    "part {}.{shard} has a value that no searcher sent: {value}",
                    multiget.id
                )
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn multiget(outcome: Outcome, at: Instant) -> FinishedMultiget {
        let (sent_at, finished_at) = (at, at + Duration::from_millis(50));
        FinishedMultiget {
            id: "q".into(),
            mixer: 0,
            non_retriable: true,
            shards: vec![3, 5],
            sent_at,
            finished_at,
            outcome,
        }
    }

    fn received(part: &str, received_at: Instant, outcome: PartOutcome) -> ReceivedPart {
        let value = (outcome == PartOutcome::Executed).then(|| format!("v{part}"));
        ReceivedPart {
            part: part.into(),
            received_at,
            outcome,
            value,
            cold: false,
        }
    }

    fn values(pairs: &[(u64, &str)]) -> Vec<(u64, String)> {
        pairs
            .iter()
            .map(|(shard, value)| (*shard, value.to_string()))
            .collect()
    }

    /// Each case changes a log without violations so that it breaks one rule.
    #[rstest]
    #[case::no_violation(|_: &mut Vec<ReceivedPart>, _: &mut FinishedMultiget| (), 0)]
    #[case::no_answer(|_: &mut Vec<ReceivedPart>, multiget: &mut FinishedMultiget| multiget.outcome = Outcome::TimedOut, 1)]
    #[case::sent_after_the_answer(|received: &mut Vec<ReceivedPart>, multiget: &mut FinishedMultiget| received[0].received_at = multiget.finished_at + TIMING_SLACK * 2, 1)]
    #[case::executed_twice(|received: &mut Vec<ReceivedPart>, _: &mut FinishedMultiget| received.push(received[0].clone()), 2)]
    #[case::rejected_though_executed(|_: &mut Vec<ReceivedPart>, multiget: &mut FinishedMultiget| multiget.outcome = Outcome::Rejected(None), 2)]
    #[case::complete_with_one_of_two(
        |_: &mut Vec<ReceivedPart>, multiget: &mut FinishedMultiget| multiget.outcome = Outcome::Answered(true, values(&[(3, "vq.3")])), 5)]
    #[case::a_value_that_no_searcher_sent(
        |_: &mut Vec<ReceivedPart>, multiget: &mut FinishedMultiget| multiget.outcome = Outcome::Answered(false, values(&[(3, "x")])), 5)]
    #[case::a_shard_twice(
        |_: &mut Vec<ReceivedPart>, multiget: &mut FinishedMultiget| {
            multiget.outcome = Outcome::Answered(false, values(&[(3, "vq.3"), (3, "vq.3")]));
        }, 5)]
    #[case::sent_too_often(
        |received: &mut Vec<ReceivedPart>, _: &mut FinishedMultiget| {
            let rejected = ReceivedPart { outcome: PartOutcome::Rejected, value: None, ..received[1].clone() };
            received.extend(vec![rejected; MAX_SENDS]);
        }, 6)]
    fn a_violation_of_each_rule_is_detected(
        #[case] alter: fn(&mut Vec<ReceivedPart>, &mut FinishedMultiget),
        #[case] rule: usize,
    ) {
        let at = Instant::now();
        let mut log = vec![
            received("q.3", at, PartOutcome::Executed),
            received("q.5", at, PartOutcome::Executed),
        ];
        let mut attempt = multiget(
            Outcome::Answered(true, values(&[(3, "vq.3"), (5, "vq.5")])),
            at,
        );
        alter(&mut log, &mut attempt);
        let logs = Logs {
            multigets: &[attempt],
            received: vec![log],
            mixer_faults: TimeWindows::default(),
            drains: TimeWindows::default(),
            overload_crashes: 0,
        };
        let violations = check(&logs);
        match rule {
            0 => assert_eq!(violations, Violations::default()),
            rule => assert!(violations.by_rule[rule - 1] > 0, "{violations:?}"),
        }
    }

    #[rstest]
    fn a_part_received_after_the_drain_grace_breaks_rule_3() {
        let at = Instant::now();
        let after_grace = at + DRAIN_GRACE + TIMING_SLACK * 2;
        let mut logs = Logs {
            multigets: &[],
            received: vec![vec![
                received("q.3", at, PartOutcome::Executed),
                received("q.5", after_grace, PartOutcome::Rejected),
            ]],
            mixer_faults: TimeWindows::default(),
            drains: TimeWindows::default(),
            overload_crashes: 1,
        };
        logs.drains.add(0, at, at + Duration::from_secs(60));
        let violations = check(&logs);
        assert_eq!(violations.by_rule, [0, 0, 1, 1, 0, 0]);
    }
}
