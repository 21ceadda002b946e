//! A role from its start to its graceful shutdown, with a reload of the settings file in between. A single test: signal
//! handlers, logger and environment are global to the process.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;

use lockusher_config::settings::NodeSettings;
use lockusher_config::settings_file::SETTINGS_VARIABLE;
use lockusher_node::program;
use lockusher_node::role::{Role, RoleContext, RoleError, RunningRole};

/// The events of the role, in order.
static EVENTS: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn record(event: impl Into<String>) {
    EVENTS.lock().unwrap().push(event.into());
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

/// Changes the settings file and sends SIGHUP; after the reload, makes the file invalid and sends SIGHUP and SIGTERM.
async fn follow_settings(context: RoleContext) -> Result<(), RoleError> {
    let file = context.settings_file.clone();
    let changed_file = file.clone();
    let settings_changed = move |settings: NodeSettings| {
        record(format!("changed: {}", settings.zone));
        std::fs::write(&changed_file, "faulty").unwrap();
        raise(libc::SIGHUP);
        raise(libc::SIGTERM);
    };
    let (settings, stop) = context.start(settings_changed)?;
    record(format!("started: {}", settings.zone));
    write_settings(&file, "second");
    raise(libc::SIGHUP);
    stop.await;
    record("stopped");
    Ok(())
}

#[test]
fn a_role_reloads_changed_settings_and_shuts_down_gracefully() {
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
        *EVENTS.lock().unwrap(),
        ["started: first", "changed: second", "stopped"]
    );
}
