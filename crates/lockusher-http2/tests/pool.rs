//! Stories of the pool, in virtual time: who carries what, how fast, and when a connection goes.

use std::collections::{HashMap, HashSet};

use lockusher_http2::outcome::{CANCEL, ENHANCE_YOUR_CALM, End, Known, REFUSED_STREAM, outcome};
use lockusher_http2::pool::{Act, CallId, ConnectionId, Ended, Limits, MOST_CALLS, Pool};
use lockusher_policy::interface::{Outcome, Span, Time};
use proptest::prelude::*;
use rstest::rstest;

fn limits() -> Limits {
    Limits {
        most_connections: 2,
        most_streams: 64,
        most_calls: MOST_CALLS,
        most_waiting: 500,
        idle: Span::from_millis(10_000),
        age: Span::from_millis(60_000),
        silent_after: Span::from_millis(500),
        resets_per_s: 10.0,
    }
}

fn at(ms: u64) -> Time {
    Time::from_micros((1_000_000 + ms) * 1_000)
}

/// A pool with calls and a note of where they went.
struct Story {
    pool: Pool,
    next: u64,
    out: HashMap<CallId, ConnectionId>,
}

impl Story {
    fn new(limits: Limits) -> Self {
        Story {
            pool: Pool::new(limits),
            next: 0,
            out: HashMap::new(),
        }
    }

    fn calls(&mut self, count: usize) {
        for _ in 0..count {
            assert!(self.pool.call(CallId(self.next)));
            self.next += 1;
        }
    }

    fn acts(&mut self, ms: u64) -> Vec<Act> {
        let acts = self.pool.acts(at(ms));
        for act in &acts {
            if let Act::Begin(id, call) = act {
                assert!(self.out.insert(*call, *id).is_none(), "a call begins once");
            }
        }
        acts
    }

    fn on(&self, id: u64) -> usize {
        self.out
            .values()
            .filter(|on| **on == ConnectionId(id))
            .count()
    }

    /// All calls on a connection end so.
    fn all_end(&mut self, ms: u64, id: u64, how: Ended) {
        let ended: Vec<CallId> = self
            .out
            .extract_if(|_, on| *on == ConnectionId(id))
            .map(|(call, _)| call)
            .collect();
        ended
            .into_iter()
            .for_each(|call| self.pool.ended(at(ms), ConnectionId(id), call, how));
    }
}

/// Hard case 5: what waited for a connection does not burst in; it fills as rounds end well.
#[rstest]
fn a_new_connection_fills_in_rounds() {
    let mut story = Story::new(limits());
    story.calls(200);
    assert_eq!(story.acts(0), [Act::Open(ConnectionId(0))]);
    assert_eq!(story.acts(1), [], "one connection comes up at a time");
    story.pool.opened(at(2), ConnectionId(0));
    story.pool.allows(ConnectionId(0), 1_000);
    let mut rounds = Vec::new();
    while !rounds.ends_with(&[64, 64]) {
        story.acts(3);
        rounds.push(story.on(0));
        story.all_end(4, 0, Ended::Well);
        assert!(rounds.len() < 20, "{rounds:?}");
    }
    assert_eq!(
        rounds,
        [4, 8, 16, 32, 64, 64],
        "and no second connection was opened for it"
    );
    story.calls(20);
    story.acts(5);
    story.all_end(6, 0, Ended::Refused);
    story.calls(200);
    story.acts(7);
    assert!(
        story.on(0) <= 4,
        "a searcher that refuses has less room than was thought"
    );
}

/// Hard case 4: limits that are lowered hold for what is new; what is out may end.
#[rstest]
fn a_limit_that_moves() {
    let mut story = Story::new(Limits {
        most_connections: 1,
        ..limits()
    });
    story.calls(10);
    story.acts(0);
    story.pool.opened(at(1), ConnectionId(0));
    story.acts(1);
    assert_eq!(story.on(0), 4);
    story.pool.allows(ConnectionId(0), 0);
    story.all_end(2, 0, Ended::Well);
    assert_eq!(story.acts(3), [], "none may be opened");
    story.pool.allows(ConnectionId(0), 1);
    story.acts(4);
    assert_eq!((story.on(0), story.pool.waiting()), (1, 5));
    story.pool.allows(ConnectionId(0), 100);
    story.acts(5);
    assert_eq!(story.pool.waiting(), 0);
}

/// Hard case 11: a second connection only where the first is full for good.
#[rstest]
#[case::many_streams_allowed(1_000, 1)]
#[case::few_streams_allowed(2, 2)]
fn few_connections_with_many_streams(#[case] allowed: usize, #[case] connections: usize) {
    let mut story = Story::new(limits());
    story.calls(30);
    for round in 0..6 {
        for act in story.acts(round) {
            if let Act::Open(id) = act {
                story.pool.opened(at(round), id);
                story.pool.allows(id, allowed);
            }
        }
    }
    assert_eq!(story.pool.connections(), connections);
    assert!(story.on(0) <= allowed && story.on(1) <= allowed);
}

/// Hard case 7: resets are bounded in rate.
#[rstest]
fn resets_are_bounded() {
    let mut story = Story::new(limits());
    story.calls(1);
    story.acts(0);
    let may = |story: &mut Story, ms| story.pool.may_reset(at(ms), ConnectionId(0));
    let at_once = (0..100).filter(|_| may(&mut story, 1)).count();
    let in_a_second: usize = (0..1_000).filter(|ms| may(&mut story, 2 + ms)).count();
    assert_eq!((at_once, in_a_second), (20, 10));
}

/// Hard case 8: silence is asked about, then ends it; age and ids used up retire it once what is out has ended.
#[rstest]
fn connections_go() {
    let mut story = Story::new(limits());
    story.calls(2);
    story.acts(0);
    story.pool.opened(at(0), ConnectionId(0));
    story.acts(0);
    assert_eq!(story.pool.due(), Some(at(500)));
    assert_eq!(story.acts(500), [Act::Ping(ConnectionId(0))]);
    story.pool.hears(at(600), ConnectionId(0));
    assert_eq!(story.acts(1_000), [], "it answered");
    assert_eq!(story.acts(1_100), [Act::Ping(ConnectionId(0))]);
    assert_eq!(story.acts(1_600), [Act::GiveUp(ConnectionId(0))]);
    let (mut out, waited) = story.pool.over(at(1_600), ConnectionId(0));
    out.sort();
    assert_eq!((out, waited), (vec![CallId(0), CallId(1)], vec![]));
    // Another, until it is old.
    story.out.clear();
    story.calls(1);
    assert_eq!(story.acts(1_700), [Act::Open(ConnectionId(1))]);
    story.pool.opened(at(1_700), ConnectionId(1));
    story.acts(1_700);
    story.pool.hears(at(61_600), ConnectionId(1));
    story.calls(1);
    let acts = story.acts(61_700);
    assert!(
        acts.contains(&Act::Open(ConnectionId(2))) && !acts.contains(&Act::Close(ConnectionId(1))),
        "{acts:?}"
    );
    story.all_end(61_800, 1, Ended::Well);
    assert!(story.acts(61_800).contains(&Act::Close(ConnectionId(1))));
}

/// Hard case 8: a connection whose stream ids come to their end is replaced by another before they do.
#[rstest]
fn stream_ids_that_are_used_up() {
    let mut story = Story::new(Limits {
        most_calls: 6,
        ..limits()
    });
    let mut opened = Vec::new();
    for ms in 0..40 {
        story.calls(1);
        for act in [story.acts(ms), story.acts(ms)].concat() {
            match act {
                Act::Open(id) => {
                    story.pool.opened(at(ms), id);
                    opened.push(id);
                }
                Act::Close(id) => drop(story.pool.over(at(ms), id)),
                _ => {}
            }
        }
        for id in &opened {
            story.all_end(ms, id.0, Ended::Well);
        }
    }
    assert!((6..=8).contains(&opened.len()), "{opened:?}");
    assert!(story.pool.waiting() <= 1);
}

/// Hard case 3: a searcher that asks for calm is left alone for longer and longer, and what waits stays.
#[rstest]
fn calm_is_kept() {
    let mut story = Story::new(limits());
    let (mut ms, mut rests) = (0, Vec::new());
    story.calls(1);
    for number in 0..8 {
        let began = ms;
        while !story.acts(ms).contains(&Act::Open(ConnectionId(number))) {
            ms += 1;
        }
        rests.push(ms - began);
        story.pool.opened(at(ms), ConnectionId(number));
        story.pool.calm(at(ms), ConnectionId(number));
        story.pool.over(at(ms), ConnectionId(number));
    }
    assert_eq!(rests, [0, 100, 200, 400, 800, 1_600, 3_200, 5_000]);
    assert_eq!(story.pool.waiting(), 1);
}

/// Hard case 10: nothing new once the searcher has left; what waited is handed back.
#[rstest]
fn a_searcher_that_left_gets_nothing_new() {
    let mut story = Story::new(limits());
    story.calls(10);
    story.acts(0);
    story.pool.opened(at(0), ConnectionId(0));
    story.acts(0);
    assert_eq!(story.pool.leave().len(), 6);
    assert!(!story.pool.call(CallId(99)));
    assert_eq!(story.acts(1), []);
    story.all_end(2, 0, Ended::Well);
    assert_eq!(story.acts(2), [Act::Close(ConnectionId(0))]);
}

/// The table of outcomes.
#[rstest]
#[case::refused(End::Reset(REFUSED_STREAM), true, false, Outcome::Overloaded)]
#[case::refused_after_an_answer(End::Reset(REFUSED_STREAM), true, true, Outcome::Error)]
#[case::cancelled(End::Reset(CANCEL), true, false, Outcome::Error)]
#[case::internal_error(End::Reset(2), true, false, Outcome::Error)]
#[case::calm(End::Reset(ENHANCE_YOUR_CALM), true, false, Outcome::Error)]
#[case::beyond_the_last(End::BeyondLast, true, false, Outcome::Overloaded)]
#[case::beyond_the_last_yet_answered(End::BeyondLast, true, true, Outcome::ConnectionLost)]
#[case::half_a_message(End::Spoilt, true, true, Outcome::Error)]
#[case::a_part_forgotten(End::Whole, true, true, Outcome::Error)]
#[case::no_place(End::Status(503), true, false, Outcome::Overloaded)]
#[case::another_status(End::Status(500), true, false, Outcome::Error)]
#[case::the_connection_broke(End::ConnectionOver, true, false, Outcome::ConnectionLost)]
#[case::it_broke_before_all_had_left(End::ConnectionOver, false, false, Outcome::NoConnection)]
#[case::refused_before_all_had_left(
    End::Reset(REFUSED_STREAM),
    false,
    false,
    Outcome::NoConnection
)]
#[case::it_fell_silent(End::Silent, true, false, Outcome::ConnectionStalled)]
#[case::ended_here(End::GivenUp, true, false, Outcome::Cancelled)]
#[case::ended_here_before_it_left(End::GivenUp, false, false, Outcome::NotSent)]
fn what_an_end_means(
    #[case] end: End,
    #[case] left: bool,
    #[case] answered: bool,
    #[case] means: Outcome,
) {
    assert_eq!(outcome(end, Known { left, answered }), means);
}

#[derive(Clone, Debug)]
enum Op {
    Call,
    Opened(usize),
    Allows(usize, usize),
    Ended(usize, u8),
    Over(usize),
    Goes(usize),
    Calm(usize),
    Pass(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => Just(Op::Call),
        4 => (0..3_usize).prop_map(Op::Opened),
        2 => (0..3_usize, 0..10_usize).prop_map(|(id, n)| Op::Allows(id, n)),
        8 => (0..50_usize, 0..3_u8).prop_map(|(n, how)| Op::Ended(n, how)),
        1 => (0..3_usize).prop_map(Op::Over),
        1 => (0..3_usize).prop_map(Op::Goes),
        1 => (0..3_usize).prop_map(Op::Calm),
        4 => (1..2_000_u64).prop_map(Op::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes: a call begins at most once, on a connection that is open, within what is allowed there, and
    /// there are never more connections than may be; no call is lost.
    #[test]
    fn every_call_is_somewhere_once(ops in prop::collection::vec(op(), 1..300)) {
        let mut story = Story::new(limits());
        let (mut now, mut open, mut allowed) = (0, HashSet::new(), HashMap::new());
        let mut live: Vec<ConnectionId> = Vec::new();
        let (mut called, mut gone) = (0, 0);
        for op in ops {
            let pick = |n: usize| (!live.is_empty()).then(|| live[n % live.len()]);
            match op {
                Op::Call => {
                    story.calls(1);
                    called += 1;
                }
                Op::Opened(n) => if let Some(id) = pick(n) {
                    story.pool.opened(at(now), id);
                    open.insert(id);
                },
                Op::Allows(n, streams) => if let Some(id) = pick(n) {
                    story.pool.allows(id, streams);
                    allowed.insert(id, streams);
                },
                Op::Ended(n, how) => {
                    let mut out: Vec<_> = story.out.iter().map(|(call, id)| (*call, *id)).collect();
                    out.sort();
                    if !out.is_empty() {
                        let (call, id) = out[n % out.len()];
                        story.out.remove(&call);
                        let how = [Ended::Well, Ended::Badly, Ended::Refused][usize::from(how)];
                        story.pool.ended(at(now), id, call, how);
                        gone += 1;
                    }
                }
                Op::Over(n) => if let Some(id) = pick(n) {
                    let (out, waited) = story.pool.over(at(now), id);
                    for call in &out {
                        prop_assert_eq!(story.out.remove(call), Some(id));
                    }
                    gone += out.len() + waited.len();
                    live.retain(|other| *other != id);
                },
                Op::Goes(n) => if let Some(id) = pick(n) { story.pool.retire(id) },
                Op::Calm(n) => if let Some(id) = pick(n) { story.pool.calm(at(now), id) },
                Op::Pass(ms) => now += ms,
            }
            for act in story.acts(now) {
                match act {
                    Act::Open(id) => live.push(id),
                    Act::Begin(id, _) => {
                        prop_assert!(open.contains(&id) && live.contains(&id));
                        let most = allowed.get(&id).copied().unwrap_or(usize::MAX).min(64);
                        prop_assert!(story.on(id.0) <= most);
                    }
                    Act::Close(id) => {
                        prop_assert_eq!(story.on(id.0), 0);
                        story.pool.over(at(now), id);
                        live.retain(|other| *other != id);
                    }
                    Act::Ping(_) | Act::GiveUp(_) => {}
                }
            }
            prop_assert!(story.pool.connections() <= live.len());
            prop_assert_eq!(called, story.pool.waiting() + story.out.len() + gone);
        }
    }
}
