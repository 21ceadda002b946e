//! Subscriptions over TCP: the side that accepts.
//!
//! Each connection has a task that reads and writes; what is sent, and when, the
//! [`Publisher`](crate::publisher::Publisher) decides. Called by agents and by control nodes.
//!
//! Invariant: none of the cells of [`SharedPublisher`] is borrowed across an await, and a connection's subscription ends
//! with its task.

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

/// Delay after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts subscribers for ever.
pub async fn accept(listener: TcpListener, shared: Rc<SharedPublisher>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_and_log(stream, Rc::clone(&shared))).detach();
            }
            Err(error) => {
                log::warn!("accept: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_and_log(stream: TcpStream, shared: Rc<SharedPublisher>) {
    let Err(error) = serve(stream, shared).await;
    log::debug!("subscriber: {error}");
}

/// Serves one subscriber until its connection ends.
async fn serve(stream: TcpStream, shared: Rc<SharedPublisher>) -> Result<Infallible, ServeError> {
    lockusher_transport::tcp::set_options(&stream)?;
    let (reader, writer) = frame::split(stream)?;
    Connection::open(shared).run(reader, writer).await
}
