//! The fleet's list of searchers at a control node: the head of the chain reads it from the platform, the others
//! follow the head.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use futures_util::{FutureExt, pin_mut, select_biased};
use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::instance_list_client;
use lockusher_distribution::instance_list_poller::{InstanceListPoll, InstanceListPoller};
use lockusher_distribution::message::{Downstream, SubscriberIdentity};
use lockusher_distribution::publisher::{Publisher, PublisherStatus};
use lockusher_distribution::reconnect::FixedAddressPolicy;
use lockusher_distribution::subscribe::SharedSubscriber;
use lockusher_distribution::subscriber::Subscriber;

use super::replica_driver::{ReplicaDriver, Role};

/// Reads the list while this node is head and follows the head otherwise, for ever.
pub async fn run(driver: Rc<ReplicaDriver>, settings: Rc<NodeSettings>, random_seed: u64) {
    loop {
        let seen_generation = driver.role_changed().generation();
        let role = driver.role();
        let changed = driver.role_changed().changed_since(seen_generation).fuse();
        let run_in_role = run_in_role(&driver, &settings, role, random_seed).fuse();
        pin_mut!(changed, run_in_role);
        select_biased! {
            _ = changed => {}
            () = run_in_role => {}
        }
    }
}

async fn run_in_role(driver: &Rc<ReplicaDriver>, settings: &NodeSettings, role: Role, random_seed: u64) {
    if role.head {
        poll_platform(driver, settings, role.epoch, random_seed).await;
    } else if let Some(head) = driver.head_address() {
        follow_head(driver, settings, head, random_seed).await;
    } else {
        std::future::pending::<()>().await;
    }
}

async fn poll_platform(driver: &ReplicaDriver, settings: &NodeSettings, epoch: u64, random_seed: u64) {
    let drain_ms = settings.bounds.drain_ms;
    let mut poller = InstanceListPoller::sole(settings.cloud_rate_per_s, drain_ms, random_seed);
    poller.start(driver.clock.millis());
    loop {
        let poll = instance_list_client::next_poll(&mut poller, settings.cloud_address, driver.clock).await;
        publish(driver, epoch, &poll);
    }
}

/// Publishes a poll if it differs from the newest list; in any case says how fresh the list is.
fn publish(driver: &ReplicaDriver, epoch: u64, poll: &InstanceListPoll) {
    driver.publisher.update_quietly(|publisher| {
        let status = PublisherStatus {
            list_confirmed_at_ms: Some(poll.started_at_ms),
            calls_per_poll: poll.calls,
            ..publisher.status()
        };
        publisher.set_status(status);
    });
    driver.last_poll.replace(Some((epoch, poll.instances.clone())));
    publish_with_overlay(driver, epoch, &poll.instances, poll.changed);
}

/// Publishes the last poll of this epoch again, since other searchers of it are being changed.
pub fn republish(driver: &ReplicaDriver) {
    let last = driver.last_poll.borrow().clone();
    let Some((epoch, instances)) = last else { return };
    if driver.role() == (Role { head: true, epoch }) {
        publish_with_overlay(driver, epoch, &instances, true);
    }
}

fn publish_with_overlay(driver: &ReplicaDriver, epoch: u64, instances: &Rc<Vec<Instance>>, changed: bool) {
    let instances = driver.stage_switch_overlay.apply(instances);
    let published = driver.publisher.update_quietly(|publisher| {
        let newest = publisher.newest().list_revision;
        let highest_applied = publisher.highest_applied_revision();
        let is_current = newest.epoch == epoch && newest >= highest_applied && !changed;
        !is_current && publisher.publish_list(next_revision(epoch, newest.max(highest_applied)), instances)
    });
    if published {
        driver.publisher.update(|_| ());
    }
}

/// A revision above `newest`. Its number is at least the time of day in milliseconds, so that a poller that was
/// restarted in the same view counts on from above what it gave before.
fn next_revision(epoch: u64, newest: InstanceListRevision) -> InstanceListRevision {
    let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let epoch = epoch.max(newest.epoch);
    let incremented = if newest.epoch == epoch { newest.sequence + 1 } else { 0 };
    InstanceListRevision { epoch, sequence: incremented.max(time_of_day) }
}

/// Passes on what the head publishes.
async fn follow_head(driver: &ReplicaDriver, settings: &NodeSettings, head: SocketAddrV4, random_seed: u64) {
    let identity =
        SubscriberIdentity { node: settings.node.clone(), zone: settings.zone.clone(), agent_address: None };
    let policy = FixedAddressPolicy::new(head, random_seed);
    let shared = SharedSubscriber::new(Subscriber::new(identity), policy, driver.clock);
    let _connection = compio::runtime::spawn(Rc::clone(&shared).run());
    loop {
        let seen_generation = shared.changed().generation();
        let (list, confirmed_at_ms, calls_per_poll, fleet_proxies) = shared.read(|subscriber| {
            let list = subscriber.list().cloned();
            (list, subscriber.list_confirmed_at_ms(), subscriber.calls_per_poll(), subscriber.proxies())
        });
        let downstream = driver.publisher.read(|publisher| Downstream {
            in_force_version: 0,
            proxies: publisher.downstream_proxies(),
            loads: publisher.downstream_loads(),
        });
        let proxies = downstream.proxies;
        shared.update_quietly(|subscriber| subscriber.set_downstream(downstream));
        let relay = |publisher: &mut Publisher| {
            let status = PublisherStatus {
                list_confirmed_at_ms: confirmed_at_ms.or(publisher.status().list_confirmed_at_ms),
                calls_per_poll,
                proxies: fleet_proxies.max(proxies),
                ..publisher.status()
            };
            publisher.set_status(status);
            list.is_some_and(|list| publisher.publish_list(list.revision, list.instances))
        };
        if driver.publisher.update_quietly(relay) {
            driver.publisher.update(|_| ());
        }
        shared.changed().changed_since(seen_generation).await;
    }
}
