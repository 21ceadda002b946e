//! Drawing of soak schedules and evaluation of the recovery rule; no process is started.

use std::sync::Arc;
use std::time::Duration;

use lockusher_router_testbed::deployment::{first_configuration, request_mix};
use lockusher_router_testbed::engine::Micros;
use lockusher_router_testbed::request::{
    ReceivedBody, ReceivedResponse, RequestRecord, TryOutcome, TryRecord,
};
use lockusher_router_testbed::soak::{
    Disturbance, OutageKind, Recovery, RecoveryTimes, draw_schedule,
};

const SECOND: Micros = 1_000_000;
const OUTAGE_AT: Duration = Duration::from_secs(14);
const TIMES: RecoveryTimes = RecoveryTimes {
    outage_at: 10 * SECOND,
    restored_at: 12 * SECOND,
    bound: Duration::from_secs(12),
};

/// A request that was answered with `status`.
fn record(due: Micros, status: u16) -> RequestRecord {
    let kind = request_mix(&first_configuration(), 1.0).remove(0);
    let spec = Arc::new(kind.spec);
    let seen = ReceivedResponse {
        status,
        request_id: None,
        signature: None,
        retry_after: None,
        encoded: false,
        body: ReceivedBody::Plain { digest: 0 },
    };
    let attempt = TryRecord {
        request_id: "1".to_owned(),
        spec: Arc::clone(&spec),
        body_digest: 0,
        front: "127.0.0.1:1".parse().expect("an address"),
        last_event_id: None,
        sent: due,
        written: Some(due),
        ended: due,
        unsolicited_bytes: false,
        outcome: TryOutcome::Complete(seen),
    };
    RequestRecord {
        spec,
        due,
        ended: due,
        tries: vec![attempt],
    }
}

/// `count` requests due from `from` on, the first `served` of which were served.
fn requests(from: Micros, count: u64, served: u64) -> Vec<RequestRecord> {
    let status = |number| if number < served { 200 } else { 503 };
    (0..count)
        .map(|number| record(from + number, status(number)))
        .collect()
}

#[test]
fn serving_less_than_a_quarter_after_the_bound_violates_the_rule() {
    let before = requests(SECOND, 4, 1);
    let after_bound = 24 * SECOND + 1;

    let violating = [before.clone(), requests(after_bound, 100, 24)].concat();
    let satisfying = [before, requests(after_bound, 100, 25)].concat();

    assert!(Recovery::of(&violating, TIMES).is_violated());
    assert!(!Recovery::of(&satisfying, TIMES).is_violated());
}

#[test]
fn the_rule_does_not_apply_without_service_before_the_outage() {
    let before = requests(SECOND, 100, 24);
    let after = requests(25 * SECOND, 10, 0);

    let recovery = Recovery::of(&[before, after].concat(), TIMES);

    assert!(!recovery.is_violated());
    assert_eq!(recovery.time_to_recovery, None);
}

/// Requests due up to the bound don't count, served or not.
#[test]
fn only_requests_due_after_the_bound_count() {
    let before = requests(SECOND, 4, 4);
    let before_bound = requests(20 * SECOND, 100, 100);
    let after_bound = requests(24 * SECOND + 1, 10, 0);

    let recovery = Recovery::of(&[before, before_bound, after_bound].concat(), TIMES);

    assert!(recovery.is_violated());
    assert_eq!(recovery.after.requests, 10);
    assert_eq!(recovery.time_to_recovery, Some(Duration::from_secs(8)));
}

#[test]
fn a_seed_determines_the_schedule() {
    assert_eq!(
        draw_schedule(7, 6, OUTAGE_AT),
        draw_schedule(7, 6, OUTAGE_AT)
    );
    assert_ne!(
        draw_schedule(7, 6, OUTAGE_AT).steps,
        draw_schedule(8, 6, OUTAGE_AT).steps
    );
}

/// Over many seeds every kind of outage occurs, disturbances overlap with it, and no more disks are lost than tolerated.
#[test]
fn disturbances_overlap_with_the_outage_and_disk_losses_are_tolerable() {
    let soaks: Vec<_> = (0..200)
        .map(|seed| draw_schedule(seed, 6, OUTAGE_AT))
        .collect();

    for kind in [
        OutageKind::KillAll,
        OutageKind::PowerLost,
        OutageKind::DisksLost,
    ] {
        let count = soaks.iter().filter(|soak| soak.outage.kind == kind).count();
        assert!(count >= 40, "{kind:?}: {count}");
    }
    let overlapping = soaks.iter().filter(|soak| {
        let last = soak.steps.last().map(|step| step.at);
        last.is_some_and(|last| last + Duration::from_secs(1) >= OUTAGE_AT)
    });
    let overlapping = overlapping.count();
    assert!(overlapping >= 100, "{overlapping}");
    for soak in &soaks {
        let lost = soak
            .steps
            .iter()
            .filter(|step| matches!(step.disturbance, Disturbance::LoseDisk(_)))
            .count();
        let allowed = usize::from(soak.outage.kind != OutageKind::DisksLost);
        assert!(lost <= allowed, "{soak}");
        assert!(soak.steps.iter().all(|step| step.at < OUTAGE_AT), "{soak}");
    }
}
