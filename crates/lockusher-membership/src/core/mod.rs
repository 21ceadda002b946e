//! The core of membership, without I/O, clock or randomness other than the seed's. Inputs are datagrams, the current
//! time and requests of the operator; outputs are datagrams, the next timeout and changes of the view.

mod anti_entropy;
mod datagrams;
mod failure_detector;
mod gossip;
mod join;
mod merge;
mod probes;
pub mod shared_state;
pub mod table;
pub mod wire;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lockusher_policy::interface::{Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use gossip::GossipQueue;
use join::JoinState;
use probes::{ProbeAction, Probes};
use shared_state::{SharedState, SharingConfig};
use table::{MemberEntry, MemberRecord, MixerName, State, Suspicion, Table};
use wire::Drops;

/// The configuration of the local member.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Fleets with different ids never merge.
    pub fleet: String,
    /// The name of the local mixer.
    pub name: MixerName,
    /// The address at which other members reach this mixer.
    pub address: SocketAddrV4,
    /// The zone of the local mixer.
    pub zone: Arc<str>,
    /// Addresses to join by; they are also contacted after a long partition.
    pub seeds: Vec<SocketAddrV4>,
    /// The probe interval: one member is probed in each.
    pub probe_interval: Span,
    /// How long a suspicion with several witnesses may be refuted.
    pub suspicion_timeout: Span,
    /// How long dead and departed members are retained, and dead ones contacted.
    pub retention: Span,
    /// The state shared beyond the view; `None` shares nothing.
    pub sharing: Option<SharingConfig>,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The new record of the member, or the last one if it was forgotten.
    pub member: MemberRecord,
    /// `None` if the member was unknown or forgotten.
    pub from: Option<State>,
}

/// The membership status of the local mixer.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipStatus {
    /// It is asking to join.
    Joining,
    /// It is a member.
    Member,
    /// Another live process, at this address, has its name; it stays out until that process is gone.
    NameTaken(SocketAddrV4),
    /// It has announced that it leaves.
    Leaving,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams and requests dropped.
    pub drops: Drops,
    /// Probes of which no attempt was answered.
    pub unreached: u64,
    /// Suspicions that this mixer raised.
    pub suspected: u64,
    /// Refutations of records about this mixer.
    pub refuted: u64,
    /// Anti-entropy exchanges that this mixer started.
    pub exchanges: u64,
    /// Stalls of this mixer.
    pub stood_still: u64,
}

/// A timeout handled this much too late indicates a stall of this mixer rather than failures of others: several times
/// the delays of a busy core, and less than other members wait before they suspect.
const STALL_THRESHOLD: Span = Span::from_millis(300);
/// The most refutations of one member relayed within the window, which bounds the cost of a member that refutes
/// endlessly.
const MAX_RELAYED_REFUTATIONS: u32 = 3;
const REFUTATION_WINDOW: Span = Span::from_millis(10_000);
/// The interval of contacting dead members and seeds, in probe intervals: cheap compared with the probes.
const RECONNECT_PROBES: f64 = 5.0;
/// Two witnesses suffice for the shorter suspicion timeout; with one alone it is longer by this factor (Lifeguard).
const UNCONFIRMED_FACTOR: f64 = 2.0;
/// An incarnation this far beyond the known one of a generation is damage: no member misses as many refutations.
const MAX_INCARNATION_JUMP: u32 = 1 << 16;
/// After this many datagrams in a row with the local digest, gossip is dropped as delivered; anti-entropy repairs what
/// a few members still lack.
const CONVERGED_DATAGRAMS: u32 = 16;
/// How long a member that left may still serve: the longest route timeout that is supported, plus 0.7 s.
const LEAVE_GRACE: Span = Span::from_millis(3_700);
/// Members that are notified directly of a refutation or a departure, in addition to piggybacked gossip.
const DIRECT_NOTICES: usize = 4;

/// The state of the local member.
pub struct Core {
    config: MembershipConfig,
    local: MemberRecord,
    join: JoinState,
    table: Table,
    gossip: GossipQueue,
    probes: Probes,
    /// Members in the order in which they are probed, and the index of the next one.
    probe_order: Vec<MixerName>,
    probe_index: usize,
    next_probe: Time,
    next_reconnect: Time,
    /// The earliest time of the next exchange of views; and the tokens that limit the pages sent, as of
    /// `page_tokens_at`.
    next_exchange: Time,
    page_tokens: f64,
    page_tokens_at: Time,
    /// Timers of suspicions and retention; one that is obsolete is ignored.
    timers: BinaryHeap<Reverse<(Time, MixerName)>>,
    /// The number of mixers whose budget shares may be in use.
    counted: usize,
    rng: ChaCha8Rng,
    outgoing: Vec<(SocketAddrV4, Vec<u8>)>,
    changes: Vec<Change>,
    counts: Counts,
    /// When the last datagram or timeout was handled.
    last_activity: Time,
    /// Datagrams in a row whose digest equalled the local one.
    matching_digests: u32,
    shared: Option<SharedState>,
}

impl Core {
    /// `born` is the Unix time of the start in microseconds; `counted` is the number of mixers that the platform's
    /// settings give.
    pub fn new(now: Time, born: u64, config: MembershipConfig, counted: usize, seed: u64) -> Self {
        let born = born.max(1);
        let local = MemberRecord {
            name: config.name.clone(),
            address: config.address,
            zone: config.zone.clone(),
            generation: born,
            born,
            incarnation: 0,
            state: State::Joining,
            by: None,
            age: Span::ZERO,
        };
        Core {
            local,
            join: JoinState::new(
                now,
                config.probe_interval,
                !config.seeds.iter().all(|at| *at == config.address),
            ),
            table: Table::new(),
            gossip: GossipQueue::default(),
            probes: Probes::default(),
            probe_order: Vec::new(),
            probe_index: 0,
            next_probe: now,
            next_reconnect: now,
            next_exchange: now,
            page_tokens: 0.0,
            page_tokens_at: now,
            timers: BinaryHeap::new(),
            counted: counted.max(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outgoing: Vec::new(),
            changes: Vec::new(),
            counts: Counts::default(),
            last_activity: now,
            matching_digests: 0,
            shared: config
                .sharing
                .clone()
                .map(|shares| SharedState::new(now, shares, born)),
            config,
        }
    }

    /// Takes the datagrams to be sent, with their destinations.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the changes of the view since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The membership status of this mixer.
    pub fn status(&self) -> MembershipStatus {
        match (self.local.state, self.join.name_holder) {
            (State::Left, _) => MembershipStatus::Leaving,
            (State::Joining, Some(by)) => MembershipStatus::NameTaken(by),
            (State::Joining, None) => MembershipStatus::Joining,
            _ => MembershipStatus::Member,
        }
    }

    /// All known members in no particular order, the local one included once it is a member.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.table.iter()
    }

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The number of live members, this one and suspects included.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// A digest of the live members; equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.table.view_digest()
    }

    /// The number of mixers whose budget shares may be in use. Dead members count while they are retained, since a
    /// partitioned member goes on using its share. While this mixer sees no more than half of those counted, it may
    /// itself be the partitioned one, and the count does not fall. It is never below the settings' number before this
    /// mixer has been a member.
    pub fn counted(&self) -> usize {
        self.counted
    }

    /// Updates the number of mixers whose budget shares may be in use.
    fn update_counted(&mut self, now: Time) {
        let in_use =
            |e: &&MemberEntry| e.record.state != State::Left || now.since(e.since) < LEAVE_GRACE;
        let may_be_in_use = self.table.iter().filter(in_use).count();
        let sees_majority = self.table.live_count() * 2 > self.counted;
        if may_be_in_use > self.counted || (sees_majority && self.local.state == State::Alive) {
            self.counted = may_be_in_use.max(1);
        }
    }

    /// When `handle_timeout` is to be called next.
    pub fn next_timeout(&self) -> Time {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let shared = self.shared.as_ref().map(SharedState::next_timeout);
        let times = [
            Some(self.next_probe),
            Some(self.next_reconnect),
            timer,
            self.probes.next_timeout(),
            shared,
        ];
        times
            .into_iter()
            .flatten()
            .min()
            .expect("a probe is always due")
    }

    /// Detects a stall of this mixer, after which nothing that it waited for proves anything about other members.
    fn detect_stall(&mut self, now: Time) {
        let (late, idle) = (
            now.since(self.next_timeout()),
            now.since(self.last_activity),
        );
        self.last_activity = self.last_activity.max(now);
        if late.min(idle) < STALL_THRESHOLD {
            return;
        }
        self.counts.stood_still += 1;
        self.probes.handle_stall();
        (self.next_probe, self.next_reconnect) = (now, now);
        let suspects: Vec<MixerName> = self
            .table
            .iter()
            .filter(|entry| entry.suspicion.is_some())
            .map(name_of)
            .collect();
        let until = now + self.suspicion_timeout(1);
        for name in suspects {
            self.table.update_entry(&name, |entry| {
                entry.suspicion = entry
                    .suspicion
                    .take()
                    .map(|suspicion| Suspicion { until, ..suspicion });
            });
            self.timers.push(Reverse((until, name)));
        }
    }

    /// Handles all timeouts up to `now`.
    pub fn handle_timeout(&mut self, now: Time) {
        self.probes.record_lateness(now.since(self.next_timeout()));
        self.detect_stall(now);
        for action in self.probes.handle_timeouts(now, self.config.probe_interval) {
            match action {
                ProbeAction::Retry(number, target) => self.probe_again(now, number, &target),
                ProbeAction::Failed(target, generation) => self.suspect(now, &target, generation),
            }
        }
        while let Some(Reverse((at, _))) = self.timers.peek()
            && *at <= now
        {
            let Some(Reverse((_, name))) = self.timers.pop() else {
                break;
            };
            self.handle_timer(now, &name);
        }
        if self.next_probe <= now {
            // A jitter of 10% either way desynchronizes a fleet that started all at once.
            let jitter = self.rng.random_range(0.9..1.1);
            self.next_probe = now + self.config.probe_interval.times(jitter);
            match self.local.state {
                State::Joining => self.try_join(now),
                State::Left => {}
                _ => self.probe_next(now),
            }
        }
        if self.next_reconnect <= now {
            self.update_counted(now);
            let jitter = self.rng.random_range(0.8..1.2);
            self.next_reconnect = now + self.config.probe_interval.times(RECONNECT_PROBES * jitter);
            self.reconnect(now);
        }
        if self
            .shared
            .as_ref()
            .is_some_and(|shared| shared.next_timeout() <= now)
        {
            self.share_state(now);
        }
    }
}

fn name_of(entry: &MemberEntry) -> MixerName {
    entry.record.name.clone()
}

#[cfg(test)]
mod tests;
