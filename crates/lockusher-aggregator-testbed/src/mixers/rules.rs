//! The six rules, checked from outside: from what clients got and what came to searchers, and nothing that a mixer says.
//! Pure: it compares two logs.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::clients::{Done, End, PATIENCE};
use super::worker::{Came, Did};

/// What one instant may be off another on a machine that runs the whole fleet beside clients and searchers.
const SLACK: Duration = Duration::from_millis(250);
/// The grace of a drain.
const GRACE: Duration = Duration::from_secs(2);
/// The cap on a part's sends in `stand_in::settings`.
const MOST_SENDS: usize = 4;

/// Times in which a mixer or a searcher was under a fault of its own: what it owes then is not judged.
#[derive(Clone, Debug, Default)]
pub struct Excused {
    spans: HashMap<usize, Vec<(Instant, Instant)>>,
}

impl Excused {
    pub fn excuse(&mut self, which: usize, from: Instant, to: Instant) {
        self.spans.entry(which).or_default().push((from, to));
    }

    fn covers(&self, which: usize, from: Instant, to: Instant) -> bool {
        let spans = self.spans.get(&which);
        spans.is_some_and(|spans| {
            spans
                .iter()
                .any(|(began, ended)| *began <= to && from <= *ended)
        })
    }
}

/// What is checked.
pub struct Logs<'a> {
    pub done: &'a [Done],
    /// By searcher's number.
    pub came: Vec<Vec<Came>>,
    pub mixers: Excused,
    /// When each searcher was told to drain, and when it was back.
    pub drains: Excused,
    /// Searchers that fell over while cold, as they count it.
    pub fell: u64,
}

/// How often each rule was broken, by its number; and some of them, for whoever looks.
#[derive(Debug, Default, PartialEq)]
pub struct Broken {
    pub by_rule: [u64; 6],
    pub some: Vec<String>,
}

impl Broken {
    fn note(&mut self, rule: usize, what: impl FnOnce() -> String) {
        self.by_rule[rule - 1] += 1;
        if self.some.len() < 20 {
            self.some.push(format!("rule {rule}: {}", what()));
        }
    }

    pub fn all(&self) -> u64 {
        self.by_rule.iter().sum()
    }
}

pub fn check(logs: &Logs) -> Broken {
    let mut broken = Broken::default();
    let mut sends: BTreeMap<&str, Vec<(usize, &Came)>> = BTreeMap::new();
    for (searcher, came) in logs.came.iter().enumerate() {
        came.iter()
            .for_each(|came| sends.entry(&came.part).or_default().push((searcher, came)));
    }
    for done in logs.done {
        let excused = logs.mixers.covers(
            done.mixer,
            done.asked,
            done.ended.max(done.asked + PATIENCE),
        );
        let lost = matches!(done.end, End::Nothing | End::Broken);
        if lost && !excused {
            broken.note(1, || {
                format!("{} has no final answer: {:?}", done.id, done.end)
            });
        }
        let parts = done
            .shards
            .iter()
            .map(|shard| format!("{}.{shard}", done.id));
        let of: Vec<Vec<(usize, &Came)>> = parts
            .map(|part| sends.get(part.as_str()).cloned().unwrap_or_default())
            .collect();
        for (searcher, came) in of.iter().flatten() {
            // A part that ran is noted when it had, so it came earlier than that.
            if !lost && !excused && came.at > done.ended + SLACK {
                broken.note(1, || {
                    format!("{} came to s{searcher} after its final answer", came.part)
                });
            }
        }
        for (nth, sends) in of.iter().enumerate() {
            let ran = sends
                .iter()
                .filter(|(_, came)| came.did == Did::Ran)
                .count();
            let pushed_back = matches!(done.end, End::PushedBack(_));
            if done.once && (ran > 1 || (pushed_back && ran > 0)) {
                broken.note(2, || {
                    format!("{}.{} ran {ran} times", done.id, done.shards[nth])
                });
            }
            if sends.len() > MOST_SENDS {
                broken.note(6, || {
                    format!(
                        "{}.{} was sent {} times",
                        done.id,
                        done.shards[nth],
                        sends.len()
                    )
                });
            }
        }
        if let End::Answered(whole, values) = &done.end {
            honest(&mut broken, done, *whole, values, &of);
        }
    }
    for (searcher, came) in logs.came.iter().enumerate() {
        for came in came {
            let late = came.at.checked_sub(GRACE + SLACK);
            let drains = |at: Instant| logs.drains.covers(searcher, at, at);
            if drains(came.at) && late.is_some_and(drains) {
                broken.note(3, || {
                    format!("{} came to s{searcher} past the grace", came.part)
                });
            }
        }
    }
    for _ in 0..logs.fell {
        broken.note(4, || "a cold searcher was pushed over".to_owned());
    }
    broken
}

/// Each value as one of its searchers gave it, each shard once, whole only if all are there.
fn honest(
    broken: &mut Broken,
    done: &Done,
    whole: bool,
    values: &[(u64, String)],
    of: &[Vec<(usize, &Came)>],
) {
    let asked: HashSet<u64> = done.shards.iter().map(|shard| *shard as u64).collect();
    let shards: HashSet<u64> = values.iter().map(|(shard, _)| *shard).collect();
    if shards.len() < values.len() || !shards.is_subset(&asked) {
        broken.note(5, || {
            format!("{}: a shard twice, or one that was not asked", done.id)
        });
    }
    if whole && shards.len() < asked.len() {
        broken.note(5, || {
            format!(
                "{} is called whole with {} of {}",
                done.id,
                shards.len(),
                asked.len()
            )
        });
    }
    for (shard, value) in values {
        let place = done.shards.iter().position(|asked| *asked as u64 == *shard);
        let given = place.is_some_and(|place| {
            of[place]
                .iter()
                .any(|(_, came)| came.value.as_ref() == Some(value))
        });
        if !given {
            broken.note(5, || {
                format!(
                    "{}.{shard} has a value that no searcher gave: {value}",
                    done.id
                )
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn done(end: End, at: Instant) -> Done {
        let (asked, ended) = (at, at + Duration::from_millis(50));
        Done {
            id: "q".into(),
            mixer: 0,
            once: true,
            shards: vec![3, 5],
            asked,
            ended,
            end,
        }
    }

    fn came(part: &str, at: Instant, did: Did) -> Came {
        let value = (did == Did::Ran).then(|| format!("v{part}"));
        Came {
            part: part.into(),
            at,
            did,
            value,
            cold: false,
        }
    }

    fn values(of: &[(u64, &str)]) -> Vec<(u64, String)> {
        of.iter()
            .map(|(shard, value)| (*shard, value.to_string()))
            .collect()
    }

    /// Each rule broken once, by one alteration of a sound log.
    #[rstest]
    #[case::sound(|_: &mut Vec<Came>, _: &mut Done| (), 0)]
    #[case::no_answer(|_: &mut Vec<Came>, done: &mut Done| done.end = End::Nothing, 1)]
    #[case::sent_after_it(|came: &mut Vec<Came>, done: &mut Done| came[0].at = done.ended + SLACK * 2, 1)]
    #[case::run_twice(|came: &mut Vec<Came>, _: &mut Done| came.push(came[0].clone()), 2)]
    #[case::pushed_back_though_run(|_: &mut Vec<Came>, done: &mut Done| done.end = End::PushedBack(None), 2)]
    #[case::whole_with_one_of_two(
        |_: &mut Vec<Came>, done: &mut Done| done.end = End::Answered(true, values(&[(3, "vq.3")])), 5)]
    #[case::a_value_of_nobody(
        |_: &mut Vec<Came>, done: &mut Done| done.end = End::Answered(false, values(&[(3, "x")])), 5)]
    #[case::a_part_counted_twice(
        |_: &mut Vec<Came>, done: &mut Done| {
            done.end = End::Answered(false, values(&[(3, "vq.3"), (3, "vq.3")]));
        }, 5)]
    #[case::sent_too_often(
        |came: &mut Vec<Came>, _: &mut Done| {
            let turned_away = Came { did: Did::TurnedAway, value: None, ..came[1].clone() };
            came.extend(vec![turned_away; MOST_SENDS]);
        }, 6)]
    fn each_rule_is_seen_to_be_broken(
        #[case] alter: fn(&mut Vec<Came>, &mut Done),
        #[case] rule: usize,
    ) {
        let at = Instant::now();
        let mut log = vec![came("q.3", at, Did::Ran), came("q.5", at, Did::Ran)];
        let mut one = done(End::Answered(true, values(&[(3, "vq.3"), (5, "vq.5")])), at);
        alter(&mut log, &mut one);
        let logs = Logs {
            done: &[one],
            came: vec![log],
            mixers: Excused::default(),
            drains: Excused::default(),
            fell: 0,
        };
        let broken = check(&logs);
        match rule {
            0 => assert_eq!(broken, Broken::default()),
            rule => assert!(broken.by_rule[rule - 1] > 0, "{broken:?}"),
        }
    }

    #[rstest]
    fn what_comes_past_the_grace_is_seen() {
        let at = Instant::now();
        let late = at + GRACE + SLACK * 2;
        let mut logs = Logs {
            done: &[],
            came: vec![vec![
                came("q.3", at, Did::Ran),
                came("q.5", late, Did::TurnedAway),
            ]],
            mixers: Excused::default(),
            drains: Excused::default(),
            fell: 1,
        };
        logs.drains.excuse(0, at, at + Duration::from_secs(60));
        let broken = check(&logs);
        assert_eq!(broken.by_rule, [0, 0, 1, 1, 0, 0]);
    }
}
