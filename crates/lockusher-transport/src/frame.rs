//! Messages between processes of the fleet, as frames on a TCP connection.
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | length of the message in bytes, little-endian, at most [`MAX_FRAME_BYTES`] |
//! | 4 | – | the message in bitcode |
//!
//! [`split`] turns a connection into a [`FrameReader`] and a [`FrameWriter`], which are used independently.
//!
//! A long message takes seconds on a thin link, so that its arrival, and not only its end, counts as a sign of life: see
//! [`FrameReader::read_within`] and [`FrameWriter::write_within`].
//!
//! # Cancel safety
//!
//! - [`FrameReader::read`] and [`FrameReader::read_within`] can be dropped at any time, for example by a `select!`: what was read stays in the reader.
//! - [`FrameWriter::write`] can't: a dropped write may have sent a part of its frame, and what is written after it isn't
//!   readable. Close the connection then.

use std::future::poll_fn;
use std::io;
use std::marker::PhantomData;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bitcode::{DecodeOwned, Encode};
use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use compio::time::timeout;
use socket2::Socket;

use crate::error::{Operation, TransportError};

/// The longest message that is accepted, in bytes; the prefix isn't counted.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A message may take a millisecond more for each so many bytes (1 Mbit/s); a peer that sends it slower is given up.
pub const MIN_BYTES_PER_MS: u64 = 125;

/// Bytes of the length before each message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// A read buffer larger than this is freed once it is empty, so that one long message doesn't hold memory for ever.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

/// Within what time further bytes of a message must arrive that has been awaited for `elapsed`: within the inactivity timeout,
/// and before all of it has taken longer than that and the time for its length at [`MIN_BYTES_PER_MS`].
pub fn arrival_limit(
    inactivity_timeout: Duration,
    announced_bytes: u32,
    elapsed: Duration,
) -> Duration {
    let allowance = Duration::from_millis(u64::from(announced_bytes) / MIN_BYTES_PER_MS);
    let left = (inactivity_timeout + allowance).saturating_sub(elapsed);
    left.min(inactivity_timeout)
}

/// Splits a connection into a reader of `In` and a writer of `Out`. The connection is closed once both are dropped.
///
/// # Errors
///
/// [`TransportError::Io`] if the socket can't be registered with the runtime.
pub fn split<In, Out>(
    stream: TcpStream,
) -> Result<(FrameReader<In>, FrameWriter<Out>), TransportError> {
    let socket = || {
        stream
            .to_poll_fd()
            .map_err(TransportError::io(Operation::SetUp))
    };
    let reader = FrameReader {
        socket: socket()?,
        buffer: Vec::new(),
        message: PhantomData,
    };
    let writer = FrameWriter {
        socket: socket()?,
        message: PhantomData,
    };
    Ok((reader, writer))
}

/// Reads messages from one connection.
///
/// Invariant: between two polls, `buffer` holds exactly the bytes that were received and not yet decoded.
pub struct FrameReader<T> {
    socket: PollFd<Socket>,
    buffer: Vec<u8>,
    message: PhantomData<T>,
}

impl<T: DecodeOwned> FrameReader<T> {
    /// The next message. Cancel safe: dropping the future loses nothing that was read.
    ///
    /// # Errors
    ///
    /// [`TransportError::Closed`] at the end of the stream, also within a frame; [`TransportError::FrameTooLong`] and
    /// [`TransportError::Decode`] for a peer that breaks the protocol, whose connection is of no use any more; and
    /// [`TransportError::Io`].
    pub async fn read(&mut self) -> Result<T, TransportError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// The next message, as long as bytes keep arriving. Cancel safe, as [`read`](Self::read) is.
    ///
    /// # Errors
    ///
    /// As for [`read`](Self::read); and [`TransportError::TimedOut`] if nothing arrived for `inactivity_timeout`, or if a
    /// message takes longer than that and the time for its length at [`MIN_BYTES_PER_MS`].
    pub async fn read_within(&mut self, inactivity_timeout: Duration) -> Result<T, TransportError> {
        let started = Instant::now();
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            let next_bytes_within = arrival_limit(
                inactivity_timeout,
                self.announced_bytes(),
                started.elapsed(),
            );
            let filled = timeout(next_bytes_within, self.fill()).await;
            filled.map_err(|_| TransportError::TimedOut {
                operation: Operation::Read,
                address: None,
            })??;
        }
    }

    /// Length of the message that is arriving; 0 before its length has arrived.
    fn announced_bytes(&self) -> u32 {
        let prefix = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>();
        prefix.map_or(0, |prefix| u32::from_le_bytes(*prefix))
    }

    /// Decodes the next message if the buffer holds it completely.
    fn take_message(&mut self) -> Result<Option<T>, TransportError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(TransportError::FrameTooLong {
                bytes: length,
                max_bytes: MAX_FRAME_BYTES,
            });
        }
        let end = LENGTH_PREFIX_BYTES + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let message = bitcode::decode(&self.buffer[LENGTH_PREFIX_BYTES..end])?;
        self.buffer.drain(..end);
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        Ok(Some(message))
    }

    /// Waits until more bytes are in the buffer.
    async fn fill(&mut self) -> Result<(), TransportError> {
        let received = poll_fn(|context| self.poll_fill(context)).await;
        match received.map_err(TransportError::io(Operation::Read))? {
            0 => Err(TransportError::Closed),
            _ => Ok(()),
        }
    }

    /// Appends what has arrived to the buffer, and restores its length whatever the outcome.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_CHUNK_BYTES, 0);
        let polled = self.socket.poll_read(context, &mut self.buffer[filled..]);
        let read = match &polled {
            Poll::Ready(Ok(read)) => *read,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.buffer.truncate(filled + read);
        polled
    }
}

/// Writes messages to one connection.
pub struct FrameWriter<T> {
    socket: PollFd<Socket>,
    message: PhantomData<T>,
}

impl<T: Encode> FrameWriter<T> {
    /// Writes one message; the kernel has it when this returns, the peer perhaps not. Not cancel safe.
    ///
    /// # Errors
    ///
    /// [`TransportError::Closed`] or [`TransportError::Io`]; a part of the frame may have been sent.
    pub async fn write(&mut self, message: &T) -> Result<(), TransportError> {
        self.write_encoded(&encode(message)).await
    }
}

impl<T> FrameWriter<T> {
    /// Writes a frame made by [`encode`], so that one encoding serves many connections. Not cancel safe.
    ///
    /// # Errors
    ///
    /// As for [`write`](Self::write).
    pub async fn write_encoded(&mut self, frame: &[u8]) -> Result<(), TransportError> {
        let mut rest = frame;
        while !rest.is_empty() {
            rest = &rest[self.write_some(rest).await?..];
        }
        Ok(())
    }

    /// The same, as long as the peer takes bytes. Not cancel safe.
    ///
    /// # Errors
    ///
    /// As for [`write`](Self::write); and [`TransportError::TimedOut`] if the peer took nothing for `stall_timeout`.
    pub async fn write_within(
        &mut self,
        frame: &[u8],
        stall_timeout: Duration,
    ) -> Result<(), TransportError> {
        let mut rest = frame;
        while !rest.is_empty() {
            let written = timeout(stall_timeout, self.write_some(rest)).await;
            let written = written.map_err(|_| TransportError::TimedOut {
                operation: Operation::Write,
                address: None,
            })??;
            rest = &rest[written..];
        }
        Ok(())
    }

    /// Writes as many of these bytes as the kernel takes now, at least one; their number.
    async fn write_some(&mut self, bytes: &[u8]) -> Result<usize, TransportError> {
        let written = poll_fn(|context| self.socket.poll_write(context, bytes))
            .await
            .map_err(TransportError::io(Operation::Write))?;
        match written {
            0 => Err(TransportError::Closed),
            written => Ok(written),
        }
    }
}

/// A message as a complete frame.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}
