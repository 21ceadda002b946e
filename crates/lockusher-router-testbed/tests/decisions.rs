//! Parsing of the decision trace and its table.

use lockusher_router_testbed::decisions::{TraceError, read_trace, table};

const LOG: &str = "\
 0.1 edge-1/proxy 14.0 DEBUG proxy edge-1 decision Prefill Answered tokens=1024 waited_ms=0 expected_ms=20 took_ms=30 target_ms=300
0.2 edge-1/proxy 14.1 INFO proxy edge-1 configuration 4
0.3 edge-1/proxy 14.2 DEBUG proxy edge-1 decision Prefill TimedOut tokens=700 waited_ms=0 expected_ms=40 took_ms=1960 target_ms=300
0.4 edge-2/proxy 14.3 DEBUG proxy edge-2 decision Prefill Answered tokens=1025 waited_ms=0 expected_ms=9 took_ms=31 target_ms=300
0.5 edge-2/proxy 14.4 DEBUG proxy edge-2 decision Decode FirstEvent tokens=1025 waited_ms=290 expected_ms=9 took_ms=11 target_ms=300
";

#[test]
fn sends_are_counted_by_target_purpose_and_size() {
    let sends = read_trace(LOG).expect("readable");
    assert_eq!(sends.len(), 4);
    let table = table(&sends);
    let rows: Vec<Vec<&str>> = table
        .lines()
        .skip(1)
        .map(|row| row.split_whitespace().collect())
        .collect();
    assert_eq!(
        rows,
        [
            [
                "300", "Decode", "2048", "1", "100.0", "100.0", "11", "11", "11", "9"
            ],
            [
                "300", "Prefill", "1024", "2", "50.0", "50.0", "30", "1960", "1960", "20"
            ],
            [
                "300", "Prefill", "2048", "1", "100.0", "0.0", "31", "31", "31", "9"
            ],
        ]
    );
}

#[test]
fn an_invalid_line_is_reported_with_its_number_and_field() {
    let log = "x\n0.1 a DEBUG proxy e decision Whole Failed tokens=7 waited_ms=0 expected_ms=1 took_ms=- target_ms=3\n";
    assert_eq!(
        read_trace(log),
        Err(TraceError {
            line: 2,
            field: "took_ms"
        })
    );
}
