//! What decides. Pure: no I/O, and no clock but what it is told.

pub mod contradictions;
pub mod endpoints;
pub mod entry;
pub mod follow;
pub mod view;
