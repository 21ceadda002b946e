//! Links: TCP forwarders that can be cut.
//!
//! The program takes a control node's internal address from a seed's IP address and its own internal ports,
//! which on real machines are the same everywhere. On one loopback every edge machine needs ports of its own,
//! since its agent listens at 127.0.0.1; a link leads from the address that it works out to the real one. That
//! also gives tests a place to cut machines off.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often a forwarder looks whether it is cut or stopped.
const LOOK: Duration = Duration::from_millis(50);
const BUFFER: usize = 64 * 1024;

#[derive(Default)]
struct Switches {
    cut: AtomicBool,
    stopped: AtomicBool,
}

/// A link that forwards until it is dropped.
pub struct Link {
    from: SocketAddr,
    switches: Arc<Switches>,
    acceptor: Option<JoinHandle<()>>,
}

impl Link {
    /// Listens at `from` and forwards to `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(from)?;
        let switches = Arc::new(Switches::default());
        let for_acceptor = Arc::clone(&switches);
        let acceptor = std::thread::spawn(move || accept_all(&listener, to, &for_acceptor));
        Ok(Link {
            from,
            switches,
            acceptor: Some(acceptor),
        })
    }

    /// Where it listens.
    pub fn from(&self) -> SocketAddr {
        self.from
    }

    /// While it is cut nothing passes in either direction; connections hang.
    pub fn set_cut(&self, cut: bool) {
        self.switches.cut.store(cut, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.switches.stopped.store(true, Ordering::SeqCst);
        // Wakes the acceptor; it may have ended by itself.
        let _ = TcpStream::connect(self.from);
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the acceptor shows in the test's own output.
            let _ = acceptor.join();
        }
    }
}

fn accept_all(listener: &TcpListener, to: SocketAddr, switches: &Arc<Switches>) {
    for near in listener.incoming() {
        if switches.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(near) = near else { continue };
        let switches = Arc::clone(switches);
        std::thread::spawn(move || {
            // A far end that can't be reached ends the near one, as a dead port does.
            let _ = join(&near, to, &switches);
        });
    }
}

fn join(near: &TcpStream, to: SocketAddr, switches: &Arc<Switches>) -> std::io::Result<()> {
    while switches.cut.load(Ordering::SeqCst) && !switches.stopped.load(Ordering::SeqCst) {
        std::thread::park_timeout(LOOK);
    }
    let far = TcpStream::connect(to)?;
    for stream in [near, &far] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
    }
    let (near_in, far_out) = (near.try_clone()?, far.try_clone()?);
    let for_other = Arc::clone(switches);
    let other = std::thread::spawn(move || copy(near_in, far_out, &for_other));
    copy(far, near.try_clone()?, switches);
    // A panic of the other direction shows in the test's own output.
    let _ = other.join();
    Ok(())
}

/// Copies one direction until its end, then ends both streams.
fn copy(mut from: TcpStream, mut to: TcpStream, switches: &Switches) {
    let mut buffer = vec![0; BUFFER];
    while !switches.stopped.load(Ordering::SeqCst) {
        if switches.cut.load(Ordering::SeqCst) {
            std::thread::park_timeout(LOOK);
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
        // A stream that has ended already is what is wanted.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
