//! A blocking HTTP server for the stand-ins: one thread accepts, one thread serves each connection.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use crate::http::{Connection, Request};

/// What becomes of a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It serves another request.
    Keep,
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
}

/// Answers requests. It writes its answer itself, so that it may also misbehave.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request of a connection.
    fn handle(&self, request: Request, connection: &mut Connection) -> Next;
}

/// Locks a mutex; a panic elsewhere doesn't hide what was recorded before it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Shared {
    handler: Arc<dyn Handler>,
    connection_limit: usize,
    stopped: AtomicBool,
    next_id: AtomicU64,
    open: Mutex<HashMap<u64, TcpStream>>,
}

/// A server that listens until it is stopped or dropped.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves a bound socket; connections beyond the limit are reset.
    pub fn start(
        listener: TcpListener,
        connection_limit: usize,
        handler: Arc<dyn Handler>,
    ) -> std::io::Result<Server> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            handler,
            connection_limit,
            stopped: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            open: Mutex::new(HashMap::new()),
        });
        let for_acceptor = Arc::clone(&shared);
        let acceptor = std::thread::spawn(move || accept_all(&listener, &for_acceptor));
        Ok(Server {
            address,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        lock(&self.shared.open).len()
    }

    /// Stops listening and ends all connections at once.
    pub fn stop(&mut self) {
        if self.shared.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the acceptor; it may have ended by itself.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.shared.open).values() {
            // A connection that has just ended is what is wanted.
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the acceptor shows in the test's own output.
            let _ = acceptor.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn accept_all(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if lock(&shared.open).len() >= shared.connection_limit {
            Connection::new(stream).reset();
            continue;
        }
        let Ok(for_stop) = stream.try_clone() else {
            continue;
        };
        let id = shared.next_id.fetch_add(1, Ordering::SeqCst);
        lock(&shared.open).insert(id, for_stop);
        let shared = Arc::clone(shared);
        std::thread::spawn(move || {
            serve(Connection::new(stream), &shared, id);
        });
    }
}

fn serve(mut connection: Connection, shared: &Shared, id: u64) {
    let mut next = Next::Keep;
    while next == Next::Keep && !shared.stopped.load(Ordering::SeqCst) {
        let Ok(Some(request)) = connection.read_request() else {
            break;
        };
        next = shared.handler.handle(request, &mut connection);
    }
    lock(&shared.open).remove(&id);
    match next {
        Next::Reset => connection.reset(),
        _ => {
            // The clone for stopping is gone: dropping the last socket closes it.
            drop(connection);
        }
    }
}
