//! Messages from a publisher to a subscriber, and the handling of the answers.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use lockusher_distribution::message::{
    AppliedVersions, DownstreamState, Envelope, FromSubscriber, Heartbeat, ToSubscriber,
};
use lockusher_distribution::publisher::{
    HEARTBEAT_INTERVAL_MS, Publisher, PublisherStatus, SUBSCRIBER_INACTIVITY_TIMEOUT_MS,
    SubscriberId,
};
use lockusher_distribution::subscriber::Subscriber;
use support::{
    acknowledgement, applied_configuration, configuration, connect_subscriber, deliver_due,
    due_messages, identity, instance, revision,
};

#[test]
fn a_slow_subscriber_is_sent_the_newest_version_only() {
    let mut publisher = Publisher::new(1);
    publisher.publish_configuration(Rc::new(configuration(1, &[])));
    let id = connect_subscriber(&mut publisher, "slow");

    assert_eq!(
        due_messages(&mut publisher, id, 0).len(),
        2,
        "the configuration and a heartbeat"
    );
    for version in 2..100 {
        publisher.publish_configuration(Rc::new(configuration(version, &[])));
        assert_eq!(
            due_messages(&mut publisher, id, 0),
            [],
            "the first isn't acknowledged yet"
        );
    }

    publisher.receive(id, 0, acknowledgement(1));
    assert_eq!(due_messages(&mut publisher, id, 0).len(), 1);
    assert_eq!(publisher.acknowledged_versions(), BTreeMap::from([(1, 1)]));

    publisher.receive(id, 0, acknowledgement(99));
    assert_eq!(publisher.acknowledged_versions(), BTreeMap::from([(99, 1)]));
}

#[test]
fn one_encoding_serves_all_subscribers_with_the_same_base() {
    let mut publisher = Publisher::new(1);
    let ids = [
        connect_subscriber(&mut publisher, "a"),
        connect_subscriber(&mut publisher, "b"),
    ];
    for id in ids {
        due_messages(&mut publisher, id, 0);
    }
    publisher.publish_configuration(Rc::new(configuration(1, &[(1, 1)])));

    let frames = ids.map(|id| publisher.next_frame(id, 0).expect("an update"));

    assert!(Rc::ptr_eq(&frames[0], &frames[1]));
}

#[test]
fn a_heartbeat_reports_the_newest_versions_and_the_age_of_the_list() {
    let mut publisher = Publisher::new(1);
    publisher.publish_list(revision(2, 5), Rc::new(vec![instance("a")]));
    let status = PublisherStatus {
        list_confirmed_at_ms: Some(1_000),
        calls_per_poll: 3,
        proxies: 40,
        in_view: true,
    };
    publisher.set_status(status);
    let id = connect_subscriber(&mut publisher, "a");
    let mut subscriber = Subscriber::new(identity("a"));

    for message in due_messages(&mut publisher, id, 1_400) {
        subscriber.receive(1_450, message);
    }

    assert_eq!(subscriber.list_confirmed_at_ms(), Some(1_050));
    assert_eq!((subscriber.proxies(), subscriber.calls_per_poll()), (40, 3));
    assert!(subscriber.publisher_in_view());
    assert_eq!(
        publisher.next_due_ms(id),
        Some(1_400 + HEARTBEAT_INTERVAL_MS)
    );
}

#[test]
fn a_heartbeat_for_another_revision_does_not_confirm_the_applied_list() {
    let mut ahead = Publisher::new(1);
    ahead.publish_list(revision(2, 5), Rc::new(vec![]));
    let mut behind = Publisher::new(2);
    behind.publish_list(revision(1, 9), Rc::new(vec![]));
    behind.set_status(PublisherStatus {
        list_confirmed_at_ms: Some(1_000),
        ..PublisherStatus::default()
    });
    let mut subscriber = Subscriber::new(identity("a"));

    for publisher in [&mut ahead, &mut behind] {
        let id = publisher.connect(0);
        publisher.receive(id, 0, subscriber.subscribe(0));
        deliver_due(publisher, id, &mut subscriber, 1_000);
    }

    assert_eq!(subscriber.applied().list_revision, revision(2, 5));
    assert_eq!(subscriber.list_confirmed_at_ms(), None);
}

#[test]
fn a_difference_against_an_unapplied_base_is_answered_with_a_request_for_a_full_snapshot() {
    let mut publisher = Publisher::new(1);
    publisher.publish_configuration(Rc::new(configuration(1, &[(1, 1)])));
    publisher.publish_configuration(Rc::new(configuration(2, &[(1, 2)])));
    let id = publisher.connect(0);
    let subscribe = FromSubscriber::Subscribe {
        identity: identity("a"),
        applied: applied_configuration(1),
    };
    publisher.receive(id, 0, subscribe);
    let mut subscriber = Subscriber::new(identity("a"));

    let update = due_messages(&mut publisher, id, 0).remove(0);
    let answer = subscriber.receive(0, update).expect("an answer");
    assert_eq!(
        answer,
        FromSubscriber::RequestFullSnapshot {
            configuration: true,
            list: false
        }
    );

    publisher.receive(id, 0, answer);
    deliver_due(&mut publisher, id, &mut subscriber, 0);
    assert_eq!(
        subscriber.configuration().map(Rc::as_ref),
        Some(&configuration(2, &[(1, 2)]))
    );
}

#[test]
fn an_envelope_of_another_protocol_is_rejected() {
    let mut envelope = Envelope::encode(&ToSubscriber::Peers(vec![]));
    assert!(envelope.decode::<ToSubscriber>().is_ok());

    envelope.protocol += 1;
    let error = envelope
        .decode::<ToSubscriber>()
        .expect_err("another protocol")
        .to_string();

    assert_eq!(error, "the peer speaks protocol 3, this process 2");
}

/// While it reads a long frame, the subscriber has no heartbeat to answer.
#[test]
fn a_subscriber_that_reads_a_long_frame_is_not_inactive() {
    let mut publisher = Publisher::new(1);
    let id = publisher.connect(0);
    let timeout = SUBSCRIBER_INACTIVITY_TIMEOUT_MS;

    publisher.record_activity(id, timeout + 1_400);

    assert!(!publisher.is_inactive(id, 2 * timeout));
    assert!(publisher.is_inactive(id, 2 * timeout + 1_400));
}

fn agent_address(number: u8) -> SocketAddrV4 {
    format!("10.0.0.{number}:7000").parse().expect("an address")
}

fn connect_agent(publisher: &mut Publisher, number: u8) -> SubscriberId {
    let mut agent = identity(&format!("node-{number}"));
    agent.agent_address = Some(agent_address(number));
    let id = publisher.connect(0);
    publisher.receive(id, 0, Subscriber::new(agent).subscribe(0));
    id
}

fn due_peer_sample(publisher: &mut Publisher, id: SubscriberId) -> Option<Vec<SocketAddrV4>> {
    due_messages(publisher, id, 0)
        .into_iter()
        .find_map(|message| match message {
            ToSubscriber::Peers(peers) => Some(peers),
            _ => None,
        })
}

#[test]
fn an_agent_is_sent_a_sample_of_other_agents() {
    let mut publisher = Publisher::new(1);
    let ids: Vec<SubscriberId> = (1..=20)
        .map(|number| connect_agent(&mut publisher, number))
        .collect();

    for (number, id) in (1..=20).zip(ids) {
        let peers = due_peer_sample(&mut publisher, id).expect("a sample");

        assert_eq!(peers.len(), 8);
        assert!(!peers.contains(&agent_address(number)));
    }
    assert_eq!(publisher.subscribed_nodes(), 20);
}

/// Creates a follower of the head with agents, the first of which has a second connection.
fn follower_with_agents(number: usize, agents: usize) -> Publisher {
    let mut follower = Publisher::new(1);
    for agent in 0..agents {
        connect_subscriber(&mut follower, &format!("agent-{number}-{agent}"));
    }
    connect_subscriber(&mut follower, &format!("agent-{number}-0"));
    follower
}

/// Two followers with agents, and one agent directly at the head: the head's count is that of the fleet, and the head
/// reports it to the followers.
#[test]
fn proxies_are_counted_over_a_tree_of_publishers() {
    let mut head = Publisher::new(0);
    connect_subscriber(&mut head, "agent-0");
    for (number, name) in ["follower-1", "follower-2"].into_iter().enumerate() {
        let follower = follower_with_agents(number, 3 + number);
        let downstream = DownstreamState {
            in_force_version: 0,
            proxies: follower.downstream_proxies(),
            loads: Vec::new(),
        };
        assert_eq!(
            downstream.proxies,
            3 + number as u32,
            "a second connection of one agent doesn't count"
        );
        let id = connect_subscriber(&mut head, name);
        head.receive(
            id,
            0,
            FromSubscriber::Acknowledge {
                applied: AppliedVersions::default(),
                downstream,
            },
        );
    }
    assert_eq!(head.downstream_proxies(), 8);

    head.set_status(PublisherStatus {
        proxies: head.downstream_proxies(),
        ..head.status()
    });
    let id = connect_subscriber(&mut head, "follower-3");
    let mut follower = Subscriber::new(identity("follower-3"));
    deliver_due(&mut head, id, &mut follower, 0);

    assert_eq!(follower.proxies(), 8);
}

/// Each agent receives a heartbeat, and sends keep-alives, several times a second.
#[test]
fn a_heartbeat_and_the_keep_alive_that_answers_it_are_small() {
    let mut publisher = Publisher::new(1);
    publisher.publish_list(revision(u64::from(u32::MAX), u64::MAX / 2), Rc::new(vec![]));
    publisher.publish_configuration(Rc::new(configuration(1_000_000, &[])));
    let id = connect_subscriber(&mut publisher, "a");

    let frames: Vec<_> = std::iter::from_fn(|| publisher.next_frame(id, 0)).collect();
    let heartbeat = Heartbeat {
        newest: publisher.newest(),
        list_age_ms: 1_000,
        calls_per_poll: 17,
        proxies: 400,
        in_view: true,
    };
    let answer = Subscriber::new(identity("a")).receive(5_000, ToSubscriber::Heartbeat(heartbeat));

    let heartbeat_bytes = frames.last().expect("a heartbeat").len();
    assert!(heartbeat_bytes <= 80, "{heartbeat_bytes} bytes");
    let answer =
        lockusher_transport::frame::encode(&Envelope::encode(&answer.expect("a keep-alive")));
    assert!(answer.len() <= 60, "{} bytes", answer.len());
}
