//! What decides. Pure: no I/O, and no clock but what it is told.

pub mod doubt;
pub mod endpoints;
pub mod entry;
pub mod follow;
pub mod view;
