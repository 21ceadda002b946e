//! Signals to the process, as events of the runtime.
//!
//! The handler only writes one byte to a non-blocking pipe; the runtime polls the other end. A full pipe drops
//! the byte: as many are waiting already, and signals don't count.

use std::fs::File;
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};

use compio::runtime::fd::PollFd;
use libc::c_int;

/// What a signal asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: end in order, within the grace.
    Stop,
    /// SIGHUP: the settings file has changed.
    SettingsChanged,
}

/// Written by the handler of SIGTERM and SIGINT.
const STOP_BYTE: u8 = b's';

/// Written by the handler of SIGHUP.
const SETTINGS_CHANGED_BYTE: u8 = b'c';

/// In place of a descriptor while there is no pipe.
const NO_PIPE: c_int = -1;

/// The pipe's write end, for the handler. It is never closed: a signal may come at any time.
static WRITE_END: AtomicI32 = AtomicI32::new(NO_PIPE);

/// Whether the handlers are in place.
static INSTALLED: AtomicBool = AtomicBool::new(false);

/// The signals that the process has received, in their order.
#[derive(Debug)]
pub struct Signals {
    read_end: File,
}

/// The same, polled by the runtime.
#[derive(Debug)]
pub struct PolledSignals {
    read_end: PollFd<File>,
}

impl Signals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on, and ignores SIGPIPE. To be called once, early: an
    /// unhandled SIGHUP ends the process.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::AlreadyExists`] on another call; or if the system refuses the pipe or a handler.
    pub fn install() -> io::Result<Self> {
        if INSTALLED.swap(true, Ordering::SeqCst) {
            return Err(io::Error::new(
                ErrorKind::AlreadyExists,
                "signals are handled already",
            ));
        }
        let (read_end, write_end) = non_blocking_pipe()?;
        WRITE_END.store(write_end.into_raw_fd(), Ordering::SeqCst);
        for signal in [libc::SIGTERM, libc::SIGINT, libc::SIGHUP] {
            set_handler(signal, handle as *const () as libc::sighandler_t)?;
        }
        set_handler(libc::SIGPIPE, libc::SIG_IGN)?;
        Ok(Self {
            read_end: File::from(read_end),
        })
    }

    /// Has the runtime poll for signals.
    ///
    /// # Errors
    ///
    /// If the runtime can't watch the pipe.
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

    /// Waits for a signal to stop; calls `settings_changed` for each that comes before and says so.
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

/// The signal handler. It may run between any two instructions: it calls nothing but `write`, and keeps `errno`.
extern "C" fn handle(signal: c_int) {
    let byte = if signal == libc::SIGHUP {
        SETTINGS_CHANGED_BYTE
    } else {
        STOP_BYTE
    };
    let write_end = WRITE_END.load(Ordering::SeqCst);
    // SAFETY: `write` may be called in a handler, and the byte outlives the call; the pipe is never closed.
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
    // SAFETY: the action is initialized, and its handler does only what handlers may.
    let result = unsafe { libc::sigaction(signal, &raw const action, std::ptr::null_mut()) };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// The read and the write end of a new pipe.
fn non_blocking_pipe() -> io::Result<(OwnedFd, OwnedFd)> {
    let mut ends = [NO_PIPE; 2];
    // SAFETY: there is room for both descriptors.
    let result = unsafe { libc::pipe2(ends.as_mut_ptr(), libc::O_NONBLOCK | libc::O_CLOEXEC) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: both descriptors are new and owned by nobody else.
    Ok(unsafe { (OwnedFd::from_raw_fd(ends[0]), OwnedFd::from_raw_fd(ends[1])) })
}
