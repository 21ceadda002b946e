//! The settings of a node: what the file that `LOCKUSHER_NODE_FILE` names tells one process of its deployment.
//!
//! [`settings_reader`](crate::settings_reader) makes them from the file's lines; the process reads the file at its start
//! and again on SIGHUP. Every program of the fleet takes its settings from here. Fields are named after their keys, with
//! the unit appended; a duration is in milliseconds, whatever the key's unit. Source: the operators' pages (DEPLOY,
//! "Settings of a process"; the rules, for [`Bounds`]). Fields that no program acts on say so; they are read all the same,
//! so that a faulty value is reported before it matters.

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
    /// Zone of its machine; key `zone`, required. The proxy prefers searchers near to it.
    pub zone: String,
    /// Region of its machine; key `region`, by default that of its zone under `zones`, else
    /// empty. Control nodes are spread over regions by it if `faultTolerance.regions` says that one may be lost.
    pub region: String,
    /// The region of each zone; keys `zones.ZONE`, by default none. Says which zones are near to each other.
    pub zones: BTreeMap<String, String>,
    /// Address of its machine; key `ipAddress`, required. Internal listeners and outgoing connections use it.
    pub ip_address: Ipv4Addr,
    /// Where clients connect to the proxy; key `listenAddresses.front`, absent on machines that clients don't reach.
    pub front: Option<SocketAddrV4>,
    /// Where the platform checks the proxy's readiness; key `listenAddresses.readiness`, absent as `front` is.
    pub readiness: Option<SocketAddrV4>,
    /// Where the operator calls the control plane; key `listenAddresses.control`, absent where the role doesn't serve it.
    pub control: Option<SocketAddrV4>,
    /// Ports for internal traffic, the same on every machine; key `internalPorts` (`FIRST,LAST`), required.
    pub internal_ports: PortRange,
    /// `control` addresses of a few control nodes, with which a node begins to find the others; key `seeds`, by default
    /// none. They may be down.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the complete system starts for the first time, with empty disks; key `firstStart`, by default `false`. Only
    /// then may control nodes form the first view.
    pub first_start: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`; key `countsForQuorum`, by default
    /// `false`. Of the machines on which it is `true`, those with a disk run control nodes.
    pub counts_for_quorum: bool,
    /// Directory for durable state; key `dataDirectory`, absent on machines without a disk.
    pub data_directory: Option<PathBuf>,
    /// What the process may use of its machine; keys below `limits`.
    pub limits: NodeLimits,
    /// What may be lost at once; keys below `faultTolerance`.
    pub fault_tolerance: FaultTolerance,
    /// Interval of heartbeats that the deployment suggests, in milliseconds; key `heartbeatMs`, by default 1 s. No program
    /// acts on it.
    pub heartbeat_ms: u64,
    /// The guarantees in force; keys below `bounds`.
    pub bounds: Bounds,
    /// Address of the platform's instance list; key `cloud.address`, required.
    pub cloud_address: SocketAddrV4,
    /// Calls a second that the instance list accepts from all nodes together; key `cloud.ratePerS`, by default 1. The
    /// poller keeps below it.
    pub cloud_rate_per_s: f64,
    /// How old the instance list is when it is served, in milliseconds; key `cloud.lagMs`, by default 1 s. The stage
    /// scheduler waits for that long to see its assignments in the list.
    pub cloud_lag_ms: u64,
}

/// What may be lost at once while the guarantees hold: so many counted machines, or so many whole zones, or regions. Sets
/// how many control nodes vote, and how they are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Counted machines; key `faultTolerance.machines`, by default 1.
    pub machines: u32,
    /// Zones with all their machines; key `faultTolerance.zones`, by default 0.
    pub zones: u32,
    /// Regions with all their machines; key `faultTolerance.regions`, by default 0.
    pub regions: u32,
}

/// The deployment's zones can't give what `faultTolerance` asks for: a majority is left only if fewer than half are lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnreachableTolerance {
    /// Too few zones.
    #[display(
        "faultTolerance.zones={tolerated} takes {} zones with a control node, there are {known}",
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
        "faultTolerance.regions={tolerated} takes {} regions with a control node, there are {known}",
        2 * tolerated + 1
    )]
    Regions {
        /// Regions that may be lost.
        tolerated: u32,
        /// Regions that the settings name.
        known: usize,
    },
}

/// What one process may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLimits {
    /// Share of a core that the process gets; key `limits.cpuShare`, by default 1. No program acts on it.
    pub cpu_share: f64,
    /// How many times as fast as one core the machine is; key `limits.cores`, by default 1. No program acts on it.
    pub cores: u32,
    /// Memory of the process in megabytes; key `limits.memoryMb`, by default 128. Beyond it the process is killed; the proxy
    /// limits the bodies that it buffers by it.
    pub memory_mb: u64,
    /// File descriptors of the process; key `limits.fileDescriptors`, by default 1024. The proxy limits its connections by
    /// it.
    pub file_descriptors: u64,
    /// Bandwidth of the machine's link in megabits a second; key `limits.linkMbps`, by default 100. By it a control node
    /// gives others time for long messages.
    pub link_mbps: f64,
    /// Space on the disk in megabytes; key `limits.diskMb`, by default 64. The control node's log keeps within it.
    pub disk_mb: u64,
}

/// The guarantees that the deployment's rules put figures on. The defaults are on the strict side, for a file that leaves
/// one out. The programs act on `acknowledge_ms`, `catch_up_ms`, `drain_ms`, `grace_ms`, the retry budget with its window,
/// `again_ms` and `lease_ms`; the other guarantees are kept whatever their figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How old the operator's list of control nodes may be, in milliseconds; key `bounds.seedLagS`, by default 3 s.
    pub seed_lag_ms: u64,
    /// How long after a searcher's end its address may be given to another, in milliseconds; key `bounds.reuseAfterS`, by
    /// default 1 s.
    pub reuse_after_ms: u64,
    /// How long a machine must have been undisturbed for time limits to bind it, in milliseconds; key `bounds.contactMs`,
    /// by default 3 s.
    pub contact_ms: u64,
    /// Within what time an operator's change is acknowledged while the control plane is stable, in milliseconds; key
    /// `bounds.acknowledgeMs`, by default 3 s. The control node's timeouts follow from it.
    pub acknowledge_ms: u64,
    /// How long a machine counts as lost after its return, in milliseconds; key `bounds.catchUpS`, by default 4 s. The
    /// control node's timeouts follow from it.
    pub catch_up_ms: u64,
    /// How long a draining searcher may be sent new requests after the platform's list shows it, in milliseconds; key
    /// `bounds.drainMs`, by default 2 s. The
    /// interval at which the instance list is polled follows from it.
    pub drain_ms: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds; key `bounds.graceS`, by default 5 s. Graceful shutdown ends within it.
    pub grace_ms: u64,
    /// How long after its last byte a request may still be lost in planned work, in milliseconds; key `bounds.lossSlackMs`,
    /// by default 100 ms.
    pub loss_slack_ms: u64,
    /// Within what time an acknowledged configuration is in force on every proxy, in milliseconds; key
    /// `bounds.configurationMs`, by default 2 s.
    pub configuration_ms: u64,
    /// How long an older configuration may still be applied after a newer one took effect on the same proxy, in milliseconds;
    /// key `bounds.rollbackSlackMs`, by default 200 ms.
    pub rollback_slack_ms: u64,
    /// By how much an unstable control plane may stretch `configuration_ms`, in milliseconds; key `bounds.outerBoundMs`, by
    /// default 5 s.
    pub outer_bound_ms: u64,
    /// Retry budget: sends beyond the first of each request, as a ratio of the requests; key `bounds.retryBudgetRatio`, by
    /// default 0.1.
    pub retry_budget_ratio: f64,
    /// Window over which the retry budget is counted, in milliseconds; key `bounds.budgetWindowS`, by default 10 s.
    pub budget_window_ms: u64,
    /// Retry budget: sends allowed beyond the ratio, in one window, by all nodes together; key `bounds.retryBudgetSlack`, by
    /// default 10.
    pub retry_budget_slack: f64,
    /// Within what time requests are served after the machines return from a loss of all, in milliseconds; key
    /// `bounds.recoveryS`, by default 10 s.
    pub recovery_ms: u64,
    /// How long an event of a stream may take from its searcher to the client, in milliseconds; key `bounds.transitMs`, by
    /// default 100 ms.
    pub transit_ms: u64,
    /// Within what time of its last use a shared prefix that is prefilled anew has a price, in milliseconds; key
    /// `bounds.again_s`, by default 10 s. The proxy's prefix-cache affinity lasts a multiple of it.
    pub again_ms: u64,
    /// Whether searchers reject orders with an outdated fencing token; key `bounds.fenced`, by default `false`.
    pub fenced: bool,
    /// Time within which two holders of a lease must not both send orders, in milliseconds; key `bounds.leaseMs`, by default
    /// 3 s. The control plane's stage-assignment lease follows from it.
    pub lease_ms: u64,
    /// How long after the end of a process's freeze or of a network partition its orders don't count against the lease, in
    /// milliseconds; key `bounds.thawMs`, by default 300 ms.
    pub thaw_ms: u64,
}

/// What the role `agent` does for the control plane on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeControl {
    /// The machine counts for the quorum and has a disk: a control node runs beside the agent.
    ControlNode,
    /// The operator may call here, and is redirected to a control node.
    Redirect,
    /// The operator doesn't call here.
    None,
}

impl NodeSettings {
    /// The port of an internal listener.
    ///
    /// # Errors
    ///
    /// If `internalPorts` has too few ports for this listener.
    pub fn internal_port(&self, listener: InternalListener) -> Result<u16, TooFewPorts> {
        self.internal_ports.port_of(listener)
    }

    /// What the deployment can't tolerate by its zones and regions, though the settings ask for it. A deployment that names
    /// none under `zones` isn't judged.
    pub fn unreachable_tolerance(&self) -> Vec<UnreachableTolerance> {
        let tolerance = self.fault_tolerance;
        let zones = self.zones.len();
        let regions = self.zones.values().collect::<BTreeSet<_>>().len();
        let is_short = |tolerated: u32, known: usize| {
            tolerated > 0 && known > 0 && known < 2 * tolerated as usize + 1
        };
        let mut unreachable = Vec::new();
        if is_short(tolerance.zones, zones) {
            unreachable.push(UnreachableTolerance::Zones {
                tolerated: tolerance.zones,
                known: zones,
            });
        }
        if is_short(tolerance.regions, regions) {
            unreachable.push(UnreachableTolerance::Regions {
                tolerated: tolerance.regions,
                known: regions,
            });
        }
        unreachable
    }

    /// What the agent's process does for the control plane. A machine whose loss isn't counted, or that has no disk, only
    /// redirects operators.
    pub fn edge_control(&self) -> EdgeControl {
        let may_be_control_node = self.counts_for_quorum && self.data_directory.is_some();
        match self.control {
            None => EdgeControl::None,
            Some(_) if may_be_control_node => EdgeControl::ControlNode,
            Some(_) => EdgeControl::Redirect,
        }
    }
}
