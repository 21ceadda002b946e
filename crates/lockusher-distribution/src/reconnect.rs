//! Which publisher to connect to, and when.

mod control_node_policy;
mod fixed_address_policy;
mod policy;

pub use control_node_policy::ControlNodePolicy;
pub use fixed_address_policy::FixedAddressPolicy;
pub use policy::{
    Attempt, CONNECT_TIMEOUT_MS, ConnectionPolicy, OUT_OF_VIEW_TIMEOUT_MS, PUBLISHER_INACTIVITY_TIMEOUT_MS,
};
