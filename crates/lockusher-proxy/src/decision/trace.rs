//! The decision trace: one line of the log for each send, at the level `debug`, which is off by default.
//!
//! Written by `RequestRouter`. `lockusher-router-testbed decisions` makes a table of these lines, so
//! their form stays.

use super::plan::SendRecord;
use super::types::{MICROS_PER_MS, Micros, SendOutcome};

/// Logs what became of a send: its first event, or its end where none came before.
pub fn log_end(now: Micros, record: &SendRecord, outcome: SendOutcome) {
    if record.has_response && outcome != SendOutcome::FirstEvent {
        return;
    }
    let ms = |span: Micros| span / MICROS_PER_MS;
    log::debug!(
        target: "lockusher::decision",
        "decision {purpose:?} {outcome:?} tokens={tokens} waited_ms={waited} expected_ms={expected:.0} took_ms={took} target_ms={target}",
        purpose = record.purpose,
        tokens = record.tokens,
        waited = ms(record.waited),
        expected = record.expected / MICROS_PER_MS as f64,
        took = ms(now.saturating_sub(record.sent)),
        target = ms(record.target),
    );
}
