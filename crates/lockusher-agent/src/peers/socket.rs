//! Gossip over UDP, and configurations fetched over TCP at the same port.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use lockusher_config::configuration::Configuration;
use lockusher_distribution::change_notifier::ChangeNotifier;
use lockusher_distribution::message::{Envelope, SubscriberIdentity, ToSubscriber};
use lockusher_distribution::subscribe::SubscribeError;
use lockusher_distribution::subscriber::Subscriber;
use lockusher_transport::clock::Clock;
use lockusher_transport::frame;

use super::gossip::{Gossip, Outgoing};
use super::message::{InstanceDeparture, PeerMessage};

/// The longest datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Pause after a failed receive, so that a broken socket doesn't spin.
const RECEIVE_BACK_OFF: Duration = Duration::from_millis(100);
/// The longest that fetching a configuration may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The gossip and its socket.
pub struct PeerSocket {
    socket: UdpSocket,
    gossip: RefCell<Gossip>,
    received: ChangeNotifier,
    clock: Clock,
}

impl PeerSocket {
    /// Listens at `own`.
    pub async fn bind(own: SocketAddrV4, random_seed: u64, clock: Clock) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(own).await?;
        let gossip = RefCell::new(Gossip::new(own, random_seed));
        Ok(Rc::new(PeerSocket { socket, gossip, received: ChangeNotifier::default(), clock }))
    }

    /// Looks at or changes the gossip.
    pub fn update<R>(&self, change: impl FnOnce(&mut Gossip) -> R) -> R {
        change(&mut self.gossip.borrow_mut())
    }

    /// Signals each message that was received.
    pub fn received(&self) -> &ChangeNotifier {
        &self.received
    }

    /// Receives for ever; `on_departures` takes the ends that peers told.
    pub async fn receive(self: Rc<Self>, on_departures: impl Fn(Vec<InstanceDeparture>)) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let BufResult(received, filled) = self.socket.recv_from(buffer).await;
            buffer = filled;
            match received {
                Ok((_, SocketAddr::V4(from))) => self.receive_datagram(from, &buffer, &on_departures).await,
                Ok(_) => {}
                Err(error) => {
                    log::debug!("peers: {error}");
                    compio::time::sleep(RECEIVE_BACK_OFF).await;
                }
            }
        }
    }

    /// Begins rounds for ever; `is_partitioned` says whether the control plane isn't heard.
    pub async fn run_gossip(self: Rc<Self>, is_partitioned: impl Fn() -> bool) {
        loop {
            let now_ms = self.clock.millis();
            let due_ms = self.gossip.borrow().next_exchange_ms(is_partitioned());
            if now_ms < due_ms {
                let pause_ms = (due_ms - now_ms).min(super::gossip::IDLE_GOSSIP_INTERVAL_MS);
                compio::time::sleep(Duration::from_millis(pause_ms)).await;
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
        let received = self.gossip.borrow_mut().receive(self.clock.millis(), from, message);
        if !received.departures.is_empty() {
            on_departures(received.departures);
        }
        if let Some(response) = received.response {
            self.send(response).await;
        }
        self.received.notify();
    }

    async fn send(&self, outgoing: Outgoing) {
        let datagram = bitcode::encode(&Envelope::seal(&outgoing.message));
        let BufResult(sent, _) = self.socket.send_to(datagram, outgoing.to).await;
        if let Err(error) = sent {
            log::debug!("peers: {}: {error}", outgoing.to);
        }
    }
}

fn decode(datagram: &[u8]) -> Option<PeerMessage> {
    let envelope: Envelope = bitcode::decode(datagram).ok()?;
    envelope.open().ok()
}

/// Fetches the newest configuration that the agent at `peer` holds, if it is newer than `local`.
pub async fn fetch_configuration(
    peer: SocketAddrV4,
    identity: SubscriberIdentity,
    local: Option<Rc<Configuration>>,
    clock: Clock,
) -> Result<Rc<Configuration>, SubscribeError> {
    let mut subscriber = Subscriber::new(identity);
    let local_version = local.as_ref().map_or(0, |local| local.version);
    if let Some(local) = local {
        subscriber.offer_configuration(local);
    }
    let fetch = async {
        let stream = lockusher_transport::tcp::connect(peer, FETCH_TIMEOUT).await?;
        let (mut reader, mut writer) = frame::split::<Envelope, Envelope>(stream)?;
        writer.write(&Envelope::seal(&subscriber.subscribe(clock.millis()))).await?;
        loop {
            let message: ToSubscriber = reader.read().await?.open()?;
            let answer = subscriber.receive(clock.millis(), message);
            match subscriber.configuration() {
                Some(newest) if newest.version > local_version => return Ok(Rc::clone(newest)),
                _ => {}
            }
            if let Some(answer) = answer {
                writer.write(&Envelope::seal(&answer)).await?;
            }
        }
    };
    compio::time::timeout(FETCH_TIMEOUT, fetch).await.map_err(|_| SubscribeError::InactivityTimeout)?
}
