//! What a choice costs at 10, 100 and 840 candidates. The bound holds for optimised builds; run it by
//! `cargo test --release -p lockusher-proxy --test decision_cost -- --nocapture`.

mod decision_support;

use std::time::Instant;

use decision_support::*;
use lockusher_config::instances::Stage;
use lockusher_proxy::decision::*;

/// Choices in one batch; the quickest batch counts, as others share the machine.
const BATCH: u64 = 40;

/// Batches: at least so many, and more until one is within the bound.
const BATCHES: u64 = 50;
const MOST_BATCHES: u64 = 5_000;

/// The bound in microseconds for one choice.
const BOUND: f64 = 10.0;

/// Microseconds of one choice at so many candidates, all of them heard from.
fn cost(candidates: usize, prompts: bool) -> f64 {
    let list: Vec<_> = (0..candidates)
        .map(|number| searcher(&format!("d{number}"), "a", Some(Stage::Decode)))
        .collect();
    let mut router = router(&list, 1);
    let facts = |step: u64| {
        if prompts {
            prompt(step % 500, step)
        } else {
            request()
        }
    };
    for step in 0..20 * candidates as u64 {
        serve(
            &mut router,
            step * 100,
            &facts(step),
            Purpose::Whole,
            50 * MS + step % 7 * MS,
        );
    }
    let mut now = 10 * SECOND;
    let mut quickest = f64::MAX;
    for batch in 0..MOST_BATCHES {
        if batch >= BATCHES && (quickest < BOUND || cfg!(debug_assertions)) {
            break;
        }
        let mut spent = 0.0;
        for step in 0..BATCH {
            now += 200;
            let mut plan = admit(&mut router, now, &facts(batch * BATCH + step));
            let begin = Instant::now();
            let choice = router.choose(now, &mut plan, Purpose::Whole);
            spent += begin.elapsed().as_secs_f64() * 1e6;
            let Choice::Send { ticket, .. } = choice else {
                panic!("no send")
            };
            router.outcome(now + 50 * MS, ticket, SendOutcome::Answered);
        }
        quickest = quickest.min(spent / BATCH as f64);
    }
    quickest
}

#[test]
fn a_choice_among_840_takes_under_ten_microseconds() {
    for candidates in [10, 100, 840] {
        for prompts in [false, true] {
            let cost = cost(candidates, prompts);
            println!("{candidates} candidates, prompts {prompts}: {cost:.2} us a choice");
            // Builds for debugging are some forty times as slow.
            let bound = if cfg!(debug_assertions) {
                100.0 * BOUND
            } else {
                BOUND
            };
            assert!(cost < bound, "{cost} us at {candidates} candidates");
        }
    }
}

#[test]
fn the_memory_of_a_searcher_is_bounded() {
    let bytes = RequestRouter::searcher_bytes();
    println!("{bytes} bytes a searcher, besides its entry of the list");
    assert!(bytes <= 512);
}
