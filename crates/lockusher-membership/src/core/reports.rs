//! Reports of members: which one counts, when a suspicion becomes a death, and what is told on.

use std::cmp::Reverse;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::table::{MixerName, Record, State, Suspicion};
use super::wire::What;
use super::{Change, Core, FAR_OFF, MOST_REFUTES, REFUTES_IN};
use crate::proto;

impl Core {
    pub(super) fn alarm(&mut self, now: Time, name: &MixerName) {
        let Some(held) = self.table.get(name) else {
            return;
        };
        let record = held.record.clone();
        match (record.state, &held.suspicion) {
            // One that is no member is told too little to believe a death.
            (State::Suspect, Some(suspicion))
                if suspicion.until <= now && self.me.state == State::Alive =>
            {
                let by = suspicion.witnesses.first().cloned();
                self.take(
                    now,
                    Record {
                        state: State::Dead,
                        by,
                        age: Span::ZERO,
                        ..record
                    },
                );
            }
            (State::Dead | State::Left, _) if now.since(held.since) >= self.plan.remember => {
                self.table.forget(name);
                self.news.remove(name);
                self.changes.push(Change {
                    from: Some(record.state),
                    member: record,
                });
                self.recount(now);
            }
            _ => {}
        }
    }

    /// Takes a report of any member; tells whether it was news.
    pub(super) fn take(&mut self, now: Time, record: Record) -> bool {
        if record.name == self.me.name {
            self.of_myself(now, record);
            return false;
        }
        if record.state == State::Joining {
            return false;
        }
        let old = self.table.get(&record.name);
        match old {
            // What is dead and was forgotten, or never met, is no news after its time.
            None if !record.state.lives() && record.age >= self.plan.remember => return false,
            Some(old) if record.key() == old.record.key() => return self.confirm(now, record),
            Some(old) if record.key() < old.record.key() => return false,
            Some(old)
                if record.generation == old.record.generation
                    && record.incarnation - old.record.incarnation > FAR_OFF =>
            {
                self.counts.drops.far_off += 1;
                return false;
            }
            _ => {}
        }
        let before = old.map(|old| old.record.state);
        let refutes = old.is_some_and(|old| {
            record.state == State::Alive && record.generation == old.record.generation
        });
        let record = self.table.in_held_letters(record);
        let relayed = !refutes || self.relays(now, &record.name);
        let (name, state, by) = (record.name.clone(), record.state, record.by.clone());
        if before != Some(state) || !refutes {
            self.changes.push(Change {
                member: record.clone(),
                from: before,
            });
        }
        self.table.put(now, record);
        match state {
            State::Suspect => self.suspect(now, &name, by),
            State::Dead | State::Left => {
                let since = self.table.get(&name).map_or(now, |held| held.since);
                self.alarms
                    .push(Reverse((since + self.plan.remember, name.clone())));
            }
            // One that has just come is probed within the round that runs.
            _ if !before.is_some_and(State::lives) => {
                self.round.push(name.clone());
                let last = self.round.len() - 1;
                let place = self.rng.random_range(self.place.min(last)..=last);
                self.round.swap(place, last);
            }
            _ => {}
        }
        if relayed {
            self.news.add(&name);
        }
        // One more counts at once; one less is looked at now and then.
        self.counted = self.counted.max(self.table.living());
        true
    }

    /// Whether a refutation is told on: a member that refutes for ever must not fill all datagrams.
    pub(super) fn relays(&mut self, now: Time, name: &MixerName) -> bool {
        let mut relayed = false;
        self.table.mind(name, |held| {
            let (since, count) = held.refutes;
            let fresh = now.since(since) >= REFUTES_IN;
            held.refutes = if fresh { (now, 1) } else { (since, count + 1) };
            relayed = held.refutes.1 <= MOST_REFUTES;
        });
        relayed
    }

    pub(super) fn suspect(&mut self, now: Time, name: &MixerName, by: Option<MixerName>) {
        let until = now + self.suspicion_for(1);
        let own = by.as_ref() == Some(&self.me.name);
        let witnesses = by.into_iter().collect();
        self.table.mind(name, |held| {
            held.suspicion = Some(Suspicion {
                until,
                since: now,
                witnesses,
            });
        });
        self.alarms.push(Reverse((until, name.clone())));
        // It learns of it at once, and not by chance; from the first witness, not from all that hear of it.
        if own && let Some(at) = self.table.get(name).map(|held| held.record.address) {
            let ping = proto::Ping {
                number: self.probes.number(),
                to: name.as_str().to_owned(),
            };
            self.send(now, at, Some(name), None, What::Ping(ping));
        }
    }

    /// A second witness of a suspicion shortens it; it is told on once.
    pub(super) fn confirm(&mut self, now: Time, record: Record) -> bool {
        let Record {
            name,
            state,
            by: Some(by),
            ..
        } = record
        else {
            return false;
        };
        let short = self.suspicion_for(2);
        let mut until = None;
        self.table.mind(&name, |held| {
            if let Some(suspicion) = held.suspicion.as_mut().filter(|_| state == State::Suspect)
                && suspicion.witnesses.len() == 1
                && !suspicion.witnesses.contains(&by)
            {
                suspicion.witnesses.push(by.clone());
                held.record.by = Some(by);
                suspicion.until = suspicion.until.min(suspicion.since + short);
                until = Some(suspicion.until);
            }
        });
        let Some(until) = until else { return false };
        self.alarms.push(Reverse((until.max(now), name.clone())));
        // Told on with the second witness's name.
        self.news.add(&name);
        true
    }
}
