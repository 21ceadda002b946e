//! The load report of a router, and searchers that change their stage.

mod decision_support;

use decision_support::*;
use lockusher_config::instances::{InstanceState, Stage};
use lockusher_proxy::decision::*;

#[test]
fn the_load_is_averaged_since_the_last_report() {
    let mut router = router(&split_fleet(1, 1), 1);
    router.take_loads(SECOND).expect("the first report");
    let mut plan = admit(&mut router, SECOND, &streaming_request(1, 2));
    let (_, prefill) = send(&mut router, SECOND, &mut plan, Purpose::Prefill);
    router.record_outcome(SECOND + 500 * MS, prefill, SendOutcome::Answered);
    let (_, decode) = send(&mut router, SECOND + 500 * MS, &mut plan, Purpose::Decode);
    router.record_outcome(SECOND + 600 * MS, decode, SendOutcome::FirstEvent);
    router.record_outcome(SECOND + 900 * MS, decode, SendOutcome::Answered);
    let loads = router.take_loads(2 * SECOND).expect("a second later");
    assert_eq!(loads.len(), 1);
    let load = &loads[0];
    assert_eq!(
        (load.service.as_str(), load.proxies, load.requests_per_s),
        (SERVICE, 1, 1)
    );
    // The affinity target is assumed to have cached the shared part.
    assert_eq!(load.prefill_tokens_per_s, 3_000);
    assert_eq!(
        (
            load.prefill_in_flight,
            load.decode_in_flight,
            load.decode_waiting
        ),
        (50, 40, 10)
    );
    assert_eq!(load.decode_tokens, 6_000);
    assert_eq!(
        router.take_loads(2 * SECOND + MS),
        None,
        "the last report was too recent"
    );
    let later = router.take_loads(3 * SECOND).expect("a second later");
    assert_eq!(
        (later[0].prefill_in_flight, later[0].decode_in_flight),
        (0, 0)
    );
}

#[test]
fn a_searcher_that_changes_its_stage_gets_no_sends_until_it_is_ready_again() {
    let mut list = split_fleet(2, 2);
    let mut router = router(&list, 1);
    let changing = list
        .iter_mut()
        .find(|instance| instance.identifier == "d0")
        .expect("it is listed");
    changing.state = InstanceState::Changing;
    router.apply_instances(SECOND, &list);
    for number in 0..20 {
        let now = SECOND + number * MS;
        let mut plan = admit(&mut router, now, &streaming_request(1, 100 + number));
        let (prefill_searcher, _) = send(&mut router, now, &mut plan, Purpose::Prefill);
        let (decode_searcher, _) = send(&mut router, now, &mut plan, Purpose::Decode);
        assert_ne!(prefill_searcher, "d0");
        assert_eq!(decode_searcher, "d1");
    }
    let changed = list
        .iter_mut()
        .find(|instance| instance.identifier == "d0")
        .expect("it is listed");
    (changed.state, changed.stage) = (InstanceState::Ready, Some(Stage::Prefill));
    router.apply_instances(4 * SECOND, &list);
    let mut prefill_searchers = Vec::new();
    for number in 0..60 {
        let now = 7 * SECOND + number * MS;
        let mut plan = admit(
            &mut router,
            now,
            &streaming_request(200 + number, 300 + number),
        );
        let (prefill_searcher, _) = send(&mut router, now, &mut plan, Purpose::Prefill);
        prefill_searchers.push(prefill_searcher);
    }
    assert!(
        prefill_searchers.iter().any(|searcher| searcher == "d0"),
        "it gets prefills now"
    );
}
