//! The settings of a node, from the file that `LOCKUSHER_NODE_FILE` names.
//!
//! [`settings_reader`](crate::settings_reader) parses them from the file's lines; the process reads the file at its
//! start and again on SIGHUP. All programs of the fleet use these settings. Durations are in milliseconds, whatever the
//! unit of the key. Source: the operators' pages (DEPLOY, "Settings of a process"; the rules, for [`Bounds`]). Fields
//! that no program uses are documented as such; they are parsed all the same, so that an invalid value is reported
//! before a program uses it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use derive_more::Display;

pub use crate::internal_ports::{InternalListener, PortRange, TooFewPorts};

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the node, unique in the deployment; key `node`, required.
    pub node: String,
    /// Zone of its machine; key `zone`, required. The proxy prefers searchers in or near this zone.
    pub zone: String,
    /// Region of its machine; key `region`, by default that of its zone under `zones`, else empty. Control nodes are
    /// spread over regions if `faultTolerance.regions` is above 0.
    pub region: String,
    /// The region of each zone; keys `zones.ZONE`, by default none. Zones of the same region are near to each other.
    pub zones: BTreeMap<String, String>,
    /// Address of its machine; key `ipAddress`, required. Internal listeners and outgoing connections use it.
    pub ip_address: Ipv4Addr,
    /// Address at which the proxy serves clients; key `listenAddresses.front`, absent on machines that don't serve
    /// clients.
    pub front: Option<SocketAddrV4>,
    /// Address of the proxy's readiness check; key `listenAddresses.readiness`, absent where `front` is.
    pub readiness: Option<SocketAddrV4>,
    /// Address of the operators' API; key `listenAddresses.control`, absent where the node doesn't serve it.
    pub control: Option<SocketAddrV4>,
    /// Ports for internal traffic, the same on every machine; key `internalPorts` (`FIRST,LAST`), required.
    pub internal_ports: PortRange,
    /// `control` addresses of a few control nodes, through which a node discovers the others; key `seeds`, by default
    /// none. Some may be down.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the deployment starts for the first time, with empty disks; key `firstStart`, by default `false`.
    /// Control nodes may bootstrap the first view only then.
    pub first_start: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`; key `countsForQuorum`, by default `false`. Of
    /// the machines on which it is `true`, those with a disk run control nodes.
    pub counts_for_quorum: bool,
    /// Directory for durable state; key `dataDirectory`, absent on machines without a disk.
    pub data_directory: Option<PathBuf>,
    /// Resource limits of the process; keys below `limits`.
    pub limits: NodeLimits,
    /// Simultaneous failures that are tolerated; keys below `faultTolerance`.
    pub fault_tolerance: FaultTolerance,
    /// Heartbeat interval that the deployment suggests, in milliseconds; key `heartbeatMs`, by default 1 s. Not used by
    /// any program.
    pub heartbeat_ms: u64,
    /// Limits of the deployment's guarantees; keys below `bounds`.
    pub bounds: Bounds,
    /// Address of the platform's instance list; key `cloud.address`, required.
    pub cloud_address: SocketAddrV4,
    /// Rate limit of the instance list, in calls per second from all nodes together; key `cloud.ratePerS`, by
    /// default 1. The poller stays below it.
    pub cloud_rate_per_s: f64,
    /// Age of the instance list when it is served, in milliseconds; key `cloud.lagMs`, by default 1 s. The stage
    /// scheduler waits for that long for its assignments to appear in the list.
    pub cloud_lag_ms: u64,
}

/// Simultaneous failures under which the guarantees hold: so many machines that count for the quorum, or so many
/// complete zones, or regions. Determines the number of voters among the control nodes and their placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that count for the quorum; key `faultTolerance.machines`, by default 1.
    pub machines: u32,
    /// Zones with all their machines; key `faultTolerance.zones`, by default 0.
    pub zones: u32,
    /// Regions with all their machines; key `faultTolerance.regions`, by default 0.
    pub regions: u32,
}

/// A fault tolerance that the deployment's layout can't provide: a majority survives only if fewer than half of the
/// failure domains are lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnreachableTolerance {
    /// Too few zones.
    #[display(
        "faultTolerance.zones={tolerated} requires {} zones with a control node, there are {known}",
        2 * tolerated + 1
    )]
    Zones {
        /// Zones that may be lost.
        tolerated: u32,
        /// Zones that the settings name.
        known: usize,
    },
    /// Too few regions.
    #[display(
        "faultTolerance.regions={tolerated} requires {} regions with a control node, there are {known}",
        2 * tolerated + 1
    )]
    Regions {
        /// Regions that may be lost.
        tolerated: u32,
        /// Regions that the settings name.
        known: usize,
    },
}

/// Resource limits of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLimits {
    /// Share of a core that is available to the process; key `limits.cpuShare`, by default 1. Not used by any program.
    pub cpu_share: f64,
    /// CPU capacity of the machine, in cores; key `limits.cores`, by default 1. Not used by any program.
    pub cores: u32,
    /// Memory limit of the process in megabytes; key `limits.memoryMb`, by default 128. The process is killed when it
    /// exceeds the limit; the proxy derives the limit on buffered bodies from it.
    pub memory_mb: u64,
    /// File-descriptor limit of the process; key `limits.fileDescriptors`, by default 1024. The proxy derives its
    /// connection limits from it.
    pub file_descriptors: u64,
    /// Bandwidth of the machine's link in megabits per second; key `limits.linkMbps`, by default 100. A control node
    /// extends the timeout of long messages according to it.
    pub link_mbps: f64,
    /// Disk space in megabytes; key `limits.diskMb`, by default 64. The control node's log stays within it.
    pub disk_mb: u64,
}

/// Limits of the guarantees that the deployment's rules define. The defaults are strict. The programs use
/// `acknowledge_ms`, `catch_up_ms`, `drain_ms`, `grace_ms`, the retry budget with its window, `lease_ms` and
/// `repeated_prefill_window_ms`; they meet the other guarantees whatever the values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum age of the operator's list of control nodes, in milliseconds; key `bounds.seedLagS`, by default 3 s.
    pub seed_lag_ms: u64,
    /// Time after a searcher's end after which its address may be reassigned, in milliseconds; key
    /// `bounds.reuseAfterS`, by default 1 s.
    pub reuse_after_ms: u64,
    /// How long a machine must be free of faults before time limits apply to it, in milliseconds; key
    /// `bounds.contactMs`, by default 3 s.
    pub contact_ms: u64,
    /// Within what time an operator's change is acknowledged while the control plane is stable, in milliseconds; key
    /// `bounds.acknowledgeMs`, by default 3 s. The control node's timeouts follow from it.
    pub acknowledge_ms: u64,
    /// How long a machine counts as lost after its return, in milliseconds; key `bounds.catchUpS`, by default 4 s. The
    /// control node's timeouts are derived from it.
    pub catch_up_ms: u64,
    /// How long new requests may be sent to a searcher after the platform's list shows it as draining, in milliseconds;
    /// key `bounds.drainMs`, by default 2 s. The polling interval of the instance list is derived from it.
    pub drain_ms: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds; key `bounds.graceS`, by default 5 s. Limit for graceful shutdown.
    pub grace_ms: u64,
    /// How long after its last byte a request may still be lost to a planned shutdown, in milliseconds; key
    /// `bounds.lossSlackMs`, by default 100 ms.
    pub loss_slack_ms: u64,
    /// Time within which an acknowledged configuration takes effect on every proxy, in milliseconds; key
    /// `bounds.configurationMs`, by default 2 s.
    pub configuration_ms: u64,
    /// How long an older configuration may still be applied after a newer one took effect on the same proxy, in
    /// milliseconds; key `bounds.rollbackSlackMs`, by default 200 ms.
    pub rollback_slack_ms: u64,
    /// By how much an unstable control plane may exceed `configuration_ms`, in milliseconds; key `bounds.outerBoundMs`,
    /// by default 5 s.
    pub outer_bound_ms: u64,
    /// Retry budget: sends beyond the first one of each request, as a ratio of the requests; key
    /// `bounds.retryBudgetRatio`, by default 0.1.
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in milliseconds; key `bounds.budgetWindowS`, by default 10 s.
    pub budget_window_ms: u64,
    /// Retry budget: sends allowed beyond the ratio per window, for all nodes together; key `bounds.retryBudgetSlack`,
    /// by default 10.
    pub retry_budget_slack: f64,
    /// Time within which requests are served after the machines return from the loss of all of them, in milliseconds;
    /// key `bounds.recoveryS`, by default 10 s.
    pub recovery_ms: u64,
    /// Maximum time of a stream's event from the searcher to the client, in milliseconds; key `bounds.transitMs`, by
    /// default 100 ms.
    pub transit_ms: u64,
    /// Time after the last use of a shared prefix within which another prefill of it has a cost, in milliseconds; key
    /// `bounds.again_s`, by default 10 s. The proxy's prefix-cache affinity lasts for a multiple of it.
    pub repeated_prefill_window_ms: u64,
    /// Whether searchers reject orders with a stale fencing token; key `bounds.fenced`, by default `false`.
    pub fenced: bool,
    /// Time within which two holders of a lease must not both send orders, in milliseconds; key `bounds.leaseMs`, by
    /// default 3 s. The control plane's stage-assignment lease is derived from it.
    pub lease_ms: u64,
    /// Grace period after a process pause or a network partition, during which orders of the process don't violate the
    /// lease, in milliseconds; key `bounds.thawMs`, by default 300 ms.
    pub thaw_ms: u64,
}

/// What the role `agent` does for the control plane on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentControlMode {
    /// Runs a control node in the agent's process: the machine counts for the quorum and has a disk.
    ControlNode,
    /// Redirects the operator's requests to a control node.
    Redirect,
    /// Nothing: the operators' API has no address on this machine.
    None,
}

impl NodeSettings {
    /// The port of an internal listener.
    ///
    /// # Errors
    ///
    /// If the range `internalPorts` is too short for this listener.
    pub fn internal_port(&self, listener: InternalListener) -> Result<u16, TooFewPorts> {
        self.internal_ports.port_of(listener)
    }

    /// The fault tolerance that the settings require but the deployment's zones and regions can't provide. Empty if no
    /// zones are given under `zones`.
    pub fn unreachable_tolerance(&self) -> Vec<UnreachableTolerance> {
        let tolerance = self.fault_tolerance;
        let zones = self.zones.len();
        let regions = self.zones.values().collect::<BTreeSet<_>>().len();
        let is_insufficient = |tolerated: u32, known: usize| {
            tolerated > 0 && known > 0 && known < 2 * tolerated as usize + 1
        };
        let mut unreachable = Vec::new();
        if is_insufficient(tolerance.zones, zones) {
            unreachable.push(UnreachableTolerance::Zones {
                tolerated: tolerance.zones,
                known: zones,
            });
        }
        if is_insufficient(tolerance.regions, regions) {
            unreachable.push(UnreachableTolerance::Regions {
                tolerated: tolerance.regions,
                known: regions,
            });
        }
        unreachable
    }

    /// What the agent's process does for the control plane. A machine that doesn't count for the quorum, or has no
    /// disk, only redirects operators.
    pub fn agent_control_mode(&self) -> AgentControlMode {
        let can_be_control_node = self.counts_for_quorum && self.data_directory.is_some();
        match self.control {
            None => AgentControlMode::None,
            Some(_) if can_be_control_node => AgentControlMode::ControlNode,
            Some(_) => AgentControlMode::Redirect,
        }
    }
}
