//! Decodes bytes from the wire into typed values and encodes them. Pure functions: no socket, no clock.

pub mod client;
pub mod discovery;
pub mod fleet;
pub mod frame;
pub mod registry;

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum size of a request head in bytes, many times what its lines need.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
