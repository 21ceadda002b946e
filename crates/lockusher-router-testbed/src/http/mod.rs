//! A small, strict HTTP/1.1 implementation over blocking sockets.
//!
//! The stand-ins use it instead of a library because they must detect every protocol error (a surplus response, a
//! truncated body) and must be able to misbehave on purpose. Each side sets a deadline for its reads and writes.

mod connection;

pub use connection::{Connection, SlowLink};
use derive_more::{Display, Error, From};

/// Why a message could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum HttpError {
    /// An operation on the socket failed.
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The deadline passed.
    #[display("timed out")]
    #[from(ignore)]
    TimedOut,
    /// The peer closed the connection before the message was complete.
    #[display("connection closed before the end of the message")]
    #[from(ignore)]
    ClosedEarly,
    /// The bytes received are not valid HTTP.
    #[display("not HTTP: {reason}")]
    #[from(ignore)]
    Malformed { reason: String },
}

fn malformed(reason: impl Into<String>) -> HttpError {
    HttpError::Malformed {
        reason: reason.into(),
    }
}

/// Header lines in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    lines: Vec<(String, String)>,
}

impl Headers {
    /// Appends a header line.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.lines.push((name.to_owned(), value.into()));
    }

    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self
            .lines
            .iter()
            .filter(|(line_name, _)| line_name.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The first value of a header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Whether the comma-separated values of a header contain `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self
            .lines
            .iter()
            .filter(|(line_name, _)| line_name.eq_ignore_ascii_case(name));
        values.any(|(_, value)| {
            value
                .split(',')
                .any(|value| value.trim().eq_ignore_ascii_case(token))
        })
    }

    /// All lines, in order.
    pub fn lines(&self) -> &[(String, String)] {
        &self.lines
    }
}

/// A request with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: &str, target: &str) -> Request {
        Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// Appends a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Request {
        self.headers.push(name, value);
        self
    }

    /// Sets the body; `Content-Length` is added when the request is encoded.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Request {
        self.body = body.into();
        self
    }

    /// Encodes the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        push_headers(&mut head, &self.headers);
        if !self.body.is_empty() || self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A response with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without headers and body.
    pub fn new(status: u16) -> Response {
        Response {
            status,
            headers: Headers::default(),
            body: Vec::new(),
        }
    }

    /// Appends a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Response {
        self.headers.push(name, value);
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Response {
        self.body = body.into();
        self
    }

    /// Sets a JSON body.
    pub fn json(self, value: &serde_json::Value) -> Response {
        self.header("Content-Type", "application/json")
            .body(value.to_string())
    }

    /// Encodes the response with its `Content-Length`.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.sized_head(self.body.len());
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Encodes the head of a response whose body follows in chunks.
    pub fn chunked_head(&self) -> Vec<u8> {
        self.head_bytes("Transfer-Encoding: chunked\r\n")
    }

    /// Encodes the head of a response whose body follows with this length.
    pub fn sized_head(&self, length: usize) -> Vec<u8> {
        self.head_bytes(&format!("Content-Length: {length}\r\n"))
    }

    fn head_bytes(&self, framing: &str) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        push_headers(&mut head, &self.headers);
        head.push_str(framing);
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// Encodes one chunk of a chunked body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn push_headers(head: &mut String, headers: &Headers) {
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

/// The head of a response whose body is not yet read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
}
