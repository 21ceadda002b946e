//! The command `check`, run as a process: printed faults, descriptions of valid files, and exit codes.

mod support;

use std::path::Path;
use std::process::Output;

use yare::parameterized;

use support::{program, program_with_settings, text, write_file};

const VALID_SETTINGS: &str = "node=n-4\nzone=z\nipAddress=172.20.1.2\ninternalPorts=4400,4410\ncloud.address=172.20.9.9:81\n";

const FAULTY_SETTINGS: &str =
    "node=n-5\nzone=z\nipAddress=172.20.1\ncloud.address=172.20.9.9:81\nbounds.graceS=x\n";

const VALID_CONFIGURATION: &str = r#"{
    "version": 12,
    "routes": [
        {"name": "r", "host": "h.test", "pathPrefix": "/q/", "kind": "idempotent", "timeoutMs": 70, "service": "s"}
    ],
    "services": [{"name": "s"}],
    "limits": {}
}"#;

const FAULTY_CONFIGURATION: &str = r#"{
    "version": 12,
    "routes": [
        {"host": "h.test", "pathPrefix": "/q/", "kind": "idempotent", "timeoutMs": 0, "service": "s"},
        {"host": "h.test", "pathPrefix": "/q/", "kind": "idempotent", "timeoutMs": 70, "service": "t"}
    ],
    "services": [{"name": "s"}]
}"#;

const OPERATOR_ADDRESS: &str = "listenAddresses.control=172.20.1.2:4500\n";
const COUNTS_FOR_QUORUM: &str = "countsForQuorum=true\n";
const DATA_DIRECTORY: &str = "dataDirectory=/data\n";

fn check(settings: &[&Path], configurations: &[&Path]) -> Output {
    let mut command = program();
    command.arg("check");
    for file in settings {
        command.arg("--settings").arg(file);
    }
    for file in configurations {
        command.arg("--configuration").arg(file);
    }
    command.output().expect("the program runs")
}

#[test]
fn valid_files_are_described() {
    let settings = write_file("good.conf", VALID_SETTINGS);
    let configuration = write_file("good.json", VALID_CONFIGURATION);
    let output = check(&[&settings], &[&configuration]);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
    let expected = format!(
        "{}: good: settings of node n-4\n{}: good: configuration 12 with 1 routes and 1 services\n",
        settings.display(),
        configuration.display()
    );
    assert_eq!(text(&output.stdout), expected);
}

#[test]
fn all_faults_of_all_files_are_printed() {
    let settings = write_file("faulty.conf", FAULTY_SETTINGS);
    let configuration = write_file("faulty.json", FAULTY_CONFIGURATION);
    let valid = write_file("good-among-faulty.conf", VALID_SETTINGS);
    let absent = Path::new("does/not/exist.json");
    let output = check(&[&settings, &valid], &[absent, &configuration]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        text(&output.stdout),
        format!("{}: good: settings of node n-4\n", valid.display())
    );
    let (settings, configuration) = (settings.display(), configuration.display());
    let expected = [
        format!("{settings}: line 3, ipAddress: expected an IPv4 address, found 172.20.1"),
        format!("{settings}: internalPorts: missing"),
        format!("{settings}: line 5, bounds.graceS: expected a number of at least 0, found x"),
        "does/not/exist.json: cannot be read: No such file or directory (os error 2)".to_owned(),
        format!("{configuration}: routes[0].timeoutMs: expected a positive number, found 0"),
        format!("{configuration}: routes[1]: has the same host and prefix as routes[0]"),
        format!("{configuration}: routes[1].service: names the unknown service \"t\""),
    ];
    assert_eq!(text(&output.stderr).lines().collect::<Vec<_>>(), expected);
}

#[test]
fn without_files_the_nodes_own_settings_are_checked() {
    let settings = write_file("own.conf", VALID_SETTINGS);
    let output = program_with_settings(&settings)
        .arg("check")
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        text(&output.stdout),
        format!("{}: good: settings of node n-4\n", settings.display())
    );
}

#[parameterized(
    control_node = {
        "control-node-beside",
        &[OPERATOR_ADDRESS, COUNTS_FOR_QUORUM, DATA_DIRECTORY],
        ", the role agent also runs a control node",
    },
    operators_are_redirected = {
        "operators-redirected",
        &[OPERATOR_ADDRESS],
        ", the role agent redirects operators to a control node",
    },
    no_disk = {
        "no-disk",
        &[OPERATOR_ADDRESS, COUNTS_FOR_QUORUM],
        ", the role agent redirects operators to a control node, counts for the quorum but has no dataDirectory",
    },
    no_operator_address = { "no-operator-address", &[COUNTS_FOR_QUORUM, DATA_DIRECTORY], "" },
)]
fn the_agents_control_mode_is_described(name: &str, lines: &[&str], expected: &str) {
    let settings = write_file(
        &format!("machine-{name}.conf"),
        &format!("{VALID_SETTINGS}{}", lines.concat()),
    );

    let output = check(&[&settings], &[]);

    let expected = format!(
        "{}: good: settings of node n-4{expected}\n",
        settings.display()
    );
    assert_eq!(text(&output.stdout), expected);
}

#[test]
fn a_fault_tolerance_that_the_layout_cannot_provide_is_reported() {
    let zones = "faultTolerance.zones=1\nzones.east=r\nzones.west=r\n";
    let settings = write_file("two-zones.conf", &format!("{VALID_SETTINGS}{zones}"));
    let output = check(&[&settings], &[]);
    assert_eq!(output.status.code(), Some(0));
    let expected = "but faultTolerance.zones=1 requires 3 zones with a control node, there are 2\n";
    assert!(text(&output.stdout).ends_with(expected));
}
