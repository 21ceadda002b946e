//! What this proxy knows of one searcher: its own sends there and their outcomes, nothing else.
//!
//! Averages for the load balancing score, slow start, and outlier detection: a searcher whose success rate falls below
//! half of its peers' is ejected, and probed again after a time that doubles with each failure. Owned by
//! `Service`. Invariant: `in_flight` is the number of own sends without a final outcome. Without
//! slow start `decision_outliers::one_that_has_just_come_draws_no_rush` fails.

use lockusher_config::instances::{Instance, Stage};

use super::locality::{Distance, Locality};
use super::prefix_cache::mix;
use super::scoring::{NEWEST, blend};
use super::types::{Micros, SendOutcome};

/// What is left after one step of the averages of an idle searcher: they are half forgotten in eight seconds,
/// so that one that was slow once is tried again.
const REMEMBERED_PER_STEP: f64 = 0.977_54;

/// A step lasts 2^18 microseconds, about a quarter of a second.
const STEP_BITS: u32 = 18;

/// The queue average of an idle searcher is forgotten so many times as quickly: its queue is empty.
const QUEUE_STEP_FACTOR: usize = 8;

/// What is left of the averages after so many steps; spares a power for each candidate of a choice.
static REMEMBERED_AFTER_STEPS: [f64; 512] = memory();

const fn memory() -> [f64; 512] {
    let mut table = [1.0; 512];
    let mut step = 1;
    while step < table.len() {
        table[step] = table[step - 1] * REMEMBERED_PER_STEP;
        step += 1;
    }
    table
}

/// The share of averages that still counts after so many steps.
fn remembered(steps: usize) -> f64 {
    REMEMBERED_AFTER_STEPS[steps.min(REMEMBERED_AFTER_STEPS.len() - 1)]
}

/// An elapsed time counts for at most so many times the usual: more says nothing more of a searcher.
const MAX_MULTIPLE_OF_USUAL: f64 = 8.0;

/// Weight of a connection that didn't come up in the share of good sends: it nearly proves a dead process.
const UNREACHABLE_WEIGHT: f64 = 0.9;

/// A rejection counts as so many times the peers' usual time: the searcher is full.
const REJECTION_MULTIPLE: f64 = 2.0;

/// For so long a searcher new in its stage is taken to be as busy as its peers.
const SLOW_START: Micros = 2_000_000;

/// How long a searcher that fails is ejected before it is probed; doubles with each failure.
const INITIAL_EJECTION: Micros = 2_000_000;

/// The ejection doubles so many times at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// One searcher in its present stage. What a choice looks at comes first and fills one line of the cache.
#[derive(Clone, Debug)]
#[repr(C, align(64))]
pub struct Searcher {
    /// Hash of the identifier, the same in all proxies.
    pub hash: u64,
    /// EWMA of latency, in multiples of what a request of the same size usually takes here; not a number until
    /// it has responded.
    latency: f64,
    /// EWMA of Q.
    queue: f64,
    /// EWMA of the share of sends that ended well.
    success_rate: f64,
    last_response: Micros,
    /// Until when it is taken to be as busy as its peers.
    slow_start_end: Micros,
    /// When the oldest send without a response was sent; the end of time if there is none.
    unanswered_since: Micros,
    /// Own sends out at it: Q.
    pub in_flight: u16,
    pub locality: Locality,
    pub distance: Distance,
    /// Whether it is listed as ready.
    pub ready: bool,
    /// Its entry of the list.
    pub instance: Box<Instance>,
    /// Failures since the last good answer.
    consecutive_failures: u32,
    /// When it was last chosen.
    sent: Micros,
    slow_start: Micros,
    /// EWMA of the share that was taken: of its handles, or of the sends to it.
    accepts: f64,
    accepts_at: Micros,
    /// Sends without a response: ticket and time, oldest first.
    unanswered: Vec<(u64, Micros)>,
}

/// What the searchers of one stage have in common.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatistics {
    /// Mean latency average of those that have responded.
    pub latency: f64,
    /// Mean number of own sends out.
    pub in_flight: f64,
    /// Mean queue average.
    pub queue: f64,
    /// The middle share of good sends.
    pub success_rate: f64,
}

impl Default for PeerStatistics {
    fn default() -> Self {
        // While no peer has responded, a searcher takes what is usual.
        PeerStatistics {
            latency: 1.0,
            in_flight: 0.0,
            queue: 0.0,
            success_rate: 1.0,
        }
    }
}

/// A searcher as the score sees it at one moment.
#[derive(Clone, Copy, Debug)]
pub struct EffectiveStatistics {
    pub in_flight: f64,
    pub queue: f64,
    pub latency: f64,
    pub success_rate: f64,
}

impl Searcher {
    /// A searcher first seen, or one that has changed its stage. `starts_slowly` says that others of its stage were
    /// known before, so that it is new among them.
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
        let slow_start = if starts_slowly {
            SLOW_START.max(instance.cold_remaining_ms * 1_000)
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
            queue: 0.0,
            latency: f64::NAN,
            success_rate: 1.0,
            consecutive_failures: 0,
            last_response: now,
            sent: 0,
            slow_start_end: now + slow_start,
            slow_start: slow_start.max(1),
            accepts: 1.0,
            accepts_at: now,
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
    pub fn sent(&mut self, now: Micros, ticket: u64) {
        if self.in_flight == 0 {
            self.queue *= remembered(QUEUE_STEP_FACTOR * self.idle_steps(now));
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.sent = now;
        self.unanswered.push((ticket, now));
        self.unanswered_since = self.unanswered_since.min(now);
        blend(&mut self.queue, f64::from(self.in_flight), NEWEST);
    }

    /// Records the response to a send.
    pub fn responded(&mut self, ticket: u64) {
        self.unanswered.retain(|(of, _)| *of != ticket);
        self.unanswered_since = self
            .unanswered
            .first()
            .map_or(Micros::MAX, |(_, sent)| *sent);
    }

    /// Records the end of a send: it no longer counts as in flight.
    pub fn ended(&mut self, ticket: u64) {
        self.responded(ticket);
        self.in_flight = self.in_flight.saturating_sub(1);
        blend(&mut self.queue, f64::from(self.in_flight), NEWEST);
    }

    /// Feeds an outcome with its elapsed time in multiples of the usual. Only good answers can lower the
    /// average: a failure that comes quickly says nothing of speed.
    pub fn learn(
        &mut self,
        now: Micros,
        outcome: SendOutcome,
        elapsed: f64,
        peers: &PeerStatistics,
    ) {
        let effective = self.effective_statistics(now, peers);
        let elapsed = elapsed.min(MAX_MULTIPLE_OF_USUAL);
        let floor = effective.latency.max(peers.latency);
        let sample = match outcome {
            SendOutcome::FirstEvent | SendOutcome::Answered => elapsed,
            SendOutcome::Rejected => elapsed.max(REJECTION_MULTIPLE * floor),
            SendOutcome::Cancelled => elapsed.max(effective.latency),
            _ => elapsed.max(floor),
        };
        let seconds = now.saturating_sub(self.last_response) as f64 / 1e6;
        let weight = 1.0 - (1.0 - NEWEST).powf(1.0 + seconds);
        let mut latency = effective.latency;
        if self.latency.is_nan() {
            latency = sample;
        }
        blend(&mut latency, sample, weight);
        self.latency = latency;
        self.queue = effective.queue;
        self.record_success(outcome, effective.success_rate);
        self.last_response = now;
    }

    /// The share of its handles, or of the sends to it, that were taken lately; what is old is forgotten.
    pub fn acceptance(&self, now: Micros) -> f64 {
        let steps = (now.saturating_sub(self.accepts_at) >> STEP_BITS) as usize;
        1.0 + (self.accepts - 1.0) * remembered(steps)
    }

    /// Records whether a handle of it, or a send to it, was taken. `weight` from 0 to 1 says how much it is to blame.
    pub fn learn_acceptance(&mut self, now: Micros, taken: bool, weight: f64) {
        self.accepts = self.acceptance(now);
        self.accepts_at = now;
        let (sample, weight) = if taken {
            (1.0, NEWEST)
        } else {
            (0.0, NEWEST * weight)
        };
        blend(&mut self.accepts, sample, weight);
    }

    /// Records whether its handle was taken: only then has it done what it is for.
    pub fn learn_transfer(
        &mut self,
        now: Micros,
        taken: bool,
        weight: f64,
        peers: &PeerStatistics,
    ) {
        self.learn_acceptance(now, taken, weight);
        let effective = self.effective_statistics(now, peers);
        if !self.latency.is_nan() {
            self.latency = effective.latency;
        }
        self.queue = effective.queue;
        self.success_rate = effective.success_rate;
        self.last_response = now;
        if taken {
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
            // Reading for another is good once the handle was taken.
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

    /// Its figures as far as they still count: those of an idle searcher drift to its peers'. A new one counts
    /// as busy as its peers.
    pub fn effective_statistics(&self, now: Micros, peers: &PeerStatistics) -> EffectiveStatistics {
        let own = if self.latency.is_nan() {
            peers.latency
        } else {
            self.latency
        };
        let mut effective = EffectiveStatistics {
            in_flight: f64::from(self.in_flight),
            queue: self.queue,
            latency: own,
            success_rate: self.success_rate,
        };
        if self.in_flight == 0 {
            let steps = self.idle_steps(now);
            let memory = remembered(steps);
            effective.latency = peers.latency + (own - peers.latency) * memory;
            effective.success_rate = 1.0 + (self.success_rate - 1.0) * memory;
            effective.queue = self.queue * remembered(QUEUE_STEP_FACTOR * steps);
        }
        if now < self.slow_start_end {
            let new = (self.slow_start_end - now) as f64 / self.slow_start as f64;
            effective.in_flight += peers.in_flight * new;
            effective.queue = effective.queue.max(peers.queue * new);
        }
        effective
    }

    /// A lower bound of its latency at any time, quick to work out; none for one that may be an outlier.
    pub fn min_latency(&self, peers: &PeerStatistics) -> f64 {
        if self.success_rate < peers.success_rate / 2.0 {
            return 0.0;
        }
        // The average drifts between its own and the peers'; `min` passes over an average that is none yet.
        self.latency.min(peers.latency)
    }

    fn idle_steps(&self, now: Micros) -> usize {
        (now.saturating_sub(self.last_response) >> STEP_BITS) as usize
    }

    /// Whether it is new in its stage: it can't hold yet what its stage's searchers hold.
    pub fn is_in_slow_start(&self, now: Micros) -> bool {
        now < self.slow_start_end
    }

    /// How long the oldest send has been out without a response, in microseconds.
    pub fn oldest_unanswered(&self, now: Micros) -> f64 {
        micros(now.saturating_sub(self.unanswered_since))
    }

    /// Whether an outlier may be probed: nothing is in flight there, and its ejection is over.
    pub fn is_probe_due(&self, now: Micros) -> bool {
        let ejection = INITIAL_EJECTION
            << self
                .consecutive_failures
                .saturating_sub(1)
                .min(MAX_EJECTION_DOUBLINGS);
        self.in_flight == 0 && now >= self.last_response.max(self.sent) + ejection
    }

    /// The plain averages of queue and of good sends, for the peers' means.
    pub fn averages(&self) -> (f64, f64) {
        (self.queue, self.success_rate)
    }

    /// The latency average, if it has responded.
    pub fn latency(&self) -> Option<f64> {
        Some(self.latency).filter(|average| !average.is_nan())
    }
}

/// A span as a float. Spans are far below 2^63, and signed numbers convert more quickly.
fn micros(span: Micros) -> f64 {
    span as i64 as f64
}

impl EffectiveStatistics {
    /// Whether it fails much more often than its peers do.
    pub fn is_outlier(&self, peers: &PeerStatistics) -> bool {
        self.success_rate < peers.success_rate / 2.0
    }
}
