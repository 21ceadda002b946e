//! TCP connections with the options that every connection of the fleet needs.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::time::timeout;
use socket2::SockRef;

use crate::error::{Operation, TransportError};

/// How long sent bytes may stay unacknowledged before the connection is given up (`TCP_USER_TIMEOUT`): a machine
/// without power, or behind a partition, sends nothing.
pub const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Connects within `time_limit`.
///
/// # Errors
///
/// [`TransportError::TimedOut`], or [`TransportError::Io`] if the connection is refused or can't be set up.
pub async fn connect(
    address: SocketAddrV4,
    time_limit: Duration,
) -> Result<TcpStream, TransportError> {
    let operation = Operation::Connect;
    let stream = timeout(time_limit, TcpStream::connect(address))
        .await
        .map_err(|_| TransportError::TimedOut {
            operation,
            address: Some(address),
        })?
        .map_err(TransportError::io_on(operation, address))?;
    try_set_options(&stream).map_err(TransportError::io_on(Operation::SetUp, address))?;
    Ok(stream)
}

/// Listens at `address`; the address may be taken over from a process that has just ended.
///
/// # Errors
///
/// [`TransportError::Io`] if the address is in use or isn't the machine's.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, TransportError> {
    TcpListener::bind(address)
        .await
        .map_err(TransportError::io_on(Operation::Listen, address))
}

/// Lets the connection be reset when it is closed: bytes that haven't reached the peer by then never do.
///
/// # Errors
///
/// [`TransportError::Io`] if the operating system refuses the option.
pub fn discard_on_close(stream: &TcpStream) -> Result<(), TransportError> {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .map_err(TransportError::io(Operation::SetUp))
}

/// Sets the options of a connection, made or accepted: no delay, and a bound on unacknowledged bytes.
///
/// # Errors
///
/// [`TransportError::Io`] if the operating system refuses an option.
pub fn set_options(stream: &TcpStream) -> Result<(), TransportError> {
    try_set_options(stream).map_err(TransportError::io(Operation::SetUp))
}

fn try_set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))
}
