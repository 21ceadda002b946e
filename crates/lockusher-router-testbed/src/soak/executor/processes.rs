//! The processes of the fleet in a soak: signals, ends, restarts, and the closing fault.

use std::time::Duration;

use super::{Action, ClosingTimes, Player};
use crate::fleet::{ProcessId, Role, Signal};
use crate::soak::SoakError;
use crate::soak::schedule::{Closing, ClosingFault};

/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(800);
/// After this a process that has ended by itself, or was told to, is started anew.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const FREEZE: Duration = Duration::from_millis(2_500);
/// How often it looks whether a process that was told to end has ended.
const END_LOOK: Duration = Duration::from_millis(50);
/// The processes of all machines start within this, in any order.
const START_SPREAD: Duration = Duration::from_millis(300);

impl Player<'_> {
    /// Starts anew what has ended by itself, and lets the list follow the searchers.
    pub(super) fn supervise(&mut self) -> Result<(), SoakError> {
        for (process, code) in self.world.fleet.take_ended() {
            let is_expected = self.plan.values().any(
                |action| matches!(action, Action::AwaitEnd { process: of, .. } if *of == process),
            );
            if !is_expected {
                let at = self.begun.elapsed().as_secs_f64();
                self.own_ends
                    .push(format!("{process} ended with {code} at {at:.2} s"));
                self.plan_in(RESTART_DELAY, Action::Start(process));
            }
        }
        self.world.list_stages();
        Ok(())
    }

    /// Takes everything at once and brings it back.
    pub(super) fn close(&mut self, closing: Closing) -> Result<ClosingTimes, SoakError> {
        self.plan.retain(|_, action| !action.concerns_processes());
        let fault_at = self.world.clock.now();
        match closing.fault {
            ClosingFault::KillAll => self.world.fleet.kill_all(),
            // Silent, then gone: what the machines' peers and clients see of a loss of power.
            ClosingFault::PowerLost | ClosingFault::DisksLost => {
                self.world.fleet.signal_all(Signal::Stop);
            }
        }
        let returned = self.begun.elapsed() + closing.down;
        self.wait_until(returned)?;
        self.world.fleet.kill_all();
        if closing.fault == ClosingFault::DisksLost {
            for core in 0..self.world.fleet.tolerated_losses() {
                self.world.fleet.lose_disk(core)?;
            }
        }
        if let Some(span) = closing.ports_occupied {
            self.occupied_ports = self.world.fleet.occupy_agent_ports()?;
            self.plan_in(span, Action::ReleasePorts);
        }
        let returned_at = self.world.clock.now();
        self.start_all();
        Ok(ClosingTimes {
            fault_at,
            returned_at,
        })
    }

    /// Starts every process within the spread, the order by the number of the actions so far.
    pub(super) fn start_all(&mut self) {
        let mut processes = self.world.fleet.all_processes();
        let turn = self.planned as usize % processes.len().max(1);
        processes.rotate_left(turn);
        let count = processes.len().max(1) as u32;
        for (number, process) in processes.into_iter().enumerate() {
            self.plan_in(START_SPREAD * number as u32 / count, Action::Start(process));
        }
    }

    pub(super) fn processes_of(&self, role: Role) -> std::vec::IntoIter<ProcessId> {
        let all = self.world.fleet.all_processes();
        let of_role: Vec<ProcessId> = all.into_iter().filter(|one| one.role == role).collect();
        of_role.into_iter()
    }

    pub(super) fn kill(&mut self, process: ProcessId) {
        self.world.fleet.kill(process.role, process.machine);
        self.plan_in(AWAY, Action::Start(process));
    }

    pub(super) fn freeze(&mut self, process: ProcessId) {
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Stop);
        self.plan_in(FREEZE, Action::Wake(process));
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

    pub(super) fn terminate(&mut self, process: ProcessId, rolls: bool) {
        self.world
            .fleet
            .signal(process.role, process.machine, Signal::Terminate);
        let kill_at = self.begun.elapsed() + self.grace;
        self.plan_in(
            END_LOOK,
            Action::AwaitEnd {
                process,
                kill_at,
                rolls,
            },
        );
    }

    pub(super) fn await_end(&mut self, process: ProcessId, kill_at: Duration, rolls: bool) {
        let is_running = self.world.fleet.is_running(process);
        if is_running && self.begun.elapsed() < kill_at {
            let look_again = Action::AwaitEnd {
                process,
                kill_at,
                rolls,
            };
            self.plan_in(END_LOOK, look_again);
            return;
        }
        self.world.fleet.kill(process.role, process.machine);
        self.plan_in(RESTART_DELAY, Action::Start(process));
        let machine = process.machine + 1;
        if rolls && machine < self.machines(process.role) {
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
