//! Tests of the pool in virtual time: which connection carries which call, how fast new connections ramp up, and when
//! connections are closed.

use std::collections::{HashMap, HashSet};

use lockusher_http2::outcome::{
    CANCEL, ENHANCE_YOUR_CALM, REFUSED_STREAM, StreamEnd, StreamProgress, outcome,
};
use lockusher_http2::pool::{
    Action, CallEnd, CallId, ConnectionId, Limits, MAX_CALLS_PER_CONNECTION, Pool,
};
use lockusher_policy::interface::{Outcome, Span, Time};
use proptest::prelude::*;
use rstest::rstest;

fn limits() -> Limits {
    Limits {
        max_connections: 2,
        max_streams: 64,
        max_calls_per_connection: MAX_CALLS_PER_CONNECTION,
        max_queued_calls: 500,
        idle_timeout: Span::from_millis(10_000),
        max_connection_age: Span::from_millis(60_000),
        silent_after: Span::from_millis(500),
        max_resets_per_s: 10.0,
    }
}

fn at(ms: u64) -> Time {
    Time::from_micros((1_000_000 + ms) * 1_000)
}

/// A pool, and the connection of each call in flight.
struct PoolTest {
    pool: Pool,
    next_call: u64,
    in_flight: HashMap<CallId, ConnectionId>,
}

impl PoolTest {
    fn new(limits: Limits) -> Self {
        PoolTest {
            pool: Pool::new(limits),
            next_call: 0,
            in_flight: HashMap::new(),
        }
    }

    fn enqueue_calls(&mut self, count: usize) {
        for _ in 0..count {
            assert!(self.pool.enqueue(CallId(self.next_call)));
            self.next_call += 1;
        }
    }

    fn actions(&mut self, ms: u64) -> Vec<Action> {
        let actions = self.pool.due_actions(at(ms));
        for action in &actions {
            if let Action::StartCall(id, call) = action {
                assert!(
                    self.in_flight.insert(*call, *id).is_none(),
                    "a call is started once"
                );
            }
        }
        actions
    }

    fn in_flight_on(&self, id: u64) -> usize {
        self.in_flight
            .values()
            .filter(|on| **on == ConnectionId(id))
            .count()
    }

    /// Ends all calls on a connection in the given way.
    fn end_all_calls(&mut self, ms: u64, id: u64, end: CallEnd) {
        let calls: Vec<CallId> = self
            .in_flight
            .extract_if(|_, on| *on == ConnectionId(id))
            .map(|(call, _)| call)
            .collect();
        calls
            .into_iter()
            .for_each(|call| self.pool.call_ended(at(ms), ConnectionId(id), call, end));
    }
}

/// Hard case 5: calls queued for a connection don't start in a burst; the window doubles with each round that succeeds.
#[rstest]
fn a_new_connection_ramps_up_in_rounds() {
    let mut test = PoolTest::new(limits());
    test.enqueue_calls(200);
    assert_eq!(test.actions(0), [Action::Open(ConnectionId(0))]);
    assert_eq!(test.actions(1), [], "one connection is opened at a time");
    test.pool.connection_opened(at(2), ConnectionId(0));
    test.pool.set_max_streams(ConnectionId(0), 1_000);
    let mut rounds = Vec::new();
    while !rounds.ends_with(&[64, 64]) {
        test.actions(3);
        rounds.push(test.in_flight_on(0));
        test.end_all_calls(4, 0, CallEnd::Succeeded);
        assert!(rounds.len() < 20, "{rounds:?}");
    }
    assert_eq!(
        rounds,
        [4, 8, 16, 32, 64, 64],
        "and no second connection was opened for the queued calls"
    );
    test.enqueue_calls(20);
    test.actions(5);
    test.end_all_calls(6, 0, CallEnd::Refused);
    test.enqueue_calls(200);
    test.actions(7);
    assert!(test.in_flight_on(0) <= 4, "a refusal halves the window");
}

/// Hard case 4: a lowered stream limit applies to new calls; calls in flight may finish.
#[rstest]
fn a_lowered_stream_limit_applies_to_new_calls() {
    let mut test = PoolTest::new(Limits {
        max_connections: 1,
        ..limits()
    });
    test.enqueue_calls(10);
    test.actions(0);
    test.pool.connection_opened(at(1), ConnectionId(0));
    test.actions(1);
    assert_eq!(test.in_flight_on(0), 4);
    test.pool.set_max_streams(ConnectionId(0), 0);
    test.end_all_calls(2, 0, CallEnd::Succeeded);
    assert_eq!(test.actions(3), [], "no call may be started");
    test.pool.set_max_streams(ConnectionId(0), 1);
    test.actions(4);
    assert_eq!((test.in_flight_on(0), test.pool.queued()), (1, 5));
    test.pool.set_max_streams(ConnectionId(0), 100);
    test.actions(5);
    assert_eq!(test.pool.queued(), 0);
}

/// Hard case 11: a second connection is opened only if the first has reached the searcher's stream limit.
#[rstest]
#[case::many_streams_allowed(1_000, 1)]
#[case::few_streams_allowed(2, 2)]
fn a_second_connection_opens_only_when_the_first_is_at_its_limit(
    #[case] allowed: usize,
    #[case] connections: usize,
) {
    let mut test = PoolTest::new(limits());
    test.enqueue_calls(30);
    for round in 0..6 {
        for action in test.actions(round) {
            if let Action::Open(id) = action {
                test.pool.connection_opened(at(round), id);
                test.pool.set_max_streams(id, allowed);
            }
        }
    }
    assert_eq!(test.pool.connection_count(), connections);
    assert!(test.in_flight_on(0) <= allowed && test.in_flight_on(1) <= allowed);
}

/// Hard case 7: resets are limited in rate and burst.
#[rstest]
fn resets_are_rate_limited() {
    let mut test = PoolTest::new(limits());
    test.enqueue_calls(1);
    test.actions(0);
    let try_reset = |test: &mut PoolTest, ms| test.pool.try_reset(at(ms), ConnectionId(0));
    let burst = (0..100).filter(|_| try_reset(&mut test, 1)).count();
    let in_a_second: usize = (0..1_000).filter(|ms| try_reset(&mut test, 2 + ms)).count();
    assert_eq!((burst, in_a_second), (20, 10));
}

/// Hard case 8: a connection that receives nothing is pinged, then aborted; one beyond its maximum age is drained and
/// closed once its calls in flight have ended.
#[rstest]
fn unresponsive_and_old_connections_are_closed() {
    let mut test = PoolTest::new(limits());
    test.enqueue_calls(2);
    test.actions(0);
    test.pool.connection_opened(at(0), ConnectionId(0));
    test.actions(0);
    assert_eq!(test.pool.next_due(), Some(at(500)));
    assert_eq!(test.actions(500), [Action::Ping(ConnectionId(0))]);
    test.pool.bytes_received(at(600), ConnectionId(0));
    assert_eq!(test.actions(1_000), [], "the ping was answered");
    assert_eq!(test.actions(1_100), [Action::Ping(ConnectionId(0))]);
    assert_eq!(test.actions(1_600), [Action::Abort(ConnectionId(0))]);
    let (mut in_flight, unplaced) = test.pool.connection_closed(at(1_600), ConnectionId(0));
    in_flight.sort();
    assert_eq!((in_flight, unplaced), (vec![CallId(0), CallId(1)], vec![]));
    // The next connection reaches its maximum age.
    test.in_flight.clear();
    test.enqueue_calls(1);
    assert_eq!(test.actions(1_700), [Action::Open(ConnectionId(1))]);
    test.pool.connection_opened(at(1_700), ConnectionId(1));
    test.actions(1_700);
    test.pool.bytes_received(at(61_600), ConnectionId(1));
    test.enqueue_calls(1);
    let actions = test.actions(61_700);
    assert!(
        actions.contains(&Action::Open(ConnectionId(2)))
            && !actions.contains(&Action::Close(ConnectionId(1))),
        "{actions:?}"
    );
    test.end_all_calls(61_800, 1, CallEnd::Succeeded);
    assert!(
        test.actions(61_800)
            .contains(&Action::Close(ConnectionId(1)))
    );
}

/// Hard case 8: a connection is replaced before its stream ids are exhausted.
#[rstest]
fn a_connection_is_replaced_before_its_stream_ids_run_out() {
    let mut test = PoolTest::new(Limits {
        max_calls_per_connection: 6,
        ..limits()
    });
    let mut opened = Vec::new();
    for ms in 0..40 {
        test.enqueue_calls(1);
        for action in [test.actions(ms), test.actions(ms)].concat() {
            match action {
                Action::Open(id) => {
                    test.pool.connection_opened(at(ms), id);
                    opened.push(id);
                }
                Action::Close(id) => drop(test.pool.connection_closed(at(ms), id)),
                _ => {}
            }
        }
        for id in &opened {
            test.end_all_calls(ms, id.0, CallEnd::Succeeded);
        }
    }
    assert!((6..=8).contains(&opened.len()), "{opened:?}");
    assert!(test.pool.queued() <= 1);
}

/// Hard case 3: ENHANCE_YOUR_CALM starts a backoff that doubles each time; calls stay queued.
#[rstest]
fn enhance_your_calm_starts_a_growing_backoff() {
    let mut test = PoolTest::new(limits());
    let (mut ms, mut backoffs) = (0, Vec::new());
    test.enqueue_calls(1);
    for number in 0..8 {
        let backoff_start = ms;
        while !test
            .actions(ms)
            .contains(&Action::Open(ConnectionId(number)))
        {
            ms += 1;
        }
        backoffs.push(ms - backoff_start);
        test.pool.connection_opened(at(ms), ConnectionId(number));
        test.pool.back_off(at(ms), ConnectionId(number));
        test.pool.connection_closed(at(ms), ConnectionId(number));
    }
    assert_eq!(backoffs, [0, 100, 200, 400, 800, 1_600, 3_200, 5_000]);
    assert_eq!(test.pool.queued(), 1);
}

/// Hard case 10: a pool that is draining accepts no calls, and returns those that were queued.
#[rstest]
fn a_drained_pool_accepts_no_calls() {
    let mut test = PoolTest::new(limits());
    test.enqueue_calls(10);
    test.actions(0);
    test.pool.connection_opened(at(0), ConnectionId(0));
    test.actions(0);
    assert_eq!(test.pool.drain_all().len(), 6);
    assert!(!test.pool.enqueue(CallId(99)));
    assert_eq!(test.actions(1), []);
    test.end_all_calls(2, 0, CallEnd::Succeeded);
    assert_eq!(test.actions(2), [Action::Close(ConnectionId(0))]);
}

/// The outcome of each way that a stream can end.
#[rstest]
#[case::refused(StreamEnd::Reset(REFUSED_STREAM), true, false, Outcome::Overloaded)]
#[case::refused_after_an_answer(StreamEnd::Reset(REFUSED_STREAM), true, true, Outcome::Error)]
#[case::cancelled(StreamEnd::Reset(CANCEL), true, false, Outcome::Error)]
#[case::internal_error(StreamEnd::Reset(2), true, false, Outcome::Error)]
#[case::enhance_your_calm(StreamEnd::Reset(ENHANCE_YOUR_CALM), true, false, Outcome::Error)]
#[case::beyond_the_last_stream(StreamEnd::BeyondLastStream, true, false, Outcome::Overloaded)]
#[case::beyond_the_last_stream_yet_answered(
    StreamEnd::BeyondLastStream,
    true,
    true,
    Outcome::ConnectionLost
)]
#[case::incomplete_message(StreamEnd::Malformed, true, true, Outcome::Error)]
#[case::part_missing_from_the_response(StreamEnd::Complete, true, true, Outcome::Error)]
#[case::no_capacity(StreamEnd::Status(503), true, false, Outcome::Overloaded)]
#[case::another_status(StreamEnd::Status(500), true, false, Outcome::Error)]
#[case::connection_closed(StreamEnd::ConnectionClosed, true, false, Outcome::ConnectionLost)]
#[case::connection_closed_before_the_call_was_written(
    StreamEnd::ConnectionClosed,
    false,
    false,
    Outcome::NoConnection
)]
#[case::refused_before_the_call_was_written(
    StreamEnd::Reset(REFUSED_STREAM),
    false,
    false,
    Outcome::NoConnection
)]
#[case::unresponsive(StreamEnd::Unresponsive, true, false, Outcome::ConnectionStalled)]
#[case::abandoned(StreamEnd::Abandoned, true, false, Outcome::Cancelled)]
#[case::abandoned_before_the_call_was_written(StreamEnd::Abandoned, false, false, Outcome::NotSent)]
fn stream_ends_map_to_outcomes(
    #[case] end: StreamEnd,
    #[case] written: bool,
    #[case] answered: bool,
    #[case] expected: Outcome,
) {
    assert_eq!(outcome(end, StreamProgress { written, answered }), expected);
}

#[derive(Clone, Debug)]
enum Op {
    Call,
    ConnectionOpened(usize),
    SetMaxStreams(usize, usize),
    CallEnded(usize, u8),
    ConnectionClosed(usize),
    Drain(usize),
    BackOff(usize),
    AdvanceTime(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => Just(Op::Call),
        4 => (0..3_usize).prop_map(Op::ConnectionOpened),
        2 => (0..3_usize, 0..10_usize).prop_map(|(id, n)| Op::SetMaxStreams(id, n)),
        8 => (0..50_usize, 0..3_u8).prop_map(|(n, end)| Op::CallEnded(n, end)),
        1 => (0..3_usize).prop_map(Op::ConnectionClosed),
        1 => (0..3_usize).prop_map(Op::Drain),
        1 => (0..3_usize).prop_map(Op::BackOff),
        4 => (1..2_000_u64).prop_map(Op::AdvanceTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// In any sequence of events, a call is started at most once, on an open connection and within its stream limit;
    /// the pool never has more connections than it opened, and no call is lost.
    #[test]
    fn every_call_is_queued_in_flight_or_finished_once(ops in prop::collection::vec(op(), 1..300)) {
        let mut test = PoolTest::new(limits());
        let (mut now, mut open, mut allowed) = (0, HashSet::new(), HashMap::new());
        let mut pool_connections: Vec<ConnectionId> = Vec::new();
        let (mut enqueued, mut finished) = (0, 0);
        for op in ops {
            let pick_connection = |n: usize| (!pool_connections.is_empty()).then(|| pool_connections[n % pool_connections.len()]);
            match op {
                Op::Call => {
                    test.enqueue_calls(1);
                    enqueued += 1;
                }
                Op::ConnectionOpened(n) => if let Some(id) = pick_connection(n) {
                    test.pool.connection_opened(at(now), id);
                    open.insert(id);
                },
                Op::SetMaxStreams(n, streams) => if let Some(id) = pick_connection(n) {
                    test.pool.set_max_streams(id, streams);
                    allowed.insert(id, streams);
                },
                Op::CallEnded(n, end) => {
                    let mut in_flight: Vec<_> = test.in_flight.iter().map(|(call, id)| (*call, *id)).collect();
                    in_flight.sort();
                    if !in_flight.is_empty() {
                        let (call, id) = in_flight[n % in_flight.len()];
                        test.in_flight.remove(&call);
                        let end = [CallEnd::Succeeded, CallEnd::Failed, CallEnd::Refused][usize::from(end)];
                        test.pool.call_ended(at(now), id, call, end);
                        finished += 1;
                    }
                }
                Op::ConnectionClosed(n) => if let Some(id) = pick_connection(n) {
                    let (in_flight, unplaced) = test.pool.connection_closed(at(now), id);
                    for call in &in_flight {
                        prop_assert_eq!(test.in_flight.remove(call), Some(id));
                    }
                    finished += in_flight.len() + unplaced.len();
                    pool_connections.retain(|other| *other != id);
                },
                Op::Drain(n) => if let Some(id) = pick_connection(n) { test.pool.drain(id) },
                Op::BackOff(n) => if let Some(id) = pick_connection(n) { test.pool.back_off(at(now), id) },
                Op::AdvanceTime(ms) => now += ms,
            }
            for action in test.actions(now) {
                match action {
                    Action::Open(id) => pool_connections.push(id),
                    Action::StartCall(id, _) => {
                        prop_assert!(open.contains(&id) && pool_connections.contains(&id));
                        let max_streams = allowed.get(&id).copied().unwrap_or(usize::MAX).min(64);
                        prop_assert!(test.in_flight_on(id.0) <= max_streams);
                    }
                    Action::Close(id) => {
                        prop_assert_eq!(test.in_flight_on(id.0), 0);
                        test.pool.connection_closed(at(now), id);
                        pool_connections.retain(|other| *other != id);
                    }
                    Action::Ping(_) | Action::Abort(_) => {}
                }
            }
            prop_assert!(test.pool.connection_count() <= pool_connections.len());
            prop_assert_eq!(enqueued, test.pool.queued() + test.in_flight.len() + finished);
        }
    }
}
