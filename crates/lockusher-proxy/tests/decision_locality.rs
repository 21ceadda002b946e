//! Locality, and whether prefill and decode are split.

mod decision_support;

use std::rc::Rc;

use decision_support::*;
use lockusher_config::instances::Stage;
use lockusher_proxy::decision::*;

/// Duration of a prefill of this many tokens.
fn prefill_time(tokens: u32) -> Micros {
    30 * MS + u64::from(tokens) * 10
}

/// Sends requests of all sizes with split prefill and decode, whose transfers take `transfer_time`.
fn train(router: &mut RequestRouter, start: Micros, transfer_time: Micros) -> Micros {
    train_with_transfer_times(router, start, |_| transfer_time)
}

/// The same with transfers whose duration depends on the tokens.
fn train_with_transfer_times(
    router: &mut RequestRouter,
    start: Micros,
    transfer_time: impl Fn(u32) -> Micros,
) -> Micros {
    let mut now = start;
    for step in 0..200u64 {
        now += 200 * MS;
        let tokens = 200 + (step % 40) as u32 * 400;
        let attributes = RequestAttributes {
            prompt: vec![PromptPart {
                id: 1_000 + step,
                tokens,
            }],
            prompt_tokens: tokens,
            ..streaming_request(1, 1)
        };
        let mut plan = admit(router, now, &attributes);
        let (_, ticket) = send(router, now, &mut plan, Purpose::Prefill);
        let prefilled_at = now + prefill_time(tokens);
        router.record_outcome(prefilled_at, ticket, SendOutcome::Answered);
        let (_, ticket) = send(router, prefilled_at, &mut plan, Purpose::Decode);
        let first_event_at = prefilled_at + transfer_time(tokens);
        router.record_outcome(first_event_at, ticket, SendOutcome::FirstEvent);
        router.record_outcome(first_event_at + 20 * MS, ticket, SendOutcome::Answered);
    }
    now + SECOND
}

fn splits(router: &mut RequestRouter, now: Micros, tokens: u32) -> bool {
    let attributes = RequestAttributes {
        prompt: vec![PromptPart { id: 9, tokens }],
        prompt_tokens: tokens,
        ..streaming_request(1, 1)
    };
    let plan = admit(router, now, &attributes);
    router.should_split(now, &plan)
}

#[test]
fn long_prompts_are_split_and_short_ones_are_not() {
    let mut router = router(&split_fleet(3, 3), 1);
    assert!(
        splits(&mut router, 0, 16_000),
        "split until both stages are measured"
    );
    let now = train(&mut router, 0, 20 * MS);
    assert!(splits(&mut router, now, 16_000));
    assert!(!splits(&mut router, now, 50));
}

#[test]
fn slow_links_raise_the_break_even_prompt_length() {
    let break_even = |micros_per_token: Micros| {
        let mut router = router(&split_fleet(3, 3), 1);
        let transfer_time = |tokens: u32| 5 * MS + u64::from(tokens) * micros_per_token;
        let now = train_with_transfer_times(&mut router, 0, transfer_time);
        let sizes = (1..80).map(|step| step * 200);
        sizes
            .into_iter()
            .find(|tokens| splits(&mut router, now, *tokens))
            .unwrap_or(u32::MAX)
    };
    let (fast, slow) = (break_even(1), break_even(100));
    assert!(fast < slow, "{fast} and {slow}");
}

#[test]
fn nothing_is_split_if_a_stage_has_no_searchers() {
    let prefill_searchers: Vec<_> = split_fleet(3, 0);
    let mut router = router(&prefill_searchers, 1);
    assert!(!splits(&mut router, 0, 16_000));
    let decode_searchers: Vec<_> = split_fleet(0, 3);
    router.apply_instances(SECOND, &decode_searchers);
    assert!(!splits(&mut router, SECOND, 16_000));
    let mut plan = admit(&mut router, SECOND, &streaming_request(1, 2));
    assert_eq!(
        send(&mut router, SECOND, &mut plan, Purpose::Whole)
            .0
            .as_bytes()[0],
        b'd'
    );
}

#[test]
fn the_local_zone_is_preferred_until_it_is_busy() {
    let mut list = vec![
        searcher("near", "a", None),
        searcher("far", "b", None),
        searcher("abroad", "c", None),
    ];
    list.push(searcher("near2", "a", None));
    let mut router = router(&list, 1);
    let mut local = 0;
    for step in 0..200 {
        let identifier = serve(
            &mut router,
            step * 100 * MS,
            &request(),
            Purpose::Whole,
            20 * MS,
        );
        local += u32::from(identifier.starts_with("near"));
        assert_ne!(identifier, "abroad");
    }
    assert!(local >= 150, "{local} of 200");
    // Both searchers in the local zone are busy: the other zone takes over.
    let now = 60 * SECOND;
    let identifiers: Vec<String> = (0..6)
        .map(|_| {
            let mut plan = admit(&mut router, now, &request());
            send(&mut router, now, &mut plan, Purpose::Whole).0
        })
        .collect();
    assert!(
        identifiers.iter().any(|identifier| identifier == "far"),
        "{identifiers:?}"
    );
}

#[test]
fn decode_is_preferred_in_the_zone_of_the_prefill() {
    // Makes the KV transfer a large part of the total time.
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
    let now = train(&mut router, 0, 60 * MS);
    let mut same_zone = 0;
    for step in 0..50 {
        let now = now + step * 500 * MS;
        let attributes = RequestAttributes {
            prompt: Vec::new(),
            ..streaming_request(1, 1)
        };
        let mut plan = admit(&mut router, now, &attributes);
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
        router.record_outcome(now + 100 * MS, ticket, SendOutcome::Answered);
        let (identifier, ticket) = send(&mut router, now + 100 * MS, &mut plan, Purpose::Decode);
        router.record_outcome(now + 160 * MS, ticket, SendOutcome::FirstEvent);
        router.record_outcome(now + 200 * MS, ticket, SendOutcome::Answered);
        same_zone += u32::from(identifier == "d1");
    }
    assert!(same_zone >= 40, "{same_zone} of 50");
}

/// If all prefill searchers are late, their number should grow. Prompts moved to decode searchers would keep these from
/// decoding, and a proxy that no longer sends prefills would not observe the end of the wait.
#[test]
fn long_prefill_waits_do_not_move_long_prompts_to_decode_searchers() {
    let mut router = router(&split_fleet(3, 3), 1);
    let mut now = train(&mut router, 0, 20 * MS);
    for step in 0..200u64 {
        now += 20 * MS;
        let attributes = RequestAttributes {
            target_latency_ms: 3_600_000,
            ..streaming_request(1, 5_000 + step)
        };
        let mut plan = admit(&mut router, now, &attributes);
        assert!(
            router.should_split(now, &plan),
            "after {step} late prefills"
        );
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
        router.record_outcome(now + 3 * SECOND, ticket, SendOutcome::Answered);
    }
    let plan = admit(&mut router, now, &streaming_request(1, 9_999));
    assert!(router.should_split(now, &plan));
    assert!(router.should_split(now + 30 * SECOND, &plan));
}

/// Prefill searchers take three seconds for every prompt for a while; decode searchers respond after `decode`.
fn after_slow_prefills(decode_time: Micros) -> (RequestRouter, Micros) {
    let mut router = router(&split_fleet(3, 3), 1);
    let mut now = train(&mut router, 0, 20 * MS);
    for step in 0..60u64 {
        now += 20 * MS;
        let attributes = RequestAttributes {
            target_latency_ms: 3_600_000,
            ..streaming_request(1, 5_000 + step)
        };
        let mut plan = admit(&mut router, now, &attributes);
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Prefill);
        router.record_outcome(now + 3 * SECOND, ticket, SendOutcome::Answered);
        let (_, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
        router.record_outcome(now + decode_time, ticket, SendOutcome::FirstEvent);
        router.record_outcome(now + decode_time + 20 * MS, ticket, SendOutcome::Answered);
    }
    (router, now)
}

#[test]
fn short_prompts_move_to_idle_decode_searchers_during_long_prefill_waits() {
    let (mut router, now) = after_slow_prefills(20 * MS);
    assert!(
        !splits(&mut router, now, 500),
        "a short prompt, and decode searchers are idle"
    );
    assert!(splits(&mut router, now, 16_000), "a long prompt");
}

#[test]
fn short_prompts_do_not_move_to_busy_decode_searchers() {
    let (mut router, now) = after_slow_prefills(2 * SECOND);
    assert!(splits(&mut router, now, 500));
}

#[test]
fn short_prompts_are_split_while_prefill_searchers_are_fast() {
    let mut router = router(&split_fleet(3, 3), 1);
    let now = train(&mut router, 0, 20 * MS);
    assert!(splits(&mut router, now, 500));
}
