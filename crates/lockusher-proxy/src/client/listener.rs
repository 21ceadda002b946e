//! Accepts clients, and closes idle ones if file descriptors run out.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use lockusher_transport::server::{AcceptedSocket, Acceptor, SWEEP_INTERVAL};
use lockusher_transport::tcp::wait_for_address;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use super::connection;
use crate::descriptors::DescriptorPermit;
use crate::error::ProxyError;
use crate::proxy_state::ProxyState;

/// Length of the accept queue; the kernel drops SYNs while it is full.
const BACKLOG: i32 = 1_024;

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

/// Accepts clients while descriptors are available.
pub(crate) fn accept_clients(shared: &Rc<ProxyState>, listener: TcpListener) -> Acceptor {
    let (waiting, serving) = (shared.clone(), shared.clone());
    let has_capacity = async move || {
        if !waiting.descriptors.has_capacity() {
            waiting.clients.close_one_idle();
            waiting.descriptors.capacity_available().await;
        }
    };
    let start_serving = move |socket| {
        let permit = serving.descriptors.acquire();
        compio::runtime::spawn(serve(serving.clone(), socket, permit)).detach();
    };
    Acceptor::start(listener, has_capacity, start_serving)
}

async fn serve(shared: Rc<ProxyState>, socket: AcceptedSocket, _permit: DescriptorPermit) {
    if let Err(error) = socket.set_tcp_nodelay(true) {
        log::debug!("a client has left before it was served: {error}");
        return;
    }
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
