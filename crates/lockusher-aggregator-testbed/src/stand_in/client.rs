//! An HTTP/1.1 client of the mixer.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use super::LONG;

/// Headers by lowercase name.
pub type Headers = HashMap<String, String>;

/// Reads a start line and headers; `None` if the connection ends first.
pub(super) fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let (mut start_line, mut headers) = (String::new(), HashMap::new());
    if reader.read_line(&mut start_line).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((start_line, headers));
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

/// A client with one connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

/// A response of the mixer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: String,
}

impl Answer {
    /// The values by shard; panics if the response is not an answer.
    pub fn values(&self) -> Vec<(u64, String)> {
        let body: Value = serde_json::from_str(&self.body)
            .unwrap_or_else(|_| panic!("response body is not an answer: {self:?}"));
        let hits = body["answers"].as_array().expect("answers").iter();
        hits.map(|hit| {
            (
                hit["range"].as_u64().expect("a shard"),
                hit["blob"].as_str().expect("text").into(),
            )
        })
        .collect()
    }
}

/// A request body for these shards with equal portions.
pub fn body(shards: &[usize]) -> String {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> = shards
        .iter()
        .map(|s| json!({ "range": s, "portion": portion }))
        .collect();
    json!({ "ranges": ranges, "predicate": "c41e77d0" }).to_string()
}

/// The head of a request of op type `look`, without its end.
pub fn head(id: &str, deadline: &str) -> String {
    format!(
        "POST /look HTTP/1.1\r\nHost: app\r\nReq-Id: {id}\r\nReq-Kind: look\r\nReq-Owner: acme\r\n\
         Req-Deadline: {deadline}\r\n"
    )
}

/// A request of any op type, with a deadline of four seconds.
pub fn request_of(op_type: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /{op_type} HTTP/1.1\r\nHost: app\r\nReq-Id: {id}\r\nReq-Kind: {op_type}\r\nReq-Owner: acme\r\n\
         Req-Deadline: 4000m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request of op type `look`, with a deadline of four seconds.
pub fn request(id: &str, body: &str) -> Vec<u8> {
    format!(
        "{}Content-Length: {}\r\n\r\n{body}",
        head(id, "4000m"),
        body.len()
    )
    .into_bytes()
}

impl Client {
    /// Connects to an address.
    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client {
            stream: BufReader::new(stream),
        }
    }

    /// Writes all bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    /// Writes all bytes; returns `false` if the connection failed first.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.get_mut().write_all(bytes).is_ok()
    }

    /// Reads the next complete response; `None` if the connection ends first.
    pub fn read(&mut self) -> Option<Answer> {
        let (line, headers) = read_head(&mut self.stream)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let length = headers
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).ok()?;
        Some(Answer {
            status,
            headers,
            body: String::from_utf8(body).ok()?,
        })
    }

    /// Reads the next response if no read takes longer than this; otherwise the connection is unusable afterwards.
    pub fn read_within(&mut self, timeout: std::time::Duration) -> Option<Answer> {
        self.stream
            .get_ref()
            .set_read_timeout(Some(timeout))
            .expect("a time-out");
        let answer = self.read();
        self.stream
            .get_ref()
            .set_read_timeout(Some(LONG))
            .expect("a time-out");
        answer
    }

    /// Reads from a connection that should be closed: 0 bytes after a clean close, an error after a reset.
    pub fn end(&mut self) -> std::io::Result<usize> {
        self.stream.read(&mut [0; 64])
    }

    /// Sends a request for these shards and reads the response.
    pub fn ask(&mut self, id: &str, shards: &[usize]) -> Answer {
        self.write(&request(id, &body(shards)));
        self.read().expect("an answer")
    }
}
