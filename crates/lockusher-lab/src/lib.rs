//! Stand-ins, scripted and on loopback, and what is measured with them. Nothing here is shipped.

pub mod registry;
pub mod stand_in;
