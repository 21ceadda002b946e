//! The settings of a node: the file that `LOCKUSHER_NODE_FILE` names, `a.b=value` lines.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;

pub use crate::internal_ports::{InternalListener, PortRange, TooFewPorts};

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    pub node: String,
    pub zone: String,
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub ip_address: std::net::Ipv4Addr,
    /// Where clients come in; edge machines only.
    pub front: Option<SocketAddrV4>,
    /// Where readiness is asked; edge machines only.
    pub readiness: Option<SocketAddrV4>,
    /// Where the operator comes in; on machines whose role serves the control plane.
    pub control: Option<SocketAddrV4>,
    /// Ports for internal traffic on every machine.
    pub internal_ports: PortRange,
    /// `control` addresses of a few control nodes.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Whether this machine's loss is counted.
    pub counts_for_quorum: bool,
    pub data_directory: Option<PathBuf>,
    pub limits: NodeLimits,
    /// How many counted machines may be lost at once.
    pub fault_tolerance_machines: u32,
    pub heartbeat_ms: u64,
    pub bounds: Bounds,
    /// Address of the platform's list of instances.
    pub cloud_address: SocketAddrV4,
    /// Calls a second that the platform takes from all nodes together.
    pub cloud_rate_per_s: f64,
    /// How far the list lags, in milliseconds.
    pub cloud_lag_ms: u64,
}

/// The machine's share for this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLimits {
    pub cpu_share: f64,
    pub cores: u32,
    pub memory_mb: u64,
    pub file_descriptors: u64,
    pub link_mbps: f64,
    pub disk_mb: u64,
}

/// The promises in force, in milliseconds where not said otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag_ms: u64,
    pub reuse_after_ms: u64,
    pub contact_ms: u64,
    pub acknowledge_ms: u64,
    pub catch_up_ms: u64,
    pub drain_ms: u64,
    pub grace_ms: u64,
    pub loss_slack_ms: u64,
    pub configuration_ms: u64,
    pub rollback_slack_ms: u64,
    pub outer_bound_ms: u64,
    /// Sends beyond the first of each request, as a share of the requests.
    pub retry_budget_ratio: f64,
    pub budget_window_ms: u64,
    /// Sends beyond that share, in one window, over all nodes.
    pub retry_budget_slack: f64,
    pub recovery_ms: u64,
    /// How long an event may take through the fleet.
    pub transit_ms: u64,
    /// A part of a prompt that is read again within this time is priced.
    pub again_ms: u64,
    /// Whether searchers check fencing tokens.
    pub fenced: bool,
    pub lease_ms: u64,
    pub thaw_ms: u64,
}

/// What the role `agent` is on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeControl {
    /// The machine counts for the quorum and has a disk: a control node runs beside the agent.
    ControlNode,
    /// The operator may call, and is sent on to a control node.
    Redirect,
    /// The operator doesn't call here.
    None,
}

impl NodeSettings {
    /// The port of an internal listener: the first of the range serves subscriptions, and so on.
    pub fn internal_port(&self, listener: InternalListener) -> Result<u16, TooFewPorts> {
        self.internal_ports.port_of(listener)
    }

    /// What the agent's process does for the control plane. Every other machine only sends operators on: its loss isn't
    /// counted, or it has no disk.
    pub fn edge_control(&self) -> EdgeControl {
        match (self.control, self.counts_for_quorum && self.data_directory.is_some()) {
            (Some(_), true) => EdgeControl::ControlNode,
            (Some(_), false) => EdgeControl::Redirect,
            (None, _) => EdgeControl::None,
        }
    }
}
