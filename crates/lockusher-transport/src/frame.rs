//! Messages between processes of the fleet: a length of four bytes, little-endian, then the message in bitcode.

use std::future::poll_fn;
use std::io;
use std::marker::PhantomData;
use std::task::{Context, Poll};

use bitcode::{DecodeOwned, Encode};
use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use socket2::Socket;

use crate::error::TransportError;

/// The longest frame that is taken.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;
const READ_BYTES: usize = 4 * 1024;
/// A buffer larger than this is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// Splits a connection into a reader of `In` and a writer of `Out`.
pub fn split<In, Out>(stream: TcpStream) -> Result<(FrameReader<In>, FrameWriter<Out>), TransportError> {
    let reader = FrameReader { socket: stream.to_poll_fd()?, buffer: Vec::new(), message: PhantomData };
    let writer = FrameWriter { socket: stream.to_poll_fd()?, message: PhantomData };
    Ok((reader, writer))
}

/// Reads messages from one connection.
pub struct FrameReader<T> {
    socket: PollFd<Socket>,
    buffer: Vec<u8>,
    message: PhantomData<T>,
}

impl<T: DecodeOwned> FrameReader<T> {
    /// The next message. Dropping the future loses nothing that was read.
    pub async fn read(&mut self) -> Result<T, TransportError> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    fn take(&mut self) -> Result<Option<T>, TransportError> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(TransportError::FrameTooLong(length, MAX_FRAME_BYTES));
        }
        let end = LENGTH_BYTES + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let message = bitcode::decode(&self.buffer[LENGTH_BYTES..end])?;
        self.buffer.drain(..end);
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        Ok(Some(message))
    }

    async fn fill(&mut self) -> Result<(), TransportError> {
        match poll_fn(|context| self.poll_fill(context)).await? {
            0 => Err(TransportError::Closed),
            _ => Ok(()),
        }
    }

    /// Appends what has arrived to the buffer. Between two polls the buffer holds nothing else, so that a reader may
    /// give up waiting at any time.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_BYTES, 0);
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
    /// Writes one message; it is with the kernel when this returns.
    pub async fn write(&mut self, message: &T) -> Result<(), TransportError> {
        self.write_encoded(&encode(message)).await
    }
}

impl<T> FrameWriter<T> {
    /// Writes a frame made by [`encode`], so that one encoding serves many connections.
    pub async fn write_encoded(&mut self, frame: &[u8]) -> Result<(), TransportError> {
        let mut rest = frame;
        while !rest.is_empty() {
            let written = poll_fn(|context| self.socket.poll_write(context, rest)).await?;
            if written == 0 {
                return Err(TransportError::Closed);
            }
            rest = &rest[written..];
        }
        Ok(())
    }
}

/// A message as a whole frame.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}
