//! The schedule of a graceful shutdown: when each phase begins, and which requests are forwarded in it.

use std::time::Duration;

use lockusher_proxy::drain::DrainSchedule;
use yare::parameterized;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[parameterized(
    usual = { 8_000, [2_500, 3_000, 7_500, 7_750] },
    long = { 60_000, [2_500, 3_000, 59_500, 59_750] },
    short = { 2_000, [250, 750, 1_500, 1_750] },
    shorter_than_its_reserves = { 400, [0, 150, 150, 150] },
    none = { 0, [0, 0, 0, 0] },
)]
fn phases_follow_each_other_within_the_grace_period(grace_ms: u64, expected: [u64; 4]) {
    let schedule = DrainSchedule::new(ms(grace_ms));
    let [late_requests, stop_reading, cut_requests, exit] = expected.map(ms);
    let expected = DrainSchedule {
        late_requests,
        stop_reading,
        cut_requests,
        exit,
    };
    assert_eq!(schedule, expected);
}

#[parameterized(
    early_and_long = { 2_499, 8_499, true },
    late_and_long = { 2_500, 7_501, false },
    late_and_short = { 2_500, 7_500, true },
    at_the_end = { 7_499, 7_500, true },
    after_the_end = { 7_600, 7_601, false },
)]
fn a_late_request_is_forwarded_only_if_it_ends_in_time(
    now_ms: u64,
    response_end_ms: u64,
    expected: bool,
) {
    let schedule = DrainSchedule::new(ms(8_000));
    assert_eq!(
        schedule.may_forward(ms(now_ms), ms(response_end_ms)),
        expected
    );
}
