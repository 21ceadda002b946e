//! A blocking HTTP server for the stand-ins, with one thread that accepts and one thread per connection.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use crate::http::{Connection, Request};

/// What to do with a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Wait for another request.
    Keep,
    /// Close it gracefully.
    Close,
    /// Close it with a TCP reset.
    Reset,
}

/// Handles requests. A handler writes the response itself, so that it can misbehave on purpose.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and writes its response to the connection.
    fn handle(&self, request: Request, connection: &mut Connection) -> Next;
}

/// Locks a mutex and ignores poisoning, so that records made before a panic stay accessible.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Shared {
    handler: Arc<dyn Handler>,
    connection_limit: usize,
    stopped: AtomicBool,
    next_connection_id: AtomicU64,
    open_streams: Mutex<HashMap<u64, TcpStream>>,
}

/// An HTTP server that listens until it is stopped or dropped.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves a bound listener; connections beyond the limit are reset.
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
            next_connection_id: AtomicU64::new(0),
            open_streams: Mutex::new(HashMap::new()),
        });
        let acceptor_shared = Arc::clone(&shared);
        let acceptor = std::thread::spawn(move || accept_all(&listener, &acceptor_shared));
        Ok(Server {
            address,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        lock(&self.shared.open_streams).len()
    }

    /// Stops listening and closes all connections at once.
    pub fn stop(&mut self) {
        if self.shared.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the acceptor; a failure means that it has already ended.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.shared.open_streams).values() {
            // Fails only if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the acceptor appears in the test output.
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
        if lock(&shared.open_streams).len() >= shared.connection_limit {
            Connection::new(stream).reset();
            continue;
        }
        let Ok(stream_for_stop) = stream.try_clone() else {
            continue;
        };
        let id = shared.next_connection_id.fetch_add(1, Ordering::SeqCst);
        lock(&shared.open_streams).insert(id, stream_for_stop);
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
    lock(&shared.open_streams).remove(&id);
    match next {
        Next::Reset => connection.reset(),
        _ => {
            // The clone in `open_streams` is removed, so that dropping this last handle closes the socket.
            drop(connection);
        }
    }
}
