//! `check` as a process: it reads all files, prints all faults, and its exit code says whether there are any.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const GOOD_SETTINGS: &str =
    "node=n-4\nzone=z\nipAddress=172.20.1.2\ninternalPorts=4400,4410\ncloud.address=172.20.9.9:81\n";

const FAULTY_SETTINGS: &str =
    "node=n-5\nzone=z\nipAddress=172.20.1\ncloud.address=172.20.9.9:81\nbounds.graceS=x\n";

const GOOD_CONFIGURATION: &str = r#"{
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

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn check(settings: &[&Path], configurations: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockusher-node"));
    command.arg("check").env_remove("LOCKUSHER_NODE_FILE");
    for file in settings {
        command.arg("--settings").arg(file);
    }
    for file in configurations {
        command.arg("--configuration").arg(file);
    }
    command.output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn good_files_are_named() {
    let settings = file("good.conf", GOOD_SETTINGS);
    let configuration = file("good.json", GOOD_CONFIGURATION);
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
    let settings = file("faulty.conf", FAULTY_SETTINGS);
    let configuration = file("faulty.json", FAULTY_CONFIGURATION);
    let good = file("good-among-faulty.conf", GOOD_SETTINGS);
    let absent = Path::new("does/not/exist.json");
    let output = check(&[&settings, &good], &[absent, &configuration]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(text(&output.stdout), format!("{}: good: settings of node n-4\n", good.display()));
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
    let settings = file("own.conf", GOOD_SETTINGS);
    let output = Command::new(env!("CARGO_BIN_EXE_lockusher-node"))
        .arg("check")
        .env("LOCKUSHER_NODE_FILE", &settings)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout), format!("{}: good: settings of node n-4\n", settings.display()));
}

#[test]
fn settings_say_what_they_make_of_a_machine() {
    let machine = |lines: &str| format!("{GOOD_SETTINGS}{lines}");
    let operator = "listenAddresses.control=172.20.1.2:4500\n";
    let counted = "countsForQuorum=true\n";
    let disk = "dataDirectory=/data\n";
    let cases = [
        (format!("{operator}{counted}{disk}"), ", a control node: in the role agent beside the agent"),
        (operator.to_owned(), ", the role agent sends operators on to a control node"),
        (
            format!("{operator}{counted}"),
            ", the role agent sends operators on to a control node, counts for the quorum but has no dataDirectory",
        ),
        (format!("{counted}{disk}"), ""),
    ];
    for (number, (lines, expected)) in cases.into_iter().enumerate() {
        let settings = file(&format!("machine-{number}.conf"), &machine(&lines));
        let output = check(&[&settings], &[]);
        let expected = format!("{}: good: settings of node n-4{expected}\n", settings.display());
        assert_eq!(text(&output.stdout), expected);
    }
}
