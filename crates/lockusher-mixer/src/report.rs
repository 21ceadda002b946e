//! What the program says of itself: log lines on standard error, limited in rate, and counts of broken
//! invariants.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Enough to tell a trouble by, few enough not to cost a core.
const LINES: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

struct Window {
    since: Option<Instant>,
    lines: u32,
    left_out: u64,
}

static WINDOW_NOW: Mutex<Window> = Mutex::new(Window { since: None, lines: 0, left_out: 0 });
static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Whether another line may be written, and how many were left out before it.
pub fn admit() -> Option<u64> {
    let mut window = WINDOW_NOW.lock().unwrap_or_else(|e| e.into_inner());
    if window.since.is_none_or(|since| since.elapsed() >= WINDOW) {
        (window.since, window.lines) = (Some(Instant::now()), 0);
    }
    if window.lines >= LINES {
        window.left_out += 1;
        return None;
    }
    window.lines += 1;
    Some(std::mem::take(&mut window.left_out))
}

/// Counts a broken invariant; tells how many there were.
pub fn broken() -> u64 {
    BROKEN.fetch_add(1, Ordering::Relaxed) + 1
}

/// Writes a line to standard error, unless there were many in this second.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {
        if let Some(left_out) = $crate::report::admit() {
            if left_out > 0 {
                eprintln!("lockusher: {left_out} lines left out");
            }
            eprintln!("lockusher: {}", format_args!($($arg)*));
        }
    };
}

/// What must hold: asserted in debug builds, counted and told in release builds.
#[macro_export]
macro_rules! must_hold {
    ($holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            let times = $crate::report::broken();
            $crate::log!("does not hold: {} ({times} such in all)", $what);
        }
    };
}
