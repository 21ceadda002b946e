//! What the program says of itself: log lines on standard error through `tracing`, as text or JSON, limited in rate,
//! and counts of broken invariants.

use std::io::{Stderr, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tracing::{Metadata, Subscriber};
use tracing_subscriber::filter::{LevelFilter, dynamic_filter_fn};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

use crate::operator::{Level, OperatorSettings};

/// Enough to tell a trouble by, few enough not to cost a core.
const MAX_LINES: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

struct Window {
    started: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

static CURRENT_WINDOW: Mutex<Window> = Mutex::new(Window {
    started: None,
    lines: 0,
    suppressed: 0,
});
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Whether another line may be written.
fn admit() -> bool {
    let mut window = CURRENT_WINDOW
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if window
        .started
        .is_none_or(|started| started.elapsed() >= WINDOW)
    {
        (window.started, window.lines) = (Some(Instant::now()), 0);
    }
    let admitted = window.lines < MAX_LINES;
    if admitted {
        window.lines += 1;
    } else {
        window.suppressed += 1;
    }
    admitted
}

/// How many lines were left out before this one.
fn take_suppressed() -> u64 {
    let mut window = CURRENT_WINDOW
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    std::mem::take(&mut window.suppressed)
}

/// Counts a broken invariant; tells how many there were.
pub fn count_violation() -> u64 {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1
}

/// Standard error; says first how many lines were left out.
struct LogWriter {
    json: bool,
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = Stderr;

    fn make_writer(&'a self) -> Stderr {
        let mut stderr = std::io::stderr();
        let count = take_suppressed();
        if count > 0 {
            // A log that can't be written is no reason to stop.
            let _ = match self.json {
                true => writeln!(
                    stderr,
                    "{{\"level\":\"WARN\",\"fields\":{{\"left_out\":{count}}}}}"
                ),
                false => writeln!(stderr, "lockusher: {count} lines left out"),
            };
        }
        stderr
    }
}

/// One filter for both forms: the level first, then the rate, so that what is too fine takes no line's place.
fn filtered<S: Subscriber + for<'a> LookupSpan<'a>>(
    lines: impl Layer<S> + Send + Sync,
    level: LevelFilter,
) -> impl Layer<S> + Send + Sync {
    let enabled = move |metadata: &Metadata| {
        let own_target =
            metadata.target().starts_with("lockusher") || metadata.target() == "registry";
        *metadata.level() <= level && (own_target || *metadata.level() <= tracing::Level::WARN)
    };
    lines.with_filter(
        dynamic_filter_fn(move |metadata, _| metadata.is_event() && enabled(metadata) && admit())
            .with_max_level_hint(level),
    )
}

/// Logs as the operator set; the first call of a process counts.
pub fn init(operator: &OperatorSettings) {
    let level = match operator.level {
        Level::Debug => LevelFilter::DEBUG,
        Level::Info => LevelFilter::INFO,
        Level::Warn => LevelFilter::WARN,
        Level::Error => LevelFilter::ERROR,
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(LogWriter {
            json: operator.json_logs,
        })
        .with_ansi(false);
    let registry = tracing_subscriber::registry();
    let _ = match operator.json_logs {
        true => {
            tracing::subscriber::set_global_default(registry.with(filtered(lines.json(), level)))
        }
        false => tracing::subscriber::set_global_default(
            registry.with(filtered(lines.with_target(false), level)),
        ),
    };
}

/// What must hold: asserted in debug builds, counted and told in release builds.
#[macro_export]
macro_rules! check_invariant {
    ($condition:expr, $invariant:literal) => {
        if !$condition {
            debug_assert!(false, $invariant);
            let times = $crate::logging::count_violation();
            tracing::error!(times, "does not hold: {}", $invariant);
        }
    };
}
