//! Orders of a head and the next one before simulated clocks, delays and pauses: they never take turns within the lease.

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
fn a_head_that_goes_on_in_the_next_epoch_needs_no_wait() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    lease.observe(20_000, ChainRole::head(5));
    assert_eq!(lease.fencing_token(20_000), Some(5));
}

#[test]
fn a_head_that_was_followed_by_another_waits_anew() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    lease.observe(20_000, ChainRole::not_head(5));
    assert_eq!(lease.fencing_token(30_000), None);
    lease.observe(30_000, ChainRole::head(6));
    assert_eq!(lease.fencing_token(35_999), None);
    assert_eq!(lease.fencing_token(36_000), Some(6));
}

#[test]
fn a_head_that_lost_touch_for_a_while_keeps_its_fencing_token() {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(10_000, ChainRole::head(4));
    lease.observe(20_000, ChainRole::not_head(4));
    assert_eq!(lease.fencing_token(20_500), None);
    lease.observe(21_000, ChainRole::head(4));
    assert_eq!(lease.fencing_token(21_000), Some(4));
}

#[test]
fn a_confirmation_ages() {
    let lease = StageAssignmentLease::new(LEASE_MS, 0);
    assert!(lease.is_confirmed(1_000, 2_499));
    assert!(!lease.is_confirmed(1_000, 2_500));
}

/// An order that reached a searcher.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    fencing_token: u64,
    holder: usize,
}

/// One attempt of a head: it asks the voters, waits for their answers, stalls, and sends.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    begin: Millis,
    answered_after: Millis,
    stalled_for: Millis,
    transit: Millis,
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let attempt = (0u64..30_000, 0u64..4_000, 0u64..6_000, 0u64..600).prop_map(
        |(begin, answered_after, stalled_for, transit)| Attempt {
            begin,
            answered_after,
            stalled_for,
            transit,
        },
    );
    prop::collection::vec(attempt, 0..60)
}

/// The arrivals of one holder's attempts. It is head by its own belief from `head_from` on; voters confirm its epoch until
/// `agreed`, when a majority accepts the next one. Its steady clock is `skew` ahead of true time.
fn arrivals(
    holder: usize,
    epoch: u64,
    head_from: Millis,
    agreed: Millis,
    skew: Millis,
    attempts: &[Attempt],
) -> Vec<Arrival> {
    let mut lease = StageAssignmentLease::new(LEASE_MS, 0);
    lease.observe(head_from + skew, ChainRole::head(epoch));
    let mut arrivals = Vec::new();
    for attempt in attempts {
        let requested_at = attempt.begin;
        // Voters answer at any moment between question and answer; none does once the next epoch is accepted.
        if requested_at < head_from || requested_at >= agreed {
            continue;
        }
        let sent = requested_at + attempt.answered_after + attempt.stalled_for;
        let transit = attempt.transit.min(lease.attempt_limit());
        let fencing_token = lease.fencing_token(sent + skew);
        if let (Some(fencing_token), true) = (
            fencing_token,
            lease.is_confirmed(requested_at + skew, sent + skew),
        ) {
            arrivals.push(Arrival {
                at: sent + transit,
                fencing_token,
                holder,
            });
        }
    }
    arrivals
}

proptest! {
    #[test]
    fn two_heads_never_take_turns_within_the_lease(
        agreed in 8_000u64..20_000,
        learned_after in 0u64..3_000,
        skews in (0u64..100_000, 0u64..100_000),
        former in attempts(),
        next in attempts(),
    ) {
        let mut all = arrivals(1, 4, 0, agreed, skews.0, &former);
        all.extend(arrivals(2, 5, agreed + learned_after, Millis::MAX, skews.1, &next));
        all.sort_by_key(|arrival| arrival.at);
        for pair in all.windows(2) {
            let (one, other) = (pair[0], pair[1]);
            prop_assert!(one.fencing_token <= other.fencing_token, "fencing tokens fall: {one:?} {other:?}");
            if one.holder != other.holder {
                prop_assert!(one.fencing_token != other.fencing_token);
                prop_assert!(other.at - one.at >= LEASE_MS, "turns: {one:?} {other:?}");
            }
        }
    }
}
