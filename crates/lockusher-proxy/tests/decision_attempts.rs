//! The number of sends of one request, and that it never runs twice.

mod decision_support;

use decision_support::*;
use lockusher_proxy::decision::*;
use yare::parameterized;

#[test]
fn attempts_limit_the_searchers_that_a_request_is_sent_to() {
    let mut router = router(&plain_searchers(5), 1);
    for _ in 0..100 {
        admit(&mut router, 0, &request());
    }
    let now = 30 * SECOND;
    for step in 0..1_000 {
        admit(&mut router, 10 * SECOND + step * 20 * MS, &request());
    }
    let attributes = RequestAttributes {
        attempts: 3,
        ..request()
    };
    let mut plan = admit(&mut router, now, &attributes);
    let mut identifiers = Vec::new();
    for _ in 0..3 {
        let (identifier, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
        router.record_outcome(now, ticket, SendOutcome::Failed);
        identifiers.push(identifier);
    }
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
    identifiers.sort();
    identifiers.dedup();
    assert_eq!(
        identifiers.len(),
        3,
        "each attempt goes to another searcher"
    );
}

#[parameterized(
    rejected = { SendOutcome::Rejected, true },
    misdirected = { SendOutcome::Misdirected, true },
    unreachable = { SendOutcome::Unreachable, true },
    failed = { SendOutcome::Failed, false },
    timed_out = { SendOutcome::TimedOut, false },
    cancelled = { SendOutcome::Cancelled, false },
    answered = { SendOutcome::Answered, false },
)]
fn a_non_idempotent_request_is_resent_only_if_it_has_not_run(
    outcome: SendOutcome,
    is_resent: bool,
) {
    let mut router = router(&plain_searchers(3), 1);
    let now = run_until_budget_is_available(&mut router);
    let attributes = RequestAttributes {
        is_idempotent: false,
        ..request()
    };
    let mut plan = admit(&mut router, now, &attributes);
    let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted,
        "one send is in flight"
    );
    router.record_outcome(now, ticket, outcome);
    assert_eq!(plan.has_not_run(), is_resent);
    assert_eq!(
        matches!(
            router.choose(now, &mut plan, Purpose::Whole),
            Choice::Send { .. }
        ),
        is_resent
    );
}

#[test]
fn the_first_accepted_prefill_is_not_an_attempt() {
    let mut router = router(&split_fleet(3, 3), 1);
    let attributes = RequestAttributes {
        attempts: 1,
        ..streaming_request(1, 2)
    };
    let mut plan = admit(&mut router, 0, &attributes);
    let (_, ticket) = send(&mut router, 0, &mut plan, Purpose::Prefill);
    router.record_outcome(0, ticket, SendOutcome::Answered);
    assert_eq!(
        router.choose(0, &mut plan, Purpose::Prefill),
        Choice::Exhausted,
        "a second prefill is an attempt"
    );
    send(&mut router, 0, &mut plan, Purpose::Decode);
    assert_eq!(
        router.choose(0, &mut plan, Purpose::Decode),
        Choice::Exhausted
    );
}

#[test]
fn a_rejected_prefill_counts_as_an_attempt() {
    let mut router = router(&split_fleet(3, 3), 1);
    let now = run_until_budget_is_available(&mut router);
    let attributes = RequestAttributes {
        attempts: 1,
        ..streaming_request(1, 2)
    };
    let mut plan = admit(&mut router, now, &attributes);
    let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
    router.record_outcome(now, ticket, SendOutcome::Rejected);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Prefill),
        Choice::Exhausted
    );

    let attributes = RequestAttributes {
        attempts: 2,
        ..attributes
    };
    let mut plan = admit(&mut router, now, &attributes);
    let (first, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
    router.record_outcome(now, ticket, SendOutcome::Rejected);
    let (second, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
    assert_ne!(first, second);
    router.record_outcome(now, ticket, SendOutcome::Answered);
    send(&mut router, now, &mut plan, Purpose::Decode);
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut router = router(&plain_searchers(3), 1);
    let mut plan = admit(&mut router, 0, &request());
    assert_eq!(
        router.choose(5 * SECOND, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn a_request_for_a_service_without_searchers_gets_a_retry_after() {
    let mut router = router(&[], 1);
    let mut plan = admit(&mut router, 0, &request());
    let choice = router.choose(0, &mut plan, Purpose::Whole);
    assert!(
        matches!(choice, Choice::Unavailable { retry_after_ms } if (1..=5_000).contains(&retry_after_ms)),
        "{choice:?}"
    );
}

#[test]
fn a_draining_searcher_is_not_selected() {
    use lockusher_config::instances::InstanceState;
    let mut list = plain_searchers(2);
    let mut router = router(&list, 1);
    list[0].state = InstanceState::Draining;
    router.apply_instances(SECOND, &list);
    for step in 0..20 {
        assert_eq!(
            serve(&mut router, SECOND + step, &request(), Purpose::Whole, 0),
            "p1"
        );
    }
}

/// Runs the router until its share of the retry budget is fully available; returns the time.
fn run_until_budget_is_available(router: &mut RequestRouter) -> Micros {
    router.set_fleet_size(1);
    for step in 0..2_000 {
        let plan = admit(router, step * 20 * MS, &request());
        drop(plan);
    }
    40 * SECOND
}

#[parameterized(
    timed_out = { SendOutcome::TimedOut, true },
    failed = { SendOutcome::Failed, true },
    unreachable = { SendOutcome::Unreachable, false },
    answered = { SendOutcome::Answered, false },
)]
fn a_send_after_a_prefill_without_a_handle_is_charged_to_the_retry_budget(
    outcome: SendOutcome,
    is_charged: bool,
) {
    let mut router = router(&split_fleet(4, 4), 1);
    // Without requests and with a negligible share of the slack, the budget has no capacity for a retry.
    router.set_fleet_size(u32::MAX);
    let attributes = RequestAttributes {
        attempts: 2,
        ..streaming_request(1, 2)
    };
    let mut plan = admit(&mut router, 0, &attributes);
    let (_, ticket) = send(&mut router, 0, &mut plan, Purpose::Prefill);
    router.record_outcome(0, ticket, outcome);
    let purpose = if outcome == SendOutcome::Answered {
        Purpose::Decode
    } else {
        Purpose::Whole
    };
    let exhausted = router.choose(0, &mut plan, purpose) == Choice::Exhausted;
    assert_eq!(exhausted, is_charged);
}
