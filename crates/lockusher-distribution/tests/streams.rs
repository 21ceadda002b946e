//! Publishers and subscribers against a plain model: several publishers that lag behind each other, connections that
//! are lost with what was under way, several connections of one subscriber at once, messages of different connections
//! in any order.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_distribution::message::{
    AppliedVersions, Downstream, Envelope, FromSubscriber, Heartbeat, ToSubscriber,
};
use lockusher_distribution::publisher::{HEARTBEAT_INTERVAL_MS, Publisher, PublisherStatus, SubscriberId};
use lockusher_distribution::subscriber::Subscriber;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{configuration, identity, instance, revision};

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
        // The length before the envelope belongs to the connection.
        let envelope: Envelope = bitcode::decode(&frame[4..]).expect("own encoding");
        let message: ToSubscriber = envelope.open().expect("own protocol");
        connection.downward.push_back(message);
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

fn messages(publisher: &mut Publisher, id: SubscriberId, now_ms: u64) -> Vec<ToSubscriber> {
    let mut messages = Vec::new();
    while let Some(frame) = publisher.next_frame(id, now_ms) {
        let envelope: Envelope = bitcode::decode(&frame[4..]).expect("own encoding");
        messages.push(envelope.open().expect("own protocol"));
    }
    messages
}

fn subscribed(publisher: &mut Publisher, node: &str) -> SubscriberId {
    let id = publisher.connect(0);
    publisher.receive(id, 0, Subscriber::new(identity(node)).subscribe(0));
    id
}

#[test]
fn a_slow_subscriber_gets_the_newest_only() {
    let mut publisher = Publisher::new(1);
    publisher.publish_configuration(Rc::new(configuration(1, &[])));
    let id = subscribed(&mut publisher, "slow");
    assert_eq!(messages(&mut publisher, id, 0).len(), 2, "the configuration and a heartbeat");
    for version in 2..100 {
        publisher.publish_configuration(Rc::new(configuration(version, &[])));
        assert_eq!(messages(&mut publisher, id, 0), [], "the first isn't acknowledged yet");
    }
    let applied = AppliedVersions { configuration_version: 1, ..AppliedVersions::default() };
    publisher.receive(id, 0, FromSubscriber::Acknowledge { applied, downstream: Downstream::PROXY });
    assert_eq!(messages(&mut publisher, id, 0).len(), 1);
    assert_eq!(publisher.acknowledged_versions(), BTreeMap::from([(1, 1)]));
    let applied = AppliedVersions { configuration_version: 99, ..AppliedVersions::default() };
    publisher.receive(id, 0, FromSubscriber::Acknowledge { applied, downstream: Downstream::PROXY });
    assert_eq!(publisher.acknowledged_versions(), BTreeMap::from([(99, 1)]));
}

#[test]
fn one_encoding_serves_all_subscribers_with_the_same_base() {
    let mut publisher = Publisher::new(1);
    let ids = [subscribed(&mut publisher, "a"), subscribed(&mut publisher, "b")];
    for id in ids {
        messages(&mut publisher, id, 0);
    }
    publisher.publish_configuration(Rc::new(configuration(1, &[(1, 1)])));
    let frames = ids.map(|id| publisher.next_frame(id, 0).expect("an update"));
    assert!(Rc::ptr_eq(&frames[0], &frames[1]));
}

#[test]
fn heartbeats_say_what_is_newest_and_how_old_the_list_is() {
    let mut publisher = Publisher::new(1);
    publisher.publish_list(revision(2, 5), Rc::new(vec![instance("a")]));
    let status =
        PublisherStatus { list_confirmed_at_ms: Some(1_000), calls_per_poll: 3, proxies: 40, in_view: true };
    publisher.set_status(status);
    let id = subscribed(&mut publisher, "a");
    let mut subscriber = Subscriber::new(identity("a"));
    for message in messages(&mut publisher, id, 1_400) {
        subscriber.receive(1_450, message);
    }
    assert_eq!(subscriber.list_confirmed_at_ms(), Some(1_050));
    assert_eq!((subscriber.proxies(), subscriber.calls_per_poll()), (40, 3));
    assert!(subscriber.publisher_in_view());
    assert_eq!(publisher.next_due_ms(id), Some(1_400 + HEARTBEAT_INTERVAL_MS));
}

#[test]
fn another_list_than_the_one_held_confirms_nothing() {
    let mut ahead = Publisher::new(1);
    ahead.publish_list(revision(2, 5), Rc::new(vec![]));
    let mut downstream = Publisher::new(2);
    downstream.publish_list(revision(1, 9), Rc::new(vec![]));
    downstream
        .set_status(PublisherStatus { list_confirmed_at_ms: Some(1_000), ..PublisherStatus::default() });
    let mut subscriber = Subscriber::new(identity("a"));
    for publisher in [&mut ahead, &mut downstream] {
        let id = publisher.connect(0);
        publisher.receive(id, 0, subscriber.subscribe(0));
        for message in messages(publisher, id, 1_000) {
            subscriber.receive(1_000, message);
        }
    }
    assert_eq!(subscriber.applied().list_revision, revision(2, 5));
    assert_eq!(subscriber.list_confirmed_at_ms(), None);
}

#[test]
fn a_difference_that_does_not_fit_is_answered_with_a_request_for_the_whole() {
    let mut publisher = Publisher::new(1);
    publisher.publish_configuration(Rc::new(configuration(1, &[(1, 1)])));
    publisher.publish_configuration(Rc::new(configuration(2, &[(1, 2)])));
    let id = publisher.connect(0);
    let applied = AppliedVersions { configuration_version: 1, ..AppliedVersions::default() };
    publisher.receive(id, 0, FromSubscriber::Subscribe { identity: identity("a"), applied });
    let mut subscriber = Subscriber::new(identity("a"));
    let update = messages(&mut publisher, id, 0).remove(0);
    let answer = subscriber.receive(0, update).expect("an answer");
    assert_eq!(answer, FromSubscriber::RequestFullSnapshot { configuration: true, list: false });
    publisher.receive(id, 0, answer);
    for message in messages(&mut publisher, id, 0) {
        subscriber.receive(0, message);
    }
    assert_eq!(
        subscriber.configuration().map(|applied| applied.as_ref()),
        Some(&configuration(2, &[(1, 2)]))
    );
}

#[test]
fn a_frame_of_another_protocol_is_recognized() {
    let mut envelope = Envelope::seal(&ToSubscriber::Peers(vec![]));
    assert!(envelope.open::<ToSubscriber>().is_ok());
    envelope.protocol += 1;
    let error = envelope.open::<ToSubscriber>().expect_err("another protocol").to_string();
    assert_eq!(error, "the peer speaks protocol 3, this process 2");
}

#[test]
fn agents_are_told_of_others_and_never_of_themselves() {
    let mut publisher = Publisher::new(1);
    let address = |number: u8| format!("10.0.0.{number}:7000").parse().expect("an address");
    let mut ids = Vec::new();
    for number in 1..=20 {
        let mut known = identity(&format!("node-{number}"));
        known.agent_address = Some(address(number));
        let id = publisher.connect(0);
        publisher.receive(id, 0, Subscriber::new(known).subscribe(0));
        ids.push(id);
    }
    for (number, id) in (1..=20).zip(ids) {
        let told = messages(&mut publisher, id, 0).into_iter().find_map(|message| match message {
            ToSubscriber::Peers(peers) => Some(peers),
            _ => None,
        });
        let peers = told.expect("a sample");
        assert_eq!(peers.len(), 8);
        assert!(!peers.contains(&address(number)));
    }
    assert_eq!(publisher.subscribed_nodes(), 20);
}

/// Agents behind two followers, and one at the head itself: the head's count is that of the fleet, and comes down again.
#[test]
fn proxies_are_counted_over_a_tree_of_publishers() {
    let mut head = Publisher::new(0);
    subscribed(&mut head, "agent-0");
    for (number, follower) in ["follower-1", "follower-2"].into_iter().enumerate() {
        let mut publisher = Publisher::new(1);
        for agent in 0..3 + number {
            subscribed(&mut publisher, &format!("agent-{number}-{agent}"));
        }
        subscribed(&mut publisher, &format!("agent-{number}-0"));
        let downstream =
            Downstream { in_force_version: 0, proxies: publisher.downstream_proxies(), loads: Vec::new() };
        assert_eq!(downstream.proxies, 3 + number as u32, "a second connection of one agent doesn't count");
        let id = subscribed(&mut head, follower);
        head.receive(id, 0, FromSubscriber::Acknowledge { applied: AppliedVersions::default(), downstream });
    }
    assert_eq!(head.downstream_proxies(), 8);
    head.set_status(PublisherStatus { proxies: head.downstream_proxies(), ..head.status() });
    let id = subscribed(&mut head, "follower-3");
    let mut follower = Subscriber::new(identity("follower-3"));
    for message in messages(&mut head, id, 0) {
        follower.receive(0, message);
    }
    assert_eq!(follower.proxies(), 8);
}

/// What is sent at rest is small: it goes to every agent several times a second.
#[test]
fn a_heartbeat_and_its_answer_are_small() {
    let mut publisher = Publisher::new(1);
    publisher.publish_list(revision(u64::from(u32::MAX), u64::MAX / 2), Rc::new(vec![]));
    publisher.publish_configuration(Rc::new(configuration(1_000_000, &[])));
    let id = subscribed(&mut publisher, "a");
    let mut last = 0;
    while let Some(frame) = publisher.next_frame(id, 0) {
        last = frame.len();
    }
    assert!(last <= 80, "{last} bytes");
    let answer = Subscriber::new(identity("a")).receive(
        5_000,
        ToSubscriber::Heartbeat(Heartbeat {
            newest: publisher.newest(),
            list_age_ms: 1_000,
            calls_per_poll: 17,
            proxies: 400,
            in_view: true,
        }),
    );
    let answer = lockusher_transport::frame::encode(&Envelope::seal(&answer.expect("a sign of life")));
    assert!(answer.len() <= 60, "{} bytes", answer.len());
}
