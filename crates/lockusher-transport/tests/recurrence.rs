//! Rate limit for reports of a persistent condition.

use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};

#[test]
fn a_condition_is_reported_after_the_delay_then_once_in_each_interval() {
    let mut log = RecurrenceLog::new(500, 2_000);

    let reports: Vec<u64> = (0..60)
        .map(|step| 1_000 + step * 100)
        .filter(|now_ms| log.observe(*now_ms).is_some())
        .collect();

    assert_eq!(reports, [1_500, 3_500, 5_500]);
}

#[test]
fn the_end_of_a_reported_condition_is_reported_with_its_duration() {
    let mut log = RecurrenceLog::new(0, 2_000);
    log.observe(100);
    log.observe(200);

    let end = log.end(900);

    let expected = Recurrence {
        for_ms: 800,
        count: 2,
    };
    assert_eq!(end, Some(expected));
    assert_eq!(log.end(1_000), None);
}

#[test]
fn a_condition_that_ends_before_the_delay_is_not_reported() {
    let mut log = RecurrenceLog::new(500, 2_000);
    assert_eq!(log.observe(0), None);
    assert_eq!(log.observe(499), None);

    assert_eq!(log.end(499), None);
    assert_eq!(log.observe(800), None);
}
