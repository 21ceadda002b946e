//! The priority of sends: prefill calls by the tokens to prefill, all others by the route's priority.

mod decision_support;

use decision_support::*;
use lockusher_proxy::decision::*;

/// A streaming request with a prompt of one part and the priority of its route.
fn one_part(id: u64, tokens: u32, priority: u8) -> RequestAttributes {
    RequestAttributes {
        prompt: vec![PromptPart { id, tokens }],
        prompt_tokens: tokens,
        priority,
        ..streaming_request(1, 1)
    }
}

fn priority(
    router: &mut RequestRouter,
    now: Micros,
    attributes: &RequestAttributes,
    purpose: Purpose,
) -> u8 {
    let mut plan = admit(router, now, attributes);
    match router.choose(now, &mut plan, purpose) {
        Choice::Send { priority, .. } => priority,
        choice => panic!("expected a send, got {choice:?}"),
    }
}

/// A router after prefills of 1,000 to 7,000 tokens, with a mean of 4,000.
fn after_prefills() -> (RequestRouter, Micros) {
    let mut router = router(&split_fleet(3, 3), 1);
    let mut now = 0;
    for step in 0..350u64 {
        now += 20 * MS;
        let attributes = one_part(1_000 + step, 1_000 * (1 + (step % 7) as u32), 2);
        serve(&mut router, now, &attributes, Purpose::Prefill, 15 * MS);
    }
    (router, now + SECOND)
}

#[test]
fn shorter_prefills_have_higher_priority_whatever_their_route() {
    let (mut router, now) = after_prefills();
    let sizes = [
        10, 125, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 64_000, 2_000_000,
    ];
    let mut priorities = Vec::new();
    for (number, tokens) in sizes.into_iter().enumerate() {
        // The longest prompts belong to the route with the highest priority.
        let attributes = one_part(9_000 + number as u64, tokens, 9 - number as u8);
        priorities.push(priority(&mut router, now, &attributes, Purpose::Prefill));
    }
    assert_eq!(priorities, [0, 0, 2, 3, 4, 5, 6, 7, 9, 9]);
}

#[test]
fn cached_tokens_raise_the_priority_of_a_prefill() {
    let (mut router, now) = after_prefills();
    let shared = RequestAttributes {
        prompt: vec![
            PromptPart {
                id: 70,
                tokens: 14_000,
            },
            PromptPart {
                id: 71,
                tokens: 2_000,
            },
        ],
        prompt_tokens: 16_000,
        ..streaming_request(1, 1)
    };
    // The affinity target is assumed to have cached the shared parts.
    assert_eq!(priority(&mut router, now, &shared, Purpose::Prefill), 4);
    assert_eq!(
        priority(&mut router, now, &one_part(72, 16_000, 0), Purpose::Prefill),
        7
    );
}

#[test]
fn the_first_prefills_have_the_default_priority() {
    let mut router = router(&split_fleet(3, 3), 1);
    assert_eq!(
        priority(&mut router, 0, &one_part(1, 100, 0), Purpose::Prefill),
        5
    );
    assert_eq!(
        priority(&mut router, 0, &one_part(2, 60_000, 0), Purpose::Prefill),
        5
    );
}

#[test]
fn sends_that_run_a_request_have_the_priority_of_its_route() {
    let (mut router, now) = after_prefills();
    for (route_priority, expected) in [(0, 0), (3, 3), (9, 9), (200, 9)] {
        for purpose in [Purpose::Whole, Purpose::Decode] {
            assert_eq!(
                priority(
                    &mut router,
                    now,
                    &one_part(50, 100, route_priority),
                    purpose
                ),
                expected
            );
        }
    }
}
