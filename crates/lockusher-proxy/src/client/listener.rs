//! Accepts clients, and closes idle ones if file descriptors run out.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use lockusher_transport::tcp::wait_for_address;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::connection;
use super::registry::{ClientRegistry, SWEEP_INTERVAL};
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

/// Accepts clients while descriptors are available; runs until it is cancelled.
pub(crate) async fn accept_clients(
    shared: Rc<ProxyState>,
    clients: Rc<ClientRegistry>,
    listener: TcpListener,
) {
    loop {
        if !shared.descriptors.has_capacity() {
            clients.close_one_idle();
            shared.descriptors.capacity_available().await;
        }
        let socket = match accept(&listener).await {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!("cannot accept a client connection: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let permit = shared.descriptors.acquire();
        let serving = serve(shared.clone(), clients.clone(), socket, permit);
        compio::runtime::spawn(serving).detach();
    }
}

type ClientSocket = compio::runtime::fd::PollFd<Socket>;

async fn accept(listener: &TcpListener) -> io::Result<ClientSocket> {
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    stream.into_poll_fd()
}

async fn serve(
    shared: Rc<ProxyState>,
    clients: Rc<ClientRegistry>,
    socket: ClientSocket,
    _permit: DescriptorPermit,
) {
    let (key, state) = clients.add();
    connection::serve(shared, socket, state).await;
    clients.remove(key);
}

/// Periodically closes client and searcher connections that have been idle for too long; runs until it is cancelled.
pub(crate) async fn sweep(shared: Rc<ProxyState>, clients: Rc<ClientRegistry>) {
    loop {
        compio::time::sleep(SWEEP_INTERVAL).await;
        shared.pool.sweep();
        if let Some(routes) = shared.routes() {
            let limits = routes.configuration().limits;
            let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
            clients.sweep(
                idle_timeout,
                Duration::from_millis(limits.header_timeout_ms),
            );
        }
    }
}
