//! Accepts the connections of other control nodes and passes their messages to the replica.
//!
//! A task of the control node, started by [`crate::serve`]. The connections are unidirectional: this node sends its
//! messages on its own [`PeerLinks`](super::peer_links::PeerLinks).

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::time::sleep;
use derive_more::{Display, Error, From};
use lockusher_transport::error::TransportError;
use lockusher_transport::{frame, tcp};

use super::peer_links::PeerFrame;
use super::replica_driver::ReplicaDriver;
use crate::envelope::{Envelope, EnvelopeError};
use crate::replica::Event;

/// Delay after a failed accept: the process may be out of file descriptors for some time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a peer's connection ended. The peer is responsible for reconnecting.
#[derive(Debug, Display, Error, From)]
pub enum ReceiveError {
    /// The connection failed or was closed.
    #[display("{_0}")]
    Transport(TransportError),
    /// The peer sent a frame that isn't an envelope of this protocol. The error persists until its program is replaced.
    #[display("{_0}")]
    Envelope(EnvelopeError),
}

/// Accepts connections of peers; never returns.
pub async fn run(driver: Rc<ReplicaDriver>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_peer(Rc::clone(&driver), stream)).detach();
            }
            Err(error) => {
                log::warn!("accepting a peer's connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(driver: Rc<ReplicaDriver>, stream: TcpStream) {
    let deliver = |from, envelope: Envelope| {
        driver.dispatch(Event::Message {
            from,
            message: envelope.message,
        });
    };
    if let Err(error) = receive(stream, deliver).await {
        log::debug!("connection of a peer ended: {error}");
    }
}

/// Reads a peer's messages and passes each to `deliver`, until the connection ends.
async fn receive(
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
