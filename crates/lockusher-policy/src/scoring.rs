//! The score that selects a replica, and the moving average that feeds it.

/// Exponent of a replica's load in the score; with 2, own requests in flight have little effect.
pub const EXPONENT: f64 = 3.0;

/// Weight of the newest sample in a replica's moving averages.
pub const NEWEST: f64 = 1.0 / 3.0;

/// The score by which a replica is selected, where the lowest wins:
/// (in flight + queue average + 1)^[`EXPONENT`] x latency, in the unit of `latency`.
pub fn score(in_flight: f64, queue_average: f64, latency: f64) -> f64 {
    (in_flight + queue_average + 1.0).powi(EXPONENT as i32) * latency
}

/// Moves a moving average toward a sample by the fraction `weight` of their difference.
pub fn blend(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * weight;
}
