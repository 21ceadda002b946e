//! Conversions of durations to an integer number of milliseconds.

/// Longest duration (ten years): longer ones are reduced to it, so that sums of durations never overflow.
pub const MAX_MS: u64 = 10 * 365 * 24 * 3_600 * 1_000;

const MS_PER_S: f64 = 1_000.0;

/// Converts a non-negative number of milliseconds; rounded up.
pub(crate) fn rounded_up_ms(ms: f64) -> u64 {
    (ms.ceil() as u64).min(MAX_MS)
}

/// Converts a non-negative number of seconds; rounded to the nearest millisecond.
pub(crate) fn seconds_to_ms(seconds: f64) -> u64 {
    ((seconds * MS_PER_S).round() as u64).min(MAX_MS)
}
