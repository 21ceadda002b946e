//! Publishers and subscribers checked against a simple model: several publishers of which some lag behind, connections
//! that are lost together with the messages in flight, several concurrent connections of one subscriber, and messages
//! of different connections in any order.

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

/// One TCP connection, which keeps the order of messages in each direction.
struct Connection {
    publisher: usize,
    subscriber: usize,
    id: SubscriberId,
    to_publisher: VecDeque<FromSubscriber>,
    to_subscriber: VecDeque<ToSubscriber>,
}

/// All published values, by version.
#[derive(Default)]
struct Published {
    configurations: BTreeMap<u64, Rc<Configuration>>,
    lists: BTreeMap<InstanceListRevision, Rc<Vec<Instance>>>,
}

/// Publishers, subscribers and their connections in simulated time.
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
            10..25 => self.publish_recent_version(),
            25..32 => self.connect(),
            32..36 => self.lose_connection(),
            36..38 => self.restart_publisher(),
            _ => self.move_message(),
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

    /// Publishes a recent version, not always the newest, at one publisher.
    fn publish_recent_version(&mut self) {
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
        let to_publisher = VecDeque::from([first]);
        self.connections.push(Connection {
            publisher,
            subscriber,
            id,
            to_publisher,
            to_subscriber: VecDeque::new(),
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
    fn move_message(&mut self) {
        if self.connections.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.connections.len());
        match self.random.random_range(0..3) {
            0 => self.send_to_subscriber(position),
            1 => self.deliver_to_publisher(position),
            _ => self.deliver_to_subscriber(position),
        }
    }

    fn send_to_subscriber(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let publisher = &mut self.publishers[connection.publisher];
        let Some(frame) = publisher.next_frame(connection.id, self.now_ms) else {
            return;
        };
        connection.to_subscriber.push_back(decode_frame(&frame));
    }

    fn deliver_to_publisher(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let Some(message) = connection.to_publisher.pop_front() else {
            return;
        };
        self.publishers[connection.publisher].receive(connection.id, self.now_ms, message);
    }

    fn deliver_to_subscriber(&mut self, position: usize) {
        let connection = &mut self.connections[position];
        let Some(message) = connection.to_subscriber.pop_front() else {
            return;
        };
        self.count_update(&message);
        let connection = &mut self.connections[position];
        let subscriber = &mut self.subscribers[connection.subscriber];
        let before = subscriber.applied();
        let answer = subscriber.receive(self.now_ms, message);
        connection.to_publisher.extend(answer);
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

    /// Checks that no version went back, and that each applied value is the one published under its version.
    fn check_applied(&self, subscriber: usize, before: AppliedVersions) {
        let subscriber = &self.subscribers[subscriber];
        let applied = subscriber.applied();
        assert!(
            applied.configuration_version >= before.configuration_version,
            "the configuration version decreased"
        );
        assert!(
            applied.list_revision >= before.list_revision,
            "the list revision decreased"
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

    /// Publishes the newest versions at all publishers, gives each subscriber one connection, and delivers all
    /// messages.
    fn deliver_newest_to_all(&mut self) {
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
                self.deliver_to_publisher(position);
                self.send_to_subscriber(position);
                self.send_to_subscriber(position);
                self.deliver_to_subscriber(position);
                self.deliver_to_subscriber(position);
                self.deliver_to_publisher(position);
                self.deliver_to_publisher(position);
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
    fn applied_versions_never_decrease_and_reach_the_newest(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);

        for _ in 0..600 {
            simulation.step();
        }
        simulation.deliver_newest_to_all();

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
fn the_simulation_covers_full_snapshots_and_differences() {
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
