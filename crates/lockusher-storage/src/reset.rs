//! Empties a folder, durably.

use crate::file_names::{FileKind, RESERVE_FILE, RESET_MARKER_FILE};
use crate::{FileSystem, StoreError};

/// Removes everything, in such an order that a loss of power between leaves a folder that is emptied at opening.
pub(crate) fn reset<F: FileSystem>(files: &mut F) -> Result<(), StoreError> {
    files.create(RESET_MARKER_FILE)?;
    files.sync_file(RESET_MARKER_FILE)?;
    files.sync_directory()?;
    remove_all(files)
}

pub(crate) fn complete_reset<F: FileSystem>(files: &mut F) -> Result<bool, StoreError> {
    let reset_pending = files.list()?.iter().any(|name| name == RESET_MARKER_FILE);
    if reset_pending {
        remove_all(files)?;
    }
    Ok(reset_pending)
}

fn remove_all<F: FileSystem>(files: &mut F) -> Result<(), StoreError> {
    // The marker may be there without being durable yet, and must outlast the files.
    files.sync_directory()?;
    for name in files.list()? {
        if FileKind::of(&name).is_some() || name == RESERVE_FILE {
            files.remove(&name)?;
        }
    }
    files.sync_directory()?;
    files.remove(RESET_MARKER_FILE)?;
    files.sync_directory()?;
    Ok(())
}
