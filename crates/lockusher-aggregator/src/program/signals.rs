//! Signal handling: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the process. Signals reach the
//! single-threaded runtime through a pipe.
//!
//! Tokio's own signal handling is not used because it holds a pair of Unix sockets, while the platform allows TCP
//! and UDP over IPv4 only (docs/design/platform-rules.md); a pipe is not a socket. Each handler sets a flag and
//! writes one byte, both async-signal-safe; the byte wakes the reader, and the flags tell which signals arrived.

use std::io;
use std::os::fd::{AsRawFd, IntoRawFd, OwnedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe;

/// A request made by a signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// Reload the configuration and the settings.
    Reload,
    /// Shut down gracefully.
    Stop,
}

/// The installed signal handlers, and the receiving end of their pipe.
pub struct Signals {
    wake_pipe: pipe::Receiver,
    reload_requested: Arc<AtomicBool>,
    stop_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers; must be called within a tokio runtime. Fails if the pipe cannot be created or a
    /// handler cannot be installed.
    pub fn install() -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let writer = OwnedFd::from(writer);
        // A full pipe must not block a handler: a wake-up is already pending then.
        let raw_fd = writer.as_raw_fd();
        // SAFETY: fcntl on a descriptor owned by `writer`.
        let flags = unsafe { libc::fcntl(raw_fd, libc::F_GETFL) };
        if flags < 0 || unsafe { libc::fcntl(raw_fd, libc::F_SETFL, flags | libc::O_NONBLOCK) } < 0
        {
            return Err(io::Error::last_os_error());
        }
        // Never closed: a handler may write at any time.
        let fd = writer.into_raw_fd();
        let (reload_requested, stop_requested) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        for (signal, flag) in [
            (libc::SIGHUP, &reload_requested),
            (libc::SIGTERM, &stop_requested),
            (libc::SIGINT, &stop_requested),
        ] {
            let flag = Arc::clone(flag);
            // SAFETY: the action stores to an atomic and calls write(2), both async-signal-safe, and keeps errno.
            unsafe { signal_hook_registry::register(signal, move || on_signal(&flag, fd)) }?;
        }
        Ok(Signals {
            wake_pipe: pipe::Receiver::from_owned_fd(OwnedFd::from(reader))?,
            reload_requested,
            stop_requested,
        })
    }

    /// Waits for the next signal; a stop takes precedence over a reload that arrived with it. Cancel safe: the
    /// flags keep pending signals.
    pub async fn next(&mut self) -> Signal {
        let mut buffer = [0u8; 64];
        loop {
            if self.stop_requested.swap(false, Ordering::SeqCst) {
                return Signal::Stop;
            }
            if self.reload_requested.swap(false, Ordering::SeqCst) {
                return Signal::Reload;
            }
            match self.wake_pipe.read(&mut buffer).await {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Signals are no longer received; the process keeps serving and can still be killed.
                    tracing::error!("signals: the pipe cannot be read: {error}");
                    std::future::pending::<()>().await;
                }
            }
        }
    }
}

/// Runs in a signal handler: sets the flag and wakes the reader.
fn on_signal(flag: &AtomicBool, fd: RawFd) {
    // SAFETY: errno is this thread's own; the write is of one byte from the stack to a descriptor kept open.
    let errno = unsafe { *libc::__errno_location() };
    flag.store(true, Ordering::SeqCst);
    // EAGAIN means that the pipe is full, so the reader has been woken already.
    let _ = unsafe { libc::write(fd, [1u8].as_ptr().cast(), 1) };
    unsafe { *libc::__errno_location() = errno };
}
