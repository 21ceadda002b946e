//! Whom this mixer probes, and what follows where nobody answers.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::probes::HELPERS;
use super::table::{MixerName, Record, State};
use super::wire::What;
use super::{ALONE, Core, name_of};
use crate::proto;

impl Core {
    pub(super) fn probe_next(&mut self, now: Time) {
        for _ in 0..=self.round.len() {
            if self.place >= self.round.len() {
                self.place = 0;
                self.round = self
                    .table
                    .iter()
                    .filter(|held| held.record.state.lives())
                    .map(name_of)
                    .collect();
                self.round.retain(|name| *name != self.me.name);
                // Shuffled anew each round: who probes whom, and when, is never in step.
                for last in (1..self.round.len()).rev() {
                    let other = self.rng.random_range(0..=last);
                    self.round.swap(last, other);
                }
            }
            let Some(target) = self.round.get(self.place).cloned() else {
                return;
            };
            self.place += 1;
            let lives = self
                .table
                .get(&target)
                .filter(|held| held.record.state.lives());
            if let Some(generation) = lives.map(|held| held.record.generation)
                && !self.probes.probes(&target)
            {
                let number =
                    self.probes
                        .begin(now, self.plan.probe_every, target.clone(), generation);
                return self.ping(now, number, &target);
            }
        }
    }

    pub(super) fn probe_again(&mut self, now: Time, number: u32, target: &MixerName) {
        self.ping(now, number, target);
        let Some(at) = self.table.get(target).map(|held| held.record.address) else {
            return;
        };
        for helper in self.some(HELPERS, Some(target)) {
            let to = target.as_str().to_owned();
            let ask = proto::Ask {
                number,
                to,
                ip: u32::from(*at.ip()),
                port: at.port().into(),
            };
            let Some(at) = self.table.get(&helper).map(|held| held.record.address) else {
                continue;
            };
            self.send(now, at, Some(&helper), None, What::Ask(ask));
        }
    }

    /// Nobody reached it: it is suspected, and may say that it lives.
    pub(super) fn unreached(&mut self, now: Time, target: &MixerName, generation: u64) {
        self.counts.unreached += 1;
        let Some(held) = self.table.get(target) else {
            return;
        };
        let record = held.record.clone();
        if record.generation != generation || !record.state.lives() {
            return;
        }
        self.counts.suspected += u64::from(record.state == State::Alive);
        let by = Some(self.me.name.clone());
        self.take(
            now,
            Record {
                state: State::Suspect,
                by,
                age: Span::ZERO,
                ..record
            },
        );
    }

    pub(super) fn suspicion_for(&self, witnesses: usize) -> Span {
        // With two others at the most nobody else may be there to confirm it.
        let alone = witnesses < 2 && self.table.living() > 3;
        self.plan
            .suspect_for
            .times(self.probes.stretch() * if alone { ALONE } else { 1.0 })
    }

    /// One of the dead is called on, and one of the seeds that no living member is at: so halves of the fleet find
    /// each other after a cut, however long.
    pub(super) fn call(&mut self, now: Time) {
        if self.me.state != State::Alive {
            return;
        }
        let dead: Vec<MixerName> = self
            .table
            .iter()
            .filter(|held| held.record.state == State::Dead)
            .map(name_of)
            .collect();
        if !dead.is_empty() {
            let name = dead[self.rng.random_range(0..dead.len())].clone();
            let number = self.probes.number();
            self.ping(now, number, &name);
        }
        let lives = |at: &SocketAddrV4| {
            self.table
                .iter()
                .any(|held| held.record.address == *at && held.record.state.lives())
        };
        let seeds: Vec<SocketAddrV4> = self
            .plan
            .seeds
            .iter()
            .filter(|at| !lives(at))
            .copied()
            .collect();
        if !seeds.is_empty() {
            let at = seeds[self.rng.random_range(0..seeds.len())];
            let ping = proto::Ping {
                number: self.probes.number(),
                to: String::new(),
            };
            self.send(now, at, None, None, What::Ping(ping));
        }
    }
}
