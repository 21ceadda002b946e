//! The urgency of sends: prefill calls by what is to be read, all else by the route's rank.

mod decision_support;

use decision_support::*;
use lockusher_proxy::decision::*;

/// A stream of one part, with a rank of its route.
fn one_part(id: u64, tokens: u32, priority: u8) -> RequestFacts {
    RequestFacts {
        prompt: vec![PromptPart { id, tokens }],
        tokens_in: tokens,
        priority,
        ..prompt(1, 1)
    }
}

fn priority(router: &mut RequestRouter, now: Micros, facts: &RequestFacts, purpose: Purpose) -> u8 {
    let mut plan = admit(router, now, facts);
    match router.choose(now, &mut plan, purpose) {
        Choice::Send { priority, .. } => priority,
        other => panic!("no send: {other:?}"),
    }
}

/// Prompts of 1,000 to 7,000 tokens were read: 4,000 is the mean.
fn after_readings() -> (RequestRouter, Micros) {
    let mut router = router(&split_fleet(3, 3), 1);
    let mut now = 0;
    for step in 0..350u64 {
        now += 20 * MS;
        let facts = one_part(1_000 + step, 1_000 * (1 + (step % 7) as u32), 2);
        serve(&mut router, now, &facts, Purpose::Prefill, 15 * MS);
    }
    (router, now + SECOND)
}

#[test]
fn a_prefill_call_is_the_more_urgent_the_less_it_reads_whatever_its_routes_rank() {
    let (mut router, now) = after_readings();
    let sizes = [
        10, 125, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 64_000, 2_000_000,
    ];
    let mut found = Vec::new();
    for (number, tokens) in sizes.into_iter().enumerate() {
        // The longest are of the most urgent route.
        let facts = one_part(9_000 + number as u64, tokens, 9 - number as u8);
        found.push(priority(&mut router, now, &facts, Purpose::Prefill));
    }
    assert_eq!(found, [0, 0, 2, 3, 4, 5, 6, 7, 9, 9]);
}

#[test]
fn what_a_searcher_holds_already_makes_a_prefill_call_more_urgent() {
    let (mut router, now) = after_readings();
    let shares = RequestFacts {
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
        tokens_in: 16_000,
        ..prompt(1, 1)
    };
    // The home of shared parts is taken to hold them.
    assert_eq!(priority(&mut router, now, &shares, Purpose::Prefill), 4);
    assert_eq!(
        priority(&mut router, now, &one_part(72, 16_000, 0), Purpose::Prefill),
        7
    );
}

#[test]
fn before_anything_was_read_a_prefill_call_has_the_urgency_of_a_request_without_one() {
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
fn sends_that_run_a_request_have_the_rank_of_its_route() {
    let (mut router, now) = after_readings();
    for (rank, expected) in [(0, 0), (3, 3), (9, 9), (200, 9)] {
        for purpose in [Purpose::Whole, Purpose::Decode] {
            assert_eq!(
                priority(&mut router, now, &one_part(50, 100, rank), purpose),
                expected
            );
        }
    }
}
