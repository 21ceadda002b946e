//! State that mixers share, each part a core of its own without I/O or clock: verdicts on searchers and the records
//! that carry them, warm starts, and leased budgets. `core/shared_state.rs` carries it on the fleet's datagrams.

pub mod consensus;
pub mod leasing;
pub mod records;
pub mod warm_start;
