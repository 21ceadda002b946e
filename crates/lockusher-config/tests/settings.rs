//! The reader of settings files: which lines are valid, and how faults are reported.

use std::path::PathBuf;

#[path = "support/settings_text.rs"]
mod settings_text;

use lockusher_config::settings::{FaultTolerance, NodeSettings, PortRange};
use settings_text::{FULL, REQUIRED};
use yare::parameterized;

fn parse(text: &str) -> Result<NodeSettings, String> {
    NodeSettings::parse(text).map_err(|faults| faults.to_string())
}

#[test]
fn every_key_is_read() {
    let settings = parse(FULL).unwrap();

    assert_eq!(
        (
            settings.node.as_str(),
            settings.zone.as_str(),
            settings.region.as_str()
        ),
        ("c-7", "east-2", "rhine")
    );
    assert_eq!(
        (settings.zones.len(), settings.zones["west-9"].as_str()),
        (2, "mosel")
    );
    assert_eq!(settings.ip_address.octets(), [172, 18, 4, 5]);
    let listeners = [settings.front, settings.readiness, settings.control]
        .map(|address| address.unwrap().port());
    assert_eq!(listeners, [9_001, 9_002, 9_003]);
    assert_eq!(
        settings.internal_ports,
        PortRange {
            first: 5_100,
            last: 5_104
        }
    );
    let seeds: Vec<_> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["172.18.4.5:9003", "172.19.0.8:9003"]);
    assert!(settings.first_start && settings.counts_for_quorum);
    assert_eq!(settings.data_directory, Some(PathBuf::from("/data/keeper")));
    assert_eq!(
        (settings.limits.cpu_share, settings.limits.cores),
        (0.31, 3)
    );
    assert_eq!(
        (settings.limits.memory_mb, settings.limits.file_descriptors),
        (97, 2_111)
    );
    assert_eq!(
        (settings.limits.link_mbps, settings.limits.disk_mb),
        (77.5, 45)
    );
    assert_eq!(
        settings.fault_tolerance,
        FaultTolerance {
            machines: 2,
            zones: 1,
            regions: 3
        }
    );
    assert_eq!(settings.heartbeat_ms, 1_350);
    assert_eq!(settings.cloud_address.to_string(), "172.31.0.2:8800");
    assert_eq!(
        (settings.cloud_rate_per_s, settings.cloud_lag_ms),
        (12.5, 930)
    );
}

#[test]
fn every_bound_is_read_in_milliseconds() {
    let bounds = parse(FULL).unwrap().bounds;

    assert_eq!(
        (bounds.seed_lag_ms, bounds.reuse_after_ms, bounds.contact_ms),
        (7_000, 1_500, 3_100)
    );
    assert_eq!(
        (bounds.acknowledge_ms, bounds.catch_up_ms, bounds.drain_ms),
        (4_300, 6_250, 3_700)
    );
    assert_eq!(
        (
            bounds.grace_ms,
            bounds.loss_slack_ms,
            bounds.configuration_ms
        ),
        (9_000, 210, 2_900)
    );
    assert_eq!(
        (bounds.rollback_slack_ms, bounds.outer_bound_ms),
        (270, 6_100)
    );
    assert_eq!(
        (bounds.retry_budget_ratio, bounds.budget_window_ms),
        (0.13, 12_000)
    );
    assert_eq!(
        (
            bounds.retry_budget_slack,
            bounds.recovery_ms,
            bounds.transit_ms
        ),
        (34.0, 17_000, 190)
    );
    assert_eq!(
        (bounds.repeated_prefill_window_ms, bounds.fenced),
        (8_400, true)
    );
    assert_eq!((bounds.lease_ms, bounds.thaw_ms), (2_300, 410));
}

#[test]
fn a_file_with_only_the_required_keys_is_valid() {
    let settings = parse(REQUIRED).unwrap();

    assert!(settings.seeds.is_empty() && settings.zones.is_empty());
    assert_eq!(
        (settings.front, settings.control, settings.data_directory),
        (None, None, None)
    );
    assert!(!settings.first_start && !settings.counts_for_quorum && !settings.bounds.fenced);
}

#[test]
fn an_absent_region_is_that_of_the_zone() {
    let settings = parse(&format!("{REQUIRED}zones.west-9=mosel\n")).unwrap();

    assert_eq!(settings.region, "mosel");
}

#[parameterized(
    unknown = { "later.added=a=b,c" },
    empty_unknown = { "later=" },
    unknown_twice = { "later=1\nlater=2" },
    empty_optional = { "dataDirectory=" },
    empty_list = { "seeds=" },
    one_seed = { "seeds=172.18.4.5:9003" },
    blank_line = { "" },
    comment = { "# node=x" },
    spaces = { "  bounds.graceS = 4 \r" },
    fraction_of_a_millisecond = { "bounds.drainMs=0.25" },
)]
fn a_tolerated_line_is_accepted(line: &str) {
    parse(&format!("{REQUIRED}{line}\n")).unwrap();
}

#[parameterized(
    not_a_pair = { "graceS 4", "line 6: expected key=value, found graceS 4" },
    number = { "bounds.graceS=soon", "line 6, bounds.graceS: expected a number of at least 0, found soon" },
    negative = { "bounds.drainMs=-1", "line 6, bounds.drainMs: expected a number of at least 0, found -1" },
    not_a_number = { "bounds.drainMs=NaN", "line 6, bounds.drainMs: expected a number of at least 0, found NaN" },
    infinite = { "limits.cpuShare=inf", "line 6, limits.cpuShare: expected a positive number, found inf" },
    zero_share = { "limits.cpuShare=0", "line 6, limits.cpuShare: expected a positive number, found 0" },
    zero_rate = { "cloud.ratePerS=0", "line 6, cloud.ratePerS: expected a positive number, found 0" },
    flag = { "firstStart=1", "line 6, firstStart: expected true or false, found 1" },
    listener = { "listenAddresses.front=:80", "line 6, listenAddresses.front: expected IP:PORT, found :80" },
    seed = { "seeds=1.2.3.4:5,host:6", "line 6, seeds: expected IP:PORT, found host:6" },
    twice = { "zone=a", "line 6, zone: given twice, first on line 2" },
)]
fn a_fault_is_reported_with_its_line(line: &str, message: &str) {
    assert_eq!(parse(&format!("{REQUIRED}{line}\n")).unwrap_err(), message);
}

#[parameterized(
    order = { "9,8", "line 4, internalPorts: first port 9 is above the last, 8" },
    one = { "9", "line 4, internalPorts: expected FIRST,LAST port, found 9" },
    too_high = { "9,70000", "line 4, internalPorts: expected FIRST,LAST port, found 9,70000" },
)]
fn ports_are_a_range(ports: &str, message: &str) {
    let text = REQUIRED.replace("5100,5100", ports);

    assert_eq!(parse(&text).unwrap_err(), message);
}

#[test]
fn all_faults_are_found_in_one_run() {
    let text =
        "node=\nzone=a\nnonsense\nfirstStart=maybe\nseeds=x,1.2.3.4:1,y\ncloud.address=1.2.3.4\n";
    let expected = "\
        line 3: expected key=value, found nonsense\n\
        node: missing\n\
        ipAddress: missing\n\
        internalPorts: missing\n\
        line 5, seeds: expected IP:PORT, found x\n\
        line 5, seeds: expected IP:PORT, found y\n\
        line 4, firstStart: expected true or false, found maybe\n\
        line 6, cloud.address: expected IP:PORT, found 1.2.3.4";
    assert_eq!(parse(text).unwrap_err(), expected);
}
