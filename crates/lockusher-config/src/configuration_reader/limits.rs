//! Reads the limits on clients' requests and connections.

use crate::configuration::Limits;
use crate::json::object_reader::ObjectReader;

/// Limits of a configuration that sets none.
pub const DEFAULT_LIMITS: Limits = Limits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Reads the object `limits`.
pub fn limits(reader: &ObjectReader<'_>) -> Option<Limits> {
    let header_bytes = reader.positive_integer_or("headerBytes", DEFAULT_LIMITS.header_bytes);
    let body_bytes = reader.integer_or("bodyBytes", DEFAULT_LIMITS.body_bytes);
    let header_timeout_ms = reader.ms_or("headerTimeoutMs", DEFAULT_LIMITS.header_timeout_ms);
    let idle_timeout_ms = reader.ms_or("idleTimeoutMs", DEFAULT_LIMITS.idle_timeout_ms);
    Some(Limits {
        header_bytes: header_bytes?,
        body_bytes: body_bytes?,
        header_timeout_ms: header_timeout_ms?,
        idle_timeout_ms: idle_timeout_ms?,
    })
}
