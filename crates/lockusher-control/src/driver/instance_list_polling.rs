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

use super::replica_driver::{Host, Role};

/// Reads the list while this node is head and follows the head otherwise, for ever.
pub async fn run(host: Rc<Host>, settings: Rc<NodeSettings>, random_seed: u64) {
    loop {
        let seen = host.role_changed().generation();
        let role = host.role();
        let changed = host.role_changed().changed_since(seen).fuse();
        let work = work(&host, &settings, role, random_seed).fuse();
        pin_mut!(changed, work);
        select_biased! {
            _ = changed => {}
            () = work => {}
        }
    }
}

async fn work(host: &Rc<Host>, settings: &NodeSettings, role: Role, random_seed: u64) {
    if role.head {
        read_from_platform(host, settings, role.epoch, random_seed).await;
    } else if let Some(head) = host.head_address() {
        follow(host, settings, head, random_seed).await;
    } else {
        std::future::pending::<()>().await;
    }
}

async fn read_from_platform(host: &Host, settings: &NodeSettings, epoch: u64, random_seed: u64) {
    let drain_ms = settings.bounds.drain_ms;
    let mut reader = InstanceListPoller::sole(settings.cloud_rate_per_s, drain_ms, random_seed);
    reader.start(host.clock.millis());
    loop {
        let reading = instance_list_client::next_poll(&mut reader, settings.cloud_address, host.clock).await;
        publish(host, epoch, &reading);
    }
}

/// Publishes a reading if it differs from the newest list; in any case says how fresh the list is.
fn publish(host: &Host, epoch: u64, reading: &InstanceListPoll) {
    host.publisher.update_quietly(|publisher| {
        let status = PublisherStatus {
            list_confirmed_at_ms: Some(reading.started_at_ms),
            calls_per_poll: reading.calls,
            ..publisher.status()
        };
        publisher.set_status(status);
    });
    host.last_reading.replace(Some((epoch, reading.instances.clone())));
    publish_marked(host, epoch, &reading.instances, reading.changed);
}

/// Publishes the last reading of this epoch again, since other searchers of it are being changed.
pub fn publish_again(host: &Host) {
    let last = host.last_reading.borrow().clone();
    let Some((epoch, instances)) = last else { return };
    if host.role() == (Role { head: true, epoch }) {
        publish_marked(host, epoch, &instances, true);
    }
}

fn publish_marked(host: &Host, epoch: u64, instances: &Rc<Vec<Instance>>, changed: bool) {
    let instances = host.stage_switch_overlay.apply(instances);
    let published = host.publisher.update_quietly(|publisher| {
        let newest = publisher.newest().list_revision;
        let held = publisher.highest_applied_revision();
        let is_current = newest.epoch == epoch && newest >= held && !changed;
        !is_current && publisher.publish_list(next_revision(epoch, newest.max(held)), instances)
    });
    if published {
        host.publisher.update(|_| ());
    }
}

/// A revision above `newest`. Its number is at least the time of day in milliseconds, so that a reader that was
/// restarted in the same view counts on from above what it gave before.
fn next_revision(epoch: u64, newest: InstanceListRevision) -> InstanceListRevision {
    let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let epoch = epoch.max(newest.epoch);
    let counted = if newest.epoch == epoch { newest.sequence + 1 } else { 0 };
    InstanceListRevision { epoch, sequence: counted.max(time_of_day) }
}

/// Passes on what the head publishes.
async fn follow(host: &Host, settings: &NodeSettings, head: SocketAddrV4, random_seed: u64) {
    let identity =
        SubscriberIdentity { node: settings.node.clone(), zone: settings.zone.clone(), agent_address: None };
    let policy = FixedAddressPolicy::new(head, random_seed);
    let shared = SharedSubscriber::new(Subscriber::new(identity), policy, host.clock);
    let _connection = compio::runtime::spawn(Rc::clone(&shared).run());
    loop {
        let seen = shared.changed().generation();
        let (list, confirmed_at_ms, calls, fleet) = shared.read(|subscriber| {
            let list = subscriber.list().cloned();
            (list, subscriber.list_confirmed_at_ms(), subscriber.calls_per_poll(), subscriber.proxies())
        });
        let downstream = host.publisher.read(|publisher| Downstream {
            in_force_version: 0,
            proxies: publisher.downstream_proxies(),
            loads: publisher.downstream_loads(),
        });
        let proxies = downstream.proxies;
        shared.update_quietly(|subscriber| subscriber.set_downstream(downstream));
        let relay = |publisher: &mut Publisher| {
            let status = PublisherStatus {
                list_confirmed_at_ms: confirmed_at_ms.or(publisher.status().list_confirmed_at_ms),
                calls_per_poll: calls,
                proxies: fleet.max(proxies),
                ..publisher.status()
            };
            publisher.set_status(status);
            list.is_some_and(|list| publisher.publish_list(list.revision, list.instances))
        };
        if host.publisher.update_quietly(relay) {
            host.publisher.update(|_| ());
        }
        shared.changed().changed_since(seen).await;
    }
}
