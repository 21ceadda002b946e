//! Pacing, paging and back-off of polls of the platform's list.

mod support;

use std::collections::BTreeMap;

use lockusher_config::instances::Instance;
use lockusher_config::instances_reader::InstancePage;
use lockusher_distribution::instance_list_poller::{
    InstanceListPoll, InstanceListPoller, PollerStep,
};
use support::{draining, instance, warming_up};
use yare::parameterized;

fn page(instances: &[Instance], next_token: Option<&str>) -> InstancePage {
    InstancePage {
        instances: instances.to_vec(),
        next_token: next_token.map(str::to_owned),
        skipped: vec![],
    }
}

/// Advances the time by the poller's waits and returns the time and path of its next call.
fn next_call(poller: &mut InstanceListPoller, mut now_ms: u64) -> (u64, String) {
    loop {
        match poller.next_step(now_ms) {
            PollerStep::Wait { until_ms } => now_ms = until_ms,
            PollerStep::Call { path } => return (now_ms, path),
        }
    }
}

/// Runs one poll that finds `pages`.
fn poll(
    poller: &mut InstanceListPoller,
    now_ms: &mut u64,
    pages: &[&[Instance]],
) -> InstanceListPoll {
    for (number, instances) in pages.iter().enumerate() {
        let (at_ms, _) = next_call(poller, *now_ms);
        *now_ms = at_ms;
        let token = format!("p-{number}");
        let last = number + 1 == pages.len();
        let page = page(instances, (!last).then_some(token.as_str()));
        if let Some(poll) = poller.receive_page(at_ms, page) {
            return poll;
        }
    }
    panic!("the poll isn't complete");
}

fn sole_poller() -> InstanceListPoller {
    let mut poller = InstanceListPoller::sole(40.0, 3_000, 1);
    poller.start(0);
    poller
}

fn identifiers(poll: &InstanceListPoll) -> Vec<&str> {
    poll.instances
        .iter()
        .map(|instance| instance.identifier.as_str())
        .collect()
}

#[test]
fn pages_are_followed_to_the_last_and_assembled_in_order() {
    let mut poller = sole_poller();

    assert_eq!(next_call(&mut poller, 5), (5, "/instances".to_owned()));
    assert_eq!(
        poller.receive_page(6, page(&[instance("c")], Some("p 1/2"))),
        None
    );
    let (at_ms, path) = next_call(&mut poller, 6);
    assert_eq!(path, "/instances?pageToken=p%201%2F2");
    let poll = poller.receive_page(at_ms, page(&[instance("a"), instance("b")], None));

    let poll = poll.expect("a full list");
    assert_eq!(identifiers(&poll), ["a", "b", "c"]);
    assert_eq!((poll.started_at_ms, poll.calls, poll.changed), (5, 2, true));
}

#[test]
fn an_unchanged_list_is_reported_as_such_and_polled_again_after_the_interval() {
    let mut poller = sole_poller();
    let mut now_ms = 0;

    let first = poll(&mut poller, &mut now_ms, &[&[instance("a")]]);
    let second = poll(&mut poller, &mut now_ms, &[&[instance("a")]]);
    let third = poll(&mut poller, &mut now_ms, &[&[draining("a")]]);

    assert_eq!((first.changed, second.changed), (true, false));
    assert_eq!((first.started_at_ms, second.started_at_ms), (0, 1_000));
    assert!(third.changed);
}

#[test]
fn a_decreasing_warm_up_time_is_no_change_until_it_is_zero() {
    let mut poller = sole_poller();
    let mut now_ms = 0;

    let changed = [5_000, 4_000, 900, 0, 0, 700].map(|remaining_ms| {
        poll(
            &mut poller,
            &mut now_ms,
            &[&[warming_up("a", remaining_ms)]],
        )
        .changed
    });

    assert_eq!(changed, [true, false, false, true, false, true]);
}

/// The list may change between two page requests, so that an entry is on neither page.
#[test]
fn a_searcher_missing_from_one_poll_of_several_pages_is_retained_until_the_next() {
    let mut poller = sole_poller();
    let mut now_ms = 0;
    poll(
        &mut poller,
        &mut now_ms,
        &[&[instance("a"), instance("b")], &[instance("c")]],
    );

    let missing = poll(&mut poller, &mut now_ms, &[&[instance("b")], &[]]);
    assert_eq!(identifiers(&missing), ["a", "b", "c"]);
    let next_call_at_ms = next_call(&mut poller, now_ms).0;
    assert!(next_call_at_ms <= now_ms + 100, "confirmed soon");

    let confirmed = poll(
        &mut poller,
        &mut now_ms,
        &[&[instance("a"), instance("b")], &[]],
    );
    assert_eq!(identifiers(&confirmed), ["a", "b"]);
}

#[test]
fn a_draining_searcher_that_is_missing_is_removed_immediately() {
    let mut poller = sole_poller();
    let mut now_ms = 0;
    poll(
        &mut poller,
        &mut now_ms,
        &[&[draining("a"), instance("b")], &[instance("c")]],
    );

    let poll = poll(
        &mut poller,
        &mut now_ms,
        &[&[instance("b")], &[instance("c")]],
    );

    assert_eq!(identifiers(&poll), ["b", "c"]);
}

#[test]
fn an_entry_listed_twice_counts_as_draining_if_either_is() {
    let mut poller = sole_poller();

    let poll = poll(&mut poller, &mut 0, &[&[draining("a")], &[instance("a")]]);

    assert_eq!(*poll.instances, [draining("a")]);
}

#[test]
fn a_rejected_call_is_retried_after_growing_back_offs() {
    let mut poller = sole_poller();
    let mut now_ms = next_call(&mut poller, 0).0;
    poller.receive_page(now_ms, page(&[instance("a")], Some("p-1")));

    let mut back_offs_ms = Vec::new();
    for _ in 0..8 {
        let (at_ms, _) = next_call(&mut poller, now_ms);
        poller.back_off(at_ms);
        let (retry_at_ms, _) = next_call(&mut poller, at_ms);
        back_offs_ms.push(retry_at_ms - at_ms);
        now_ms = retry_at_ms;
    }

    assert!(back_offs_ms[0] <= 500, "{back_offs_ms:?}");
    assert!(back_offs_ms[7] >= 4_000, "{back_offs_ms:?}");
    assert!(
        back_offs_ms.iter().all(|back_off_ms| *back_off_ms <= 8_000),
        "{back_offs_ms:?}"
    );
    assert_eq!(
        next_call(&mut poller, now_ms).1,
        "/instances",
        "a poll that takes too long is restarted"
    );
}

#[test]
fn a_page_token_that_has_expired_restarts_the_poll() {
    let mut poller = sole_poller();
    poller.next_step(0);
    poller.receive_page(0, page(&[instance("a")], Some("p-1")));
    next_call(&mut poller, 0);

    poller.restart(10);

    assert_eq!(next_call(&mut poller, 10).1, "/instances");
}

#[test]
fn a_poller_that_is_stopped_makes_no_call() {
    let mut poller = sole_poller();

    poller.stop();
    assert_eq!(
        poller.next_step(1_000_000),
        PollerStep::Wait { until_ms: u64::MAX }
    );

    poller.start(1_000_000);
    assert_eq!(next_call(&mut poller, 1_000_000).0, 1_000_000);
}

/// Returns the number of calls of all concurrent pollers in each second.
fn calls_by_second(pollers: u32, pages: u32, rate_per_s: f64, seconds: u64) -> BTreeMap<u64, u32> {
    let mut calls = BTreeMap::new();
    for number in 0..pollers {
        let mut poller = InstanceListPoller::concurrent(rate_per_s, 3_000, u64::from(number));
        poller.set_concurrent_pollers(pollers);
        poller.set_calls_per_poll(pages);
        poller.start(0);
        let mut now_ms = 0;
        let mut calls_made = 0;
        while now_ms < seconds * 1_000 {
            now_ms = next_call(&mut poller, now_ms).0;
            *calls.entry(now_ms / 1_000).or_default() += 1;
            calls_made += 1;
            let token = (calls_made % pages != 0).then_some("p");
            poller.receive_page(now_ms, page(&[instance("a")], token));
        }
    }
    calls.retain(|second, _| *second < seconds);
    calls
}

#[parameterized(
    target = { 400, 17, 40.0 },
    target_with_one_page = { 400, 1, 40.0 },
    hundred = { 100, 6, 20.0 },
    tiny = { 6, 1, 40.0 },
    tiny_and_slow = { 4, 2, 3.0 },
)]
fn concurrent_pollers_stay_under_the_rate(pollers: u32, pages: u32, rate_per_s: f64) {
    let seconds = 600;

    let calls = calls_by_second(pollers, pages, rate_per_s, seconds);

    let total: u32 = calls.values().sum();
    let mean = f64::from(total) / seconds as f64;
    assert!(mean <= 0.6 * rate_per_s, "{mean} calls a second on average");
    let seconds_over_rate = calls
        .values()
        .filter(|count| f64::from(**count) > rate_per_s)
        .count();
    assert!(
        seconds_over_rate as f64 <= 0.03 * seconds as f64,
        "{seconds_over_rate} seconds over the rate"
    );
    assert!(
        mean >= 0.3 * rate_per_s || f64::from(pollers) * 0.9 <= mean,
        "{mean} calls a second leave the rate limit unused"
    );
}

#[test]
fn a_sole_poller_of_many_pages_stays_under_the_rate() {
    let mut poller = sole_poller();
    let mut calls: BTreeMap<u64, u32> = BTreeMap::new();
    let mut now_ms = 0;

    for call in 1..=3_000 {
        now_ms = next_call(&mut poller, now_ms).0;
        *calls.entry(now_ms / 1_000).or_default() += 1;
        poller.receive_page(
            now_ms,
            page(&[instance("a")], (call % 60 != 0).then_some("p")),
        );
    }

    assert!(
        calls.values().all(|count| *count <= 41),
        "{:?}",
        calls.values().max()
    );
}
