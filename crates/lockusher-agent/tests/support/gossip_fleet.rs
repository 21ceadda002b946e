//! Simulation of a fleet of gossiping agents without sockets; messages may be lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_agent::peers::gossip::{Gossip, IDLE_GOSSIP_INTERVAL_MS, Outgoing};
use lockusher_agent::peers::message::InstanceDeparture;
use lockusher_agent::peers::view::VIEW_SIZE;
use lockusher_distribution::departures::Departure;
use lockusher_distribution::message::Envelope;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Address of the agent with this number.
pub fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 7661)
}

/// The draining of the searcher with this number.
pub fn rumor(number: u32) -> InstanceDeparture {
    InstanceDeparture {
        identifier: format!("i-{number:08x}"),
        departure: Departure::Draining,
    }
}

/// A simulated agent.
pub struct Agent {
    pub gossip: Gossip,
    /// Searchers that the agent knows to have departed.
    pub known_departed: BTreeSet<String>,
    pub is_alive: bool,
}

impl Agent {
    /// Records a departure that is new to the agent, and spreads it.
    pub fn observe(&mut self, observed: InstanceDeparture) {
        self.known_departed.insert(observed.identifier.clone());
        self.gossip.add_rumor(observed);
    }
}

/// A simulated fleet.
pub struct Fleet {
    pub agents: BTreeMap<SocketAddrV4, Agent>,
    random: ChaCha8Rng,
    /// Probability that a message is lost.
    loss_probability: f64,
    now_ms: u64,
    /// Total size of all messages in bytes.
    pub sent_bytes: usize,
    /// Size of the longest message in bytes.
    pub longest_message_bytes: usize,
}

impl Fleet {
    /// A fleet in which each agent has a random sample of the preceding agents as bootstrap peers.
    pub fn new(count: usize, loss_probability: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut agents = BTreeMap::new();
        for number in 0..count {
            let mut gossip = Gossip::new(address(number), number as u64);
            let before: Vec<SocketAddrV4> = (0..number).map(address).collect();
            let sample: Vec<SocketAddrV4> =
                before.sample(&mut random, VIEW_SIZE).copied().collect();
            gossip.set_bootstrap_peers(&sample);
            agents.insert(
                address(number),
                Agent {
                    gossip,
                    known_departed: BTreeSet::new(),
                    is_alive: true,
                },
            );
        }
        Fleet {
            agents,
            random,
            loss_probability,
            now_ms: 0,
            sent_bytes: 0,
            longest_message_bytes: 0,
        }
    }

    /// The living agents.
    pub fn alive(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|agent| agent.is_alive)
    }

    pub fn agent(&mut self, number: usize) -> &mut Agent {
        self.agents
            .get_mut(&address(number))
            .expect("the number is below the fleet's size")
    }

    /// Simulates a number of gossip intervals.
    pub fn gossip(&mut self, intervals: usize) {
        for _ in 0..intervals {
            self.gossip_once();
        }
    }

    /// Each living agent starts one exchange, whose messages are delivered or lost.
    fn gossip_once(&mut self) {
        self.now_ms += IDLE_GOSSIP_INTERVAL_MS;
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for from in addresses {
            let agent = self
                .agents
                .get_mut(&from)
                .expect("addresses are those of agents");
            if !agent.is_alive {
                continue;
            }
            let mut in_flight: VecDeque<(SocketAddrV4, Outgoing)> = VecDeque::new();
            in_flight.extend(
                agent
                    .gossip
                    .start_exchange(self.now_ms)
                    .map(|outgoing| (from, outgoing)),
            );
            while let Some((from, outgoing)) = in_flight.pop_front() {
                let response = self.deliver(from, &outgoing);
                in_flight.extend(response.map(|response| (outgoing.to, response)));
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, outgoing: &Outgoing) -> Option<Outgoing> {
        let bytes = bitcode::encode(&Envelope::encode(&outgoing.message)).len();
        self.sent_bytes += bytes;
        self.longest_message_bytes = self.longest_message_bytes.max(bytes);
        if self.random.random_bool(self.loss_probability) {
            return None;
        }
        let agent = self
            .agents
            .get_mut(&outgoing.to)
            .filter(|agent| agent.is_alive)?;
        let received = agent
            .gossip
            .receive(self.now_ms, from, outgoing.message.clone());
        for observed in received.departures {
            if !agent.known_departed.contains(&observed.identifier) {
                agent.observe(observed);
            }
        }
        received.response
    }

    /// Number of living agents that are connected to the first one, views being edges in both directions.
    pub fn connected_agents(&self) -> usize {
        let mut neighbours: BTreeMap<SocketAddrV4, BTreeSet<SocketAddrV4>> = BTreeMap::new();
        for (own, agent) in self.agents.iter().filter(|(_, agent)| agent.is_alive) {
            for peer in agent
                .gossip
                .view()
                .addresses()
                .filter(|peer| self.agents[peer].is_alive)
            {
                neighbours.entry(*own).or_default().insert(peer);
                neighbours.entry(peer).or_default().insert(*own);
            }
        }
        let Some(first) = neighbours.keys().next().copied() else {
            return 0;
        };
        let mut reached = BTreeSet::from([first]);
        let mut unvisited = vec![first];
        while let Some(next) = unvisited.pop() {
            for peer in &neighbours[&next] {
                if reached.insert(*peer) {
                    unvisited.push(*peer);
                }
            }
        }
        reached.len()
    }

    /// For each agent, the number of living agents' views that contain it.
    pub fn in_degrees(&self) -> BTreeMap<SocketAddrV4, usize> {
        let mut degrees: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
        for agent in self.alive() {
            for peer in agent.gossip.view().addresses() {
                *degrees.entry(peer).or_default() += 1;
            }
        }
        degrees
    }
}
