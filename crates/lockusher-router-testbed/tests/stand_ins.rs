//! The stand-ins tested against each other over sockets, without a fleet: clients connect directly to searchers.

mod bench;
mod specs;

use std::time::{Duration, Instant};

use bench::Bench;
use lockusher_router_testbed::checker::Rule;
use lockusher_router_testbed::http::{Connection, Request, Response};
use lockusher_router_testbed::request::{FailureCause, TryOutcome};
use lockusher_router_testbed::searcher::Fault;
use specs::{model_spec, plain_spec};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(5);

fn call(address: std::net::SocketAddr, request: &Request) -> Response {
    let mut connection = Connection::open(address, TIMEOUT).expect("connects");
    connection.set_deadline(Some(Instant::now() + TIMEOUT));
    connection.write(&request.to_bytes()).expect("written");
    connection.read_response().expect("a response")
}

#[test]
fn a_stream_arrives_completely_and_in_order() {
    let bench = Bench::start();
    let record = bench.request(bench.decode.address(), model_spec(25));
    assert!(record.is_served(), "{record:?}");
    assert_eq!(record.tries[0].last_event(), Some(25));
    let verdict = bench.check(&[record]);
    assert!(verdict.is_clean(), "{:?}", verdict.violations);
}

/// Streams of all framings announce the length that they have.
#[test]
fn streams_arrive_completely_whatever_their_framing() {
    let bench = Bench::start();
    for tokens in [1, 2, 10, 11, 12, 25] {
        for _ in 0..4 {
            let record = bench.request(bench.decode.address(), model_spec(tokens));
            assert!(record.is_served(), "{record:?}");
            assert_eq!(record.tries[0].last_event(), Some(tokens));
        }
    }
}

#[test]
fn a_plain_response_arrives_completely() {
    let bench = Bench::start();
    let record = bench.request(bench.plain.address(), plain_spec());
    assert!(record.is_served(), "{record:?}");
    assert!(bench.check(&[record]).is_clean());
}

#[test]
fn a_held_prompt_is_transferred_once() {
    let bench = Bench::start();
    let prefill = Request::new("POST", "/chat/1")
        .header("Request-Identifier", "a1")
        .header("Token-Counts", "200,5")
        .header("Prompt-Prefix", "a:150,b:50")
        .header("Stage", "prefill");
    let response = call(bench.prefill.address(), &prefill);
    assert_eq!(response.status, 200);
    let body: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(body["tokens"], 200);
    let kv_from = format!(
        "{}/{}",
        bench.prefill.address(),
        body["promptHandle"].as_str().expect("a handle")
    );
    let decode = Request::new("POST", "/chat/1")
        .header("Request-Identifier", "a1")
        .header("Token-Counts", "200,5")
        .header("Prompt-Prefix", "a:150,b:50")
        .header("Kv-From", kv_from);
    assert_eq!(call(bench.decode.address(), &decode).status, 200);
    let second_response = call(bench.decode.address(), &decode);
    assert_eq!(second_response.status, 503);
    assert!(second_response.headers.get("Not-Executed").is_some());
}

#[test]
fn a_deleted_handle_no_longer_exists() {
    let bench = Bench::start();
    let prefill = Request::new("POST", "/chat/1")
        .header("Request-Identifier", "a1")
        .header("Stage", "prefill");
    let body = call(
        bench.prefill.address(),
        &prefill.header("Token-Counts", "20,5"),
    )
    .body;
    let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    let path = format!(
        "/api/kv-handle/{}",
        body["promptHandle"].as_str().expect("a handle")
    );
    assert_eq!(
        call(bench.prefill.address(), &Request::new("DELETE", &path)).status,
        200
    );
    assert_eq!(bench.prefill.report().prompt_handles, 0);
    assert_eq!(
        call(bench.prefill.address(), &Request::new("DELETE", &path)).status,
        404
    );
}

#[parameterized(
    another_instance = { "Expected-Instance", "i-another", 421 },
    wrong_stage = { "Stage", "prefill", 421 },
    unknown_handle = { "Kv-From", "127.0.0.1:9/00", 503 },
)]
fn a_request_that_must_not_run_is_rejected_as_not_executed(name: &str, value: &str, status: u16) {
    let bench = Bench::start();
    let request = Request::new("POST", "/chat/1")
        .header("Request-Identifier", "a1")
        .header(name, value);
    let response = call(bench.decode.address(), &request);
    assert_eq!(response.status, status);
    assert!(response.headers.get("Not-Executed").is_some());
    assert_eq!(response.headers.get("Request-Identifier"), Some("a1"));
}

#[test]
fn a_request_without_an_id_is_rejected() {
    let bench = Bench::start();
    let response = call(bench.plain.address(), &Request::new("POST", "/record/1"));
    assert_eq!(response.status, 400);
    assert!(response.headers.get("Not-Executed").is_some());
}

#[test]
fn an_order_starts_a_stage_change_shown_in_the_report() {
    let bench = Bench::start();
    let order = r#"{"operation":"stage","stage":"prefill","holder":"node-7","fence":41}"#;
    let response = call(
        bench.decode.address(),
        &Request::new("POST", "/api/order").body(order),
    );
    assert_eq!(response.status, 202);
    let report = call(bench.decode.address(), &Request::new("GET", "/api/report"));
    let report: serde_json::Value = serde_json::from_slice(&report.body).expect("JSON");
    assert_eq!(report["busy"], true);
    assert_eq!(report["sequence"], 1);
}

#[parameterized(
    after_the_request = { Fault::ResetAfterRequest },
    before_the_first_event = { Fault::ResetBeforeFirstEvent },
    inside_an_event = { Fault::ResetMidEvent { complete_events: 1 } },
)]
fn a_reset_by_a_searcher_fails_the_try_without_a_violation(fault: Fault) {
    let bench = Bench::start();
    bench.decode.faults().on_runs(fault, 1);
    let mut spec = model_spec(25);
    spec.retries = 0;
    let record = bench.request(bench.decode.address(), spec);
    assert!(
        matches!(
            record.tries[0].outcome,
            TryOutcome::Failed {
                cause: FailureCause::Closed,
                ..
            }
        ),
        "{record:?}"
    );
    let verdict = bench.check(&[record]);
    assert!(verdict.is_clean(), "{:?}", verdict.violations);
}

#[test]
fn a_wrong_identifier_that_is_passed_on_violates_mixed() {
    let bench = Bench::start();
    bench.decode.faults().on_runs(Fault::WrongIdentifier, 1);
    let record = bench.request(bench.decode.address(), model_spec(5));
    assert_eq!(
        bench.check(&[record]).counts().keys().collect::<Vec<_>>(),
        [&Rule::Mixed]
    );
}

#[test]
fn extra_bytes_that_are_passed_on_violate_mixed() {
    let bench = Bench::start();
    bench.plain.faults().on_runs(Fault::ExtraBytes, 1);
    let mut client = bench.keeping_client();
    let address = bench.plain.address();
    let records: Vec<_> = (0..2)
        .map(|_| client.request(&plain_spec().into(), bench.clock.now(), |_| address))
        .collect();
    assert_eq!(
        bench.check(&records).counts().keys().collect::<Vec<_>>(),
        [&Rule::Mixed]
    );
}

#[test]
fn the_client_resumes_a_broken_stream() {
    let bench = Bench::start();
    bench
        .decode
        .faults()
        .on_runs(Fault::ResetMidEvent { complete_events: 2 }, 1);
    let mut spec = model_spec(25);
    spec.resumable = true;
    spec.is_idempotent = true;
    let record = bench.request(bench.decode.address(), spec);
    assert!(record.is_served(), "{record:?}");
    assert_eq!(record.tries[1].last_event_id, record.tries[0].last_event());
    let verdict = bench.check(&[record]);
    assert!(verdict.is_clean(), "{:?}", verdict.violations);
}

#[test]
fn the_list_is_paged_and_rate_limited() {
    let bench = Bench::start();
    let first = call(bench.platform.address(), &Request::new("GET", "/instances"));
    let page: serde_json::Value = serde_json::from_slice(&first.body).expect("JSON");
    assert_eq!(page["instances"].as_array().map(Vec::len), Some(2));
    let next = format!(
        "/instances?pageToken={}",
        page["nextToken"].as_str().expect("a second page")
    );
    let second = call(bench.platform.address(), &Request::new("GET", &next));
    let page: serde_json::Value = serde_json::from_slice(&second.body).expect("JSON");
    assert_eq!(page["instances"].as_array().map(Vec::len), Some(1));
    assert_eq!(page["nextToken"], serde_json::Value::Null);
    let mut statuses =
        (0..50).map(|_| call(bench.platform.address(), &Request::new("GET", "/instances")).status);
    assert!(statuses.any(|status| status == 429));
}

#[test]
fn the_list_shows_a_searcher_as_draining() {
    let bench = Bench::start();
    bench.platform.drain(&bench.plain.identity().instance);
    let request = Request::new("GET", "/instances?zone=zone-b");
    let response = call(bench.platform.address(), &request);
    let page: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(page["instances"][0]["state"], "draining");
}

#[test]
fn a_restarted_searcher_at_the_same_address_transfers_its_prompts() {
    let mut bench = Bench::start();
    bench.restart_prefill();
    let request = Request::new("POST", "/chat/1")
        .header("Request-Identifier", "a1")
        .header("Token-Counts", "20,5");
    let response = call(
        bench.prefill.address(),
        &request.clone().header("Stage", "prefill"),
    );
    let body: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    let kv_from = format!(
        "{}/{}",
        bench.prefill.address(),
        body["promptHandle"].as_str().expect("a handle")
    );
    assert_eq!(
        call(bench.decode.address(), &request.header("Kv-From", kv_from)).status,
        200
    );
}
