//! Raw HTTP/1.1 over TCP for scripted clients and searchers.

use std::io;
use std::net::SocketAddrV4;

use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

use super::{HOST, step};

/// How the peer ended the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Closed,
    Reset,
}

/// One end of a TCP connection, with the bytes that were received but not yet read by the test.
pub struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Connection {
            stream,
            unread: Vec::new(),
        }
    }

    pub(super) async fn connect(address: SocketAddrV4) -> Self {
        // The proxy's task may not have run yet.
        let stream = step(async {
            loop {
                match TcpStream::connect(std::net::SocketAddr::V4(address)).await {
                    Ok(stream) => break stream,
                    Err(_) => compio::runtime::spawn(async {}).await.unwrap_or(()),
                }
            }
        });
        Self::new(stream.await)
    }

    pub async fn write(&mut self, text: &str) {
        let BufResult(result, _) = step(self.stream.write_all(text.to_owned().into_bytes())).await;
        result.expect("the peer reads");
    }

    /// Writes bytes to a peer that may close the connection meanwhile; returns whether all were written.
    pub async fn try_write(&mut self, bytes: Vec<u8>) -> bool {
        let BufResult(result, _) = step(self.stream.write_all(bytes)).await;
        result.is_ok()
    }

    /// Sends a client's request with the required header fields and the given ones.
    pub async fn send_request(&mut self, path: &str, identifier: &str, fields: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: {identifier}\r\n\
             Deadline-Remaining: 5000\r\nContent-Length: {length}\r\n{fields}\r\n{body}"
        ))
        .await;
    }

    /// Sends a searcher's response with a `Content-Length`.
    pub async fn respond(&mut self, status: &str, identifier: &str, fields: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status}\r\nRequest-Identifier: {identifier}\r\nContent-Length: {length}\r\n\
             {fields}\r\n{body}"
        ))
        .await;
    }

    /// Sends a searcher's signed 200 response.
    pub async fn respond_ok(&mut self, identifier: &str, body: &str) {
        self.respond("200 OK", identifier, "Server-Signature: sig\r\n", body)
            .await;
    }

    /// Sends the head of a searcher's event stream.
    pub async fn send_stream_head(&mut self, identifier: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\nServer-Signature: sig\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ))
        .await;
    }

    /// Sends the head of a searcher's event stream with a `Content-Length` and further fields.
    pub async fn send_sized_stream_head(&mut self, identifier: &str, length: usize, fields: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\nServer-Signature: sig\r\n\
             Content-Type: text/event-stream\r\nContent-Length: {length}\r\n{fields}\r\n"
        ))
        .await;
    }

    /// Sends one chunk of a chunked body.
    pub async fn send_chunk(&mut self, data: &str) {
        self.write(&format!("{:x}\r\n{data}\r\n", data.len())).await;
    }

    /// Sends the last chunk of a chunked body.
    pub async fn send_last_chunk(&mut self) {
        self.write("0\r\n\r\n").await;
    }

    /// Sends a searcher's rejection of a request that it has not run.
    pub async fn reject(&mut self, status: &str, identifier: &str) {
        self.respond(status, identifier, "Not-Executed: 1\r\n", "")
            .await;
    }

    /// Reads up to the end of a head.
    pub async fn read_head(&mut self) -> Head {
        let end = self.read_past("\r\n\r\n").await;
        Head(String::from_utf8(end).expect("a head is text"))
    }

    /// Reads a number of bytes.
    pub async fn read_body(&mut self, length: usize) -> String {
        while self.unread.len() < length {
            assert!(
                self.read_more().await.expect("no reset"),
                "closed within a body"
            );
        }
        let rest = self.unread.split_off(length);
        String::from_utf8(std::mem::replace(&mut self.unread, rest)).expect("bodies are text here")
    }

    /// Reads a head and the body of the length that it contains.
    pub async fn read_message(&mut self) -> (Head, String) {
        let head = self.read_head().await;
        let length = head
            .field("content-length")
            .map_or(0, |length| length.parse().expect("a number"));
        let body = self.read_body(length).await;
        (head, body)
    }

    /// Like [`Self::read_message`]; `None` if the peer closes the connection first.
    pub async fn try_read_message(&mut self) -> Option<(Head, String)> {
        while self.unread.is_empty() {
            if !matches!(self.read_more().await, Ok(true)) {
                return None;
            }
        }
        Some(self.read_message().await)
    }

    /// Reads a request with a body of arbitrary bytes and returns its identifier; `None` if it has none or is incomplete.
    pub async fn read_identifier(&mut self) -> Option<String> {
        while !self.unread.windows(4).any(|window| window == b"\r\n\r\n") {
            if !matches!(self.read_more().await, Ok(true)) {
                return None;
            }
        }
        let head = self.read_head().await;
        let length = head.field("content-length")?.parse().ok()?;
        while self.unread.len() < length {
            if !matches!(self.read_more().await, Ok(true)) {
                return None;
            }
        }
        self.unread.drain(..length);
        head.field("request-identifier").map(str::to_owned)
    }

    /// Reads one chunk; empty at the end of the body.
    pub async fn read_chunk(&mut self) -> String {
        let line = self.read_past("\r\n").await;
        let size = std::str::from_utf8(&line).expect("a size").trim();
        let size = usize::from_str_radix(size, 16).expect("a size in hex");
        let data = self.read_body(size).await;
        self.read_body(2).await;
        data
    }

    /// Reads a chunked body to its end.
    pub async fn read_chunked_body(&mut self) -> String {
        let mut body = String::new();
        loop {
            let chunk = self.read_chunk().await;
            if chunk.is_empty() {
                return body;
            }
            body.push_str(&chunk);
        }
    }

    /// Reads until the peer closes; returns what was received and how the connection ended.
    pub async fn read_to_end(&mut self) -> (String, Ending) {
        let (bytes, ending) = self.read_bytes_to_end().await;
        (String::from_utf8_lossy(&bytes).into_owned(), ending)
    }

    /// Like [`Self::read_to_end`], for arbitrary bytes.
    pub async fn read_bytes_to_end(&mut self) -> (Vec<u8>, Ending) {
        let ending = loop {
            match self.read_more().await {
                Ok(true) => {}
                Ok(false) => break Ending::Closed,
                Err(_) => break Ending::Reset,
            }
        };
        (std::mem::take(&mut self.unread), ending)
    }

    /// Closes the connection.
    pub async fn close(self) {
        self.stream.close().await.expect("a connection closes");
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("linger can be set");
    }

    async fn read_past(&mut self, delimiter: &str) -> Vec<u8> {
        loop {
            let found = self
                .unread
                .windows(delimiter.len())
                .position(|window| window == delimiter.as_bytes());
            if let Some(position) = found {
                let rest = self.unread.split_off(position + delimiter.len());
                return std::mem::replace(&mut self.unread, rest);
            }
            let more = self.read_more().await;
            let seen = String::from_utf8_lossy(&self.unread).into_owned();
            assert!(
                matches!(more, Ok(true)),
                "ended ({more:?}) before {delimiter:?}: {seen}"
            );
        }
    }

    /// Reads available bytes; false if the peer has closed the connection.
    async fn read_more(&mut self) -> io::Result<bool> {
        let BufResult(result, bytes) = step(self.stream.read(Vec::with_capacity(4_096))).await;
        let length = result?;
        self.unread.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }
}

/// The head of a request or response.
#[derive(Debug)]
pub struct Head(String);

impl Head {
    pub fn first_line(&self) -> &str {
        self.0.lines().next().expect("a first line")
    }

    pub fn status(&self) -> u16 {
        self.first_line()
            .split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number")
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.0.lines().skip(1).find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Whether the status guarantees that the request has not run.
    pub fn guarantees_not_run(&self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}
