//! Drives the gossip over UDP.
//!
//! The agent's tasks share one socket: one task receives, another starts exchanges. Both run on the agent's thread; no
//! borrow of the [`Gossip`] is held across an `.await`. Lost and malformed datagrams aren't retransmitted, since the
//! next exchange makes up for them.

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

/// Maximum length of a received datagram; longer ones are truncated and can't be decoded.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Delay after a failed receive, which keeps the loop from spinning on a broken socket.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(100);

/// The gossip and its socket.
pub struct PeerSocket {
    socket: UdpSocket,
    gossip: RefCell<Gossip>,
    received: ChangeNotifier,
    clock: Clock,
}

impl PeerSocket {
    /// Binds a socket at `own_address`, at which other agents reach this one.
    ///
    /// # Errors
    ///
    /// If the address isn't local or is in use.
    pub async fn bind(
        own_address: SocketAddrV4,
        random_seed: u64,
        clock: Clock,
    ) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(own_address).await?;
        let gossip = RefCell::new(Gossip::new(own_address, random_seed));
        Ok(Rc::new(PeerSocket {
            socket,
            gossip,
            received: ChangeNotifier::default(),
            clock,
        }))
    }

    /// Accesses the gossip state.
    pub fn update<R>(&self, change: impl FnOnce(&mut Gossip) -> R) -> R {
        change(&mut self.gossip.borrow_mut())
    }

    /// Notifies of each received message.
    pub fn received(&self) -> &ChangeNotifier {
        &self.received
    }

    /// Receives and responds to messages; calls `on_departures` with the departures that a peer spreads. Never returns.
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
                    log::debug!("gossip: receiving failed: {error}");
                    compio::time::sleep(RECEIVE_BACKOFF).await;
                }
            }
        }
    }

    /// Starts exchanges when they are due; `is_partitioned` returns whether the agent is partitioned from the control
    /// plane. Never returns.
    pub async fn run_gossip(self: Rc<Self>, is_partitioned: impl Fn() -> bool) {
        loop {
            let now_ms = self.clock.millis();
            let due_ms = self.gossip.borrow().next_exchange_ms(is_partitioned());
            if now_ms < due_ms {
                // The next exchange may become urgent while waiting.
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
            log::debug!("gossip: datagram from {from} can't be decoded");
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
            log::debug!("gossip: sending to {} failed: {error}", outgoing.to);
        }
    }
}

fn decode(datagram: &[u8]) -> Option<PeerMessage> {
    let envelope: Envelope = bitcode::decode(datagram).ok()?;
    envelope.decode().ok()
}
