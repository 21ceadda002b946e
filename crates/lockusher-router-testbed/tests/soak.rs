//! What a soak is drawn from, and how it judges recovery; no process is started.

use std::sync::Arc;
use std::time::Duration;

use lockusher_router_testbed::deployment::{first_configuration, mix};
use lockusher_router_testbed::engine::Micros;
use lockusher_router_testbed::request::{
    ReceivedBody, ReceivedResponse, RequestRecord, TryOutcome, TryRecord,
};
use lockusher_router_testbed::soak::{
    ClosingFault, Disturbance, Recovery, RecoveryTimes, draw_schedule,
};

const SECOND: Micros = 1_000_000;
const CLOSING_AT: Duration = Duration::from_secs(14);
const TIMES: RecoveryTimes = RecoveryTimes {
    fault_at: 10 * SECOND,
    returned_at: 12 * SECOND,
    bound: Duration::from_secs(12),
};

/// A request that was answered with this status.
fn record(due: Micros, status: u16) -> RequestRecord {
    let kind = mix(&first_configuration(), 1.0).remove(0);
    let spec = Arc::new(kind.spec);
    let seen = ReceivedResponse {
        status,
        request_id: None,
        signature: None,
        retry_after: None,
        encoded: false,
        body: ReceivedBody::Plain { digest: 0 },
    };
    let one = TryRecord {
        request_id: "1".to_owned(),
        spec: Arc::clone(&spec),
        body_digest: 0,
        front: "127.0.0.1:1".parse().expect("an address"),
        last_event_id: None,
        sent: due,
        ended: due,
        unsolicited_bytes: false,
        outcome: TryOutcome::Complete(seen),
    };
    RequestRecord {
        spec,
        due,
        ended: due,
        tries: vec![one],
    }
}

/// So many requests from a time on, of which the first ones were served.
fn requests(from: Micros, count: u64, served: u64) -> Vec<RequestRecord> {
    let status = |number| if number < served { 200 } else { 503 };
    (0..count)
        .map(|number| record(from + number, status(number)))
        .collect()
}

#[test]
fn less_than_a_quarter_served_later_than_the_bound_breaks_the_rule() {
    let before = requests(SECOND, 4, 1);
    let late = 24 * SECOND + 1;

    let broken = [before.clone(), requests(late, 100, 24)].concat();
    let kept = [before, requests(late, 100, 25)].concat();

    assert!(Recovery::of(&broken, TIMES).is_broken());
    assert!(!Recovery::of(&kept, TIMES).is_broken());
}

#[test]
fn without_service_before_the_fault_the_rule_asks_for_nothing() {
    let before = requests(SECOND, 100, 24);
    let after = requests(25 * SECOND, 10, 0);

    let recovery = Recovery::of(&[before, after].concat(), TIMES);

    assert!(!recovery.is_broken());
    assert_eq!(recovery.back_after, None);
}

/// What is sent up to the bound doesn't count, served or not.
#[test]
fn only_requests_later_than_the_bound_count() {
    let before = requests(SECOND, 4, 4);
    let early = requests(20 * SECOND, 100, 100);
    let late = requests(24 * SECOND + 1, 10, 0);

    let recovery = Recovery::of(&[before, early, late].concat(), TIMES);

    assert!(recovery.is_broken());
    assert_eq!(recovery.after.requests, 10);
    assert_eq!(recovery.back_after, Some(Duration::from_secs(8)));
}

#[test]
fn a_seed_gives_the_same_soak_again_and_another_one_another() {
    assert_eq!(
        draw_schedule(7, 6, CLOSING_AT),
        draw_schedule(7, 6, CLOSING_AT)
    );
    assert_ne!(
        draw_schedule(7, 6, CLOSING_AT).steps,
        draw_schedule(8, 6, CLOSING_AT).steps
    );
}

/// Over many seeds all closing faults come, disturbances run right into them, and no more disks are lost than may be.
#[test]
fn soaks_overlap_with_their_closing_fault_and_lose_no_more_disks_than_may_be_lost() {
    let soaks: Vec<_> = (0..200)
        .map(|seed| draw_schedule(seed, 6, CLOSING_AT))
        .collect();

    for fault in [
        ClosingFault::KillAll,
        ClosingFault::PowerLost,
        ClosingFault::DisksLost,
    ] {
        let count = soaks
            .iter()
            .filter(|one| one.closing.fault == fault)
            .count();
        assert!(count >= 40, "{fault:?}: {count}");
    }
    let overlapping = soaks.iter().filter(|one| {
        let last = one.steps.last().map(|step| step.at);
        last.is_some_and(|last| last + Duration::from_secs(1) >= CLOSING_AT)
    });
    let overlapping = overlapping.count();
    assert!(overlapping >= 100, "{overlapping}");
    for soak in &soaks {
        let lost = soak
            .steps
            .iter()
            .filter(|step| matches!(step.disturbance, Disturbance::LoseDisk(_)))
            .count();
        let allowed = usize::from(soak.closing.fault != ClosingFault::DisksLost);
        assert!(lost <= allowed, "{soak}");
        assert!(soak.steps.iter().all(|step| step.at < CLOSING_AT), "{soak}");
    }
}
