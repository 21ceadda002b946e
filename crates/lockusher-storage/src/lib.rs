//! Durable storage of a control node: a log in segments with snapshots beside it.
//!
//! [`Store`] does the work on a [`FileSystem`]; [`StoreWriter`] runs a store on a thread of its own, since a write
//! or a sync holds its thread until the disk is done. The format and what each promise rests on are described in
//! `docs/storage.md`.

mod disk;
mod error;
mod file_names;
mod file_system;
mod format;
mod job;
mod options;
mod recovery;
mod reset;
mod segment;
mod segment_sequence;
mod store;
mod worker;
mod writer;

pub use disk::DiskFileSystem;
pub use error::{Damage, FileError, StoreError};
pub use file_system::FileSystem;
pub use job::{Completion, Job, SubmitError};
pub use options::StoreOptions;
pub use recovery::{Recovered, RecoveryReport};
pub use store::Store;
pub use writer::{Completions, StoreWriter};
