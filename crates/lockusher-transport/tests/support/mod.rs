//! Runtime, connections and servers over loopback for the tests.
#![allow(dead_code)] // Each test file uses only a part of it.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::runtime::Runtime;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lockusher_transport::http::{self, FullBody};
use lockusher_transport::tcp;

/// Generous time limit for any operation over loopback.
pub const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Runs a test on a new runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    Runtime::new().expect("a runtime").block_on(test)
}

/// Listens at a free port; returns the listener and its address.
pub async fn listener() -> (TcpListener, SocketAddrV4) {
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let listener = tcp::listen(any_port).await.expect("listens");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    (listener, address)
}

/// An address without a listener: a reserved port that is never assigned as an ephemeral port.
pub const UNUSED_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

/// Both ends of a connection: the client's and the server's.
pub async fn connected_pair() -> (TcpStream, TcpStream) {
    let (listener, address) = listener().await;
    let client = tcp::connect(address, TIME_LIMIT).await.expect("connects");
    let (server, _) = listener.accept().await.expect("accepts");
    (client, server)
}

/// Serves requests with `handler`; returns the server and its address.
pub async fn serve<H, F>(handler: H) -> (http::Server, SocketAddrV4)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<FullBody>> + 'static,
{
    let (listener, address) = listener().await;
    (http::Server::start(listener, handler), address)
}
