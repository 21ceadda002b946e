//! One process of the fleet.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use derive_more::Display;

/// The environment variable with the path of the settings file.
const SETTINGS_FILE_VARIABLE: &str = "LOCKUSHER_NODE_FILE";
/// Reported as exit code of a process that was ended by a signal.
const EXIT_CODE_SIGNALED: i32 = -1;

/// The role of a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A control node on a core machine.
    #[display("control")]
    Control,
    /// The agent of an edge machine.
    #[display("agent")]
    Agent,
    /// The proxy of an edge machine.
    #[display("proxy")]
    Proxy,
}

/// Identifies a process by its role and the index of its machine among those with this role.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{role}-{machine}")]
pub struct ProcessId {
    /// Role of the process.
    pub role: Role,
    /// Index of its machine.
    pub machine: usize,
}

/// A signal that the platform sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGHUP: reload the settings file.
    HangUp,
    /// SIGSTOP: freeze the process.
    Stop,
    /// SIGCONT: resume a frozen process.
    Continue,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Signal::Terminate => libc::SIGTERM,
            Signal::HangUp => libc::SIGHUP,
            Signal::Stop => libc::SIGSTOP,
            Signal::Continue => libc::SIGCONT,
        }
    }
}

/// The name of a process and the stem of its file names.
pub(super) fn name(role: Role, machine: usize) -> String {
    format!("{role}-{machine}")
}

/// Writes the settings file of a process; returns its path.
pub(super) fn write_settings(
    directory: &Path,
    role: Role,
    machine: usize,
    settings: &str,
) -> std::io::Result<PathBuf> {
    let path = directory.join(format!("{}.conf", name(role, machine)));
    std::fs::write(&path, settings)?;
    Ok(path)
}

/// A running process.
pub struct NodeProcess {
    role: Role,
    machine: usize,
    child: Child,
}

impl NodeProcess {
    /// Writes the settings file and starts the program; its output is appended to a log that survives restarts.
    pub(super) fn start(
        program: &Path,
        directory: &Path,
        role: Role,
        machine: usize,
        settings: &str,
    ) -> std::io::Result<NodeProcess> {
        let name = name(role, machine);
        let settings_path = write_settings(directory, role, machine, settings)?;
        if let Some(disk) = settings
            .lines()
            .find_map(|line| line.strip_prefix("dataDirectory="))
        {
            std::fs::create_dir_all(disk)?;
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(directory.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .arg(role.to_string())
            .env_clear()
            .env(SETTINGS_FILE_VARIABLE, &settings_path)
            .env("RUST_BACKTRACE", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(NodeProcess {
            role,
            machine,
            child,
        })
    }

    /// The id of this process.
    pub fn id(&self) -> ProcessId {
        ProcessId {
            role: self.role,
            machine: self.machine,
        }
    }

    /// The name of this process.
    pub fn name(&self) -> String {
        name(self.role, self.machine)
    }

    pub(super) fn is(&self, role: Role, machine: usize) -> bool {
        self.role == role && self.machine == machine
    }

    pub(super) fn signal(&self, signal: Signal) {
        let id = libc::pid_t::try_from(self.child.id()).unwrap_or(0);
        if id > 0 {
            // SAFETY: `kill` has no memory effects; the id is that of a child that was not waited for, so it can't
            // have been reused by another process.
            unsafe { libc::kill(id, signal.number()) };
        }
    }

    pub(super) fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(EXIT_CODE_SIGNALED))
    }

    pub(super) fn kill(&mut self) {
        self.send_kill();
        // It may have exited already; the wait reaps it in either case.
        let _ = self.child.wait();
    }

    /// Kills the process without waiting for it to exit.
    pub(super) fn send_kill(&mut self) {
        // Fails only if it has exited already.
        let _ = self.child.kill();
    }
}
