//! Failure detection: the order in which members are probed, and what follows when no attempt is answered.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::probes::INDIRECT_PROBES;
use super::table::{MemberRecord, MixerName, State};
use super::wire::What;
use super::{Core, UNCONFIRMED_FACTOR, name_of};
use crate::proto;

impl Core {
    /// Starts the probe of the next live member.
    pub(super) fn probe_next(&mut self, now: Time) {
        for _ in 0..=self.probe_order.len() {
            if self.probe_index >= self.probe_order.len() {
                self.probe_index = 0;
                self.probe_order = self
                    .table
                    .iter()
                    .filter(|entry| entry.record.state.is_live())
                    .map(name_of)
                    .collect();
                self.probe_order.retain(|name| *name != self.local.name);
                // Shuffled in each round, so that members do not probe in lockstep.
                for last in (1..self.probe_order.len()).rev() {
                    let swap_with = self.rng.random_range(0..=last);
                    self.probe_order.swap(last, swap_with);
                }
            }
            let Some(target) = self.probe_order.get(self.probe_index).cloned() else {
                return;
            };
            self.probe_index += 1;
            let live = self
                .table
                .get(&target)
                .filter(|entry| entry.record.state.is_live());
            if let Some(generation) = live.map(|entry| entry.record.generation)
                && !self.probes.is_probing(&target)
            {
                let number =
                    self.probes
                        .start(now, self.config.probe_interval, target.clone(), generation);
                return self.ping(now, number, &target);
            }
        }
    }

    /// Retries a probe, also through other members.
    pub(super) fn probe_again(&mut self, now: Time, number: u32, target: &MixerName) {
        self.ping(now, number, target);
        let Some(at) = self.table.get(target).map(|entry| entry.record.address) else {
            return;
        };
        for helper in self.random_live_members(INDIRECT_PROBES, Some(target)) {
            let to = target.as_str().to_owned();
            let ask = proto::Ask {
                number,
                to,
                ip: u32::from(*at.ip()),
                port: at.port().into(),
            };
            let Some(at) = self.table.get(&helper).map(|entry| entry.record.address) else {
                continue;
            };
            self.send(now, at, Some(&helper), None, What::Ask(ask));
        }
    }

    /// Suspects a member that did not answer; it may refute that.
    pub(super) fn suspect(&mut self, now: Time, target: &MixerName, generation: u64) {
        self.counts.unreached += 1;
        let Some(entry) = self.table.get(target) else {
            return;
        };
        let record = entry.record.clone();
        if record.generation != generation || !record.state.is_live() {
            return;
        }
        self.counts.suspected += u64::from(record.state == State::Alive);
        let by = Some(self.local.name.clone());
        self.merge_record(
            now,
            MemberRecord {
                state: State::Suspect,
                by,
                age: Span::ZERO,
                ..record
            },
        );
    }

    /// How long a suspicion with this many witnesses waits to be refuted.
    pub(super) fn suspicion_timeout(&self, witnesses: usize) -> Span {
        // With at most two other members nobody else may be there to confirm a suspicion.
        let unconfirmed = witnesses < 2 && self.table.live_count() > 3;
        self.config.suspicion_timeout.times(
            self.probes.timeout_multiplier() * if unconfirmed { UNCONFIRMED_FACTOR } else { 1.0 },
        )
    }

    /// Pings one dead member, and one seed at whose address there is no live member, so that the parts of a partitioned
    /// fleet find each other however long the partition lasted.
    pub(super) fn reconnect(&mut self, now: Time) {
        if self.local.state != State::Alive {
            return;
        }
        let dead: Vec<MixerName> = self
            .table
            .iter()
            .filter(|entry| entry.record.state == State::Dead)
            .map(name_of)
            .collect();
        if !dead.is_empty() {
            let name = dead[self.rng.random_range(0..dead.len())].clone();
            let number = self.probes.next_number();
            self.ping(now, number, &name);
        }
        let has_live_member = |at: &SocketAddrV4| {
            self.table
                .iter()
                .any(|entry| entry.record.address == *at && entry.record.state.is_live())
        };
        let seeds: Vec<SocketAddrV4> = self
            .config
            .seeds
            .iter()
            .filter(|at| !has_live_member(at))
            .copied()
            .collect();
        if !seeds.is_empty() {
            let at = seeds[self.rng.random_range(0..seeds.len())];
            let ping = proto::Ping {
                number: self.probes.next_number(),
                to: String::new(),
            };
            self.send(now, at, None, None, What::Ping(ping));
        }
    }
}
