//! State of one searcher: its attempts in flight, its averages, and its slow start.

use super::admission::RECENT_S;
use crate::interface::*;
use crate::scoring::{NEWEST, blend};

/// The state of one searcher in this mixer's own view: its list entry, this mixer's attempts and averages,
/// and what other mixers reported of it.
pub(super) struct Searcher {
    pub(super) entry: SearcherEntry,
    /// When this mixer learned of its current incarnation.
    pub(super) listed_at: Time,
    /// When it began to warm up, as listed or as inferred from its outcomes.
    pub(super) cold_since: Option<Time>,
    /// Attempts in flight: send time, seconds of work beyond a usual part, and whether on an idle connection.
    pub(super) in_flight: Vec<(Time, f64, bool)>,
    /// EWMA of the number of attempts in flight.
    queue: f64,
    /// EWMA of latency in seconds, normalized to a part of usual work.
    pub(super) latency: Option<f64>,
    /// EWMA of the fraction of attempts that succeeded.
    pub(super) success_ratio: f64,
    pub(super) last_outcome_at: Time,
    pub(super) sent_at: Option<Time>,
    /// Since when all outcomes have been failures that suggest a dead process.
    pub(super) down_since: Option<Time>,
    /// Health as agreed by the fleet's mixers.
    pub(super) agreed: Option<AgreedHealth>,
}

/// Half-life in seconds of what is known of a searcher; a few seconds caused too many trial attempts.
pub(super) const HALF_LIFE_S: u32 = 20;

impl Searcher {
    pub(super) fn new(now: Time, entry: SearcherEntry) -> Self {
        let (listed_at, cold_since, last_outcome_at, success_ratio) = (now, entry.up_since, now, 1.0);
        let (in_flight, queue, latency, sent_at, down_since, agreed) = Default::default();
        Searcher {
            entry,
            listed_at,
            cold_since,
            in_flight,
            queue,
            latency,
            success_ratio,
            last_outcome_at,
            sent_at,
            down_since,
            agreed,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.entry.state == SearcherState::Up
    }

    /// Fraction of its full capacity that it has at least: it grows linearly during slow start.
    pub(super) fn capacity(&self, now: Time, rule: &SlowStart) -> f64 {
        let Some(start) = self.cold_since else { return 1.0 };
        let ramp_progress = now.since(start).as_secs() / rule.ramp.as_secs().max(1e-6);
        (rule.initial_capacity + (1.0 - rule.initial_capacity) * ramp_progress).min(1.0)
    }

    /// Records a send; returns whether it needs a new connection, as `avoid_idle` rules out an idle one.
    pub(super) fn begin(&mut self, now: Time, extra: f64, avoid_idle: bool) -> bool {
        // Far shorter than connection idle timeouts, longer than the gaps between sends under steady traffic.
        const IDLE_AFTER: Span = Span::from_millis(250);
        let last_used = self.sent_at.map(|at| at.max(self.last_outcome_at));
        let idle = self.in_flight.is_empty() && last_used.is_some_and(|at| now.since(at) > IDLE_AFTER);
        self.in_flight.push((now, extra, idle && !avoid_idle));
        blend(&mut self.queue, self.in_flight.len() as f64, NEWEST);
        self.sent_at = Some(now);
        idle && avoid_idle
    }

    /// Records an outcome. Returns whether the attempt used an idle connection, and its normalized latency. A
    /// failure never makes a searcher look faster than its peers.
    pub(super) fn end(&mut self, now: Time, sent: &Attempt, took: Span, peers: f64) -> Option<(bool, f64)> {
        let outcome = sent.outcome.unwrap_or(Outcome::NotSent);
        let index = self.in_flight.iter().position(|(at, ..)| *at == sent.sent_at)?;
        let (_, extra, idle) = self.in_flight.swap_remove(index);
        blend(&mut self.queue, self.in_flight.len() as f64, NEWEST);
        if matches!(outcome, Outcome::NotSent | Outcome::ConnectionStalled) {
            return None;
        }
        // Queueing affects all parts alike, work does not: time for more than the usual work is subtracted.
        let sample = (took.as_secs() - extra).max(took.as_secs() * 0.2);
        let returned = outcome == Outcome::Returned;
        let value = if returned { sample } else { sample.max(peers).max(self.latency.unwrap_or(0.0)) };
        let averages = self.averages(now, peers);
        // The queue changes within seconds: the older the last sample, the more the new one weighs.
        let newest = 1.0 - (1.0 - NEWEST).powf(1.0 + now.since(self.last_outcome_at).as_secs());
        self.latency = Some(self.latency.map_or(value, |_| averages.0 + (value - averages.0) * newest));
        self.success_ratio = averages.1;
        // A loss on an idle connection is not the searcher's fault: a middlebox may have dropped it.
        if outcome != Outcome::Cancelled && !(idle && outcome.is_unanswered()) {
            // A refused connection is nearly proof that the searcher is down; an error or a lost part is not.
            let weight = if outcome == Outcome::NoConnection { 0.9 } else { NEWEST };
            blend(&mut self.success_ratio, f64::from(returned), weight);
        }
        self.last_outcome_at = now;
        // Detects a restart that no list has reported yet: outcomes of a dead process, then an answer. Pauses
        // and queues are shorter; a longer hang is mistaken for a restart, which costs some traffic.
        const MIN_OUTAGE: Span = Span::from_millis(2_000);
        let dead = matches!(outcome, Outcome::NoConnection | Outcome::ConnectionLost | Outcome::TimedOut);
        if dead && !idle {
            self.down_since.get_or_insert(now);
        } else if let Some(since) = self.down_since.take_if(|_| returned)
            && now.since(since) > MIN_OUTAGE
            && self.cold_since.is_none_or(|start| start < since)
        {
            self.cold_since = Some(now);
        }
        Some((idle, sample))
    }

    /// Current averages of latency, success and queue. A replica that was slow once gets few parts to correct
    /// them, so without attempts in flight or outcomes they drift toward those of its peers.
    pub(super) fn averages(&self, now: Time, peers: f64) -> (f64, f64, f64) {
        let kept =
            if self.in_flight.is_empty() { decay(HALF_LIFE_S, now.since(self.last_outcome_at)) } else { 1.0 };
        let latency = self.latency.unwrap_or(peers);
        // Newer reports from other mixers replace own observations, and fade unless they are repeated.
        let agreed = self.agreed.as_ref().filter(|a| a.at > self.last_outcome_at);
        let (agreed_weight, success, slowdown) = agreed.map_or((0.0, 1.0, 1.0), |a| {
            (decay(RECENT_S, now.since(a.at)), a.success_ratio, a.latency_ratio)
        });
        let merge = |peers: f64, own: f64, agreed: f64| {
            let faded = peers + (own - peers) * kept;
            faded + (agreed - faded) * agreed_weight
        };
        (merge(peers, latency, peers * slowdown), merge(1.0, self.success_ratio, success), self.queue * kept)
    }

    /// Expected latency in seconds of a part of usual work.
    pub(super) fn expected(&self, now: Time, peers: f64, work: f64, rule: &SlowStart) -> f64 {
        // A searcher that drops parts shows only as attempts that age: the oldest is a lower bound.
        let ages = self.in_flight.iter().map(|(sent_at, extra, _)| now.since(*sent_at).as_secs() - extra);
        // A searcher in slow start looks idle: its latency is bounded by its reduced capacity.
        ages.fold(self.averages(now, peers).0, f64::max).max(work / self.capacity(now, rule))
    }
}
