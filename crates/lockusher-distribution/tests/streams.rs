//! Publishers and subscribers against a plain model: several publishers that lag behind each other, connections that
//! are lost with what was under way, several connections of one subscriber at once, messages of different connections
//! in any order.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_distribution::message::{AppliedVersions, FromSubscriber, ToSubscriber};
use lockusher_distribution::publisher::{Publisher, SubscriberId};
use lockusher_distribution::subscriber::Subscriber;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{configuration, decode_frame, identity, instance, revision};

const PUBLISHERS: usize = 3;
const SUBSCRIBERS: usize = 4;

/// One TCP connection: order is kept in each direction.
struct Connection {
    publisher: usize,
    subscriber: usize,
    id: SubscriberId,
    upward: VecDeque<FromSubscriber>,
    downward: VecDeque<ToSubscriber>,
}

/// What was published, by version.
#[derive(Default)]
struct Truth {
    configurations: BTreeMap<u64, Rc<Configuration>>,
    lists: BTreeMap<InstanceListRevision, Rc<Vec<Instance>>>,
}

struct World {
    random: ChaCha8Rng,
    now_ms: u64,
    truth: Truth,
    publishers: Vec<Publisher>,
    subscribers: Vec<Subscriber>,
    connections: Vec<Connection>,
    wholes: usize,
    differences: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let subscriber = |number: usize| Subscriber::new(identity(&format!("node-{number}")));
        World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            truth: Truth::default(),
            publishers: (0..PUBLISHERS).map(|number| Publisher::new(number as u64)).collect(),
            subscribers: (0..SUBSCRIBERS).map(subscriber).collect(),
            connections: Vec::new(),
            wholes: 0,
            differences: 0,
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.random_range(0..50);
        match self.random.random_range(0..100) {
            0..4 => self.change_configuration(),
            4..10 => self.change_list(),
            10..25 => self.catch_up_publisher(),
            25..32 => self.connect(),
            32..36 => self.lose_connection(),
            36..38 => self.restart_publisher(),
            _ => self.carry(),
        }
    }

    fn change_configuration(&mut self) {
        let last = self.truth.configurations.keys().next_back().copied().unwrap_or_default();
        let version = last + self.random.random_range(1..4);
        let mut routes: Vec<(u8, u64)> = Vec::new();
        for number in 0..6 {
            if self.random.random_bool(0.7) {
                routes.push((number, self.random.random_range(1..3)));
            }
        }
        self.truth.configurations.insert(version, Rc::new(configuration(version, &routes)));
    }

    fn change_list(&mut self) {
        let last = self.truth.lists.keys().next_back().copied().unwrap_or(revision(1, 0));
        let epoch = last.epoch + u64::from(self.random.random_bool(0.1));
        let next = revision(epoch, if epoch > last.epoch { 1 } else { last.sequence + 1 });
        let mut instances = Vec::new();
        for number in 0..10 {
            if self.random.random_bool(0.8) {
                let slots = self.random.random_range(1..3);
                instances.push(Instance { slots, ..instance(&format!("i{number}")) });
            }
        }
        self.truth.lists.insert(next, Rc::new(instances));
    }

    /// A publisher learns of some version, not always of the newest.
    fn catch_up_publisher(&mut self) {
        let number = self.random.random_range(0..PUBLISHERS);
        let skipped = self.random.random_range(0..3);
        let configuration = self.truth.configurations.values().rev().nth(skipped).cloned();
        let list = self.truth.lists.iter().rev().nth(skipped);
        let publisher = &mut self.publishers[number];
        if let Some(configuration) = configuration {
            publisher.publish_configuration(configuration);
        }
        if let Some((revision, instances)) = list {
            publisher.publish_list(*revision, Rc::clone(instances));
        }
    }

    fn connect(&mut self) {
        let publisher = self.random.random_range(0..PUBLISHERS);
        let subscriber = self.random.random_range(0..SUBSCRIBERS);
        self.connect_to(publisher, subscriber);
    }

    fn connect_to(&mut self, publisher: usize, subscriber: usize) {
        let id = self.publishers[publisher].connect(self.now_ms);
        let first = self.subscribers[subscriber].subscribe(self.now_ms);
        let upward = VecDeque::from([first]);
        self.connections.push(Connection { publisher, subscriber, id, upward, downward: VecDeque::new() });
    }

    fn lose_connection(&mut self) {
        if self.connections.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.connections.len());
        let connection = self.connections.swap_remove(position);
        self.publishers[connection.publisher].disconnect(connection.id);
    }

    fn restart_publisher(&mut self) {
        let number = self.random.random_range(0..PUBLISHERS);
        self.publishers[number] = Publisher::new(self.now_ms);
        self.connections.retain(|connection| connection.publisher != number);
    }

    /// Moves one message of one connection.
    fn carry(&mut self) {
        if self.connections.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.connections.len());
        match self.random.random_range(0..3) {
            0 => self.send_downward(position),
            1 => self.deliver_upward(position),
            _ => self.deliver_downward(position),
        }
    }

    fn send_downward(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let publisher = &mut self.publishers[connection.publisher];
        let Some(frame) = publisher.next_frame(connection.id, self.now_ms) else { return };
        connection.downward.push_back(decode_frame(&frame));
    }

    fn deliver_upward(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let Some(message) = connection.upward.pop_front() else { return };
        self.publishers[connection.publisher].receive(connection.id, self.now_ms, message);
    }

    fn deliver_downward(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let Some(message) = connection.downward.pop_front() else { return };
        self.count(&message);
        let connection = &mut self.connections[position];
        let subscriber = &mut self.subscribers[connection.subscriber];
        let before = subscriber.applied();
        let answer = subscriber.receive(self.now_ms, message);
        connection.upward.extend(answer);
        let subscriber = connection.subscriber;
        self.check(subscriber, before);
    }

    fn count(&mut self, message: &ToSubscriber) {
        use lockusher_distribution::message::{ConfigurationUpdate, InstanceListUpdate};
        match message {
            ToSubscriber::Configuration(ConfigurationUpdate::FullSnapshot(_))
            | ToSubscriber::Instances(InstanceListUpdate::FullSnapshot { .. }) => self.wholes += 1,
            ToSubscriber::Configuration(_) | ToSubscriber::Instances(_) => self.differences += 1,
            _ => {}
        }
    }

    /// Nothing goes back, and what is held is what was published under its version.
    fn check(&self, subscriber: usize, before: AppliedVersions) {
        let subscriber = &self.subscribers[subscriber];
        let applied = subscriber.applied();
        assert!(applied.configuration_version >= before.configuration_version, "configuration went back");
        assert!(applied.list_revision >= before.list_revision, "list went back");
        if let Some(configuration) = subscriber.configuration() {
            assert_eq!(configuration, &self.truth.configurations[&applied.configuration_version]);
        }
        if let Some(list) = subscriber.list() {
            assert_eq!(&list.instances, &self.truth.lists[&applied.list_revision]);
        }
    }

    /// All publishers learn the newest, every subscriber has one connection, and messages flow.
    fn settle(&mut self) {
        while !self.connections.is_empty() {
            self.lose_connection();
        }
        for publisher in &mut self.publishers {
            if let Some(newest) = self.truth.configurations.values().next_back() {
                publisher.publish_configuration(Rc::clone(newest));
            }
            if let Some((revision, instances)) = self.truth.lists.iter().next_back() {
                publisher.publish_list(*revision, Rc::clone(instances));
            }
        }
        for subscriber in 0..SUBSCRIBERS {
            self.connect_to(subscriber % PUBLISHERS, subscriber);
        }
        for _ in 0..10 {
            for position in 0..self.connections.len() {
                self.deliver_upward(position);
                self.send_downward(position);
                self.send_downward(position);
                self.deliver_downward(position);
                self.deliver_downward(position);
                self.deliver_upward(position);
                self.deliver_upward(position);
            }
        }
    }

    fn newest(&self) -> AppliedVersions {
        AppliedVersions {
            configuration_version: self.truth.configurations.keys().next_back().copied().unwrap_or_default(),
            list_revision: self.truth.lists.keys().next_back().copied().unwrap_or_default(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn versions_never_go_back_and_reach_the_newest(seed in any::<u64>()) {
        let mut world = World::new(seed);
        for _ in 0..600 {
            world.step();
        }
        world.settle();
        for subscriber in &world.subscribers {
            prop_assert_eq!(subscriber.applied(), world.newest());
        }
        let counted: usize = world.publishers.iter().map(|known| known.acknowledged_versions().values().sum::<usize>()).sum();
        prop_assert_eq!(counted, SUBSCRIBERS);
        for publisher in &world.publishers {
            let versions = publisher.acknowledged_versions();
            let all_newest = versions.keys().all(|version| *version == world.newest().configuration_version);
            prop_assert!(all_newest);
        }
    }
}

#[test]
fn the_random_lives_use_wholes_and_differences() {
    let mut world = World::new(1);
    for _ in 0..20_000 {
        world.step();
    }
    assert!(world.wholes > 50, "{} wholes", world.wholes);
    assert!(world.differences > 50, "{} differences", world.differences);
}
