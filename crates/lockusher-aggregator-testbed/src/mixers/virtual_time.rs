//! Many cores of the fleet's view in one process and one thread, over a net that loses, delays, cuts and doubles. Time
//! is virtual; the same seed makes the same bytes.

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

/// Datagrams that a socket holds for a process that does not read: some 200 kB, as systems count them.
const BUFFER: usize = 90;

/// What lies between mixers.
#[derive(Clone, Debug)]
pub struct Net {
    pub loss: f64,
    pub least: Span,
    pub most: Span,
    /// One datagram in so many comes twice; 0 for none.
    pub doubled: f64,
    /// Mixers of other groups do not reach each other.
    pub group: Vec<u8>,
    /// From the first to the second nothing passes.
    pub one_way: HashSet<(usize, usize)>,
    /// Each reaches only its neighbours, in the order of their numbers.
    pub ring: bool,
    /// Loss at the receiver on top.
    pub deaf: BTreeMap<usize, f64>,
}

/// Datagrams, with their senders.
type Waiting = Vec<(SocketAddrV4, Vec<u8>)>;

struct Node {
    core: Option<Core>,
    name: MixerName,
    address: SocketAddrV4,
    wake: Time,
    /// Until when it stands still, and what waits for it.
    still: Option<(Time, Waiting)>,
    /// Nothing was wrong with it since.
    sound_since: Time,
    clock_back: Span,
}

enum Event {
    Datagram {
        to: usize,
        from: SocketAddrV4,
        bytes: Vec<u8>,
    },
    Wake(usize),
    Resume(usize),
}

/// A death that a mixer believed of one that lived and was sound.
#[derive(Clone, Debug)]
pub struct FalseDeath {
    pub by: usize,
    pub of: usize,
    pub since: Time,
    pub until: Option<Time>,
}

pub struct World {
    pub now: Time,
    pub net: Net,
    nodes: Vec<Node>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    by_name: BTreeMap<MixerName, usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: ChaCha8Rng,
    /// Told of each process that ended: who, when; and when others believed it.
    crashes: Vec<(usize, Time)>,
    seen: Vec<Span>,
    unseen: HashSet<(usize, usize)>,
    pub false_deaths: Vec<FalseDeath>,
    /// Whether changes are judged: not while the net itself is in trouble beyond what is promised.
    pub judges: bool,
    pub plan: MembershipConfig,
    /// Mixers fall into zones by their numbers.
    pub zones: usize,
    seeds: Vec<usize>,
    /// All datagrams that left, folded: two plays of one seed must agree.
    pub folded: u32,
}

pub fn plan() -> MembershipConfig {
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

pub fn address(number: usize) -> SocketAddrV4 {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7_000)
}

impl World {
    /// Mixers that are not started yet; the first few of them are seeds for all.
    pub fn new(mixers: usize, seed: u64) -> Self {
        let node = |number: usize| Node {
            core: None,
            name: MixerName::new(&format!("mixer-{number}")),
            address: address(number),
            wake: START,
            still: None,
            sound_since: START,
            clock_back: Span::ZERO,
        };
        let nodes: Vec<Node> = (0..mixers).map(node).collect();
        let net = Net {
            loss: 0.0,
            least: Span::from_micros(200),
            most: Span::from_millis(4),
            doubled: 0.0,
            group: vec![0; mixers],
            one_way: HashSet::new(),
            ring: false,
            deaf: BTreeMap::new(),
        };
        World {
            now: START,
            net,
            by_address: nodes
                .iter()
                .enumerate()
                .map(|(nth, node)| (node.address, nth))
                .collect(),
            by_name: nodes
                .iter()
                .enumerate()
                .map(|(nth, node)| (node.name.clone(), nth))
                .collect(),
            nodes,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            crashes: Vec::new(),
            seen: Vec::new(),
            unseen: HashSet::new(),
            false_deaths: Vec::new(),
            judges: true,
            plan: plan(),
            zones: 1,
            seeds: (0..mixers.min(3)).collect(),
            folded: 0,
        }
    }

    pub fn mixers(&self) -> usize {
        self.nodes.len()
    }

    pub fn seeds(&mut self, seeds: Vec<usize>) {
        self.seeds = seeds;
    }

    pub fn core(&self, mixer: usize) -> &Core {
        self.nodes[mixer].core.as_ref().expect("it runs")
    }

    pub fn up(&self) -> impl Iterator<Item = usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.core.is_some())
            .map(|(nth, _)| nth)
    }

    /// Another address for its next life.
    pub fn move_to(&mut self, mixer: usize, number: usize) {
        self.by_address.remove(&self.nodes[mixer].address);
        self.nodes[mixer].address = address(number);
        self.by_address.insert(address(number), mixer);
    }

    /// A mixer is to be named as another is.
    pub fn rename(&mut self, mixer: usize, as_other: usize) {
        self.nodes[mixer].name = self.nodes[as_other].name.clone();
    }

    /// Its clock is this much behind, from its next start on.
    pub fn set_back(&mut self, mixer: usize, by: Span) {
        self.nodes[mixer].clock_back = by;
    }

    pub fn start(&mut self, mixer: usize) {
        // Unix time of this world began long before it.
        const EPOCH: u64 = 1_700_000_000_000_000;
        let seeds = self
            .seeds
            .iter()
            .map(|seed| self.nodes[*seed].address)
            .collect();
        let (now, seed) = (self.now, self.rng.random());
        let zone = format!("z{}", mixer % self.zones).as_str().into();
        let node = &mut self.nodes[mixer];
        let plan = MembershipConfig {
            name: node.name.clone(),
            address: node.address,
            seeds,
            zone,
            ..self.plan.clone()
        };
        let born = EPOCH
            + now
                .since(Time::from_micros(0))
                .saturating_sub(node.clock_back)
                .as_micros();
        node.core = Some(Core::new(now, born, plan, 1, seed));
        (node.sound_since, node.still) = (now, None);
        self.wake(mixer, now);
    }

    pub fn kill(&mut self, mixer: usize) {
        self.nodes[mixer].core = None;
        let crash = self.crashes.len();
        self.crashes.push((mixer, self.now));
        let others: Vec<usize> = self.up().collect();
        self.unseen
            .extend(others.into_iter().map(|other| (crash, other)));
    }

    pub fn leave(&mut self, mixer: usize) {
        let now = self.now;
        self.nodes[mixer].core.as_mut().expect("it runs").leave(now);
        self.carry(mixer);
        self.nodes[mixer].core = None;
    }

    /// It stands still for so long.
    pub fn stop(&mut self, mixer: usize, span: Span) {
        let until = self.now + span;
        self.nodes[mixer].still = Some((until, Vec::new()));
        self.later(until, Event::Resume(mixer));
    }

    /// A mixer reports what it saw and spends.
    pub fn tell(&mut self, mixer: usize, own: LocalReport) {
        let (now, node) = (self.now, &mut self.nodes[mixer]);
        if let Some(core) = node.core.as_mut().filter(|_| node.still.is_none()) {
            core.report(now, own);
            self.carry(mixer);
        }
    }

    /// What all that run may spend of a budget, a second, by its place in the plan.
    pub fn may_spend(&self, nth: usize) -> f64 {
        let of = |mixer: usize| self.core(mixer).shares(self.now)[nth].1.rate(self.now);
        self.up().map(of).sum()
    }

    /// Something was wrong with all until now.
    pub fn all_sound_from_now(&mut self) {
        let now = self.now;
        self.nodes
            .iter_mut()
            .for_each(|node| node.sound_since = now);
    }

    fn later(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn wake(&mut self, mixer: usize, at: Time) {
        self.nodes[mixer].wake = at;
        self.later(at, Event::Wake(mixer));
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let net = &self.net;
        let all = self.nodes.len();
        let neighbours = (from + 1) % all == to || (to + 1) % all == from;
        let deaf = net.deaf.get(&to).copied().unwrap_or_default();
        let open = net.group[from] == net.group[to]
            && !net.one_way.contains(&(from, to))
            && (!net.ring || neighbours);
        let (loss, chance): (f64, f64) = (1.0 - (1.0 - net.loss) * (1.0 - deaf), self.rng.random());
        open && chance >= loss
    }

    /// Carries off what a mixer wants sent, notes what it changed, and sees that it wakes.
    fn carry(&mut self, mixer: usize) {
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
            self.folded = self.folded.rotate_left(5)
                ^ bytes.iter().fold(0, |sum: u32, byte| {
                    sum.wrapping_mul(31).wrapping_add(u32::from(*byte))
                });
            let Some(to) = self.by_address.get(&at).copied() else {
                continue;
            };
            if !self.passes(mixer, to) {
                continue;
            }
            let spread = self
                .net
                .most
                .saturating_sub(self.net.least)
                .as_micros()
                .max(1);
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.net.doubled);
            for _ in 0..copies {
                let delay = self.net.least + Span::from_micros(self.rng.random_range(0..spread));
                self.later(
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
            self.note(mixer, &change);
        }
        let next = next.max(now + Span::from_micros(100));
        if self.nodes[mixer].wake <= now || next < self.nodes[mixer].wake {
            self.wake(mixer, next);
        }
    }

    fn note(&mut self, by: usize, change: &Change) {
        let Some(of) = self.by_name.get(&change.member.name).copied() else {
            return;
        };
        if change.member.state == State::Dead {
            for (crash, (mixer, at)) in self.crashes.iter().enumerate().rev().take(64) {
                if *mixer == of && self.unseen.remove(&(crash, by)) {
                    self.seen.push(self.now.since(*at));
                }
            }
            let sound = |node: &Node| node.core.is_some() && node.still.is_none();
            let (one, other) = (&self.nodes[by], &self.nodes[of]);
            let life = self.nodes[of].core.as_ref().and_then(|core| {
                core.members()
                    .find(|held| held.record.name == change.member.name)
                    .map(|h| h.record.generation)
            });
            // What was set right before may still be believed of a former life.
            let settled =
                one.sound_since.max(other.sound_since) + Span::from_millis(3_000) < self.now;
            if self.judges
                && settled
                && sound(one)
                && sound(other)
                && life == Some(change.member.generation)
            {
                self.false_deaths.push(FalseDeath {
                    by,
                    of,
                    since: self.now,
                    until: None,
                });
            }
        } else if change.member.state == State::Alive {
            let open =
                |death: &&mut FalseDeath| death.by == by && death.of == of && death.until.is_none();
            let now = self.now;
            self.false_deaths
                .iter_mut()
                .filter(open)
                .for_each(|death| death.until = Some(now));
        }
    }

    /// Plays on until an instant.
    pub fn play_until(&mut self, until: Time) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= until
        {
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.happens(event);
        }
        self.now = until;
    }

    pub fn play(&mut self, span: Span) {
        self.play_until(self.now + span);
    }

    fn happens(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram { to, from, bytes } => {
                let node = &mut self.nodes[to];
                match (&mut node.still, &mut node.core) {
                    (_, None) => return,
                    (Some((_, waiting)), _) => {
                        if waiting.len() < BUFFER {
                            waiting.push((from, bytes));
                        }
                        return;
                    }
                    (None, Some(core)) => core.handle_datagram(now, from, &bytes),
                }
                self.carry(to);
            }
            Event::Wake(mixer) => {
                let node = &mut self.nodes[mixer];
                if node.wake != now || node.still.is_some() {
                    return;
                }
                if let Some(core) = node.core.as_mut() {
                    core.handle_timeout(now);
                    self.carry(mixer);
                }
            }
            Event::Resume(mixer) => {
                let node = &mut self.nodes[mixer];
                let Some((_, waiting)) = node.still.take_if(|(until, _)| *until <= now) else {
                    return;
                };
                node.sound_since = now;
                if let Some(core) = node.core.as_mut() {
                    waiting
                        .iter()
                        .for_each(|(from, bytes)| core.handle_datagram(now, *from, bytes));
                    core.handle_timeout(now);
                    node.wake = now;
                    self.carry(mixer);
                }
            }
        }
    }

    /// Whether all that run hold the same view, of just those that run.
    pub fn agrees(&self) -> bool {
        let up: Vec<usize> = self.up().collect();
        let mut digests = up.iter().map(|mixer| self.core(*mixer).digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
            && up.iter().all(|mixer| {
                self.core(*mixer).live_count() == up.len()
                    && self.core(*mixer).status() == MembershipStatus::Member
            })
    }

    /// Plays until all agree; tells how long that took, if it did in time.
    pub fn settle(&mut self, within: Span) -> Option<Span> {
        let began = self.now;
        while !self.agrees() {
            if self.now.since(began) >= within {
                return None;
            }
            self.play(Span::from_millis(50));
        }
        Some(self.now.since(began))
    }

    /// How long it took each other mixer to believe each crash; those that have not yet count as long as that.
    pub fn crashes_seen(&mut self) -> Vec<Span> {
        let mut seen = std::mem::take(&mut self.seen);
        for (crash, by) in std::mem::take(&mut self.unseen) {
            let (of, at) = self.crashes[crash];
            // One that was started again is another life: nobody needs to have seen the crash itself.
            if self.nodes[by].core.is_some() && self.nodes[of].core.is_none() {
                seen.push(self.now.since(at));
            }
        }
        seen
    }

    /// Counts of all that run, added up.
    pub fn counts(&self) -> Counts {
        let mut all = Counts::default();
        for mixer in self.up() {
            let counts = self.core(mixer).counts();
            all.datagrams_out += counts.datagrams_out;
            all.bytes_out += counts.bytes_out;
            all.exchanges += counts.exchanges;
            all.suspected += counts.suspected;
            all.refuted += counts.refuted;
            all.stood_still += counts.stood_still;
        }
        all
    }

    /// The state in which one holds another.
    pub fn holds(&self, by: usize, of: usize) -> Option<State> {
        let name = &self.nodes[of].name;
        self.core(by)
            .members()
            .find(|held| held.record.name == *name)
            .map(|held| held.record.state)
    }
}
