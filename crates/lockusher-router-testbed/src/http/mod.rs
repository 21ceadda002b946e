//! A small, strict HTTP/1.1 over blocking sockets.
//!
//! The stand-ins use it in place of a library because they must see every byte (an answer too many, a body cut
//! short) and must be able to misbehave on purpose. Each side reads with a moment at which it gives up.

mod connection;

pub use connection::Connection;
use derive_more::{Display, Error, From};

/// Why a message could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// The socket failed.
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The moment to give up has come.
    #[display("gave up waiting")]
    #[from(ignore)]
    TimedOut,
    /// The peer closed before the message was whole.
    #[display("closed before the end of the message")]
    #[from(ignore)]
    ClosedEarly,
    /// The bytes are not HTTP.
    #[display("not HTTP: {reason}")]
    #[from(ignore)]
    Malformed { reason: String },
}

fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::Malformed {
        reason: reason.into(),
    }
}

/// Header lines in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    lines: Vec<(String, String)>,
}

impl Headers {
    /// Adds a line.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.lines.push((name.to_owned(), value.into()));
    }

    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self
            .lines
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The first value of a header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Whether a header names `word` among its comma-separated values.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        let mut values = self
            .lines
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        values.any(|(_, value)| {
            value
                .split(',')
                .any(|one| one.trim().eq_ignore_ascii_case(word))
        })
    }

    /// All lines, in order.
    pub fn lines(&self) -> &[(String, String)] {
        &self.lines
    }
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// A request without headers and body.
    pub fn new(method: &str, target: &str) -> Request {
        Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Request {
        self.headers.push(name, value);
        self
    }

    /// Sets the body; its length is added when the request is written.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Request {
        self.body = body.into();
        self
    }

    /// The bytes on the wire.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        push_lines(&mut head, &self.headers);
        if !self.body.is_empty() || self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer without headers and body.
    pub fn new(status: u16) -> Answer {
        Answer {
            status,
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Answer {
        self.headers.push(name, value);
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Answer {
        self.body = body.into();
        self
    }

    /// Sets a JSON body.
    pub fn json(self, value: &serde_json::Value) -> Answer {
        self.header("Content-Type", "application/json")
            .body(value.to_string())
    }

    /// The bytes on the wire, with the body's length.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.head_bytes(&format!("Content-Length: {}\r\n", self.body.len()));
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// The head alone, of an answer whose body follows in chunks.
    pub fn chunked_head(&self) -> Vec<u8> {
        self.head_bytes("Transfer-Encoding: chunked\r\n")
    }

    fn head_bytes(&self, framing: &str) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        push_lines(&mut head, &self.headers);
        head.push_str(framing);
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// One chunk of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn push_lines(head: &mut String, headers: &Headers) {
    for (name, value) in headers.lines() {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// The head of an answer whose body is still to be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Headers,
}
