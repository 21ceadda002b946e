//! The decision trace: one log line per send at level `debug`, which is off by default.
//!
//! Written by `RequestRouter`. `lockusher-router-testbed decisions` parses these lines into a table, so their format
//! must not change.

use super::plan::SendRecord;
use super::types::{MICROS_PER_MS, Micros, SendOutcome};

/// Logs the outcome of a send: its first event, or its end if there was no first event.
pub fn log_outcome(now: Micros, record: &SendRecord, outcome: SendOutcome) {
    if record.has_response && outcome != SendOutcome::FirstEvent {
        return;
    }
    let ms = |span: Micros| span / MICROS_PER_MS;
    log::debug!(
        target: "lockusher::decision",
        "decision {purpose:?} {outcome:?} tokens={tokens} waited_ms={waited} expected_ms={expected:.0} took_ms={took} target_ms={target}",
        purpose = record.purpose,
        tokens = record.expected_tokens,
        waited = ms(record.delay_before_send),
        expected = record.expected_micros / MICROS_PER_MS as f64,
        took = ms(now.saturating_sub(record.sent_at)),
        target = ms(record.target_latency),
    );
}
