//! Logging to standard error through `tracing`, as text or JSON and limited in rate, and a count of violated
//! invariants.

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

/// Maximum number of log lines in one [`WINDOW`]: enough to diagnose a fault, few enough to keep the cost below one
/// core.
const MAX_LINES: u32 = 20;
/// Length of one window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// State of the rate limit in the current window.
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
/// Number of violated invariants since the start of the process.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Whether another line may be written in the current window; counts it as written or suppressed.
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

/// Returns the number of lines suppressed since the last call and resets it.
fn take_suppressed() -> u64 {
    let mut window = CURRENT_WINDOW
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    std::mem::take(&mut window.suppressed)
}

/// Counts a violated invariant and returns the total number of violations.
pub fn count_violation() -> u64 {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1
}

/// Writes to standard error; before a line it reports how many lines were suppressed.
struct LogWriter {
    json: bool,
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = Stderr;

    fn make_writer(&'a self) -> Stderr {
        let mut stderr = std::io::stderr();
        let count = take_suppressed();
        if count > 0 {
            // A failed write to the log must not stop the process.
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

/// Filters by level before it limits the rate, so that lines below the level do not use up the limit. Serves both
/// output formats.
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

/// Installs the logger that the operator's settings describe. Only the first call in a process has an effect.
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

/// Checks an invariant: asserts it in debug builds; in release builds counts a violation and logs it as an error.
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
