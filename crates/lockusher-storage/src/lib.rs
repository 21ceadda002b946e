//! Durable storage of a control node: a log in segments with snapshots beside it.
//!
//! [`Store`] does the work on a [`FileSystem`]; [`StoreWriter`] runs a store on a thread of its own, since a write
//! or a sync holds its thread until the disk is done. The format and what each promise rests on are described in
//! `docs/storage.md`.

mod disk;
mod error;
mod file_system;
mod format;
mod recovery;
mod store;
mod writer;

pub use disk::DiskFileSystem;
pub use error::{Damage, FileError, StoreError};
pub use file_system::FileSystem;
pub use recovery::{Recovered, RecoveryReport};
pub use store::{Store, StoreOptions};
pub use writer::{Completion, Completions, Job, StoreWriter, SubmitError};
