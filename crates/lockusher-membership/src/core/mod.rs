//! The core: what comes (a datagram, the time, an operator's word) and what follows (datagrams, the next time, changes
//! of the view). No I/O, no clock; chance comes from the seed alone.

mod datagrams;
mod join;
mod news;
mod pages;
mod probes;
mod probing;
mod reports;
pub mod share;
pub mod table;
pub mod wire;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lockusher_policy::interface::{Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use join::Joining;
use news::News;
use probes::{Due, Probes};
use share::{Shares, Sharing};
use table::{Held, MixerName, Record, State, Suspicion, Table};
use wire::Drops;

/// What the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Two fleets of other ids never merge.
    pub fleet: String,
    pub name: MixerName,
    /// Where others reach this mixer.
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    /// Where others may be found, also after a long cut.
    pub seeds: Vec<SocketAddrV4>,
    /// One member is probed in each of these.
    pub probe_every: Span,
    /// A suspicion that several share must be refuted within this.
    pub suspect_for: Span,
    /// The dead and those that left are remembered for this, and called on.
    pub remember: Span,
    /// What is shared beyond the view; nothing by default.
    pub shares: Option<Shares>,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub member: Record,
    /// `None` if it was not known, or forgotten.
    pub from: Option<State>,
}

/// What the mixer itself is to its fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// It asks to be let in.
    Joining,
    Member,
    /// Another living process has its name: it stays out until that one has gone.
    Outside(SocketAddrV4),
    /// It has said that it leaves.
    Leaving,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub datagrams_in: u64,
    pub bytes_in: u64,
    pub datagrams_out: u64,
    pub bytes_out: u64,
    pub drops: Drops,
    /// Probes in vain, suspicions that this mixer raised, and refutations of what was said of itself.
    pub unreached: u64,
    pub suspected: u64,
    pub refuted: u64,
    /// Exchanges of views.
    pub exchanges: u64,
    pub stood_still: u64,
}

/// A turn that comes this much later than it was due tells of a standstill of this mixer, not of others: several
/// times what a busy core costs, less than what others take before they suspect.
const STANDSTILL: Span = Span::from_millis(300);
/// Refutations of one member that are relayed within a while: one that refutes for ever costs no more than that.
const MOST_REFUTES: u32 = 3;
const REFUTES_IN: Span = Span::from_millis(10_000);
/// Between two calls on the dead, and between two on the seeds of the settings: cheap beside the probes.
const CALL_EVERY: f64 = 5.0;
/// Suspicions of two are enough to go by the shorter time; one alone waits this much longer (Lifeguard).
const ALONE: f64 = 2.0;
/// An incarnation so far beyond the one that is known of a life is damage: nobody misses as many refutations.
const FAR_OFF: u32 = 1 << 16;
/// Once so many in a row hold the same view, news has done its work: what a few still lack is healed by pages.
const AGREE: u32 = 16;
/// One that left serves for as long at the most: the longest route timeout that counts, and 0.7 s.
const SERVES_ON: Span = Span::from_millis(3_700);
/// Members that are told directly of a refutation and of a farewell, beside what rides on probes.
const TOLD_DIRECTLY: usize = 4;

pub struct Core {
    plan: Plan,
    me: Record,
    standing: Joining,
    table: Table,
    news: News,
    probes: Probes,
    /// Members in the order in which they are probed, and the place reached.
    round: Vec<MixerName>,
    place: usize,
    next_probe: Time,
    next_call: Time,
    /// No exchange of views is begun before this, and no pages are given beyond this many.
    next_exchange: Time,
    pages_left: f64,
    pages_at: Time,
    /// Ends of suspicions and of memories; one that no longer holds is passed over.
    alarms: BinaryHeap<Reverse<(Time, MixerName)>>,
    /// The count of mixers that decisions go by.
    counted: usize,
    rng: ChaCha8Rng,
    out: Vec<(SocketAddrV4, Vec<u8>)>,
    changes: Vec<Change>,
    counts: Counts,
    /// When anything was last heard or done.
    last: Time,
    /// Datagrams in a row whose speakers held the same view.
    agreeing: u32,
    sharing: Option<Sharing>,
}

impl Core {
    /// `born` is the start's Unix time in microseconds; `counted` the mixers that the platform's settings name.
    pub fn new(now: Time, born: u64, plan: Plan, counted: usize, seed: u64) -> Self {
        let born = born.max(1);
        let me = Record {
            name: plan.name.clone(),
            address: plan.address,
            zone: plan.zone.clone(),
            generation: born,
            born,
            incarnation: 0,
            state: State::Joining,
            by: None,
            age: Span::ZERO,
        };
        Core {
            me,
            standing: Joining::new(
                now,
                plan.probe_every,
                !plan.seeds.iter().all(|at| *at == plan.address),
            ),
            table: Table::new(),
            news: News::default(),
            probes: Probes::default(),
            round: Vec::new(),
            place: 0,
            next_probe: now,
            next_call: now,
            next_exchange: now,
            pages_left: 0.0,
            pages_at: now,
            alarms: BinaryHeap::new(),
            counted: counted.max(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            out: Vec::new(),
            changes: Vec::new(),
            counts: Counts::default(),
            last: now,
            agreeing: 0,
            sharing: plan
                .shares
                .clone()
                .map(|shares| Sharing::new(now, shares, born)),
            plan,
        }
    }

    /// Datagrams to be sent.
    pub fn take_out(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    pub fn standing(&self) -> Standing {
        match (self.me.state, self.standing.taken) {
            (State::Left, _) => Standing::Leaving,
            (State::Joining, Some(by)) => Standing::Outside(by),
            (State::Joining, None) => Standing::Joining,
            _ => Standing::Member,
        }
    }

    /// All that is known, in no order; the own entry is there once this mixer is a member.
    pub fn view(&self) -> impl Iterator<Item = &Held> {
        self.table.iter()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn living(&self) -> usize {
        self.table.living()
    }

    /// One number for the living that this mixer knows; like views have like ones.
    pub fn digest(&self) -> u64 {
        self.table.view()
    }

    /// The mixers whose shares may be in use. The dead count as long as they are remembered, since one that is cut
    /// off goes on with its share; and while this mixer sees no more than half of those counted, it may be the one
    /// that is cut off, and the count does not fall at all. Never below what the settings name until a view has
    /// been had.
    pub fn counted(&self) -> usize {
        self.counted
    }

    fn recount(&mut self, now: Time) {
        let in_use =
            |held: &&Held| held.record.state != State::Left || now.since(held.since) < SERVES_ON;
        let may_be_in_use = self.table.iter().filter(in_use).count();
        let most_seen = self.table.living() * 2 > self.counted;
        if may_be_in_use > self.counted || (most_seen && self.me.state == State::Alive) {
            self.counted = may_be_in_use.max(1);
        }
    }

    /// When `due` wants to be called next.
    pub fn next(&self) -> Time {
        let alarm = self.alarms.peek().map(|Reverse((at, _))| *at);
        let share = self.sharing.as_ref().map(Sharing::next);
        let times = [
            Some(self.next_probe),
            Some(self.next_call),
            alarm,
            self.probes.next(),
            share,
        ];
        times
            .into_iter()
            .flatten()
            .min()
            .expect("a probe is always due")
    }

    /// After a standstill nothing that was waited for tells anything of others.
    fn awake(&mut self, now: Time) {
        let (late, idle) = (now.since(self.next()), now.since(self.last));
        self.last = self.last.max(now);
        if late.min(idle) < STANDSTILL {
            return;
        }
        self.counts.stood_still += 1;
        self.probes.stood_still();
        (self.next_probe, self.next_call) = (now, now);
        let suspects: Vec<MixerName> = self
            .table
            .iter()
            .filter(|h| h.suspicion.is_some())
            .map(name_of)
            .collect();
        let until = now + self.suspicion_for(1);
        for name in suspects {
            self.table.mind(&name, |held| {
                held.suspicion = held
                    .suspicion
                    .take()
                    .map(|suspicion| Suspicion { until, ..suspicion });
            });
            self.alarms.push(Reverse((until, name)));
        }
    }

    /// The time has come that `next` told, or a later one.
    pub fn due(&mut self, now: Time) {
        self.probes.late(now.since(self.next()));
        self.awake(now);
        for due in self.probes.due(now, self.plan.probe_every) {
            match due {
                Due::Again(number, target) => self.probe_again(now, number, &target),
                Due::Unreached(target, generation) => self.unreached(now, &target, generation),
            }
        }
        while let Some(Reverse((at, _))) = self.alarms.peek()
            && *at <= now
        {
            let Some(Reverse((_, name))) = self.alarms.pop() else {
                break;
            };
            self.alarm(now, &name);
        }
        if self.next_probe <= now {
            // A tenth of chance either way: a fleet that started at once falls out of step.
            let chance = self.rng.random_range(0.9..1.1);
            self.next_probe = now + self.plan.probe_every.times(chance);
            match self.me.state {
                State::Joining => self.join(now),
                State::Left => {}
                _ => self.probe_next(now),
            }
        }
        if self.next_call <= now {
            self.recount(now);
            let chance = self.rng.random_range(0.8..1.2);
            self.next_call = now + self.plan.probe_every.times(CALL_EVERY * chance);
            self.call(now);
        }
        if self
            .sharing
            .as_ref()
            .is_some_and(|sharing| sharing.next() <= now)
        {
            self.share(now);
        }
    }
}

fn name_of(held: &Held) -> MixerName {
    held.record.name.clone()
}

#[cfg(test)]
mod tests;
