//! Publishers and subscribers against a plain model: several publishers that lag behind each other, connections that
//! are lost with what was in flight, several connections of one subscriber at once, messages of different connections
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
struct Published {
    configurations: BTreeMap<u64, Rc<Configuration>>,
    lists: BTreeMap<InstanceListRevision, Rc<Vec<Instance>>>,
}

/// Publishers, subscribers and their connections, played in simulated time.
struct Simulation {
    random: ChaCha8Rng,
    now_ms: u64,
    published: Published,
    publishers: Vec<Publisher>,
    subscribers: Vec<Subscriber>,
    connections: Vec<Connection>,
    full_snapshots: usize,
    differences: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let subscriber = |number: usize| Subscriber::new(identity(&format!("node-{number}")));
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            published: Published::default(),
            publishers: (0..PUBLISHERS)
                .map(|number| Publisher::new(number as u64))
                .collect(),
            subscribers: (0..SUBSCRIBERS).map(subscriber).collect(),
            connections: Vec::new(),
            full_snapshots: 0,
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
            _ => self.carry_message(),
        }
    }

    fn change_configuration(&mut self) {
        let last = self
            .published
            .configurations
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        let version = last + self.random.random_range(1..4);
        let mut routes: Vec<(u8, u64)> = Vec::new();
        for number in 0..6 {
            if self.random.random_bool(0.7) {
                routes.push((number, self.random.random_range(1..3)));
            }
        }
        self.published
            .configurations
            .insert(version, Rc::new(configuration(version, &routes)));
    }

    fn change_list(&mut self) {
        let last = self
            .published
            .lists
            .keys()
            .next_back()
            .copied()
            .unwrap_or(revision(1, 0));
        let epoch = last.epoch + u64::from(self.random.random_bool(0.1));
        let next = revision(
            epoch,
            if epoch > last.epoch {
                1
            } else {
                last.sequence + 1
            },
        );
        let mut instances = Vec::new();
        for number in 0..10 {
            if self.random.random_bool(0.8) {
                let slots = self.random.random_range(1..3);
                instances.push(Instance {
                    slots,
                    ..instance(&format!("i{number}"))
                });
            }
        }
        self.published.lists.insert(next, Rc::new(instances));
    }

    /// A publisher learns of some version, not always of the newest.
    fn catch_up_publisher(&mut self) {
        let number = self.random.random_range(0..PUBLISHERS);
        let skipped = self.random.random_range(0..3);
        let configuration = self
            .published
            .configurations
            .values()
            .rev()
            .nth(skipped)
            .cloned();
        let list = self.published.lists.iter().rev().nth(skipped);
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
        self.connections.push(Connection {
            publisher,
            subscriber,
            id,
            upward,
            downward: VecDeque::new(),
        });
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
        self.connections
            .retain(|connection| connection.publisher != number);
    }

    /// Moves one message of one connection.
    fn carry_message(&mut self) {
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
        let Some(frame) = publisher.next_frame(connection.id, self.now_ms) else {
            return;
        };
        connection.downward.push_back(decode_frame(&frame));
    }

    fn deliver_upward(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let Some(message) = connection.upward.pop_front() else {
            return;
        };
        self.publishers[connection.publisher].receive(connection.id, self.now_ms, message);
    }

    fn deliver_downward(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let Some(message) = connection.downward.pop_front() else {
            return;
        };
        self.count_update(&message);
        let connection = &mut self.connections[position];
        let subscriber = &mut self.subscribers[connection.subscriber];
        let before = subscriber.applied();
        let answer = subscriber.receive(self.now_ms, message);
        connection.upward.extend(answer);
        let subscriber = connection.subscriber;
        self.check_applied(subscriber, before);
    }

    fn count_update(&mut self, message: &ToSubscriber) {
        use lockusher_distribution::message::{ConfigurationUpdate, InstanceListUpdate};
        match message {
            ToSubscriber::Configuration(ConfigurationUpdate::FullSnapshot(_))
            | ToSubscriber::Instances(InstanceListUpdate::FullSnapshot { .. }) => {
                self.full_snapshots += 1;
            }
            ToSubscriber::Configuration(_) | ToSubscriber::Instances(_) => self.differences += 1,
            _ => {}
        }
    }

    /// Nothing goes back, and what is applied is what was published under its version.
    fn check_applied(&self, subscriber: usize, before: AppliedVersions) {
        let subscriber = &self.subscribers[subscriber];
        let applied = subscriber.applied();
        assert!(
            applied.configuration_version >= before.configuration_version,
            "configuration went back"
        );
        assert!(
            applied.list_revision >= before.list_revision,
            "list went back"
        );
        if let Some(configuration) = subscriber.configuration() {
            assert_eq!(
                configuration,
                &self.published.configurations[&applied.configuration_version]
            );
        }
        if let Some(list) = subscriber.list() {
            assert_eq!(
                &list.instances,
                &self.published.lists[&applied.list_revision]
            );
        }
    }

    /// All publishers learn the newest, every subscriber has one connection, and messages flow.
    fn bring_to_the_newest(&mut self) {
        while !self.connections.is_empty() {
            self.lose_connection();
        }
        for publisher in &mut self.publishers {
            if let Some(newest) = self.published.configurations.values().next_back() {
                publisher.publish_configuration(Rc::clone(newest));
            }
            if let Some((revision, instances)) = self.published.lists.iter().next_back() {
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
            configuration_version: self
                .published
                .configurations
                .keys()
                .next_back()
                .copied()
                .unwrap_or_default(),
            list_revision: self
                .published
                .lists
                .keys()
                .next_back()
                .copied()
                .unwrap_or_default(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn versions_never_go_back_and_reach_the_newest(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);

        for _ in 0..600 {
            simulation.step();
        }
        simulation.bring_to_the_newest();

        for subscriber in &simulation.subscribers {
            prop_assert_eq!(subscriber.applied(), simulation.newest());
        }
        let acknowledged = simulation.publishers.iter().flat_map(|publisher| publisher.acknowledged_versions().into_values());
        let counted: usize = acknowledged.sum();
        prop_assert_eq!(counted, SUBSCRIBERS);
        for publisher in &simulation.publishers {
            let versions = publisher.acknowledged_versions();
            let all_newest = versions.keys().all(|version| *version == simulation.newest().configuration_version);
            prop_assert!(all_newest);
        }
    }
}

#[test]
fn the_simulation_carries_full_snapshots_and_differences() {
    let mut simulation = Simulation::new(1);

    for _ in 0..20_000 {
        simulation.step();
    }

    assert!(
        simulation.full_snapshots > 50,
        "{} full snapshots",
        simulation.full_snapshots
    );
    assert!(
        simulation.differences > 50,
        "{} differences",
        simulation.differences
    );
}
