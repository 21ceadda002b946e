//! The processes of the fleet in a soak: signals, ends, restarts, and the closing fault.

use std::time::Duration;

use super::{Action, Executor, OutageTimes};
use crate::fleet::{ProcessId, Role, Signal};
use crate::soak::SoakError;
use crate::soak::schedule::{FinalOutage, OutageKind};

/// How long a killed process stays away.
const KILLED_DOWNTIME: Duration = Duration::from_millis(800);
/// After this a process that has ended by itself, or was told to, is started anew.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const FREEZE_DURATION: Duration = Duration::from_millis(2_500);
/// How often it looks whether a process that was told to end has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The processes of all machines start within this, in any order.
const START_SPREAD: Duration = Duration::from_millis(300);

impl Executor<'_> {
    /// Starts anew what has ended by itself, and lets the list follow the searchers.
    pub(super) fn supervise(&mut self) -> Result<(), SoakError> {
        for (process, code) in self.world.fleet.take_exited() {
            let is_expected = self.schedule.values().any(
                |action| matches!(action, Action::AwaitExit { process: awaited, .. } if *awaited == process),
            );
            if !is_expected {
                let at = self.started_at.elapsed().as_secs_f64();
                self.unexpected_exits
                    .push(format!("{process} ended with {code} at {at:.2} s"));
                self.schedule_after(RESTART_DELAY, Action::Start(process));
            }
        }
        self.world.list_stages();
        Ok(())
    }

    /// Takes everything at once and brings it back.
    pub(super) fn run_outage(&mut self, outage: FinalOutage) -> Result<OutageTimes, SoakError> {
        self.schedule
            .retain(|_, action| !action.concerns_processes());
        let outage_at = self.world.clock.now();
        match outage.kind {
            OutageKind::KillAll => self.world.fleet.kill_all(),
            // Silent, then gone: what the machines' peers and clients see of a loss of power.
            OutageKind::PowerLost | OutageKind::DisksLost => {
                self.world.fleet.signal_all(Signal::Stop);
            }
        }
        let restore_at = self.started_at.elapsed() + outage.duration;
        self.wait_until(restore_at)?;
        self.world.fleet.kill_all();
        if outage.kind == OutageKind::DisksLost {
            for core in 0..self.world.fleet.tolerated_losses() {
                self.world.fleet.lose_disk(core)?;
            }
        }
        if let Some(delay) = outage.ports_occupied {
            self.occupied_ports = self.world.fleet.occupy_agent_ports()?;
            self.schedule_after(delay, Action::ReleasePorts);
        }
        let restored_at = self.world.clock.now();
        self.start_all();
        Ok(OutageTimes {
            outage_at,
            restored_at,
        })
    }

    /// Starts every process within the spread, the order by the number of the actions so far.
    pub(super) fn start_all(&mut self) {
        let mut processes = self.world.fleet.all_processes();
        let rotation = self.scheduled_count as usize % processes.len().max(1);
        processes.rotate_left(rotation);
        let count = processes.len().max(1) as u32;
        for (number, process) in processes.into_iter().enumerate() {
            self.schedule_after(START_SPREAD * number as u32 / count, Action::Start(process));
        }
    }

    pub(super) fn processes_of(&self, role: Role) -> std::vec::IntoIter<ProcessId> {
        let all = self.world.fleet.all_processes();
        let with_role: Vec<ProcessId> = all
            .into_iter()
            .filter(|process| process.role == role)
            .collect();
        with_role.into_iter()
    }

    pub(super) fn kill(&mut self, process: ProcessId) {
        self.world.fleet.kill(process.role, process.machine);
        self.schedule_after(KILLED_DOWNTIME, Action::Start(process));
    }

    pub(super) fn freeze(&mut self, process: ProcessId) {
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Stop);
        self.schedule_after(FREEZE_DURATION, Action::Resume(process));
    }

    pub(super) fn lose_disk(&mut self, number: usize) -> Result<(), SoakError> {
        let machine = self.machine(Role::Control, number);
        self.kill(ProcessId {
            role: Role::Control,
            machine,
        });
        self.world.fleet.lose_disk(machine)?;
        Ok(())
    }

    /// Tells a process to end; those after it follow in turn.
    pub(super) fn roll(&mut self, process: ProcessId) {
        self.terminate(process, true);
    }

    pub(super) fn terminate(&mut self, process: ProcessId, rolling: bool) {
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Terminate);
        let kill_at = self.started_at.elapsed() + self.grace;
        self.schedule_after(
            EXIT_POLL_INTERVAL,
            Action::AwaitExit {
                process,
                kill_at,
                rolling,
            },
        );
    }

    pub(super) fn await_exit(&mut self, process: ProcessId, kill_at: Duration, rolling: bool) {
        let is_running = self.world.fleet.is_running(process);
        if is_running && self.started_at.elapsed() < kill_at {
            let poll_again = Action::AwaitExit {
                process,
                kill_at,
                rolling,
            };
            self.schedule_after(EXIT_POLL_INTERVAL, poll_again);
            return;
        }
        self.world.fleet.kill(process.role, process.machine);
        self.schedule_after(RESTART_DELAY, Action::Start(process));
        let machine = process.machine + 1;
        if rolling && machine < self.machines(process.role) {
            self.roll(ProcessId { machine, ..process });
        }
    }

    pub(super) fn machines(&self, role: Role) -> usize {
        match role {
            Role::Control => self.world.fleet.control_nodes(),
            Role::Agent | Role::Proxy => self.world.fleet.mixers().len(),
        }
    }

    pub(super) fn machine(&self, role: Role, number: usize) -> usize {
        number % self.machines(role)
    }
}
