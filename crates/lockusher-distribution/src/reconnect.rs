//! Which publisher a subscriber connects to, and when.
//!
//! Decisions only, without I/O or clock; [`SharedSubscriber`](crate::subscribe::SharedSubscriber) owns a policy and asks
//! it. An agent has a [`ControlNodePolicy`]; a proxy, and a control node that follows the head, a
//! [`FixedAddressPolicy`].
//!
//! Invariant: attempts that fail one after the other come further and further apart, up to a limit, and are jittered, so
//! that subscribers that lose a publisher at the same time don't arrive at the next one at the same time.
//!
//! Source: M. Brooker, "Exponential Backoff And Jitter" (AWS Architecture Blog, 2015), for the back-off; Thaler and
//! Ravishankar, "Using name-based mappings to increase hit rates" (1998), for highest-random-weight hashing.

mod control_node_policy;
mod fixed_address_policy;
mod policy;

pub use control_node_policy::ControlNodePolicy;
pub use fixed_address_policy::FixedAddressPolicy;
pub use policy::{
    Attempt, CONNECT_TIMEOUT_MS, ConnectionPolicy, OUT_OF_VIEW_TIMEOUT_MS,
    PUBLISHER_INACTIVITY_TIMEOUT_MS, REFERRAL_TIMEOUT_MS,
};
