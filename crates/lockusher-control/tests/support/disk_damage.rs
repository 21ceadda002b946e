//! Damages the disk of a control node.

use std::fs::{self, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Offset of a byte of the first append in a log segment.
const OFFSET_IN_FIRST_APPEND: u64 = 48;
const FLIPPED_BIT: u8 = 0x10;

/// Flips a bit of the first append. Other appends follow it, so that recovery can't take this for a torn last append.
pub fn damage_first_append(folder: &Path) {
    let mut entries = fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path());
    let is_segment = |path: &std::path::PathBuf| {
        path.file_name()
            .and_then(|name| name.to_str())
            .is_some_and(|name| name.starts_with("segment-"))
    };
    let segment = entries.find(is_segment).expect("a segment");
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(segment)
        .expect("opens");
    let mut byte = [0];
    file.read_exact_at(&mut byte, OFFSET_IN_FIRST_APPEND)
        .expect("reads");
    file.write_all_at(&[byte[0] ^ FLIPPED_BIT], OFFSET_IN_FIRST_APPEND)
        .expect("writes");
}
