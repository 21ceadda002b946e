//! The accepting side of subscriptions over TCP.
//!
//! Each connection has a task that reads and writes; the [`Publisher`](crate::publisher::Publisher) decides which
//! messages are sent, and when. Agents and control nodes call this module.
//!
//! Invariant: no cell of [`SharedPublisher`] is borrowed across an await, and a connection's subscription is removed
//! when its task ends.

mod connection;
mod error;
mod shared_publisher;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use lockusher_transport::frame;

use connection::Connection;

pub use error::ServeError;
pub use shared_publisher::SharedPublisher;

/// Delay after a failed accept, which avoids a busy loop while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts subscribers until dropped.
pub async fn accept(listener: TcpListener, shared: Rc<SharedPublisher>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_and_log(stream, Rc::clone(&shared))).detach();
            }
            Err(error) => {
                log::warn!("failed to accept a subscriber connection: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_and_log(stream: TcpStream, shared: Rc<SharedPublisher>) {
    let Err(error) = serve(stream, shared).await;
    log::debug!("subscriber connection closed: {error}");
}

/// Serves one subscriber until its connection ends.
async fn serve(stream: TcpStream, shared: Rc<SharedPublisher>) -> Result<Infallible, ServeError> {
    lockusher_transport::tcp::set_options(&stream)?;
    let (reader, writer) = frame::split(stream)?;
    Connection::open(shared).run(reader, writer).await
}
