//! Accepts the connections of a server, and leaves none behind in the kernel when the server stops.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::runtime::fd::PollFd;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use socket2::{SockRef, Socket};

/// Delay after a failed accept, to avoid a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted connection.
pub type AcceptedSocket = PollFd<Socket>;

/// The task that accepts the connections of a server; dropping it closes the listener.
#[derive(Debug)]
pub struct Acceptor {
    task: JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl Acceptor {
    /// Waits for `has_capacity` before each connection, and passes the connection to `serve`.
    pub fn start<C, S>(listener: TcpListener, has_capacity: C, serve: S) -> Self
    where
        C: AsyncFn() + 'static,
        S: Fn(AcceptedSocket) + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let task = compio::runtime::spawn(async move {
            accept_until(&listener, stopped, has_capacity, &serve).await;
            if let Err(error) = accept_connected(&listener, serve) {
                log::warn!("cannot accept the last connections: {error}");
            }
        });
        Acceptor { task, stop }
    }

    /// Stops listening. Clients that the kernel has connected already are accepted first: closing the listener would
    /// reset them.
    pub async fn finish(self) {
        // Fails only if the task has panicked, which is logged below.
        let _ = self.stop.send(());
        if self.task.await.is_err() {
            log::error!("the task that accepts connections has failed");
        }
    }
}

/// Accepts connections until `stop` completes.
async fn accept_until(
    listener: &TcpListener,
    mut stop: impl Future + Unpin,
    has_capacity: impl AsyncFn(),
    serve: impl Fn(AcceptedSocket),
) {
    loop {
        let next = async {
            has_capacity().await;
            accept(listener).await
        };
        match select(pin!(next), &mut stop).await {
            Either::Left((Ok(socket), _)) => serve(socket),
            Either::Left((Err(error), _)) => {
                log::warn!("cannot accept a connection: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => return,
        }
    }
}

async fn accept(listener: &TcpListener) -> io::Result<AcceptedSocket> {
    let (stream, _) = listener.accept().await?;
    stream.into_poll_fd()
}

/// Accepts all connections in the accept queue, without waiting.
fn accept_connected(listener: &TcpListener, serve: impl Fn(AcceptedSocket)) -> io::Result<()> {
    let listener = SockRef::from(listener);
    listener.set_nonblocking(true)?;
    loop {
        let socket = match listener.accept() {
            Ok((socket, _)) => socket,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        socket.set_nonblocking(true)?;
        serve(PollFd::new(socket)?);
    }
}
