//! Control nodes on loopback addresses, tested through the operator's HTTP interface.

#[path = "support/disk_damage.rs"]
mod disk_damage;
#[path = "support/machines.rs"]
mod machines;

use std::io::{Read, Write};

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
async fn every_node_accepts_changes_and_serves_reads() {
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
        "configuration without required keys"
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
        "the same body again, although it is older than the current one"
    );
    assert_eq!(third.read().await.body[..], *configuration(2).as_bytes());

    for machine in &machines {
        let has_converged =
            |status: &Value| status["configuration"] == 2 && chain_length(status) == 3;
        machine
            .wait_until("version 2 in a chain of three", has_converged)
            .await;
    }
    let answer = call(machines[0].operator, Method::GET, "/metrics", None, "").await;
    let metrics = String::from_utf8(answer.body.to_vec()).expect("text");
    assert!(
        metrics.contains("lockusher_control_configuration_version 2\n"),
        "{metrics}"
    );
}

/// A patch that adds a route with this path prefix.
fn add_route(version: u64, prefix: &str) -> Value {
    let route = json!({
        "name": prefix, "host": "chat.example", "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 7, "service": "chat"
    });
    json!({"version": version, "upsert": {"routes": [route]}})
}

#[compio::test]
async fn a_repeated_patch_is_recognized_by_its_whole_request_and_not_by_its_version() {
    let mut machines = machines(&[[127, 0, 0, 31], [127, 0, 0, 32], [127, 0, 0, 33]]);
    machines.iter_mut().for_each(|machine| machine.start(true));
    let [first, second, third] = &machines[..] else {
        panic!("three machines")
    };

    let premature = first.patch("0", &add_route(1, "/x/")).await;
    assert_eq!(
        premature.status,
        StatusCode::CONFLICT,
        "nothing to patch: {premature:?}"
    );
    assert_eq!(first.put("0", &configuration(3)).await, StatusCode::OK);

    let (winner, loser) = (add_route(5, "/w/"), add_route(5, "/l/"));
    assert_eq!(second.patch("3", &winner).await.status, StatusCode::OK);
    assert_eq!(
        third.patch("3", &loser).await.status,
        StatusCode::PRECONDITION_FAILED,
        "same version, different change"
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

    let invalid = third
        .patch(
            "5",
            &json!({"version": 6, "remove": {"services": ["chat"]}}),
        )
        .await;
    assert_eq!(invalid.status, StatusCode::BAD_REQUEST);
    let faults = String::from_utf8(invalid.body.to_vec()).expect("text");
    assert_eq!(
        faults.lines().count(),
        2,
        "one fault for each of the two routes: {faults}"
    );
    assert_eq!(
        third.patch("5", &add_route(5, "/y/")).await.status,
        StatusCode::BAD_REQUEST,
        "not newer"
    );
    assert_eq!(
        third.patch("3", &add_route(6, "/y/")).await.status,
        StatusCode::PRECONDITION_FAILED,
        "stale"
    );

    assert_eq!(first.put("5", &configuration(8)).await, StatusCode::OK);
    assert_eq!(
        second.patch("3", &winner).await.status,
        StatusCode::OK,
        "the same patch again, although it is older than the current version"
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

/// A node whose disk was damaged must not keep its former identity or serve a state that it doesn't have, even with
/// `firstStart` set: it joins as a new node and receives the state from the others.
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
        .wait_until("a chain of three", |status| chain_length(status) == 3)
        .await;
    let former = before["identity"].clone();
    machines[2].stop();
    damage_first_append(machines[2].folder.path());

    machines.iter_mut().take(2).for_each(Machine::stop);
    machines[2].start(true);
    let alone = machines[2].status().await;
    assert_ne!(alone["identity"], former);
    assert_eq!(alone["view"], Value::Null, "it knows no view");
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

/// The interim response to a request that waits for it before it sends its body.
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Guards against LOST: a request in progress was cut when its node ended. This one arrives too slowly to be finished.
#[compio::test]
async fn a_node_that_is_stopped_answers_the_request_that_is_arriving() {
    let mut machines = machines(&[[127, 0, 0, 51], [127, 0, 0, 52], [127, 0, 0, 53]]);
    machines[0].start(true);
    let machine = &mut machines[0];
    machine.status().await;
    let mut operator = std::net::TcpStream::connect(machine.operator).expect("connects");
    let head = "PUT /api/configuration HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\nContent-Length: 8\r\nExpect: 100-continue\r\n\r\n";
    operator.write_all(head.as_bytes()).expect("the node reads");
    // The node has read the head once it asks for the body, which doesn't come.
    let mut asked = vec![0; CONTINUE.len()];
    operator
        .read_exact(&mut asked)
        .expect("the node asks for the body");
    assert_eq!(asked, CONTINUE.as_bytes());

    machine.stop();

    let mut response = String::new();
    operator
        .read_to_string(&mut response)
        .expect("closed, not reset");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}
