//! Prefix-cache affinity: all proxies compute the same affinity targets for shared parts of prompts.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;

/// The searcher for each of several shared prefixes, one request at a time with nothing else in flight.
fn affinity_targets(
    router: &mut RequestRouter,
    start: Micros,
    prefixes: u64,
) -> HashMap<u64, String> {
    let target_of = |prefix| {
        let now = start + prefix * 200 * MS;
        (
            prefix,
            serve(
                router,
                now,
                &streaming_request(prefix, 1_000_000 + now),
                Purpose::Prefill,
                60 * MS,
            ),
        )
    };
    (0..prefixes).map(target_of).collect()
}

#[test]
fn routers_with_different_histories_agree_on_affinity_targets() {
    let list = split_fleet(8, 8);
    let mut fresh = router(&list, 1);
    let mut reversed: Vec<_> = list.clone();
    reversed.reverse();
    let mut other = router(&reversed, 2);
    for step in 0..2_000 {
        serve(
            &mut other,
            step * 10 * MS,
            &streaming_request(step % 37, step),
            Purpose::Prefill,
            30 * MS + (step % 7) * MS,
        );
    }
    let (targets, other_targets) = (
        affinity_targets(&mut fresh, 0, 200),
        affinity_targets(&mut other, 60 * SECOND, 200),
    );
    let agreed = targets
        .iter()
        .filter(|(prefix, target)| other_targets[prefix] == **target)
        .count();
    assert!(agreed >= 195, "{agreed} of 200 targets agree");
    let mut spread: HashMap<&String, usize> = HashMap::new();
    targets
        .values()
        .for_each(|target| *spread.entry(target).or_default() += 1);
    assert!(
        spread.len() == 8 && spread.values().all(|count| *count < 60),
        "{spread:?}"
    );
}

#[test]
fn a_removed_searcher_moves_only_its_own_prefixes() {
    let list = split_fleet(8, 8);
    let mut router = router(&list, 1);
    let before = affinity_targets(&mut router, 0, 200);
    let remaining_list: Vec<_> = list
        .into_iter()
        .filter(|instance| instance.identifier != "r3")
        .collect();
    router.apply_instances(100 * SECOND, &remaining_list);
    let after = affinity_targets(&mut router, 200 * SECOND, 200);
    let moved = before
        .iter()
        .filter(|(prefix, target)| *target != "r3" && after[prefix] != **target)
        .count();
    assert!(moved <= 4, "{moved} prefixes of other searchers moved");
    assert!(after.values().all(|target| target != "r3"));
}

#[test]
fn a_session_returns_to_the_same_searcher() {
    let mut router = router(&split_fleet(8, 8), 1);
    let session = RequestAttributes {
        prompt: vec![PromptPart {
            id: 77,
            tokens: 4_000,
        }],
        prompt_tokens: 4_000,
        ..streaming_request(1, 1)
    };
    let first = serve(&mut router, 0, &session, Purpose::Prefill, 60 * MS);
    for turn in 1..10 {
        // A cached prompt needs no prefill.
        assert_eq!(
            serve(
                &mut router,
                turn * SECOND,
                &session,
                Purpose::Prefill,
                8 * MS
            ),
            first
        );
    }
}

/// Any proxy may receive the turns of a session: all choose the same searcher, even from other zones.
#[test]
fn proxies_in_other_zones_agree_on_a_sessions_searcher() {
    let list = spread_fleet(6, 6, 3);
    for id in 0..20 {
        let parts = vec![PromptPart { id, tokens: 3_000 }];
        let session = RequestAttributes {
            prompt: parts,
            prompt_tokens: 3_000,
            ..streaming_request(1, 1)
        };
        let first_turn = |number: usize| {
            let mut router = router_in(zone(number), &list, number as u64);
            serve(&mut router, 0, &session, Purpose::Prefill, 60 * MS)
        };
        assert_eq!(first_turn(0), first_turn(1));
        assert_eq!(first_turn(0), first_turn(2));
    }
}

#[test]
fn a_busy_affinity_target_is_bypassed() {
    let mut router = router(&split_fleet(4, 4), 1);
    for step in 0..50 {
        serve(
            &mut router,
            step * 100 * MS,
            &streaming_request(step, step),
            Purpose::Prefill,
            60 * MS,
        );
    }
    let now = 10 * SECOND;
    let mut sends = HashMap::new();
    for step in 0..60 {
        let mut plan = admit(&mut router, now, &streaming_request(5, 1_000 + step));
        let (identifier, _) = send(&mut router, now, &mut plan, Purpose::Prefill);
        *sends.entry(identifier).or_insert(0) += 1;
    }
    assert_eq!(sends.len(), 4, "{sends:?}");
    assert!(sends.values().all(|count| *count <= 40), "{sends:?}");
}

/// Of sixty prompts without a response yet, the number sent to the most used searcher.
fn most_at_one(shared: u32, own: u32) -> u32 {
    let mut router = router(&split_fleet(4, 4), 1);
    let attributes = |prefix: u64, step: u64| RequestAttributes {
        prompt: vec![
            PromptPart {
                id: prefix,
                tokens: shared,
            },
            PromptPart {
                id: 1_000_000 + step,
                tokens: own,
            },
        ],
        prompt_tokens: shared + own,
        ..streaming_request(1, 1)
    };
    for step in 0..50 {
        let tokens = 1_000 + 200 * (step as u32 % 20);
        let varied = RequestAttributes {
            prompt: vec![PromptPart {
                id: 2_000_000 + step,
                tokens,
            }],
            prompt_tokens: tokens,
            ..streaming_request(1, 1)
        };
        serve(
            &mut router,
            step * 100 * MS,
            &varied,
            Purpose::Prefill,
            Micros::from(tokens) * 20,
        );
    }
    let mut sends = HashMap::new();
    for step in 0..60 {
        let mut plan = admit(&mut router, 10 * SECOND, &attributes(5, step));
        let (identifier, _) = send(&mut router, 10 * SECOND, &mut plan, Purpose::Prefill);
        *sends.entry(identifier).or_insert(0) += 1;
    }
    sends
        .into_values()
        .max()
        .expect("at least one prompt was sent")
}

#[test]
fn an_affinity_target_that_saves_little_prefill_is_bypassed_early() {
    let saves_most = most_at_one(3_800, 200);
    let saves_little = most_at_one(200, 3_800);
    assert!(
        saves_most >= 40,
        "{saves_most} of 60 wait for the cached prefix"
    );
    assert!(
        saves_little <= 26,
        "{saves_little} of 60 wait for a twentieth of their prefill"
    );
}
