//! Typed access to JSON documents.
//!
//! A fault is collected with its path and reading continues, so that all faults are reported at once.

pub mod conversion;
pub mod document;
pub mod fault_collector;
pub mod field_path;
pub mod object_reader;
pub mod unique_keys;
