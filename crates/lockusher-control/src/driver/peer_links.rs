//! Connections between control nodes: one outgoing connection for each peer, made again when it ends.
//!
//! Messages may be lost: the replica's protocol repeats what matters. A peer that can't be reached costs a bounded
//! queue.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bitcode::{Decode, Encode};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use derive_more::{Display, Error, From};
use futures_channel::mpsc;
use futures_util::StreamExt;
use lockusher_transport::error::TransportError;
use lockusher_transport::{frame, tcp};

use crate::envelope::{Envelope, EnvelopeError};

/// Bytes that may wait for one peer; the oldest messages give way.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// A connection attempt has this part of `acknowledgeMs`, the interval of heartbeats ...
const CONNECT_LIMIT_DIVISOR: u32 = 20;
/// ... and the next one follows after this part of it.
const RECONNECT_DELAY_DIVISOR: u32 = 80;
/// A connection attempt has this long at least, for a way between regions.
const MIN_CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// A peer that takes no bytes for this long is connected to anew.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A link that had nothing to send for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a control node sends to another on a connection.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PeerFrame {
    /// The sender's internal listener.
    pub from: SocketAddrV4,
    /// [`Envelope`] as bytes.
    pub envelope: Vec<u8>,
}

/// Times of a link. An attempt to connect to a machine without power hangs, so that the whole round must be over before
/// nodes that have come back together suspect each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    pub connect_limit: Duration,
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
    links: RefCell<HashMap<SocketAddrV4, Link>>,
}

struct Link {
    queue: Rc<RefCell<Queue>>,
    wake: mpsc::Sender<()>,
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Queue {
    fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
        while self.bytes > MAX_QUEUED_BYTES && self.frames.len() > 1 {
            self.pop();
        }
    }

    fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }

    fn clear(&mut self) {
        *self = Queue::default();
    }
}

impl PeerLinks {
    pub fn new(own_address: SocketAddrV4, timing: LinkTiming) -> Self {
        PeerLinks { own_address, timing, links: RefCell::default() }
    }

    /// Queues a message for a peer.
    pub fn send(&self, to: SocketAddrV4, envelope: &Envelope) {
        let frame = frame::encode(&PeerFrame { from: self.own_address, envelope: envelope.encode() });
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_insert_with(|| open_link(to, self.timing));
        link.queue.borrow_mut().push(frame);
        if let Err(error) = link.wake.try_send(())
            && error.is_disconnected()
        {
            let queue = link.queue.take();
            *link = open_link(to, self.timing);
            link.queue.replace(queue);
            let _ = link.wake.try_send(());
        }
    }
}

fn open_link(to: SocketAddrV4, timing: LinkTiming) -> Link {
    let queue = Rc::new(RefCell::new(Queue::default()));
    let (wake, wakeups) = mpsc::channel(1);
    compio::runtime::spawn(run_link(to, timing, queue.clone(), wakeups)).detach();
    Link { queue, wake }
}

/// Keeps one link until nothing was sent on it for a while.
async fn run_link(
    to: SocketAddrV4,
    timing: LinkTiming,
    queue: Rc<RefCell<Queue>>,
    mut wakeups: mpsc::Receiver<()>,
) {
    loop {
        match tcp::connect(to, timing.connect_limit).await {
            Ok(stream) => match write_queue(stream, &queue, &mut wakeups).await {
                Ok(()) => return,
                Err(error) => log::debug!("link to {to}: {error}"),
            },
            Err(error) => log::debug!("link to {to}: {error}"),
        }
        // What waited is old news by the time the peer is back; the replica repeats what matters.
        queue.borrow_mut().clear();
        sleep(timing.reconnect_delay).await;
        if timeout(IDLE_TIMEOUT, wakeups.next()).await.is_err() {
            return;
        }
    }
}

async fn write_queue(
    stream: TcpStream,
    queue: &RefCell<Queue>,
    wakeups: &mut mpsc::Receiver<()>,
) -> Result<(), TransportError> {
    let (_reader, mut writer) = frame::split::<(), PeerFrame>(stream)?;
    loop {
        let next = queue.borrow_mut().pop();
        match next {
            Some(frame) => timeout(WRITE_TIMEOUT, writer.write_encoded(&frame))
                .await
                .map_err(|_| TransportError::TimedOut)??,
            None => match timeout(IDLE_TIMEOUT, wakeups.next()).await {
                Ok(Some(())) => {}
                Ok(None) | Err(_) => return Ok(()),
            },
        }
    }
}

/// Why a peer's connection ended.
#[derive(Debug, Display, Error, From)]
pub enum ReceiveError {
    #[display("{_0}")]
    Net(TransportError),
    #[display("{_0}")]
    Envelope(EnvelopeError),
}

/// Reads a peer's messages from an accepted connection and hands each to `deliver`, until the connection ends.
pub async fn receive(
    stream: TcpStream,
    deliver: impl Fn(SocketAddrV4, Envelope),
) -> Result<(), ReceiveError> {
    tcp::set_options(&stream)?;
    let (mut reader, _writer) = frame::split::<PeerFrame, ()>(stream)?;
    loop {
        let PeerFrame { from, envelope } = reader.read().await?;
        deliver(from, Envelope::decode(&envelope)?);
    }
}
