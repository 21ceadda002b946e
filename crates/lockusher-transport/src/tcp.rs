//! TCP connections and listeners with the socket options that all connections of the fleet use.

use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use socket2::SockRef;

use crate::clock::Clock;
use crate::error::{Operation, TransportError};
use crate::recurrence::{Recurrence, RecurrenceLog};

/// How long sent bytes may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`): a machine that has
/// lost power, or is unreachable behind a network partition, doesn't close its connections.
pub const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long to retry while an address is in use.
pub const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between two attempts while an address is in use.
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of log lines while an address is in use, in milliseconds.
const ADDRESS_LOG_INTERVAL_MS: u64 = 2_000;

/// Connects within `time_limit`, and sets the options of the connection.
///
/// # Errors
///
/// [`TransportError::TimedOut`]; [`TransportError::Io`] if the connection is refused or its options can't be set.
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

/// Listens at `address`, with retries while it is in use ([`wait_for_address`]).
///
/// # Errors
///
/// [`TransportError::Io`] if the address stays in use or isn't an address of the machine.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, TransportError> {
    wait_for_address(address, async || TcpListener::bind(address).await)
        .await
        .map_err(TransportError::io_on(Operation::Listen, address))
}

/// Opens a socket at `address` and retries while the address is in use, for [`ADDRESS_IN_USE_TIMEOUT`] at most: the
/// preceding process may not have ended yet, or an outgoing connection may use the port.
///
/// # Errors
///
/// The error of the operating system: immediately, unless the address is in use; that error is returned after
/// [`ADDRESS_IN_USE_TIMEOUT`].
pub async fn wait_for_address<T>(
    address: SocketAddrV4,
    open: impl AsyncFn() -> io::Result<T>,
) -> io::Result<T> {
    let clock = Clock::start();
    let mut in_use_log = RecurrenceLog::new(0, ADDRESS_LOG_INTERVAL_MS);
    loop {
        let error = match open().await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => error,
            opened => return opened,
        };
        let now_ms = clock.millis();
        if now_ms >= ADDRESS_IN_USE_TIMEOUT.as_millis() as u64 {
            return Err(error);
        }
        if let Some(Recurrence { for_ms, .. }) = in_use_log.observe(now_ms) {
            log::warn!("the address {address} is in use, for {for_ms} ms so far; retrying");
        }
        sleep(ADDRESS_RETRY_INTERVAL).await;
    }
}

/// The output of `open`, or `None` if `stop` completes first: a process can be stopped while it waits for its
/// addresses.
pub async fn unless_stopped<T>(
    open: impl Future<Output = T>,
    stop: Pin<&mut impl Future<Output = ()>>,
) -> Option<T> {
    match select(pin!(open), stop).await {
        Either::Left((opened, _)) => Some(opened),
        Either::Right(((), _)) => None,
    }
}

/// Makes the connection be reset when it is closed: bytes that the peer hasn't received are discarded.
///
/// # Errors
///
/// [`TransportError::Io`] if the operating system refuses the option.
pub fn discard_on_close(stream: &TcpStream) -> Result<(), TransportError> {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .map_err(TransportError::io(Operation::SetUp))
}

/// Sets the options of a connection: `TCP_NODELAY`, and the timeout for unacknowledged bytes.
///
/// # Errors
///
/// [`TransportError::Io`] if the operating system refuses an option.
pub fn set_options(stream: &impl AsFd) -> Result<(), TransportError> {
    try_set_options(stream).map_err(TransportError::io(Operation::SetUp))
}

fn try_set_options(stream: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))
}
