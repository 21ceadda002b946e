//! The record of a run: lines with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `FOLDER/record.txt`.
pub fn open(folder: &str) {
    START.get_or_init(Instant::now);
    let file =
        File::create(Path::new(folder).join("record.txt")).expect("the record can't be written");
    let _ = FILE.set(Mutex::new(file));
}

/// Time since the start of the run.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Adds a line.
pub fn line(text: &str) {
    let text = format!("{:8.3} {text}", now().as_secs_f64());
    println!("{text}");
    if let Some(file) = FILE.get() {
        let _ = writeln!(file.lock().unwrap(), "{text}");
    }
}
