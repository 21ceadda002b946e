//! The schedule of a graceful shutdown: until when a draining proxy serves, and which requests it still forwards.
//!
//! No I/O and no clock: times are given since the signal to stop. [`serve`](crate::serve) acts on the schedule.
//!
//! 1. Readiness probes fail. Clients still arrive until the platform has detected that, and are served; each response
//!    closes its connection.
//! 2. From [`DrainSchedule::stop_reading`] on no client is accepted, and a connection ends once it is between two requests.
//! 3. At [`DrainSchedule::cut_requests`] requests in progress are answered, whatever they wait for.
//! 4. At [`DrainSchedule::exit`] the process ends even if clients have not received their responses.
//!
//! A request that arrives late in the first phase, or in the second one, is forwarded only if its deadline comes before
//! the third one: the client would lose the response otherwise, and may still send the request to another proxy.

use std::time::Duration;

/// Time within which the platform detects that a proxy is no longer ready.
const READINESS_DETECTION: Duration = Duration::from_secs(3);

/// The maximum fraction of the grace period that is left to the platform for that detection, in eighths.
const READINESS_DETECTION_EIGHTHS: u32 = 3;

/// Requests count as late this long before the end of the first phase. The platform measures their age from the moment at
/// which it sent the signal, which the process may receive later.
const SIGNAL_DELAY: Duration = Duration::from_millis(500);

/// Part of the grace period in which no request is in progress: it is left to the last responses and the exit.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// The part of [`SHUTDOWN_RESERVE`] that is left to the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(250);

/// The schedule of one shutdown; all times count from the signal to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// A request that arrives after this is forwarded only if it ends in time.
    pub late_requests: Duration,
    /// No client is accepted after this, and idle connections end.
    pub stop_reading: Duration,
    /// Requests in progress are answered at this time.
    pub cut_requests: Duration,
    /// The process ends at this time.
    pub exit: Duration,
}

impl DrainSchedule {
    /// The schedule for a grace period, after which the process is killed.
    pub fn new(grace: Duration) -> Self {
        let stop_reading = READINESS_DETECTION.min(grace * READINESS_DETECTION_EIGHTHS / 8);
        let cut_requests = grace.saturating_sub(SHUTDOWN_RESERVE).max(stop_reading);
        DrainSchedule {
            late_requests: stop_reading.saturating_sub(SIGNAL_DELAY),
            stop_reading,
            cut_requests,
            exit: grace.saturating_sub(EXIT_RESERVE).max(cut_requests),
        }
    }

    /// Whether a request is forwarded that is complete at `now` and whose response ends at `response_end` at the latest.
    pub fn may_forward(&self, now: Duration, response_end: Duration) -> bool {
        now < self.late_requests || response_end <= self.cut_requests
    }
}
