//! TCP connections with the options that every connection of the fleet needs.

use std::net::SocketAddrV4;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::time::timeout;
use socket2::SockRef;

use crate::error::TransportError;

/// How long sent bytes may stay unacknowledged before the connection is given up: a machine without power, or behind
/// a cut, says nothing.
pub const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);

/// Connects within `limit`.
pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<TcpStream, TransportError> {
    let stream =
        timeout(limit, TcpStream::connect(address)).await.map_err(|_| TransportError::TimedOut)??;
    set_options(&stream)?;
    Ok(stream)
}

/// Listens at `address`; the address may be taken over from a process that has just ended.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, TransportError> {
    Ok(TcpListener::bind(address).await?)
}

/// Lets the connection be reset when it is closed: bytes that haven't reached the peer by then never do.
pub fn discard_on_close(stream: &TcpStream) -> Result<(), TransportError> {
    Ok(SockRef::from(stream).set_linger(Some(Duration::ZERO))?)
}

/// Sets the options of a connection, made or accepted: no delay, and a bound on unacknowledged bytes.
pub fn set_options(stream: &TcpStream) -> Result<(), TransportError> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(())
}
