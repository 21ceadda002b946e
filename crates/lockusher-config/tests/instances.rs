//! The reader of the platform's instance list.

use lockusher_config::instances::{InstanceState, Stage};
use lockusher_config::instances_reader::InstancePage;
use serde_json::{Value, json};
use yare::parameterized;

fn entry(identifier: &str) -> Value {
    json!({
        "identifier": identifier, "service": "large", "address": "172.20.3.4:9911", "zone": "east-2",
        "version": "r17", "slots": 21, "state": "ready", "coldRemainingMs": 650, "stage": "prefill",
        "models": [{"name": "big-9", "version": 6, "adapters": ["x"]}]
    })
}

fn parse(document: &Value) -> InstancePage {
    InstancePage::parse(document.to_string().as_bytes()).unwrap()
}

#[test]
fn every_field_is_read() {
    let page = parse(&json!({"instances": [entry("s-1"), entry("s-2")], "nextToken": "after-2"}));

    assert_eq!(page.next_token.as_deref(), Some("after-2"));
    assert_eq!(page.instances.len(), 2);
    let first = &page.instances[0];
    assert_eq!(
        (first.identifier.as_str(), first.service.as_str()),
        ("s-1", "large")
    );
    assert_eq!(
        (first.address.as_str(), first.zone.as_str()),
        ("172.20.3.4:9911", "east-2")
    );
    assert_eq!(
        (
            first.version.as_str(),
            first.slots,
            first.warm_up_remaining_ms
        ),
        ("r17", 21, 650)
    );
    assert_eq!(
        (first.state, first.stage),
        (InstanceState::Ready, Some(Stage::Prefill))
    );
    assert_eq!(
        (first.models[0].name.as_str(), first.models[0].version),
        ("big-9", 6)
    );
    assert!(page.skipped.is_empty());
}

#[parameterized(
    null = { json!({"instances": [], "nextToken": null}) },
    absent = { json!({"instances": []}) },
    empty = { json!({"instances": [], "nextToken": ""}) },
)]
fn the_last_page_has_no_token(document: Value) {
    assert_eq!(parse(&document).next_token, None);
}

#[parameterized(
    ready = { "ready", InstanceState::Ready },
    draining = { "draining", InstanceState::Draining },
    unknown = { "resting", InstanceState::Draining },
)]
fn a_state_other_than_ready_is_taken_as_draining(state: &str, expected: InstanceState) {
    let mut searcher = entry("s-1");
    searcher["state"] = json!(state);

    let page = parse(&json!({"instances": [searcher]}));

    assert_eq!(page.instances[0].state, expected);
}

#[parameterized(null = { Some(json!(null)) }, absent = { None })]
fn a_searcher_without_an_engine_has_no_stage(stage: Option<Value>) {
    let mut searcher = entry("s-1");
    searcher.as_object_mut().unwrap().remove("stage");
    searcher.as_object_mut().unwrap().remove("models");
    if let Some(stage) = stage {
        searcher["stage"] = stage;
    }

    let page = parse(&json!({"instances": [searcher]}));

    assert_eq!(
        (page.instances[0].stage, page.instances[0].models.len()),
        (None, 0)
    );
}

#[parameterized(
    address = { "address", json!("nowhere"), "instances[1].address: expected IP:PORT, found \"nowhere\"" },
    identifier = { "identifier", json!(""), "instances[1].identifier: expected a non-empty string, found \"\"" },
    state = { "state", json!(null), "instances[1].state: missing" },
    stage = { "stage", json!("both"), "instances[1].stage: expected prefill or decode, found \"both\"" },
    models = { "models", json!([{}]), "instances[1].models[0].name: missing" },
)]
fn an_entry_with_a_fault_is_skipped_and_the_others_are_read(
    field: &str,
    value: Value,
    message: &str,
) {
    let mut invalid = entry("s-2");
    invalid[field] = value;

    let page =
        parse(&json!({"instances": [entry("s-1"), invalid, entry("s-3")], "nextToken": "t"}));

    let read: Vec<_> = page
        .instances
        .iter()
        .map(|instance| instance.identifier.as_str())
        .collect();
    assert_eq!(read, ["s-1", "s-3"]);
    let skipped: Vec<_> = page.skipped.iter().map(ToString::to_string).collect();
    assert_eq!(skipped, [message]);
}

#[parameterized(
    truncated = { r#"{"instances":[],"next"# },
    no_list = { r#"{"nextToken":null}"# },
    wrong_list = { r#"{"instances":7}"# },
    wrong_token = { r#"{"instances":[],"nextToken":7}"# },
    twice = { r#"{"instances":[],"instances":[]}"# },
)]
fn an_unreadable_page_is_an_error(body: &str) {
    assert_eq!(InstancePage::parse(body.as_bytes()).unwrap_err().count(), 1);
}
