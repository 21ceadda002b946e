//! State that mixers share, each part a core of its own without I/O or clock: records and what is said in them, warm
//! starts, budgets that are lent. `core/share.rs` carries it on the fleet's datagrams.

pub mod judge;
pub mod lend;
pub mod records;
pub mod warm;
