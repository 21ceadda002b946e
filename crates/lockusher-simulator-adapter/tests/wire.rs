//! The adapter as a process: lines on standard input, lines on standard output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;
use serde_json::{Value, json};

fn run_adapter(lines: &[String]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_lockusher-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = adapter.stdin.take().expect("a pipe");
    // An adapter that exits early closes its input; its output is checked.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    adapter.wait_with_output().expect("the binary ends")
}

fn batch(at: u64, items: Vec<Value>) -> String {
    json!({ "sim_time_us": at, "items": items }).to_string()
}

fn start(cells: usize, in_a_row: usize) -> Value {
    let facts = json!({
        "balancers": 40, "rank": 0, "tick_us": 5000, "localities": ["here"], "locality": "here",
        "membership_mode": "pushed", "prices": {},
        "grades": [{
            "name": "wide", "promise_us": 1500000, "deadline_us": 4000000, "effect": "safe", "worth": 1.0,
        }],
        "extra": { "cells": cells, "in_a_row": in_a_row, "least_share": [1.0], "need_by_class": [1.0] },
        "limits": { "max_attempts": 4, "parallel_tries": true, "may_cancel": true },
        "rules": { "cold_from": 0.2, "ramp_time_us": 9000000, "fall_multiple": 3.0, "tip_after_us": 1000000 },
    });
    json!({ "event_type": "SPAWN", "mixer": "mixer-1", "random_seed": 7, "facts": facts })
}

fn list(set_id: u64, count: usize, state: impl Fn(usize) -> &'static str) -> Value {
    let entry = |i| {
        let searcher = format!("s{i}:1");
        json!({ "rack_zone": "here", "stage_state": state(i), "set_no": i, "searcher": searcher })
    };
    let entries: Vec<Value> = (0..count).map(entry).collect();
    json!({ "event_type": "CATALOG", "set_id": set_id, "members_list": entries })
}

fn update(mode: &str, set_id: u64) -> Value {
    json!({ "event_type": "UPDATE", "mixer": "mixer-1", "stamp": 1, "mode": mode, "set_id": set_id })
}

/// A multiget and its parts.
fn multiget(kind: &str, parts: usize) -> Vec<Value> {
    let arrival = |corr: String, slab: i64, amount: f64| {
        json!({
            "event_type": "KNOCK", "mixer": "mixer-1", "corr": corr, "kind": kind, "whole_no": 1,
            "slab": slab, "time_left_us": 4000000, "amount": amount,
        })
    };
    let part = |i: usize| arrival(format!("part-{i}"), i as i64, 1.0 / parts as f64);
    std::iter::once(arrival("whole".into(), -1, parts as f64))
        .chain((0..parts).map(part))
        .collect()
}

#[rstest]
#[case::two_hundred_parts_of_a_large_fleet(300, 4, 200)]
#[case::fewer_cells_than_a_shard_has_holders(2, 3, 5)]
#[case::one_searcher_for_all(1, 1, 3)]
fn each_part_goes_to_a_holder_that_does_not_drain(
    #[case] cells: usize,
    #[case] in_a_row: usize,
    #[case] parts: usize,
) {
    // Every fourth searcher drains, all in one batch of changes; with fewer than four, none does.
    let drains = |i: usize| i % 4 == 3;
    let out = run_adapter(&[
        batch(
            1_000_000,
            vec![
                start(cells, in_a_row),
                list(0, cells, |_| "U"),
                update("remembered", 0),
            ],
        ),
        batch(
            1_005_000,
            vec![
                list(1, cells, |i| if drains(i) { "L" } else { "U" }),
                update("changes", 1),
            ],
        ),
        batch(1_010_000, multiget("wide", parts)),
    ]);
    let text = String::from_utf8(out.stdout).expect("text");
    let last: Value = serde_json::from_str(text.lines().last().expect("a reply")).expect("a reply");
    let relays: Vec<&Value> = last["cmds"]
        .as_array()
        .expect("actions")
        .iter()
        .filter(|c| c["event_type"] == "RELAY")
        .collect();
    assert!(out.status.success());
    assert_eq!(relays.len(), parts);
    for relay in relays {
        let number = |value: &Value, prefix: &str| -> usize {
            let name = value
                .as_str()
                .and_then(|name| name.strip_prefix(prefix))
                .expect("a name");
            name.trim_end_matches(":1").parse().expect("a number")
        };
        let (shard, searcher) = (
            number(&relay["corr"], "part-"),
            number(&relay["searcher"], "s"),
        );
        assert!(
            (searcher + cells - shard % cells) % cells < in_a_row && !drains(searcher),
            "{relay}"
        );
    }
}

#[rstest]
#[case::no_batch("not a batch".into(), "not a batch")]
#[case::not_started(batch(1, multiget("wide", 1)), "mixer-1 has not been started")]
#[case::no_such_list(batch(1, vec![start(3, 3), update("all", 9)]), "undefined set_id 9")]
#[case::no_such_op_type(batch(1, [vec![start(3, 3)], multiget("odd", 1)].concat()), "no class is named odd")]
#[case::no_cells(batch(1, vec![start(0, 3)]), "cells is 0")]
fn malformed_input_is_reported_in_one_line(#[case] line: String, #[case] message: &str) {
    let out = run_adapter(&[line]);
    let stderr = String::from_utf8(out.stderr).expect("text");
    assert!(!out.status.success());
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
}
