//! The record of one searcher: what is in flight there, its averages, and whether it warms up.

use super::gate::FADES;
use crate::interface::*;
use crate::scoring::{NEWEST, blend};

/// The record of one searcher; nothing about it is kept anywhere else.
pub(super) struct Searcher {
    pub(super) listed: Listed,
    /// When this mixer learned of its present life.
    pub(super) told_at: Time,
    /// When it began to warm up, by the list or by its symptoms.
    pub(super) cold_since: Option<Time>,
    /// This mixer's sends in flight there: when each left, what its work adds to a usual part's seconds, and
    /// whether it went on a connection that had not been used for a while.
    pub(super) out: Vec<(Time, f64, bool)>,
    /// EWMA of the number of sends in flight.
    queue: f64,
    /// EWMA of latency in seconds, as of a part of usual weight.
    pub(super) latency: Option<f64>,
    /// EWMA of the share of sends that did not fail.
    pub(super) good: f64,
    pub(super) heard: Time,
    pub(super) sent_at: Option<Time>,
    /// Since when it has returned only failures that hint at a dead process.
    pub(super) down_since: Option<Time>,
    /// What other mixers saw of it.
    pub(super) told: Option<Judged>,
}

/// Half-life in seconds of what was learned of a searcher; with a few seconds, trials came too often.
pub(super) const MEMORY: u32 = 20;

impl Searcher {
    pub(super) fn new(now: Time, listed: Listed) -> Self {
        let (told_at, cold_since, heard, good) = (now, listed.up_since, now, 1.0);
        let (out, queue, latency, sent_at, down_since, told) = Default::default();
        Searcher { listed, told_at, cold_since, out, queue, latency, good, heard, sent_at, down_since, told }
    }

    pub(super) fn is_up(&self) -> bool {
        self.listed.state == SearcherState::Up
    }

    /// The share of its capacity that it surely has: a searcher that starts cold warms up evenly.
    pub(super) fn capacity(&self, now: Time, cold: &ColdRule) -> f64 {
        let Some(start) = self.cold_since else { return 1.0 };
        let warmth = now.since(start).as_secs() / cold.ramp.as_secs().max(1e-6);
        (cold.starts_at + (1.0 - cold.starts_at) * warmth).min(1.0)
    }

    /// Notes a send; tells whether it wants a new connection, as a wary one does not go on an unused one.
    pub(super) fn sent(&mut self, now: Time, extra: f64, wary: bool) -> bool {
        // Far shorter than what keeps a connection open, longer than the gaps of steady traffic.
        const UNUSED: Span = Span::from_millis(250);
        let used = self.sent_at.map(|at| at.max(self.heard));
        let unused = self.out.is_empty() && used.is_some_and(|at| now.since(at) > UNUSED);
        self.out.push((now, extra, unused && !wary));
        blend(&mut self.queue, self.out.len() as f64, NEWEST);
        self.sent_at = Some(now);
        unused && wary
    }

    /// Feeds one outcome; tells whether it was on an unused connection, and the latency if it returned. A
    /// failure never makes a searcher look quicker than its peers.
    pub(super) fn ended(&mut self, now: Time, send: &Send, elapsed: Span, peers: f64) -> Option<(bool, f64)> {
        let outcome = send.outcome.unwrap_or(Outcome::Moot);
        let place = self.out.iter().position(|(at, ..)| *at == send.at)?;
        let (_, extra, unused) = self.out.swap_remove(place);
        blend(&mut self.queue, self.out.len() as f64, NEWEST);
        if matches!(outcome, Outcome::Moot | Outcome::Lost) {
            return None;
        }
        // Waiting is common to all parts, work is not: what is more than usual of it comes off.
        let sample = (elapsed.as_secs() - extra).max(elapsed.as_secs() * 0.2);
        let returned = outcome == Outcome::Returned;
        let fed = if returned { sample } else { sample.max(peers).max(self.latency.unwrap_or(0.0)) };
        let learned = self.learned(now, peers);
        // A queue is another one after some seconds: the longer ago the last sample, the more this weighs.
        let newest = 1.0 - (1.0 - NEWEST).powf(1.0 + now.since(self.heard).as_secs());
        self.latency = Some(self.latency.map_or(fed, |_| learned.0 + (fed - learned.0) * newest));
        self.good = learned.1;
        // What is lost on an unused connection says nothing of the searcher: a middlebox may have dropped it.
        if outcome != Outcome::Withdrawn && !(unused && outcome.came_to_nothing()) {
            // A refused connection nearly proves that it is down; an error or a lost part does not.
            let weight = if outcome == Outcome::NoConnection { 0.9 } else { NEWEST };
            blend(&mut self.good, f64::from(returned), weight);
        }
        self.heard = now;
        // Guards against a process that came back cold before any list said so: silence or a broken
        // connection, then an answer. A long hang costs it some traffic; pauses and queues are shorter.
        const DEAD_FOR: Span = Span::from_millis(2_000);
        let dead = matches!(outcome, Outcome::NoConnection | Outcome::Broken | Outcome::TimedOut);
        if dead && !unused {
            self.down_since.get_or_insert(now);
        } else if let Some(since) = self.down_since.take_if(|_| returned)
            && now.since(since) > DEAD_FOR
            && self.cold_since.is_none_or(|start| start < since)
        {
            self.cold_since = Some(now);
        }
        Some((unused, sample))
    }

    /// Its averages of latency, good sends and queue, as far as they still count. A replica slowed once gets
    /// few parts to correct them, so with nothing in flight or heard they drift to those of its peers.
    pub(super) fn learned(&self, now: Time, peers: f64) -> (f64, f64, f64) {
        let memory = if self.out.is_empty() { half_in(MEMORY, now.since(self.heard)) } else { 1.0 };
        let latency = self.latency.unwrap_or(peers);
        // What others saw since this mixer heard from it stands in, and fades unless they see it again.
        let said = self.told.as_ref().filter(|said| said.at > self.heard);
        let (told, good, slower) =
            said.map_or((0.0, 1.0, 1.0), |said| (half_in(FADES, now.since(said.at)), said.good, said.slower));
        let toward = |peers: f64, own: f64, said: f64| {
            let alone = peers + (own - peers) * memory;
            alone + (said - alone) * told
        };
        (toward(peers, latency, peers * slower), toward(1.0, self.good, good), self.queue * memory)
    }

    /// What a part of usual weight is expected to take here, in seconds.
    pub(super) fn expected(&self, now: Time, peers: f64, work: f64, cold: &ColdRule) -> f64 {
        // One that swallows parts shows only by sends getting old: the oldest is a lower bound.
        let ages = self.out.iter().map(|(at, extra, _)| now.since(*at).as_secs() - extra);
        // One that starts cold looks empty: it is slow until it has had time to warm.
        ages.fold(self.learned(now, peers).0, f64::max).max(work / self.capacity(now, cold))
    }
}
