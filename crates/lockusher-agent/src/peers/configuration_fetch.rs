//! Fetches a configuration from a peer over TCP, at the same port number as its gossip.
//!
//! The peer handles this as a subscription like a proxy's; it ends with the first newer configuration. Called by the
//! agent's tasks ([`gossip_tasks`](crate::gossip_tasks)) when the [`FetchPolicy`](super::fetch_policy::FetchPolicy)
//! selects a peer.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use lockusher_config::configuration::Configuration;
use lockusher_distribution::message::{Envelope, SubscriberIdentity, ToSubscriber};
use lockusher_distribution::subscriber::Subscriber;
use lockusher_transport::clock::Clock;
use lockusher_transport::error::TransportError;
use lockusher_transport::frame;

use crate::error::ConfigurationFetchError;

/// Timeout for connecting, and for a newer configuration to begin to arrive. The rest of the transfer may take longer,
/// depending on its length.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches the newest configuration that the agent at `peer` has, if it is newer than `local`.
///
/// # Errors
///
/// If the peer is unreachable, sends a message that can't be decoded, or sends no newer configuration before the
/// timeout. A retry may succeed, preferably with another peer.
pub async fn fetch_configuration(
    peer: SocketAddrV4,
    identity: SubscriberIdentity,
    local: Option<Rc<Configuration>>,
    clock: Clock,
) -> Result<Rc<Configuration>, ConfigurationFetchError> {
    let local_version = local.as_ref().map_or(0, |local| local.version);
    let mut subscriber = Subscriber::new(identity);
    if let Some(local) = local {
        subscriber.apply_configuration_if_newer(local);
    }
    receive_newer(peer, subscriber, local_version, clock).await
}

/// Subscribes at `peer` until a configuration above `local_version` is received.
async fn receive_newer(
    peer: SocketAddrV4,
    mut subscriber: Subscriber,
    local_version: u64,
    clock: Clock,
) -> Result<Rc<Configuration>, ConfigurationFetchError> {
    let transport_error = |source| ConfigurationFetchError::Transport { peer, source };
    let decode_error = |source| ConfigurationFetchError::Message { peer, source };
    let stream = lockusher_transport::tcp::connect(peer, FETCH_TIMEOUT)
        .await
        .map_err(transport_error)?;
    let (mut reader, mut writer) =
        frame::split::<Envelope, Envelope>(stream).map_err(transport_error)?;
    writer
        .write(&Envelope::encode(&subscriber.subscribe(clock.millis())))
        .await
        .map_err(transport_error)?;
    let timed_out = || ConfigurationFetchError::TimedOut {
        peer,
        local_version,
    };
    let deadline_ms = clock.millis() + FETCH_TIMEOUT.as_millis() as u64;
    while clock.millis() < deadline_ms {
        let envelope = match reader.read_within(FETCH_TIMEOUT).await {
            Err(TransportError::TimedOut { .. }) => return Err(timed_out()),
            received => received.map_err(transport_error)?,
        };
        let message: ToSubscriber = envelope.decode().map_err(decode_error)?;
        let response = subscriber.receive(clock.millis(), message);
        match subscriber.configuration() {
            Some(newest) if newest.version > local_version => return Ok(Rc::clone(newest)),
            _ => {}
        }
        if let Some(response) = response {
            writer
                .write(&Envelope::encode(&response))
                .await
                .map_err(transport_error)?;
        }
    }
    Err(timed_out())
}
