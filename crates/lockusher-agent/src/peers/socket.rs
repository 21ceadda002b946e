//! Drives the gossip over UDP.
//!
//! The agent's tasks own one socket: one task receives, another starts exchanges. Both run on the agent's thread; the
//! [`Gossip`] is borrowed only between two waits, never across one. Lost and unreadable datagrams are left to the next
//! exchange: nothing is sent again.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use lockusher_distribution::change_notifier::ChangeNotifier;
use lockusher_distribution::message::Envelope;
use lockusher_transport::clock::Clock;

use super::gossip::{Gossip, IDLE_GOSSIP_INTERVAL_MS, Outgoing};
use super::message::{InstanceDeparture, PeerMessage};

/// The longest datagram that is received; longer ones are cut off and can't be read.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Delay after a failed receive, so that a broken socket doesn't spin.
const RECEIVE_BACK_OFF: Duration = Duration::from_millis(100);

/// The gossip and its socket.
pub struct PeerSocket {
    socket: UdpSocket,
    gossip: RefCell<Gossip>,
    received: ChangeNotifier,
    clock: Clock,
}

impl PeerSocket {
    /// Binds a socket at `own`, where other agents reach this one.
    ///
    /// # Errors
    ///
    /// If the address isn't this machine's or is in use.
    pub async fn bind(
        own: SocketAddrV4,
        random_seed: u64,
        clock: Clock,
    ) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(own).await?;
        let gossip = RefCell::new(Gossip::new(own, random_seed));
        Ok(Rc::new(PeerSocket {
            socket,
            gossip,
            received: ChangeNotifier::default(),
            clock,
        }))
    }

    /// Looks at or changes the gossip.
    pub fn update<R>(&self, change: impl FnOnce(&mut Gossip) -> R) -> R {
        change(&mut self.gossip.borrow_mut())
    }

    /// Signals each message that was received.
    pub fn received(&self) -> &ChangeNotifier {
        &self.received
    }

    /// Receives and responds for ever; `on_departures` is called with the departures that a peer spreads.
    pub async fn receive(self: Rc<Self>, on_departures: impl Fn(Vec<InstanceDeparture>)) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let BufResult(received, filled) = self.socket.recv_from(buffer).await;
            buffer = filled;
            match received {
                Ok((_, SocketAddr::V4(from))) => {
                    self.receive_datagram(from, &buffer, &on_departures).await;
                }
                Ok(_) => {}
                Err(error) => {
                    log::debug!("peers: {error}");
                    compio::time::sleep(RECEIVE_BACK_OFF).await;
                }
            }
        }
    }

    /// Starts exchanges for ever; `is_partitioned` says whether nothing is received from the control plane.
    pub async fn run_gossip(self: Rc<Self>, is_partitioned: impl Fn() -> bool) {
        loop {
            let now_ms = self.clock.millis();
            let due_ms = self.gossip.borrow().next_exchange_ms(is_partitioned());
            if now_ms < due_ms {
                // An exchange may become urgent meanwhile.
                let delay_ms = (due_ms - now_ms).min(IDLE_GOSSIP_INTERVAL_MS);
                compio::time::sleep(Duration::from_millis(delay_ms)).await;
                continue;
            }
            let outgoing = self.gossip.borrow_mut().start_exchange(now_ms);
            if let Some(outgoing) = outgoing {
                self.send(outgoing).await;
            }
        }
    }

    async fn receive_datagram(
        &self,
        from: SocketAddrV4,
        datagram: &[u8],
        on_departures: &impl Fn(Vec<InstanceDeparture>),
    ) {
        let Some(message) = decode(datagram) else {
            log::debug!("peers: a datagram of {from} can't be read");
            return;
        };
        let received = self
            .gossip
            .borrow_mut()
            .receive(self.clock.millis(), from, message);
        if !received.departures.is_empty() {
            on_departures(received.departures);
        }
        if let Some(response) = received.response {
            self.send(response).await;
        }
        self.received.notify();
    }

    async fn send(&self, outgoing: Outgoing) {
        let datagram = bitcode::encode(&Envelope::encode(&outgoing.message));
        let BufResult(sent, _) = self.socket.send_to(datagram, outgoing.to).await;
        if let Err(error) = sent {
            log::debug!("peers: {}: {error}", outgoing.to);
        }
    }
}

fn decode(datagram: &[u8]) -> Option<PeerMessage> {
    let envelope: Envelope = bitcode::decode(datagram).ok()?;
    envelope.decode().ok()
}
