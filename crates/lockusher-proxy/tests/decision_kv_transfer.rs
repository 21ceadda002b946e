//! KV transfers that fail: what is sent instead, and what is learned of the searchers and of the service.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;

/// Time between two requests of a flow.
const GAP: Micros = 20 * MS;

/// Why hand-overs fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The handles of this prefill searcher lapse at once.
    HandlesOf(&'static str),
    AllHandles,
    /// This decode searcher is full, and rejects whatever comes.
    Full(&'static str),
    /// All decode searchers but this one are full.
    FullBut(&'static str),
    /// All decode searchers are full.
    AllFull,
    /// This decode searcher fetches KV cache in eight times the usual time.
    SlowMoves(&'static str),
}

/// What a flow of requests came to.
#[derive(Debug, Default)]
struct Flow {
    /// Requests that were served.
    served: usize,
    /// Prompts read by each prefill searcher, and sends that brought a handle or the whole to each decode searcher.
    read: HashMap<String, usize>,
    handed: HashMap<String, usize>,
    whole: HashMap<String, usize>,
    rejected: usize,
    /// Rejected handles that the router would have sent to another searcher.
    offered_again: usize,
}

/// A flow of prompts, each with an opening of its own, one every 20 ms.
fn flow(
    router: &mut RequestRouter,
    start: Micros,
    requests: u64,
    facts: &RequestFacts,
    fault: Fault,
) -> Flow {
    let mut flow = Flow::default();
    for step in 0..requests {
        let prompt = prompt(start + 2 * step, start + 2 * step + 1).prompt;
        play(
            router,
            start + step * GAP,
            &RequestFacts {
                prompt,
                ..facts.clone()
            },
            fault,
            &mut flow,
        );
    }
    flow
}

/// One request by the proxy's rules: read for a hand-over where the router says so, and sent until it is taken.
fn play(
    router: &mut RequestRouter,
    now: Micros,
    facts: &RequestFacts,
    fault: Fault,
    flow: &mut Flow,
) {
    let mut plan = admit(router, now, facts);
    let mut holder = None;
    loop {
        if holder.is_none() && router.split(now, &plan) {
            let Choice::Send {
                identifier, ticket, ..
            } = router.choose(now, &mut plan, Purpose::Prefill)
            else {
                return;
            };
            router.outcome(now + 5 * MS, ticket, SendOutcome::Answered);
            *flow.read.entry(identifier.clone()).or_default() += 1;
            holder = Some(identifier);
        }
        let purpose = if holder.is_some() {
            Purpose::Decode
        } else {
            Purpose::Whole
        };
        let Choice::Send {
            identifier, ticket, ..
        } = router.choose(now, &mut plan, purpose)
        else {
            return;
        };
        let counts = if holder.is_some() {
            &mut flow.handed
        } else {
            &mut flow.whole
        };
        *counts.entry(identifier.clone()).or_default() += 1;
        let gone = holder.as_deref().is_some_and(|holder| match fault {
            Fault::AllHandles => true,
            Fault::HandlesOf(of) => of == holder,
            _ => false,
        });
        let full = match fault {
            Fault::Full(full) => full == identifier,
            Fault::AllFull => true,
            Fault::FullBut(other) => other != identifier,
            _ => false,
        };
        if gone || full {
            router.outcome(now + 6 * MS, ticket, SendOutcome::Rejected);
            flow.rejected += 1;
            let again = holder.is_some() && router.may_transfer_again(now, &plan);
            flow.offered_again += usize::from(again);
            holder = holder.filter(|_| again);
            continue;
        }
        let slow =
            holder.is_some() && matches!(fault, Fault::SlowMoves(slow) if slow == identifier);
        router.outcome(
            now + if slow { 80 * MS } else { 10 * MS },
            ticket,
            SendOutcome::FirstEvent,
        );
        router.outcome(now + 90 * MS, ticket, SendOutcome::Answered);
        flow.served += 1;
        return;
    }
}

/// A fleet that runs without a fault until its part of the retry budget is whole; the time then.
fn calm(prefill: usize, decode: usize) -> (RequestRouter, Micros) {
    let mut router = router(&split_fleet(prefill, decode), 5);
    router.set_fleet_size(1);
    let calm = flow(&mut router, 0, 1_000, &prompt(0, 0), Fault::None);
    assert_eq!(calm.served, 1_000);
    (router, 20 * SECOND)
}

fn transfer_that_is_rejected(
    router: &mut RequestRouter,
    now: Micros,
    attempts: u32,
) -> (RequestPlan, String) {
    let facts = RequestFacts {
        attempts,
        is_idempotent: false,
        ..prompt(1, 2)
    };
    let mut plan = admit(router, now, &facts);
    let (_, ticket) = send(router, now, &mut plan, Purpose::Prefill);
    router.outcome(now, ticket, SendOutcome::Answered);
    let (identifier, ticket) = send(router, now, &mut plan, Purpose::Decode);
    router.outcome(now, ticket, SendOutcome::Rejected);
    (plan, identifier)
}

#[test]
fn the_last_attempt_goes_whole() {
    let (mut router, now) = calm(4, 4);
    let (mut plan, first) = transfer_that_is_rejected(&mut router, now, 2);
    assert!(!router.may_transfer_again(now, &plan));
    assert!(!router.split(now, &plan));
    let (second, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
    assert_ne!(first, second);
    router.outcome(now, ticket, SendOutcome::Rejected);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn a_handle_is_sent_once_more_while_an_attempt_is_left_for_the_whole() {
    let (mut router, now) = calm(4, 4);
    let (plan, _) = transfer_that_is_rejected(&mut router, now, 3);
    assert!(router.may_transfer_again(now, &plan));
}

#[test]
fn without_attempts_left_the_searcher_that_rejected_a_transfer_is_asked_for_the_whole_once() {
    let (mut router, now) = calm(4, 4);
    let (mut plan, first) = transfer_that_is_rejected(&mut router, now, 1);
    assert!(!router.split(now, &plan));
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Decode),
        Choice::Exhausted
    );
    let (second, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
    assert_eq!(first, second, "no further searcher");
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted,
        "one is out"
    );
    router.outcome(now, ticket, SendOutcome::Rejected);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn a_searcher_that_has_left_is_not_asked_for_the_whole() {
    let (mut router, now) = calm(4, 4);
    let (mut plan, first) = transfer_that_is_rejected(&mut router, now, 1);
    let mut list = split_fleet(4, 4);
    list.retain(|instance| instance.identifier != first);
    router.apply_instances(now, &list);
    assert!(!matches!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Send { .. }
    ));
}

#[test]
fn asking_for_the_whole_is_paid_from_the_retry_budget() {
    let mut router = router(&split_fleet(4, 4), 1);
    // Without requests and with a share of nothing, the budget has no room for a repeat.
    router.set_fleet_size(u32::MAX);
    let (mut plan, _) = transfer_that_is_rejected(&mut router, 0, 1);
    assert_eq!(
        router.choose(0, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn prompts_are_read_in_place_while_no_handle_is_taken() {
    let (mut router, now) = calm(4, 4);
    let failing = flow(&mut router, now, 500, &prompt(0, 0), Fault::AllHandles);
    assert!(failing.served >= 490, "{failing:?}");
    assert!(failing.rejected <= 20, "{failing:?}");
    let trials = flow(
        &mut router,
        now + 10 * SECOND,
        1_000,
        &prompt(0, 0),
        Fault::AllHandles,
    );
    assert!(
        (1..=6).contains(&trials.rejected),
        "a trial now and then: {trials:?}"
    );
    // The first trial that succeeds brings the hand-overs back.
    let mended = flow(
        &mut router,
        now + 30 * SECOND,
        1_000,
        &prompt(0, 0),
        Fault::None,
    );
    let read: usize = mended.read.values().sum();
    assert!(read > 400, "{mended:?}");
    assert_eq!(mended.served, 1_000);
}

#[test]
fn requests_with_one_attempt_are_served_while_no_handle_is_taken() {
    let (mut router, now) = calm(4, 4);
    let facts = RequestFacts {
        attempts: 1,
        is_idempotent: false,
        ..prompt(0, 0)
    };
    let failing = flow(&mut router, now, 500, &facts, Fault::AllHandles);
    assert!(failing.served >= 490, "{failing:?}");
}

#[test]
fn a_searcher_whose_handles_lapse_loses_its_prompts_and_gets_them_back() {
    let (mut router, now) = calm(4, 4);
    let fault = Fault::HandlesOf("r1");
    let lapsing = flow(&mut router, now, 250, &prompt(0, 0), fault);
    assert!(lapsing.rejected <= 25, "{lapsing:?}");
    assert_eq!(lapsing.served, 250);
    assert!(
        lapsing.read.values().sum::<usize>() > 200,
        "the others go on: {lapsing:?}"
    );
    flow(
        &mut router,
        now + 5 * SECOND,
        1_000,
        &prompt(0, 0),
        Fault::None,
    );
    let mended = flow(
        &mut router,
        now + 25 * SECOND,
        400,
        &prompt(0, 0),
        Fault::None,
    );
    assert!(mended.read["r1"] > 50, "{mended:?}");
}

#[test]
fn a_full_decode_searcher_costs_neither_the_prefill_searchers_nor_the_kv_transfers() {
    let (mut router, now) = calm(4, 4);
    let full = flow(&mut router, now, 500, &prompt(0, 0), Fault::Full("d2"));
    assert!(full.read.values().sum::<usize>() > 450, "{full:?}");
    assert!(
        (0..4).all(|number| full.read[&format!("r{number}")] > 60),
        "{full:?}"
    );
    assert!(full.rejected <= 120, "{full:?}");
}

#[test]
fn kv_transfers_go_on_while_most_decode_searchers_are_full() {
    let (mut router, now) = calm(4, 4);
    let facts = RequestFacts {
        attempts: 4,
        ..prompt(0, 0)
    };
    let full = flow(&mut router, now, 500, &facts, Fault::FullBut("d0"));
    assert!(full.read.values().sum::<usize>() > 450, "{full:?}");
}

#[test]
fn kv_transfers_are_back_soon_after_all_decode_searchers_were_full() {
    let (mut router, now) = calm(4, 4);
    flow(&mut router, now, 400, &prompt(0, 0), Fault::AllFull);
    let after = flow(
        &mut router,
        now + 8 * SECOND,
        150,
        &prompt(0, 0),
        Fault::None,
    );
    assert!(after.read.values().sum::<usize>() >= 80, "{after:?}");
}

#[test]
fn slow_moves_cost_a_decode_searcher_its_kv_transfers() {
    let (mut router, now) = calm(4, 4);
    let slow = flow(&mut router, now, 500, &prompt(0, 0), Fault::SlowMoves("d2"));
    assert!(
        slow.handed.get("d2").copied().unwrap_or(0) <= 40,
        "{slow:?}"
    );
}

#[test]
fn a_handle_that_met_a_full_searcher_is_offered_to_the_next_with_the_last_attempt() {
    let (mut router, now) = calm(4, 4);
    let full = flow(&mut router, now, 500, &prompt(0, 0), Fault::Full("d2"));
    assert!(full.rejected >= 5, "it is tried now and then: {full:?}");
    // The first rejections tell nothing yet.
    assert!(full.offered_again + 2 >= full.rejected, "{full:?}");
    let lapsing = flow(
        &mut router,
        now + 30 * SECOND,
        250,
        &prompt(0, 0),
        Fault::HandlesOf("r1"),
    );
    assert!(lapsing.offered_again * 4 <= lapsing.rejected, "{lapsing:?}");
}

#[test]
fn slow_moves_leave_a_decode_searcher_whole_requests() {
    let (mut router, now) = calm(4, 4);
    flow(&mut router, now, 250, &prompt(0, 0), Fault::SlowMoves("d2"));
    let now = now + 5 * SECOND;
    let mut sends = 0;
    for step in 0..400 {
        let now = now + step * GAP;
        flow(&mut router, now, 1, &prompt(0, 0), Fault::SlowMoves("d2"));
        let identifier = serve(
            &mut router,
            now + GAP / 2,
            &prompt(step, step),
            Purpose::Whole,
            10 * MS,
        );
        sends += usize::from(identifier == "d2");
    }
    assert!(sends >= 20, "{sends} of 400");
}
