//! The agent that runs beside each proxy and connects it to the control plane.
//!
//! One agent runs on each edge machine. It subscribes to a control node and publishes the configuration, the instance
//! list and the size of the fleet to the proxy on loopback, so that proxies don't depend on the topology of the control
//! plane and receive updates despite failures of control nodes. While no fresh instance list is received, the agent
//! polls the platform itself ([`list_fallback`]); [`list_selection`] selects the list in force. Agents gossip
//! configuration versions and departures of searchers ([`peers`]).
//!
//! [`serve::run`] is the entry point; the node's program calls it for the role `agent`. The decision logic
//! ([`list_selection`], [`departure_recorder`], [`revision_assignment`], [`fleet_size`], and [`peers`] except for its
//! sockets) uses neither I/O nor a clock.

pub mod addresses;
pub mod confirmed_list;
pub mod departure_recorder;
pub mod error;
pub mod fleet_size;
pub mod forward;
pub mod gossip_tasks;
pub mod list_fallback;
pub mod list_selection;
pub mod peers;
pub mod redirect;
pub mod revision_assignment;
pub mod seed_reload;
pub mod serve;
pub mod state;
