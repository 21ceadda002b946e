//! TCP forwarders that can simulate a network partition.
//!
//! The program computes a control node's internal address from a seed's IP address and its own internal ports,
//! which on real machines are the same everywhere. On a single loopback every edge machine needs its own ports,
//! because its agent listens on 127.0.0.1. A link forwards from the computed address to the actual one, and lets
//! tests partition machines.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often a forwarder checks whether it is partitioned or stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the buffer of one direction.
const BUFFER_BYTES: usize = 64 * 1024;

#[derive(Default)]
struct LinkState {
    partitioned: AtomicBool,
    stopped: AtomicBool,
}

/// A TCP forwarder that runs until it is dropped.
pub struct Link {
    from: SocketAddr,
    state: Arc<LinkState>,
    acceptor: Option<JoinHandle<()>>,
}

impl Link {
    /// Listens on `from` and forwards to `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(from)?;
        let state = Arc::new(LinkState::default());
        let acceptor_state = Arc::clone(&state);
        let acceptor = std::thread::spawn(move || accept_all(&listener, to, &acceptor_state));
        Ok(Link {
            from,
            state,
            acceptor: Some(acceptor),
        })
    }

    /// The address it listens on.
    pub fn from(&self) -> SocketAddr {
        self.from
    }

    /// While the link is partitioned, no bytes pass in either direction and connections hang.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.state.partitioned.store(partitioned, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        // Wakes the acceptor; a failure means that it has already ended.
        let _ = TcpStream::connect(self.from);
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the acceptor appears in the test output.
            let _ = acceptor.join();
        }
    }
}

fn accept_all(listener: &TcpListener, to: SocketAddr, state: &Arc<LinkState>) {
    for client in listener.incoming() {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(client) = client else { continue };
        let state = Arc::clone(state);
        std::thread::spawn(move || {
            // If the target is unreachable, the client's connection closes, as at a port without a listener.
            let _ = forward(&client, to, &state);
        });
    }
}

/// Connects to the target and forwards both directions of one connection.
fn forward(client: &TcpStream, to: SocketAddr, state: &Arc<LinkState>) -> std::io::Result<()> {
    while state.partitioned.load(Ordering::SeqCst) && !state.stopped.load(Ordering::SeqCst) {
        std::thread::park_timeout(POLL_INTERVAL);
    }
    let target = TcpStream::connect(to)?;
    for stream in [client, &target] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    let (client_in, target_out) = (client.try_clone()?, target.try_clone()?);
    let thread_state = Arc::clone(state);
    let forward_thread = std::thread::spawn(move || copy(client_in, target_out, &thread_state));
    copy(target, client.try_clone()?, state);
    // A panic of the other direction appears in the test output.
    let _ = forward_thread.join();
    Ok(())
}

/// Copies one direction until its end, then shuts both streams down.
fn copy(mut from: TcpStream, mut to: TcpStream, state: &LinkState) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while !state.stopped.load(Ordering::SeqCst) {
        if state.partitioned.load(Ordering::SeqCst) {
            std::thread::park_timeout(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(size) if to.write_all(&buffer[..size]).is_err() => break,
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    for stream in [&from, &to] {
        // Fails only if the stream is already closed.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
