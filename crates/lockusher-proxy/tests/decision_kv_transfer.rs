//! Failing KV transfers: what is sent instead, and how they affect the state of the searchers and of the service.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;

/// Time between two requests.
const GAP: Micros = 20 * MS;

/// Why KV transfers fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The handles of this prefill searcher expire at once.
    ExpiringHandlesOf(&'static str),
    AllHandles,
    /// This decode searcher is full and rejects every request.
    Full(&'static str),
    /// All decode searchers but this one are full.
    AllFullExcept(&'static str),
    /// All decode searchers are full.
    AllFull,
    /// This decode searcher fetches KV cache in eight times the usual time.
    SlowTransfers(&'static str),
}

/// The results of a sequence of requests.
#[derive(Debug, Default)]
struct Results {
    /// Requests that were served.
    served: usize,
    /// Prefills by prefill searcher, and sends with a handle and of complete requests by decode searcher.
    prefills: HashMap<String, usize>,
    transfers: HashMap<String, usize>,
    complete: HashMap<String, usize>,
    rejected: usize,
    /// Rejected handles that the router would have sent to another searcher.
    resendable: usize,
}

/// Sends requests with distinct prefixes, one every 20 ms.
fn flow(
    router: &mut RequestRouter,
    start: Micros,
    requests: u64,
    attributes: &RequestAttributes,
    fault: Fault,
) -> Results {
    let mut results = Results::default();
    for step in 0..requests {
        let prompt = streaming_request(start + 2 * step, start + 2 * step + 1).prompt;
        send_until_accepted(
            router,
            start + step * GAP,
            &RequestAttributes {
                prompt,
                ..attributes.clone()
            },
            fault,
            &mut results,
        );
    }
    results
}

/// Sends one request as the proxy does: prefills it for a transfer if the router splits it, and retries until accepted.
fn send_until_accepted(
    router: &mut RequestRouter,
    now: Micros,
    attributes: &RequestAttributes,
    fault: Fault,
    results: &mut Results,
) {
    let mut plan = admit(router, now, attributes);
    let mut holder = None;
    loop {
        if holder.is_none() && router.should_split(now, &plan) {
            let Choice::Send {
                identifier, ticket, ..
            } = router.choose(now, &mut plan, Purpose::Prefill)
            else {
                return;
            };
            router.record_outcome(now + 5 * MS, ticket, SendOutcome::Answered);
            *results.prefills.entry(identifier.clone()).or_default() += 1;
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
            &mut results.transfers
        } else {
            &mut results.complete
        };
        *counts.entry(identifier.clone()).or_default() += 1;
        let is_handle_gone = holder.as_deref().is_some_and(|holder| match fault {
            Fault::AllHandles => true,
            Fault::ExpiringHandlesOf(of) => of == holder,
            _ => false,
        });
        let is_full = match fault {
            Fault::Full(full) => full == identifier,
            Fault::AllFull => true,
            Fault::AllFullExcept(other) => other != identifier,
            _ => false,
        };
        if is_handle_gone || is_full {
            router.record_outcome(now + 6 * MS, ticket, SendOutcome::Rejected);
            results.rejected += 1;
            let may_resend = holder.is_some() && router.may_transfer_again(now, &plan);
            results.resendable += usize::from(may_resend);
            holder = holder.filter(|_| may_resend);
            continue;
        }
        let is_slow =
            holder.is_some() && matches!(fault, Fault::SlowTransfers(slow) if slow == identifier);
        router.record_outcome(
            now + if is_slow { 80 * MS } else { 10 * MS },
            ticket,
            SendOutcome::FirstEvent,
        );
        router.record_outcome(now + 90 * MS, ticket, SendOutcome::Answered);
        results.served += 1;
        return;
    }
}

/// Runs a fleet without faults until its share of the retry budget is fully available; returns the time.
fn run_without_faults(prefill: usize, decode: usize) -> (RequestRouter, Micros) {
    let mut router = router(&split_fleet(prefill, decode), 5);
    router.set_fleet_size(1);
    let results = flow(&mut router, 0, 1_000, &streaming_request(0, 0), Fault::None);
    assert_eq!(results.served, 1_000);
    (router, 20 * SECOND)
}

fn reject_first_transfer(
    router: &mut RequestRouter,
    now: Micros,
    attempts: u32,
) -> (RequestPlan, String) {
    let attributes = RequestAttributes {
        attempts,
        is_idempotent: false,
        ..streaming_request(1, 2)
    };
    let mut plan = admit(router, now, &attributes);
    let (_, ticket) = send(router, now, &mut plan, Purpose::Prefill);
    router.record_outcome(now, ticket, SendOutcome::Answered);
    let (identifier, ticket) = send(router, now, &mut plan, Purpose::Decode);
    router.record_outcome(now, ticket, SendOutcome::Rejected);
    (plan, identifier)
}

#[test]
fn the_last_attempt_sends_the_complete_request() {
    let (mut router, now) = run_without_faults(4, 4);
    let (mut plan, first) = reject_first_transfer(&mut router, now, 2);
    assert!(!router.may_transfer_again(now, &plan));
    assert!(!router.should_split(now, &plan));
    let (second, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
    assert_ne!(first, second);
    router.record_outcome(now, ticket, SendOutcome::Rejected);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn a_rejected_handle_is_resent_while_an_attempt_is_left_for_the_complete_request() {
    let (mut router, now) = run_without_faults(4, 4);
    let (plan, _) = reject_first_transfer(&mut router, now, 3);
    assert!(router.may_transfer_again(now, &plan));
}

#[test]
fn without_attempts_left_the_rejecting_searcher_gets_the_complete_request_once() {
    let (mut router, now) = run_without_faults(4, 4);
    let (mut plan, first) = reject_first_transfer(&mut router, now, 1);
    assert!(!router.should_split(now, &plan));
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Decode),
        Choice::Exhausted
    );
    let (second, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
    assert_eq!(first, second, "no additional searcher");
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted,
        "one send is in flight"
    );
    router.record_outcome(now, ticket, SendOutcome::Rejected);
    assert_eq!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn a_removed_searcher_does_not_get_the_complete_request() {
    let (mut router, now) = run_without_faults(4, 4);
    let (mut plan, first) = reject_first_transfer(&mut router, now, 1);
    let mut list = split_fleet(4, 4);
    list.retain(|instance| instance.identifier != first);
    router.apply_instances(now, &list);
    assert!(!matches!(
        router.choose(now, &mut plan, Purpose::Whole),
        Choice::Send { .. }
    ));
}

#[test]
fn resending_the_complete_request_is_charged_to_the_retry_budget() {
    let mut router = router(&split_fleet(4, 4), 1);
    // Without requests and with a negligible share of the slack, the budget has no capacity for a retry.
    router.set_fleet_size(u32::MAX);
    let (mut plan, _) = reject_first_transfer(&mut router, 0, 1);
    assert_eq!(
        router.choose(0, &mut plan, Purpose::Whole),
        Choice::Exhausted
    );
}

#[test]
fn prompts_are_prefilled_in_place_while_every_handle_is_rejected() {
    let (mut router, now) = run_without_faults(4, 4);
    let failing = flow(
        &mut router,
        now,
        500,
        &streaming_request(0, 0),
        Fault::AllHandles,
    );
    assert!(failing.served >= 490, "{failing:?}");
    assert!(failing.rejected <= 20, "{failing:?}");
    let probes = flow(
        &mut router,
        now + 10 * SECOND,
        1_000,
        &streaming_request(0, 0),
        Fault::AllHandles,
    );
    assert!(
        (1..=6).contains(&probes.rejected),
        "occasional probes: {probes:?}"
    );
    // The first successful probe resumes the transfers.
    let recovered = flow(
        &mut router,
        now + 30 * SECOND,
        1_000,
        &streaming_request(0, 0),
        Fault::None,
    );
    let prefills: usize = recovered.prefills.values().sum();
    assert!(prefills > 400, "{recovered:?}");
    assert_eq!(recovered.served, 1_000);
}

#[test]
fn requests_with_one_attempt_are_served_while_every_handle_is_rejected() {
    let (mut router, now) = run_without_faults(4, 4);
    let attributes = RequestAttributes {
        attempts: 1,
        is_idempotent: false,
        ..streaming_request(0, 0)
    };
    let failing = flow(&mut router, now, 500, &attributes, Fault::AllHandles);
    assert!(failing.served >= 490, "{failing:?}");
}

#[test]
fn a_searcher_whose_handles_expire_loses_its_prefills_until_it_recovers() {
    let (mut router, now) = run_without_faults(4, 4);
    let fault = Fault::ExpiringHandlesOf("r1");
    let expiring = flow(&mut router, now, 250, &streaming_request(0, 0), fault);
    assert!(expiring.rejected <= 25, "{expiring:?}");
    assert_eq!(expiring.served, 250);
    assert!(
        expiring.prefills.values().sum::<usize>() > 200,
        "the other searchers continue: {expiring:?}"
    );
    flow(
        &mut router,
        now + 5 * SECOND,
        1_000,
        &streaming_request(0, 0),
        Fault::None,
    );
    let recovered = flow(
        &mut router,
        now + 25 * SECOND,
        400,
        &streaming_request(0, 0),
        Fault::None,
    );
    assert!(recovered.prefills["r1"] > 50, "{recovered:?}");
}

#[test]
fn a_full_decode_searcher_reduces_neither_prefills_nor_kv_transfers() {
    let (mut router, now) = run_without_faults(4, 4);
    let full = flow(
        &mut router,
        now,
        500,
        &streaming_request(0, 0),
        Fault::Full("d2"),
    );
    assert!(full.prefills.values().sum::<usize>() > 450, "{full:?}");
    assert!(
        (0..4).all(|number| full.prefills[&format!("r{number}")] > 60),
        "{full:?}"
    );
    assert!(full.rejected <= 120, "{full:?}");
}

#[test]
fn kv_transfers_continue_while_most_decode_searchers_are_full() {
    let (mut router, now) = run_without_faults(4, 4);
    let attributes = RequestAttributes {
        attempts: 4,
        ..streaming_request(0, 0)
    };
    let full = flow(
        &mut router,
        now,
        500,
        &attributes,
        Fault::AllFullExcept("d0"),
    );
    assert!(full.prefills.values().sum::<usize>() > 450, "{full:?}");
}

#[test]
fn kv_transfers_resume_soon_after_all_decode_searchers_were_full() {
    let (mut router, now) = run_without_faults(4, 4);
    flow(
        &mut router,
        now,
        400,
        &streaming_request(0, 0),
        Fault::AllFull,
    );
    let after = flow(
        &mut router,
        now + 8 * SECOND,
        150,
        &streaming_request(0, 0),
        Fault::None,
    );
    assert!(after.prefills.values().sum::<usize>() >= 80, "{after:?}");
}

#[test]
fn slow_kv_transfers_divert_transfers_from_a_decode_searcher() {
    let (mut router, now) = run_without_faults(4, 4);
    let slow = flow(
        &mut router,
        now,
        500,
        &streaming_request(0, 0),
        Fault::SlowTransfers("d2"),
    );
    assert!(
        slow.transfers.get("d2").copied().unwrap_or(0) <= 40,
        "{slow:?}"
    );
}

#[test]
fn a_handle_rejected_by_a_full_searcher_is_resent_with_the_last_attempt() {
    let (mut router, now) = run_without_faults(4, 4);
    let full = flow(
        &mut router,
        now,
        500,
        &streaming_request(0, 0),
        Fault::Full("d2"),
    );
    assert!(full.rejected >= 5, "it still gets some transfers: {full:?}");
    // The first rejections don't show the cause yet.
    assert!(full.resendable + 2 >= full.rejected, "{full:?}");
    let expiring = flow(
        &mut router,
        now + 30 * SECOND,
        250,
        &streaming_request(0, 0),
        Fault::ExpiringHandlesOf("r1"),
    );
    assert!(expiring.resendable * 4 <= expiring.rejected, "{expiring:?}");
}

#[test]
fn slow_kv_transfers_do_not_divert_complete_requests() {
    let (mut router, now) = run_without_faults(4, 4);
    flow(
        &mut router,
        now,
        250,
        &streaming_request(0, 0),
        Fault::SlowTransfers("d2"),
    );
    let now = now + 5 * SECOND;
    let mut sends = 0;
    for step in 0..400 {
        let now = now + step * GAP;
        flow(
            &mut router,
            now,
            1,
            &streaming_request(0, 0),
            Fault::SlowTransfers("d2"),
        );
        let identifier = serve(
            &mut router,
            now + GAP / 2,
            &streaming_request(step, step),
            Purpose::Whole,
            10 * MS,
        );
        sends += usize::from(identifier == "d2");
    }
    assert!(sends >= 20, "{sends} of 400");
}
