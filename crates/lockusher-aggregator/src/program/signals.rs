//! The signals that the mixer heeds: SIGHUP (read the configuration again), SIGTERM and SIGINT (stop), told to the
//! program's one thread through a pipe of its own.
//!
//! Guarded against: tokio's own signal handling holds a pair of Unix sockets for its wake-ups, and the platform's
//! standing test allows TCP and UDP over IPv4 alone (docs/design/platform-rules.md). A pipe is no socket. Each
//! handler only sets a flag and writes one byte, both safe in a signal handler; the byte wakes the reader, the flags
//! say what came.

use std::io;
use std::os::fd::{AsRawFd, IntoRawFd, OwnedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe;

/// What the process was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// Read the configuration and settings again.
    Reload,
    /// Stop serving, as a planned restart asks.
    Stop,
}

/// The handlers, once set for the process, and the end of the pipe that they wake.
pub struct Signals {
    wake_pipe: pipe::Receiver,
    reload_requested: Arc<AtomicBool>,
    stop_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Sets the handlers; within a tokio runtime. Errors: a pipe that cannot be had, a handler that cannot be set.
    pub fn install() -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let writer = OwnedFd::from(writer);
        // A full pipe must not hold a handler up: a wake-up is waiting then anyway.
        let raw_fd = writer.as_raw_fd();
        // SAFETY: fcntl on a descriptor that this owns.
        let flags = unsafe { libc::fcntl(raw_fd, libc::F_GETFL) };
        if flags < 0 || unsafe { libc::fcntl(raw_fd, libc::F_SETFL, flags | libc::O_NONBLOCK) } < 0
        {
            return Err(io::Error::last_os_error());
        }
        // Open for as long as the process lives: a handler may write at any time.
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

    /// Waits for the next signal; a stop goes before a hang-up that came with it. Safe to cancel: what came is held
    /// by the flags until asked.
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
                    // Signals are no longer heard; the process serves on and can still be killed.
                    tracing::error!("signals: the pipe cannot be read: {error}");
                    std::future::pending::<()>().await;
                }
            }
        }
    }
}

/// Within a signal handler.
fn on_signal(flag: &AtomicBool, fd: RawFd) {
    // SAFETY: errno is this thread's own; the write is of one byte from the stack to a descriptor kept open.
    let errno = unsafe { *libc::__errno_location() };
    flag.store(true, Ordering::SeqCst);
    // EAGAIN: the pipe is full, so the reader is woken already.
    let _ = unsafe { libc::write(fd, [1u8].as_ptr().cast(), 1) };
    unsafe { *libc::__errno_location() = errno };
}
