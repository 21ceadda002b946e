//! Pacing, paging and back-off of the platform's list.

mod support;

use std::collections::BTreeMap;

use lockusher_config::instances::Instance;
use lockusher_config::instances_reader::InstancePage;
use lockusher_distribution::instance_list_poller::{InstanceListPoll, InstanceListPoller, PollerStep};
use support::{cold, draining, instance};

fn page(instances: &[Instance], next_token: Option<&str>) -> InstancePage {
    InstancePage { instances: instances.to_vec(), next_token: next_token.map(str::to_owned), skipped: vec![] }
}

/// Waits as the reader says and returns the time and path of its next call.
fn next_call(poller: &mut InstanceListPoller, mut now_ms: u64) -> (u64, String) {
    loop {
        match poller.next_step(now_ms) {
            PollerStep::Wait { until_ms } => now_ms = until_ms,
            PollerStep::Call { path } => return (now_ms, path),
        }
    }
}

/// One reading of `pages`.
fn read(poller: &mut InstanceListPoller, now_ms: &mut u64, pages: &[&[Instance]]) -> InstanceListPoll {
    for (number, instances) in pages.iter().enumerate() {
        let (at_ms, _) = next_call(poller, *now_ms);
        *now_ms = at_ms;
        let token = format!("p-{number}");
        let last = number + 1 == pages.len();
        if let Some(poll) = poller.receive_page(at_ms, page(instances, (!last).then_some(token.as_str()))) {
            return poll;
        }
    }
    panic!("the poll isn't whole");
}

fn lone() -> InstanceListPoller {
    let mut poller = InstanceListPoller::sole(40.0, 3_000, 1);
    poller.start(0);
    poller
}

fn names(poll: &InstanceListPoll) -> Vec<&str> {
    poll.instances.iter().map(|instance| instance.identifier.as_str()).collect()
}

#[test]
fn pages_are_followed_to_the_last_and_assembled_in_order() {
    let mut poller = lone();
    assert_eq!(next_call(&mut poller, 5), (5, "/instances".to_owned()));
    assert_eq!(poller.receive_page(6, page(&[instance("c")], Some("p 1/2"))), None);
    let (at_ms, path) = next_call(&mut poller, 6);
    assert_eq!(path, "/instances?pageToken=p%201%2F2");
    let poll = poller.receive_page(at_ms, page(&[instance("a"), instance("b")], None)).expect("a whole list");
    assert_eq!(names(&poll), ["a", "b", "c"]);
    assert_eq!((poll.started_at_ms, poll.calls, poll.changed), (5, 2, true));
}

#[test]
fn an_unchanged_list_is_said_to_be_so_and_read_again_after_the_interval() {
    let mut poller = lone();
    let mut now_ms = 0;
    let first = read(&mut poller, &mut now_ms, &[&[instance("a")]]);
    let second = read(&mut poller, &mut now_ms, &[&[instance("a")]]);
    assert_eq!((first.changed, second.changed), (true, false));
    assert_eq!((first.started_at_ms, second.started_at_ms), (0, 1_000));
    let third = read(&mut poller, &mut now_ms, &[&[draining("a")]]);
    assert!(third.changed);
}

#[test]
fn a_countdown_alone_is_no_change_but_its_end_is() {
    let mut poller = lone();
    let mut now_ms = 0;
    let changed: Vec<bool> = [5_000, 4_000, 900, 0, 0, 700]
        .map(|cold_ms| read(&mut poller, &mut now_ms, &[&[cold("a", cold_ms)]]).changed)
        .to_vec();
    assert_eq!(changed, [true, false, false, true, false, true]);
}

/// An entry that slips through between two pages isn't taken for gone.
#[test]
fn a_searcher_missing_from_one_reading_of_several_pages_is_kept_until_the_next() {
    let mut poller = lone();
    let mut now_ms = 0;
    read(&mut poller, &mut now_ms, &[&[instance("a"), instance("b")], &[instance("c")]]);
    let slipped = read(&mut poller, &mut now_ms, &[&[instance("b")], &[]]);
    assert_eq!(names(&slipped), ["a", "b", "c"]);
    let again_at_ms = next_call(&mut poller, now_ms).0;
    assert!(again_at_ms <= now_ms + 100, "confirmed soon");
    let confirmed = read(&mut poller, &mut now_ms, &[&[instance("a"), instance("b")], &[]]);
    assert_eq!(names(&confirmed), ["a", "b"]);
}

#[test]
fn a_draining_searcher_that_vanishes_is_gone_at_once() {
    let mut poller = lone();
    let mut now_ms = 0;
    read(&mut poller, &mut now_ms, &[&[draining("a"), instance("b")], &[instance("c")]]);
    let poll = read(&mut poller, &mut now_ms, &[&[instance("b")], &[instance("c")]]);
    assert_eq!(names(&poll), ["b", "c"]);
}

#[test]
fn an_entry_listed_twice_counts_as_draining_if_either_says_so() {
    let mut poller = lone();
    let poll = read(&mut poller, &mut 0, &[&[draining("a")], &[instance("a")]]);
    assert_eq!(*poll.instances, [draining("a")]);
}

#[test]
fn a_refused_call_is_made_again_later_and_later() {
    let mut poller = lone();
    let mut now_ms = next_call(&mut poller, 0).0;
    poller.receive_page(now_ms, page(&[instance("a")], Some("p-1")));
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let (at_ms, _) = next_call(&mut poller, now_ms);
        poller.back_off(at_ms);
        let (again_ms, _) = next_call(&mut poller, at_ms);
        pauses.push(again_ms - at_ms);
        now_ms = at_ms;
        now_ms = now_ms.max(again_ms);
    }
    assert!(pauses[0] <= 500, "{pauses:?}");
    assert!(pauses[7] >= 4_000, "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= 8_000), "{pauses:?}");
    assert_eq!(next_call(&mut poller, now_ms).1, "/instances", "a poll held up for long starts anew");
}

#[test]
fn a_page_that_is_not_known_any_more_starts_the_reading_anew() {
    let mut poller = lone();
    poller.next_step(0);
    poller.receive_page(0, page(&[instance("a")], Some("p-1")));
    next_call(&mut poller, 0);
    poller.restart(10);
    assert_eq!(next_call(&mut poller, 10).1, "/instances");
}

#[test]
fn a_reader_that_is_stopped_makes_no_call() {
    let mut poller = lone();
    poller.stop();
    assert_eq!(poller.next_step(1_000_000), PollerStep::Wait { until_ms: u64::MAX });
    poller.start(1_000_000);
    assert_eq!(next_call(&mut poller, 1_000_000).0, 1_000_000);
}

/// Calls of `readers` agents, by second.
fn calls_by_second(pollers: u32, pages: u32, rate_per_s: f64, seconds: u64) -> BTreeMap<u64, u32> {
    let mut calls = BTreeMap::new();
    for number in 0..pollers {
        let mut poller = InstanceListPoller::concurrent(rate_per_s, 3_000, u64::from(number));
        poller.set_pollers(pollers);
        poller.set_calls(pages);
        poller.start(0);
        let mut now_ms = 0;
        let mut read = 0;
        while now_ms < seconds * 1_000 {
            now_ms = next_call(&mut poller, now_ms).0;
            *calls.entry(now_ms / 1_000).or_default() += 1;
            read += 1;
            let token = (read % pages != 0).then_some("p");
            poller.receive_page(now_ms, page(&[instance("a")], token));
        }
    }
    calls.retain(|second, _| *second < seconds);
    calls
}

#[yare::parameterized(
    target = { 400, 17, 40.0 },
    target_with_one_page = { 400, 1, 40.0 },
    hundred = { 100, 6, 20.0 },
    tiny = { 6, 1, 40.0 },
    tiny_and_slow = { 4, 2, 3.0 },
)]
fn agents_that_all_read_stay_under_the_rate(pollers: u32, pages: u32, rate_per_s: f64) {
    let seconds = 600;
    let calls = calls_by_second(pollers, pages, rate_per_s, seconds);
    let total: u32 = calls.values().sum();
    let mean = f64::from(total) / seconds as f64;
    assert!(mean <= 0.6 * rate_per_s, "{mean} calls a second on average");
    let over = calls.values().filter(|count| f64::from(**count) > rate_per_s).count();
    assert!(over as f64 <= 0.03 * seconds as f64, "{over} seconds over the rate");
    assert!(mean >= 0.3 * rate_per_s || f64::from(pollers) * 0.9 <= mean, "{mean}: the rate lies idle");
}

#[test]
fn a_lone_reader_of_many_pages_stays_under_the_rate() {
    let mut poller = lone();
    let mut calls: BTreeMap<u64, u32> = BTreeMap::new();
    let mut now_ms = 0;
    for read in 1..=3_000 {
        now_ms = next_call(&mut poller, now_ms).0;
        *calls.entry(now_ms / 1_000).or_default() += 1;
        poller.receive_page(now_ms, page(&[instance("a")], (read % 60 != 0).then_some("p")));
    }
    assert!(calls.values().all(|count| *count <= 41), "{:?}", calls.values().max());
}
