//! Durations as an integer number of milliseconds.

/// Durations above this (ten years) count as this much, so that sums of them never overflow.
pub const MAX_MS: u64 = 10 * 365 * 24 * 3_600 * 1_000;

const MS_PER_S: f64 = 1_000.0;

/// Milliseconds of a number that isn't negative; rounded up.
pub(crate) fn rounded_up_ms(ms: f64) -> u64 {
    (ms.ceil() as u64).min(MAX_MS)
}

/// Milliseconds of a number of seconds that isn't negative.
pub(crate) fn seconds_to_ms(seconds: f64) -> u64 {
    ((seconds * MS_PER_S).round() as u64).min(MAX_MS)
}
