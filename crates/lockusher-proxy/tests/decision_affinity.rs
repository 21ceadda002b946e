//! Shared parts of prompts: all proxies compute the same affinity targets.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;

/// Where each of so many openings goes, one request of each long after the other.
fn affinity_targets(
    router: &mut RequestRouter,
    start: Micros,
    openings: u64,
) -> HashMap<u64, String> {
    let home = |opening| {
        let now = start + opening * 200 * MS;
        (
            opening,
            serve(
                router,
                now,
                &prompt(opening, 1_000_000 + now),
                Purpose::Prefill,
                60 * MS,
            ),
        )
    };
    (0..openings).map(home).collect()
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
            &prompt(step % 37, step),
            Purpose::Prefill,
            30 * MS + (step % 7) * MS,
        );
    }
    let (mine, theirs) = (
        affinity_targets(&mut fresh, 0, 200),
        affinity_targets(&mut other, 60 * SECOND, 200),
    );
    let agreed = mine
        .iter()
        .filter(|(opening, home)| theirs[opening] == **home)
        .count();
    assert!(agreed >= 195, "{agreed} of 200");
    let mut spread: HashMap<&String, usize> = HashMap::new();
    mine.values()
        .for_each(|home| *spread.entry(home).or_default() += 1);
    assert!(
        spread.len() == 8 && spread.values().all(|count| *count < 60),
        "{spread:?}"
    );
}

#[test]
fn one_that_leaves_moves_only_its_own() {
    let list = split_fleet(8, 8);
    let mut router = router(&list, 1);
    let before = affinity_targets(&mut router, 0, 200);
    let fewer: Vec<_> = list
        .into_iter()
        .filter(|instance| instance.identifier != "r3")
        .collect();
    router.apply_instances(100 * SECOND, &fewer);
    let after = affinity_targets(&mut router, 200 * SECOND, 200);
    let moved = before
        .iter()
        .filter(|(opening, home)| *home != "r3" && after[opening] != **home)
        .count();
    assert!(moved <= 4, "{moved} moved without need");
    assert!(after.values().all(|home| home != "r3"));
}

#[test]
fn a_session_comes_back_to_what_it_was_sent_to() {
    let mut router = router(&split_fleet(8, 8), 1);
    let session = RequestFacts {
        prompt: vec![PromptPart {
            id: 77,
            tokens: 4_000,
        }],
        tokens_in: 4_000,
        ..prompt(1, 1)
    };
    let first = serve(&mut router, 0, &session, Purpose::Prefill, 60 * MS);
    for turn in 1..10 {
        // What is kept needs no reading.
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

/// A session's turns may come to any proxy: all choose the same searcher, though it is in another zone for some.
#[test]
fn proxies_in_other_zones_agree_on_a_sessions_searcher() {
    let list = spread_fleet(6, 6, 3);
    for id in 0..20 {
        let parts = vec![PromptPart { id, tokens: 3_000 }];
        let session = RequestFacts {
            prompt: parts,
            tokens_in: 3_000,
            ..prompt(1, 1)
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
fn an_affinity_target_that_is_busy_is_left() {
    let mut router = router(&split_fleet(4, 4), 1);
    for step in 0..50 {
        serve(
            &mut router,
            step * 100 * MS,
            &prompt(step, step),
            Purpose::Prefill,
            60 * MS,
        );
    }
    let now = 10 * SECOND;
    let mut met = HashMap::new();
    for step in 0..60 {
        let mut plan = admit(&mut router, now, &prompt(5, 1_000 + step));
        let (identifier, _) = send(&mut router, now, &mut plan, Purpose::Prefill);
        *met.entry(identifier).or_insert(0) += 1;
    }
    assert_eq!(met.len(), 4, "{met:?}");
    assert!(met.values().all(|count| *count <= 40), "{met:?}");
}

/// How many of sixty prompts that nobody has answered yet went to the searcher that got most.
fn most_at_one(shared: u32, own: u32) -> u32 {
    let mut router = router(&split_fleet(4, 4), 1);
    let facts = |opening: u64, step: u64| RequestFacts {
        prompt: vec![
            PromptPart {
                id: opening,
                tokens: shared,
            },
            PromptPart {
                id: 1_000_000 + step,
                tokens: own,
            },
        ],
        tokens_in: shared + own,
        ..prompt(1, 1)
    };
    for step in 0..50 {
        let tokens = 1_000 + 200 * (step as u32 % 20);
        let varied = RequestFacts {
            prompt: vec![PromptPart {
                id: 2_000_000 + step,
                tokens,
            }],
            tokens_in: tokens,
            ..prompt(1, 1)
        };
        serve(
            &mut router,
            step * 100 * MS,
            &varied,
            Purpose::Prefill,
            Micros::from(tokens) * 20,
        );
    }
    let mut met = HashMap::new();
    for step in 0..60 {
        let mut plan = admit(&mut router, 10 * SECOND, &facts(5, step));
        let (identifier, _) = send(&mut router, 10 * SECOND, &mut plan, Purpose::Prefill);
        *met.entry(identifier).or_insert(0) += 1;
    }
    met.into_values().max().expect("some were sent")
}

#[test]
fn an_affinity_target_that_saves_little_prefill_is_left_early() {
    let spares_most = most_at_one(3_800, 200);
    let spares_little = most_at_one(200, 3_800);
    assert!(
        spares_most >= 40,
        "{spares_most} of 60 wait for what is held"
    );
    assert!(
        spares_little <= 26,
        "{spares_little} of 60 wait for a twentieth of their reading"
    );
}
