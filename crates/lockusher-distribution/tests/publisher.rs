//! What a publisher sends a subscriber, and what it makes of the answers.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;

use lockusher_distribution::message::{
    AppliedVersions, Downstream, Envelope, FromSubscriber, Heartbeat, ToSubscriber,
};
use lockusher_distribution::publisher::{HEARTBEAT_INTERVAL_MS, Publisher, PublisherStatus};
use lockusher_distribution::subscriber::Subscriber;
use support::{configuration, identity, instance, messages, revision, subscribed};

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
