//! The log lines that summarize why requests weren't served.

use lockusher_proxy::unserved::{SearcherCounts, UnservedReason, UnservedSummary};

const COUNTS: SearcherCounts = SearcherCounts {
    listed: 4,
    plain: 0,
    prefill: 3,
    decode: 0,
    warming_up: 1,
    failing: 0,
};

#[test]
fn a_summary_per_second_shows_reasons_and_searchers_of_each_service() {
    let mut summary = UnservedSummary::default();
    summary.record(1_000, "reader", UnservedReason::NoSearcher);
    summary.record(1_400, "reader", UnservedReason::NoSearcher);
    summary.record(1_500, "reader", UnservedReason::NotAdmitted);
    summary.record(1_600, "", UnservedReason::NoConfiguration);
    let counts_of = |service: &str| (service == "reader").then_some(COUNTS);

    assert_eq!(summary.take_lines(1_999, counts_of), Vec::<String>::new());
    let lines = summary.take_lines(2_000, counts_of);

    assert_eq!(
        lines,
        [
            "unserved in 1000 ms: no-configuration=1",
            "unserved in 1000 ms: not-admitted=1 no-searcher=2 of service reader (4 listed; ready: 0 plain, 3 prefill, \
             0 decode; 1 warming up, 0 failing)",
        ]
    );
}

#[test]
fn nothing_is_logged_while_all_requests_are_served() {
    let mut summary = UnservedSummary::default();

    assert_eq!(summary.take_lines(9_000, |_| None), Vec::<String>::new());

    summary.record(9_000, "reader", UnservedReason::Broken);
    assert_eq!(summary.take_lines(10_500, |_| None).len(), 1);
    assert_eq!(summary.take_lines(20_000, |_| None), Vec::<String>::new());
}
