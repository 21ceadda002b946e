//! The checker finds each kind of violation in constructed evidence, and none in valid evidence.

mod specs;

use std::sync::Arc;

use lockusher_router_testbed::checker::{Evidence, Rule, check};
use lockusher_router_testbed::engine::{MICROS_PER_MS, Micros};
use lockusher_router_testbed::operator::ChangeOutcome;
use lockusher_router_testbed::record::{
    Arrival, ArrivalOutcome, DrainTimes, EventRecord, Run, RunBody, digest,
};
use lockusher_router_testbed::request::{
    FailureCause, ReceivedBody, ReceivedResponse, RequestSpec, TryOutcome, TryRecord,
};
use specs::{acknowledged, bounds, configuration, model_spec, plain_spec};

const SECOND: Micros = 1_000 * MICROS_PER_MS;
/// A time at which every change acknowledged at the beginning has propagated.
const AFTER_PROPAGATION: Micros = 10 * SECOND;

fn front() -> std::net::SocketAddr {
    "127.0.0.1:1".parse().expect("an address")
}

fn plain_response(status: u16, signature: Option<&str>) -> ReceivedResponse {
    ReceivedResponse {
        status,
        request_id: None,
        signature: signature.map(str::to_owned),
        retry_after: None,
        encoded: false,
        body: ReceivedBody::Plain { digest: 7 },
    }
}

fn try_with(spec: RequestSpec, outcome: TryOutcome) -> TryRecord {
    TryRecord {
        request_id: "r1".to_owned(),
        body_digest: digest(&spec.body),
        spec: Arc::new(spec),
        front: front(),
        last_event_id: None,
        sent: AFTER_PROPAGATION,
        written: Some(AFTER_PROPAGATION),
        ended: AFTER_PROPAGATION + SECOND,
        unsolicited_bytes: false,
        outcome,
    }
}

fn run(signature: &str, body: RunBody) -> Run {
    Run {
        started_at: AFTER_PROPAGATION,
        signature: signature.to_owned(),
        status: 200,
        body,
        complete: true,
        faulty: false,
    }
}

fn arrival(spec: &RequestSpec, instance: &str, service: &str, outcome: ArrivalOutcome) -> Arrival {
    Arrival {
        at: AFTER_PROPAGATION,
        instance: instance.to_owned(),
        service: service.to_owned(),
        request_id: "r1".to_owned(),
        method: spec.method.clone(),
        target: spec.target.clone(),
        body_digest: digest(&spec.body),
        prefill_only: false,
        prompt_owner: None,
        last_event_id: 0,
        outcome,
    }
}

/// Evidence of a plain request that was served.
fn valid_evidence() -> Evidence {
    let spec = plain_spec();
    let ran = ArrivalOutcome::Ran(run("s1", RunBody::Plain { digest: 7 }));
    let served = TryOutcome::Complete(plain_response(200, Some("s1")));
    Evidence {
        arrivals: vec![arrival(&spec, "i-1", "records", ran)],
        tries: vec![try_with(spec, served)],
        changes: vec![acknowledged(configuration())],
        drained: DrainTimes::new(),
        bounds: bounds(),
    }
}

/// Evidence of a stream of two events that was served.
fn valid_stream_evidence() -> Evidence {
    let spec = model_spec(11);
    let events = vec![event(1), event(11)];
    let body = RunBody::Stream {
        events: events.clone(),
    };
    let seen = ReceivedResponse {
        body: ReceivedBody::Stream {
            events,
            ends_mid_event: false,
        },
        ..plain_response(200, Some("s1"))
    };
    Evidence {
        arrivals: vec![arrival(
            &spec,
            "i-1",
            "chat",
            ArrivalOutcome::Ran(run("s1", body)),
        )],
        tries: vec![try_with(spec, TryOutcome::Complete(seen))],
        ..valid_evidence()
    }
}

fn event(id: u64) -> EventRecord {
    EventRecord {
        id,
        digest: id * 1_000,
        at: AFTER_PROPAGATION,
    }
}

fn violated_rules(evidence: &Evidence) -> Vec<Rule> {
    check(evidence).counts().into_keys().collect()
}

fn seen(evidence: &mut Evidence) -> &mut ReceivedResponse {
    match &mut evidence.tries[0].outcome {
        TryOutcome::Complete(seen) => seen,
        other => panic!("response is not complete: {other:?}"),
    }
}

#[test]
fn valid_evidence_has_no_violations() {
    assert_eq!(violated_rules(&valid_evidence()), []);
    assert_eq!(violated_rules(&valid_stream_evidence()), []);
}

#[test]
fn mixed_up_responses_violate_mixed() {
    let changes: [fn(&mut Evidence); 7] = [
        |evidence| seen(evidence).signature = None,
        |evidence| seen(evidence).signature = Some("unknown".to_owned()),
        |evidence| seen(evidence).body = ReceivedBody::Plain { digest: 8 },
        |evidence| seen(evidence).request_id = Some("r2".to_owned()),
        |evidence| seen(evidence).encoded = true,
        |evidence| seen(evidence).status = 500,
        |evidence| evidence.tries[0].unsolicited_bytes = true,
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut evidence = valid_evidence();
        change(&mut evidence);
        assert_eq!(violated_rules(&evidence), [Rule::Mixed], "change {number}");
    }
}

#[test]
fn the_handle_of_another_request_violates_mixed() {
    let mut evidence = valid_stream_evidence();
    evidence.arrivals[0].prompt_owner = Some("r2".to_owned());
    assert_eq!(violated_rules(&evidence), [Rule::Mixed]);
}

#[test]
fn a_second_run_violates_twice_unless_the_request_is_idempotent() {
    let mut evidence = valid_evidence();
    let mut second = evidence.arrivals[0].clone();
    second.instance = "i-2".to_owned();
    evidence.arrivals.push(second);
    assert_eq!(violated_rules(&evidence), [Rule::Twice]);
    let mut spec = plain_spec();
    spec.is_idempotent = true;
    evidence.tries[0].spec = Arc::new(spec);
    assert_eq!(violated_rules(&evidence), []);
}

#[test]
fn a_not_executed_status_after_a_run_violates_refused() {
    for status in [408, 421, 429, 503] {
        let mut evidence = valid_evidence();
        evidence.tries[0].outcome = TryOutcome::Complete(plain_response(status, None));
        assert_eq!(violated_rules(&evidence), [Rule::Refused], "{status}");
    }
}

#[test]
fn a_request_that_no_client_sent_violates_unasked() {
    let changes: [fn(&mut Arrival); 4] = [
        |arrival| arrival.request_id = "r9".to_owned(),
        |arrival| arrival.method = "GET".to_owned(),
        |arrival| arrival.target.push('x'),
        |arrival| arrival.body_digest += 1,
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut evidence = valid_evidence();
        change(&mut evidence.arrivals[0]);
        assert!(
            violated_rules(&evidence).contains(&Rule::Unasked),
            "change {number}"
        );
    }
}

#[test]
fn a_run_at_a_service_without_a_route_violates_route() {
    let mut evidence = valid_evidence();
    evidence.arrivals[0].service = "chat".to_owned();
    assert_eq!(violated_rules(&evidence), [Rule::Route]);
}

#[test]
fn more_searchers_than_attempts_violate_budget() {
    let mut evidence = valid_evidence();
    let mut spec = plain_spec();
    spec.is_idempotent = true;
    evidence.tries[0].spec = Arc::new(spec);
    for instance in ["i-2", "i-3"] {
        let mut retry = evidence.arrivals[0].clone();
        retry.instance = instance.to_owned();
        evidence.arrivals.push(retry);
    }
    assert_eq!(violated_rules(&evidence), [Rule::Budget]);
}

#[test]
fn retries_beyond_the_budget_of_a_window_violate_budget() {
    let mut evidence = valid_evidence();
    let rejected = |number: u64| Arrival {
        instance: format!("i-{number}"),
        at: AFTER_PROPAGATION + number,
        outcome: ArrivalOutcome::Rejected { status: 503 },
        ..evidence.arrivals[0].clone()
    };
    // The retry budget of one request is 0.2 + 52.
    let within: Vec<Arrival> = (1..=52).map(rejected).collect();
    let beyond = rejected(53);
    evidence.arrivals.extend(within);
    assert_eq!(violated_rules(&evidence), []);
    evidence.arrivals.push(beyond);
    assert_eq!(violated_rules(&evidence), [Rule::Budget]);
}

#[test]
fn the_first_prefill_of_a_request_is_not_a_retry() {
    let mut evidence = valid_stream_evidence();
    evidence.bounds.retry_budget_slack = 0.0;
    let prefill = Arrival {
        prefill_only: true,
        instance: "i-0".to_owned(),
        at: AFTER_PROPAGATION - 1,
        outcome: ArrivalOutcome::Prefilled,
        ..evidence.arrivals[0].clone()
    };
    evidence.arrivals.push(prefill.clone());
    assert_eq!(violated_rules(&evidence), []);
    evidence.arrivals.push(Arrival {
        instance: "i-9".to_owned(),
        ..prefill
    });
    assert_eq!(violated_rules(&evidence), [Rule::Budget]);
}

#[test]
fn a_request_too_long_after_a_drain_violates_drain() {
    let mut evidence = valid_evidence();
    evidence
        .drained
        .insert("i-1".to_owned(), AFTER_PROPAGATION - 3 * SECOND);
    assert_eq!(violated_rules(&evidence), []);
    evidence
        .drained
        .insert("i-1".to_owned(), AFTER_PROPAGATION - 3 * SECOND - 1);
    assert_eq!(violated_rules(&evidence), [Rule::Drain]);
    evidence.arrivals[0].outcome = ArrivalOutcome::Rejected { status: 421 };
    evidence.tries[0].outcome = TryOutcome::Complete(plain_response(503, None));
    assert_eq!(violated_rules(&evidence), []);
}

#[test]
fn a_missing_or_duplicated_event_violates_order() {
    for events in [
        vec![event(11)],
        vec![event(1), event(1), event(11)],
        vec![event(1)],
    ] {
        let mut evidence = valid_stream_evidence();
        seen(&mut evidence).body = ReceivedBody::Stream {
            events,
            ends_mid_event: false,
        };
        assert_eq!(violated_rules(&evidence), [Rule::Order]);
    }
}

#[test]
fn runs_are_joined_only_if_the_request_is_resumable() {
    let mut evidence = valid_stream_evidence();
    let resumed = RunBody::Stream {
        events: vec![event(11)],
    };
    let second = Arrival {
        instance: "i-2".to_owned(),
        last_event_id: 1,
        outcome: ArrivalOutcome::Ran(run("s2", resumed)),
        ..evidence.arrivals[0].clone()
    };
    if let ArrivalOutcome::Ran(first) = &mut evidence.arrivals[0].outcome {
        first.body = RunBody::Stream {
            events: vec![event(1)],
        };
    }
    evidence.arrivals.push(second);
    assert_eq!(violated_rules(&evidence), [Rule::Twice, Rule::Order]);
    let mut spec = model_spec(11);
    spec.resumable = true;
    spec.is_idempotent = true;
    evidence.tries[0].spec = Arc::new(spec);
    assert_eq!(violated_rules(&evidence), []);
}

#[test]
fn a_404_on_an_existing_route_violates_config() {
    let mut evidence = valid_evidence();
    evidence.arrivals.clear();
    evidence.tries[0].outcome = TryOutcome::Complete(plain_response(404, None));
    assert_eq!(violated_rules(&evidence), [Rule::Config]);
    evidence.tries[0].sent = SECOND;
    evidence.tries[0].ended = SECOND;
    assert_eq!(
        violated_rules(&evidence),
        [],
        "within the propagation time of a version"
    );
}

#[test]
fn an_outdated_service_after_the_propagation_time_violates_config() {
    let mut evidence = valid_evidence();
    let mut next = configuration();
    next.version = 3;
    next.routes[1].split[0].service = "records-2".to_owned();
    let mut change = acknowledged(next);
    change.base = 1;
    change.sent = SECOND;
    change.ended = SECOND;
    evidence.changes.push(change);
    assert_eq!(violated_rules(&evidence), [Rule::Config]);
    evidence.changes[1].ended = AFTER_PROPAGATION - SECOND;
    assert_eq!(violated_rules(&evidence), []);
    evidence.changes[1].outcome = ChangeOutcome::Unknown;
    evidence.changes[1].ended = SECOND;
    assert_eq!(violated_rules(&evidence), []);
}

#[test]
fn two_acknowledged_changes_to_one_base_version_violate_config() {
    let mut evidence = valid_evidence();
    for version in [3, 4] {
        let mut next = configuration();
        next.version = version;
        let mut change = acknowledged(next);
        change.base = 1;
        change.sent = AFTER_PROPAGATION;
        change.ended = AFTER_PROPAGATION;
        evidence.changes.push(change);
    }
    assert_eq!(violated_rules(&evidence), [Rule::Config]);
}

#[test]
fn a_closed_connection_without_a_response_violates_lost_unless_the_searcher_failed() {
    let mut evidence = valid_evidence();
    evidence.tries[0].outcome = TryOutcome::Failed {
        seen: None,
        cause: FailureCause::Closed,
    };
    assert_eq!(violated_rules(&evidence), [Rule::Lost]);
    evidence.arrivals[0].outcome = ArrivalOutcome::Failed;
    assert_eq!(violated_rules(&evidence), []);
}
