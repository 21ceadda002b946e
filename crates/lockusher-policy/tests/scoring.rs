//! The shared score against its formula, with numbers that floats represent exactly.

use lockusher_policy::scoring::{EXPONENT, NEWEST, blend, score};
use rstest::rstest;

#[rstest]
#[case::idle(0.0, 0.0, 0.25, 0.25)]
#[case::one_in_flight(1.0, 0.0, 0.25, 2.0)]
#[case::average_counts_like_one_in_flight(0.0, 1.0, 0.25, 2.0)]
#[case::both(2.0, 1.0, 0.5, 32.0)]
#[case::fraction(1.0, 0.5, 2.0, 31.25)]
fn the_score_is_the_load_to_the_power_n_times_latency(
    #[case] in_flight: f64,
    #[case] queue_average: f64,
    #[case] latency: f64,
    #[case] expected: f64,
) {
    assert_eq!(EXPONENT, 3.0);
    assert_eq!(score(in_flight, queue_average, latency), expected);
}

#[rstest]
#[case::not_at_all(0.0, 4.0)]
#[case::half_way(0.5, 6.0)]
#[case::wholly(1.0, 8.0)]
#[case::by_the_weight_of_the_newest(NEWEST, 4.0 + 4.0 / 3.0)]
fn an_average_moves_toward_a_sample_by_the_weight(#[case] weight: f64, #[case] expected: f64) {
    let mut average = 4.0;
    blend(&mut average, 8.0, weight);
    assert!((average - expected).abs() < 1e-12, "{average} is not {expected}");
}
