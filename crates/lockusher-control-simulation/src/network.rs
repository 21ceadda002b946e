//! Simulated network: messages in flight, link bandwidth, partitions and degradation.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddrV4,
};

use lockusher_control::message::{MessageBody, Payload, Transfer};
use lockusher_control::{Envelope, Message, Millis, Reply, Request};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The network between all machines.
#[derive(Debug, Default)]
pub struct Network {
    /// Arrival times and numbers of the messages in flight, earliest first.
    arrivals: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Messages in flight, by their number.
    in_flight: BTreeMap<u64, Delivery>,
    /// Number of the message scheduled last.
    last_number: u64,
    /// Sender and receiver of each partitioned direction of a link.
    partitioned_links: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// A sender whose messages are held on arrival.
    held_sender: Option<SocketAddrV4>,
    /// The messages that are held.
    held_messages: Vec<Delivery>,
    /// Bandwidth of each machine's link in one direction, in bytes per millisecond; `None` if unlimited.
    bytes_per_ms: Option<u64>,
    /// When each machine's link has transmitted the long messages sent so far.
    busy_until: BTreeMap<SocketAddrV4, Millis>,
    /// Share of messages lost, in percent.
    pub loss: u32,
    /// Share of messages duplicated, in percent.
    pub duplicated: u32,
    /// Share of messages with a long delay, in percent.
    pub delayed: u32,
    /// Number of messages sent.
    pub sent: u64,
    /// Bytes of the messages that arrived, extrapolated from the sample that is encoded.
    pub bytes: u64,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub message: Message,
}

/// One in this many messages is encoded and decoded on arrival.
const ENCODE_ONE_MESSAGE_IN: u64 = 16;
/// A message with a longer configuration is sent on the connection for long messages.
const MAX_SHORT_MESSAGE_BYTES: u64 = 32 * 1024;
/// Latency of a message.
const NORMAL_DELAY_MS: std::ops::RangeInclusive<Millis> = 1..=12;
/// Latency of a delayed message.
const LONG_DELAY_MS: std::ops::RangeInclusive<Millis> = 20..=1500;

impl Network {
    /// Creates a network whose links have this bandwidth, in bytes per millisecond.
    pub fn with_link_bandwidth(bytes_per_ms: Option<u64>) -> Self {
        Self {
            bytes_per_ms,
            ..Self::default()
        }
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    pub fn send(&mut self, delivery: Delivery, now: Millis, random: &mut ChaCha8Rng) {
        self.sent += 1;
        let deliveries = 1 + u32::from(random.random_ratio(self.duplicated, 100));
        for _ in 0..deliveries {
            let transmitted_at = self.transmitted_at(&delivery, now);
            let lost = random.random_ratio(self.loss, 100);
            let delayed = random.random_ratio(self.delayed, 100);
            let delay = random.random_range(if delayed {
                LONG_DELAY_MS
            } else {
                NORMAL_DELAY_MS
            });
            if !lost {
                self.schedule(delivery.clone(), transmitted_at + delay);
            }
        }
    }

    /// When the sender's link has transmitted a message. Long messages queue behind each other; short ones overtake them on
    /// a separate connection.
    fn transmitted_at(&mut self, delivery: &Delivery, now: Millis) -> Millis {
        let Some(bytes_per_ms) = self.bytes_per_ms else {
            return now;
        };
        let document_bytes = document_bytes(&delivery.message);
        if document_bytes <= MAX_SHORT_MESSAGE_BYTES {
            return now;
        }
        let busy_until = self.busy_until.entry(delivery.from).or_default();
        *busy_until = now.max(*busy_until) + document_bytes / bytes_per_ms;
        *busy_until
    }

    /// Schedules the arrival of a message.
    pub fn schedule(&mut self, delivery: Delivery, arrives_at: Millis) {
        self.last_number += 1;
        self.arrivals.push(Reverse((arrives_at, self.last_number)));
        self.in_flight.insert(self.last_number, delivery);
    }

    /// Arrival time of the next message.
    pub fn next_due(&self) -> Option<Millis> {
        self.arrivals.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes the next message if it is due. The inner option is `None` if the message is lost on a partitioned link, held,
    /// or can't be decoded. A sample of the messages is encoded and decoded.
    pub fn take_due(&mut self, now: Millis) -> Option<Option<Delivery>> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((_, number)) = self.arrivals.pop()?;
        let delivery = self.in_flight.remove(&number)?;
        if self
            .partitioned_links
            .contains(&(delivery.from, delivery.to))
        {
            return Some(None);
        }
        if self.held_sender == Some(delivery.from) {
            self.held_messages.push(delivery);
            return Some(None);
        }
        if number % ENCODE_ONE_MESSAGE_IN != 0 {
            return Some(Some(delivery));
        }
        let bytes = Envelope::new(delivery.message).encode();
        self.bytes += ENCODE_ONE_MESSAGE_IN * bytes.len() as u64;
        let message = Envelope::decode(&bytes)
            .ok()
            .map(|envelope| envelope.message);
        Some(message.map(|message| Delivery {
            message,
            ..delivery
        }))
    }

    /// Holds all messages of this sender on arrival until [`Network::release_held_messages`].
    pub fn hold_messages_of(&mut self, sender: SocketAddrV4) {
        self.held_sender = Some(sender);
    }

    /// Schedules the held messages in the order of their arrival.
    pub fn release_held_messages(&mut self, now: Millis) {
        self.held_sender = None;
        for delivery in std::mem::take(&mut self.held_messages) {
            self.schedule(delivery, now);
        }
    }

    /// Loses all messages in one direction of a link until [`Network::heal`].
    pub fn partition_link(&mut self, from: SocketAddrV4, to: SocketAddrV4) {
        self.partitioned_links.insert((from, to));
    }

    /// Ends all partitions, losses, duplicates and delays, and holds no further messages.
    pub fn heal(&mut self) {
        self.partitioned_links.clear();
        self.held_sender = None;
        self.loss = 0;
        self.duplicated = 0;
        self.delayed = 0;
    }

    /// Whether any link of a node is partitioned, or its messages are held.
    pub fn is_disturbed(&self, address: SocketAddrV4) -> bool {
        let is_held = self.held_sender == Some(address);
        let mut partitioned = self.partitioned_links.iter();
        is_held || partitioned.any(|(from, to)| *from == address || *to == address)
    }
}

/// Length in bytes of the configuration that a message carries; 0 if it carries none.
fn document_bytes(message: &Message) -> u64 {
    let document = match &message.body {
        MessageBody::Append { document, .. }
        | MessageBody::Forward {
            body: Request::Put { document, .. },
            ..
        }
        | MessageBody::Transfer(Transfer {
            payload: Payload::LatestDocument { document, .. },
            ..
        })
        | MessageBody::ForwardResponse {
            reply: Reply::Document(Some(document)),
            ..
        } => Some(document),
        MessageBody::Transfer(Transfer {
            payload: Payload::FullSnapshot(state),
            ..
        }) => state.document(),
        _ => None,
    };
    document.map_or(0, |document| document.body.len() as u64)
}
