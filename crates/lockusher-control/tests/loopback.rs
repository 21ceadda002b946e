//! Control nodes on the loopback, as an operator sees them over HTTP.

#[path = "support/disk_damage.rs"]
mod disk_damage;
#[path = "support/machines.rs"]
mod machines;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use disk_damage::damage_first_append;
use machines::{Machine, call, machines};

fn configuration(version: u64) -> String {
    let route = json!({
        "host": "chat.example", "pathPrefix": "/", "kind": "idempotent", "timeoutMs": 1000 + version, "service": "chat"
    });
    json!({"version": version, "routes": [route], "services": [{"name": "chat"}]}).to_string()
}

fn chain_length(status: &Value) -> usize {
    status["view"]["chain"].as_array().map_or(0, Vec::len)
}

#[compio::test]
async fn three_nodes_take_and_answer_for_each_other() {
    let mut machines = machines(&[[127, 0, 0, 11], [127, 0, 0, 12], [127, 0, 0, 13]]);
    machines.iter_mut().for_each(|machine| machine.start(true));
    let [first, second, third] = &machines[..] else {
        panic!("three machines")
    };

    assert_eq!(first.put("0", &configuration(1)).await, StatusCode::OK);
    let read = second.read().await;
    assert_eq!(
        (read.status, &read.body[..]),
        (StatusCode::OK, configuration(1).as_bytes())
    );

    assert_eq!(
        third.put("0", &configuration(2)).await,
        StatusCode::PRECONDITION_FAILED,
        "stale If-Match"
    );
    assert_eq!(
        third.put("1", "{\"version\":2}").await,
        StatusCode::BAD_REQUEST,
        "incomplete body"
    );
    assert_eq!(
        third.put("one", &configuration(2)).await,
        StatusCode::BAD_REQUEST,
        "no version"
    );
    assert_eq!(
        third.put("1", &configuration(1).replace("1001", "7")).await,
        StatusCode::BAD_REQUEST,
        "not newer"
    );

    assert_eq!(
        third.put("0", &configuration(1)).await,
        StatusCode::OK,
        "the same body again"
    );
    assert_eq!(second.put("\"1\"", &configuration(2)).await, StatusCode::OK);
    assert_eq!(
        first.put("0", &configuration(1)).await,
        StatusCode::OK,
        "the same body again, though it is old"
    );
    assert_eq!(third.read().await.body[..], *configuration(2).as_bytes());

    for machine in &machines {
        let is_whole = |status: &Value| status["configuration"] == 2 && chain_length(status) == 3;
        machine
            .wait_until("version 2 in a chain of three", is_whole)
            .await;
    }
    let answer = call(machines[0].operator, Method::GET, "/metrics", None, "").await;
    let metrics = String::from_utf8(answer.body.to_vec()).expect("text");
    assert!(
        metrics.contains("lockusher_control_configuration_version 2\n"),
        "{metrics}"
    );
}

/// A patch that sets one more route.
fn one_more(version: u64, prefix: &str) -> Value {
    let route = json!({
        "name": prefix, "host": "chat.example", "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 7, "service": "chat"
    });
    json!({"version": version, "upsert": {"routes": [route]}})
}

#[compio::test]
async fn patches_are_known_again_by_the_whole_request_and_not_by_their_version() {
    let mut machines = machines(&[[127, 0, 0, 31], [127, 0, 0, 32], [127, 0, 0, 33]]);
    machines.iter_mut().for_each(|machine| machine.start(true));
    let [first, second, third] = &machines[..] else {
        panic!("three machines")
    };

    let early = first.patch("0", &one_more(1, "/x/")).await;
    assert_eq!(
        early.status,
        StatusCode::CONFLICT,
        "nothing to patch: {early:?}"
    );
    assert_eq!(first.put("0", &configuration(3)).await, StatusCode::OK);

    let (winner, loser) = (one_more(5, "/w/"), one_more(5, "/l/"));
    assert_eq!(second.patch("3", &winner).await.status, StatusCode::OK);
    assert_eq!(
        third.patch("3", &loser).await.status,
        StatusCode::PRECONDITION_FAILED,
        "same number, other change"
    );
    assert_eq!(
        first.patch("3", &winner).await.status,
        StatusCode::OK,
        "the same patch again"
    );

    let read: Value = serde_json::from_slice(&third.read().await.body).expect("JSON");
    let mut expected: Value = serde_json::from_str(&configuration(3)).expect("JSON");
    expected["version"] = json!(5);
    let routes = expected["routes"].as_array_mut().expect("routes");
    routes.push(winner["upsert"]["routes"][0].clone());
    assert_eq!(read, expected);

    let faulty = third
        .patch(
            "5",
            &json!({"version": 6, "remove": {"services": ["chat"]}}),
        )
        .await;
    assert_eq!(faulty.status, StatusCode::BAD_REQUEST);
    let faults = String::from_utf8(faulty.body.to_vec()).expect("text");
    assert_eq!(
        faults.lines().count(),
        2,
        "both routes lose their service: {faults}"
    );
    assert_eq!(
        third.patch("5", &one_more(5, "/y/")).await.status,
        StatusCode::BAD_REQUEST,
        "not newer"
    );
    assert_eq!(
        third.patch("3", &one_more(6, "/y/")).await.status,
        StatusCode::PRECONDITION_FAILED,
        "stale"
    );

    assert_eq!(first.put("5", &configuration(8)).await, StatusCode::OK);
    assert_eq!(
        second.patch("3", &winner).await.status,
        StatusCode::OK,
        "the same patch again, though it is old"
    );
    assert_eq!(
        third.patch("3", &loser).await.status,
        StatusCode::PRECONDITION_FAILED
    );
    let mut machines = machines;
    machines.iter_mut().for_each(Machine::stop);
    machines.iter_mut().for_each(|machine| machine.start(false));
    assert_eq!(
        machines[1].patch("3", &winner).await.status,
        StatusCode::OK,
        "the same patch after a restart"
    );
    assert_eq!(
        machines[0].read().await.body[..],
        *configuration(8).as_bytes()
    );
}

/// Though told that it is the first start, a node whose disk was damaged neither takes its former identity nor serves what
/// it can't know; it joins and is fed.
#[compio::test]
async fn a_node_with_a_damaged_disk_starts_as_a_new_one() {
    let mut machines = machines(&[[127, 0, 0, 21], [127, 0, 0, 22], [127, 0, 0, 23]]);
    machines.iter_mut().for_each(|machine| machine.start(true));
    assert_eq!(
        machines[0].put("0", &configuration(1)).await,
        StatusCode::OK
    );
    let last = &machines[2];
    let before = last
        .wait_until("a whole chain", |status| chain_length(status) == 3)
        .await;
    let former = before["identity"].clone();
    machines[2].stop();
    damage_first_append(machines[2].folder.path());

    machines.iter_mut().take(2).for_each(Machine::stop);
    machines[2].start(true);
    let alone = machines[2].status().await;
    assert_ne!(alone["identity"], former);
    assert_eq!(alone["view"], Value::Null, "nobody told it of a view");
    assert_eq!(
        machines[2].try_read().await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );

    machines
        .iter_mut()
        .take(2)
        .for_each(|machine| machine.start(false));
    let joined = machines[2]
        .wait_until("membership", |status| status["clean"] == true)
        .await;
    let voters: Vec<&Value> = joined["view"]["voters"]
        .as_array()
        .into_iter()
        .flatten()
        .collect();
    assert_eq!(voters.len(), 3, "{joined}");
    assert!(
        voters.iter().all(|voter| voter["identity"] != former),
        "{joined}"
    );
    assert_eq!(joined["configuration"], 1);
    assert_eq!(
        machines[2].read().await.body[..],
        *configuration(1).as_bytes()
    );
}
