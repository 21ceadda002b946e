//! Accepts clients, and closes idle ones if file descriptors run out.

use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::fd::PollFd;
use futures_util::future::{Either, select};
use lockusher_transport::server::SWEEP_INTERVAL;
use lockusher_transport::tcp::wait_for_address;
use socket2::{Domain, Protocol, SockAddr, SockRef, Socket, Type};

use super::connection;
use crate::descriptors::DescriptorPermit;
use crate::error::ProxyError;
use crate::proxy_state::ProxyState;

/// Length of the accept queue; the kernel drops SYNs while it is full.
const BACKLOG: i32 = 1_024;

/// Delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a listener; waits for an address that is in use.
///
/// # Errors
///
/// [`ProxyError::Listen`] if the address can't be listened on.
pub(crate) async fn listen(address: SocketAddrV4) -> Result<TcpListener, ProxyError> {
    wait_for_address(address, async || open(address))
        .await
        .map_err(|source| ProxyError::Listen { address, source })
}

fn open(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts clients while descriptors are available, until `stop` completes; then accepts those that the kernel has
/// connected already, and stops listening. Closing the listener alone would reset them.
pub(crate) async fn accept_clients(
    shared: Rc<ProxyState>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    while let Either::Left((accepted, _)) =
        select(pin!(accept_next(&shared, &listener)), stop.as_mut()).await
    {
        match accepted {
            Ok(socket) => start_serving(&shared, socket),
            Err(error) => {
                log::warn!("cannot accept a client connection: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = accept_connected(&shared, &listener) {
        log::warn!("cannot accept the last client connections: {error}");
    }
}

type ClientSocket = PollFd<Socket>;

/// Accepts a client once descriptors are available.
async fn accept_next(shared: &ProxyState, listener: &TcpListener) -> io::Result<ClientSocket> {
    if !shared.descriptors.has_capacity() {
        shared.clients.close_one_idle();
        shared.descriptors.capacity_available().await;
    }
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    stream.into_poll_fd()
}

/// Accepts all clients in the accept queue, without waiting.
fn accept_connected(shared: &Rc<ProxyState>, listener: &TcpListener) -> io::Result<()> {
    let listener = SockRef::from(listener);
    listener.set_nonblocking(true)?;
    loop {
        let socket = match listener.accept() {
            Ok((socket, _)) => socket,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        start_serving(shared, PollFd::new(socket)?);
    }
}

fn start_serving(shared: &Rc<ProxyState>, socket: ClientSocket) {
    let permit = shared.descriptors.acquire();
    compio::runtime::spawn(serve(shared.clone(), socket, permit)).detach();
}

async fn serve(shared: Rc<ProxyState>, socket: ClientSocket, _permit: DescriptorPermit) {
    let registered = shared.clients.add();
    connection::serve(shared, socket, registered).await;
}

/// Periodically closes client and searcher connections that have been idle for too long; runs until it is cancelled.
pub(crate) async fn sweep(shared: Rc<ProxyState>) {
    loop {
        compio::time::sleep(SWEEP_INTERVAL).await;
        shared.pool.sweep();
        if let Some(routes) = shared.routes() {
            let limits = routes.configuration().limits;
            let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
            shared.clients.sweep(
                idle_timeout,
                Duration::from_millis(limits.header_timeout_ms),
            );
        }
    }
}
