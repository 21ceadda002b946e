//! Publishers and feeds over TCP on loopback. Each test waits for states instead of fixed times.
//!
//! Heartbeats and timeouts run on the real clock: keep-alives are sent each second, and an inactive publisher is
//! disconnected after its timeout.

mod support;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout;
use lockusher_distribution::change_notifier::ChangeNotifier;
use lockusher_distribution::publisher::{Publisher, PublisherStatus};
use lockusher_distribution::reconnect::{ControlNodePolicy, FixedAddressPolicy};
use lockusher_distribution::serve::{self, SharedPublisher};
use lockusher_distribution::subscribe::{self, FeedUpdate, SharedSubscriber};
use lockusher_distribution::subscriber::Subscriber;
use lockusher_transport::clock::Clock;
use support::{configuration, draining, identity, instance, revision};

/// Timeout of each wait, much longer than any state takes.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// A publisher that accepts connections on loopback until it is stopped.
struct Server {
    address: SocketAddrV4,
    shared: Rc<SharedPublisher>,
    accepting: JoinHandle<()>,
}

impl Server {
    async fn start(address: SocketAddrV4) -> Self {
        let listener = TcpListener::bind(address).await.expect("a listener");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            panic!("IPv4")
        };
        let shared = SharedPublisher::new(Publisher::new(1), Clock::start());
        let accepting = compio::runtime::spawn(serve::accept(listener, Rc::clone(&shared)));
        Server {
            address,
            shared,
            accepting,
        }
    }

    fn stop(self) {
        drop(self.accepting);
        self.shared.close();
    }

    /// Waits until all `count` subscribers have acknowledged `version`.
    async fn wait_for_acknowledgements(&self, version: u64, count: usize) {
        self.wait_until(|publisher| {
            publisher.acknowledged_versions().get(&version) == Some(&count)
        })
        .await;
    }

    async fn wait_until(&self, reached: impl Fn(&Publisher) -> bool) {
        wait_for(self.shared.subscriber_activity(), || {
            self.shared.read(&reached)
        })
        .await;
    }
}

/// Waits until a state is reached that changes only together with `changes`.
async fn wait_for(changes: &ChangeNotifier, reached: impl Fn() -> bool) {
    let wait = async {
        loop {
            let seen = changes.generation();
            if reached() {
                return;
            }
            changes.changed_since(seen).await;
        }
    };
    timeout(STATE_TIMEOUT, wait)
        .await
        .expect("the state is reached in time");
}

fn any_loopback_port() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)
}

async fn next(feed: &mut subscribe::Feed) -> FeedUpdate {
    timeout(STATE_TIMEOUT, feed.next())
        .await
        .expect("an update")
}

#[compio::test]
async fn a_feed_survives_a_restart_of_its_publisher_and_never_returns_to_an_older_version() {
    let server = Server::start(any_loopback_port()).await;
    let address = server.address;
    let mut feed = subscribe::subscribe(address, identity("proxy"), Clock::start(), 1);
    server
        .shared
        .update(|publisher| publisher.publish_configuration(Rc::new(configuration(5, &[(1, 1)]))));
    assert_eq!(
        next(&mut feed).await,
        FeedUpdate::Configuration(Rc::new(configuration(5, &[(1, 1)])))
    );
    let list = Rc::new(vec![instance("a"), instance("b")]);
    server
        .shared
        .update(|publisher| publisher.publish_list(revision(1, 1), Rc::clone(&list)));
    let update = FeedUpdate::Instances {
        revision: revision(1, 1),
        instances: list,
    };
    assert_eq!(next(&mut feed).await, update);
    server.shared.update(|publisher| {
        publisher.set_status(PublisherStatus {
            proxies: 7,
            in_view: true,
            ..PublisherStatus::default()
        });
    });
    assert_eq!(next(&mut feed).await, FeedUpdate::FleetSize(7));
    server.wait_for_acknowledgements(5, 1).await;
    server.stop();

    let server = Server::start(address).await;
    server
        .shared
        .update(|publisher| publisher.publish_configuration(Rc::new(configuration(3, &[]))));
    server.wait_for_acknowledgements(5, 1).await;
    server
        .shared
        .update(|publisher| publisher.publish_configuration(Rc::new(configuration(9, &[(2, 2)]))));
    assert_eq!(
        next(&mut feed).await,
        FeedUpdate::Configuration(Rc::new(configuration(9, &[(2, 2)])))
    );
}

/// A new agent, without the records of the old one, sends a newer revision of an older list.
#[compio::test]
async fn a_feed_does_not_bring_back_a_searcher_that_was_seen_draining_or_gone() {
    let server = Server::start(any_loopback_port()).await;
    let address = server.address;
    let mut feed = subscribe::subscribe(address, identity("proxy"), Clock::start(), 1);
    for (sequence, list) in [
        (1, vec![instance("a"), instance("b"), instance("c")]),
        (2, vec![draining("a"), instance("c")]),
    ] {
        let list = Rc::new(list);
        server
            .shared
            .update(|publisher| publisher.publish_list(revision(1, sequence), Rc::clone(&list)));
        let update = FeedUpdate::Instances {
            revision: revision(1, sequence),
            instances: list,
        };
        assert_eq!(next(&mut feed).await, update);
    }
    server.stop();

    let server = Server::start(address).await;
    let list = Rc::new(vec![
        instance("a"),
        instance("b"),
        instance("c"),
        instance("d"),
    ]);
    server
        .shared
        .update(|publisher| publisher.publish_list(revision(2, 1), list));

    let instances = Rc::new(vec![draining("a"), instance("c"), instance("d")]);
    assert_eq!(
        next(&mut feed).await,
        FeedUpdate::Instances {
            revision: revision(2, 1),
            instances
        }
    );
}

#[compio::test]
async fn many_feeds_eventually_acknowledge_the_newest_version() {
    let server = Server::start(any_loopback_port()).await;
    let feeds: Vec<subscribe::Feed> = (0..40)
        .map(|number| {
            let identity = identity(&format!("proxy-{number}"));
            subscribe::subscribe(server.address, identity, Clock::start(), number)
        })
        .collect();
    for version in 1..=10 {
        let newest = configuration(version, &[(1, version), (2, 1)]);
        server
            .shared
            .update(|publisher| publisher.publish_configuration(Rc::new(newest)));
    }

    server.wait_for_acknowledgements(10, 40).await;
    assert_eq!(server.shared.read(Publisher::subscribed_nodes), 40);
    assert_eq!(
        server.shared.read(Publisher::connections_accepted),
        40,
        "no subscriber has reconnected"
    );

    drop(feeds);
    server
        .wait_until(|publisher| publisher.subscribed_nodes() == 0)
        .await;
}

/// Acknowledgements, updates and heartbeats are sent in both directions concurrently; none of them may end the
/// connection.
#[compio::test]
async fn one_connection_carries_many_updates_and_heartbeats() {
    let server = Server::start(any_loopback_port()).await;
    let mut feed = subscribe::subscribe(server.address, identity("proxy"), Clock::start(), 1);
    for version in 1..=300 {
        let instances = Rc::new(vec![instance(&format!("i{version}"))]);
        server.shared.update(|publisher| {
            publisher.publish_configuration(Rc::new(configuration(version, &[(1, version)])));
            publisher.publish_list(revision(1, version), instances);
        });
        if version % 100 == 0 {
            server.wait_for_acknowledgements(version, 1).await;
        }
        next(&mut feed).await;
    }
    // Keep-alives are sent each second, in answer to heartbeats.
    for _ in 0..2 {
        let seen = server.shared.subscriber_activity().generation();
        timeout(
            STATE_TIMEOUT,
            server.shared.subscriber_activity().changed_since(seen),
        )
        .await
        .expect("a keep-alive");
    }
    assert_eq!(server.shared.read(Publisher::connections_accepted), 1);
}

#[compio::test]
async fn an_agent_disconnects_from_a_control_node_that_is_lost_or_out_of_view() {
    let outside = Server::start(any_loopback_port()).await;
    let inside = Server::start(any_loopback_port()).await;
    let in_view = PublisherStatus {
        in_view: true,
        ..PublisherStatus::default()
    };
    inside.shared.update(|publisher| {
        publisher.set_status(in_view);
        publisher.publish_configuration(Rc::new(configuration(4, &[])));
    });
    let seeds = vec![outside.address, inside.address];
    let clock = Clock::start();
    let policy = ControlNodePolicy::new("agent", seeds, 1);
    let agent = SharedSubscriber::new(Subscriber::new(identity("agent")), policy, clock);
    let _running = compio::runtime::spawn(Rc::clone(&agent).run());
    inside.wait_for_acknowledgements(4, 1).await;

    // A control node whose address the agent has received takes over when the first one is lost and the other one isn't
    // a member of the view.
    let successor = Server::start(any_loopback_port()).await;
    successor.shared.update(|publisher| {
        publisher.set_status(in_view);
        publisher.publish_configuration(Rc::new(configuration(6, &[])));
    });
    let addresses = vec![successor.address];
    inside
        .shared
        .update(|publisher| publisher.set_control_nodes(addresses));
    let has_received = || agent.read(|subscriber| !subscriber.control_nodes().is_empty());
    wait_for(agent.changed(), has_received).await;
    inside.stop();
    successor.wait_for_acknowledgements(6, 1).await;
}

#[compio::test]
async fn a_publisher_that_sends_nothing_is_disconnected_after_a_timeout() {
    let listener = TcpListener::bind(any_loopback_port())
        .await
        .expect("a listener");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("IPv4")
    };
    let policy = FixedAddressPolicy::new(address, 1);
    let proxy = SharedSubscriber::new(Subscriber::new(identity("proxy")), policy, Clock::start());
    let _running = compio::runtime::spawn(proxy.run());
    let (_first, _) = timeout(STATE_TIMEOUT, listener.accept())
        .await
        .expect("a connection")
        .expect("accepted");
    let (_second, _) = timeout(STATE_TIMEOUT, listener.accept())
        .await
        .expect("a second connection")
        .expect("accepted");
}
