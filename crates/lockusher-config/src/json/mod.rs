//! Typed access to JSON documents.
//!
//! Every fault is collected with its path, and reading goes on, so that one run finds them all.

pub mod conversion;
pub mod document;
pub mod fault_collector;
pub mod field_path;
pub mod object_reader;
pub mod unique_keys;
