//! Probes that are out: each is repeated, from the second time on through others as well, before its target is
//! suspected; and what this mixer thinks of its own health, which stretches its patience.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};

use super::table::MixerName;

/// Tries of one probe while this mixer is well: one of them lost both ways and through three helpers at 10% loss has
/// a chance of some 1 in 100,000.
const TRIES: u32 = 3;
/// Members that are asked to try in this one's stead (SWIM's k).
pub(super) const HELPERS: usize = 3;
/// The worst that a mixer thinks of its own health (Lifeguard's S).
const WORST: u32 = 8;
/// Probes that others asked for, at once.
const MOST_ERRANDS: usize = 256;

pub(super) struct Probe {
    pub target: MixerName,
    pub generation: u64,
    /// Tries so far.
    tries: u32,
    due: Time,
}

/// A ping on another's behalf.
struct Errand {
    asker: SocketAddrV4,
    number: u32,
    until: Time,
}

#[derive(Default)]
pub(super) struct Probes {
    out: BTreeMap<u32, Probe>,
    errands: BTreeMap<u32, Errand>,
    next: u32,
    /// 0 while all is well; grows with each first try in vain, falls with each that is answered.
    health: u32,
    /// How late this mixer's own turns are, smoothed.
    late: Span,
}

/// What is to be done about a probe.
pub(super) enum Due {
    /// Ping again, also by way of others.
    Again(u32, MixerName),
    /// Nobody reached it.
    Unreached(MixerName, u64),
}

impl Probes {
    pub fn number(&mut self) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    /// How long one try is waited for.
    fn patience(&self, every: Span) -> Span {
        every.times(0.5) + self.late.times(2.0)
    }

    /// How much longer a suspicion waits than it would at a mixer that is well (Lifeguard).
    pub fn stretch(&self) -> f64 {
        1.0 + f64::from(self.health) / f64::from(WORST)
    }

    pub fn begin(&mut self, now: Time, every: Span, target: MixerName, generation: u64) -> u32 {
        let (number, due) = (self.number(), now + self.patience(every));
        self.out.insert(
            number,
            Probe {
                target,
                generation,
                tries: 1,
                due,
            },
        );
        number
    }

    pub fn probes(&self, name: &MixerName) -> bool {
        self.out.values().any(|probe| probe.target == *name)
    }

    /// An answer came, to a probe or an errand.
    pub fn answered(&mut self, number: u32, of: &MixerName) -> Option<(SocketAddrV4, u32)> {
        if self
            .out
            .get(&number)
            .is_some_and(|probe| probe.target == *of)
        {
            let probe = self.out.remove(&number);
            if probe.is_some_and(|probe| probe.tries == 1) {
                self.health = self.health.saturating_sub(1);
            }
            return None;
        }
        self.errands
            .remove(&number)
            .map(|errand| (errand.asker, errand.number))
    }

    pub fn errand(
        &mut self,
        now: Time,
        every: Span,
        asker: SocketAddrV4,
        number: u32,
    ) -> Option<u32> {
        if self.errands.len() >= MOST_ERRANDS {
            return None;
        }
        let own = self.number();
        self.errands.insert(
            own,
            Errand {
                asker,
                number,
                until: now + every.times(2.0),
            },
        );
        Some(own)
    }

    /// What is due now.
    pub fn due(&mut self, now: Time, every: Span) -> Vec<Due> {
        self.errands.retain(|_, errand| errand.until > now);
        let (patience, most) = (self.patience(every), TRIES + self.health / 2);
        let (mut due, mut over) = (Vec::new(), Vec::new());
        for (number, probe) in self.out.iter_mut().filter(|(_, probe)| probe.due <= now) {
            if probe.tries == 1 {
                self.health = (self.health + 1).min(WORST);
            }
            if probe.tries >= most {
                over.push(*number);
                continue;
            }
            probe.tries += 1;
            probe.due = now + patience;
            due.push(Due::Again(*number, probe.target.clone()));
        }
        let over = over
            .into_iter()
            .filter_map(|number| self.out.remove(&number));
        due.extend(over.map(|probe| Due::Unreached(probe.target, probe.generation)));
        due
    }

    pub fn next(&self) -> Option<Time> {
        self.out.values().map(|probe| probe.due).min()
    }

    /// A turn came so much later than it was due.
    pub fn late(&mut self, by: Span) {
        // A quarter of the newest, so that one late turn in two counts for a good part.
        self.late = self.late.times(0.75) + by.times(0.25);
    }

    /// This mixer stood still: what was out tells nothing of others.
    pub fn stood_still(&mut self) {
        self.out.clear();
        self.errands.clear();
        self.health = (self.health + 2).min(WORST);
    }
}
