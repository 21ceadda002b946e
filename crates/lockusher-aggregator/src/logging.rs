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

use crate::operator::{Level, Operator};

/// Enough to tell a trouble by, few enough not to cost a core.
const LINES: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

struct Window {
    since: Option<Instant>,
    lines: u32,
    left_out: u64,
}

static WINDOW_NOW: Mutex<Window> = Mutex::new(Window {
    since: None,
    lines: 0,
    left_out: 0,
});
static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Whether another line may be written.
fn admit() -> bool {
    let mut window = WINDOW_NOW
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if window.since.is_none_or(|since| since.elapsed() >= WINDOW) {
        (window.since, window.lines) = (Some(Instant::now()), 0);
    }
    let admitted = window.lines < LINES;
    if admitted {
        window.lines += 1;
    } else {
        window.left_out += 1;
    }
    admitted
}

/// How many lines were left out before this one.
fn left_out() -> u64 {
    let mut window = WINDOW_NOW
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    std::mem::take(&mut window.left_out)
}

/// Counts a broken invariant; tells how many there were.
pub fn broken() -> u64 {
    BROKEN.fetch_add(1, Ordering::Relaxed) + 1
}

/// Standard error; says first how many lines were left out.
struct Out {
    json: bool,
}

impl<'a> MakeWriter<'a> for Out {
    type Writer = Stderr;

    fn make_writer(&'a self) -> Stderr {
        let mut out = std::io::stderr();
        let count = left_out();
        if count > 0 {
            // A log that can't be written is no reason to stop.
            let _ = match self.json {
                true => writeln!(
                    out,
                    "{{\"level\":\"WARN\",\"fields\":{{\"left_out\":{count}}}}}"
                ),
                false => writeln!(out, "lockusher: {count} lines left out"),
            };
        }
        out
    }
}

/// One filter for both forms: the level first, then the rate, so that what is too fine takes no line's place.
fn limited<S: Subscriber + for<'a> LookupSpan<'a>>(
    lines: impl Layer<S> + Send + Sync,
    level: LevelFilter,
) -> impl Layer<S> + Send + Sync {
    let wanted = move |meta: &Metadata| {
        let ours = meta.target().starts_with("lockusher") || meta.target() == "registry";
        *meta.level() <= level && (ours || *meta.level() <= tracing::Level::WARN)
    };
    lines.with_filter(
        dynamic_filter_fn(move |meta, _| meta.is_event() && wanted(meta) && admit())
            .with_max_level_hint(level),
    )
}

/// Logs as the operator set; the first call of a process counts.
pub fn start(operator: &Operator) {
    let level = match operator.level {
        Level::Debug => LevelFilter::DEBUG,
        Level::Info => LevelFilter::INFO,
        Level::Warn => LevelFilter::WARN,
        Level::Error => LevelFilter::ERROR,
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(Out {
            json: operator.json_logs,
        })
        .with_ansi(false);
    let registry = tracing_subscriber::registry();
    let _ = match operator.json_logs {
        true => {
            tracing::subscriber::set_global_default(registry.with(limited(lines.json(), level)))
        }
        false => tracing::subscriber::set_global_default(
            registry.with(limited(lines.with_target(false), level)),
        ),
    };
}

/// What must hold: asserted in debug builds, counted and told in release builds.
#[macro_export]
macro_rules! must_hold {
    ($holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            let times = $crate::logging::broken();
            tracing::error!(times, "does not hold: {}", $what);
        }
    };
}
