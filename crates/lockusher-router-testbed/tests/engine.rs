//! The engine model behaves as the protocol page specifies, in virtual time.

use lockusher_router_testbed::engine::{
    Distance, Engine, EngineParameters, HandleId, JobKey, KvTransfer, MICROS_PER_MS, Micros,
    NO_DEADLINE, OrderResponse, Output, Part, Rejection, Stage, Submission,
};
use yare::parameterized;

const STEP: Micros = 4 * MICROS_PER_MS;
const HANDLE_HOLD: Micros = 5_000 * MICROS_PER_MS;
const STAGE_SWITCH: Micros = 2_000 * MICROS_PER_MS;
const LONG_AFTER: Micros = 60_000 * MICROS_PER_MS;

fn parameters() -> EngineParameters {
    EngineParameters {
        slots: 4,
        queue_limit: 3,
        cache_tokens: 16_000,
        block_tokens: 16,
        cache_token_bytes: 1_000,
        step: STEP,
        step_per_request: 100,
        prefill_tokens_per_ms: 100,
        prefill_chunk_tokens: 2_000,
        link_mbps: 8_000.0,
        handle_ttl: HANDLE_HOLD,
        stage_switch_duration: STAGE_SWITCH,
        max_link_wait: 2_000 * MICROS_PER_MS,
    }
}

fn part(id: u64, tokens: u64) -> Part {
    Part { id, tokens }
}

fn request(prompt: &[Part], tokens_out: u64) -> Submission {
    Submission {
        prefill_only: false,
        prompt: prompt.to_vec(),
        tokens_out,
        tokens_already_generated: 0,
        priority: 5,
        deadline: NO_DEADLINE,
        transfer: None,
    }
}

fn prefill(prompt: &[Part]) -> Submission {
    Submission {
        prefill_only: true,
        ..request(prompt, 0)
    }
}

fn first_token_at(outputs: &[Output], wanted: JobKey) -> Option<Micros> {
    outputs.iter().find_map(|output| match output {
        Output::Token { job, at, .. } if *job == wanted => Some(*at),
        _ => None,
    })
}

fn is_finished(outputs: &[Output], wanted: JobKey) -> bool {
    outputs
        .iter()
        .any(|output| matches!(output, Output::Finished { job, .. } if *job == wanted))
}

fn tokens_of(outputs: &[Output], wanted: JobKey) -> Vec<u64> {
    let tokens_generated = outputs.iter().filter_map(|output| match output {
        Output::Token {
            job,
            tokens_generated,
            ..
        } if *job == wanted => Some(*tokens_generated),
        _ => None,
    });
    tokens_generated.collect()
}

fn handle_of(outputs: &[Output]) -> HandleId {
    let found = outputs.iter().find_map(|output| match output {
        Output::Prefilled { handle, .. } => Some(*handle),
        _ => None,
    });
    found.expect("a prompt is prefilled")
}

#[test]
fn every_token_is_generated_once_and_in_order() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let job = engine
        .submit(0, request(&[part(1, 100)], 7))
        .expect("accepted");
    let outputs = engine.advance(LONG_AFTER);
    assert_eq!(tokens_of(&outputs, job), [1, 2, 3, 4, 5, 6, 7]);
    assert!(is_finished(&outputs, job));
    assert_eq!(engine.report().cache_used, 0);
    assert_eq!(engine.next_event_at(), None);
}

#[test]
fn a_token_takes_longer_the_more_requests_run() {
    let single = batch_duration(1);
    let four = batch_duration(4);
    assert!(
        four > single,
        "four requests took {four} us, one took {single} us"
    );
}

fn batch_duration(requests: u64) -> Micros {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    for id in 0..requests {
        engine
            .submit(0, request(&[part(id, 16)], 50))
            .expect("accepted");
    }
    let outputs = engine.advance(LONG_AFTER);
    outputs
        .iter()
        .map(|output| {
            if let Output::Finished { at, .. } = output {
                *at
            } else {
                0
            }
        })
        .max()
        .unwrap_or(0)
}

#[test]
fn prefill_is_interleaved_with_decoding() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let running = engine
        .submit(0, request(&[part(1, 16)], 1_000))
        .expect("accepted");
    engine.advance(10 * STEP);
    let before = 10 * STEP;
    let long = engine
        .submit(before, request(&[part(2, 8_000)], 1))
        .expect("accepted");
    let outputs = engine.advance(LONG_AFTER);
    let first_token = first_token_at(&outputs, long).expect("a first token");
    let between = outputs.iter().filter(|output| {
        matches!(output, Output::Token { job, at, .. } if *job == running && *at > before && *at < first_token)
    });
    // 8,000 tokens in chunks of a quarter of 2,000 are 16 chunks; the running request gets a token between any two.
    assert!(between.count() >= 15);
}

#[test]
fn a_decode_searcher_prefills_at_half_the_speed() {
    let mut prefill_engine = Engine::new(parameters(), Stage::Prefill);
    prefill_engine
        .submit(0, prefill(&[part(1, 500)]))
        .expect("accepted");
    let prefill_step_end = prefill_engine.next_event_at().expect("a step");
    let mut decode_engine = Engine::new(parameters(), Stage::Decode);
    decode_engine
        .submit(0, request(&[part(1, 500)], 1))
        .expect("accepted");
    let decode_step_end = decode_engine.next_event_at().expect("a step");
    assert_eq!(decode_step_end - STEP, 2 * (prefill_step_end - STEP));
}

#[test]
fn a_cached_part_needs_no_prefill_if_all_parts_before_it_are_cached() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let shared = [part(1, 4_000), part(2, 4_000)];
    let first = engine.submit(0, request(&shared, 1)).expect("accepted");
    let uncached = first_token_at(&engine.advance(LONG_AFTER), first).expect("a first token");
    let second = engine
        .submit(LONG_AFTER, request(&shared, 1))
        .expect("accepted");
    let cached = first_token_at(&engine.advance(2 * LONG_AFTER), second).expect("a first token")
        - LONG_AFTER;
    assert_eq!(cached, STEP);
    assert!(uncached > 10 * cached);
    let reordered = [part(3, 16), part(1, 4_000)];
    let third = engine
        .submit(2 * LONG_AFTER, request(&reordered, 1))
        .expect("accepted");
    let unshared = first_token_at(&engine.advance(3 * LONG_AFTER), third).expect("a first token")
        - 2 * LONG_AFTER;
    assert!(
        unshared > 10 * cached,
        "part 1 follows a part that is not cached"
    );
}

#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    for (turn, id) in [1, 2, 3, 1, 4].into_iter().enumerate() {
        let now = turn as Micros * LONG_AFTER;
        engine
            .submit(now, request(&[part(id, 5_000)], 1))
            .expect("accepted");
        engine.advance(now + LONG_AFTER);
    }
    let cached_parts: Vec<bool> = (1..=4).map(|id| engine.caches_part(id)).collect();
    assert_eq!(cached_parts, [true, false, true, true]);
}

#[test]
fn a_full_queue_and_a_request_beyond_the_cache_size_are_rejected_as_full() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let too_large = request(&[part(1, 16_001)], 1);
    assert_eq!(engine.submit(0, too_large), Err(Rejection::Full));
    for id in 0..7 {
        engine
            .submit(0, request(&[part(id, 16)], 100))
            .expect("four run and three wait");
    }
    assert_eq!(
        engine.submit(0, request(&[part(9, 16)], 100)),
        Err(Rejection::Full)
    );
}

#[parameterized(
    decode_at_prefill = { Stage::Prefill, false },
    prefill_at_decode = { Stage::Decode, true },
)]
fn the_wrong_stage_is_rejected(stage: Stage, prefill_only: bool) {
    let mut engine = Engine::new(parameters(), stage);
    let submission = Submission {
        prefill_only,
        ..request(&[part(1, 16)], 1)
    };
    assert_eq!(engine.submit(0, submission), Err(Rejection::WrongStage));
}

#[test]
fn a_prefilled_prompt_is_held_until_its_handle_expires() {
    let mut engine = Engine::new(parameters(), Stage::Prefill);
    engine
        .submit(0, prefill(&[part(1, 1_000)]))
        .expect("accepted");
    engine.advance(1_000 * MICROS_PER_MS);
    assert_eq!(engine.report().prompt_handles, 1);
    assert!(engine.report().cache_used >= 1_000);
    engine.advance(LONG_AFTER);
    assert_eq!(engine.report().prompt_handles, 0);
    assert_eq!(engine.report().cache_used, 0);
}

#[test]
fn a_handle_can_be_taken_once() {
    let mut engine = Engine::new(parameters(), Stage::Prefill);
    engine
        .submit(0, prefill(&[part(1, 1_000)]))
        .expect("accepted");
    let now = 1_000 * MICROS_PER_MS;
    let handle = handle_of(&engine.advance(now));
    assert_eq!(engine.take_handle(now, handle), Some(vec![part(1, 1_000)]));
    assert_eq!(engine.take_handle(now, handle), None);
    assert_eq!(engine.report().cache_used, 0);
    assert!(engine.caches_part(1), "the part stays cached");
}

fn request_with_transfer(parts: &[Part], distance: Distance) -> Submission {
    let transfer = Some(KvTransfer {
        parts: parts.to_vec(),
        distance,
    });
    Submission {
        transfer,
        ..request(parts, 1)
    }
}

/// 1,000 tokens of 1,000 bytes take one millisecond at 8,000 Mbit/s.
#[parameterized(
    same_zone = { Distance::SameZone, 1 },
    other_zone = { Distance::OtherZone, 2 },
    other_region = { Distance::OtherRegion, 10 },
)]
fn a_transfer_takes_as_long_as_its_bytes_on_the_link(distance: Distance, milliseconds: u64) {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let job = engine
        .submit(0, request_with_transfer(&[part(1, 1_000)], distance))
        .expect("accepted");
    let outputs = engine.advance(LONG_AFTER);
    let first_token = first_token_at(&outputs, job).expect("a first token");
    assert_eq!(first_token, milliseconds * MICROS_PER_MS + STEP + 100);
    assert!(
        engine.caches_part(1),
        "transferred parts are cached like prefilled ones"
    );
}

#[test]
fn transfers_are_sequential_and_rejected_if_they_would_wait_over_two_seconds() {
    let slow = EngineParameters {
        link_mbps: 8.0,
        ..parameters()
    };
    let mut engine = Engine::new(slow, Stage::Decode);
    let first = engine
        .submit(
            0,
            request_with_transfer(&[part(1, 1_000)], Distance::SameZone),
        )
        .expect("accepted");
    let second = engine
        .submit(
            0,
            request_with_transfer(&[part(2, 1_500)], Distance::SameZone),
        )
        .expect("waits one second");
    assert_eq!(
        engine.submit(0, request_with_transfer(&[part(3, 16)], Distance::SameZone)),
        Err(Rejection::LinkBusy)
    );
    let outputs = engine.advance(LONG_AFTER);
    let first_token = |job| first_token_at(&outputs, job).expect("a first token");
    assert!(first_token(first) >= 1_000 * MICROS_PER_MS);
    assert!(first_token(second) >= 2_500 * MICROS_PER_MS);
}

#[test]
fn the_newest_of_the_least_urgent_is_preempted_and_prefilled_again() {
    let small_cache = EngineParameters {
        cache_tokens: 3_200,
        ..parameters()
    };
    let mut engine = Engine::new(small_cache, Stage::Decode);
    let urgent = engine
        .submit(
            0,
            Submission {
                priority: 1,
                ..request(&[part(1, 1_000)], 600)
            },
        )
        .expect("accepted");
    let older = engine
        .submit(0, request(&[part(2, 800)], 500))
        .expect("accepted");
    let newest = engine
        .submit(0, request(&[part(3, 800)], 500))
        .expect("accepted");
    let outputs = engine.advance(LONG_AFTER);
    let preempted: Vec<JobKey> = outputs
        .iter()
        .filter_map(|output| {
            if let Output::Preempted { job, .. } = output {
                Some(*job)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(preempted.first(), Some(&newest));
    assert!(!preempted.contains(&urgent));
    for job in [urgent, older, newest] {
        assert!(is_finished(&outputs, job));
    }
    assert_eq!(tokens_of(&outputs, newest), (1..=500).collect::<Vec<u64>>());
}

#[test]
fn the_more_urgent_are_admitted_first_and_preempt() {
    let single = EngineParameters {
        slots: 1,
        ..parameters()
    };
    let mut engine = Engine::new(single, Stage::Decode);
    let ordinary = engine
        .submit(0, request(&[part(1, 16)], 100))
        .expect("accepted");
    engine.advance(10 * STEP);
    let waiting = engine
        .submit(10 * STEP, request(&[part(2, 16)], 10))
        .expect("accepted");
    let urgent = Submission {
        priority: 0,
        ..request(&[part(3, 16)], 10)
    };
    let urgent = engine.submit(10 * STEP, urgent).expect("accepted");
    let outputs = engine.advance(LONG_AFTER);
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::Preempted { job, .. } if *job == ordinary))
    );
    assert!(first_token_at(&outputs, urgent) < first_token_at(&outputs, waiting));
}

#[test]
fn a_stream_resumes_after_the_tokens_generated_elsewhere() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let resumed = Submission {
        tokens_already_generated: 5,
        ..request(&[part(1, 100)], 8)
    };
    let job = engine.submit(0, resumed).expect("accepted");
    assert_eq!(tokens_of(&engine.advance(LONG_AFTER), job), [6, 7, 8]);
}

#[test]
fn a_deadline_is_a_rejection_in_the_queue_and_drops_a_started_request() {
    let single = EngineParameters {
        slots: 1,
        ..parameters()
    };
    let mut engine = Engine::new(single, Stage::Decode);
    let short = 20 * STEP;
    let running = engine
        .submit(
            0,
            Submission {
                deadline: short,
                ..request(&[part(1, 16)], 999)
            },
        )
        .expect("accepted");
    let queued = engine
        .submit(
            0,
            Submission {
                deadline: short,
                ..request(&[part(2, 16)], 9)
            },
        )
        .expect("accepted");
    let outputs = engine.advance(LONG_AFTER);
    assert!(outputs.contains(&Output::DeadlineExceeded {
        job: running,
        at: short
    }));
    let reason = Rejection::DeadlineInQueue;
    assert!(outputs.contains(&Output::Rejected {
        job: queued,
        reason,
        at: short
    }));
}

#[test]
fn a_stage_change_finishes_started_requests_and_rejects_the_rest() {
    let single = EngineParameters {
        slots: 1,
        ..parameters()
    };
    let mut engine = Engine::new(single, Stage::Decode);
    let running = engine
        .submit(0, request(&[part(1, 16)], 20))
        .expect("accepted");
    let queued = engine
        .submit(0, request(&[part(2, 16)], 20))
        .expect("accepted");
    let now = 5 * STEP;
    assert_eq!(
        engine.order_stage(now, Stage::Prefill, Some(0)),
        OrderResponse::Accepted
    );
    assert_eq!(
        engine.order_stage(now, Stage::Prefill, None),
        OrderResponse::AlreadyInStage
    );
    assert_eq!(
        engine.order_stage(now, Stage::Decode, None),
        OrderResponse::Conflict
    );
    assert_eq!(
        engine.submit(now, request(&[part(3, 16)], 1)),
        Err(Rejection::Busy)
    );
    let outputs = engine.advance(LONG_AFTER);
    assert!(is_finished(&outputs, running));
    assert!(outputs.contains(&Output::Rejected {
        job: queued,
        reason: Rejection::Busy,
        at: now
    }));
    assert_eq!(engine.report().stage, Stage::Prefill);
    assert_eq!(engine.report().sequence, 1);
    assert!(!engine.report().busy);
}

#[test]
fn an_order_that_expects_another_sequence_conflicts() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    assert_eq!(
        engine.order_stage(0, Stage::Prefill, Some(3)),
        OrderResponse::Conflict
    );
    assert!(!engine.report().busy);
}

#[test]
fn handles_survive_a_stage_change() {
    let mut engine = Engine::new(parameters(), Stage::Prefill);
    engine
        .submit(0, prefill(&[part(1, 100)]))
        .expect("accepted");
    let now = 100 * MICROS_PER_MS;
    let handle = handle_of(&engine.advance(now));
    assert_eq!(
        engine.order_stage(now, Stage::Decode, None),
        OrderResponse::Accepted
    );
    let later = now + STAGE_SWITCH + 1;
    engine.advance(later);
    assert_eq!(engine.report().stage, Stage::Decode);
    assert!(engine.take_handle(later, handle).is_some());
}

#[test]
fn a_cancelled_request_frees_its_slot_and_memory() {
    let mut engine = Engine::new(parameters(), Stage::Decode);
    let job = engine
        .submit(0, request(&[part(1, 1_000)], 500))
        .expect("accepted");
    engine.advance(100 * STEP);
    engine.cancel(job);
    engine.advance(LONG_AFTER);
    assert_eq!(engine.report().running, 0);
    assert_eq!(engine.report().cache_used, 0);
}
