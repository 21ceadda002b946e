//! The times and the queue of the links between control nodes.

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

/// Heartbeats go every twentieth of `acknowledgeMs`; a node is suspected after a fifth of it.
const HEARTBEAT_DIVISOR: u32 = 20;
const SUSPECT_DIVISOR: u32 = 5;

/// After a loss of power at all nodes, the first attempts go to machines that are still down and hang. The attempts that
/// follow must be through before the nodes suspect each other, or the next view waits for that.
#[parameterized(
    one_second = { 1_000 },
    two_seconds = { 2_000 },
    four_seconds = { 4_000 },
    five_seconds = { 5_000 },
    twenty_seconds = { 20_000 },
)]
fn a_hanging_attempt_and_the_next_fit_before_a_node_is_suspected(acknowledge_ms: u64) {
    let acknowledge = Duration::from_millis(acknowledge_ms);

    let timing = LinkTiming::new(acknowledge);

    let next_message = acknowledge / HEARTBEAT_DIVISOR;
    let cycle = timing.connect_limit + timing.reconnect_delay + next_message;
    assert!(cycle < acknowledge / SUSPECT_DIVISOR, "{timing:?}");
}

#[test]
fn an_attempt_has_time_for_a_way_between_regions() {
    let timing = LinkTiming::new(Duration::from_millis(200));

    assert!(timing.connect_limit >= Duration::from_millis(100));
}

#[test]
fn the_oldest_frames_give_way_when_too_many_bytes_wait() {
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
fn a_frame_over_the_bound_is_sent_alone() {
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

/// A configuration of this size on its way to the head.
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

/// The peer takes nothing on the connection of the long message, as a thin link does for seconds.
#[test]
fn a_long_message_holds_up_no_short_one() {
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
