//! The program, run as a process: help, version, invalid command lines, and roles that can't start.

mod support;

use std::process::Output;

use yare::parameterized;

use support::{program, program_with_settings, text, write_file};

fn node(arguments: &[&str]) -> Output {
    program()
        .args(arguments)
        .output()
        .expect("the program runs")
}

#[test]
fn the_help_lists_all_commands() {
    let output = node(&["--help"]);
    assert!(output.status.success() && output.stderr.is_empty());
    let help = text(&output.stdout);
    for expected in [
        "Usage: lockusher-node COMMAND",
        "control",
        "agent",
        "proxy",
        "check",
        "--help",
        "--version",
    ] {
        assert!(help.contains(expected), "{expected} in:\n{help}");
    }
}

#[parameterized(
    control = { "control", &["Usage: lockusher-node control", "--log LEVEL", "LOCKUSHER_NODE_FILE", "SIGHUP"] },
    agent = { "agent", &["Usage: lockusher-node agent", "--log LEVEL", "LOCKUSHER_NODE_FILE"] },
    proxy = { "proxy", &["Usage: lockusher-node proxy", "--log LEVEL", "LOCKUSHER_NODE_FILE"] },
    check = { "check", &["Usage: lockusher-node check", "--settings FILE", "--configuration FILE", "Exits with"] },
)]
fn each_command_has_a_help(command: &str, expected: &[&str]) {
    for option in ["--help", "-h"] {
        let output = node(&[command, option]);
        assert!(output.status.success() && output.stderr.is_empty());
        let help = text(&output.stdout);
        for expected in expected {
            assert!(help.contains(expected), "{expected} in:\n{help}");
        }
    }
}

#[test]
fn the_version_is_printed() {
    let output = node(&["--version"]);
    assert!(output.status.success());
    assert_eq!(
        text(&output.stdout),
        format!("lockusher-node {}\n", env!("CARGO_PKG_VERSION"))
    );
}

#[parameterized(
    nothing = { &[], "no command" },
    command = { &["mixer"], "unknown command \"mixer\"" },
    option = { &["--loud"], "Unrecognized option: 'loud'" },
    option_of_role = { &["proxy", "--loud"], "Unrecognized option: 'loud'" },
    argument = { &["proxy", "now"], "unexpected argument \"now\"" },
    argument_of_check = { &["check", "a.json"], "unexpected argument \"a.json\"" },
    level = { &["proxy", "--log", "loud"], "unknown log level \"loud\"" },
    no_level = { &["proxy", "--log"], "Argument to option 'log' missing" },
    nothing_to_check = { &["check"], "nothing to check" },
)]
fn an_invalid_command_line_is_rejected(arguments: &[&str], message: &str) {
    let output = node(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    let error = text(&output.stderr);
    assert!(
        error.starts_with("lockusher-node: ") && error.contains(message),
        "{error}"
    );
}

#[parameterized(control = { "control" }, agent = { "agent" }, proxy = { "proxy" })]
fn a_role_requires_a_settings_file(role: &str) {
    let output = node(&[role]);
    assert_eq!(output.status.code(), Some(1));
    let expected =
        format!("lockusher-node {role}: LOCKUSHER_NODE_FILE does not name the settings file\n");
    assert_eq!(text(&output.stderr), expected);
}

#[test]
fn a_role_reports_the_faults_of_its_settings() {
    let text_of_settings =
        "node=x\nzone=y\nipAddress=1.2.3\ninternalPorts=1,2\ncloud.address=1.2.3.4:5\n";
    let settings = write_file("faulty-role.conf", text_of_settings);

    let output = program_with_settings(&settings)
        .arg("proxy")
        .output()
        .expect("the program runs");

    assert_eq!(output.status.code(), Some(2));
    let error = text(&output.stderr);
    assert!(
        error.contains("line 3, ipAddress: expected an IPv4 address, found 1.2.3"),
        "{error}"
    );
}

#[test]
fn a_role_that_cannot_start_logs_the_error() {
    let text_of_settings =
        "node=n-6\nzone=y\nipAddress=1.2.3.9\ninternalPorts=1,2\ncloud.address=1.2.3.4:5\n";
    let settings = write_file("no-listener.conf", text_of_settings);

    let output = program_with_settings(&settings)
        .arg("control")
        .output()
        .expect("the program runs");

    assert_eq!(output.status.code(), Some(1));
    let error = text(&output.stderr);
    let lines: Vec<&str> = error.lines().collect();
    assert_eq!(lines.len(), 2, "{error}");
    let messages = lines.iter().map(|line| {
        let (seconds, message) = line.split_once(' ').expect("a time");
        assert!(seconds.parse::<f64>().is_ok(), "{error}");
        message
    });
    let messages: Vec<&str> = messages.collect();
    assert!(
        messages[0].starts_with("INFO control n-6 started at "),
        "{error}"
    );
    assert!(
        messages[1].starts_with("ERROR control n-6 ")
            && messages[1].contains("listenAddresses.control"),
        "{error}"
    );
}
