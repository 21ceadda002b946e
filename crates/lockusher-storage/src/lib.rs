//! Durable log of a control node, with snapshots (write-ahead logging).
//!
//! A [`Store`] keeps records and snapshots of what they add up to, in the files of one directory ([`FileSystem`]). A
//! control node owns one through a [`StoreWriter`], which runs it on a thread of its own; the control package's disk
//! module is the only caller.
//!
//! # What survives a power loss
//!
//! - Every append and snapshot that returned without an error, in order, and nothing that was never appended. The last
//!   append is there as a whole or not at all.
//! - What [`Store::open`] returned, even if the process that wrote it was killed before it synced.
//! - Damage that a power loss doesn't explain is reported ([`Damage`]), with one exception: damage to the last append
//!   alone looks like a torn write.
//!
//! # Order of syncs
//!
//! 1. *Append*: write the frame at the end of the last segment; sync the file.
//! 2. *Next segment*: create it with its header; sync the file, then the directory; then seal the one before and sync it.
//! 3. *Snapshot*: start a new segment, write the snapshot; sync the file, then the directory; then remove what is older
//!    and sync the directory.
//!
//! Recovery relies on nothing else. The format is described in the `format` module, the choices and the tests of each
//! promise in `docs/design/storage.md`.
//!
//! # Modules
//!
//! `store` (with `repair` and `snapshots`) coordinates; `segment`, `reserve` and `reset` write files; `recovery` reads
//! them, with the decisions in `segment_sequence` and the encoding in `format`; `layout`, `file_names`, `frame_number`
//! and `options` are what these share. `writer`, `worker` and `job` are the thread.

mod disk;
mod error;
mod file_names;
mod file_system;
mod format;
mod frame_number;
mod job;
mod layout;
mod options;
mod recovery;
mod reserve;
mod reset;
mod segment;
mod segment_sequence;
mod store;
mod worker;
mod writer;

pub use disk::DiskFileSystem;
pub use error::{Damage, FileError, FileErrorCause, FileOperation, StoreError};
pub use file_system::FileSystem;
pub use frame_number::FrameNumber;
pub use job::{Completion, Job, SubmitError};
pub use options::StoreOptions;
pub use recovery::{Recovered, RecoveryReport};
pub use store::Store;
pub use writer::{Completions, StoreWriter};
