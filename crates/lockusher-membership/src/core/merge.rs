//! Merging member records: which one takes precedence, when a suspicion becomes a death, and what is gossiped on.

use std::cmp::Reverse;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::table::{MemberRecord, MixerName, State, Suspicion};
use super::wire::What;
use super::{Change, Core, MAX_INCARNATION_JUMP, MAX_RELAYED_REFUTATIONS, REFUTATION_WINDOW};
use crate::proto;

impl Core {
    /// Ends a suspicion or forgets a member, if its time is over.
    pub(super) fn handle_timer(&mut self, now: Time, name: &MixerName) {
        let Some(entry) = self.table.get(name) else {
            return;
        };
        let record = entry.record.clone();
        match (record.state, &entry.suspicion) {
            // A mixer that is not a member receives too little to declare a death.
            (State::Suspect, Some(suspicion))
                if suspicion.until <= now && self.local.state == State::Alive =>
            {
                let by = suspicion.witnesses.first().cloned();
                self.merge_record(
                    now,
                    MemberRecord {
                        state: State::Dead,
                        by,
                        age: Span::ZERO,
                        ..record
                    },
                );
            }
            (State::Dead | State::Left, _) if now.since(entry.since) >= self.config.retention => {
                self.table.remove(name);
                self.gossip.remove(name);
                self.changes.push(Change {
                    from: Some(record.state),
                    member: record,
                });
                self.update_counted(now);
            }
            _ => {}
        }
    }

    /// Merges a record of any member; returns whether it changed anything.
    pub(super) fn merge_record(&mut self, now: Time, record: MemberRecord) -> bool {
        if record.name == self.local.name {
            self.handle_own_record(now, record);
            return false;
        }
        if record.state == State::Joining {
            return false;
        }
        let old = self.table.get(&record.name);
        match old {
            // A dead member that was already forgotten, or never known, is ignored once its retention time is over.
            None if !record.state.is_live() && record.age >= self.config.retention => return false,
            Some(old) if record.rank() == old.record.rank() => return self.confirm(now, record),
            Some(old) if record.rank() < old.record.rank() => return false,
            Some(old)
                if record.generation == old.record.generation
                    && record.incarnation - old.record.incarnation > MAX_INCARNATION_JUMP =>
            {
                self.counts.drops.far_off += 1;
                return false;
            }
            _ => {}
        }
        let previous_state = old.map(|old| old.record.state);
        let is_refutation = old.is_some_and(|old| {
            record.state == State::Alive && record.generation == old.record.generation
        });
        let record = self.table.intern(record);
        let may_relay = !is_refutation || self.may_relay_refutation(now, &record.name);
        let (name, state, by) = (record.name.clone(), record.state, record.by.clone());
        if previous_state != Some(state) || !is_refutation {
            self.changes.push(Change {
                member: record.clone(),
                from: previous_state,
            });
        }
        self.table.insert(now, record);
        match state {
            State::Suspect => self.start_suspicion(now, &name, by),
            State::Dead | State::Left => {
                let since = self.table.get(&name).map_or(now, |entry| entry.since);
                self.timers
                    .push(Reverse((since + self.config.retention, name.clone())));
            }
            // A new member is probed within the current round.
            _ if !previous_state.is_some_and(State::is_live) => {
                self.probe_order.push(name.clone());
                let last = self.probe_order.len() - 1;
                let probe_slot = self.rng.random_range(self.probe_index.min(last)..=last);
                self.probe_order.swap(probe_slot, last);
            }
            _ => {}
        }
        if may_relay {
            self.gossip.add(&name);
        }
        // An additional member counts at once; a missing one at the next periodic check.
        self.counted = self.counted.max(self.table.live_count());
        true
    }

    /// Whether a refutation is gossiped on: a member that refutes endlessly must not fill all datagrams.
    pub(super) fn may_relay_refutation(&mut self, now: Time, name: &MixerName) -> bool {
        let mut may_relay = false;
        self.table.update_entry(name, |entry| {
            let (since, count) = entry.relayed_refutations;
            let window_over = now.since(since) >= REFUTATION_WINDOW;
            entry.relayed_refutations = if window_over {
                (now, 1)
            } else {
                (since, count + 1)
            };
            may_relay = entry.relayed_refutations.1 <= MAX_RELAYED_REFUTATIONS;
        });
        may_relay
    }

    /// Starts the timer of a suspicion.
    pub(super) fn start_suspicion(&mut self, now: Time, name: &MixerName, by: Option<MixerName>) {
        let until = now + self.suspicion_timeout(1);
        let is_first_witness = by.as_ref() == Some(&self.local.name);
        let witnesses = by.into_iter().collect();
        self.table.update_entry(name, |entry| {
            entry.suspicion = Some(Suspicion {
                until,
                since: now,
                witnesses,
            });
        });
        self.timers.push(Reverse((until, name.clone())));
        // The suspect learns of it at once and not by chance, but from the first witness only, not from every member
        // that receives the suspicion.
        if is_first_witness && let Some(at) = self.table.get(name).map(|entry| entry.record.address)
        {
            let ping = proto::Ping {
                number: self.probes.next_number(),
                to: name.as_str().to_owned(),
            };
            self.send(now, at, Some(name), None, What::Ping(ping));
        }
    }

    /// A second witness shortens a suspicion; this is gossiped on once.
    pub(super) fn confirm(&mut self, now: Time, record: MemberRecord) -> bool {
        let MemberRecord {
            name,
            state,
            by: Some(by),
            ..
        } = record
        else {
            return false;
        };
        let confirmed_timeout = self.suspicion_timeout(2);
        let mut until = None;
        self.table.update_entry(&name, |entry| {
            if let Some(suspicion) = entry.suspicion.as_mut().filter(|_| state == State::Suspect)
                && suspicion.witnesses.len() == 1
                && !suspicion.witnesses.contains(&by)
            {
                suspicion.witnesses.push(by.clone());
                entry.record.by = Some(by);
                suspicion.until = suspicion.until.min(suspicion.since + confirmed_timeout);
                until = Some(suspicion.until);
            }
        });
        let Some(until) = until else { return false };
        self.timers.push(Reverse((until.max(now), name.clone())));
        // Gossiped on with the name of the second witness.
        self.gossip.add(&name);
        true
    }
}
