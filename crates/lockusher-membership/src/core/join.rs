//! The lifecycle of the local member: joining the fleet, answering what others report about it, and leaving.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::table::{MemberRecord, State};
use super::wire::What;
use super::{Core, DIRECT_NOTICES};
use crate::proto;

/// After this many probe intervals without an answer, a mixer becomes the first member of its fleet.
const BOOTSTRAP_PROBES: f64 = 10.0;
/// A mixer whose name is in use checks at this interval, in probe intervals, whether the name is free.
const NAME_RECHECK_PROBES: f64 = 5.0;

/// How far this mixer has come in joining its fleet.
pub(super) struct JoinState {
    /// Whether any member has answered.
    pub answered: bool,
    /// The address of another live process of the same name.
    pub name_holder: Option<SocketAddrV4>,
    bootstrap_at: Time,
    next_attempt: Time,
    has_other_seeds: bool,
}

impl JoinState {
    pub fn new(now: Time, probe_interval: Span, has_other_seeds: bool) -> Self {
        let bootstrap_at = now + probe_interval.times(BOOTSTRAP_PROBES);
        JoinState {
            answered: false,
            name_holder: None,
            bootstrap_at,
            next_attempt: now,
            has_other_seeds,
        }
    }

    /// Whether a member has answered and the name is free.
    pub fn may_become_member(&self) -> bool {
        self.name_holder.is_none() && self.answered
    }
}

impl Core {
    /// Pings a seed until one answers, or until it is clear that none will.
    pub(super) fn try_join(&mut self, now: Time) {
        let bootstraps = self.join.name_holder.is_none()
            && (!self.join.has_other_seeds || now >= self.join.bootstrap_at);
        if bootstraps {
            return self.become_member(now);
        }
        if now < self.join.next_attempt {
            return;
        }
        if self.join.name_holder.take().is_some() {
            // The next answer decides whether the name is still in use.
            self.join.next_attempt = now + self.config.probe_interval.times(NAME_RECHECK_PROBES);
        }
        let others: Vec<SocketAddrV4> = self
            .config
            .seeds
            .iter()
            .filter(|at| **at != self.local.address)
            .copied()
            .collect();
        if !others.is_empty() {
            let at = others[self.rng.random_range(0..others.len())];
            let ping = proto::Ping {
                number: self.probes.next_number(),
                to: String::new(),
            };
            self.send(now, at, None, None, What::Ping(ping));
        }
    }

    /// Becomes a member.
    pub(super) fn become_member(&mut self, now: Time) {
        if let Some(entry) = self.table.get(&self.local.name) {
            self.local.generation = self
                .local
                .generation
                .max(entry.record.generation.saturating_add(1));
        }
        self.local.state = State::Alive;
        self.publish_local(now);
    }

    /// Stores the record of the local member.
    fn publish_local(&mut self, now: Time) {
        self.table.insert(now, self.local.clone());
        self.update_counted(now);
    }

    /// Handles a record of the local name that another member sent.
    pub(super) fn handle_own_record(&mut self, now: Time, record: MemberRecord) {
        if record.state == State::Joining
            || (self.local.state != State::Joining && record.rank() <= self.local.rank())
        {
            return;
        }
        let other_live_process = record.address != self.local.address && record.state.is_live();
        if self.local.state == State::Joining {
            let known = self
                .table
                .get(&record.name)
                .map(|entry| entry.record.rank());
            if known.is_none_or(|known| known < record.rank()) {
                self.table.insert(now, record.clone());
            }
            if other_live_process && record.born != self.local.born {
                self.join.name_holder = Some(record.address);
            } else if record.rank() >= self.local.rank() {
                // A record of an earlier process, perhaps with a clock that was ahead: the local generation must exceed
                // it.
                self.local.generation = record.generation.saturating_add(1);
            }
            return;
        }
        // Two processes with one name: the one started first keeps it, whatever their generations are.
        if other_live_process
            && (record.born, record.address) < (self.local.born, self.local.address)
        {
            self.local.state = State::Joining;
            self.join.name_holder = Some(record.address);
            self.join.next_attempt = now + self.config.probe_interval.times(NAME_RECHECK_PROBES);
            self.table.insert(now, record);
            self.update_counted(now);
            return;
        }
        if record.generation > self.local.generation {
            (self.local.generation, self.local.incarnation) =
                (record.generation.saturating_add(1), 0);
        } else {
            self.local.incarnation = record.incarnation.saturating_add(1);
        }
        self.counts.refuted += 1;
        self.publish_local(now);
        self.notify_members(now, || What::Notice(proto::Notice {}));
    }

    /// Sends the changed local record to a few members at once; the others receive it by gossip.
    fn notify_members(&mut self, now: Time, body: impl Fn() -> What) {
        for name in self.random_live_members(DIRECT_NOTICES, None) {
            if let Some(at) = self.table.get(&name).map(|entry| entry.record.address) {
                self.send(now, at, Some(&name), None, body());
            }
        }
    }

    /// Leaves the fleet on request of the operator. The mixer announces this and goes on answering.
    pub fn leave(&mut self, now: Time) {
        if self.local.state == State::Joining {
            return;
        }
        self.local.state = State::Left;
        self.publish_local(now);
        self.notify_members(now, || What::Notice(proto::Notice {}));
    }
}
