//! Timing, send queue and connections of the links between control nodes.

use std::time::Duration;

use std::net::SocketAddrV4;
use std::sync::Arc;

use compio::net::TcpListener;
use lockusher_control::driver::peer_links::{LinkTiming, PeerFrame, PeerLinks};
use lockusher_control::driver::send_queue::{MAX_QUEUED_BYTES, SendQueue};
use lockusher_control::message::MessageBody;
use lockusher_control::{ConfigurationDocument, Envelope, Identity, Message, Request};
use lockusher_transport::frame;
use yare::parameterized;

/// A heartbeat is sent every twentieth of `acknowledgeMs`; a node is suspected after a fifth of it without one.
const HEARTBEAT_DIVISOR: u32 = 20;
const SUSPICION_DIVISOR: u32 = 5;

/// After a power loss of all nodes, the first connection attempts hang because their peers are still down. The
/// following attempts must succeed before the nodes suspect each other; otherwise the next view is delayed by the
/// suspicion.
#[parameterized(
    one_second = { 1_000 },
    two_seconds = { 2_000 },
    four_seconds = { 4_000 },
    five_seconds = { 5_000 },
    twenty_seconds = { 20_000 },
)]
fn a_hanging_attempt_and_the_next_one_fit_into_the_suspicion_timeout(acknowledge_ms: u64) {
    let acknowledge = Duration::from_millis(acknowledge_ms);

    let timing = LinkTiming::new(acknowledge);

    let next_message = acknowledge / HEARTBEAT_DIVISOR;
    let cycle = timing.connect_timeout + timing.reconnect_delay + next_message;
    assert!(cycle < acknowledge / SUSPICION_DIVISOR, "{timing:?}");
}

#[test]
fn the_connect_timeout_covers_the_latency_between_regions() {
    let timing = LinkTiming::new(Duration::from_millis(200));

    assert!(timing.connect_timeout >= Duration::from_millis(100));
}

#[test]
fn the_oldest_frames_are_dropped_when_the_queue_exceeds_its_bound() {
    let mut queue = SendQueue::default();
    let half = MAX_QUEUED_BYTES / 2;

    for frame in [vec![1; half], vec![2; half], vec![3; 1]] {
        queue.push(frame);
    }

    assert_eq!(queue.pop(), Some(vec![2; half]));
    assert_eq!(queue.pop(), Some(vec![3; 1]));
    assert_eq!(queue.pop(), None);
}

#[test]
fn a_frame_above_the_bound_replaces_all_queued_ones() {
    let mut queue = SendQueue::default();
    queue.push(vec![1; 1]);

    queue.push(vec![2; MAX_QUEUED_BYTES + 1]);

    assert_eq!(queue.pop(), Some(vec![2; MAX_QUEUED_BYTES + 1]));
    assert_eq!(queue.pop(), None);
}

fn envelope(body: MessageBody) -> Envelope {
    Envelope::new(Message {
        sender: Identity(7),
        epoch: 1,
        body,
    })
}

/// A message that forwards a configuration of this size to the head.
fn long_message(bytes: usize) -> MessageBody {
    let document = ConfigurationDocument::new(1, Arc::from(vec![b' '; bytes]));
    MessageBody::Forward {
        request: 1,
        body: Request::Put {
            if_match: 0,
            document,
        },
    }
}

/// The peer reads nothing from the connection of the long message, like a slow link that is blocked for seconds.
#[test]
fn a_long_message_does_not_delay_a_short_one() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address").to_string();
        let address: SocketAddrV4 = address.parse().expect("an IPv4 address");
        let timing = LinkTiming::new(Duration::from_secs(60));
        let links = PeerLinks::new(address, timing);

        links.send(address, &envelope(long_message(12_000_000)));
        let (_long, _) = listener.accept().await.expect("the long connection");
        let short = MessageBody::AppendStored { index: 3 };
        links.send(address, &envelope(short.clone()));

        let (stream, _) = listener.accept().await.expect("the short connection");
        let (mut reader, _writer) = frame::split::<PeerFrame, ()>(stream).expect("splits");
        let received = reader.read().await.expect("a frame");
        let received = Envelope::decode(&received.envelope).expect("an envelope");
        assert_eq!(received.message.body, short);
    });
}
