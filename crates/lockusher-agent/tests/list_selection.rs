//! Which list is in force, and under which revision it goes to the proxy.

#[path = "../../lockusher-distribution/tests/common/mod.rs"]
mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use common::{draining, instance, revision};
use lockusher_agent::list_selection::ListSelection;
use lockusher_agent::peers::message::InstanceDeparture;
use lockusher_config::instances::{Instance, InstanceListRevision, InstanceState};
use lockusher_distribution::departures::Departure;
use lockusher_distribution::instance_list::InstanceList;
use lockusher_distribution::instance_list_poller::InstanceListPoll;
use lockusher_distribution::revision::{POLLER_REVISION_STEP, is_poller_revision, next_poller_revision};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn list(sequence: u64, instances: &[Instance]) -> InstanceList {
    InstanceList {
        revision: revision(1, sequence * POLLER_REVISION_STEP),
        instances: Rc::new(instances.to_vec()),
    }
}

fn reading(started_at_ms: u64, instances: &[Instance]) -> InstanceListPoll {
    InstanceListPoll { instances: Rc::new(instances.to_vec()), changed: true, started_at_ms, calls: 1 }
}

fn departure(identifier: &str, departure: Departure) -> InstanceDeparture {
    InstanceDeparture { identifier: identifier.to_owned(), departure }
}

fn names(update: &InstanceList) -> Vec<&str> {
    update.instances.iter().map(|instance| instance.identifier.as_str()).collect()
}

#[test]
fn the_control_planes_list_is_passed_on_under_its_own_revision() {
    let mut lists = ListSelection::default();
    let first = list(1, &[instance("a")]);
    lists.receive_control_list(0, &first, None);
    assert_eq!(lists.take_update(0), Some(first));
    assert_eq!(lists.take_update(0), None);
}

#[test]
fn an_own_reading_wins_until_the_control_plane_has_caught_up() {
    let mut lists = ListSelection::default();
    lists.receive_control_list(1_000, &list(1, &[instance("a")]), Some(1_000));
    lists.take_update(1_000);
    lists.receive_own_poll(5_000, &reading(5_000, &[instance("a"), instance("b")]));
    let own = lists.take_update(5_100).expect("the own reading");
    assert_eq!(names(&own), ["a", "b"]);
    assert!(!is_poller_revision(own.revision));

    // A control node that is itself behind brings a newer revision of an older list.
    lists.receive_control_list(3_000, &list(2, &[instance("a"), instance("c")]), Some(3_000));
    assert_eq!(lists.take_update(5_200), None);

    lists.receive_control_list(6_000, &list(3, &[instance("b")]), Some(6_000));
    let caught_up = lists.take_update(6_100).expect("the control plane's list");
    assert_eq!(caught_up, list(3, &[instance("b")]));
}

/// The control plane's list needn't change to be right again.
#[test]
fn a_confirmed_list_that_did_not_change_wins_under_a_higher_revision() {
    let mut lists = ListSelection::default();
    let unchanged = list(1, &[instance("a"), instance("b")]);
    lists.receive_control_list(1_000, &unchanged, Some(1_000));
    lists.take_update(1_000);
    lists.receive_own_poll(5_000, &reading(5_000, &[instance("a"), instance("b"), instance("c")]));
    let own = lists.take_update(5_100).expect("the own reading");
    lists.receive_control_list(6_000, &unchanged, Some(6_000));
    let update = lists.take_update(6_100).expect("the confirmed list");
    assert_eq!(update.instances, unchanged.instances);
    assert!(update.revision > own.revision);
    assert!(update.revision < list(2, &[]).revision, "the reader's next change wins");
}

#[test]
fn a_reading_older_than_the_confirmed_list_is_not_taken() {
    let mut lists = ListSelection::default();
    lists.receive_control_list(6_000, &list(1, &[instance("a")]), Some(6_000));
    lists.take_update(6_000);
    lists.receive_own_poll(5_000, &reading(5_000, &[]));
    assert_eq!(lists.take_update(6_100), None);
}

#[test]
fn what_was_seen_draining_or_gone_does_not_come_back_with_an_older_list() {
    let mut lists = ListSelection::default();
    let control = list(1, &[instance("a"), instance("b"), instance("c")]);
    lists.receive_control_list(1_000, &control, Some(1_000));
    lists.take_update(1_000);
    lists.receive_own_poll(5_000, &reading(5_000, &[draining("a"), instance("c")]));
    lists.take_update(5_100);
    // By a wrong date the older list counts as confirmed later.
    lists.receive_control_list(5_400, &control, Some(5_400));
    assert_eq!(lists.take_update(5_500), None, "the same list remains: a drains, b is gone");
    let in_force = lists.in_force().expect("a list");
    assert_eq!(*in_force.instances, [draining("a"), instance("c")]);
}

#[test]
fn an_end_that_another_agent_saw_holds_at_once() {
    let mut lists = ListSelection::default();
    lists.receive_control_list(1_000, &list(1, &[instance("a"), instance("b")]), Some(1_000));
    lists.take_update(1_000);
    assert!(lists.record_peer_departure(2_000, &departure("a", Departure::Draining)));
    assert!(lists.record_peer_departure(2_000, &departure("b", Departure::Gone)));
    assert!(!lists.record_peer_departure(2_100, &departure("b", Departure::Gone)));
    let update = lists.take_update(2_100).expect("an update");
    assert_eq!(*update.instances, [draining("a")]);
}

#[test]
fn a_new_agent_does_not_replace_the_proxys_list_by_one_that_may_be_older() {
    let mut lists = ListSelection::default();
    let held = revision(1, 2 * POLLER_REVISION_STEP + 7);
    let control = list(2, &[instance("a")]);
    lists.receive_control_list(900, &control, Some(900));
    assert_eq!(lists.take_update(900), Some(control.clone()));
    lists.receive_proxy_revision(1_000, held);
    lists.receive_control_list(1_100, &control, Some(1_100));
    assert_eq!(lists.take_update(1_100), None);
    lists.receive_control_list(1_400, &control, Some(1_400));
    let update = lists.take_update(1_400).expect("surely newer than what the proxy holds");
    assert!(update.revision > held);
    assert_eq!(update.instances, control.instances);
    assert_eq!(lists.take_update(1_500), None);
}

#[test]
fn the_readers_numbers_leave_room_and_start_anew_in_a_new_epoch() {
    let first = next_poller_revision(InstanceListRevision::default(), 3);
    assert_eq!(first, revision(3, POLLER_REVISION_STEP));
    assert_eq!(
        next_poller_revision(revision(3, POLLER_REVISION_STEP + 12), 3),
        revision(3, 2 * POLLER_REVISION_STEP)
    );
    assert_eq!(
        next_poller_revision(revision(3, 9 * POLLER_REVISION_STEP), 4),
        revision(4, POLLER_REVISION_STEP)
    );
}

/// The platform: searchers that start, drain and end, each by its time.
struct Platform {
    states: BTreeMap<String, Option<InstanceState>>,
    started: u32,
    /// The list after each change, by time.
    history: BTreeMap<u64, Rc<Vec<Instance>>>,
}

impl Platform {
    fn new() -> Self {
        Platform { states: BTreeMap::new(), started: 0, history: BTreeMap::from([(0, Rc::new(vec![]))]) }
    }

    fn change(&mut self, now_ms: u64, random: &mut ChaCha8Rng) {
        let running: Vec<String> =
            self.states.iter().filter(|(_, state)| state.is_some()).map(|(name, _)| name.clone()).collect();
        if running.len() < 4 || random.random_bool(0.4) {
            self.started += 1;
            self.states.insert(format!("i{:04}", self.started), Some(InstanceState::Ready));
        } else {
            let name = &running[random.random_range(0..running.len())];
            let next = match self.states[name] {
                Some(InstanceState::Ready) if random.random_bool(0.7) => Some(InstanceState::Draining),
                _ => None,
            };
            self.states.insert(name.clone(), next);
        }
        let listed = self
            .states
            .iter()
            .filter_map(|(name, state)| state.map(|state| Instance { state, ..instance(name) }))
            .collect();
        self.history.insert(now_ms, Rc::new(listed));
    }

    fn at(&self, now_ms: u64) -> Rc<Vec<Instance>> {
        Rc::clone(self.history.range(..=now_ms).next_back().expect("a list").1)
    }
}

/// A control node: what it last read, sometimes long ago.
#[derive(Clone)]
struct ControlNode {
    list: InstanceList,
    read_at_ms: u64,
}

/// What a proxy saw of each searcher that was also true; it outlives its agents.
#[derive(Default)]
struct Proxy {
    revision: InstanceListRevision,
    instances: Rc<Vec<Instance>>,
    worst: HashMap<String, u8>,
    /// Missing since a list that was older than it seemed: whatever befell them since then wasn't seen.
    hidden: HashSet<String>,
}

impl Proxy {
    /// Takes an update. A searcher that has ended, and was seen so, must not come back within one agent's life; one
    /// that is alive may be missing for a while, when a list is older than it seems.
    fn take(&mut self, update: &InstanceList, platform: &[Instance]) {
        if update.revision <= self.revision {
            return;
        }
        self.revision = update.revision;
        self.instances = Rc::clone(&update.instances);
        let listed = by_name(&update.instances);
        let truth = by_name(platform);
        for (name, worst) in &mut self.worst {
            let shown = how_ended(&listed, name);
            assert!(shown >= *worst, "{name} came back");
            let true_end = how_ended(&truth, name);
            if shown < GONE {
                self.hidden.remove(name);
            } else if true_end < GONE {
                self.hidden.insert(name.clone());
            }
            if !self.hidden.contains(name) {
                *worst = (*worst).max(shown.min(true_end));
            }
        }
        for instance in update.instances.iter() {
            let shown = how_ended(&listed, &instance.identifier);
            self.worst.entry(instance.identifier.clone()).or_insert(shown);
        }
    }
}

fn by_name(instances: &[Instance]) -> HashMap<&str, InstanceState> {
    instances.iter().map(|entry| (entry.identifier.as_str(), entry.state)).collect()
}

const GONE: u8 = 2;

/// 0: ready or changing its stage, 1: draining, [`GONE`].
fn how_ended(listed: &HashMap<&str, InstanceState>, name: &str) -> u8 {
    match listed.get(name) {
        Some(InstanceState::Ready | InstanceState::Changing) => 0,
        Some(InstanceState::Draining) => 1,
        None => GONE,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Control nodes that lag, own readings, restarts of the agent: the proxy's revisions rise, no searcher comes back,
    /// and a fresh control node brings the newest list.
    #[test]
    fn no_searcher_comes_back_and_the_newest_list_wins(seed in any::<u64>()) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut platform = Platform::new();
        let mut reader = InstanceListRevision::default();
        let empty = InstanceList { revision: reader, instances: Rc::new(vec![]) };
        let mut nodes = vec![ControlNode { list: empty, read_at_ms: 0 }; 3];
        let mut lists = ListSelection::default();
        let mut proxy = Proxy::default();
        let mut held = InstanceListRevision::default();
        let mut now_ms = 1_000;
        for _ in 0..400 {
            now_ms += random.random_range(1..200);
            match random.random_range(0..10) {
                0..3 => platform.change(now_ms, &mut random),
                3..5 => {
                    // The reader reads; some control nodes hear of it.
                    let instances = platform.at(now_ms);
                    if !nodes.iter().any(|node| node.list.revision == reader && node.list.instances == instances) {
                        reader = next_poller_revision(reader, 1);
                    }
                    let read = ControlNode { list: InstanceList { revision: reader, instances }, read_at_ms: now_ms };
                    for node in &mut nodes {
                        if random.random_bool(0.5) {
                            *node = read.clone();
                        }
                    }
                }
                5..8 => {
                    // The agent hears a control node; a subscription ignores older lists and confirms only its own.
                    let node = &nodes[random.random_range(0..nodes.len())];
                    let is_first = node.list.revision != InstanceListRevision::default();
                    if is_first && node.list.revision >= held {
                        held = node.list.revision;
                        // Heartbeats take their time, so that a confirmation seems later than it was.
                        let seems_at_ms = (node.read_at_ms + random.random_range(0..1_500)).min(now_ms);
                        lists.receive_control_list(now_ms, &node.list, Some(seems_at_ms));
                    }
                }
                8 => lists.receive_own_poll(now_ms, &reading(now_ms, &platform.at(now_ms))),
                _ if random.random_bool(0.1) => {
                    lists = ListSelection::default();
                    held = InstanceListRevision::default();
                    lists.receive_proxy_revision(now_ms, proxy.revision);
                    // What it saw draining in the life before isn't remembered by the new agent; it may come back.
                    proxy.worst.clear();
                }
                _ => {}
            }
            lists.receive_proxy_revision(now_ms, proxy.revision);
            if let Some(update) = lists.take_update(now_ms) {
                proxy.take(&update, &platform.at(now_ms));
            }
        }
        now_ms += 31_000;
        reader = next_poller_revision(reader, 2);
        let newest = InstanceList { revision: reader, instances: platform.at(now_ms) };
        lists.receive_control_list(now_ms, &newest, Some(now_ms));
        if let Some(update) = lists.take_update(now_ms) {
            proxy.take(&update, &platform.at(now_ms));
        }
        prop_assert_eq!(&proxy.instances, &newest.instances);
    }
}
