//! What this mixer is to its fleet: how it comes in, what it says to what others say of it, and how it leaves.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::table::{Record, State};
use super::wire::What;
use super::{Core, TOLD_DIRECTLY};
use crate::proto;

/// Tries to find others before a mixer counts as the first of its fleet.
const ALONE_AFTER: f64 = 10.0;
/// How often a mixer whose name is taken looks whether it has become free, in probes.
const ASK_AGAIN: f64 = 5.0;

pub(super) struct Joining {
    /// Whoever has answered.
    pub heard: bool,
    /// Where a living process of the same name is.
    pub taken: Option<SocketAddrV4>,
    alone_at: Time,
    ask_at: Time,
    seeds: bool,
}

impl Joining {
    pub fn new(now: Time, every: Span, seeds: bool) -> Self {
        let alone_at = now + every.times(ALONE_AFTER);
        Joining {
            heard: false,
            taken: None,
            alone_at,
            ask_at: now,
            seeds,
        }
    }

    pub fn may_claim(&self) -> bool {
        self.taken.is_none() && self.heard
    }
}

impl Core {
    /// Asks a seed to be let in, until one answers or it is clear that nobody does.
    pub(super) fn join(&mut self, now: Time) {
        let alone = self.standing.taken.is_none()
            && (!self.standing.seeds || now >= self.standing.alone_at);
        if alone {
            return self.claim(now);
        }
        if now < self.standing.ask_at {
            return;
        }
        if self.standing.taken.take().is_some() {
            // What the next answer says of the name counts.
            self.standing.ask_at = now + self.plan.probe_every.times(ASK_AGAIN);
        }
        let others: Vec<SocketAddrV4> = self
            .plan
            .seeds
            .iter()
            .filter(|at| **at != self.me.address)
            .copied()
            .collect();
        if !others.is_empty() {
            let at = others[self.rng.random_range(0..others.len())];
            let ping = proto::Ping {
                number: self.probes.number(),
                to: String::new(),
            };
            self.send(now, at, None, None, What::Ping(ping));
        }
    }

    /// From here on it is a member.
    pub(super) fn claim(&mut self, now: Time) {
        if let Some(held) = self.table.get(&self.me.name) {
            self.me.generation = self
                .me
                .generation
                .max(held.record.generation.saturating_add(1));
        }
        self.me.state = State::Alive;
        self.say(now);
    }

    /// Holds what it says of itself.
    fn say(&mut self, now: Time) {
        self.table.put(now, self.me.clone());
        self.recount(now);
    }

    /// What others say of this name.
    pub(super) fn of_myself(&mut self, now: Time, said: Record) {
        if said.state == State::Joining
            || (self.me.state != State::Joining && said.key() <= self.me.key())
        {
            return;
        }
        let elsewhere = said.address != self.me.address && said.state.lives();
        if self.me.state == State::Joining {
            let held = self.table.get(&said.name).map(|held| held.record.key());
            if held.is_none_or(|held| held < said.key()) {
                self.table.put(now, said.clone());
            }
            if elsewhere && said.born != self.me.born {
                self.standing.taken = Some(said.address);
            } else if said.key() >= self.me.key() {
                // A former life, perhaps of a clock that was ahead: this one comes after it.
                self.me.generation = said.generation.saturating_add(1);
            }
            return;
        }
        // Two processes of one name: the one that was there first keeps it, whatever their generations say.
        if elsewhere && (said.born, said.address) < (self.me.born, self.me.address) {
            self.me.state = State::Joining;
            self.standing.taken = Some(said.address);
            self.standing.ask_at = now + self.plan.probe_every.times(ASK_AGAIN);
            self.table.put(now, said);
            self.recount(now);
            return;
        }
        if said.generation > self.me.generation {
            (self.me.generation, self.me.incarnation) = (said.generation.saturating_add(1), 0);
        } else {
            self.me.incarnation = said.incarnation.saturating_add(1);
        }
        self.counts.refuted += 1;
        self.say(now);
        self.tell_directly(now, || What::Notice(proto::Notice {}));
    }

    /// Some members hear at once what this mixer now says of itself; the others by news.
    fn tell_directly(&mut self, now: Time, what: impl Fn() -> What) {
        for name in self.some(TOLD_DIRECTLY, None) {
            if let Some(at) = self.table.get(&name).map(|held| held.record.address) {
                self.send(now, at, Some(&name), None, what());
            }
        }
    }

    /// An operator's word: this mixer leaves. It still answers, and says so.
    pub fn leave(&mut self, now: Time) {
        if self.me.state == State::Joining {
            return;
        }
        self.me.state = State::Left;
        self.say(now);
        self.tell_directly(now, || What::Notice(proto::Notice {}));
    }
}
