//! Simulates many membership cores in one thread, over a network that loses, delays, duplicates and blocks datagrams.
//! Time is virtual; the same seed produces the same datagrams byte for byte.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_membership::core::shared_state::LocalReport;
use lockusher_membership::core::table::{MixerName, State};
use lockusher_membership::core::{Change, Core, Counts, MembershipConfig, MembershipStatus};
use lockusher_policy::interface::{Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::START;

/// Datagrams that a socket buffers for a process that does not read: about 200 kB, as operating systems count them.
const SOCKET_BUFFER_DATAGRAMS: usize = 90;

/// The conditions of the network between mixers.
#[derive(Clone, Debug)]
pub struct Network {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The least delay of a datagram.
    pub min_delay: Span,
    /// The greatest delay of a datagram.
    pub max_delay: Span,
    /// The share of datagrams that are delivered twice; 0 for none.
    pub duplication: f64,
    /// The partition of each mixer: mixers of different partitions do not reach each other.
    pub partition: Vec<u8>,
    /// Pairs of which the first does not reach the second.
    pub blocked: HashSet<(usize, usize)>,
    /// Each mixer reaches only its neighbors, in the order of their numbers.
    pub ring: bool,
    /// Additional loss of all datagrams to a mixer.
    pub receive_loss: BTreeMap<usize, f64>,
}

/// Datagrams with their senders.
type BufferedDatagrams = Vec<(SocketAddrV4, Vec<u8>)>;

/// A simulated mixer.
struct Node {
    /// `None` while it does not run.
    core: Option<Core>,
    name: MixerName,
    address: SocketAddrV4,
    /// The time of its pending wake event; events of other times are obsolete.
    next_wake: Time,
    /// While it is paused: until when, and the datagrams that its socket buffers.
    paused: Option<(Time, BufferedDatagrams)>,
    /// The last time at which a fault affected it.
    healthy_since: Time,
    /// How far its clock is behind at its starts.
    clock_lag: Span,
}

enum Event {
    /// A datagram arrives.
    Datagram {
        to: usize,
        from: SocketAddrV4,
        bytes: Vec<u8>,
    },
    /// A timeout of a mixer is due.
    Wake(usize),
    /// A paused mixer resumes.
    Resume(usize),
}

/// A false positive of failure detection: `observer` held `subject` dead while both were running and healthy.
#[derive(Clone, Debug)]
pub struct FalseDeath {
    pub observer: usize,
    pub subject: usize,
    pub since: Time,
    /// `None` while it lasts.
    pub until: Option<Time>,
}

/// A fleet of simulated mixers and the network between them.
pub struct World {
    pub now: Time,
    pub network: Network,
    nodes: Vec<Node>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    by_name: BTreeMap<MixerName, usize>,
    /// Due times and numbers of the entries in `events`.
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: ChaCha8Rng,
    /// Each killed mixer, with the time.
    crashes: Vec<(usize, Time)>,
    /// How long each observer took to detect a crash.
    detection_delays: Vec<Span>,
    /// Crashes, by index, with observers that have not detected them.
    undetected: HashSet<(usize, usize)>,
    pub false_deaths: Vec<FalseDeath>,
    /// Whether false deaths are recorded; off under network faults beyond those that the protocol tolerates.
    pub records_false_deaths: bool,
    /// The configuration of all mixers, except for name, address, zone and seeds.
    pub config: MembershipConfig,
    /// The number of zones; a mixer's number modulo this is its zone.
    pub zones: usize,
    seeds: Vec<usize>,
    /// A hash of all datagrams sent: two runs of one seed must have the same.
    pub datagram_hash: u32,
}

/// The configuration that a world starts with.
pub fn config() -> MembershipConfig {
    MembershipConfig {
        fleet: "lab".into(),
        name: MixerName::new("?"),
        address: address(0),
        zone: "a".into(),
        seeds: Vec::new(),
        probe_interval: Span::from_millis(200),
        suspicion_timeout: Span::from_millis(800),
        retention: Span::from_millis(60_000),
        sharing: None,
    }
}

/// The address of a mixer.
pub fn address(number: usize) -> SocketAddrV4 {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_000)
}

impl World {
    /// Creates mixers without starting them; the first three are the seeds of all.
    pub fn new(mixers: usize, seed: u64) -> Self {
        let node = |number: usize| Node {
            core: None,
            name: MixerName::new(&format!("mixer-{number}")),
            address: address(number),
            next_wake: START,
            paused: None,
            healthy_since: START,
            clock_lag: Span::ZERO,
        };
        let nodes: Vec<Node> = (0..mixers).map(node).collect();
        let network = Network {
            loss: 0.0,
            min_delay: Span::from_micros(200),
            max_delay: Span::from_millis(4),
            duplication: 0.0,
            partition: vec![0; mixers],
            blocked: HashSet::new(),
            ring: false,
            receive_loss: BTreeMap::new(),
        };
        World {
            now: START,
            network,
            by_address: nodes
                .iter()
                .enumerate()
                .map(|(index, node)| (node.address, index))
                .collect(),
            by_name: nodes
                .iter()
                .enumerate()
                .map(|(index, node)| (node.name.clone(), index))
                .collect(),
            nodes,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            crashes: Vec::new(),
            detection_delays: Vec::new(),
            undetected: HashSet::new(),
            false_deaths: Vec::new(),
            records_false_deaths: true,
            config: config(),
            zones: 1,
            seeds: (0..mixers.min(3)).collect(),
            datagram_hash: 0,
        }
    }

    /// The number of mixers, running or not.
    pub fn mixers(&self) -> usize {
        self.nodes.len()
    }

    /// Sets the seeds of mixers that start from now on.
    pub fn set_seeds(&mut self, seeds: Vec<usize>) {
        self.seeds = seeds;
    }

    /// The core of a running mixer.
    pub fn core(&self, mixer: usize) -> &Core {
        self.nodes[mixer]
            .core
            .as_ref()
            .expect("the mixer is running")
    }

    /// The mixers that run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.core.is_some())
            .map(|(index, _)| index)
    }

    /// Sets the address of a mixer from its next start on.
    pub fn set_address(&mut self, mixer: usize, number: usize) {
        self.by_address.remove(&self.nodes[mixer].address);
        self.nodes[mixer].address = address(number);
        self.by_address.insert(address(number), mixer);
    }

    /// Gives a mixer the name of another one from its next start on.
    pub fn rename(&mut self, mixer: usize, as_other: usize) {
        self.nodes[mixer].name = self.nodes[as_other].name.clone();
    }

    /// Sets how far the clock of a mixer is behind, from its next start on.
    pub fn set_clock_lag(&mut self, mixer: usize, lag: Span) {
        self.nodes[mixer].clock_lag = lag;
    }

    /// Starts a mixer.
    pub fn start(&mut self, mixer: usize) {
        // The Unix time, in microseconds, at virtual time 0.
        const START_UNIX_US: u64 = 1_700_000_000_000_000;
        let seeds = self
            .seeds
            .iter()
            .map(|seed| self.nodes[*seed].address)
            .collect();
        let (now, seed) = (self.now, self.rng.random());
        let zone = format!("z{}", mixer % self.zones).as_str().into();
        let node = &mut self.nodes[mixer];
        let config = MembershipConfig {
            name: node.name.clone(),
            address: node.address,
            seeds,
            zone,
            ..self.config.clone()
        };
        let started_unix_us = START_UNIX_US
            + now
                .since(Time::from_micros(0))
                .saturating_sub(node.clock_lag)
                .as_micros();
        node.core = Some(Core::new(now, started_unix_us, config, 1, seed));
        (node.healthy_since, node.paused) = (now, None);
        self.schedule_wake(mixer, now);
    }

    /// Kills a mixer without notice to others.
    pub fn kill(&mut self, mixer: usize) {
        self.nodes[mixer].core = None;
        let crash = self.crashes.len();
        self.crashes.push((mixer, self.now));
        let observers: Vec<usize> = self.running().collect();
        self.undetected
            .extend(observers.into_iter().map(|observer| (crash, observer)));
    }

    /// Shuts a mixer down gracefully.
    pub fn leave(&mut self, mixer: usize) {
        let now = self.now;
        self.nodes[mixer]
            .core
            .as_mut()
            .expect("the mixer is running")
            .leave(now);
        self.flush(mixer);
        self.nodes[mixer].core = None;
    }

    /// Pauses a mixer; its socket buffers what arrives meanwhile.
    pub fn pause(&mut self, mixer: usize, duration: Span) {
        let until = self.now + duration;
        self.nodes[mixer].paused = Some((until, Vec::new()));
        self.schedule(until, Event::Resume(mixer));
    }

    /// Hands a mixer a report of its observations and demand, unless it is paused or does not run.
    pub fn report(&mut self, mixer: usize, local: LocalReport) {
        let (now, node) = (self.now, &mut self.nodes[mixer]);
        if let Some(core) = node.core.as_mut().filter(|_| node.paused.is_none()) {
            core.report(now, local);
            self.flush(mixer);
        }
    }

    /// The rate that all running mixers together may spend of a budget, by its index in the configuration.
    pub fn total_allowance(&self, index: usize) -> f64 {
        let allowance = |mixer: usize| self.core(mixer).shares(self.now)[index].1.rate(self.now);
        self.running().map(allowance).sum()
    }

    /// Marks all mixers as healthy from now on.
    pub fn mark_all_healthy(&mut self) {
        let now = self.now;
        self.nodes
            .iter_mut()
            .for_each(|node| node.healthy_since = now);
    }

    /// Schedules an event.
    fn schedule(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn schedule_wake(&mut self, mixer: usize, at: Time) {
        self.nodes[mixer].next_wake = at;
        self.schedule(at, Event::Wake(mixer));
    }

    /// Whether the network delivers a datagram.
    fn delivers(&mut self, from: usize, to: usize) -> bool {
        let network = &self.network;
        let mixers = self.nodes.len();
        let adjacent = (from + 1) % mixers == to || (to + 1) % mixers == from;
        let receive_loss = network.receive_loss.get(&to).copied().unwrap_or_default();
        let connected = network.partition[from] == network.partition[to]
            && !network.blocked.contains(&(from, to))
            && (!network.ring || adjacent);
        let (loss, draw): (f64, f64) = (
            1.0 - (1.0 - network.loss) * (1.0 - receive_loss),
            self.rng.random(),
        );
        connected && draw >= loss
    }

    /// Sends the pending datagrams of a mixer, records its changes of the view and schedules its next timeout.
    fn flush(&mut self, mixer: usize) {
        let (now, from) = (self.now, self.nodes[mixer].address);
        let Some(core) = self.nodes[mixer].core.as_mut() else {
            return;
        };
        let (out, changes, next) = (
            core.take_datagrams(),
            core.take_changes(),
            core.next_timeout(),
        );
        for (at, bytes) in out {
            self.datagram_hash = self.datagram_hash.rotate_left(5)
                ^ bytes.iter().fold(0, |sum: u32, byte| {
                    sum.wrapping_mul(31).wrapping_add(u32::from(*byte))
                });
            let Some(to) = self.by_address.get(&at).copied() else {
                continue;
            };
            if !self.delivers(mixer, to) {
                continue;
            }
            let delay_range = self
                .network
                .max_delay
                .saturating_sub(self.network.min_delay)
                .as_micros()
                .max(1);
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.network.duplication);
            for _ in 0..copies {
                let delay = self.network.min_delay
                    + Span::from_micros(self.rng.random_range(0..delay_range));
                self.schedule(
                    now + delay,
                    Event::Datagram {
                        to,
                        from,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        for change in changes {
            self.record_change(mixer, &change);
        }
        let next = next.max(now + Span::from_micros(100));
        if self.nodes[mixer].next_wake <= now || next < self.nodes[mixer].next_wake {
            self.schedule_wake(mixer, next);
        }
    }

    /// Records crash detections and false deaths.
    fn record_change(&mut self, observer: usize, change: &Change) {
        let Some(subject) = self.by_name.get(&change.member.name).copied() else {
            return;
        };
        if change.member.state == State::Dead {
            for (crash, (mixer, at)) in self.crashes.iter().enumerate().rev().take(64) {
                if *mixer == subject && self.undetected.remove(&(crash, observer)) {
                    self.detection_delays.push(self.now.since(*at));
                }
            }
            let healthy = |node: &Node| node.core.is_some() && node.paused.is_none();
            let (observer_node, subject_node) = (&self.nodes[observer], &self.nodes[subject]);
            let generation = self.nodes[subject].core.as_ref().and_then(|core| {
                core.members()
                    .find(|entry| entry.record.name == change.member.name)
                    .map(|entry| entry.record.generation)
            });
            // Shortly after a fault, a death may still concern the previous generation.
            let stable = observer_node.healthy_since.max(subject_node.healthy_since)
                + Span::from_millis(3_000)
                < self.now;
            if self.records_false_deaths
                && stable
                && healthy(observer_node)
                && healthy(subject_node)
                && generation == Some(change.member.generation)
            {
                self.false_deaths.push(FalseDeath {
                    observer,
                    subject,
                    since: self.now,
                    until: None,
                });
            }
        } else if change.member.state == State::Alive {
            let ongoing = |death: &&mut FalseDeath| {
                death.observer == observer && death.subject == subject && death.until.is_none()
            };
            let now = self.now;
            self.false_deaths
                .iter_mut()
                .filter(ongoing)
                .for_each(|death| death.until = Some(now));
        }
    }

    /// Runs the simulation until this time.
    pub fn run_until(&mut self, until: Time) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= until
        {
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.handle(event);
        }
        self.now = until;
    }

    /// Runs the simulation for this long.
    pub fn run_for(&mut self, span: Span) {
        self.run_until(self.now + span);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram { to, from, bytes } => {
                let node = &mut self.nodes[to];
                match (&mut node.paused, &mut node.core) {
                    (_, None) => return,
                    (Some((_, buffered)), _) => {
                        if buffered.len() < SOCKET_BUFFER_DATAGRAMS {
                            buffered.push((from, bytes));
                        }
                        return;
                    }
                    (None, Some(core)) => core.handle_datagram(now, from, &bytes),
                }
                self.flush(to);
            }
            Event::Wake(mixer) => {
                let node = &mut self.nodes[mixer];
                if node.next_wake != now || node.paused.is_some() {
                    return;
                }
                if let Some(core) = node.core.as_mut() {
                    core.handle_timeout(now);
                    self.flush(mixer);
                }
            }
            Event::Resume(mixer) => {
                let node = &mut self.nodes[mixer];
                let Some((_, buffered)) = node.paused.take_if(|(until, _)| *until <= now) else {
                    return;
                };
                node.healthy_since = now;
                if let Some(core) = node.core.as_mut() {
                    buffered
                        .iter()
                        .for_each(|(from, bytes)| core.handle_datagram(now, *from, bytes));
                    core.handle_timeout(now);
                    node.next_wake = now;
                    self.flush(mixer);
                }
            }
        }
    }

    /// Whether all running mixers hold the same view, in which exactly the running mixers are alive.
    pub fn has_converged(&self) -> bool {
        let running: Vec<usize> = self.running().collect();
        let mut digests = running.iter().map(|mixer| self.core(*mixer).digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
            && running.iter().all(|mixer| {
                self.core(*mixer).live_count() == running.len()
                    && self.core(*mixer).status() == MembershipStatus::Member
            })
    }

    /// Runs until the views have converged; returns how long that took, or `None` if it exceeded the limit.
    pub fn converge(&mut self, within: Span) -> Option<Span> {
        let start = self.now;
        while !self.has_converged() {
            if self.now.since(start) >= within {
                return None;
            }
            self.run_for(Span::from_millis(50));
        }
        Some(self.now.since(start))
    }

    /// Takes the time that each observer needed to detect each crash; one still undetected counts with the time so far.
    pub fn take_crash_delays(&mut self) -> Vec<Span> {
        let mut detection_delays = std::mem::take(&mut self.detection_delays);
        for (crash, observer) in std::mem::take(&mut self.undetected) {
            let (subject, at) = self.crashes[crash];
            // A restarted mixer is a new generation, so its crash need not have been detected.
            if self.nodes[observer].core.is_some() && self.nodes[subject].core.is_none() {
                detection_delays.push(self.now.since(at));
            }
        }
        detection_delays
    }

    /// The summed counters of all running mixers.
    pub fn total_counts(&self) -> Counts {
        let mut total = Counts::default();
        for mixer in self.running() {
            let counts = self.core(mixer).counts();
            total.datagrams_out += counts.datagrams_out;
            total.bytes_out += counts.bytes_out;
            total.exchanges += counts.exchanges;
            total.suspected += counts.suspected;
            total.refuted += counts.refuted;
            total.stood_still += counts.stood_still;
        }
        total
    }

    /// The state of one mixer in the view of another.
    pub fn member_state(&self, observer: usize, subject: usize) -> Option<State> {
        let name = &self.nodes[subject].name;
        self.core(observer)
            .members()
            .find(|entry| entry.record.name == *name)
            .map(|entry| entry.record.state)
    }
}
