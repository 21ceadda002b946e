//! The wire's texts, decoded once into typed values and encoded once. Pure: no socket, no clock.

pub mod client;
pub mod discovery;
pub mod fleet;
pub mod frame;
pub mod registry;

/// What a body may hold at most.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The longest head of a request that is read: many times what its lines need.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
