//! Length-prefixed messages between processes of the fleet, on a TCP connection.
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | length of the message in bytes, little-endian, at most [`MAX_FRAME_BYTES`] |
//! | 4 | – | the message, encoded with bitcode |
//!
//! [`split`] turns a connection into a [`FrameReader`] and a [`FrameWriter`], which are used independently.
//!
//! A long message takes seconds on a link with low bandwidth. The time limits of [`FrameReader::read_within`] and
//! [`FrameWriter::write_within`] therefore apply to the progress of a message, not only to its end.
//!
//! # Cancel safety
//!
//! - [`FrameReader::read`] and [`FrameReader::read_within`] are cancel safe, for example in a `select!`: the bytes that
//!   were received stay in the reader.
//! - [`FrameWriter::write`] is not: a dropped write may have sent a part of its frame, and the peer can't decode what
//!   follows. The connection must then be closed.

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

/// Maximum length of an accepted message in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Minimum rate of a message's arrival, in bytes per millisecond (1 Mbit/s): a slower read fails.
pub const MIN_BYTES_PER_MS: u64 = 125;

/// Size of the length prefix of each message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// A read buffer of more than this many bytes is freed once it is empty, so that its memory isn't retained after a long
/// message.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

/// Time limit for the arrival of further bytes of a message that has been awaited for `elapsed`: the inactivity
/// timeout, or what is left of the total limit for the message if that is less. The total limit is the inactivity
/// timeout plus the time for the message's length at [`MIN_BYTES_PER_MS`].
pub fn arrival_limit(
    inactivity_timeout: Duration,
    announced_bytes: u32,
    elapsed: Duration,
) -> Duration {
    let transfer_time = Duration::from_millis(u64::from(announced_bytes) / MIN_BYTES_PER_MS);
    let remaining = (inactivity_timeout + transfer_time).saturating_sub(elapsed);
    remaining.min(inactivity_timeout)
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
    /// Reads the next message. Cancel safe: no received bytes are lost when the future is dropped.
    ///
    /// # Errors
    ///
    /// [`TransportError::Closed`] at the end of the stream, also within a frame; [`TransportError::FrameTooLong`] and
    /// [`TransportError::Decode`] if the peer violates the protocol: the connection must then be closed; and
    /// [`TransportError::Io`].
    pub async fn read(&mut self) -> Result<T, TransportError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Reads the next message, with a time limit on its progress. Cancel safe, as [`read`](Self::read) is.
    ///
    /// # Errors
    ///
    /// As for [`read`](Self::read); and [`TransportError::TimedOut`] if nothing arrives for `inactivity_timeout`, or if
    /// a message takes longer than this timeout plus the time for its length at [`MIN_BYTES_PER_MS`].
    pub async fn read_within(&mut self, inactivity_timeout: Duration) -> Result<T, TransportError> {
        let started = Instant::now();
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            let time_limit = arrival_limit(
                inactivity_timeout,
                self.announced_bytes(),
                started.elapsed(),
            );
            let filled = timeout(time_limit, self.fill()).await;
            filled.map_err(|_| TransportError::TimedOut {
                operation: Operation::Read,
                address: None,
            })??;
        }
    }

    /// Length of the message that is being received; 0 until its length prefix is complete.
    fn announced_bytes(&self) -> u32 {
        let prefix = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>();
        prefix.map_or(0, |prefix| u32::from_le_bytes(*prefix))
    }

    /// Decodes the next message if it is completely in the buffer.
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

    /// Waits until more bytes were received into the buffer.
    async fn fill(&mut self) -> Result<(), TransportError> {
        let received = poll_fn(|context| self.poll_fill(context)).await;
        match received.map_err(TransportError::io(Operation::Read))? {
            0 => Err(TransportError::Closed),
            _ => Ok(()),
        }
    }

    /// Appends received bytes to the buffer. On return the buffer has only received bytes, whatever the outcome.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let buffered = self.buffer.len();
        self.buffer.resize(buffered + READ_CHUNK_BYTES, 0);
        let polled = self.socket.poll_read(context, &mut self.buffer[buffered..]);
        let read = match &polled {
            Poll::Ready(Ok(read)) => *read,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.buffer.truncate(buffered + read);
        polled
    }
}

/// Writes messages to one connection.
pub struct FrameWriter<T> {
    socket: PollFd<Socket>,
    message: PhantomData<T>,
}

impl<T: Encode> FrameWriter<T> {
    /// Writes one message to the socket's send buffer; the peer may not have received it yet. Not cancel safe.
    ///
    /// # Errors
    ///
    /// [`TransportError::Closed`] or [`TransportError::Io`]; a part of the frame may have been sent.
    pub async fn write(&mut self, message: &T) -> Result<(), TransportError> {
        self.write_encoded(&encode(message)).await
    }
}

impl<T> FrameWriter<T> {
    /// Writes a frame from [`encode`], so that a message can be encoded once for many connections. Not cancel safe.
    ///
    /// # Errors
    ///
    /// As for [`write`](Self::write).
    pub async fn write_encoded(&mut self, frame: &[u8]) -> Result<(), TransportError> {
        let mut remaining = frame;
        while !remaining.is_empty() {
            remaining = &remaining[self.write_some(remaining).await?..];
        }
        Ok(())
    }

    /// As [`write_encoded`](Self::write_encoded), with a time limit on progress. Not cancel safe.
    ///
    /// # Errors
    ///
    /// As for [`write`](Self::write); and [`TransportError::TimedOut`] if no bytes can be written for `stall_timeout`.
    pub async fn write_within(
        &mut self,
        frame: &[u8],
        stall_timeout: Duration,
    ) -> Result<(), TransportError> {
        let mut remaining = frame;
        while !remaining.is_empty() {
            let written = timeout(stall_timeout, self.write_some(remaining)).await;
            let written = written.map_err(|_| TransportError::TimedOut {
                operation: Operation::Write,
                address: None,
            })??;
            remaining = &remaining[written..];
        }
        Ok(())
    }

    /// Writes as many of these bytes as the send buffer has space for, at least one; returns their number.
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

/// Encodes a message as a complete frame.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}
