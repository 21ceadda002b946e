//! Messages between processes of the fleet, as frames on a TCP connection.
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | length of the message in bytes, little-endian, at most [`MAX_FRAME_BYTES`] |
//! | 4 | – | the message in bitcode |
//!
//! [`split`] turns a connection into a [`FrameReader`] and a [`FrameWriter`], which are used independently.
//!
//! # Cancel safety
//!
//! - [`FrameReader::read`] can be dropped at any time, for example by a `select!`: what was read stays in the reader.
//! - [`FrameWriter::write`] can't: a dropped write may have sent a part of its frame, and what is written after it isn't
//!   readable. Close the connection then.

use std::future::poll_fn;
use std::io;
use std::marker::PhantomData;
use std::task::{Context, Poll};

use bitcode::{DecodeOwned, Encode};
use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use socket2::Socket;

use crate::error::{Operation, TransportError};

/// The longest message that is accepted, in bytes; the prefix isn't counted.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of the length before each message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// A read buffer larger than this is freed once it is empty, so that one long message doesn't hold memory for ever.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

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
            let written = poll_fn(|context| self.socket.poll_write(context, rest))
                .await
                .map_err(TransportError::io(Operation::Write))?;
            if written == 0 {
                return Err(TransportError::Closed);
            }
            rest = &rest[written..];
        }
        Ok(())
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
