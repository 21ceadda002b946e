//! Input and output types of the decision module, and the averages, rates and token buckets that it keeps.
//! This module makes no decisions and sets no policy values.

use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::sync::Arc;

use crate::scoring::blend;

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    pub const fn from_micros(us: u64) -> Self {
        Time(us)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const MAX: Span = Span(u64::MAX);

    pub const fn from_micros(us: u64) -> Self {
        Span(us)
    }

    pub const fn from_millis(ms: u64) -> Self {
        Span(ms * 1_000)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Negative values become zero; values that are too large become the longest span.
    pub fn from_secs(secs: f64) -> Self {
        Span((secs * 1e6).round() as u64)
    }

    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    pub fn times(self, factor: f64) -> Span {
        Span::from_secs(self.as_secs() * factor)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

macro_rules! name_id {
    ($($(#[$doc:meta])* $id:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(Arc<str>);

        impl $id {
            pub fn new(name: &str) -> Self {
                $id(name.into())
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $id:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(pub usize);
    )*};
}

name_id!(
    /// Identifier of a multiget, assigned by the host.
    MultigetId,
    /// Identifier of a part, assigned by the host.
    PartId,
    /// Identifier of a searcher; it stays the same across restarts.
    SearcherId
);

number_id!(
    /// Operation type, by its index in the settings.
    OpTypeId,
    /// Tenant, by its index in the settings.
    TenantId,
    /// Zone, by its index in the settings.
    Zone,
    /// Shard number.
    Shard,
    /// Cell number: a cell is a group of searchers that hold the same shards.
    Cell
);

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    Retriable,
    /// The searcher drops duplicates for this long after the first attempt that may have been executed.
    Deduped(Span),
    /// A second execution must be prevented.
    NonRetriable,
}

/// Settings of one operation type.
#[derive(Clone, Debug)]
pub struct OpType {
    pub latency_target: Span,
    /// The latency target grows by this multiple of the multiget's own expected work, up to the route
    /// timeout.
    pub target_stretch: f64,
    pub route_timeout: Span,
    pub value: f64,
    /// Fraction of `value` that an answer after the latency target is worth.
    pub late_value: f64,
    pub idempotency: Idempotency,
    /// Fraction of the first step's weight that makes an answer complete.
    pub complete_share: f64,
    /// Smallest fraction of the weight that any answer needs.
    pub min_share: f64,
    /// Value of a partial answer, multiplied by the fraction of `complete_share` that it holds.
    pub partial_value: f64,
    /// Number of parts in the second step; 0 if there is no second step.
    pub second_step: usize,
}

/// Settings of one tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in multigets per second, summed over all mixers.
    pub quota_per_s: f64,
}

/// Placement of shards: shard `s` is held by cells (s + j) mod `cells` for each j below `cells_per_shard`.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub cells: usize,
    pub cells_per_shard: usize,
}

impl Layout {
    /// The shards, modulo `cells`, that the searchers of `cell` hold.
    pub fn shards_of(self, cell: Cell) -> impl Iterator<Item = usize> {
        let first = cell.0 % self.cells + self.cells;
        (0..self.cells_per_shard.min(self.cells)).map(move |j| (first - j) % self.cells)
    }
}

/// The mixer's own zone, and the price of sending to another zone.
pub type Locality = (Option<Zone>, f64);

/// Index of this mixer, starting at 0, and the number of mixers.
pub type MixerRank = (usize, usize);

/// Slow start of searchers that have just started: the load that they may be given while they warm up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its full capacity that a searcher has when it starts.
    pub initial_capacity: f64,
    /// Time in which the capacity grows linearly to its full value.
    pub ramp: Span,
    /// A searcher may fail if its load exceeds this multiple of its capacity.
    pub overload_multiple: f64,
    /// How long the load must exceed it.
    pub overload_window: Span,
}

/// Limit on retries over a sliding window: `base` plus `ratio` times the requests received in the window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    pub base: f64,
    pub ratio: f64,
    pub window: Span,
}

/// What may be done with one part.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    pub max_attempts: usize,
    /// Whether a second attempt may be in flight while the first is.
    pub may_hedge: bool,
    /// Whether an attempt in flight may be cancelled.
    pub may_cancel: bool,
}

/// State of a searcher in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearcherState {
    Up,
    Draining,
    Gone,
}

/// One entry of the list of searchers.
#[derive(Clone, Debug, PartialEq)]
pub struct SearcherEntry {
    pub id: SearcherId,
    pub cell: Cell,
    pub zone: Option<Zone>,
    pub state: SearcherState,
    pub up_since: Option<Time>,
    pub rating: f64,
}

/// An update from discovery or from the fleet's shared state.
#[derive(Clone, Debug)]
pub enum PolicyUpdate {
    /// Changed entries only.
    Changes(Vec<SearcherEntry>),
    /// The complete list; searchers missing from it have been removed.
    All(Vec<SearcherEntry>),
    /// The complete list as last stored; it may be out of date.
    Cached(Vec<SearcherEntry>),
    /// A discovery call failed or the subscription was lost.
    Failed,
    /// Number of mixers that may be using their quota shares, where the fleet tracks its membership;
    /// otherwise the number in the settings applies.
    Mixers(usize),
    /// Every searcher that the fleet's mixers agree differs from its peers.
    Health(Vec<AgreedHealth>),
    /// What other mixers had observed of searchers when this mixer started.
    WarmStart(Vec<WarmStartEntry>),
    /// This mixer's shares of the budgets that the fleet shares.
    QuotaShares(Vec<(Budget, QuotaShare)>),
}

/// A budget that the whole fleet shares, in units per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Attempts of a part beyond its first.
    Retries,
    /// Attempts sent to searchers that are still warming up.
    Cold,
    /// New connections to searchers.
    Connections,
    /// Health checks of searchers.
    Probes,
    /// A tenant's quota.
    Tenant(TenantId),
}

/// What this mixer observed of a searcher, published to other mixers; no decision uses it. Latency in
/// seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SearcherObservation {
    pub id: SearcherId,
    /// The searcher's start time as listed; it identifies the incarnation that was observed.
    pub started_at: Option<Time>,
    pub latency: Option<f64>,
    /// EWMA of the fraction of attempts that succeeded.
    pub success_ratio: f64,
    pub last_outcome_at: Time,
    /// Send time of the oldest attempt in flight, if there was no outcome after it was sent.
    pub silent_since: Option<Time>,
    /// Since when every outcome has suggested a dead process.
    pub down_since: Option<Time>,
    /// When it came back after an outage and began to warm up, as inferred from its outcomes.
    pub cold_since: Option<Time>,
}

impl AgreedHealth {
    /// Whether the searcher is reported as worse than its peers.
    pub fn is_degraded(&self) -> bool {
        self.success_ratio < 1.0 || self.latency_ratio > 1.0
    }
}

/// Health of one searcher as agreed by several mixers.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreedHealth {
    pub id: SearcherId,
    /// Start time of the incarnation that the report is about.
    pub started_at: Option<Time>,
    /// Expected fraction of successful attempts, and latency as a multiple of its peers' latency.
    pub success_ratio: f64,
    pub latency_ratio: f64,
    pub cold_since: Option<Time>,
    /// Time of the latest observation behind the report.
    pub at: Time,
}

/// What another mixer had observed of a searcher up to `at`: latency in seconds and fraction of successful
/// attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmStartEntry {
    pub id: SearcherId,
    pub started_at: Option<Time>,
    pub latency: f64,
    pub success_ratio: f64,
    pub at: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Returned,
    Error,
    Overloaded,
    TimedOut,
    NoConnection,
    ConnectionLost,
    Cancelled,
    /// Its connection stalled while the searcher answered on another one; the part may have been executed.
    ConnectionStalled,
    /// Never transmitted: the part was finished, or out of time or attempts.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the part was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::NoConnection | Outcome::NotSent)
    }

    /// Whether a connection existed but no answer arrived.
    pub fn is_unanswered(self) -> bool {
        matches!(self, Outcome::ConnectionLost | Outcome::TimedOut | Outcome::Cancelled)
    }
}

/// One attempt to have a part served.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub to: SearcherId,
    pub sent_at: Time,
    pub outcome: Option<Outcome>,
}

/// One part of a multiget, served by a replica of its shard.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: Shard,
    pub weight: f64,
    /// Rough estimate of the work, if the host provides one.
    pub hint: Option<Span>,
    /// Whether the part belongs to the second step.
    pub second_step: bool,
    pub attempts: Vec<Attempt>,
    /// An answer has arrived.
    pub returned: bool,
    /// No further attempt will be made or awaited.
    pub closed: bool,
}

impl Part {
    /// The first attempt that is not known to have been left unexecuted.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|s| !s.outcome.is_some_and(Outcome::proves_not_executed))
    }
}

/// One multiget and the state of its parts.
#[derive(Clone, Debug)]
pub struct Multiget {
    pub id: MultigetId,
    /// Sequence number assigned by the host; it increases with each multiget.
    pub number: u64,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    /// The client marked this as a retry.
    pub resubmitted: bool,
    /// Rough estimate of the work of all parts, if the host provides one.
    pub hint: Option<Span>,
    pub arrived: Time,
    /// The client's deadline for this request.
    pub deadline: Time,
    /// Next time to call `Policy::decide`, from the last `Decision::recheck_after`.
    pub next_check: Time,
    pub parts: Vec<Part>,
    /// Set once the first step is answered: whether that answer was complete.
    pub first_answer: Option<bool>,
    /// The final reply was given; some attempts may still be in flight.
    pub ended: bool,
}

impl Multiget {
    /// The parts of the current step, with their indices.
    pub fn current_step(&self) -> impl Iterator<Item = (usize, &Part)> {
        let second_step = self.first_answer.is_some();
        self.parts.iter().enumerate().filter(move |(_, p)| p.second_step == second_step)
    }
}

/// An attempt that the host must send.
#[derive(Clone, Debug, PartialEq)]
pub struct SendCommand {
    /// Index of the part in the multiget.
    pub part: usize,
    pub to: SearcherId,
    pub timeout: Span,
    /// Close idle connections to the searcher first, so that the attempt uses a new one.
    pub fresh_connection: bool,
}

/// A reply to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Answered { complete: bool },
    PushedBack { retry_after: Option<Span> },
    Failed,
}

/// Inputs of admission control when it rejected a multiget of which nothing had been sent; for traces only.
/// Times in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionTrace {
    /// How far an idle replica's expected latency counts, from 0 (not at all) to 1 (fully).
    pub idle_weight: f64,
    /// Time that the multiget may plan to use.
    pub time_left: f64,
    /// Fraction of first tries not answered in time, which shortens the latency targets of retries.
    pub unserved: f64,
    /// This mixer's estimate of the fleet's median latency.
    pub peers: f64,
    /// The replica that would be picked for each part; `None` if no replica may be sent the part now.
    pub picks: Vec<Option<ReplicaEstimate>>,
}

/// A candidate replica: (searcher, expected latency, whether none of this mixer's attempts are in flight
/// there, time since its last outcome, fraction of successful attempts).
pub type ReplicaEstimate = (SearcherId, f64, bool, f64, f64);

/// What to do with one multiget now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Attempts to cancel before the commands are carried out, as (part index, attempt index).
    pub cancel: Vec<(usize, usize)>,
    pub commands: Vec<SendCommand>,
    pub reply: Option<Reply>,
    /// Call `Policy::decide` again after this long, even if nothing else happens.
    pub recheck_after: Option<Span>,
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCall {
    Subscribe,
}

/// The work that is due now, and when to call again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// Multigets to call `Policy::decide` for now, in this order.
    pub due: Vec<MultigetId>,
    pub discovery: Option<DiscoveryCall>,
    /// Call again after at most this long.
    pub next_call: Option<Span>,
}

/// The multigets that the host has accepted and not yet dropped.
pub type PendingMultigets = BTreeMap<MultigetId, Multiget>;

/// Factor by which a value with the given half-life has decayed after `elapsed`.
pub fn decay(half_life_s: u32, elapsed: Span) -> f64 {
    0.5f64.powf(elapsed.as_secs() / f64::from(half_life_s))
}

/// The value at index `len / one_in` of the sorted values: the median for 2, the lower quartile for 4.
pub fn quantile(one_in: usize, values: &mut [f64]) -> Option<f64> {
    let index = values.len() / one_in;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(index, f64::total_cmp).1)
}

/// A plain mean at first, then a moving average over about the last `SAMPLES` samples.
#[derive(Clone, Copy, Default)]
pub struct Mean<const SAMPLES: u32> {
    pub count: f64,
    pub value: f64,
}

impl<const SAMPLES: u32> Mean<SAMPLES> {
    pub fn record(&mut self, sample: f64) {
        self.count = (self.count + 1.0).min(f64::from(SAMPLES));
        blend(&mut self.value, sample, 1.0 / self.count);
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Fraction of events that failed, with `PRIOR_SUCCESSES` successes assumed beforehand: a plain mean at
/// first, then a moving average in which the newest event weighs about 1 / `SAMPLES`, so that it reaches
/// back about twice as many events. Decays with a half-life of `HALF_LIFE_S` seconds at any event rate.
pub struct FailureRatio<const SAMPLES: u32, const PRIOR_SUCCESSES: u32, const HALF_LIFE_S: u32> {
    failures: f64,
    total: f64,
    updated_at: Time,
}

impl<const SAMPLES: u32, const PRIOR_SUCCESSES: u32, const HALF_LIFE_S: u32>
    FailureRatio<SAMPLES, PRIOR_SUCCESSES, HALF_LIFE_S>
{
    pub fn new(updated_at: Time) -> Self {
        FailureRatio { failures: 0.0, total: 0.0, updated_at }
    }

    pub fn record(&mut self, now: Time, failed: bool) {
        let retained =
            decay(HALF_LIFE_S, now.since(self.updated_at)).min(f64::from(SAMPLES) / (self.total + 1.0));
        (self.failures, self.total, self.updated_at) =
            (self.failures * retained + f64::from(failed), self.total * retained + 1.0, now);
    }

    pub fn value(&self, now: Time) -> f64 {
        self.failures / (self.total + f64::from(PRIOR_SUCCESSES))
            * decay(HALF_LIFE_S, now.since(self.updated_at))
    }
}

/// Amount per second, averaged with a half-life of `HALF_LIFE_S` seconds.
#[derive(Clone, Copy, Default)]
pub struct Rate<const HALF_LIFE_S: u32> {
    amount: f64,
    updated_at: Time,
}

impl<const HALF_LIFE_S: u32> Rate<HALF_LIFE_S> {
    pub fn new(updated_at: Time) -> Self {
        Rate { amount: 0.0, updated_at }
    }

    pub fn add(&mut self, now: Time, amount: f64) {
        (self.amount, self.updated_at) =
            (self.amount * decay(HALF_LIFE_S, now.since(self.updated_at)) + amount, now);
    }

    pub fn per_second(&self, now: Time) -> f64 {
        self.amount * decay(HALF_LIFE_S, now.since(self.updated_at)) * std::f64::consts::LN_2
            / f64::from(HALF_LIFE_S)
    }
}

/// This mixer's quota share of one fleet budget, in units per second: its own part, and a part lent for a
/// limited time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaShare {
    pub own: f64,
    pub lent: f64,
    /// When the loan expires.
    pub until: Time,
}

impl QuotaShare {
    /// Units per second that may be spent at `now`.
    pub fn rate(&self, now: Time) -> f64 {
        self.own + if now < self.until { self.lent } else { 0.0 }
    }
}

/// Token bucket that meters spending of a quota share; without a share, spending is unlimited. The capacity
/// is a fifth of a second's share or one token, whichever is more: it absorbs bursts, yet all mixers
/// together never exceed the budget by much in any second.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    share: Option<QuotaShare>,
    tokens: f64,
    updated_at: Time,
    spend_rate: Rate<2>,
}

impl TokenBucket {
    /// Replaces the share from `now` on; tokens up to `now` accrue at the old share's rate.
    pub fn set(&mut self, now: Time, share: QuotaShare) {
        match self.share {
            Some(_) => self.fill(now),
            None => self.updated_at = now,
        }
        self.share = Some(share);
    }

    fn fill(&mut self, now: Time) {
        let Some(share) = self.share else { return };
        let lent_duration = share.until.min(now).since(self.updated_at.min(share.until));
        let gained = share.own * now.since(self.updated_at).as_secs() + share.lent * lent_duration.as_secs();
        self.tokens = (self.tokens + gained).min((share.rate(now) * 0.2).max(1.0));
        self.updated_at = self.updated_at.max(now);
    }

    /// Whether a token is available.
    pub fn has(&self, now: Time) -> bool {
        let mut bucket = *self;
        bucket.fill(now);
        bucket.share.is_none() || bucket.tokens >= 1.0
    }

    /// Spends a token; the caller has checked `has`.
    pub fn spend(&mut self, now: Time) {
        debug_assert!(self.has(now), "spending needs an available token");
        self.fill(now);
        self.tokens -= if self.share.is_some() { 1.0 } else { 0.0 };
        self.spend_rate.add(now, 1.0);
    }

    /// Spends a token if one is available.
    pub fn take(&mut self, now: Time) -> bool {
        let has = self.has(now);
        if has {
            self.spend(now);
        }
        has
    }

    /// Units spent per second.
    pub fn spend_rate(&self, now: Time) -> f64 {
        self.spend_rate.per_second(now)
    }
}

/// One token bucket for each budget; a budget without a share is unlimited, but its use is counted.
#[derive(Default)]
pub struct TokenBuckets(BTreeMap<Budget, TokenBucket>);

impl TokenBuckets {
    pub fn set(&mut self, now: Time, shares: &[(Budget, QuotaShare)]) {
        for (budget, share) in shares {
            self.0.entry(*budget).or_default().set(now, *share);
        }
    }

    pub fn has(&self, now: Time, budget: Budget) -> bool {
        self.0.get(&budget).is_none_or(|bucket| bucket.has(now))
    }

    /// Spends a token; the caller has checked `has`.
    pub fn spend(&mut self, now: Time, budget: Budget) {
        self.0.entry(budget).or_default().spend(now);
    }

    /// Counts an arrival that is not subject to the limit; returns the permitted rate per second if a share
    /// is set.
    pub fn record_arrival(&mut self, now: Time, budget: Budget) -> Option<f64> {
        let bucket = self.0.entry(budget).or_default();
        bucket.spend_rate.add(now, 1.0);
        bucket.share.map(|share| share.rate(now))
    }

    /// Units spent per second of each budget.
    pub fn spent(&self, now: Time) -> Vec<(Budget, f64)> {
        self.0.iter().map(|(budget, bucket)| (*budget, bucket.spend_rate(now))).collect()
    }
}
