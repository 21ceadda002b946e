//! Outgoing links to other control nodes: for each peer one connection for short messages and, once there are such, one for
//! long ones, each made again when it ends.
//!
//! Owned by the [`ReplicaDriver`](super::replica_driver::ReplicaDriver), which sends the replica's messages on them.
//! Messages may be lost: the replica's protocol repeats what matters. Invariant: a peer that can't be reached costs a
//! bounded queue, and what waited for it isn't sent once it is back; and a long message on a thin link holds up no heartbeat.

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

/// A connection attempt may take `acknowledgeMs` divided by this, the interval of heartbeats,
const CONNECT_LIMIT_DIVISOR: u32 = 20;
/// and the next one follows after it divided by this.
const RECONNECT_DELAY_DIVISOR: u32 = 80;
/// A connection attempt has this long at least, for a way between regions.
const MIN_CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// A peer that takes no bytes for this long is connected to anew.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A link that had nothing to send for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A longer frame goes on the connection for long messages.
const MAX_SHORT_FRAME_BYTES: usize = 32 * 1024;

/// Which connection to a peer a message takes. Messages of different lanes may pass each other, as the replica allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Lane {
    /// Heartbeats, votes and short entries.
    Short,
    /// Configurations and states that take a while on a thin link.
    Long,
}

impl Lane {
    fn of(frame: &[u8]) -> Self {
        if frame.len() > MAX_SHORT_FRAME_BYTES {
            Lane::Long
        } else {
            Lane::Short
        }
    }
}

/// What a control node sends to another on a connection.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PeerFrame {
    /// The sender's internal listener.
    pub from: SocketAddrV4,
    /// [`Envelope`] as bytes.
    pub envelope: Vec<u8>,
}

/// Times of a link. An attempt to connect to a machine without power hangs, so that an attempt, the delay and the next
/// attempt must be over before nodes that have come back together suspect each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// How long a connection attempt may take.
    pub connect_limit: Duration,
    /// Delay between the end of a connection, or of an attempt, and the next attempt.
    pub reconnect_delay: Duration,
}

impl LinkTiming {
    /// Times for an operator who waits this long for an acknowledgement.
    pub fn new(acknowledge: Duration) -> Self {
        LinkTiming {
            connect_limit: (acknowledge / CONNECT_LIMIT_DIVISOR).max(MIN_CONNECT_LIMIT),
            reconnect_delay: acknowledge / RECONNECT_DELAY_DIVISOR,
        }
    }
}

/// The outgoing links of one control node.
pub struct PeerLinks {
    own_address: SocketAddrV4,
    timing: LinkTiming,
    links: RefCell<HashMap<(SocketAddrV4, Lane), Link>>,
}

/// The sending side of a link. Its task ends after a while without messages.
struct Link {
    queue: Rc<RefCell<SendQueue>>,
    /// Wakes the link's task; one pending wake-up is enough.
    wake: mpsc::Sender<()>,
}

impl PeerLinks {
    /// Links of the node with this internal listener; none is open yet.
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
            .entry((to, Lane::of(&frame)))
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
        // A full channel is a wake-up that the task hasn't seen yet.
        !self
            .wake
            .try_send(())
            .is_err_and(|error| error.is_disconnected())
    }
}

/// The task that connects one link and writes what is queued.
struct LinkTask {
    to: SocketAddrV4,
    timing: LinkTiming,
    queue: Rc<RefCell<SendQueue>>,
    wake_ups: mpsc::Receiver<()>,
}

impl LinkTask {
    /// Serves the link until nothing was sent on it for a while.
    async fn run(mut self) {
        loop {
            match self.connect_and_write().await {
                Ok(()) => return,
                Err(error) => log::debug!("link to {}: {error}", self.to),
            }
            // What waited is out of date by the time the peer is back; the replica repeats what matters.
            self.queue.borrow_mut().clear();
            sleep(self.timing.reconnect_delay).await;
            if timeout(IDLE_TIMEOUT, self.wake_ups.next()).await.is_err() {
                return;
            }
        }
    }

    /// One connection; in order if it was idle for a while.
    async fn connect_and_write(&mut self) -> Result<(), TransportError> {
        let stream = tcp::connect(self.to, self.timing.connect_limit).await?;
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
