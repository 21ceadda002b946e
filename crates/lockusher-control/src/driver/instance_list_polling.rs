//! The source of a control node's instance list: the head polls the platform, the other nodes subscribe to the head.
//!
//! A task of the control node, started by [`crate::serve`]. On a change of this node's role or of the head the polling
//! or subscription is cancelled and restarted. Invariant: a node polls only as head of the newest view that it knows.

use std::net::SocketAddrV4;
use std::rc::Rc;

use futures_util::{FutureExt, pin_mut, select_biased};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::instance_list_client;
use lockusher_distribution::instance_list_poller::InstanceListPoller;
use lockusher_distribution::message::{DownstreamState, SubscriberIdentity};
use lockusher_distribution::publisher::{Publisher, PublisherStatus};
use lockusher_distribution::reconnect::FixedAddressPolicy;
use lockusher_distribution::subscribe::SharedSubscriber;
use lockusher_distribution::subscriber::Subscriber;

use super::instance_list_publisher::InstanceListPublisher;
use super::replica_driver::ReplicaDriver;
use crate::chain_role::ChainRole;

/// Polls the list while this node is head, and subscribes to the head otherwise; never returns.
pub async fn run(
    driver: Rc<ReplicaDriver>,
    list_publisher: Rc<InstanceListPublisher>,
    settings: Rc<NodeSettings>,
    random_seed: u64,
) {
    let source = InstanceListSource {
        driver,
        list_publisher,
        settings,
        random_seed,
    };
    loop {
        let seen_generation = source.driver.role_changed().generation();
        let role = source.driver.role();
        let changed = source
            .driver
            .role_changed()
            .changed_since(seen_generation)
            .fuse();
        let task = source.run_in_role(role).fuse();
        pin_mut!(changed, task);
        select_biased! {
            _ = changed => {}
            () = task => {}
        }
    }
}

/// State of the polling task.
struct InstanceListSource {
    driver: Rc<ReplicaDriver>,
    list_publisher: Rc<InstanceListPublisher>,
    settings: Rc<NodeSettings>,
    /// Random seed of the poller's and of the subscription's delays.
    random_seed: u64,
}

impl InstanceListSource {
    async fn run_in_role(&self, role: ChainRole) {
        if role.is_head {
            self.poll_platform(role.epoch).await;
        } else if let Some(head) = self.driver.head_address() {
            self.subscribe_to_head(head).await;
        } else {
            std::future::pending::<()>().await;
        }
    }

    /// Polls the platform as head in `epoch`; never returns.
    async fn poll_platform(&self, epoch: u64) {
        let settings = &self.settings;
        let drain_ms = settings.bounds.drain_ms;
        let mut poller =
            InstanceListPoller::sole(settings.cloud_rate_per_s, drain_ms, self.random_seed);
        let clock = self.driver.clock;
        poller.start(clock.millis());
        loop {
            let poll =
                instance_list_client::next_poll(&mut poller, settings.cloud_address, clock).await;
            self.list_publisher.publish_poll(epoch, &poll);
        }
    }

    /// Subscribes to the head and republishes its list and status; never returns.
    async fn subscribe_to_head(&self, head: SocketAddrV4) {
        let identity = SubscriberIdentity {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            agent_address: None,
        };
        let policy = FixedAddressPolicy::new(head, self.random_seed);
        let subscriber =
            SharedSubscriber::new(Subscriber::new(identity), policy, self.driver.clock);
        let _connection = compio::runtime::spawn(Rc::clone(&subscriber).run());
        loop {
            let seen_generation = subscriber.changed().generation();
            let downstream = self.downstream();
            let downstream_proxies = downstream.proxies;
            subscriber.update_no_wake(|subscriber| subscriber.set_downstream(downstream));
            let relay = |subscriber: &Subscriber| {
                let publisher = &self.driver.publisher;
                publisher
                    .update_no_wake(|publisher| relay(subscriber, publisher, downstream_proxies))
            };
            if subscriber.read(relay) {
                self.driver.publisher.update(|_| ());
            }
            subscriber.changed().changed_since(seen_generation).await;
        }
    }

    /// The status of the proxies downstream of this node, reported to the head.
    fn downstream(&self) -> DownstreamState {
        self.driver.publisher.read(|publisher| DownstreamState {
            in_force_version: 0,
            proxies: publisher.downstream_proxies(),
            loads: publisher.downstream_loads(),
        })
    }
}

/// Publishes the head's list and status at this node; returns whether the list is newer than the one published before.
/// The number of proxies is the head's, unless more are downstream of this node, which may have been head until
/// recently.
fn relay(subscriber: &Subscriber, publisher: &mut Publisher, downstream_proxies: u32) -> bool {
    let status = publisher.status();
    publisher.set_status(PublisherStatus {
        list_confirmed_at_ms: subscriber
            .list_confirmed_at_ms()
            .or(status.list_confirmed_at_ms),
        calls_per_poll: subscriber.calls_per_poll(),
        proxies: subscriber.proxies().max(downstream_proxies),
        ..status
    });
    let list = subscriber.list().cloned();
    list.is_some_and(|list| publisher.publish_list(list.revision, list.instances))
}
