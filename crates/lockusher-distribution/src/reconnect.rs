//! Which publisher a subscriber connects to, and when.
//!
//! The policies do no I/O and read no clock; a [`SharedSubscriber`](crate::subscribe::SharedSubscriber) owns one and
//! connects as it decides. An agent has a [`ControlNodePolicy`]; a proxy, and a control node that follows the head, a
//! [`FixedAddressPolicy`].
//!
//! Invariant: the back-off between failed attempts grows up to a limit and has jitter, so that subscribers that lose a
//! publisher at the same time don't connect to the next one at the same time.
//!
//! Source: M. Brooker, "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015), for the back-off; Thaler and
//! Ravishankar, "Using name-based mappings to increase hit rates" (1998), for highest-random-weight hashing.

mod control_node_policy;
mod fixed_address_policy;
mod policy;

pub use control_node_policy::ControlNodePolicy;
pub use fixed_address_policy::FixedAddressPolicy;
pub use policy::{
    CONNECT_TIMEOUT_MS, ConnectionAttempt, ConnectionPolicy, OUT_OF_VIEW_TIMEOUT_MS,
    PUBLISHER_INACTIVITY_TIMEOUT_MS, REFERRAL_TIMEOUT_MS,
};
