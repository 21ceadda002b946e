//! Peer sampling and gossip, simulated: views stay small, random and connected, and what is told reaches everyone.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_agent::peers::fetch_policy::FetchPolicy;
use lockusher_agent::peers::gossip::{Gossip, IDLE_GOSSIP_INTERVAL_MS, Outgoing, URGENT_GOSSIP_INTERVAL_MS};
use lockusher_agent::peers::message::{InstanceDeparture, PeerEntry, PeerMessage};
use lockusher_agent::peers::rumors::Rumors;
use lockusher_agent::peers::view::{SHUFFLE_SIZE, VIEW_SIZE};
use lockusher_distribution::departures::Departure;
use lockusher_distribution::message::Envelope;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 7661)
}

fn rumor(number: u32) -> InstanceDeparture {
    InstanceDeparture { identifier: format!("i-{number:08x}"), departure: Departure::Draining }
}

struct Agent {
    gossip: Gossip,
    known: BTreeSet<String>,
    alive: bool,
}

struct Fleet {
    agents: BTreeMap<SocketAddrV4, Agent>,
    random: ChaCha8Rng,
    loss: f64,
    now_ms: u64,
    bytes: usize,
    longest: usize,
}

impl Fleet {
    /// Agents that the control plane introduced to a few of those that had come before them.
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut agents = BTreeMap::new();
        for number in 0..count {
            let mut gossip = Gossip::new(address(number), number as u64);
            let before: Vec<SocketAddrV4> = (0..number).map(address).collect();
            let sample: Vec<SocketAddrV4> = before.sample(&mut random, VIEW_SIZE).copied().collect();
            gossip.introduce(&sample);
            agents.insert(address(number), Agent { gossip, known: BTreeSet::new(), alive: true });
        }
        Fleet { agents, random, loss, now_ms: 0, bytes: 0, longest: 0 }
    }

    fn alive(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|agent| agent.alive)
    }

    /// Every living agent begins one round; messages arrive, or are lost.
    fn round(&mut self) {
        self.now_ms += IDLE_GOSSIP_INTERVAL_MS;
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for from in addresses {
            let agent = self.agents.get_mut(&from).expect("an agent");
            if !agent.alive {
                continue;
            }
            let mut under_way: VecDeque<(SocketAddrV4, Outgoing)> = VecDeque::new();
            under_way.extend(agent.gossip.start_exchange(self.now_ms).map(|outgoing| (from, outgoing)));
            while let Some((from, outgoing)) = under_way.pop_front() {
                let answer = self.deliver(from, &outgoing);
                under_way.extend(answer.map(|answer| (outgoing.to, answer)));
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, outgoing: &Outgoing) -> Option<Outgoing> {
        let bytes = bitcode::encode(&Envelope::seal(&outgoing.message)).len();
        self.bytes += bytes;
        self.longest = self.longest.max(bytes);
        if self.random.random_bool(self.loss) {
            return None;
        }
        let agent = self.agents.get_mut(&outgoing.to).filter(|agent| agent.alive)?;
        let received = agent.gossip.receive(self.now_ms, from, outgoing.message.clone());
        for rumor in received.departures {
            if agent.known.insert(rumor.identifier.clone()) {
                agent.gossip.add_rumor(rumor);
            }
        }
        received.response
    }

    /// How many living agents can be reached over views, in either direction, from the first.
    fn connected(&self) -> usize {
        let mut neighbours: BTreeMap<SocketAddrV4, BTreeSet<SocketAddrV4>> = BTreeMap::new();
        for (own, agent) in self.agents.iter().filter(|(_, agent)| agent.alive) {
            for peer in agent.gossip.view().addresses().filter(|peer| self.agents[peer].alive) {
                neighbours.entry(*own).or_default().insert(peer);
                neighbours.entry(peer).or_default().insert(*own);
            }
        }
        let Some(first) = neighbours.keys().next().copied() else { return 0 };
        let mut reached = BTreeSet::from([first]);
        let mut open = vec![first];
        while let Some(next) = open.pop() {
            for peer in &neighbours[&next] {
                if reached.insert(*peer) {
                    open.push(*peer);
                }
            }
        }
        reached.len()
    }

    /// How many views each living agent stands in.
    fn in_degrees(&self) -> BTreeMap<SocketAddrV4, usize> {
        let mut degrees: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
        for agent in self.alive() {
            for peer in agent.gossip.view().addresses() {
                *degrees.entry(peer).or_default() += 1;
            }
        }
        degrees
    }
}

#[yare::parameterized(
    sound = { 400, 0.0, 1 },
    lossy = { 400, 0.05, 2 },
    small = { 6, 0.02, 3 },
)]
fn views_stay_small_balanced_and_connected(count: usize, loss: f64, seed: u64) {
    let mut fleet = Fleet::new(count, loss, seed);
    for _ in 0..60 {
        fleet.round();
    }
    for (own, agent) in &fleet.agents {
        let peers: Vec<SocketAddrV4> = agent.gossip.view().addresses().collect();
        assert!(peers.len() <= VIEW_SIZE);
        assert!(!peers.contains(own), "an agent doesn't know itself");
        assert_eq!(peers.iter().collect::<BTreeSet<_>>().len(), peers.len(), "no peer stands twice");
    }
    assert_eq!(fleet.connected(), count);
    let degrees = fleet.in_degrees();
    assert!(degrees.values().all(|degree| *degree <= 4 * VIEW_SIZE), "{degrees:?}");
    let a_round_of_one = fleet.bytes / 60 / count;
    assert!(a_round_of_one <= 160, "{a_round_of_one} bytes a round and agent");
}

#[test]
fn agents_that_have_ended_are_forgotten_and_the_rest_stays_connected() {
    let mut fleet = Fleet::new(400, 0.0, 4);
    for _ in 0..20 {
        fleet.round();
    }
    for number in (0..400).filter(|number| number % 3 == 0) {
        fleet.agents.get_mut(&address(number)).expect("an agent").alive = false;
    }
    for _ in 0..40 {
        fleet.round();
    }
    assert_eq!(fleet.connected(), fleet.alive().count());
    let dead = fleet.in_degrees().into_keys().filter(|peer| !fleet.agents[peer].alive).count();
    assert_eq!(dead, 0, "nobody knows one of the dead");
}

#[yare::parameterized(
    sound = { 400, 0.0 },
    lossy = { 400, 0.05 },
    small = { 6, 0.0 },
)]
fn a_rumor_reaches_nearly_everyone_in_ten_gossiping(count: usize, loss: f64) {
    let mut reached = 0;
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, loss, seed);
        for _ in 0..10 {
            fleet.round();
        }
        let first = fleet.agents.get_mut(&address(0)).expect("an agent");
        first.known.insert(rumor(1).identifier);
        first.gossip.add_rumor(rumor(1));
        for _ in 0..10 {
            fleet.round();
        }
        reached += fleet.alive().filter(|agent| agent.known.contains(&rumor(1).identifier)).count();
    }
    let share = reached as f64 / (5 * count) as f64;
    assert!(share >= 0.985, "{share} of the agents");
}

#[test]
fn many_rumors_fit_a_datagram_and_cease_to_be_told() {
    let mut fleet = Fleet::new(50, 0.0, 5);
    for number in 0..300 {
        fleet
            .agents
            .get_mut(&address(0))
            .expect("an agent")
            .gossip
            .add_rumor(InstanceDeparture { departure: Departure::Gone, ..rumor(number) });
    }
    for _ in 0..100 {
        fleet.round();
    }
    assert!(fleet.longest <= 1_200, "{} bytes", fleet.longest);
    fleet.longest = 0;
    fleet.round();
    assert!(fleet.longest <= 100, "{} bytes at rest", fleet.longest);
}

#[test]
fn rumors_told_least_go_first_and_the_latest_end_counts() {
    let mut rumors = Rumors::default();
    rumors.add(rumor(1));
    rumors.take_for_message();
    rumors.add(rumor(2));
    rumors.add(InstanceDeparture { departure: Departure::Gone, ..rumor(1) });
    assert_eq!(rumors.take_for_message().len(), 2);
    rumors.add(InstanceDeparture { identifier: "x".repeat(100), departure: Departure::Gone });
    assert_eq!(rumors.take_for_message().len(), 2, "an endless identifier isn't told");
    for _ in 0..10 {
        rumors.take_for_message();
    }
    assert!(rumors.is_empty());
}

#[test]
fn rounds_are_quicker_when_the_core_is_silent_and_there_is_something_to_tell() {
    let mut gossip = Gossip::new(address(1), 1);
    assert!(gossip.next_exchange_ms(true) >= IDLE_GOSSIP_INTERVAL_MS);
    gossip.add_rumor(rumor(1));
    assert_eq!(gossip.next_exchange_ms(true), URGENT_GOSSIP_INTERVAL_MS);
    assert!(gossip.next_exchange_ms(false) >= IDLE_GOSSIP_INTERVAL_MS);
}

/// A peer that sends more than it should, or itself, or the receiver, does no harm.
#[test]
fn strange_entries_do_no_harm() {
    let mut gossip = Gossip::new(address(0), 1);
    let flood: Vec<PeerEntry> =
        (0..1_000).map(|number| PeerEntry { address: address(number / 2), age: 0 }).collect();
    let message = PeerMessage::ShuffleRequest { entries: flood, update: Default::default() };
    gossip.receive(0, address(7), message);
    assert!(gossip.view().addresses().count() <= SHUFFLE_SIZE);
    assert!(gossip.view().addresses().all(|peer| peer != address(0)));
}

#[test]
fn a_configuration_is_fetched_from_who_has_the_newest_when_the_core_does_not_bring_it() {
    let mut policy = FetchPolicy::default();
    policy.advertise(0, address(1), 5, 5);
    assert_eq!(policy.take_due(10_000, 5), None, "nothing newer was heard of");
    policy.advertise(10_000, address(1), 7, 5);
    policy.advertise(10_100, address(2), 9, 5);
    policy.advertise(10_200, address(3), 8, 5);
    assert_eq!(policy.take_due(10_300, 5), None, "the core may still bring it");
    assert_eq!(policy.take_due(10_800, 5), Some(address(2)));
    assert_eq!(policy.take_due(20_000, 5), None);
    policy.advertise(30_000, address(2), 9, 5);
    assert_eq!(policy.take_due(40_000, 9), None, "the core brought it");
}
