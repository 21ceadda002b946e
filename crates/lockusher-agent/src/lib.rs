//! The agent beside each proxy: its link to the control plane.
//!
//! It subscribes to a control node and publishes what it learns to the proxy on loopback. When no fresh list of
//! searchers is heard it reads the platform's list itself ([`list_selection`] decides which list is in force), and agents
//! tell each other what can't wait for the control plane ([`peers`]).

pub mod confirmed_list;
pub mod departure_recorder;
pub mod error;
pub mod fleet_size;
pub mod list_selection;
pub mod peers;
pub mod redirect;
pub mod revision_assignment;
pub mod serve;
