//! Write-ahead log of a control node, with snapshots.
//!
//! A [`Store`] keeps a log of records, and snapshots of the state that results from them, in the files of one directory
//! ([`FileSystem`]). A control node owns a store through a [`StoreWriter`], which runs it on a dedicated thread; the
//! control package's disk module is the only caller.
//!
//! # Durability
//!
//! - Every append and snapshot that returned without an error survives a power loss, in order, and nothing else appears
//!   in the log. Appends are atomic.
//! - Whatever [`Store::open`] returned survives, even if the process that wrote it was killed before it synced.
//! - Damage that a power loss can't explain is reported ([`Damage`]), with one exception: damage to the last append
//!   alone can't be told from a torn write.
//!
//! # Order of syncs
//!
//! 1. *Append*: write the frame at the end of the last segment; sync the file.
//! 2. *Next segment*: create it with its header; sync the file, then the directory; then seal the preceding segment and
//!    sync it.
//! 3. *Snapshot*: start a new segment, write the snapshot; sync the file, then the directory; then remove the older
//!    files and sync the directory.
//!
//! Recovery relies on nothing else. The format is described in the `format` module, the design decisions and the tests
//! of each guarantee in `docs/design/storage.md`.
//!
//! # Modules
//!
//! `store` (with `repair` and `snapshots`) coordinates; `segment`, `reserve` and `reset` write files; `recovery` reads
//! them, with the consistency rules in `segment_sequence` and the encoding in `format`. These modules share `layout`,
//! `file_names`, `frame_number` and `options`. `writer`, `worker` and `job` implement the storage thread.

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
