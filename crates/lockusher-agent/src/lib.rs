//! The agent beside each proxy: its link to the control plane.
//!
//! One agent runs on each edge machine. It subscribes to a control node and publishes what it receives (the configuration,
//! the instance list, the size of the fleet) to the proxy on loopback, so that a proxy needs no knowledge of the control
//! plane and keeps being fed while one control node after another is lost. When no fresh instance list is received, it
//! polls the platform itself ([`list_fallback`]), and [`list_selection`] decides which list is in force. Agents gossip
//! about what can't wait for the control plane ([`peers`]).
//!
//! [`serve::run`] is the entry; the node's program calls it for the role `agent`. The decisions ([`list_selection`],
//! [`departure_recorder`], [`revision_assignment`], [`fleet_size`], and of [`peers`] all but its sockets) have neither
//! I/O nor clock.

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
