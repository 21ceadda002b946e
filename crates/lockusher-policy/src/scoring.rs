//! The score by which a replica is chosen, and the moving average that feeds it.

/// The power N to which a replica's load counts; with 2, own requests in flight hardly decide.
pub const EXPONENT: f64 = 3.0;

/// Weight of the newest sample in the averages of a replica.
pub const NEWEST: f64 = 1.0 / 3.0;

/// Score of a replica, of which the lowest is chosen: (in flight + its average + 1)^[`EXPONENT`] x latency
/// average. The result has the unit of `latency`.
pub fn score(in_flight: f64, queue_average: f64, latency: f64) -> f64 {
    (in_flight + queue_average + 1.0).powi(EXPONENT as i32) * latency
}

/// Moves an average toward a sample by the share `weight` of their difference.
pub fn blend(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * weight;
}
