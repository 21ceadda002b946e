//! Lease under which heads send orders: with simulated clocks, delays and pauses, orders of two successive heads arrive
//! at least one lease apart.

use lockusher_control::Millis;
use lockusher_control::chain_role::ChainRole;
use lockusher_control::stage_assignment_lease::StageAssignmentLease;
use proptest::prelude::*;

const LEASE_MS: Millis = 3_000;

#[test]
fn a_new_head_waits_two_leases() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    assert_eq!(lease.fencing_token(15_999), None);
    assert_eq!(lease.fencing_token(16_000), Some(4));
}

#[test]
fn a_head_that_stays_head_in_the_next_epoch_need_not_wait_again() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    lease.observe(20_000, ChainRole::head(5));
    assert_eq!(lease.fencing_token(20_000), Some(5));
}

#[test]
fn a_head_that_was_replaced_in_between_waits_again() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    lease.observe(20_000, ChainRole::not_head(5));
    assert_eq!(lease.fencing_token(30_000), None);
    lease.observe(30_000, ChainRole::head(6));
    assert_eq!(lease.fencing_token(35_999), None);
    assert_eq!(lease.fencing_token(36_000), Some(6));
}

#[test]
fn a_head_that_lost_contact_temporarily_keeps_its_fencing_token() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    lease.observe(20_000, ChainRole::not_head(4));
    assert_eq!(lease.fencing_token(20_500), None);
    lease.observe(21_000, ChainRole::head(4));
    assert_eq!(lease.fencing_token(21_000), Some(4));
}

#[test]
fn a_confirmation_expires() {
    let lease = StageAssignmentLease::new(LEASE_MS, 0);
    assert!(lease.is_confirmation_valid(1_000, 2_499));
    assert!(!lease.is_confirmation_valid(1_000, 2_500));
}

/// An order that reached a searcher.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    fencing_token: u64,
    holder: usize,
}

/// One attempt of a head to send an order: it requests a confirmation, waits for the voters' responses, pauses, and
/// sends the order.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    started_at: Millis,
    confirmed_after_ms: Millis,
    paused_for_ms: Millis,
    transit_ms: Millis,
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let attempt = (0u64..30_000, 0u64..4_000, 0u64..6_000, 0u64..600).prop_map(
        |(started_at, confirmed_after_ms, paused_for_ms, transit_ms)| Attempt {
            started_at,
            confirmed_after_ms,
            paused_for_ms,
            transit_ms,
        },
    );
    prop::collection::vec(attempt, 0..60)
}

/// The arrivals of one holder's orders. The holder considers itself head from `head_from` on; voters confirm its epoch
/// until `agreed_at`, when a majority accepts the next one. Its monotonic clock is `skew_ms` ahead of the simulated
/// time.
fn arrivals(
    holder: usize,
    epoch: u64,
    head_from: Millis,
    agreed_at: Millis,
    skew_ms: Millis,
    attempts: &[Attempt],
) -> Vec<Arrival> {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(head_from + skew_ms, ChainRole::head(epoch));
    let mut arrivals = Vec::new();
    for attempt in attempts {
        let requested_at = attempt.started_at;
        // A voter may confirm at any time between request and response, but not after it has accepted the next epoch.
        if requested_at < head_from || requested_at >= agreed_at {
            continue;
        }
        let sent_at = requested_at + attempt.confirmed_after_ms + attempt.paused_for_ms;
        let transit_ms = attempt.transit_ms.min(lease.attempt_timeout_ms());
        let fencing_token = lease.fencing_token(sent_at + skew_ms);
        if let (Some(fencing_token), true) = (
            fencing_token,
            lease.is_confirmation_valid(requested_at + skew_ms, sent_at + skew_ms),
        ) {
            arrivals.push(Arrival {
                at: sent_at + transit_ms,
                fencing_token,
                holder,
            });
        }
    }
    arrivals
}

proptest! {
    #[test]
    fn orders_of_two_heads_arrive_at_least_a_lease_apart(
        agreed_at in 8_000u64..20_000,
        learned_after_ms in 0u64..3_000,
        skews_ms in (0u64..100_000, 0u64..100_000),
        former in attempts(),
        next in attempts(),
    ) {
        let mut all = arrivals(1, 4, 0, agreed_at, skews_ms.0, &former);
        all.extend(arrivals(2, 5, agreed_at + learned_after_ms, Millis::MAX, skews_ms.1, &next));
        all.sort_by_key(|arrival| arrival.at);
        for pair in all.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            prop_assert!(earlier.fencing_token <= later.fencing_token, "fencing token decreases: {earlier:?} {later:?}");
            if earlier.holder != later.holder {
                prop_assert!(earlier.fencing_token != later.fencing_token);
                prop_assert!(later.at - earlier.at >= LEASE_MS, "less than a lease apart: {earlier:?} {later:?}");
            }
        }
    }
}
