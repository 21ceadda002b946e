//! Connections over loopback for the tests.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::runtime::Runtime;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lockusher_transport::http::{self, FullBody};
use lockusher_transport::tcp;

/// Ample time for anything over loopback.
pub const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Runs a test on a runtime of its own.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    Runtime::new().expect("a runtime").block_on(test)
}

/// A listener at a free port, and its address.
pub async fn listener() -> (TcpListener, SocketAddrV4) {
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let listener = tcp::listen(any_port).await.expect("listens");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    (listener, address)
}

/// An address at which nobody listens: a reserved port that no process is given for itself.
pub const UNUSED_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

/// Both ends of a connection: the one that connected, and the one that was accepted.
pub async fn connected_pair() -> (TcpStream, TcpStream) {
    let (listener, address) = listener().await;
    let client = tcp::connect(address, TIME_LIMIT).await.expect("connects");
    let (server, _) = listener.accept().await.expect("accepts");
    (client, server)
}

/// Serves requests with `handler` for the rest of the test; the address of the server.
pub async fn serve<H, F>(handler: H) -> SocketAddrV4
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<FullBody>> + 'static,
{
    let (listener, address) = listener().await;
    compio::runtime::spawn(http::serve(listener, handler)).detach();
    address
}
