//! A fleet of `lockusher-node` processes on the loopback: each machine has an address of its own, control nodes
//! have folders of their own.

mod plan;
mod process;
mod program;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use derive_more::{Display, Error, From};

pub use plan::{FleetBounds, FleetPlan};
pub use process::{NodeProcess, Role, Signal};
pub use program::{ProgramError, program};

use crate::entry::{MixerAddress, is_ready};
use crate::link::Link;
use crate::wait::{NeverCame, wait_until};
use plan::{CoreMachine, EdgeMachine, Layout};

/// Looks for readiness before a fleet counts as failed: at least half a minute.
const READY_TRIES: u32 = 600;
/// How long a look for readiness waits for its answer.
const READY_WAIT: std::time::Duration = std::time::Duration::from_millis(500);

/// Why a fleet can't run.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Program(ProgramError),
    #[display("{_0}")]
    NeverCame(NeverCame),
}

/// The processes of a fleet. They are killed when it is dropped.
pub struct Fleet {
    layout: Layout,
    folder: PathBuf,
    keep_folder: bool,
    program: PathBuf,
    processes: Vec<NodeProcess>,
    links: Vec<EdgeLink>,
}

/// The link from an edge machine to a core machine.
struct EdgeLink {
    edge: usize,
    core: usize,
    link: Link,
}

impl Fleet {
    /// Gives every machine its addresses; no process runs yet.
    pub fn lay_out(plan: &FleetPlan) -> Result<Fleet, FleetError> {
        let program = program()?;
        let layout = Layout::new(plan)?;
        let folder = plan::new_folder()?;
        let mut fleet = Fleet {
            layout,
            folder,
            keep_folder: false,
            program,
            processes: Vec::new(),
            links: Vec::new(),
        };
        fleet.lay_links()?;
        Ok(fleet)
    }

    /// Starts all processes for the first time, with empty disks.
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        for core in 0..self.layout.cores.len() {
            self.start_control(core, true)?;
        }
        for edge in 0..self.layout.edges.len() {
            self.start_agent(edge, true)?;
            self.start_proxy(edge, true)?;
        }
        Ok(())
    }

    /// Where clients come in, by edge machine.
    pub fn mixers(&self) -> Vec<MixerAddress> {
        self.layout.edges.iter().map(EdgeMachine::mixer).collect()
    }

    /// Where the operator comes in, by core machine.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.layout
            .cores
            .iter()
            .map(|core| SocketAddr::V4(core.control))
            .collect()
    }

    /// The zones of the edge machines.
    pub fn zones(&self) -> &[String] {
        &self.layout.zones
    }

    /// An address for a stand-in that no machine of the fleet uses.
    pub fn outside_address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.layout.outside(number), port))
    }

    /// Waits until the proxy of an edge machine calls itself ready.
    pub fn wait_ready(&self, edge: usize) -> Result<(), NeverCame> {
        let readiness = self.layout.edges[edge].mixer().readiness;
        wait_until(&format!("readiness of edge {edge}"), READY_TRIES, || {
            is_ready(readiness, READY_WAIT)
        })
    }

    /// Waits until all proxies call themselves ready.
    pub fn wait_all_ready(&self) -> Result<(), NeverCame> {
        (0..self.layout.edges.len()).try_for_each(|edge| self.wait_ready(edge))
    }

    /// Starts the control node of a core machine; after the first start it finds its own disk.
    pub fn start_control(&mut self, core: usize, first_start: bool) -> Result<(), FleetError> {
        let settings = self.layout.core_settings(core, &self.folder, first_start);
        self.start_process(Role::Control, core, &settings)
    }

    /// Starts the agent of an edge machine.
    pub fn start_agent(&mut self, edge: usize, first_start: bool) -> Result<(), FleetError> {
        let settings = self.layout.edge_settings(edge, Role::Agent, first_start);
        self.start_process(Role::Agent, edge, &settings)
    }

    /// Starts the proxy of an edge machine.
    pub fn start_proxy(&mut self, edge: usize, first_start: bool) -> Result<(), FleetError> {
        let settings = self.layout.edge_settings(edge, Role::Proxy, first_start);
        self.start_process(Role::Proxy, edge, &settings)
    }

    /// Sends a signal to one process, by its id.
    pub fn signal(&mut self, role: Role, machine: usize, signal: Signal) {
        if let Some(process) = self.process(role, machine) {
            process.signal(signal);
        }
    }

    /// Kills one process and waits for its end.
    pub fn kill(&mut self, role: Role, machine: usize) {
        self.processes.retain_mut(|process| {
            let is_it = process.is(role, machine);
            if is_it {
                process.kill();
            }
            !is_it
        });
    }

    /// The exit code of a process that has ended by itself or by SIGTERM; `None` while it runs.
    pub fn exit_code(&mut self, role: Role, machine: usize) -> Option<i32> {
        self.process(role, machine)?.exit_code()
    }

    /// Waits until a process has ended, then forgets it.
    pub fn wait_ended(&mut self, role: Role, machine: usize, tries: u32) -> Result<i32, NeverCame> {
        let state = format!("the end of {role} {machine}");
        let code = crate::wait::wait_for(&state, tries, || self.exit_code(role, machine))?;
        self.processes.retain(|process| !process.is(role, machine));
        Ok(code)
    }

    /// Processes that have ended although nobody ended them.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|process| {
            let code = process.exit_code()?;
            Some(format!("{} ended with {code}", process.name()))
        });
        ended.collect()
    }

    /// Loses the disk of a core machine; its process must have ended.
    pub fn lose_disk(&self, core: usize) -> std::io::Result<()> {
        let disk = self.layout.disk(core, &self.folder);
        std::fs::remove_dir_all(&disk)?;
        std::fs::create_dir_all(&disk)
    }

    /// Cuts an edge machine off from the control plane, or joins it again.
    pub fn set_edge_cut(&self, edge: usize, cut: bool) {
        for link in self.links.iter().filter(|link| link.edge == edge) {
            link.link.set_cut(cut);
        }
    }

    /// Cuts a core machine off from all edge machines, or joins it again.
    pub fn set_core_cut_from_edges(&self, core: usize, cut: bool) {
        for link in self.links.iter().filter(|link| link.core == core) {
            link.link.set_cut(cut);
        }
    }

    /// Leaves settings, logs and disks where they are when the fleet is dropped, and tells where that is.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.keep_folder = true;
        self.folder.clone()
    }

    /// The log of a process so far, or why it can't be read.
    pub fn log(&self, role: Role, machine: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", process::name(role, machine)));
        std::fs::read_to_string(&path)
            .unwrap_or_else(|error| format!("{}: {error}", path.display()))
    }

    fn process(&mut self, role: Role, machine: usize) -> Option<&mut NodeProcess> {
        self.processes
            .iter_mut()
            .find(|process| process.is(role, machine))
    }

    fn start_process(
        &mut self,
        role: Role,
        machine: usize,
        settings: &str,
    ) -> Result<(), FleetError> {
        self.processes.retain(|process| !process.is(role, machine));
        let process = NodeProcess::start(&self.program, &self.folder, role, machine, settings)?;
        self.processes.push(process);
        Ok(())
    }

    fn lay_links(&mut self) -> std::io::Result<()> {
        for (edge, machine) in self.layout.edges.iter().enumerate() {
            for (core, target) in self.layout.cores.iter().enumerate() {
                let link = link_between(machine, target, &self.layout)?;
                self.links.push(EdgeLink { edge, core, link });
            }
        }
        Ok(())
    }
}

/// From where the edge machine looks for the core machine's subscription listener to where that is.
fn link_between(edge: &EdgeMachine, core: &CoreMachine, layout: &Layout) -> std::io::Result<Link> {
    let address = |ip: Ipv4Addr, port| SocketAddr::V4(SocketAddrV4::new(ip, port));
    Link::start(
        address(core.ip, edge.internal_ports.0),
        address(core.ip, layout.core_ports.0),
    )
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        if self.keep_folder {
            return;
        }
        if std::thread::panicking() {
            eprintln!("logs of the fleet are kept in {}", self.folder.display());
            return;
        }
        // What can't be removed from the folder for temporary files does no harm there.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
