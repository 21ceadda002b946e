//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or a response, and the body where it has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field, by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known == name);
        field.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a head, and the body if it has a length; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .field("content-length")
        .and_then(|value| value.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message
                .fields
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Reads the body of a response that is either chunked or has a length; an error if it isn't whole.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_message(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if message.field("transfer-encoding") == Some("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Ok(message)
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    time_limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, time_limit)?;
    stream.set_read_timeout(Some(time_limit))?;
    let text = format!(
        "{head}\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[text.as_bytes(), body].concat())?;
    read_response(&mut BufReader::new(stream))
}
