//! Simulation of an instance list and its subscribers: the platform, control nodes that lag behind it, the agent's list
//! selection, and the presence of each searcher as seen by a proxy.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use lockusher_agent::list_selection::ListSelection;
use lockusher_config::instances::{Instance, InstanceListRevision, InstanceState};
use lockusher_distribution::instance_list::InstanceList;
use lockusher_distribution::instance_list_poller::InstanceListPoll;
use lockusher_distribution::revision::next_poller_revision;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::common::instance;

/// Result of a poll by the agent.
pub fn own_poll(started_at_ms: u64, instances: &[Instance]) -> InstanceListPoll {
    InstanceListPoll {
        instances: Rc::new(instances.to_vec()),
        changed: true,
        started_at_ms,
        calls: 1,
    }
}

/// The platform: searchers that start, drain and terminate over time.
struct Platform {
    /// The state of each searcher that was ever started; `None` if it has terminated.
    states: BTreeMap<String, Option<InstanceState>>,
    started: u32,
    /// The list after each change, by time.
    history: BTreeMap<u64, Rc<Vec<Instance>>>,
}

impl Platform {
    fn new() -> Self {
        Platform {
            states: BTreeMap::new(),
            started: 0,
            history: BTreeMap::from([(0, Rc::new(vec![]))]),
        }
    }

    /// Starts a searcher, or makes one drain or terminate.
    fn change(&mut self, now_ms: u64, random: &mut ChaCha8Rng) {
        let running: Vec<String> = self
            .states
            .iter()
            .filter(|(_, state)| state.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        if running.len() < 4 || random.random_bool(0.4) {
            self.started += 1;
            self.states
                .insert(format!("i{:04}", self.started), Some(InstanceState::Ready));
        } else {
            let name = &running[random.random_range(0..running.len())];
            let next = match self.states[name] {
                Some(InstanceState::Ready) if random.random_bool(0.7) => {
                    Some(InstanceState::Draining)
                }
                _ => None,
            };
            self.states.insert(name.clone(), next);
        }
        self.history.insert(now_ms, Rc::new(self.listed()));
    }

    fn listed(&self) -> Vec<Instance> {
        let running = self
            .states
            .iter()
            .filter_map(|(name, state)| state.map(|state| (name, state)));
        running
            .map(|(name, state)| Instance {
                state,
                ..instance(name)
            })
            .collect()
    }

    fn list_at(&self, now_ms: u64) -> Rc<Vec<Instance>> {
        let mut until_now = self.history.range(..=now_ms);
        Rc::clone(
            until_now
                .next_back()
                .expect("the history begins with an empty list")
                .1,
        )
    }
}

/// A control node: the last poll that it received, which may be long ago.
#[derive(Clone)]
struct ControlNode {
    list: InstanceList,
    polled_at_ms: u64,
}

/// A proxy with the departures that it has correctly observed; it survives restarts of its agent.
#[derive(Default)]
struct Proxy {
    revision: InstanceListRevision,
    instances: Rc<Vec<Instance>>,
    /// The most advanced presence of each searcher that was shown while it was also true.
    observed: HashMap<String, Presence>,
    /// Searchers missing from the list although alive, because the list was older than its confirmation time. Changes
    /// of their state since then weren't observed.
    wrongly_missing: HashSet<String>,
}

/// Presence of a searcher in a list, in the order in which it can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Presence {
    /// Listed as ready or as changing its stage.
    Present,
    Draining,
    Gone,
}

impl Proxy {
    /// Applies an update. A searcher whose departure was observed must not return within one agent's lifetime. One that
    /// is alive may be missing temporarily, if a list is older than its confirmation time.
    fn apply(&mut self, update: &InstanceList, platform: &[Instance]) {
        if update.revision <= self.revision {
            return;
        }
        self.revision = update.revision;
        self.instances = Rc::clone(&update.instances);
        let listed = by_name(&update.instances);
        let actual = by_name(platform);
        for (name, observed) in &mut self.observed {
            let shown = presence(&listed, name);
            assert!(shown >= *observed, "{name} returned after its departure");
            let actual_presence = presence(&actual, name);
            if shown < Presence::Gone {
                self.wrongly_missing.remove(name);
            } else if actual_presence < Presence::Gone {
                self.wrongly_missing.insert(name.clone());
            }
            if !self.wrongly_missing.contains(name) {
                *observed = (*observed).max(shown.min(actual_presence));
            }
        }
        for instance in update.instances.iter() {
            let shown = presence(&listed, &instance.identifier);
            self.observed
                .entry(instance.identifier.clone())
                .or_insert(shown);
        }
    }
}

fn by_name(instances: &[Instance]) -> HashMap<&str, InstanceState> {
    instances
        .iter()
        .map(|entry| (entry.identifier.as_str(), entry.state))
        .collect()
}

fn presence(listed: &HashMap<&str, InstanceState>, name: &str) -> Presence {
    match listed.get(name) {
        Some(InstanceState::Ready | InstanceState::Changing) => Presence::Present,
        Some(InstanceState::Draining) => Presence::Draining,
        None => Presence::Gone,
    }
}

/// The platform, three control nodes, one agent after another, and a proxy.
pub struct ListSimulation {
    random: ChaCha8Rng,
    now_ms: u64,
    platform: Platform,
    /// The last revision that the control plane's poller assigned.
    last_polled: InstanceListRevision,
    nodes: Vec<ControlNode>,
    lists: ListSelection,
    /// The last revision that the agent's subscription has received.
    last_received: InstanceListRevision,
    proxy: Proxy,
}

impl ListSimulation {
    pub fn new(seed: u64) -> Self {
        let empty = InstanceList {
            revision: InstanceListRevision::default(),
            instances: Rc::new(vec![]),
        };
        ListSimulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000,
            platform: Platform::new(),
            last_polled: InstanceListRevision::default(),
            nodes: vec![
                ControlNode {
                    list: empty,
                    polled_at_ms: 0
                };
                3
            ],
            lists: ListSelection::default(),
            last_received: InstanceListRevision::default(),
            proxy: Proxy::default(),
        }
    }

    /// The list that the proxy has applied.
    pub fn proxy_list(&self) -> &Rc<Vec<Instance>> {
        &self.proxy.instances
    }

    /// Advances the clock and simulates one random event.
    pub fn step(&mut self) {
        self.now_ms += self.random.random_range(1..200);
        match self.random.random_range(0..10) {
            0..3 => self.platform.change(self.now_ms, &mut self.random),
            3..5 => self.control_plane_polls(),
            5..8 => self.agent_receives_from_a_control_node(),
            8 => self.agent_polls(),
            _ if self.random.random_bool(0.1) => self.agent_restarts(),
            _ => {}
        }
        self.lists
            .receive_proxy_revision(self.now_ms, self.proxy.revision);
        self.publish();
    }

    /// Advances the clock by 31 s, after which the control plane is reachable and has just polled; returns its list.
    pub fn recover(&mut self) -> Rc<Vec<Instance>> {
        self.now_ms += 31_000;
        self.last_polled = next_poller_revision(self.last_polled, 2);
        let newest = InstanceList {
            revision: self.last_polled,
            instances: self.platform.list_at(self.now_ms),
        };
        self.lists
            .receive_control_list(self.now_ms, &newest, Some(self.now_ms));
        self.publish();
        newest.instances
    }

    /// The control plane polls the platform; a random subset of the control nodes receives the result.
    fn control_plane_polls(&mut self) {
        let instances = self.platform.list_at(self.now_ms);
        let is_known = |node: &ControlNode| {
            node.list.revision == self.last_polled && node.list.instances == instances
        };
        if !self.nodes.iter().any(is_known) {
            self.last_polled = next_poller_revision(self.last_polled, 1);
        }
        let list = InstanceList {
            revision: self.last_polled,
            instances,
        };
        let polled = ControlNode {
            list,
            polled_at_ms: self.now_ms,
        };
        for node in &mut self.nodes {
            if self.random.random_bool(0.5) {
                *node = polled.clone();
            }
        }
    }

    /// The agent receives a control node's list. As in a subscription, older lists are ignored, and a confirmation
    /// applies only to the list it comes with.
    fn agent_receives_from_a_control_node(&mut self) {
        let node = &self.nodes[self.random.random_range(0..self.nodes.len())];
        let has_polled = node.list.revision != InstanceListRevision::default();
        if has_polled && node.list.revision >= self.last_received {
            self.last_received = node.list.revision;
            // Heartbeats arrive with a delay, so a confirmation may be dated later than it was.
            let delay_ms = self.random.random_range(0..1_500);
            let confirmed_at_ms = (node.polled_at_ms + delay_ms).min(self.now_ms);
            self.lists
                .receive_control_list(self.now_ms, &node.list, Some(confirmed_at_ms));
        }
    }

    fn agent_polls(&mut self) {
        let poll = own_poll(self.now_ms, &self.platform.list_at(self.now_ms));
        self.lists.receive_own_poll(self.now_ms, &poll);
    }

    fn agent_restarts(&mut self) {
        self.lists = ListSelection::default();
        self.last_received = InstanceListRevision::default();
        self.lists
            .receive_proxy_revision(self.now_ms, self.proxy.revision);
        // The new agent doesn't know which searchers the previous one saw draining; these may return.
        self.proxy.observed.clear();
    }

    fn publish(&mut self) {
        if let Some(update) = self.lists.take_update(self.now_ms) {
            self.proxy
                .apply(&update, &self.platform.list_at(self.now_ms));
        }
    }
}
