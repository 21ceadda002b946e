//! The state of one searcher as observed by this proxy, from its own sends and their outcomes alone.
//!
//! Averages for the load balancing score, slow start, and outlier detection: a searcher whose success rate falls below
//! half of its peers' is ejected, and probed again after a time that doubles with each failure. Owned by `Service`.
//! Invariant: `in_flight` is the number of this proxy's sends without a final outcome. Without slow start
//! `decision_outliers::a_new_searcher_is_not_flooded` fails.

use lockusher_config::instances::{Instance, Stage};

use super::locality::{Distance, Locality};
use super::prefix_cache::mix;
use super::scoring::{NEWEST, blend};
use super::types::{Micros, SendOutcome};

/// Decay of an idle searcher's averages per step: a half-life of eight seconds, so that a searcher that was slow once
/// is selected again.
const DECAY_PER_STEP: f64 = 0.977_54;

/// A decay step lasts 2^18 microseconds, about a quarter of a second.
const DECAY_STEP_BITS: u32 = 18;

/// The in-flight average of an idle searcher decays this many times as fast, because nothing is in flight there.
const IN_FLIGHT_DECAY_FACTOR: usize = 8;

/// Decay after each number of steps; avoids computing a power for every candidate of a choice.
static DECAY_TABLE: [f64; 512] = decay_table();

const fn decay_table() -> [f64; 512] {
    let mut table = [1.0; 512];
    let mut step = 1;
    while step < table.len() {
        table[step] = table[step - 1] * DECAY_PER_STEP;
        step += 1;
    }
    table
}

/// The remaining weight of old averages after this many steps.
fn decay_after(steps: usize) -> f64 {
    DECAY_TABLE[steps.min(DECAY_TABLE.len() - 1)]
}

/// Upper bound of a latency ratio: a longer elapsed time carries no further information about a searcher.
const MAX_LATENCY_RATIO: f64 = 8.0;

/// Weight of a failed connection in the success rate: it is strong evidence of a dead process.
const UNREACHABLE_WEIGHT: f64 = 0.9;

/// A rejection counts as at least this multiple of the peers' latency ratio: the searcher is full.
const REJECTION_LATENCY_FACTOR: f64 = 2.0;

/// Duration of the slow start of a searcher that is new in its stage; it counts as busy as its peers.
const SLOW_START: Micros = 2_000_000;

/// How long a failing searcher is ejected before it is probed; doubles with each failure.
const INITIAL_EJECTION: Micros = 2_000_000;

/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// One searcher in its current stage. The fields that a choice reads come first and fill one cache line.
#[derive(Clone, Debug)]
#[repr(C, align(64))]
pub struct Searcher {
    /// Hash of the identifier, the same in all proxies.
    pub hash: u64,
    /// EWMA of the latency as a ratio to the expected service time of a request of the same size; NaN until the
    /// searcher has responded.
    latency_ratio: f64,
    /// EWMA of Q.
    in_flight_average: f64,
    /// EWMA of the share of sends that succeeded.
    success_rate: f64,
    last_response: Micros,
    /// End of the slow start.
    slow_start_end: Micros,
    /// When the oldest send without a response was sent; `Micros::MAX` if there is none.
    unanswered_since: Micros,
    /// Q: this proxy's sends in flight.
    pub in_flight: u16,
    pub locality: Locality,
    pub distance: Distance,
    /// Whether it is listed as ready.
    pub ready: bool,
    /// Its entry in the instance list.
    pub instance: Box<Instance>,
    /// Failures since the last success.
    consecutive_failures: u32,
    /// When the last send was sent.
    last_sent: Micros,
    slow_start_duration: Micros,
    /// EWMA of the share that was accepted: of its handles (prefill), or of the sends to it (decode).
    acceptance_rate: f64,
    acceptance_updated_at: Micros,
    /// Sends without a response: ticket and send time, oldest first.
    unanswered: Vec<(u64, Micros)>,
}

/// Statistics over the searchers of one stage.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatistics {
    /// Mean latency ratio of those that have responded.
    pub latency_ratio: f64,
    /// Mean number of own sends in flight.
    pub in_flight: f64,
    /// Mean in-flight average.
    pub in_flight_average: f64,
    /// Median success rate.
    pub success_rate: f64,
}

impl Default for PeerStatistics {
    fn default() -> Self {
        // While no peer has responded, all searchers have the expected service time.
        PeerStatistics {
            latency_ratio: 1.0,
            in_flight: 0.0,
            in_flight_average: 0.0,
            success_rate: 1.0,
        }
    }
}

/// The statistics of a searcher that enter the score at one moment.
#[derive(Clone, Copy, Debug)]
pub struct EffectiveStatistics {
    pub in_flight: f64,
    pub in_flight_average: f64,
    pub latency_ratio: f64,
    pub success_rate: f64,
}

impl Searcher {
    /// Creates a searcher that is newly listed or has changed its stage. `starts_slowly` is set if other searchers of
    /// the stage were known before.
    pub fn new(
        now: Micros,
        instance: Instance,
        locality: Locality,
        distance: Distance,
        starts_slowly: bool,
    ) -> Self {
        let hash = instance
            .identifier
            .bytes()
            .fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let slow_start_duration = if starts_slowly {
            SLOW_START.max(instance.warm_up_remaining_ms * 1_000)
        } else {
            0
        };
        let ready = instance.state == lockusher_config::instances::InstanceState::Ready;
        Searcher {
            instance: Box::new(instance),
            locality,
            distance,
            hash,
            ready,
            in_flight: 0,
            in_flight_average: 0.0,
            latency_ratio: f64::NAN,
            success_rate: 1.0,
            consecutive_failures: 0,
            last_response: now,
            last_sent: 0,
            slow_start_end: now + slow_start_duration,
            slow_start_duration: slow_start_duration.max(1),
            acceptance_rate: 1.0,
            acceptance_updated_at: now,
            unanswered: Vec::new(),
            unanswered_since: Micros::MAX,
        }
    }

    /// Whether it is in slow start.
    pub fn is_warming_up(&self, now: Micros) -> bool {
        now < self.slow_start_end
    }

    /// Whether its last sends failed.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Records a send.
    pub fn record_send(&mut self, now: Micros, ticket: u64) {
        if self.in_flight == 0 {
            self.in_flight_average *= decay_after(IN_FLIGHT_DECAY_FACTOR * self.idle_steps(now));
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.last_sent = now;
        self.unanswered.push((ticket, now));
        self.unanswered_since = self.unanswered_since.min(now);
        blend(
            &mut self.in_flight_average,
            f64::from(self.in_flight),
            NEWEST,
        );
    }

    /// Records the response to a send.
    pub fn record_response(&mut self, ticket: u64) {
        self.unanswered.retain(|(id, _)| *id != ticket);
        self.unanswered_since = self
            .unanswered
            .first()
            .map_or(Micros::MAX, |(_, sent)| *sent);
    }

    /// Records the end of a send: it is no longer in flight.
    pub fn record_end(&mut self, ticket: u64) {
        self.record_response(ticket);
        self.in_flight = self.in_flight.saturating_sub(1);
        blend(
            &mut self.in_flight_average,
            f64::from(self.in_flight),
            NEWEST,
        );
    }

    /// Records an outcome and its latency ratio. Only successful responses can lower the average: a fast failure says
    /// nothing about speed.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        outcome: SendOutcome,
        sample_ratio: f64,
        peers: &PeerStatistics,
    ) {
        let effective = self.effective_statistics(now, peers);
        let sample_ratio = sample_ratio.min(MAX_LATENCY_RATIO);
        let floor = effective.latency_ratio.max(peers.latency_ratio);
        let sample = match outcome {
            SendOutcome::FirstEvent | SendOutcome::Answered => sample_ratio,
            SendOutcome::Rejected => sample_ratio.max(REJECTION_LATENCY_FACTOR * floor),
            SendOutcome::Cancelled => sample_ratio.max(effective.latency_ratio),
            _ => sample_ratio.max(floor),
        };
        let seconds = now.saturating_sub(self.last_response) as f64 / 1e6;
        let weight = 1.0 - (1.0 - NEWEST).powf(1.0 + seconds);
        let mut average = effective.latency_ratio;
        if self.latency_ratio.is_nan() {
            average = sample;
        }
        blend(&mut average, sample, weight);
        self.latency_ratio = average;
        self.in_flight_average = effective.in_flight_average;
        self.record_success(outcome, effective.success_rate);
        self.last_response = now;
    }

    /// The share of its handles, or of the sends to it, that were accepted; decays towards 1.
    pub fn acceptance_rate(&self, now: Micros) -> f64 {
        let steps = (now.saturating_sub(self.acceptance_updated_at) >> DECAY_STEP_BITS) as usize;
        1.0 + (self.acceptance_rate - 1.0) * decay_after(steps)
    }

    /// Records whether one of its handles, or a send to it, was accepted. `weight`, from 0 to 1, is the share of a
    /// rejection that is attributed to this searcher.
    pub fn record_acceptance(&mut self, now: Micros, accepted: bool, weight: f64) {
        self.acceptance_rate = self.acceptance_rate(now);
        self.acceptance_updated_at = now;
        let (sample, weight) = if accepted {
            (1.0, NEWEST)
        } else {
            (0.0, NEWEST * weight)
        };
        blend(&mut self.acceptance_rate, sample, weight);
    }

    /// Records whether its handle was accepted: a prefill counts as a success only then.
    pub fn record_transfer(
        &mut self,
        now: Micros,
        accepted: bool,
        weight: f64,
        peers: &PeerStatistics,
    ) {
        self.record_acceptance(now, accepted, weight);
        let effective = self.effective_statistics(now, peers);
        if !self.latency_ratio.is_nan() {
            self.latency_ratio = effective.latency_ratio;
        }
        self.in_flight_average = effective.in_flight_average;
        self.success_rate = effective.success_rate;
        self.last_response = now;
        if accepted {
            self.consecutive_failures = 0;
            blend(&mut self.success_rate, 1.0, NEWEST);
        } else {
            self.consecutive_failures += u32::from(weight > 0.5);
            blend(&mut self.success_rate, 0.0, NEWEST * weight);
        }
    }

    fn record_success(&mut self, outcome: SendOutcome, success_rate: f64) {
        self.success_rate = success_rate;
        match outcome {
            // A prefill succeeds only once its handle was accepted.
            SendOutcome::Answered if self.instance.stage == Some(Stage::Prefill) => {}
            SendOutcome::FirstEvent | SendOutcome::Answered => {
                self.consecutive_failures = 0;
                blend(&mut self.success_rate, 1.0, NEWEST);
            }
            SendOutcome::Failed | SendOutcome::TimedOut | SendOutcome::Misdirected => {
                self.consecutive_failures += 1;
                blend(&mut self.success_rate, 0.0, NEWEST);
            }
            SendOutcome::Unreachable => {
                self.consecutive_failures += 1;
                blend(&mut self.success_rate, 0.0, UNREACHABLE_WEIGHT);
            }
            SendOutcome::Rejected | SendOutcome::Cancelled => {}
        }
    }

    /// The current statistics: those of an idle searcher decay towards its peers', and one in slow start counts as busy
    /// as its peers.
    pub fn effective_statistics(&self, now: Micros, peers: &PeerStatistics) -> EffectiveStatistics {
        let own = if self.latency_ratio.is_nan() {
            peers.latency_ratio
        } else {
            self.latency_ratio
        };
        let mut effective = EffectiveStatistics {
            in_flight: f64::from(self.in_flight),
            in_flight_average: self.in_flight_average,
            latency_ratio: own,
            success_rate: self.success_rate,
        };
        if self.in_flight == 0 {
            let steps = self.idle_steps(now);
            let decay = decay_after(steps);
            effective.latency_ratio = peers.latency_ratio + (own - peers.latency_ratio) * decay;
            effective.success_rate = 1.0 + (self.success_rate - 1.0) * decay;
            effective.in_flight_average =
                self.in_flight_average * decay_after(IN_FLIGHT_DECAY_FACTOR * steps);
        }
        if now < self.slow_start_end {
            let slow_start_weight =
                (self.slow_start_end - now) as f64 / self.slow_start_duration as f64;
            effective.in_flight += peers.in_flight * slow_start_weight;
            effective.in_flight_average = effective
                .in_flight_average
                .max(peers.in_flight_average * slow_start_weight);
        }
        effective
    }

    /// A lower bound of its latency ratio at any time, cheap to compute; 0 for a possible outlier.
    pub fn min_latency_ratio(&self, peers: &PeerStatistics) -> f64 {
        if self.success_rate < peers.success_rate / 2.0 {
            return 0.0;
        }
        // The average decays from its own value to the peers'; `min` ignores NaN, an average without samples.
        self.latency_ratio.min(peers.latency_ratio)
    }

    fn idle_steps(&self, now: Micros) -> usize {
        (now.saturating_sub(self.last_response) >> DECAY_STEP_BITS) as usize
    }

    /// Whether it is in slow start, so that it can't have cached yet what the other searchers of its stage have.
    pub fn is_in_slow_start(&self, now: Micros) -> bool {
        now < self.slow_start_end
    }

    /// Age of the oldest send without a response, in microseconds.
    pub fn oldest_unanswered(&self, now: Micros) -> f64 {
        micros_to_f64(now.saturating_sub(self.unanswered_since))
    }

    /// Whether an outlier may be probed: nothing is in flight and its ejection time has elapsed.
    pub fn is_probe_due(&self, now: Micros) -> bool {
        let ejection = INITIAL_EJECTION
            << self
                .consecutive_failures
                .saturating_sub(1)
                .min(MAX_EJECTION_DOUBLINGS);
        self.in_flight == 0 && now >= self.last_response.max(self.last_sent) + ejection
    }

    /// The in-flight average and the success rate without decay, for the peer statistics.
    pub fn averages(&self) -> (f64, f64) {
        (self.in_flight_average, self.success_rate)
    }

    /// The latency ratio; `None` until the searcher has responded.
    pub fn latency_ratio(&self) -> Option<f64> {
        Some(self.latency_ratio).filter(|average| !average.is_nan())
    }
}

/// Converts a duration to a float. Durations are far below 2^63, and signed integers convert faster.
fn micros_to_f64(duration: Micros) -> f64 {
    duration as i64 as f64
}

impl EffectiveStatistics {
    /// Whether it fails much more often than its peers.
    pub fn is_outlier(&self, peers: &PeerStatistics) -> bool {
        self.success_rate < peers.success_rate / 2.0
    }
}
