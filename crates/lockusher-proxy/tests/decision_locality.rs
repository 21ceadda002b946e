//! Locality, and whether prefill and decode are split.

mod decision_support;

use std::rc::Rc;

use decision_support::*;
use lockusher_config::instances::Stage;
use lockusher_proxy::decision::*;

/// How long a prefill of so many tokens takes here.
fn reading(tokens: u32) -> Micros {
    30 * MS + u64::from(tokens) * 10
}

/// Requests of all sizes, read by a prefill searcher and handed over in a time.
fn learn(router: &mut RequestRouter, start: Micros, handover: Micros) -> Micros {
    learn_moves(router, start, |_| handover)
}

/// The same with hand-overs that take longer for longer prompts.
fn learn_moves(
    router: &mut RequestRouter,
    start: Micros,
    handover: impl Fn(u32) -> Micros,
) -> Micros {
    let mut now = start;
    for step in 0..200u64 {
        now += 200 * MS;
        let tokens = 200 + (step % 40) as u32 * 400;
        let facts = RequestFacts {
            prompt: vec![PromptPart {
                id: 1_000 + step,
                tokens,
            }],
            tokens_in: tokens,
            ..prompt(1, 1)
        };
        let mut plan = admit(router, now, &facts);
        let (_, ticket) = send(router, now, &mut plan, Purpose::Prefill);
        let read = now + reading(tokens);
        router.outcome(read, ticket, SendOutcome::Answered);
        let (_, ticket) = send(router, read, &mut plan, Purpose::Decode);
        let moved = read + handover(tokens);
        router.outcome(moved, ticket, SendOutcome::FirstEvent);
        router.outcome(moved + 20 * MS, ticket, SendOutcome::Answered);
    }
    now + SECOND
}

fn splits(router: &mut RequestRouter, now: Micros, tokens: u32) -> bool {
    let facts = RequestFacts {
        prompt: vec![PromptPart { id: 9, tokens }],
        tokens_in: tokens,
        ..prompt(1, 1)
    };
    let plan = admit(router, now, &facts);
    router.split(now, &plan)
}

#[test]
fn long_prompts_are_handed_over_and_short_ones_are_not() {
    let mut router = router(&split_fleet(3, 3), 1);
    assert!(
        splits(&mut router, 0, 16_000),
        "nothing is known against it"
    );
    let now = learn(&mut router, 0, 20 * MS);
    assert!(splits(&mut router, now, 16_000));
    assert!(!splits(&mut router, now, 50));
}

#[test]
fn slow_links_move_the_break_even() {
    let least = |micros_per_token: Micros| {
        let mut router = router(&split_fleet(3, 3), 1);
        let move_time = |tokens: u32| 5 * MS + u64::from(tokens) * micros_per_token;
        let now = learn_moves(&mut router, 0, move_time);
        let sizes = (1..80).map(|step| step * 200);
        sizes
            .into_iter()
            .find(|tokens| splits(&mut router, now, *tokens))
            .unwrap_or(u32::MAX)
    };
    let (quick, slow) = (least(1), least(100));
    assert!(quick < slow, "{quick} and {slow}");
}

#[test]
fn without_a_stage_nothing_is_split() {
    let readers: Vec<_> = split_fleet(3, 0);
    let mut router = router(&readers, 1);
    assert!(!splits(&mut router, 0, 16_000));
    let makers: Vec<_> = split_fleet(0, 3);
    router.apply_instances(SECOND, &makers);
    assert!(!splits(&mut router, SECOND, 16_000));
    let mut plan = admit(&mut router, SECOND, &prompt(1, 2));
    assert_eq!(
        send(&mut router, SECOND, &mut plan, Purpose::Whole)
            .0
            .as_bytes()[0],
        b'd'
    );
}

#[test]
fn the_own_zone_is_preferred_but_not_at_any_price() {
    let mut list = vec![
        searcher("near", "a", None),
        searcher("far", "b", None),
        searcher("abroad", "c", None),
    ];
    list.push(searcher("near2", "a", None));
    let mut router = router(&list, 1);
    let mut near = 0;
    for step in 0..200 {
        let identifier = serve(
            &mut router,
            step * 100 * MS,
            &request(),
            Purpose::Whole,
            20 * MS,
        );
        near += u32::from(identifier.starts_with("near"));
        assert_ne!(identifier, "abroad");
    }
    assert!(near >= 150, "{near} of 200");
    // Both near ones are busy: the other zone takes over.
    let now = 60 * SECOND;
    let met: Vec<String> = (0..6)
        .map(|_| {
            let mut plan = admit(&mut router, now, &request());
            send(&mut router, now, &mut plan, Purpose::Whole).0
        })
        .collect();
    assert!(met.iter().any(|identifier| identifier == "far"), "{met:?}");
}

#[test]
fn the_pair_is_preferably_in_one_zone() {
    // The hand-over is a large part of the time here.
    let mut configuration = configuration().as_ref().clone();
    if let Some(engine) = &mut configuration.services[0].engine {
        engine.link_mbps = 20_000.0;
    }
    let list = vec![
        searcher("r0", "b", Some(Stage::Prefill)),
        searcher("d0", "a", Some(Stage::Decode)),
        searcher("d1", "b", Some(Stage::Decode)),
        searcher("d2", "a", Some(Stage::Decode)),
    ];
    let mut router = router(&list, 1);
    router.apply_configuration(0, Rc::new(configuration));
    let now = learn(&mut router, 0, 60 * MS);
    let mut together = 0;
    for step in 0..50 {
        let now = now + step * 500 * MS;
        let facts = RequestFacts {
            prompt: Vec::new(),
            ..prompt(1, 1)
        };
        let mut plan = admit(&mut router, now, &facts);
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
        router.outcome(now + 100 * MS, ticket, SendOutcome::Answered);
        let (identifier, ticket) = send(&mut router, now + 100 * MS, &mut plan, Purpose::Decode);
        router.outcome(now + 160 * MS, ticket, SendOutcome::FirstEvent);
        router.outcome(now + 200 * MS, ticket, SendOutcome::Answered);
        together += u32::from(identifier == "d1");
    }
    assert!(together >= 40, "{together} of 50");
}

/// Where all prefill searchers are late, their number is to grow: prompts that evade them keep decode searchers from
/// making tokens, and who evades for good never learns that the wait is over.
#[test]
fn waits_at_prefill_searchers_send_no_prompt_to_decode_searchers() {
    let mut router = router(&split_fleet(3, 3), 1);
    let mut now = learn(&mut router, 0, 20 * MS);
    for step in 0..200u64 {
        now += 20 * MS;
        let facts = RequestFacts {
            target_latency_ms: 3_600_000,
            ..prompt(1, 5_000 + step)
        };
        let mut plan = admit(&mut router, now, &facts);
        assert!(router.split(now, &plan), "after {step} late answers");
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
        router.outcome(now + 3 * SECOND, ticket, SendOutcome::Answered);
    }
    let plan = admit(&mut router, now, &prompt(1, 9_999));
    assert!(router.split(now, &plan));
    assert!(router.split(now + 30 * SECOND, &plan));
}

/// Prefill searchers take three seconds for everything for a while; decode searchers take this long to begin.
fn after_slow_reading(decode: Micros) -> (RequestRouter, Micros) {
    let mut router = router(&split_fleet(3, 3), 1);
    let mut now = learn(&mut router, 0, 20 * MS);
    for step in 0..60u64 {
        now += 20 * MS;
        let facts = RequestFacts {
            target_latency_ms: 3_600_000,
            ..prompt(1, 5_000 + step)
        };
        let mut plan = admit(&mut router, now, &facts);
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
        router.outcome(now + 3 * SECOND, ticket, SendOutcome::Answered);
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
        router.outcome(now + decode, ticket, SendOutcome::FirstEvent);
        router.outcome(now + decode + 20 * MS, ticket, SendOutcome::Answered);
    }
    (router, now)
}

#[test]
fn short_prompts_evade_long_waits_to_idle_decode_searchers() {
    let (mut router, now) = after_slow_reading(20 * MS);
    assert!(
        !splits(&mut router, now, 500),
        "short, and decode searchers are idle"
    );
    assert!(splits(&mut router, now, 16_000), "long");
}

#[test]
fn short_prompts_do_not_clog_busy_decode_searchers() {
    let (mut router, now) = after_slow_reading(2 * SECOND);
    assert!(splits(&mut router, now, 500));
}

#[test]
fn short_prompts_are_handed_over_while_prefill_searchers_are_quick() {
    let mut router = router(&split_fleet(3, 3), 1);
    let now = learn(&mut router, 0, 20 * MS);
    assert!(splits(&mut router, now, 500));
}
