//! How often one request may be sent, and that it never runs twice.

mod decision_support;

use decision_support::*;
use lockusher_proxy::decision::*;
use yare::parameterized;

#[test]
fn attempts_bound_the_searchers_that_a_request_is_sent_to() {
    let mut router = router(&plain(5), 1);
    for _ in 0..100 {
        admit(&mut router, 0, &request());
    }
    let now = 30 * SECOND;
    for step in 0..1_000 {
        admit(&mut router, 10 * SECOND + step * 20 * MS, &request());
    }
    let facts = RequestFacts {
        attempts: 3,
        ..request()
    };
    let mut plan = admit(&mut router, now, &facts);
    let mut met = Vec::new();
    for _ in 0..3 {
        let (identifier, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
        router.outcome(now, ticket, SendOutcome::Failed);
        met.push(identifier);
    }
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
    met.sort();
    met.dedup();
    assert_eq!(met.len(), 3, "each try goes to another searcher");
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
fn a_request_that_runs_once_is_sent_again_only_if_it_has_not_run(
    outcome: SendOutcome,
    again: bool,
) {
    let mut router = router(&plain(3), 1);
    let now = warmed_up(&mut router);
    let facts = RequestFacts {
        is_idempotent: false,
        ..request()
    };
    let mut plan = admit(&mut router, now, &facts);
    let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted,
        "one is out"
    );
    router.outcome(now, ticket, outcome);
    assert_eq!(plan.has_not_run(), again);
    assert_eq!(
        matches!(
            router.choose(now, &mut plan, Purpose::Whole),
            Choice::Send { .. }
        ),
        again
    );
}

#[test]
fn the_prefill_that_is_taken_up_is_free() {
    let mut router = router(&split_fleet(3, 3), 1);
    let facts = RequestFacts {
        attempts: 1,
        ..prompt(1, 2)
    };
    let mut plan = admit(&mut router, 0, &facts);
    let (_, ticket) = send(&mut router, 0, &mut plan, Purpose::Prefill);
    router.outcome(0, ticket, SendOutcome::Answered);
    assert_eq!(
        router.choose(0, &mut plan, Purpose::Prefill),
        Choice::Exhausted,
        "a second reading isn't"
    );
    send(&mut router, 0, &mut plan, Purpose::Decode);
    assert_eq!(
        router.choose(0, &mut plan, Purpose::Decode),
        Choice::Exhausted
    );
}

#[test]
fn a_rejected_prefill_counts() {
    let mut router = router(&split_fleet(3, 3), 1);
    let now = warmed_up(&mut router);
    let facts = RequestFacts {
        attempts: 1,
        ..prompt(1, 2)
    };
    let mut plan = admit(&mut router, now, &facts);
    let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
    router.outcome(now, ticket, SendOutcome::Rejected);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Prefill),
        Choice::Exhausted
    );

    let facts = RequestFacts {
        attempts: 2,
        ..facts
    };
    let mut plan = admit(&mut router, now, &facts);
    let (first, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
    router.outcome(now, ticket, SendOutcome::Rejected);
    let (second, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
    assert_ne!(first, second);
    router.outcome(now, ticket, SendOutcome::Answered);
    send(&mut router, now, &mut plan, Purpose::Decode);
}

#[test]
fn nothing_is_sent_when_time_is_up() {
    let mut router = router(&plain(3), 1);
    let mut plan = admit(&mut router, 0, &request());
    assert_eq!(
        router.choose(5 * SECOND, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn a_request_for_a_service_without_searchers_is_refused_with_a_time() {
    let mut router = router(&[], 1);
    let mut plan = admit(&mut router, 0, &request());
    let choice = router.choose(0, &mut plan, Purpose::Whole);
    assert!(
        matches!(choice, Choice::Refuse { retry_after_ms } if (1..=5_000).contains(&retry_after_ms)),
        "{choice:?}"
    );
}

#[test]
fn a_draining_searcher_gets_nothing() {
    use lockusher_config::instances::InstanceState;
    let mut list = plain(2);
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

/// Lets the router run until its part of the retry budget is whole; the time then.
fn warmed_up(router: &mut RequestRouter) -> Micros {
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
fn what_follows_a_prefill_that_gave_no_handle_is_paid_for(outcome: SendOutcome, paid: bool) {
    let mut router = router(&split_fleet(4, 4), 1);
    // Without requests and with a share of nothing, the budget has no room for a repeat.
    router.set_fleet_size(u32::MAX);
    let facts = RequestFacts {
        attempts: 2,
        ..prompt(1, 2)
    };
    let mut plan = admit(&mut router, 0, &facts);
    let (_, ticket) = send(&mut router, 0, &mut plan, Purpose::Prefill);
    router.outcome(0, ticket, outcome);
    let purpose = if outcome == SendOutcome::Answered {
        Purpose::Decode
    } else {
        Purpose::Whole
    };
    let exhausted = router.choose(0, &mut plan, purpose) == Choice::Exhausted;
    assert_eq!(exhausted, paid);
}
