//! Delivers signals of the process to the runtime, with the self-pipe trick.
//!
//! The signal handler only writes one byte to a non-blocking pipe; the runtime polls the read end. The byte is dropped
//! if the pipe is full: enough signals are pending then, and like signals themselves they may be coalesced.

use std::fs::File;
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};

use compio::runtime::fd::PollFd;
use libc::c_int;

/// A signal by its meaning for the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: shut down gracefully, within the grace period.
    Stop,
    /// SIGHUP: reload the settings file.
    SettingsChanged,
}

/// Byte that the handler writes for SIGTERM and SIGINT.
const STOP_BYTE: u8 = b's';

/// Byte that the handler writes for SIGHUP.
const SETTINGS_CHANGED_BYTE: u8 = b'c';

/// Placeholder for a file descriptor before the pipe exists.
const NO_DESCRIPTOR: c_int = -1;

/// The pipe's write end, for the handler. It is never closed: a signal may arrive at any time.
static WRITE_END: AtomicI32 = AtomicI32::new(NO_DESCRIPTOR);

/// Whether the handlers are installed.
static INSTALLED: AtomicBool = AtomicBool::new(false);

/// The signals that the process receives, in order.
#[derive(Debug)]
pub struct Signals {
    read_end: File,
}

/// As [`Signals`], registered with the runtime.
#[derive(Debug)]
pub struct PolledSignals {
    read_end: PollFd<File>,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE. To be called once, early: an unhandled
    /// SIGHUP terminates the process.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::AlreadyExists`] on a second call; or the error of the operating system.
    pub fn install() -> io::Result<Self> {
        if INSTALLED.swap(true, Ordering::SeqCst) {
            return Err(io::Error::new(
                ErrorKind::AlreadyExists,
                "signal handlers are already installed",
            ));
        }
        let (read_end, write_end) = non_blocking_pipe()?;
        WRITE_END.store(write_end.into_raw_fd(), Ordering::SeqCst);
        for signal in [libc::SIGTERM, libc::SIGINT, libc::SIGHUP] {
            set_handler(signal, handle_signal as *const () as libc::sighandler_t)?;
        }
        set_handler(libc::SIGPIPE, libc::SIG_IGN)?;
        Ok(Self {
            read_end: File::from(read_end),
        })
    }

    /// Registers the pipe with the runtime.
    ///
    /// # Errors
    ///
    /// If the runtime can't poll the pipe.
    pub fn polled(self) -> io::Result<PolledSignals> {
        Ok(PolledSignals {
            read_end: PollFd::new(self.read_end)?,
        })
    }
}

impl PolledSignals {
    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// If the pipe can't be read.
    pub async fn next(&self) -> io::Result<Signal> {
        loop {
            let byte = poll_fn(|context| self.read_end.poll_read_with(context, read_byte)).await?;
            match byte {
                STOP_BYTE => return Ok(Signal::Stop),
                SETTINGS_CHANGED_BYTE => return Ok(Signal::SettingsChanged),
                _ => {}
            }
        }
    }

    /// Waits for [`Signal::Stop`]; calls `settings_changed` for each preceding [`Signal::SettingsChanged`].
    ///
    /// # Errors
    ///
    /// If the pipe can't be read.
    pub async fn until_stop(&self, mut settings_changed: impl FnMut()) -> io::Result<()> {
        while self.next().await? == Signal::SettingsChanged {
            settings_changed();
        }
        Ok(())
    }
}

fn read_byte(mut pipe: &File) -> io::Result<u8> {
    let mut byte = [0];
    pipe.read_exact(&mut byte)?;
    Ok(byte[0])
}

/// The signal handler. It may interrupt any code, so it calls only the async-signal-safe `write` and restores `errno`.
extern "C" fn handle_signal(signal: c_int) {
    let byte = if signal == libc::SIGHUP {
        SETTINGS_CHANGED_BYTE
    } else {
        STOP_BYTE
    };
    let write_end = WRITE_END.load(Ordering::SeqCst);
    // SAFETY: `write` is async-signal-safe, and the byte outlives the call; the pipe is never closed.
    unsafe {
        let errno = libc::__errno_location();
        let saved_errno = *errno;
        libc::write(write_end, (&raw const byte).cast(), 1);
        *errno = saved_errno;
    }
}

fn set_handler(signal: c_int, handler: libc::sighandler_t) -> io::Result<()> {
    // SAFETY: an all-zero `sigaction` is valid: no flags and an empty mask.
    let mut action: libc::sigaction = unsafe { std::mem::zeroed() };
    action.sa_sigaction = handler;
    action.sa_flags = libc::SA_RESTART;
    // SAFETY: the action is initialized, and its handler is async-signal-safe.
    let result = unsafe { libc::sigaction(signal, &raw const action, std::ptr::null_mut()) };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Creates a non-blocking pipe; returns its read and write end.
fn non_blocking_pipe() -> io::Result<(OwnedFd, OwnedFd)> {
    let mut ends = [NO_DESCRIPTOR; 2];
    // SAFETY: the array has space for both descriptors.
    let result = unsafe { libc::pipe2(ends.as_mut_ptr(), libc::O_NONBLOCK | libc::O_CLOEXEC) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: both descriptors are new and have no other owner.
    Ok(unsafe { (OwnedFd::from_raw_fd(ends[0]), OwnedFd::from_raw_fd(ends[1])) })
}
