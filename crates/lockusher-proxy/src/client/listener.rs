//! Accepts clients, and closes idle ones where descriptors run short.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use lockusher_transport::tcp::wait_for_address;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::connection;
use super::registry::{ClientRegistry, SWEEP_PERIOD};
use crate::descriptors::DescriptorPermit;
use crate::error::ProxyError;
use crate::proxy_state::ProxyState;

/// Connections that may wait to be accepted; a full queue drops opening packets.
const BACKLOG: i32 = 1_024;

/// Delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a listener; an address that is in use is waited for.
///
/// # Errors
///
/// [`ProxyError::Listen`] with the address.
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

/// Accepts clients for ever.
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
                log::warn!("cannot accept: {error}");
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

/// Closes connections of clients and to searchers that have been idle for too long, for ever.
pub(crate) async fn sweep(shared: Rc<ProxyState>, clients: Rc<ClientRegistry>) {
    loop {
        compio::time::sleep(SWEEP_PERIOD).await;
        shared.pool.sweep();
        if let Some(routes) = shared.routes() {
            let limits = routes.configuration().limits;
            let idle = Duration::from_millis(limits.idle_timeout_ms);
            clients.sweep(idle, Duration::from_millis(limits.header_timeout_ms));
        }
    }
}
