//! Simulation of an instance list and those who follow it: the platform, control nodes that lag behind it, the agent's
//! list selection, and what a proxy sees of each searcher.

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

/// A poll that an agent made itself.
pub fn own_poll(started_at_ms: u64, instances: &[Instance]) -> InstanceListPoll {
    InstanceListPoll {
        instances: Rc::new(instances.to_vec()),
        changed: true,
        started_at_ms,
        calls: 1,
    }
}

/// The platform: searchers that start, drain and terminate, each by its time.
struct Platform {
    /// The state of each searcher that was ever started; `None`: it has terminated.
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

    /// Starts a searcher, or lets one drain or terminate.
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

/// A control node: the last poll that it received, sometimes long ago.
#[derive(Clone)]
struct ControlNode {
    list: InstanceList,
    polled_at_ms: u64,
}

/// What a proxy saw of each searcher that was also true; it outlives its agents.
#[derive(Default)]
struct Proxy {
    revision: InstanceListRevision,
    instances: Rc<Vec<Instance>>,
    /// How far each searcher was surely seen to have departed.
    seen: HashMap<String, Presence>,
    /// Missing since a list that was older than it seemed: whatever befell them since then wasn't seen.
    hidden: HashSet<String>,
}

/// What a list shows of a searcher, in the order in which it can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Presence {
    /// Ready or changing its stage.
    Present,
    Draining,
    Gone,
}

impl Proxy {
    /// Takes an update. A searcher that has departed, and was seen so, must not come back within one agent's lifetime;
    /// one that is alive may be missing for a while, when a list is older than it seems.
    fn take(&mut self, update: &InstanceList, platform: &[Instance]) {
        if update.revision <= self.revision {
            return;
        }
        self.revision = update.revision;
        self.instances = Rc::clone(&update.instances);
        let listed = by_name(&update.instances);
        let truth = by_name(platform);
        for (name, seen) in &mut self.seen {
            let shown = presence(&listed, name);
            assert!(shown >= *seen, "{name} came back");
            let true_presence = presence(&truth, name);
            if shown < Presence::Gone {
                self.hidden.remove(name);
            } else if true_presence < Presence::Gone {
                self.hidden.insert(name.clone());
            }
            if !self.hidden.contains(name) {
                *seen = (*seen).max(shown.min(true_presence));
            }
        }
        for instance in update.instances.iter() {
            let shown = presence(&listed, &instance.identifier);
            self.seen
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
    polled: InstanceListRevision,
    nodes: Vec<ControlNode>,
    lists: ListSelection,
    /// The revision of the agent's subscription.
    subscribed: InstanceListRevision,
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
            polled: InstanceListRevision::default(),
            nodes: vec![
                ControlNode {
                    list: empty,
                    polled_at_ms: 0
                };
                3
            ],
            lists: ListSelection::default(),
            subscribed: InstanceListRevision::default(),
            proxy: Proxy::default(),
        }
    }

    /// The list that the proxy has applied.
    pub fn proxy_list(&self) -> &Rc<Vec<Instance>> {
        &self.proxy.instances
    }

    /// Lets some time pass, and one thing happen.
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

    /// After a while the control plane is reachable and has just polled; returns its list.
    pub fn recover(&mut self) -> Rc<Vec<Instance>> {
        self.now_ms += 31_000;
        self.polled = next_poller_revision(self.polled, 2);
        let newest = InstanceList {
            revision: self.polled,
            instances: self.platform.list_at(self.now_ms),
        };
        self.lists
            .receive_control_list(self.now_ms, &newest, Some(self.now_ms));
        self.publish();
        newest.instances
    }

    /// Some control nodes receive the poll.
    fn control_plane_polls(&mut self) {
        let instances = self.platform.list_at(self.now_ms);
        let is_known = |node: &ControlNode| {
            node.list.revision == self.polled && node.list.instances == instances
        };
        if !self.nodes.iter().any(is_known) {
            self.polled = next_poller_revision(self.polled, 1);
        }
        let list = InstanceList {
            revision: self.polled,
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

    /// A subscription ignores older lists and confirms only its own.
    fn agent_receives_from_a_control_node(&mut self) {
        let node = &self.nodes[self.random.random_range(0..self.nodes.len())];
        let has_polled = node.list.revision != InstanceListRevision::default();
        if has_polled && node.list.revision >= self.subscribed {
            self.subscribed = node.list.revision;
            // Heartbeats take their time, so that a confirmation seems later than it was.
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
        self.subscribed = InstanceListRevision::default();
        self.lists
            .receive_proxy_revision(self.now_ms, self.proxy.revision);
        // What the agent before saw draining isn't remembered by the new one; it may come back.
        self.proxy.seen.clear();
    }

    fn publish(&mut self) {
        if let Some(update) = self.lists.take_update(self.now_ms) {
            self.proxy
                .take(&update, &self.platform.list_at(self.now_ms));
        }
    }
}
