//! The machines of a fleet, their addresses and their settings files.

use std::collections::HashSet;
use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use super::process::Role;
use crate::entry::MixerAddress;
use crate::server::lock;

/// Ports that are the same on every machine, since each has its own address.
const FRONT_PORT: u16 = 8144;
const READINESS_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
/// Range of internal ports of core machines.
const CORE_PORTS: (u16, u16) = (7660, 7675);
/// Internal ports of edge machines are taken from this range, below the ephemeral ports of outgoing connections.
const EDGE_PORTS_START: u16 = 10_000;
const EDGE_PORTS_END: u16 = 32_000;
/// Size of an edge machine's range of internal ports.
const PORTS_PER_EDGE: u16 = 16;
/// Last byte of the address of the first machine in a network.
const FIRST_MACHINE_BYTE: u8 = 10;
/// Core machines, edge machines and stand-ins have separate networks: offsets to the third byte of the fleet's network.
const CORE_NETWORK_OFFSET: u8 = 0;
const EDGE_NETWORK_OFFSET: u8 = 1;
const STAND_IN_NETWORK_OFFSET: u8 = 2;
/// Offsets of internal listeners in a machine's port range.
const SUBSCRIPTIONS_PORT_OFFSET: u16 = 0;
const AGENTS_PORT_OFFSET: u16 = 2;
/// Maximum number of seeds in a settings file.
const MAX_SEEDS: usize = 3;

/// Time bounds and budgets of the fleet, named and measured as in the settings file.
#[derive(Clone, Debug)]
pub struct FleetBounds {
    pub contact_ms: u64,
    pub acknowledge_ms: u64,
    pub catch_up_s: u64,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub loss_slack_ms: u64,
    pub configuration_ms: u64,
    pub retry_budget_ratio: f64,
    pub budget_window_s: u64,
    pub retry_budget_slack: u64,
    pub transit_ms: u64,
    pub again_s: f64,
    pub recovery_s: u64,
}

impl Default for FleetBounds {
    fn default() -> FleetBounds {
        FleetBounds {
            contact_ms: 3_000,
            acknowledge_ms: 4_000,
            catch_up_s: 4,
            drain_ms: 3_000,
            grace_s: 8,
            loss_slack_ms: 200,
            configuration_ms: 2_000,
            retry_budget_ratio: 0.2,
            budget_window_s: 10,
            retry_budget_slack: 52,
            transit_ms: 120,
            again_s: 7.5,
            recovery_s: 12,
        }
    }
}

/// Size and parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Edge machines, each with a proxy and an agent.
    pub edges: usize,
    /// Core machines, each with a control node.
    pub cores: usize,
    /// Zones of the region; machines are assigned to them in turn.
    pub zones: Vec<String>,
    /// The region of all zones.
    pub region: String,
    /// Port of the platform's instance list, at the first stand-in address.
    pub cloud_port: u16,
    /// Rate limit of calls to the platform's list.
    pub cloud_rate_per_s: f64,
    /// Staleness of the platform's list.
    pub cloud_lag_ms: u64,
    /// Time bounds and budgets.
    pub bounds: FleetBounds,
    /// The `lockusher-node` program; `None`: the one built from this workspace.
    pub program: Option<PathBuf>,
}

/// A machine that serves the operator API and may be listed as a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seed {
    /// A core machine, which runs a control node.
    Core(usize),
    /// An edge machine, whose agent redirects operators.
    Edge(usize),
}

/// Which machines the settings files list as seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeedChoice {
    /// Core machines, which run control nodes.
    Cores,
    /// One core machine and two edge machines; the latter redirect operators and run no control node.
    Mixed,
    /// Edge machines only.
    Edges,
}

/// An edge machine.
#[derive(Clone, Debug)]
pub(super) struct EdgeMachine {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub internal_ports: (u16, u16),
}

impl EdgeMachine {
    /// The address at which other agents reach this machine's agent.
    pub fn agent_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.internal_ports.0 + AGENTS_PORT_OFFSET)
    }

    /// Addresses of the machine's proxy.
    pub fn mixer(&self) -> MixerAddress {
        let address = |port| SocketAddr::V4(SocketAddrV4::new(self.ip, port));
        MixerAddress {
            front: address(FRONT_PORT),
            readiness: address(READINESS_PORT),
        }
    }
}

/// A core machine.
#[derive(Clone, Debug)]
pub(super) struct CoreMachine {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub control: SocketAddrV4,
}

/// The machines of a fleet with their addresses.
pub(super) struct Layout {
    plan: FleetPlan,
    network: (u8, u8),
    pub zones: Vec<String>,
    pub edges: Vec<EdgeMachine>,
    pub cores: Vec<CoreMachine>,
    pub core_ports: (u16, u16),
    /// Seeds listed in settings files that are written from now on.
    pub seeds: Vec<Seed>,
}

impl Layout {
    /// Assigns every machine an address in 127.0.0.0/8 that other fleets on the same host are unlikely to use.
    pub fn new(plan: &FleetPlan) -> std::io::Result<Layout> {
        let network = random_network();
        let ip = |third_byte_offset: u8, number: usize| {
            Ipv4Addr::new(
                127,
                network.0,
                network.1 + third_byte_offset,
                FIRST_MACHINE_BYTE + number as u8,
            )
        };
        let zone = |number: usize| plan.zones[number % plan.zones.len()].clone();
        let mut edges = Vec::new();
        for number in 0..plan.edges {
            let internal_ports = free_port_range()?;
            edges.push(EdgeMachine {
                ip: ip(EDGE_NETWORK_OFFSET, number),
                zone: zone(number),
                internal_ports,
            });
        }
        let core = |number: usize| {
            let ip = ip(CORE_NETWORK_OFFSET, number);
            CoreMachine {
                ip,
                zone: zone(number),
                control: SocketAddrV4::new(ip, CONTROL_PORT),
            }
        };
        let cores = (0..plan.cores).map(core).collect();
        Ok(Layout {
            plan: plan.clone(),
            network,
            zones: plan.zones.clone(),
            edges,
            cores,
            core_ports: CORE_PORTS,
            seeds: (0..plan.cores.min(MAX_SEEDS)).map(Seed::Core).collect(),
        })
    }

    /// The IP address of a stand-in.
    pub fn stand_in_ip(&self, number: u8) -> Ipv4Addr {
        let third_byte = self.network.1 + STAND_IN_NETWORK_OFFSET;
        Ipv4Addr::new(127, self.network.0, third_byte, FIRST_MACHINE_BYTE + number)
    }

    /// The operator address of a machine.
    pub fn operator_address(&self, seed: Seed) -> SocketAddrV4 {
        match seed {
            Seed::Core(core) => self.cores[core].control,
            Seed::Edge(edge) => SocketAddrV4::new(self.edges[edge].ip, CONTROL_PORT),
        }
    }

    /// How many control nodes may be lost at once without losing the quorum.
    pub fn tolerated_losses(&self) -> usize {
        self.plan.cores.saturating_sub(1) / 2
    }

    /// The data directory of a core machine.
    pub fn disk(&self, core: usize, directory: &Path) -> PathBuf {
        directory.join(format!("disk-{core}"))
    }

    /// The settings file of an edge machine's process.
    pub fn edge_settings(&self, edge: usize, role: Role, first_start: bool) -> String {
        let machine = &self.edges[edge];
        let mixer = machine.mixer();
        let mut text = format!("node=edge-{edge}\nrole={role}\nmachineClass=edge\n");
        if role == Role::Proxy {
            push(&mut text, "serves", "edge");
            push(&mut text, "listenAddresses.front", mixer.front);
            push(&mut text, "listenAddresses.readiness", mixer.readiness);
        } else {
            push(&mut text, "serves", "control_plane");
            let control = self.operator_address(Seed::Edge(edge));
            push(&mut text, "listenAddresses.control", control);
        }
        push(&mut text, "countsForQuorum", false);
        push(&mut text, "limits.diskMb", 0);
        self.push_machine(&mut text, machine.ip, &machine.zone, machine.internal_ports);
        self.push_common(&mut text, first_start);
        text
    }

    /// The settings file of a core machine's process.
    pub fn core_settings(&self, core: usize, directory: &Path, first_start: bool) -> String {
        let machine = &self.cores[core];
        let mut text =
            format!("node=core-{core}\nrole=control\nmachineClass=core\nserves=control_plane\n");
        push(&mut text, "listenAddresses.control", machine.control);
        push(&mut text, "countsForQuorum", true);
        push(&mut text, "limits.diskMb", 128);
        push(
            &mut text,
            "dataDirectory",
            self.disk(core, directory).display(),
        );
        self.push_machine(&mut text, machine.ip, &machine.zone, self.core_ports);
        self.push_common(&mut text, first_start);
        text
    }

    fn push_machine(&self, text: &mut String, ip: Ipv4Addr, zone: &str, ports: (u16, u16)) {
        push(text, "ipAddress", ip);
        push(text, "zone", zone);
        push(text, "region", &self.plan.region);
        push(text, "internalPorts", format!("{},{}", ports.0, ports.1));
    }

    fn push_common(&self, text: &mut String, first_start: bool) {
        let plan = &self.plan;
        for zone in &plan.zones {
            push(text, &format!("zones.{zone}"), &plan.region);
        }
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| self.operator_address(*seed).to_string())
            .collect();
        push(text, "seeds", seeds.join(","));
        push(text, "firstStart", first_start);
        push(text, "limits.cpuShare", 0.25);
        push(text, "limits.cores", 1);
        push(text, "limits.memoryMb", 260);
        push(text, "limits.fileDescriptors", 4100);
        push(text, "limits.linkMbps", 1000.0);
        push(text, "discovery", "cloud");
        push(text, "entry", "virtual_ip");
        push(text, "heartbeatMs", 1200);
        push(
            text,
            "contracts",
            "base,drain,config,cost,retry,recover,split,stream,engine",
        );
        push(text, "faultTolerance.machines", self.tolerated_losses());
        push(text, "faultTolerance.zones", 0);
        push(text, "faultTolerance.regions", 0);
        push(
            text,
            "cloud.address",
            SocketAddrV4::new(self.stand_in_ip(0), plan.cloud_port),
        );
        push(text, "cloud.ratePerS", plan.cloud_rate_per_s);
        push(text, "cloud.duties", "");
        push(text, "cloud.lagMs", plan.cloud_lag_ms);
        push_bounds(text, &plan.bounds);
    }
}

fn push_bounds(text: &mut String, bounds: &FleetBounds) {
    push(text, "bounds.seedLagS", 3);
    push(text, "bounds.reuseAfterS", 2);
    push(text, "bounds.contactMs", bounds.contact_ms);
    push(text, "bounds.acknowledgeMs", bounds.acknowledge_ms);
    push(text, "bounds.catchUpS", bounds.catch_up_s);
    push(text, "bounds.drainMs", bounds.drain_ms);
    push(text, "bounds.graceS", bounds.grace_s);
    push(text, "bounds.lossSlackMs", bounds.loss_slack_ms);
    push(text, "bounds.configurationMs", bounds.configuration_ms);
    push(text, "bounds.rollbackSlackMs", 250);
    push(text, "bounds.outerBoundMs", 5000);
    push(text, "bounds.retryBudgetRatio", bounds.retry_budget_ratio);
    push(text, "bounds.budgetWindowS", bounds.budget_window_s);
    push(text, "bounds.retryBudgetSlack", bounds.retry_budget_slack);
    push(text, "bounds.recoveryS", bounds.recovery_s);
    push(text, "bounds.transitMs", bounds.transit_ms);
    push(text, "bounds.again_s", bounds.again_s);
    push(text, "bounds.fenced", false);
    push(text, "bounds.leaseMs", 3000);
    push(text, "bounds.thawMs", 300);
}

fn push(text: &mut String, key: &str, value: impl std::fmt::Display) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{key}={value}");
}

/// The port at which a machine with this port range expects other machines' agents.
pub(super) fn agents_port(ports: (u16, u16)) -> u16 {
    ports.0 + AGENTS_PORT_OFFSET
}

/// The port at which a machine with this port range subscribes to control nodes.
pub(super) fn subscriptions_port(ports: (u16, u16)) -> u16 {
    ports.0 + SUBSCRIPTIONS_PORT_OFFSET
}

/// Random second and third bytes of a network in 127.0.0.0/8.
fn random_network() -> (u8, u8) {
    let random = RandomState::new().hash_one(std::process::id());
    let [second_byte, third_byte, ..] = random.to_le_bytes();
    (second_byte % 200 + 20, third_byte % 80 * 3 + 1)
}

/// A range of internal ports for one edge machine: its first port is free on 127.0.0.1 and not yet allocated by this
/// process.
fn free_port_range() -> std::io::Result<(u16, u16)> {
    static ALLOCATED: Mutex<Option<HashSet<u16>>> = Mutex::new(None);
    let ranges = u64::from((EDGE_PORTS_END - EDGE_PORTS_START) / PORTS_PER_EDGE);
    let mut allocated = lock(&ALLOCATED);
    let allocated = allocated.get_or_insert_default();
    for attempt in 0..ranges {
        let random = RandomState::new().hash_one(attempt) % ranges;
        let first = EDGE_PORTS_START + random as u16 * PORTS_PER_EDGE;
        let is_free = TcpListener::bind((Ipv4Addr::LOCALHOST, first)).is_ok();
        if is_free && allocated.insert(first) {
            return Ok((first, first + PORTS_PER_EDGE - 1));
        }
    }
    Err(std::io::Error::other(
        "no free internal port range for an edge machine",
    ))
}

/// Creates a directory for settings, logs and disks.
pub(super) fn new_directory() -> std::io::Result<PathBuf> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "lockusher-fleet-{}-{}",
        std::process::id(),
        NUMBER.fetch_add(1, Ordering::SeqCst)
    );
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}
