//! Patches of a configuration: what they change, what they leave unchanged, and the paths of faults.

use lockusher_config::configuration::Configuration;
use lockusher_config::configuration_patch::ConfigurationPatch;
use serde_json::{Value, json};
use yare::parameterized;

fn route(name: &str, prefix: &str, timeout_ms: u64) -> Value {
    json!({
        "name": name, "host": "h.test", "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": timeout_ms,
        "service": "s", "note": "unknown here"
    })
}

fn base() -> Value {
    json!({
        "version": 7,
        "routes": [route("a", "/a/", 10), route("b", "/b/", 20), route("c", "/c/", 30)],
        "services": [{"name": "s"}, {"name": "t"}],
        "limits": {"headerBytes": 4096},
        "other": [1, 2.5]
    })
}

fn applied(patch: &Value) -> Result<Value, Vec<String>> {
    let faults = |faults: lockusher_config::fault::Faults| {
        faults.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let patch = ConfigurationPatch::parse(patch.to_string().as_bytes()).map_err(faults)?;
    let body = patch.apply(base().to_string().as_bytes()).map_err(faults)?;
    Configuration::parse(&body).expect("an applied patch makes a valid configuration");
    Ok(serde_json::from_slice(&body).expect("JSON"))
}

#[test]
fn an_upsert_replaces_the_complete_item_in_its_position_or_is_appended() {
    let replacement = json!({
        "name": "b", "host": "h.test", "pathPrefix": "/b2/", "kind": "streaming", "timeoutMs": 5, "service": "u"
    });
    let patch = json!({
        "version": 9,
        "upsert": {"routes": [route("d", "/d/", 40), replacement], "services": [{"name": "u"}]},
        "remove": {"routes": ["a", "never there"], "services": ["t"]}
    });
    let mut expected = base();
    expected["version"] = json!(9);
    expected["routes"] = json!([replacement, route("c", "/c/", 30), route("d", "/d/", 40)]);
    expected["services"] = json!([{"name": "s"}, {"name": "u"}]);

    assert_eq!(applied(&patch), Ok(expected));
}

#[test]
fn a_patch_without_changes_sets_the_version_only() {
    let mut expected = base();
    expected["version"] = json!(8);

    assert_eq!(applied(&json!({"version": 8})), Ok(expected));
}

#[test]
fn a_new_route_may_have_the_prefix_of_a_removed_one() {
    let patch = json!({
        "version": 8, "upsert": {"routes": [route("n", "/a/", 10)]}, "remove": {"routes": ["a"]}
    });

    assert_eq!(applied(&patch).expect("valid")["routes"][2]["name"], "n");
}

#[parameterized(
    no_version = { json!({"upsert": {}}), &["version: missing"] },
    no_object = { json!([1]), &["document: expected an object, found [1]"] },
    fields_of_a_complete_configuration = {
        json!({"version": 8, "limits": {}, "routes": []}),
        &[
            "routes: can't be set by a patch; items go under upsert and remove, all else needs the whole configuration",
            "limits: can't be set by a patch; items go under upsert and remove, all else needs the whole configuration",
        ]
    },
    unknown_lists = {
        json!({"version": 8, "upsert": {"limits": []}, "remove": {"tenants": ["x"]}}),
        &[
            "upsert.limits: unknown list, expected routes or services",
            "remove.tenants: unknown list, expected routes or services",
        ]
    },
    nameless = {
        json!({"version": 8, "upsert": {"services": [{}]}, "remove": {"routes": [""]}}),
        &["upsert.services[0].name: missing", "remove.routes[0]: expected a non-empty name, found \"\""]
    },
    twice = {
        json!({"version": 8, "upsert": {"services": [{"name": "x"}, {"name": "x"}]}}),
        &["upsert.services[1]: has the same name as upsert.services[0]"]
    },
    both = {
        json!({"version": 8, "upsert": {"services": [{"name": "x"}, {"name": "t"}]}, "remove": {"services": ["t"]}}),
        &["upsert.services[1]: \"t\" is removed as well"]
    },
    service_in_use = {
        json!({"version": 8, "remove": {"services": ["s"], "routes": ["a", "b"]}}),
        &["routes[0].service of the configuration in place, as changed: names the unknown service \"s\""]
    },
    all_faults_of_upserts = {
        json!({"version": 8, "upsert": {"routes": [route("d", "/b/", 10), route("c", "/c/", 0)]}}),
        &[
            "upsert.routes[1].timeoutMs: expected a positive number, found 0",
            "upsert.routes[0]: has the same host and prefix as \
             routes[1] of the configuration in place, as changed",
        ]
    },
)]
fn faults_are_reported_with_their_paths_in_the_patch(patch: Value, expected: &[&str]) {
    assert_eq!(applied(&patch).expect_err("faulty"), expected);
}
