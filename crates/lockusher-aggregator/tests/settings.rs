//! Tests of the operator's settings: what is read, and which line and key an error names.

use lockusher_aggregator::operator::{Level, OperatorSettings, parse};
use lockusher_aggregator::transport::protocol_selection::matches;
use lockusher_policy::interface::Span;
use lockusher_registry_client::core::follow::Protocol;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../deploy/settings.txtpb");

#[rstest]
fn the_example_is_valid_and_everything_is_off_by_default() {
    let settings = parse(EXAMPLE).expect("the example");
    let plan = settings.registry.expect("a registry");
    assert_eq!(
        (plan.protocol, plan.endpoints.len(), plan.page),
        (Protocol::Etcd, 3, 1_000)
    );
    assert_eq!(
        (plan.silent_after, plan.stale),
        (Span::from_millis(3_000), None)
    );
    let http2 = settings.http2.expect("HTTP/2 settings");
    assert_eq!(
        (
            http2.select_by_registry_entry,
            http2.fall_back_to_frames,
            http2.max_streams
        ),
        (true, true, 128)
    );
    let fleet = settings.fleet.expect("fleet settings");
    assert_eq!((fleet.advertise, fleet.seeds.len()), (fleet.address, 2));
    assert_eq!(parse("# nothing\n"), Ok(OperatorSettings::default()));
    assert_eq!(
        parse("log { level: WARN form: JSON }")
            .map(|settings| (settings.json_logs, settings.level)),
        Ok((true, Level::Warn))
    );
}

#[rstest]
#[case::an_unknown_key(4, "  endpints: \"a:1\"", 4, "endpints")]
#[case::a_word_for_a_number(14, "  page: many", 14, "expected an integer")]
#[case::an_unclosed_block(35, "", 35, "reached end of input")]
#[case::no_fleet_id(30, "", 29, "fleet.id: missing")]
#[case::no_fleet_address(31, "", 29, "fleet.address: missing")]
#[case::a_name_for_an_address(
    31,
    "  address: \"here:7946\"",
    31,
    "fleet.address: \"here:7946\" is not an IPv4"
)]
#[case::an_unspecified_address(31, "  address: \"0.0.0.0:7946\"", 31, "that can be reached")]
#[case::a_duplicate_seed(
    33,
    "  seeds: \"127.0.0.1:7946\"",
    33,
    "fleet.seeds: \"127.0.0.1:7946\" is named twice"
)]
#[case::a_suspicion_timeout_below_two_probe_intervals(
    34,
    "  suspect_for_ms: 300",
    34,
    "fleet.suspect_for_ms: 300 leaves no time"
)]
#[case::nothing_shared(34, "  shared { }", 34, "fleet.shared: names nothing")]
#[case::a_budget_of_zero(
    34,
    "  shared { budgets { cold_per_s: 0 } }",
    34,
    "fleet.shared.budgets.cold_per_s: 0 is not"
)]
#[case::a_budget_that_is_no_number(
    34,
    "  shared { budgets { probes_per_s: nan } }",
    34,
    "probes_per_s: NaN is not above 0"
)]
#[case::a_fleet_of_no_mixers(
    34,
    "  shared { budgets { tenants: true mixers: 0 } }",
    34,
    "budgets.mixers: 0 is not between"
)]
#[case::a_probe_interval_below_the_minimum(
    34,
    "  probe_every_ms: 5",
    34,
    "fleet.probe_every_ms: 5 is not between 50 and"
)]
#[case::an_unknown_protocol(6, "  protocol: ZOOKEEPER", 6, "ZOOKEEPER")]
#[case::no_protocol(6, "", 5, "registry.protocol: missing")]
#[case::not_host_and_port(
    8,
    "  endpoints: \"127.0.0.2\"",
    8,
    "registry.endpoints: \"127.0.0.2\" is not HOST:PORT"
)]
#[case::a_url(8, "  endpoints: \"http://a:1\"", 8, "is not HOST:PORT")]
#[case::a_duplicate_endpoint(9, "  endpoints: \"127.0.0.1:2379\"", 9, "is named twice")]
#[case::no_prefix(11, "", 5, "registry.prefix: missing")]
#[case::a_silence_timeout_below_the_minimum(
    13,
    "  silent_after_ms: 5",
    13,
    "registry.silent_after_ms: 5 is not between 200 and"
)]
#[case::a_negative_number(14, "  settle_ms: -1", 14, "out of range")]
#[case::stale_reads_of_etcd(14, "  stale_ms: 5", 14, "registry.stale_ms: only Consul")]
#[case::no_page(12, "  page: 0", 12, "registry.page: must not be 0")]
#[case::no_host(19, "", 18, "http2: names no host")]
#[case::no_streams(
    20,
    "  most_streams: 0",
    20,
    "http2.most_streams: 0 is not between 1 and"
)]
#[case::a_duplicate_key(14, "  prefix: \"b\"", 14, "prefix")]
fn an_error_names_its_line(
    #[case] replaced_line: usize,
    #[case] text: &str,
    #[case] line: usize,
    #[case] message: &str,
) {
    let mut lines: Vec<&str> = EXAMPLE.lines().collect();
    lines[replaced_line - 1] = text;
    let error = parse(&lines.join("\n")).expect_err("an error");
    assert!(
        error.line == line && error.message.contains(message),
        "{error:?}"
    );
}

#[rstest]
#[case("roll-*", "roll-7", true)]
#[case("roll-*", "enroll-7", false)]
#[case("*-b-*", "x-b-y", true)]
#[case("*", "", true)]
#[case("roll", "roll-7", false)]
#[case("**7", "27", true)]
fn a_star_matches_any_characters(#[case] pattern: &str, #[case] id: &str, #[case] expected: bool) {
    assert_eq!(matches(pattern, id), expected);
}
