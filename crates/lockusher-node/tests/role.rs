//! A role from its start to a planned stop, with a change of the settings file in between. One test: signals, log
//! and environment belong to the whole process.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;

use lockusher_config::settings::NodeSettings;
use lockusher_config::settings_file::SETTINGS_VARIABLE;
use lockusher_node::program;
use lockusher_node::role::{Role, RoleContext, RoleError, RunningRole};

/// What the role has seen, in order.
static SEEN: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn see(what: impl Into<String>) {
    SEEN.lock().unwrap().push(what.into());
}

fn write_settings(file: &Path, zone: &str) {
    let text = format!(
        "node=t-8\nzone={zone}\nipAddress=172.20.1.2\ninternalPorts=1,2\ncloud.address=172.20.9.9:81\n"
    );
    std::fs::write(file, text).unwrap();
}

fn raise(signal: i32) {
    // SAFETY: the program handles the signal.
    assert_eq!(unsafe { libc::raise(signal) }, 0);
}

fn watch(context: RoleContext) -> RunningRole {
    Box::pin(follow_settings(context))
}

/// Changes the file and signals; once that was seen, breaks the file, signals and has the process stopped.
async fn follow_settings(context: RoleContext) -> Result<(), RoleError> {
    let file = context.settings_file.clone();
    let changed_file = file.clone();
    let settings_changed = move |settings: NodeSettings| {
        see(format!("changed: {}", settings.zone));
        std::fs::write(&changed_file, "faulty").unwrap();
        raise(libc::SIGHUP);
        raise(libc::SIGTERM);
    };
    let (settings, stop) = context.start(settings_changed)?;
    see(format!("started: {}", settings.zone));
    write_settings(&file, "second");
    raise(libc::SIGHUP);
    stop.await;
    see("stopped");
    Ok(())
}

#[test]
fn a_role_sees_changed_settings_and_stops_in_order() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("role.conf");
    write_settings(&file, "first");
    // SAFETY: this file has one test, and no other thread reads the environment.
    unsafe { std::env::set_var(SETTINGS_VARIABLE, &file) };
    let roles = [Role {
        name: "watch",
        summary: "Watch the settings",
        run: watch,
    }];
    let exit = program::run(&roles, vec!["watch".to_owned()]);
    assert_eq!(format!("{exit:?}"), format!("{:?}", ExitCode::SUCCESS));
    assert_eq!(
        *SEEN.lock().unwrap(),
        ["started: first", "changed: second", "stopped"]
    );
}
