//! Raw HTTP/1.1 over TCP, as a scripted client or searcher writes and reads it.

use std::io;
use std::net::SocketAddrV4;

use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

use super::{HOST, step};

/// How a peer ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Closed,
    Reset,
}

/// One end of a connection.
pub struct Wire {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> Self {
        Wire {
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

    /// Writes bytes to a peer that may end the connection meanwhile; whether all were taken.
    pub async fn try_write(&mut self, bytes: Vec<u8>) -> bool {
        let BufResult(result, _) = step(self.stream.write_all(bytes)).await;
        result.is_ok()
    }

    /// A client's request with the fields that one needs, and those given.
    pub async fn ask(&mut self, path: &str, identifier: &str, fields: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: {identifier}\r\n\
             Deadline-Remaining: 5000\r\nContent-Length: {length}\r\n{fields}\r\n{body}"
        ))
        .await;
    }

    /// A searcher's answer with a length.
    pub async fn answer(&mut self, status: &str, identifier: &str, fields: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status}\r\nRequest-Identifier: {identifier}\r\nContent-Length: {length}\r\n\
             {fields}\r\n{body}"
        ))
        .await;
    }

    /// A searcher's successful answer.
    pub async fn succeed(&mut self, identifier: &str, body: &str) {
        self.answer("200 OK", identifier, "Server-Signature: sig\r\n", body)
            .await;
    }

    /// The head of a searcher's stream.
    pub async fn begin_stream(&mut self, identifier: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\nServer-Signature: sig\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ))
        .await;
    }

    /// One chunk of a chunked body.
    pub async fn chunk(&mut self, data: &str) {
        self.write(&format!("{:x}\r\n{data}\r\n", data.len())).await;
    }

    /// The end of a chunked body.
    pub async fn end_chunks(&mut self) {
        self.write("0\r\n\r\n").await;
    }

    /// A searcher's rejection of a request that it did not run.
    pub async fn reject(&mut self, status: &str, identifier: &str) {
        self.answer(status, identifier, "Not-Executed: 1\r\n", "")
            .await;
    }

    /// Reads up to the end of a head.
    pub async fn head(&mut self) -> Head {
        let end = self.read_past("\r\n\r\n").await;
        Head(String::from_utf8(end).expect("a head is text"))
    }

    /// Reads a number of bytes.
    pub async fn body(&mut self, length: usize) -> String {
        while self.unread.len() < length {
            assert!(
                self.read_more().await.expect("no reset"),
                "closed within a body"
            );
        }
        let rest = self.unread.split_off(length);
        String::from_utf8(std::mem::replace(&mut self.unread, rest)).expect("bodies are text here")
    }

    /// Reads a head and the body whose length it tells.
    pub async fn message(&mut self) -> (Head, String) {
        let head = self.head().await;
        let length = head
            .field("content-length")
            .map_or(0, |length| length.parse().expect("a number"));
        let body = self.body(length).await;
        (head, body)
    }

    /// As [`Self::message`]; `None` if the peer ends the connection before one begins.
    pub async fn next_message(&mut self) -> Option<(Head, String)> {
        while self.unread.is_empty() {
            if !matches!(self.read_more().await, Ok(true)) {
                return None;
            }
        }
        Some(self.message().await)
    }

    /// Reads a request with a length, its body any bytes; its identifier, or `None` if it has none or ends early.
    pub async fn next_identifier(&mut self) -> Option<String> {
        while !self.unread.windows(4).any(|window| window == b"\r\n\r\n") {
            if !matches!(self.read_more().await, Ok(true)) {
                return None;
            }
        }
        let head = self.head().await;
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
        let data = self.body(size).await;
        self.body(2).await;
        data
    }

    /// Reads until the peer ends; what came, and how it ended.
    pub async fn rest(&mut self) -> (String, Ending) {
        let (bytes, ending) = self.rest_bytes().await;
        (String::from_utf8_lossy(&bytes).into_owned(), ending)
    }

    /// As [`Self::rest`], of any bytes.
    pub async fn rest_bytes(&mut self) -> (Vec<u8>, Ending) {
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

    async fn read_past(&mut self, mark: &str) -> Vec<u8> {
        loop {
            let found = self
                .unread
                .windows(mark.len())
                .position(|window| window == mark.as_bytes());
            if let Some(position) = found {
                let rest = self.unread.split_off(position + mark.len());
                return std::mem::replace(&mut self.unread, rest);
            }
            let more = self.read_more().await;
            let seen = String::from_utf8_lossy(&self.unread).into_owned();
            assert!(
                matches!(more, Ok(true)),
                "ended ({more:?}) before {mark:?}: {seen}"
            );
        }
    }

    /// Reads what is there; false if the peer has closed.
    async fn read_more(&mut self) -> io::Result<bool> {
        let BufResult(result, bytes) = step(self.stream.read(Vec::with_capacity(4_096))).await;
        let length = result?;
        self.unread.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }
}

/// The head of a request or an answer.
#[derive(Debug)]
pub struct Head(String);

impl Head {
    pub fn line(&self) -> &str {
        self.0.lines().next().expect("a first line")
    }

    pub fn status(&self) -> u16 {
        self.line()
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

    /// Whether the answer promises that the request has not run.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }
}
