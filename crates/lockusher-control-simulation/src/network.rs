//! A simulated network: messages under way, and cuts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddrV4,
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use lockusher_control::{Envelope, Message, Millis};

/// Messages are held by their order of arrival.
#[derive(Debug, Default)]
pub struct Network {
    arrivals: BinaryHeap<Reverse<(Millis, u64)>>,
    under_way: BTreeMap<u64, Delivery>,
    next: u64,
    cuts: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Messages doubled, in percent.
    pub doubled: u32,
    /// Messages held up for long, in percent.
    pub held: u32,
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
const WIRE_SAMPLE: u64 = 16;
/// Usual time on the way.
const USUAL_DELAY: std::ops::RangeInclusive<Millis> = 1..=12;
/// Time on the way of a message held up.
const LONG_DELAY: std::ops::RangeInclusive<Millis> = 20..=1500;

impl Network {
    /// Sends a message; it goes through its form on the wire.
    pub fn send(&mut self, delivery: Delivery, now: Millis, random: &mut ChaCha8Rng) {
        self.sent += 1;
        let copies = 1 + u32::from(random.random_ratio(self.doubled, 100));
        for _ in 0..copies {
            let lost = random.random_ratio(self.loss, 100);
            let held = random.random_ratio(self.held, 100);
            let delay = random.random_range(if held { LONG_DELAY } else { USUAL_DELAY });
            if !lost {
                self.hold(delivery.clone(), now + delay);
            }
        }
    }

    /// Lets a message arrive at this time.
    pub fn hold(&mut self, delivery: Delivery, until: Millis) {
        self.next += 1;
        self.arrivals.push(Reverse((until, self.next)));
        self.under_way.insert(self.next, delivery);
    }

    /// When the next message arrives.
    pub fn next_due(&self) -> Option<Millis> {
        self.arrivals.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes the next message if it is due. A sample takes its form on the wire. Messages into a cut are lost.
    pub fn arrive(&mut self, now: Millis) -> Option<Option<Delivery>> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((_, number)) = self.arrivals.pop()?;
        let delivery = self.under_way.remove(&number)?;
        if self.cuts.contains(&(delivery.from, delivery.to)) {
            return Some(None);
        }
        if number % WIRE_SAMPLE != 0 {
            return Some(Some(delivery));
        }
        let bytes = Envelope::new(delivery.message).encode();
        self.bytes += WIRE_SAMPLE * bytes.len() as u64;
        let message = Envelope::decode(&bytes).ok().map(|envelope| envelope.message);
        Some(message.map(|message| Delivery { message, ..delivery }))
    }

    /// Cuts one direction.
    pub fn cut(&mut self, from: SocketAddrV4, to: SocketAddrV4) {
        self.cuts.insert((from, to));
    }

    /// Ends all cuts and all trouble.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0;
        self.doubled = 0;
        self.held = 0;
    }

    /// Whether a node is on either side of a cut.
    pub fn is_cut(&self, address: SocketAddrV4) -> bool {
        self.cuts.iter().any(|(from, to)| *from == address || *to == address)
    }
}
