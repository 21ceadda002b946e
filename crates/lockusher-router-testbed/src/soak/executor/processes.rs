//! The processes of the fleet in a soak: signals, exits, restarts and the final outage.

use std::time::Duration;

use super::{Action, Executor, OutageTimes, Stop};
use crate::fleet::{ProcessId, Role, Signal};
use crate::soak::SoakError;
use crate::soak::schedule::{FinalOutage, OutageKind};

/// Delay between killing a process and restarting it.
const KILLED_DOWNTIME: Duration = Duration::from_millis(800);
/// Delay before restarting a process that exited unexpectedly or after SIGTERM.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const FREEZE_DURATION: Duration = Duration::from_millis(2_500);
/// Interval between checks whether a process that was sent SIGTERM has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The processes of all machines start staggered over this span.
const START_SPREAD: Duration = Duration::from_millis(300);

impl Executor<'_> {
    /// Restarts processes that have exited unexpectedly, and updates the stages in the instance list.
    pub(super) fn supervise(&mut self) -> Result<(), SoakError> {
        for (process, code) in self.world.fleet.take_exited() {
            if !self.is_exit_awaited(process) {
                let at = self.started_at.elapsed().as_secs_f64();
                self.unexpected_exits
                    .push(format!("{process} exited with code {code} at {at:.2} s"));
                self.schedule_after(RESTART_DELAY, Action::Start(process));
            }
        }
        self.world.list_stages();
        Ok(())
    }

    /// Whether the process was sent SIGTERM and hasn't been restarted yet.
    fn is_exit_awaited(&self, process: ProcessId) -> bool {
        self.schedule.values().any(
            |action| matches!(action, Action::AwaitExit { process: awaited, .. } if *awaited == process),
        )
    }

    /// Takes down all processes at once and restarts them after the outage.
    pub(super) fn run_outage(&mut self, outage: FinalOutage) -> Result<OutageTimes, SoakError> {
        self.schedule
            .retain(|_, action| !action.concerns_processes());
        let outage_at = self.world.clock.now();
        match outage.kind {
            OutageKind::KillAll => self.world.fleet.kill_all(),
            // Stopped now and killed at the restart: to peers and clients this looks like a power loss.
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

    /// Starts every process within [`START_SPREAD`]; the order depends on the number of actions scheduled so far.
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

    /// Restarts a process by SIGTERM, then the ones after it in turn.
    pub(super) fn roll(&mut self, process: ProcessId) {
        self.terminate(process, true);
    }

    /// Sends SIGTERM, and schedules the check of the exit unless an earlier signal has done so.
    pub(super) fn terminate(&mut self, process: ProcessId, rolling: bool) {
        let at = self.world.clock.now();
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Terminate);
        if self.is_exit_awaited(process) {
            return;
        }
        if !self.world.fleet.is_running(process) {
            // It is restarted already. The exit of its next incarnation isn't to be awaited.
            self.continue_roll(process, rolling);
            return;
        }
        self.stops.push(Stop { process, at });
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
        if is_running {
            self.unexpected_exits.push(format!(
                "{process} was killed, running on after the grace period"
            ));
        }
        self.world.fleet.kill(process.role, process.machine);
        self.schedule_after(RESTART_DELAY, Action::Start(process));
        self.continue_roll(process, rolling);
    }

    /// Goes on with the next process of a rolling restart.
    fn continue_roll(&mut self, process: ProcessId, rolling: bool) {
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
