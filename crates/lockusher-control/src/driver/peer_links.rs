//! Outgoing links to other control nodes: for each peer one connection for short messages and, once needed, one for
//! long messages. Each is reconnected when it fails.
//!
//! Owned by the [`ReplicaDriver`](super::replica_driver::ReplicaDriver), which sends the replica's messages on them.
//! Messages may be lost: the replica's protocol retransmits the ones that matter. Invariant: an unreachable peer costs
//! no more than a bounded queue, whose messages are dropped instead of being sent after the reconnect; and a long
//! message on a slow link delays no heartbeat.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bitcode::{Decode, Encode};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use futures_channel::mpsc;
use futures_util::StreamExt;
use lockusher_transport::error::TransportError;
use lockusher_transport::{frame, tcp};

use super::send_queue::SendQueue;
use crate::envelope::Envelope;

/// A connection attempt times out after `acknowledgeMs` divided by this, which is the heartbeat interval.
const CONNECT_TIMEOUT_DIVISOR: u32 = 20;
/// The next attempt starts after a delay of `acknowledgeMs` divided by this.
const RECONNECT_DELAY_DIVISOR: u32 = 80;
/// Lower bound of the connection timeout, sufficient for the latency between regions.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// A connection on which a write takes longer than this is closed, and the peer reconnected.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A link without messages for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Longer frames are sent on the connection for long messages.
const MAX_SHORT_FRAME_BYTES: usize = 32 * 1024;

/// The connection to a peer on which a message is sent, by its length. The replica tolerates that messages on different
/// connections are reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ConnectionKind {
    /// Heartbeats, votes and short entries.
    Short,
    /// Configurations and states, which take long to send on a slow link.
    Long,
}

impl ConnectionKind {
    fn for_frame(frame: &[u8]) -> Self {
        if frame.len() > MAX_SHORT_FRAME_BYTES {
            ConnectionKind::Long
        } else {
            ConnectionKind::Short
        }
    }
}

/// Frame that one control node sends to another.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PeerFrame {
    /// Address of the sender's internal listener.
    pub from: SocketAddrV4,
    /// The encoded [`Envelope`].
    pub envelope: Vec<u8>,
}

/// Timing of a link. An attempt to connect to a machine without power hangs until its timeout. When nodes restart
/// together, such an attempt, the delay and the next attempt must be over before the nodes suspect each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Delay between the end of a connection, or of a failed attempt, and the next attempt.
    pub reconnect_delay: Duration,
}

impl LinkTiming {
    /// Derives the timing from `acknowledgeMs`, the time that the operator waits for an acknowledgement.
    pub fn new(acknowledge: Duration) -> Self {
        LinkTiming {
            connect_timeout: (acknowledge / CONNECT_TIMEOUT_DIVISOR).max(MIN_CONNECT_TIMEOUT),
            reconnect_delay: acknowledge / RECONNECT_DELAY_DIVISOR,
        }
    }
}

/// The outgoing links of one control node.
pub struct PeerLinks {
    own_address: SocketAddrV4,
    timing: LinkTiming,
    links: RefCell<HashMap<(SocketAddrV4, ConnectionKind), Link>>,
}

/// Handle of a link. Its task ends after [`IDLE_TIMEOUT`] without messages.
struct Link {
    queue: Rc<RefCell<SendQueue>>,
    /// Wakes the link's task; a capacity of one pending wake-up is sufficient.
    wake: mpsc::Sender<()>,
}

impl PeerLinks {
    /// Creates the links of the node with this internal listener; none is open yet.
    pub fn new(own_address: SocketAddrV4, timing: LinkTiming) -> Self {
        PeerLinks {
            own_address,
            timing,
            links: RefCell::default(),
        }
    }

    /// Queues a message for a peer.
    pub fn send(&self, to: SocketAddrV4, envelope: &Envelope) {
        let frame = frame::encode(&PeerFrame {
            from: self.own_address,
            envelope: envelope.encode(),
        });
        let mut links = self.links.borrow_mut();
        let link = links
            .entry((to, ConnectionKind::for_frame(&frame)))
            .or_insert_with(|| Link::open(to, self.timing, SendQueue::default()));
        link.queue.borrow_mut().push(frame);
        if !link.wake() {
            *link = Link::open(to, self.timing, link.queue.take());
            link.wake();
        }
    }
}

impl Link {
    fn open(to: SocketAddrV4, timing: LinkTiming, queue: SendQueue) -> Link {
        let queue = Rc::new(RefCell::new(queue));
        let (wake, wake_ups) = mpsc::channel(1);
        let task = LinkTask {
            to,
            timing,
            queue: Rc::clone(&queue),
            wake_ups,
        };
        compio::runtime::spawn(task.run()).detach();
        Link { queue, wake }
    }

    /// Wakes the task; false if it has ended.
    fn wake(&mut self) -> bool {
        // A full channel holds a wake-up that the task hasn't received yet.
        !self
            .wake
            .try_send(())
            .is_err_and(|error| error.is_disconnected())
    }
}

/// The task of one link: it connects to the peer and writes the queued frames.
struct LinkTask {
    to: SocketAddrV4,
    timing: LinkTiming,
    queue: Rc<RefCell<SendQueue>>,
    wake_ups: mpsc::Receiver<()>,
}

impl LinkTask {
    /// Runs the link until it has been idle for [`IDLE_TIMEOUT`].
    async fn run(mut self) {
        loop {
            match self.connect_and_write().await {
                Ok(()) => return,
                Err(error) => log::debug!("link to {} failed: {error}", self.to),
            }
            // Queued messages would be outdated after a reconnect; the replica retransmits the ones that matter.
            self.queue.borrow_mut().clear();
            sleep(self.timing.reconnect_delay).await;
            if timeout(IDLE_TIMEOUT, self.wake_ups.next()).await.is_err() {
                return;
            }
        }
    }

    /// Connects to the peer and writes queued frames; returns `Ok` once the connection has been idle for
    /// [`IDLE_TIMEOUT`].
    async fn connect_and_write(&mut self) -> Result<(), TransportError> {
        let stream = tcp::connect(self.to, self.timing.connect_timeout).await?;
        self.write_queue(stream).await
    }

    async fn write_queue(&mut self, stream: TcpStream) -> Result<(), TransportError> {
        let (_reader, mut writer) = frame::split::<(), PeerFrame>(stream)?;
        loop {
            let next = self.queue.borrow_mut().pop();
            if let Some(frame) = next {
                writer.write_within(&frame, WRITE_TIMEOUT).await?;
                continue;
            }
            match timeout(IDLE_TIMEOUT, self.wake_ups.next()).await {
                Ok(Some(())) => {}
                Ok(None) | Err(_) => return Ok(()),
            }
        }
    }
}
