//! Load reports from the proxies to the head.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_distribution::load::{self, ServiceLoad};
use lockusher_distribution::message::{
    AppliedVersions, DownstreamState, Envelope, FromSubscriber, Heartbeat, NEVER_CONFIRMED_MS,
    SubscriberIdentity, ToSubscriber,
};
use lockusher_distribution::publisher::Publisher;
use lockusher_distribution::subscriber::Subscriber;
use proptest::collection::vec;
use proptest::prelude::*;
use support::identity;

fn service(name: &str, in_flight: u32) -> ServiceLoad {
    ServiceLoad {
        service: name.to_owned(),
        proxies: 1,
        requests_per_s: 40,
        prefill_tokens_per_s: 90_000,
        prefill_in_flight: in_flight,
        decode_in_flight: 2 * in_flight,
        decode_waiting: in_flight / 2,
        decode_tokens: 1_000 * in_flight,
    }
}

fn acknowledgement(loads: Vec<ServiceLoad>) -> FromSubscriber {
    let downstream = DownstreamState {
        in_force_version: 0,
        proxies: 1,
        loads,
    };
    FromSubscriber::Acknowledge {
        applied: AppliedVersions::default(),
        downstream,
    }
}

fn agent(node: &str) -> SubscriberIdentity {
    let agent_address = Some(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
    SubscriberIdentity {
        agent_address,
        ..identity(node)
    }
}

fn subscribe(publisher: &mut Publisher, node: &str, loads: Vec<ServiceLoad>) {
    let id = publisher.connect(0);
    let first = FromSubscriber::Subscribe {
        identity: agent(node),
        applied: AppliedVersions::default(),
    };
    publisher.receive(id, 0, first);
    publisher.receive(id, 0, acknowledgement(loads));
}

#[test]
fn a_publisher_sums_up_loads_by_service() {
    let mut publisher = Publisher::new(1);
    subscribe(
        &mut publisher,
        "a",
        vec![service("x", 100), service("y", 10)],
    );
    subscribe(&mut publisher, "b", vec![service("x", 300)]);

    let loads = publisher.downstream_loads();

    let found: Vec<_> = loads
        .iter()
        .map(|load| (&*load.service, load.proxies, load.prefill_in_flight))
        .collect();
    assert_eq!(found, [("x", 2, 400), ("y", 1, 10)]);
}

#[test]
fn the_load_of_a_node_with_two_connections_is_that_of_the_newer() {
    let mut publisher = Publisher::new(1);
    subscribe(&mut publisher, "a", vec![service("x", 100)]);
    subscribe(&mut publisher, "a", vec![service("x", 300)]);

    let loads = publisher.downstream_loads();

    assert_eq!((loads[0].proxies, loads[0].prefill_in_flight), (1, 300));
}

fn heartbeat() -> ToSubscriber {
    ToSubscriber::Heartbeat(Heartbeat {
        newest: AppliedVersions::default(),
        list_age_ms: NEVER_CONFIRMED_MS,
        calls_per_poll: 0,
        proxies: 1,
        in_view: true,
    })
}

#[test]
fn a_load_that_grows_is_reported_at_the_next_heartbeat_and_a_steady_one_each_second() {
    let mut subscriber = Subscriber::new(identity("a"));
    subscriber.subscribe(0);

    subscriber.set_loads(vec![service("x", 100)]);
    assert!(
        subscriber.receive(300, heartbeat()).is_some(),
        "the load is new"
    );

    subscriber.set_loads(vec![service("x", 130)]);
    assert!(
        subscriber.receive(600, heartbeat()).is_none(),
        "the load has changed by less than a factor of two"
    );
    assert!(
        subscriber.receive(1_300, heartbeat()).is_some(),
        "a second has passed"
    );

    subscriber.set_loads(vec![service("x", 270)]);
    assert!(
        subscriber.receive(1_600, heartbeat()).is_some(),
        "the load has doubled"
    );
}

#[test]
fn a_load_is_encoded_in_at_most_64_bytes() {
    let bytes = |loads| Envelope::encode(&acknowledgement(loads)).body.len();

    let bytes_per_load = bytes(vec![service("huvo11a", 12_345)]) - bytes(Vec::new());

    assert!(bytes_per_load <= 64, "{bytes_per_load} bytes");
}

proptest! {
    /// The sum is that over all proxies, whatever the shape of the tree of publishers.
    #[test]
    fn a_sum_of_sums_is_the_sum_over_all(groups in vec(vec((0usize..3, 0u32..100_000), 0..6), 0..6)) {
        let named = |(name, in_flight): &(usize, u32)| service(["x", "y", "z"][*name], *in_flight);
        let loads: Vec<Vec<ServiceLoad>> = groups.iter().map(|group| group.iter().map(named).collect()).collect();

        let sums: Vec<ServiceLoad> = loads.iter().flat_map(load::sum).collect();

        prop_assert_eq!(load::sum(&sums), load::sum(loads.iter().flatten()));
    }
}
