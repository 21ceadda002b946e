//! A simulated network: messages in flight, and partitioned links.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddrV4,
};

use lockusher_control::message::{MessageBody, Payload, Transfer};
use lockusher_control::{Envelope, Message, Millis, Reply, Request};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The network between all machines. Messages in flight are ordered by their time of arrival.
#[derive(Debug, Default)]
pub struct Network {
    arrivals: BinaryHeap<Reverse<(Millis, u64)>>,
    in_flight: BTreeMap<u64, Delivery>,
    last_number: u64,
    partitioned_links: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// A sender whose messages are kept back, and those that are.
    held_sender: Option<SocketAddrV4>,
    held_messages: Vec<Delivery>,
    /// Bytes that each machine's link carries in a millisecond, in one direction; none if it is never the limit.
    bytes_per_ms: Option<u64>,
    /// Until when a machine's link carries the long messages that it has sent.
    busy_until: BTreeMap<SocketAddrV4, Millis>,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Messages duplicated, in percent.
    pub duplicated: u32,
    /// Messages delayed for long, in percent.
    pub delayed: u32,
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages that arrived, estimated from a sample.
    pub bytes: u64,
}

/// A message that arrives.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub message: Message,
}

/// One message in so many is encoded and decoded on its way.
const ENCODE_ONE_MESSAGE_IN: u64 = 16;
/// A message with a longer configuration takes the connection for long messages.
const MAX_SHORT_MESSAGE_BYTES: u64 = 32 * 1024;
/// Normal time in flight.
const NORMAL_DELAY_MS: std::ops::RangeInclusive<Millis> = 1..=12;
/// Time in flight of a delayed message.
const LONG_DELAY_MS: std::ops::RangeInclusive<Millis> = 20..=1500;

impl Network {
    /// A network whose machines have links of this bandwidth, in bytes per millisecond.
    pub fn with_link_bandwidth(bytes_per_ms: Option<u64>) -> Self {
        Self {
            bytes_per_ms,
            ..Self::default()
        }
    }

    /// Sends a message; it goes through its form on the wire.
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

    /// When the sender's link has carried a message. Long ones wait for each other; short ones pass them, on a connection of
    /// their own.
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

    /// Lets a message arrive at this time.
    pub fn schedule(&mut self, delivery: Delivery, arrives_at: Millis) {
        self.last_number += 1;
        self.arrivals.push(Reverse((arrives_at, self.last_number)));
        self.in_flight.insert(self.last_number, delivery);
    }

    /// When the next message arrives.
    pub fn next_due(&self) -> Option<Millis> {
        self.arrivals.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes the next message if it is due. A sample takes its form on the wire. Messages on a partitioned link are lost.
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

    /// Keeps back all messages of this sender until [`Network::release_held_messages`].
    pub fn hold_messages_of(&mut self, sender: SocketAddrV4) {
        self.held_sender = Some(sender);
    }

    /// Lets the messages arrive that were kept back, in their order.
    pub fn release_held_messages(&mut self, now: Millis) {
        self.held_sender = None;
        for delivery in std::mem::take(&mut self.held_messages) {
            self.schedule(delivery, now);
        }
    }

    /// Partitions one direction of a link.
    pub fn partition_link(&mut self, from: SocketAddrV4, to: SocketAddrV4) {
        self.partitioned_links.insert((from, to));
    }

    /// Ends all partitions, losses, duplicates and delays.
    pub fn heal(&mut self) {
        self.partitioned_links.clear();
        self.held_sender = None;
        self.loss = 0;
        self.duplicated = 0;
        self.delayed = 0;
    }

    /// Whether any link of a node is partitioned, or its messages are kept back.
    pub fn is_disturbed(&self, address: SocketAddrV4) -> bool {
        let is_held = self.held_sender == Some(address);
        let mut partitioned = self.partitioned_links.iter();
        is_held || partitioned.any(|(from, to)| *from == address || *to == address)
    }
}

/// Length of the configuration that a message carries.
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
