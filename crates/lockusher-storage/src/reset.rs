//! Empties the directory of a damaged store, durably.
//!
//! A store with only some of its files removed would look damaged or, worse, like an intact store of an earlier state.
//! A marker file prevents this: it is durable before the first file is removed, and is removed only once all removals
//! are durable. A directory with a marker is emptied when it is opened.

use crate::error::StoreError;
use crate::file_names::{FileKind, RESERVE_FILE, RESET_MARKER_FILE};
use crate::file_system::FileSystem;

/// Removes all files of the store. A power loss meanwhile leaves a directory that is unchanged or is emptied when
/// opened.
pub(crate) fn reset<F: FileSystem>(files: &mut F) -> Result<(), StoreError> {
    files.create(RESET_MARKER_FILE)?;
    files.sync_file(RESET_MARKER_FILE)?;
    files.sync_directory()?;
    remove_all(files)
}

/// Completes an interrupted reset; returns whether there was one.
pub(crate) fn complete_reset<F: FileSystem>(files: &mut F) -> Result<bool, StoreError> {
    let reset_pending = files.list()?.iter().any(|name| name == RESET_MARKER_FILE);
    if reset_pending {
        remove_all(files)?;
    }
    Ok(reset_pending)
}

fn remove_all<F: FileSystem>(files: &mut F) -> Result<(), StoreError> {
    // The marker may exist without being durable yet; it must survive longer than the files.
    files.sync_directory()?;
    for name in files.list()? {
        if FileKind::parse(&name).is_some() || name == RESERVE_FILE {
            files.remove(&name)?;
        }
    }
    files.sync_directory()?;
    files.remove(RESET_MARKER_FILE)?;
    files.sync_directory()?;
    Ok(())
}
