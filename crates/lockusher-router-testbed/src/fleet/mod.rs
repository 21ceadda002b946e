//! A fleet of `lockusher-node` processes on the loopback. Each machine has its own address, each control node its own
//! data directory.

mod plan;
mod process;
mod program;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;

use derive_more::{Display, Error, From};

pub use plan::{FleetBounds, FleetPlan, Seed, SeedChoice};
pub use process::{NodeProcess, ProcessId, Role, Signal};
pub use program::{ProgramError, program};

use crate::entry::{MixerAddress, is_ready};
use crate::link::Link;
use crate::wait::{WaitTimeout, wait_until};
use plan::{CoreMachine, EdgeMachine, Layout};

/// Polls for readiness before a fleet counts as failed: at least half a minute.
const READY_POLLS: u32 = 600;
/// Number of edge machines that may be seeds: the agents of the first ones are linked with all other machines.
const MAX_SEED_EDGES: usize = 3;
/// Timeout of one readiness probe.
const READINESS_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// Why a fleet can't be started or controlled.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Program(ProgramError),
    #[display("{_0}")]
    Wait(WaitTimeout),
}

/// The processes of a fleet, which are killed when it is dropped.
pub struct Fleet {
    layout: Layout,
    directory: PathBuf,
    keep_directory: bool,
    program: PathBuf,
    processes: Vec<NodeProcess>,
    links: Vec<EdgeLink>,
    /// Links from the addresses at which machines expect the seeds' agents to their actual addresses.
    agent_links: Vec<Link>,
}

/// The link from an edge machine to a core machine.
struct EdgeLink {
    edge: usize,
    core: usize,
    link: Link,
}

impl Fleet {
    /// Assigns addresses to all machines without starting a process.
    pub fn allocate(plan: &FleetPlan) -> Result<Fleet, FleetError> {
        let program = plan.program.clone().map_or_else(program, Ok)?;
        let layout = Layout::new(plan)?;
        let directory = plan::new_directory()?;
        let mut fleet = Fleet {
            layout,
            directory,
            keep_directory: false,
            program,
            processes: Vec::new(),
            links: Vec::new(),
            agent_links: Vec::new(),
        };
        fleet.start_links()?;
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

    /// Addresses of the proxies, by edge machine.
    pub fn mixers(&self) -> Vec<MixerAddress> {
        self.layout.edges.iter().map(EdgeMachine::mixer).collect()
    }

    /// Operator addresses of the control nodes, by core machine.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.layout
            .cores
            .iter()
            .map(|core| SocketAddr::V4(core.control))
            .collect()
    }

    /// All operator addresses: of core machines, and of edge machines, which redirect operators.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let edges = (0..self.layout.edges.len()).map(Seed::Edge);
        let edges = edges.map(|seed| SocketAddr::V4(self.layout.operator_address(seed)));
        self.control().into_iter().chain(edges).collect()
    }

    /// Number of control nodes.
    pub fn control_nodes(&self) -> usize {
        self.layout.cores.len()
    }

    /// How many control nodes may be lost at once without losing the quorum.
    pub fn tolerated_losses(&self) -> usize {
        self.layout.tolerated_losses()
    }

    /// The processes of an undisturbed fleet.
    pub fn all_processes(&self) -> Vec<ProcessId> {
        let on =
            |role, machines: usize| (0..machines).map(move |machine| ProcessId { role, machine });
        let edges = self.layout.edges.len();
        on(Role::Control, self.layout.cores.len())
            .chain(on(Role::Agent, edges))
            .chain(on(Role::Proxy, edges))
            .collect()
    }

    /// Whether a process was started and hasn't exited.
    pub fn is_running(&mut self, process: ProcessId) -> bool {
        self.process(process.role, process.machine)
            .is_some_and(|running| running.exit_code().is_none())
    }

    /// Starts a process if it isn't running.
    pub fn start(&mut self, process: ProcessId, first_start: bool) -> Result<(), FleetError> {
        if self.is_running(process) {
            return Ok(());
        }
        let ProcessId { role, machine } = process;
        match role {
            Role::Control => self.start_control(machine, first_start),
            Role::Agent => self.start_agent(machine, first_start),
            Role::Proxy => self.start_proxy(machine, first_start),
        }
    }

    /// Kills all processes at once and waits for them to exit.
    pub fn kill_all(&mut self) {
        self.processes.iter_mut().for_each(NodeProcess::send_kill);
        self.processes.iter_mut().for_each(NodeProcess::kill);
        self.processes.clear();
    }

    /// Sends a signal to all processes.
    pub fn signal_all(&self, signal: Signal) {
        self.processes
            .iter()
            .for_each(|process| process.signal(signal));
    }

    /// Removes the processes that have exited without being killed by the test, and returns them with their exit codes.
    pub fn take_exited(&mut self) -> Vec<(ProcessId, i32)> {
        let mut exited = Vec::new();
        self.processes
            .retain_mut(|process| match process.exit_code() {
                Some(code) => {
                    exited.push((process.id(), code));
                    false
                }
                None => true,
            });
        exited
    }

    /// Binds the ports on which the agents serve their proxies; no agent may be running.
    pub fn occupy_agent_ports(&self) -> std::io::Result<Vec<TcpListener>> {
        let edges = self.layout.edges.iter();
        let port_of = |edge: &EdgeMachine| plan::subscriptions_port(edge.internal_ports);
        edges
            .map(|edge| TcpListener::bind((Ipv4Addr::LOCALHOST, port_of(edge))))
            .collect()
    }

    /// Writes new seeds to all settings files; processes read them at the next start or reload.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) -> std::io::Result<()> {
        self.layout.seeds = seeds;
        for ProcessId { role, machine } in self.all_processes() {
            let settings = self.settings(role, machine, false);
            process::write_settings(&self.directory, role, machine, &settings)?;
        }
        Ok(())
    }

    /// Writes the seeds of this choice to all settings files.
    pub fn change_seeds(&mut self, choice: SeedChoice) -> std::io::Result<()> {
        let cores = self.layout.cores.len();
        let edges = self.layout.edges.len().min(MAX_SEED_EDGES);
        let seeds = match choice {
            SeedChoice::Cores => (0..cores.min(MAX_SEED_EDGES)).map(Seed::Core).collect(),
            SeedChoice::Edges => (0..edges).map(Seed::Edge).collect(),
            SeedChoice::Mixed => {
                let edges = (0..edges.min(MAX_SEED_EDGES - 1)).map(Seed::Edge);
                edges.chain([Seed::Core(cores - 1)]).collect()
            }
        };
        self.set_seeds(seeds)
    }

    /// The zones of the edge machines.
    pub fn zones(&self) -> &[String] {
        &self.layout.zones
    }

    /// An address for a stand-in, not used by any machine of the fleet.
    pub fn stand_in_address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.layout.stand_in_ip(number), port))
    }

    /// Waits until the proxy of an edge machine reports readiness.
    pub fn wait_ready(&self, edge: usize) -> Result<(), WaitTimeout> {
        let readiness = self.layout.edges[edge].mixer().readiness;
        wait_until(&format!("readiness of edge {edge}"), READY_POLLS, || {
            is_ready(readiness, READINESS_TIMEOUT)
        })
    }

    /// Waits until all proxies report readiness.
    pub fn wait_all_ready(&self) -> Result<(), WaitTimeout> {
        (0..self.layout.edges.len()).try_for_each(|edge| self.wait_ready(edge))
    }

    /// Starts the control node of a core machine; a restart reuses its disk.
    pub fn start_control(&mut self, core: usize, first_start: bool) -> Result<(), FleetError> {
        let settings = self.settings(Role::Control, core, first_start);
        self.start_process(Role::Control, core, &settings)
    }

    /// Starts the agent of an edge machine.
    pub fn start_agent(&mut self, edge: usize, first_start: bool) -> Result<(), FleetError> {
        let settings = self.settings(Role::Agent, edge, first_start);
        self.start_process(Role::Agent, edge, &settings)
    }

    /// Starts the proxy of an edge machine.
    pub fn start_proxy(&mut self, edge: usize, first_start: bool) -> Result<(), FleetError> {
        let settings = self.settings(Role::Proxy, edge, first_start);
        self.start_process(Role::Proxy, edge, &settings)
    }

    /// Sends a signal to one process, if it was started.
    pub fn signal(&mut self, role: Role, machine: usize, signal: Signal) {
        if let Some(process) = self.process(role, machine) {
            process.signal(signal);
        }
    }

    /// Kills one process and waits for it to exit.
    pub fn kill(&mut self, role: Role, machine: usize) {
        self.processes.retain_mut(|process| {
            let is_target = process.is(role, machine);
            if is_target {
                process.kill();
            }
            !is_target
        });
    }

    /// The exit code of a process that has exited on its own or after SIGTERM; `None` while it runs.
    pub fn exit_code(&mut self, role: Role, machine: usize) -> Option<i32> {
        self.process(role, machine)?.exit_code()
    }

    /// Waits until a process has exited, then removes it and returns its exit code.
    pub fn wait_exited(
        &mut self,
        role: Role,
        machine: usize,
        polls: u32,
    ) -> Result<i32, WaitTimeout> {
        let state = format!("exit of {role} {machine}");
        let code = crate::wait::wait_for(&state, polls, || self.exit_code(role, machine))?;
        self.processes.retain(|process| !process.is(role, machine));
        Ok(code)
    }

    /// Processes that have exited unexpectedly: neither killed nor awaited by [`Fleet::wait_exited`].
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let exited = self.processes.iter_mut().filter_map(|process| {
            let code = process.exit_code()?;
            Some(format!("{} exited with code {code}", process.name()))
        });
        exited.collect()
    }

    /// Clears the disk of a core machine; its process must have exited.
    pub fn lose_disk(&self, core: usize) -> std::io::Result<()> {
        let disk = self.layout.disk(core, &self.directory);
        std::fs::remove_dir_all(&disk)?;
        std::fs::create_dir_all(&disk)
    }

    /// Starts or ends a partition between an edge machine and the control nodes.
    pub fn set_edge_partitioned(&self, edge: usize, partitioned: bool) {
        for link in self.links.iter().filter(|link| link.edge == edge) {
            link.link.set_partitioned(partitioned);
        }
    }

    /// Starts or ends a partition between a core machine and all edge machines.
    pub fn set_core_partitioned_from_edges(&self, core: usize, partitioned: bool) {
        for link in self.links.iter().filter(|link| link.core == core) {
            link.link.set_partitioned(partitioned);
        }
    }

    /// Keeps settings, logs and disks when the fleet is dropped, and returns their directory.
    pub fn keep_directory(&mut self) -> PathBuf {
        self.keep_directory = true;
        self.directory.clone()
    }

    /// The log of a process so far, or the error from reading it.
    pub fn log(&self, role: Role, machine: usize) -> String {
        let path = self
            .directory
            .join(format!("{}.log", process::name(role, machine)));
        std::fs::read_to_string(&path)
            .unwrap_or_else(|error| format!("{}: {error}", path.display()))
    }

    fn settings(&self, role: Role, machine: usize, first_start: bool) -> String {
        match role {
            Role::Control => self
                .layout
                .core_settings(machine, &self.directory, first_start),
            Role::Agent | Role::Proxy => self.layout.edge_settings(machine, role, first_start),
        }
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
        let process = NodeProcess::start(&self.program, &self.directory, role, machine, settings)?;
        self.processes.push(process);
        Ok(())
    }

    fn start_links(&mut self) -> std::io::Result<()> {
        for (edge, machine) in self.layout.edges.iter().enumerate() {
            for (core, target) in self.layout.cores.iter().enumerate() {
                let link = link_between(machine, target, &self.layout)?;
                self.links.push(EdgeLink { edge, core, link });
            }
        }
        self.start_agent_links()
    }

    /// Links every machine to the agents of the edge machines that may be seeds.
    fn start_agent_links(&mut self) -> std::io::Result<()> {
        let edge_ports = self.layout.edges.iter().map(|edge| edge.internal_ports);
        let ports: Vec<u16> = edge_ports
            .chain([self.layout.core_ports])
            .map(plan::agents_port)
            .collect();
        for seed in self.layout.edges.iter().take(MAX_SEED_EDGES) {
            let agent = seed.agent_address();
            for port in ports.iter().filter(|port| **port != agent.port()) {
                let from = SocketAddr::V4(SocketAddrV4::new(seed.ip, *port));
                self.agent_links
                    .push(Link::start(from, SocketAddr::V4(agent))?);
            }
        }
        Ok(())
    }
}

/// The link from the address at which the edge machine expects the core machine's subscription listener to its actual
/// address.
fn link_between(edge: &EdgeMachine, core: &CoreMachine, layout: &Layout) -> std::io::Result<Link> {
    let address = |ip: Ipv4Addr, port| SocketAddr::V4(SocketAddrV4::new(ip, port));
    Link::start(
        address(core.ip, plan::subscriptions_port(edge.internal_ports)),
        address(core.ip, plan::subscriptions_port(layout.core_ports)),
    )
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        if self.keep_directory {
            return;
        }
        if std::thread::panicking() {
            eprintln!("logs of the fleet are kept in {}", self.directory.display());
            return;
        }
        // Files that can't be removed stay in the directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
