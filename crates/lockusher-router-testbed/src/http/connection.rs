//! One end of an HTTP/1.1 connection: reads and writes messages, and streams bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::{Headers, HttpError, Request, Response, ResponseHead, malformed};

/// Maximum size of a message head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Size of the buffer for one read from the socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The shortest socket timeout; the system takes zero for no timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// How the rest of a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    /// Bytes left in the current chunk.
    Chunked(u64),
    UntilClose,
    Ended,
}

/// State of a socket without reading from it.
enum SocketState {
    Idle,
    Readable,
    Closed,
}

/// A slow link to a peer, modelled at the receiving end. Over loopback the peer's kernel would take large messages at
/// once, since it sizes its send buffer by the segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowLink {
    /// Size of the receive buffer, and of a read at most.
    pub receive_buffer_bytes: usize,
    /// Maximum size of a TCP segment.
    pub segment_bytes: u32,
    /// Rate at which bytes are read.
    pub bytes_per_second: u32,
}

/// One end of a connection.
pub struct Connection {
    stream: TcpStream,
    /// `None`: bytes are read as fast as they arrive.
    slow_link: Option<SlowLink>,
    unread: Vec<u8>,
    framing: Framing,
    deadline: Option<Instant>,
}

impl Connection {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Connection {
        // Nagle's algorithm would delay small events until earlier ones are acknowledged. A failure only delays them.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            slow_link: None,
            unread: Vec::new(),
            framing: Framing::Ended,
            deadline: None,
        }
    }

    /// Connects within `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, HttpError> {
        let stream = TcpStream::connect_timeout(&address, timeout.max(MIN_TIMEOUT))?;
        Ok(Connection::new(stream))
    }

    /// Connects over a slow link within `timeout`.
    pub fn open_over(
        link: SlowLink,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, HttpError> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_recv_buffer_size(link.receive_buffer_bytes)?;
        socket.set_tcp_mss(link.segment_bytes)?;
        socket.connect_timeout(&address.into(), timeout.max(MIN_TIMEOUT))?;
        Ok(Connection {
            slow_link: Some(link),
            ..Connection::new(socket.into())
        })
    }

    /// Sets the deadline of reads and writes; `None` means no timeout.
    pub fn set_deadline(&mut self, deadline: Option<Instant>) {
        self.deadline = deadline;
    }

    /// The underlying socket, for fault injection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes were received that belong to no expected message.
    pub fn has_unsolicited_bytes(&mut self) -> bool {
        !self.unread.is_empty() || matches!(self.state(), SocketState::Readable)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn peer_has_closed(&mut self) -> bool {
        matches!(self.state(), SocketState::Closed)
    }

    /// Checks the socket without blocking.
    fn state(&mut self) -> SocketState {
        if self.stream.set_nonblocking(true).is_err() {
            return SocketState::Closed;
        }
        let peeked = self.stream.peek(&mut [0]);
        if self.stream.set_nonblocking(false).is_err() {
            return SocketState::Closed;
        }
        match peeked {
            Ok(0) => SocketState::Closed,
            Ok(_) => SocketState::Readable,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => SocketState::Idle,
            Err(_) => SocketState::Closed,
        }
    }

    /// Writes all bytes before the deadline.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.set_write_timeout(self.time_left()?)?;
        self.stream.write_all(bytes)?;
        Ok(())
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        // A socket that is already closed needs no reset.
        let _ = socket.set_linger(Some(Duration::ZERO));
    }

    /// Reads a request with its body; `None` when the peer closed before its first byte.
    pub fn read_request(&mut self) -> Result<Option<Request>, HttpError> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let (start, headers) = parse_head(&head)?;
        let mut fields = start.split(' ');
        let (Some(method), Some(target), Some("HTTP/1.1"), None) =
            (fields.next(), fields.next(), fields.next(), fields.next())
        else {
            return Err(malformed(format!("invalid request line {start:?}")));
        };
        self.framing = framing_of(&headers, Framing::Ended)?;
        let body = self.read_body()?;
        Ok(Some(Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers,
            body,
        }))
    }

    /// Reads the head of a response; [`Connection::read_body_bytes`] reads its body.
    pub fn read_response_head(&mut self) -> Result<ResponseHead, HttpError> {
        let head = self.read_head()?.ok_or(HttpError::ClosedEarly)?;
        let (start, headers) = parse_head(&head)?;
        let status = start
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3))
            .and_then(|code| code.parse().ok());
        let Some(status) = status else {
            return Err(malformed(format!("invalid status line {start:?}")));
        };
        self.framing = framing_of(&headers, Framing::UntilClose)?;
        Ok(ResponseHead { status, headers })
    }

    /// Reads a response with its body.
    pub fn read_response(&mut self) -> Result<Response, HttpError> {
        let head = self.read_response_head()?;
        let body = self.read_body()?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Whether the connection can be reused after the message with these headers.
    pub fn may_be_reused(&self, headers: &Headers) -> bool {
        self.framing == Framing::Ended && !headers.has_token("Connection", "close")
    }

    /// Reads the next bytes of the body; `None` at its end.
    pub fn read_body_bytes(&mut self) -> Result<Option<Vec<u8>>, HttpError> {
        match self.framing {
            Framing::Ended | Framing::Length(0) => {
                self.framing = Framing::Ended;
                Ok(None)
            }
            Framing::Length(remaining) => {
                let bytes = self.take_up_to(remaining)?;
                self.framing = Framing::Length(remaining - bytes.len() as u64);
                Ok(Some(bytes))
            }
            Framing::UntilClose => self.read_until_close(),
            Framing::Chunked(0) => self.read_chunk_line(),
            Framing::Chunked(remaining) => {
                let bytes = self.take_up_to(remaining)?;
                let remaining = remaining - bytes.len() as u64;
                if remaining == 0 {
                    self.expect_chunk_end()?;
                }
                self.framing = Framing::Chunked(remaining);
                Ok(Some(bytes))
            }
        }
    }

    fn read_body(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.read_body_bytes()? {
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }

    fn read_until_close(&mut self) -> Result<Option<Vec<u8>>, HttpError> {
        if self.unread.is_empty() && self.fill()? == 0 {
            self.framing = Framing::Ended;
            return Ok(None);
        }
        Ok(Some(std::mem::take(&mut self.unread)))
    }

    fn read_chunk_line(&mut self) -> Result<Option<Vec<u8>>, HttpError> {
        let line = self.read_line()?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let size = u64::from_str_radix(digits, 16)
            .map_err(|_| malformed(format!("invalid chunk size {line:?}")))?;
        if size > 0 {
            self.framing = Framing::Chunked(size);
            return self.read_body_bytes();
        }
        while !self.read_line()?.is_empty() {}
        self.framing = Framing::Ended;
        Ok(None)
    }

    fn expect_chunk_end(&mut self) -> Result<(), HttpError> {
        match self.read_line()?.as_str() {
            "" => Ok(()),
            rest => Err(malformed(format!(
                "expected CRLF after a chunk, got {rest:?}"
            ))),
        }
    }

    fn read_line(&mut self) -> Result<String, HttpError> {
        let line = self.read_until(b"\r\n")?.ok_or(HttpError::ClosedEarly)?;
        String::from_utf8(line).map_err(|_| malformed("line is not valid UTF-8"))
    }

    fn read_head(&mut self) -> Result<Option<String>, HttpError> {
        let Some(head) = self.read_until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        String::from_utf8(head)
            .map(Some)
            .map_err(|_| malformed("head is not valid UTF-8"))
    }

    /// Reads up to a delimiter, which is dropped; `None` when the peer closed before any byte.
    fn read_until(&mut self, delimiter: &[u8]) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            if let Some(at) = self
                .unread
                .windows(delimiter.len())
                .position(|window| window == delimiter)
            {
                let rest = self.unread.split_off(at + delimiter.len());
                let mut found = std::mem::replace(&mut self.unread, rest);
                found.truncate(at);
                return Ok(Some(found));
            }
            if self.unread.len() > MAX_HEAD_BYTES {
                return Err(malformed("head exceeds the size limit"));
            }
            if self.fill()? == 0 {
                return if self.unread.is_empty() {
                    Ok(None)
                } else {
                    Err(HttpError::ClosedEarly)
                };
            }
        }
    }

    /// Takes at most `limit` unread bytes, reading from the socket when there are none.
    fn take_up_to(&mut self, limit: u64) -> Result<Vec<u8>, HttpError> {
        if self.unread.is_empty() && self.fill()? == 0 {
            return Err(HttpError::ClosedEarly);
        }
        let size = self
            .unread
            .len()
            .min(usize::try_from(limit).unwrap_or(usize::MAX));
        let rest = self.unread.split_off(size);
        Ok(std::mem::replace(&mut self.unread, rest))
    }

    /// Reads once from the socket into `unread`; 0 when the peer has closed.
    fn fill(&mut self) -> Result<usize, HttpError> {
        self.stream.set_read_timeout(self.time_left()?)?;
        let mut buffer = [0; READ_BUFFER_BYTES];
        let limit = self.slow_link.map_or(buffer.len(), |link| {
            link.receive_buffer_bytes.min(buffer.len())
        });
        match self.stream.read(&mut buffer[..limit]) {
            Ok(size) => {
                self.unread.extend_from_slice(&buffer[..size]);
                if let Some(link) = self.slow_link {
                    let seconds = size as f64 / f64::from(link.bytes_per_second);
                    std::thread::park_timeout(Duration::from_secs_f64(seconds));
                }
                Ok(size)
            }
            Err(error) if is_timeout(&error) => Err(HttpError::TimedOut),
            Err(error) => Err(error.into()),
        }
    }

    /// Time until the deadline; `None` without a deadline.
    fn time_left(&self) -> Result<Option<Duration>, HttpError> {
        let Some(deadline) = self.deadline else {
            return Ok(None);
        };
        match deadline.checked_duration_since(Instant::now()) {
            Some(remaining) if remaining >= MIN_TIMEOUT => Ok(Some(remaining)),
            _ => Err(HttpError::TimedOut),
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

fn parse_head(head: &str) -> Result<(String, Headers), HttpError> {
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let mut headers = Headers::default();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return Err(malformed(format!("invalid header line {line:?}")));
        };
        headers.push(name, value.trim());
    }
    Ok((start, headers))
}

fn framing_of(headers: &Headers, default: Framing) -> Result<Framing, HttpError> {
    if headers.has_token("Transfer-Encoding", "chunked") {
        return Ok(Framing::Chunked(0));
    }
    match headers.get("Content-Length") {
        None => Ok(default),
        Some(value) => value
            .parse()
            .map(Framing::Length)
            .map_err(|_| malformed(format!("invalid Content-Length {value:?}"))),
    }
}
