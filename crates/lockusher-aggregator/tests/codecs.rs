//! Tests of decoding and encoding without sockets, and of the errors in an invalid configuration.

use bytes::{BufMut, BytesMut};
use lockusher_aggregator::config;
use lockusher_aggregator::protocol::{client, frame};
use lockusher_policy::interface::*;
use rstest::rstest;
use serde_json::{Value, json};

#[rstest]
fn frames_are_decoded_wherever_the_stream_is_split() {
    let frames = [
        &b"qa1.3 good 17 inflight=7,util=0.61\nvalue\nof two lines"[..],
        b"o",
        b"qa1.4 later 0 -\n",
    ];
    let mut bytes = BytesMut::new();
    for frame_body in frames {
        bytes.put_u32(frame_body.len() as u32);
        bytes.put_slice(frame_body);
    }
    for split in 0..=bytes.len() {
        let mut decoded = Vec::new();
        let mut buffer = BytesMut::new();
        for piece in [&bytes[..split], &bytes[split..]] {
            buffer.put_slice(piece);
            while let Some(read) = frame::next(&mut buffer).expect("valid frames") {
                decoded.push(frame::decode(&read).expect("valid frames"));
            }
        }
        let ended = |id, outcome, score, value: &str| {
            let value = value.to_owned();
            frame::SearcherFrame::Answer(frame::PartAnswer {
                id: PartId::new(id),
                outcome,
                score,
                value,
            })
        };
        let expected = [
            ended("a1.3", Outcome::Returned, 17, "value\nof two lines"),
            frame::SearcherFrame::Probe(frame::Probe::Health),
            ended("a1.4", Outcome::Overloaded, 0, ""),
        ];
        assert_eq!(decoded, expected, "split at {split}");
    }
}

#[rstest]
#[case::empty(b"")]
#[case::unknown_frame_type(b"x")]
#[case::no_line(b"qa1.3 good 1 -")]
#[case::unknown_status(b"qa1.3 fine 1 -\n")]
#[case::no_id(b"q good 1 -\n")]
#[case::no_score(b"qa1.3 good much -\n")]
#[case::not_utf8(b"qa1.3 good 1 -\n\xff\xfe")]
#[case::value_containing_another_frame(b"qa1.3 good 1 -\nvalue\0\0\0\x14qa1.4 good 2 -\nvalue")]
fn a_malformed_frame_is_not_decoded(#[case] frame: &[u8]) {
    assert_eq!(frame::decode(frame), None);
}

/// Malformed input must be reported before the rest of the frame arrives, if it ever does.
#[rstest]
#[case::length_too_large(&[0x7f, 0xff, 0xff, 0xff, b'q'][..])]
#[case::length_of_zero(&[0, 0, 0, 0][..])]
#[case::unknown_frame_type(&[0, 0, 0, 20, b'z'][..])]
#[case::line_too_long(&[&[0, 1, 0, 0, b'q'][..], &[b'x'; 5_000]].concat())]
fn an_invalid_frame_is_reported_before_all_of_it_has_arrived(#[case] bytes: &[u8]) {
    assert!(frame::next(&mut BytesMut::from(bytes)).is_err());
}

#[rstest]
fn a_malformed_load_report_does_not_invalidate_the_answer() {
    let ended = frame::decode(b"qa1.3 good 17 inflight=\xff,,\nvalue");
    assert!(
        matches!(ended, Some(frame::SearcherFrame::Answer(e)) if e.value == "value" && e.score == 17)
    );
    assert_eq!(
        frame::answered_part_id(b"qa1.3 fine 1 -\n"),
        Some(PartId::new("a1.3"))
    );
}

#[rstest]
fn a_call_carries_each_part_with_its_text() {
    let part = |id: &str, shard, first_step| frame::CallPart {
        id: PartId::new(id),
        shard: Shard(shard),
        wait: Span::from_micros(240_999),
        first_step,
        text: "c41e77d0".into(),
    };
    let from: std::rc::Rc<[Shard]> = [Shard(3), Shard(5)].into();
    let parts = [part("q.3", 3, None), part("q.5.r", 5, Some((from, false)))];
    let expected = "mq.3 3 d=240 8\nc41e77d0q.5.r 5 d=240,from=3+5,whole=0 8\nc41e77d0";
    assert_eq!(frame::call(parts.iter()), expected);
    assert_eq!(frame::cancel(&parts[0].id), "nq.3");
}

#[rstest]
fn retry_after_is_formatted_in_decimal_seconds() {
    assert_eq!(client::retry_after(Span::from_millis(1_250)), "1.250");
}

fn configuration() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "settings": {
            "balancers": 1, "rank": 0, "tick_us": 5000, "localities": ["here"], "locality": "here",
            "membership_mode": "pushed", "prices": {},
            "grades": [{ "name": "look", "promise_us": 1, "deadline_us": 2, "effect": "safe", "worth": 1.0 }],
            "extra": { "cells": 3, "in_a_row": 3, "least_share": [1.0], "need_by_class": [1.0], "slices": 6,
                "bundle_max": 1 },
            "limits": { "max_attempts": 3, "max_open": 9, "max_streams": 8, "conn_idle_us": 7, "connect_timeout_us": 6 },
            "rules": { "cold_from": 0.2, "ramp_time_us": 9, "fall_multiple": 3.0, "tip_after_us": 1 },
        },
    })
}

#[rstest]
#[case::valid("/name", json!("n2"), "")]
#[case::no_listen_address("/listen", json!("here:80"), "listen: \"here:80\" is not an address with a port")]
#[case::missing("/discovery", json!(null), "discovery: missing, and LB_DISCOVERY is not set")]
#[case::seed("/seed", json!("xyz"), "seed: \"xyz\" is not 1 to 16 hexadecimal digits")]
#[case::a_word_for_a_number("/settings/rules/cold_from", json!("a"), "settings.rules.cold_from: invalid type")]
#[case::unknown_effect("/settings/grades/0/effect", json!("odd"), "settings.grades[0].effect: unknown variant")]
#[case::too_few_sockets("/limits", json!({ "sockets": 10 }), "limits.sockets: 10 is less than 64")]
#[case::too_little_memory("/limits", json!({ "memory_mb": 8 }), "limits.memory_mb: 8 is less than 16")]
#[case::no_calls("/settings/limits/max_streams", json!(0), "settings.limits.max_streams: must not be 0")]
#[case::no_rank("/settings/rank", json!(null), "settings.rank: invalid type")]
#[case::connect_timeout("/settings/limits/connect_timeout_us", json!(null), "settings.limits.connect_timeout_us: missing")]
#[case::idle_time("/settings/limits/conn_idle_us", json!(null), "settings.limits.conn_idle_us: missing")]
#[case::calls_on_a_connection("/settings/limits/max_streams", json!(null), "settings.limits.max_streams: missing")]
#[case::multigets_in_flight("/settings/limits/max_open", json!(null), "settings.limits.max_open: missing")]
#[case::parts_in_a_call("/settings/extra/bundle_max", json!(null), "settings.extra.bundle_max: missing")]
#[case::shards("/settings/extra/slices", json!(null), "settings.extra.slices: missing")]
#[case::too_short_a_list("/settings/extra/least_share", json!([]), "extra.least_share has no entry for class 0")]
#[case::no_cells("/settings/extra/cells", json!(0), "settings.extra.cells: must not be 0")]
#[case::an_invalid_list("/known", json!({ "index": -1 }), "known.index: invalid value")]
fn an_error_names_the_invalid_key(#[case] key: &str, #[case] value: Value, #[case] message: &str) {
    let mut text = configuration();
    let (parent, last) = key.rsplit_once('/').expect("a key");
    text.pointer_mut(parent).expect("its parent")[last.parse::<usize>().map_or(last, |_| last)] =
        value;
    let error = config::parse(&text.to_string(), |_| None)
        .and_then(|config| config.require_discovery().map(drop));
    let error = error.map_or_else(|e| format!("{e:#}"), |()| String::new());
    assert!(
        error.contains(message) && error.is_empty() == message.is_empty(),
        "{error}"
    );
}

#[rstest]
fn keys_that_need_a_restart_are_listed() {
    let parse = |text: &Value| config::parse(&text.to_string(), |_| None).expect("a configuration");
    let (old, mut new) = (configuration(), configuration());
    (new["discovery"], new["known"]) =
        ("127.0.0.1:2".into(), json!({ "index": 1, "endpoints": [] }));
    assert!(parse(&old).keys_needing_restart(&parse(&new)).is_empty());
    (new["listen"], new["settings"]["tick_us"]) = ("127.0.0.1:3".into(), 6000.into());
    assert_eq!(
        parse(&old).keys_needing_restart(&parse(&new)),
        ["listen", "settings"]
    );
}
