//! One end of a connection: reads and writes whole messages, and bodies as they come.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::{Answer, AnswerHead, Headers, HttpError, Request, malformed};

/// The largest head that is read.
const LONGEST_HEAD: usize = 64 * 1024;
/// Bytes that are read from the socket at once.
const READ_SIZE: usize = 16 * 1024;
/// The shortest wait that a socket takes; zero would mean forever.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// How much of a body is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    /// Bytes left in the present chunk.
    Chunked(u64),
    UntilClose,
    Ended,
}

/// What a look at a socket found.
enum Peeked {
    Nothing,
    Bytes,
    Closed,
}

/// One end of a connection.
pub struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    framing: Framing,
    give_up: Option<Instant>,
}

impl Connection {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Connection {
        // Without it small events would wait for acknowledgements; a failure only makes them late.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            unread: Vec::new(),
            framing: Framing::Ended,
            give_up: None,
        }
    }

    /// Connects, giving up after `wait`.
    pub fn open(address: SocketAddr, wait: Duration) -> Result<Connection, HttpError> {
        let stream = TcpStream::connect_timeout(&address, wait.max(SHORTEST_WAIT))?;
        Ok(Connection::new(stream))
    }

    /// The moment at which reads give up; `None` waits for as long as it takes.
    pub fn set_give_up(&mut self, moment: Option<Instant>) {
        self.give_up = moment;
    }

    /// The socket itself, for faults.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes came that nobody asked for.
    pub fn has_surplus(&mut self) -> bool {
        !self.unread.is_empty() || matches!(self.peek(), Peeked::Bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn peer_has_closed(&mut self) -> bool {
        matches!(self.peek(), Peeked::Closed)
    }

    /// Looks at the socket without waiting.
    fn peek(&mut self) -> Peeked {
        if self.stream.set_nonblocking(true).is_err() {
            return Peeked::Closed;
        }
        let peeked = self.stream.peek(&mut [0]);
        if self.stream.set_nonblocking(false).is_err() {
            return Peeked::Closed;
        }
        match peeked {
            Ok(0) => Peeked::Closed,
            Ok(_) => Peeked::Bytes,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Peeked::Nothing,
            Err(_) => Peeked::Closed,
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.set_write_timeout(self.time_left()?)?;
        self.stream.write_all(bytes)?;
        Ok(())
    }

    /// Ends the connection with a reset in place of an orderly close.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        // A socket that is gone already needs no reset.
        let _ = socket.set_linger(Some(Duration::ZERO));
    }

    /// Reads a whole request; `None` when the peer closed before its first byte.
    pub fn read_request(&mut self) -> Result<Option<Request>, HttpError> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let (start, headers) = parse_head(&head)?;
        let mut words = start.split(' ');
        let (Some(method), Some(target), Some("HTTP/1.1"), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err(malformed(format!("request line {start:?}")));
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

    /// Reads the head of an answer; its body follows by [`Connection::read_piece`].
    pub fn read_answer_head(&mut self) -> Result<AnswerHead, HttpError> {
        let head = self.read_head()?.ok_or(HttpError::ClosedEarly)?;
        let (start, headers) = parse_head(&head)?;
        let status = start
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3))
            .and_then(|code| code.parse().ok());
        let Some(status) = status else {
            return Err(malformed(format!("status line {start:?}")));
        };
        self.framing = framing_of(&headers, Framing::UntilClose)?;
        Ok(AnswerHead { status, headers })
    }

    /// Reads a whole answer.
    pub fn read_answer(&mut self) -> Result<Answer, HttpError> {
        let head = self.read_answer_head()?;
        let body = self.read_body()?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Whether the connection may carry another message after this one.
    pub fn may_be_reused(&self, headers: &Headers) -> bool {
        self.framing == Framing::Ended && !headers.has_word("Connection", "close")
    }

    /// The next bytes of the body as they come; `None` at its end.
    pub fn read_piece(&mut self) -> Result<Option<Vec<u8>>, HttpError> {
        match self.framing {
            Framing::Ended | Framing::Length(0) => {
                self.framing = Framing::Ended;
                Ok(None)
            }
            Framing::Length(left) => {
                let piece = self.take_some(left)?;
                self.framing = Framing::Length(left - piece.len() as u64);
                Ok(Some(piece))
            }
            Framing::UntilClose => self.read_until_close(),
            Framing::Chunked(0) => self.read_chunk_line(),
            Framing::Chunked(left) => {
                let piece = self.take_some(left)?;
                let left = left - piece.len() as u64;
                if left == 0 {
                    self.expect_line_end()?;
                }
                self.framing = Framing::Chunked(left);
                Ok(Some(piece))
            }
        }
    }

    fn read_body(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while let Some(piece) = self.read_piece()? {
            body.extend_from_slice(&piece);
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
            .map_err(|_| malformed(format!("chunk size {line:?}")))?;
        if size > 0 {
            self.framing = Framing::Chunked(size);
            return self.read_piece();
        }
        while !self.read_line()?.is_empty() {}
        self.framing = Framing::Ended;
        Ok(None)
    }

    fn expect_line_end(&mut self) -> Result<(), HttpError> {
        match self.read_line()?.as_str() {
            "" => Ok(()),
            rest => Err(malformed(format!("{rest:?} after a chunk"))),
        }
    }

    fn read_line(&mut self) -> Result<String, HttpError> {
        let line = self.read_until(b"\r\n")?.ok_or(HttpError::ClosedEarly)?;
        String::from_utf8(line).map_err(|_| malformed("a line that is no text"))
    }

    fn read_head(&mut self) -> Result<Option<String>, HttpError> {
        let Some(head) = self.read_until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        String::from_utf8(head)
            .map(Some)
            .map_err(|_| malformed("a head that is no text"))
    }

    /// Bytes up to an end mark, which is dropped; `None` when the peer closed before any byte.
    fn read_until(&mut self, mark: &[u8]) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            if let Some(at) = self
                .unread
                .windows(mark.len())
                .position(|window| window == mark)
            {
                let rest = self.unread.split_off(at + mark.len());
                let mut found = std::mem::replace(&mut self.unread, rest);
                found.truncate(at);
                return Ok(Some(found));
            }
            if self.unread.len() > LONGEST_HEAD {
                return Err(malformed("a head without end"));
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

    fn take_some(&mut self, most: u64) -> Result<Vec<u8>, HttpError> {
        if self.unread.is_empty() && self.fill()? == 0 {
            return Err(HttpError::ClosedEarly);
        }
        let size = self
            .unread
            .len()
            .min(usize::try_from(most).unwrap_or(usize::MAX));
        let rest = self.unread.split_off(size);
        Ok(std::mem::replace(&mut self.unread, rest))
    }

    fn fill(&mut self) -> Result<usize, HttpError> {
        self.stream.set_read_timeout(self.time_left()?)?;
        let mut bytes = [0; READ_SIZE];
        match self.stream.read(&mut bytes) {
            Ok(size) => {
                self.unread.extend_from_slice(&bytes[..size]);
                Ok(size)
            }
            Err(error) if is_timeout(&error) => Err(HttpError::TimedOut),
            Err(error) => Err(error.into()),
        }
    }

    fn time_left(&self) -> Result<Option<Duration>, HttpError> {
        let Some(moment) = self.give_up else {
            return Ok(None);
        };
        match moment.checked_duration_since(Instant::now()) {
            Some(left) if left >= SHORTEST_WAIT => Ok(Some(left)),
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
            return Err(malformed(format!("header line {line:?}")));
        };
        headers.push(name, value.trim());
    }
    Ok((start, headers))
}

fn framing_of(headers: &Headers, otherwise: Framing) -> Result<Framing, HttpError> {
    if headers.has_word("Transfer-Encoding", "chunked") {
        return Ok(Framing::Chunked(0));
    }
    match headers.get("Content-Length") {
        None => Ok(otherwise),
        Some(value) => value
            .parse()
            .map(Framing::Length)
            .map_err(|_| malformed(format!("length {value:?}"))),
    }
}
