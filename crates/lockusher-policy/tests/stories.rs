//! Regression tests of the decisions against one simulated host.

mod cold_fleet;
mod host;

use host::{Host, HostConfig, ms, part};
use lockusher_policy::interface::*;
use rstest::rstest;

#[test]
fn a_part_goes_to_the_replica_with_the_fewest_attempts_in_flight() {
    let mut host = Host::new(HostConfig::default());
    let first = host.request("m1", &[0]);
    let second = host.request("m2", &[0]);
    let third = host.request("m3", &[0]);
    let mut used =
        [host.first_searcher(first, 0), host.first_searcher(second, 0), host.first_searcher(third, 0)];
    used.sort();
    assert_eq!(used, ["a", "b", "c"]);
}

#[test]
fn a_slow_replica_loses_its_parts_to_fast_ones() {
    let mut host = Host::new(HostConfig::default());
    host.set_latency("a", ms(900));
    host.serve(60, &[0]);
    host.reset_counts();
    host.serve(30, &[0]);
    assert!(host.received("a") <= 3, "slow replica got {} of 30", host.received("a"));
}

#[test]
fn a_replica_that_fails_fast_does_not_look_fast() {
    let mut host = Host::new(HostConfig::default());
    host.set_latency("a", ms(2));
    host.set_outcome("a", Outcome::Error);
    host.serve(60, &[0]);
    host.reset_counts();
    host.serve(30, &[0]);
    assert!(host.received("a") <= 3, "failing replica got {} of 30", host.received("a"));
    assert_eq!(host.unanswered(), 0);
}

#[rstest]
#[case::refused(Outcome::NoConnection, 0)]
#[case::an_error(Outcome::Error, 1)]
fn a_refused_connection_weighs_more_than_an_error(#[case] outcome: Outcome, #[case] tried: usize) {
    let mut host = Host::new(HostConfig::default());
    host.serve(12, &[0]);
    host.set_outcome("a", outcome);
    while host.retries() == 0 {
        host.serve(1, &[0]);
    }
    host.reset_counts();
    let requested = (0..6).map(|i| host.request(&format!("at once {i}"), &[0])).count();
    assert_eq!((requested, host.received("a").min(1)), (6, tried));
}

#[test]
fn a_replica_that_drops_parts_is_avoided_while_they_age() {
    let mut host = Host::new(HostConfig::default());
    host.serve(20, &[0]);
    host.drop_parts("a");
    host.reset_counts();
    host.serve(40, &[0]);
    assert!(host.received("a") <= 4, "replica that drops parts got {} of 40", host.received("a"));
}

#[test]
fn a_formerly_slow_replica_is_tried_again_after_a_while() {
    let mut host = Host::new(HostConfig::default());
    host.set_latency("a", ms(900));
    host.serve(60, &[0]);
    host.set_latency("a", ms(100));
    host.advance(ms(100_000));
    host.reset_counts();
    host.serve(60, &[0]);
    assert!(host.received("a") >= 10, "recovered replica got {} of 60", host.received("a"));
}

#[test]
fn one_dead_searcher_does_not_cause_rejections() {
    let mut host = Host::new(HostConfig::default());
    host.serve(20, &[0, 1, 2]);
    host.drop_parts("a");
    host.serve(60, &[0, 1, 2]);
    assert!(host.pushed_back() <= 1, "{} pushed back", host.pushed_back());
}

#[test]
fn a_large_work_hint_is_not_mistaken_for_overload() {
    let mut host = Host::new(HostConfig { value_is_per_work: true, ..HostConfig::default() });
    host.serve_hinted(40, &[0, 1], Some(ms(100)));
    let heavy = host.request_with("heavy", &[0, 1], ms(3_000), Some(ms(600)));
    assert_eq!(host.reply(heavy), None);
    assert!(host.attempts(heavy).iter().all(|n| *n == 1));
}

#[test]
fn a_multiget_that_cannot_be_in_time_is_rejected_at_once_with_a_retry_delay() {
    let mut host = Host::new(HostConfig::default());
    ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(1_400)));
    let accepted: Vec<_> = (0..60).map(|i| host.request(&format!("m{i}"), &[0, 1, 2])).collect();
    host.advance(ms(1_450));
    let late = host.request("late", &[0, 1, 2]);
    let later = host.request("later", &[0, 1, 2]);
    assert!(accepted.iter().any(|&mg| host.reply(mg).is_some()));
    let rejected = [late, later].iter().any(|&mg| {
        matches!(host.reply(mg), Some(Reply::PushedBack { retry_after: Some(span) }) if span > Span::ZERO)
    });
    assert!(rejected);
}

#[test]
fn idle_replicas_do_not_keep_admission_open_while_most_admitted_multigets_miss_their_target() {
    let mut host = Host::new(HostConfig::default());
    host.serve(5, &[0, 1, 2]);
    ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(1_600)));
    let accepted = (0..60).map(|i| host.request(&format!("m{i}"), &[0, 1, 2])).count();
    host.advance(ms(1_700));
    let idle_again = host.request("next", &[0]);
    assert!(matches!(host.reply(idle_again), Some(Reply::PushedBack { .. })));
    host.advance(ms(20_000));
    let much_later = host.request("much later", &[0]);
    assert_eq!((host.attempts(much_later), accepted), (vec![1], 60));
}

/// Guards against admission that stays closed. After a lost zone was back, 60 mixers rejected nearly all
/// requests for ten seconds without sending any, based on old latencies of idle replicas. Old latencies must
/// fade; if the fleet is still slow, the few admitted multigets show it and rejection resumes.
#[rstest]
#[case::recovered(true)]
#[case::still_slow(false)]
fn admission_resumes_from_idle_replicas_as_their_averages_age(#[case] recovered: bool) {
    let mut host = Host::new(HostConfig::default());
    host.serve(5, &[0, 1, 2]);
    ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(1_600)));
    (0..60).for_each(|i| _ = host.request(&format!("m{i}"), &[0, 1, 2]));
    host.advance(ms(1_700));
    if recovered {
        ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(5)));
    }
    let mut admitted = Vec::new();
    for i in 0..40 {
        let mg = host.request(&format!("after {i}"), &[0, 1, 2]);
        admitted.push(host.attempts(mg).iter().any(|&sends| sends > 0));
        host.advance(ms(250));
    }
    // Within ten seconds, far less than the half-life of averages (20 s), a recovered fleet serves again; the
    // last attempts, of 1.6 s, timed out some 6 s before. A slow fleet gets a few attempts to measure it.
    // Without the fading, none of 40 was admitted.
    let count = admitted.iter().filter(|&&sent| sent).count();
    let all_admitted = admitted[36..].iter().all(|&sent| sent);
    assert!(
        if recovered { all_admitted } else { (1..=8).contains(&count) },
        "{count} of 40 admitted: {admitted:?}"
    );
}

#[test]
fn misses_stop_admission_even_at_one_multiget_in_two_seconds() {
    let mut host = Host::new(HostConfig::default());
    host.serve(5, &[0, 1, 2]);
    ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(1_600)));
    for i in 0..6 {
        host.request(&format!("missed {i}"), &[0, 1, 2]);
        host.advance(ms(1_700));
    }
    let next = host.request("next", &[0, 1, 2]);
    assert!(matches!(host.reply(next), Some(Reply::PushedBack { .. })), "{:?}", host.reply(next));
}

#[test]
fn more_parts_need_more_time_left_for_the_slowest() {
    let mut host = Host::new(HostConfig { value_is_per_work: true, ..HostConfig::default() });
    ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(700)));
    host.serve(40, &[0]);
    host.advance(ms(2_000));
    let busy = host.request("busy", &[0, 1, 2]);
    let few = host.request("few", &[0, 1, 2, 3]);
    let many = host.request("many", &(0..60).collect::<Vec<_>>());
    assert_eq!((host.reply(busy), host.reply(few)), (None, None));
    assert!(matches!(host.reply(many), Some(Reply::PushedBack { .. })), "{:?}", host.reply(many));
}

#[test]
fn a_zone_behind_a_slow_path_is_avoided_after_a_few_attempts() {
    let mut host =
        Host::new(HostConfig { searchers: &["a", "b", "c", "d", "e", "f"], ..HostConfig::default() });
    host.serve(10, &[0, 1, 2, 3, 4, 5]);
    ["d", "e", "f"].iter().for_each(|id| host.set_latency(id, ms(1_000)));
    host.serve(10, &[0, 1, 2, 3, 4, 5]);
    host.reset_counts();
    host.serve(20, &[0, 1, 2, 3, 4, 5]);
    let slow_zone: usize = ["d", "e", "f"].iter().map(|id| host.received(id)).sum();
    assert!(slow_zone <= 6, "{slow_zone} of 120 parts went over the slow path");
}

/// A zone with a slow path was avoided even when all others had full queues of own parts.
#[test]
fn a_zone_behind_a_slow_path_is_used_once_the_others_have_full_queues() {
    let mut host =
        Host::new(HostConfig { searchers: &["a", "b", "c", "d", "e", "f"], ..HostConfig::default() });
    host.serve(10, &[0, 1, 2, 3, 4, 5]);
    ["d", "e", "f"].iter().for_each(|id| host.set_latency(id, ms(400)));
    host.serve(30, &[0, 1, 2, 3, 4, 5]);
    host.reset_counts();
    host.request("many", &(0..60).collect::<Vec<_>>());
    let slow_zone: usize = ["d", "e", "f"].iter().map(|id| host.received(id)).sum();
    assert!((3..30).contains(&slow_zone), "{slow_zone} of 60 parts went over the slow path");
}

/// Three of four searchers in a zone were slow; the fourth, fast and idle, was avoided with them for seconds.
#[test]
fn a_zone_with_one_fast_searcher_is_not_behind_a_slow_path() {
    let searchers = &["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut host = Host::new(HostConfig { searchers, zone_size: 4, ..HostConfig::default() });
    host.serve(10, &[0, 1, 2, 3, 4, 5]);
    ["f", "g", "h"].iter().for_each(|id| host.set_latency(id, ms(1_000)));
    host.serve(10, &[0, 1, 2, 3, 4, 5]);
    host.reset_counts();
    host.serve(20, &[0, 1, 2, 3, 4, 5]);
    assert!(host.received("e") > 10, "{} of 120 parts went to it", host.received("e"));
}

#[rstest]
#[case::dropped(Some(ms(1_000)))]
#[case::kept(None)]
fn idle_connections_are_replaced_only_where_they_are_silently_dropped(#[case] idle_timeout: Option<Span>) {
    let mut host = Host::new(HostConfig::default());
    host.set_idle_timeout(idle_timeout);
    host.serve_with_gaps(20, ms(3_000), &[0, 1, 2]);
    let before = host.unanswered();
    host.serve_with_gaps(20, ms(3_000), &[0, 1, 2]);
    let lost = host.unanswered() - before;
    assert!(
        lost <= 3,
        "{lost} of 20 lost after detection; a few attempts check whether connections are still dropped"
    );
    assert_eq!(host.connections_opened() > 0, idle_timeout.is_some());
}

#[test]
fn one_sample_after_many_seconds_is_enough_to_avoid_a_slow_replica() {
    let mut host = Host::new(HostConfig::default());
    host.serve_with_gaps(12, ms(3_000), &[0]);
    host.set_latency("a", ms(1_200));
    host.serve_with_gaps(4, ms(3_000), &[0]);
    host.reset_counts();
    host.serve_with_gaps(9, ms(3_000), &[0]);
    assert!(host.received("a") <= 1, "slow replica got {} of 9", host.received("a"));
}

#[test]
fn a_multiget_whose_shard_has_no_holder_is_rejected_at_once() {
    let mut host = Host::new(HostConfig::default());
    for id in ["a", "b", "c"] {
        host.list_state(id, SearcherState::Gone);
    }
    let mg = host.request("m", &[0]);
    assert!(matches!(host.reply(mg), Some(Reply::PushedBack { .. })));
}

#[rstest]
#[case::draining(SearcherState::Draining)]
#[case::gone(SearcherState::Gone)]
fn no_new_part_goes_to_a_searcher_that_leaves(#[case] state: SearcherState) {
    let mut host = Host::new(HostConfig::default());
    host.serve(12, &[0]);
    host.list_state("a", state);
    host.reset_counts();
    host.serve(20, &[0]);
    assert_eq!(host.received("a"), 0);
}

#[test]
fn a_searcher_missing_from_a_complete_list_gets_no_parts() {
    let mut host = Host::new(HostConfig::default());
    host.list_exactly(&["b", "c"]);
    host.serve(20, &[0]);
    assert_eq!(host.received("a"), 0);
}

#[test]
fn a_restarted_searcher_gets_its_parts_spread_out() {
    let mut host = Host::new(HostConfig::default());
    host.serve(40, &[0]);
    host.list_restart("a");
    host.list_state("b", SearcherState::Draining);
    host.list_state("c", SearcherState::Draining);
    host.reset_counts();
    let waiting: Vec<_> = (0..8).map(|i| host.request(&format!("m{i}"), &[0])).collect();
    host.advance(ms(1_400));
    // At a capacity of 0.2 to 0.3 of ten parts per second, the overload multiple of 2 allows seven.
    assert!((2..=7).contains(&host.received("a")), "{} parts in 1.4 s", host.received("a"));
    assert!(
        host.gaps_between_parts("a").iter().all(|gap| *gap > ms(150)),
        "{:?}",
        host.gaps_between_parts("a")
    );
    assert!(waiting.iter().any(|&mg| host.attempts(mg) == [0]));
}

#[test]
fn many_mixers_without_a_known_rate_do_not_overload_a_searcher_in_slow_start() {
    let mut host = Host::new(HostConfig { mixers: 60, ..HostConfig::default() });
    host.list_restart("a");
    host.list_state("b", SearcherState::Draining);
    host.list_state("c", SearcherState::Draining);
    let accepted: Vec<_> = (0..8).map(|i| host.request(&format!("m{i}"), &[0])).collect();
    host.advance(ms(1_400));
    assert!(accepted.iter().all(|&mg| host.attempts(mg)[0] <= 1));
    assert!(host.received("a") <= 1, "{} parts in 1.4 s from one of sixty", host.received("a"));
}

#[test]
fn a_searcher_that_answers_after_an_outage_enters_slow_start_before_it_is_listed_so() {
    let mut host = Host::new(HostConfig::default());
    host.serve(20, &[0]);
    host.set_outcome("a", Outcome::NoConnection);
    host.serve(120, &[0]);
    host.set_outcome("a", Outcome::Returned);
    host.advance(ms(30_000));
    host.serve(30, &[0]);
    host.reset_counts();
    host.serve(30, &[0]);
    assert!(host.received("a") < 10, "{} of 30 soon after its restart", host.received("a"));
}

#[rstest]
#[case::deduped(Idempotency::Deduped(ms(400)), Outcome::Error, 2)]
#[case::non_retriable(Idempotency::NonRetriable, Outcome::Error, 1)]
#[case::non_retriable_not_executed(Idempotency::NonRetriable, Outcome::Overloaded, 2)]
fn a_part_is_retried_only_if_that_is_harmless(
    #[case] idempotency: Idempotency,
    #[case] outcome: Outcome,
    #[case] sends: usize,
) {
    let mut host = Host::new(HostConfig { idempotency, ..HostConfig::default() });
    let mg = host.request("m", &[0]);
    host.advance(ms(5));
    host.end_last_attempt(mg, 0, outcome);
    assert_eq!(host.attempts(mg), [sends]);
}

#[rstest]
#[case::may_have_executed(Outcome::Error, Reply::Failed)]
#[case::not_executed(Outcome::NoConnection, Reply::PushedBack { retry_after: None })]
fn a_non_retriable_multiget_is_rejected_only_if_nothing_was_executed(
    #[case] outcome: Outcome,
    #[case] reply: Reply,
) {
    let config = HostConfig {
        idempotency: Idempotency::NonRetriable,
        max_attempts: 1,
        retry_after: None,
        ..HostConfig::default()
    };
    let mut host = Host::new(config);
    let mg = host.request("m", &[0]);
    host.advance(ms(5));
    host.end_last_attempt(mg, 0, outcome);
    assert_eq!(host.reply(mg), Some(reply));
}

#[test]
fn a_deduplicated_part_that_may_have_been_executed_is_not_retried_past_its_window() {
    let config =
        HostConfig { idempotency: Idempotency::Deduped(ms(400)), may_hedge: false, ..HostConfig::default() };
    let mut host = Host::new(config);
    host.drop_all_parts();
    let mg = host.request("m", &[0]);
    host.advance(ms(500));
    host.end_last_attempt(mg, 0, Outcome::ConnectionLost);
    assert_eq!(host.attempts(mg), [1]);
    assert_eq!(host.reply(mg), Some(Reply::Failed));
}

#[test]
fn retries_stay_within_the_configured_limit() {
    let retry_limit = RetryLimit { base: 2.0, ratio: 0.1, window: ms(10_000) };
    let mut host = Host::new(HostConfig { retry_limit: Some(retry_limit), ..HostConfig::default() });
    for id in ["a", "b", "c"] {
        host.set_outcome(id, Outcome::Error);
        host.set_latency(id, ms(10));
    }
    host.serve(30, &[0]);
    // Thirty multigets with one part each: sixty arrivals.
    assert!(host.retries() as f64 <= 2.0 + 0.1 * 60.0, "{} retries", host.retries());
    assert!(host.retries() > 0);
}

#[test]
fn retries_decrease_when_none_succeeds() {
    let mut host = Host::new(HostConfig::default());
    for id in ["a", "b", "c"] {
        host.set_outcome(id, Outcome::Error);
    }
    host.serve(100, &[0]);
    let before = host.retries();
    host.serve(100, &[0]);
    assert!(host.retries() - before <= 10, "{} retries in 100 multigets", host.retries() - before);
}

#[test]
fn without_hedging_the_stuck_attempt_is_cancelled_first() {
    let mut host = Host::new(HostConfig { may_hedge: false, ..HostConfig::default() });
    host.serve(30, &[0]);
    host.drop_all_parts();
    let mg = host.request("m", &[0]);
    host.advance(ms(1_400));
    assert!(host.cancelled(mg) >= 1);
    assert_eq!(host.max_in_flight(mg), 1);
}

#[test]
fn a_part_is_retried_sooner_if_its_searcher_has_been_silent_since() {
    let steps_until_retry = |others: &[usize]| {
        let mut host = Host::new(HostConfig::default());
        host.set_latency("b", ms(60));
        host.set_latency("c", ms(20));
        host.serve(60, &[0, 1, 2]);
        host.drop_parts_of_shard(9);
        let mg = host.request("m", &[9]);
        others.iter().for_each(|shard| assert!(host.request(&format!("other {shard}"), &[*shard]) != mg));
        (1..).find(|_| {
            host.advance(ms(10));
            host.attempts(mg) != [1]
        })
    };
    let (silent, heard) = (steps_until_retry(&[]), steps_until_retry(&[0, 1, 2, 3, 4, 5]));
    assert!(silent < heard, "{silent:?}, {heard:?} steps");
}

#[test]
fn a_hedged_attempt_goes_to_another_replica_and_the_part_counts_once() {
    let mut host = Host::new(HostConfig { max_attempts: 2, ..HostConfig::default() });
    host.serve(30, &[0]);
    host.drop_all_parts();
    let mg = host.request("m", &[0]);
    host.advance(ms(1_300));
    assert_eq!(host.attempts(mg), [2]);
    host.end_last_attempt(mg, 0, Outcome::Returned);
    assert_eq!(host.reply(mg), Some(Reply::Answered { complete: true }));
}

#[rstest]
#[case::enough(0.7, Some(Reply::Answered { complete: false }))]
#[case::too_little(0.8, Some(Reply::PushedBack { retry_after: None }))]
fn at_the_latency_target_a_partial_answer_needs_its_minimum_share(
    #[case] min_share: f64,
    #[case] reply: Option<Reply>,
) {
    let mut host = Host::new(HostConfig { min_share, retry_after: None, ..HostConfig::default() });
    host.drop_parts_of_shard(3);
    let mg = host.request("m", &[0, 1, 2, 3]);
    host.advance(ms(700));
    assert_eq!(host.reply(mg), None);
    host.advance(ms(900));
    assert_eq!(host.reply(mg), reply);
}

#[test]
fn a_first_step_ends_early_enough_for_the_second_where_parts_queue() {
    let mut host = Host::new(HostConfig { second_step: 2, min_share: 0.7, ..HostConfig::default() });
    ["a", "b", "c"].iter().for_each(|id| host.set_latency(id, ms(400)));
    host.serve(20, &[0]);
    host.drop_parts_of_shard(3);
    let mg = host.request("m", &[0, 1, 2, 3]);
    host.advance(ms(900));
    assert_eq!(host.reply(mg), Some(Reply::Answered { complete: false }));
}

#[test]
fn the_second_step_is_complete_only_if_the_first_was_and_all_its_parts_are_answered() {
    let mut host = Host::new(HostConfig { second_step: 2, ..HostConfig::default() });
    let mg = host.request("m", &[0, 1]);
    host.advance(ms(150));
    assert_eq!(host.reply(mg), Some(Reply::Answered { complete: true }));
    host.add_second_step(mg, &[part(0, 0.5), part(1, 0.5)]);
    assert_eq!(host.reply_count(mg), 1);
    host.advance(ms(250));
    assert_eq!((host.reply_count(mg), host.reply(mg)), (2, Some(Reply::Answered { complete: true })));
}

/// The route timeout is 3 s: if first tries fail, a client with a timeout of 0.9 s has waited for 2.1 s, past
/// the latency target; otherwise it is a first try with a short timeout. An idle fleet once rejected the half
/// of its clients that set a shorter timeout.
#[rstest]
#[case::first_tries_fail(true)]
#[case::first_tries_succeed(false)]
fn a_retry_is_recognized_by_its_timeout(#[case] first_tries_fail: bool) {
    let mut host = Host::new(HostConfig::default());
    host.serve(10, &[0]);
    if first_tries_fail {
        host.drop_parts_of_shard(1);
        host.serve(20, &[1]);
    }
    let mg = host.request_with("m", &[0], ms(900), None);
    host.advance(ms(500));
    let pushed_back = matches!(host.reply(mg), Some(Reply::PushedBack { .. }));
    assert_eq!((pushed_back, host.attempts(mg)[0]), if first_tries_fail { (true, 0) } else { (false, 1) });
}

#[test]
fn every_multiget_gets_one_final_reply_in_time_when_no_searcher_answers() {
    let mut host = Host::new(HostConfig { late_value: 0.3, ..HostConfig::default() });
    host.drop_all_parts();
    let accepted: Vec<_> = (0..10).map(|i| host.request(&format!("m{i}"), &[0, 1, 2])).collect();
    host.advance(ms(3_000));
    assert!(accepted.iter().all(|&mg| host.reply_count(mg) == 1));
}

#[test]
fn discovery_is_called_at_the_start_and_again_after_failures_with_backoff() {
    let mut host = Host::new(HostConfig { poll_interval: Some(ms(10_000)), ..HostConfig::default() });
    assert_eq!(host.discovery_calls(), 1);
    for _ in 0..6 {
        host.fail_discovery();
        host.advance(ms(3_800));
    }
    assert_eq!(host.discovery_calls(), 7);
    host.list_exactly(&["a", "b", "c"]);
    host.advance(ms(60_000));
    assert_eq!(host.discovery_calls(), 7);
}

#[test]
fn the_multiget_with_the_highest_value_per_work_is_due_first() {
    let mut host = Host::new(HostConfig::default());
    assert_eq!(host.due_order(&[("wide", &[0, 1, 2, 3, 4]), ("narrow", &[0])]), ["narrow", "wide"]);
}

#[test]
fn the_same_events_lead_to_the_same_decisions() {
    // A trace draws from a copy of the random generator, as it does for the log lines on rejections.
    let run = |traces_admission| {
        let mut host = Host::new(HostConfig::default());
        host.traces_admission = traces_admission;
        host.set_outcome("b", Outcome::Overloaded);
        host.serve(50, &[0, 1, 2]);
        host.trace()
    };
    assert_eq!(run(false), run(false));
    assert_eq!(run(false), run(true));
}

#[rstest]
#[case::newer_than_the_last_outcome(ms(0), 0)]
#[case::older_than_the_last_outcome(ms(60_000), 1)]
fn reported_health_applies_until_this_mixer_has_a_newer_outcome(#[case] ago: Span, #[case] tried: usize) {
    let mut host = Host::new(HostConfig::default());
    host.serve(30, &[0]);
    host.report_health(&[("a", 0.05, 1.0, ago)]);
    host.reset_counts();
    let requested = (0..6).map(|nth| host.request(&format!("at once {nth}"), &[0])).count();
    assert_eq!((requested, host.received("a").min(1)), (6, tried));
}

#[test]
fn reported_health_fades_unless_it_is_repeated() {
    let mut host = Host::new(HostConfig::default());
    host.serve(30, &[0]);
    host.report_health(&[("a", 0.05, 1.0, ms(0))]);
    host.reset_counts();
    host.advance(ms(12_000));
    for nth in 0..6 {
        host.request(&format!("later {nth}"), &[0]);
    }
    assert!(host.received("a") > 0, "it is tried although no mixer has reported its recovery");
}

#[test]
fn the_last_holder_is_used_whatever_health_is_reported() {
    let mut host = Host::new(HostConfig { searchers: &["a", "b", "c", "d"], ..HostConfig::default() });
    host.serve(30, &[0]);
    // Two of four are the most that may be reported. Each shard keeps at least one other holder.
    host.report_health(&[("a", 0.05, 1.0, ms(0)), ("b", 0.05, 1.0, ms(0))]);
    host.list_exactly(&["a", "b"]);
    host.report_health(&[("a", 0.05, 1.0, ms(0))]);
    host.reset_counts();
    for nth in 0..4 {
        host.request(&format!("m{nth}"), &[0]);
    }
    assert_eq!(host.received("a"), 0, "another searcher holds the shard too");
    host.list_exactly(&["a"]);
    host.report_health(&[("a", 0.05, 1.0, ms(0))]);
    host.reset_counts();
    host.serve(4, &[0]);
    assert_eq!((host.received("a"), host.unanswered()), (4, 0));
}

#[test]
fn reports_are_ignored_if_most_searchers_are_reported_unhealthy() {
    let mut host = Host::new(HostConfig::default());
    host.serve(30, &[0]);
    host.report_health(&[("a", 0.05, 1.0, ms(0)), ("b", 0.05, 1.0, ms(0))]);
    host.reset_counts();
    for nth in 0..6 {
        host.request(&format!("at once {nth}"), &[0]);
    }
    assert_eq!([host.received("a"), host.received("b"), host.received("c")], [2, 2, 2]);
}

#[test]
fn a_mixer_with_a_warm_start_does_not_begin_with_the_slow_searcher() {
    let mut host = Host::new(HostConfig::default());
    host.set_latency("b", ms(900));
    host.warm_start(&[("a", 0.1), ("b", 0.9), ("c", 0.1)]);
    for nth in 0..2 {
        host.request(&format!("m{nth}"), &[0]);
    }
    assert_eq!(host.received("b"), 0);
}

#[test]
fn retries_stay_within_the_share_of_the_fleets_budget() {
    let retries = |share: Option<f64>| {
        let mut host = Host::new(HostConfig::default());
        share.into_iter().for_each(|share| host.set_share(Budget::Retries, share));
        host.set_outcome("a", Outcome::Error);
        for nth in 0..40 {
            host.request(&format!("m{nth}"), &[0]);
        }
        host.advance(ms(400));
        host.retries()
    };
    assert_eq!(retries(Some(0.5)), 0, "half a second's share is less than one token");
    assert!(retries(None) > 2);
}
