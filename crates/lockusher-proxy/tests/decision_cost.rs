//! The cost of a choice at 10, 100 and 840 candidates. The bound holds for optimised builds; run them with
//! `cargo test --release -p lockusher-proxy --test decision_cost -- --nocapture`.

mod decision_support;

use std::time::Instant;

use decision_support::*;
use lockusher_config::instances::Stage;
use lockusher_proxy::decision::*;

/// Choices per batch. The fastest batch counts, because other processes share the machine.
const CHOICES_PER_BATCH: u64 = 40;

/// Minimum number of batches, and the maximum if none is within the bound.
const MIN_BATCHES: u64 = 50;
const MAX_BATCHES: u64 = 5_000;

/// The bound in microseconds for one choice.
const MAX_CHOICE_MICROS: f64 = 10.0;

/// Microseconds per choice among candidates that have all responded before.
fn choice_micros(candidates: usize, with_prompts: bool) -> f64 {
    let list: Vec<_> = (0..candidates)
        .map(|number| searcher(&format!("d{number}"), "a", Some(Stage::Decode)))
        .collect();
    let mut router = router(&list, 1);
    let attributes = |step: u64| {
        if with_prompts {
            streaming_request(step % 500, step)
        } else {
            request()
        }
    };
    for step in 0..20 * candidates as u64 {
        serve(
            &mut router,
            step * 100,
            &attributes(step),
            Purpose::Whole,
            50 * MS + step % 7 * MS,
        );
    }
    let mut now = 10 * SECOND;
    let mut fastest = f64::MAX;
    for batch in 0..MAX_BATCHES {
        if batch >= MIN_BATCHES && (fastest < MAX_CHOICE_MICROS || cfg!(debug_assertions)) {
            break;
        }
        let mut total_micros = 0.0;
        for step in 0..CHOICES_PER_BATCH {
            now += 200;
            let mut plan = admit(
                &mut router,
                now,
                &attributes(batch * CHOICES_PER_BATCH + step),
            );
            let begin = Instant::now();
            let choice = router.choose(now, &mut plan, Purpose::Whole);
            total_micros += begin.elapsed().as_secs_f64() * 1e6;
            let Choice::Send { ticket, .. } = choice else {
                panic!("expected a send")
            };
            router.record_outcome(now + 50 * MS, ticket, SendOutcome::Answered);
        }
        fastest = fastest.min(total_micros / CHOICES_PER_BATCH as f64);
    }
    fastest
}

#[test]
fn a_choice_among_840_takes_under_ten_microseconds() {
    for candidates in [10, 100, 840] {
        for with_prompts in [false, true] {
            let choice_micros = choice_micros(candidates, with_prompts);
            println!(
                "{candidates} candidates, prompts {with_prompts}: {choice_micros:.2} us per choice"
            );
            // Debug builds are about forty times slower.
            let max_micros = if cfg!(debug_assertions) {
                100.0 * MAX_CHOICE_MICROS
            } else {
                MAX_CHOICE_MICROS
            };
            assert!(
                choice_micros < max_micros,
                "{choice_micros} us per choice at {candidates} candidates"
            );
        }
    }
}

#[test]
fn the_size_of_a_searcher_record_is_bounded() {
    let bytes = RequestRouter::searcher_bytes();
    println!("{bytes} bytes per searcher, excluding the strings of its instance");
    assert!(bytes <= 512);
}
