//! Three toy searchers and a toy discovery, to try the mixer with. Each searcher answers any part with its
//! text turned round; discovery tells one list that never changes.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const SEARCHERS: [&str; 3] = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"];

fn main() -> Result<()> {
    for address in SEARCHERS {
        let listener = TcpListener::bind(address)?;
        thread::spawn(move || accept(listener, searcher));
    }
    println!(
        "searchers on {}, discovery on {DISCOVERY}",
        SEARCHERS.join(", ")
    );
    accept(TcpListener::bind(DISCOVERY)?, discovery);
    Ok(())
}

fn accept(listener: TcpListener, serve: fn(TcpStream) -> Result<()>) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let peer = stream.peer_addr();
            if let Err(error) = serve(stream) {
                println!("connection of {peer:?} ended: {error}");
            }
        });
    }
}

/// Reads frames (a length of four bytes, a letter, the rest) and answers the parts of each call, frame `m`.
fn searcher(mut stream: TcpStream) -> Result<()> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        let mut call = match frame.split_first() {
            Some((b'm', call)) => call,
            _ => continue, // A part given up: a toy is done with it long before.
        };
        // For each part a line `ID SHARD LIST LENGTH`, then so many bytes of text.
        while !call.is_empty() {
            let mut line = String::new();
            call.read_line(&mut line)?;
            let words: Vec<&str> = line.split_whitespace().collect();
            let [id, shard, _list, length] = words[..] else {
                return stream.write_all(&framed("rnot a part's line"));
            };
            let mut text = vec![0; length.parse().unwrap_or(0)];
            call.read_exact(&mut text)?;
            let value: String = String::from_utf8_lossy(&text).chars().rev().collect();
            println!("{} answers {id}", stream.local_addr()?);
            // How it ended, its score (here the shard), no load report, and the value.
            stream.write_all(&framed(&format!("q{id} good {shard} -\n{value}")))?;
        }
    }
}

fn framed(frame: &str) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes()[..], frame.as_bytes()].concat()
}

/// Answers a call for the list at once, and a watch, which names the version it has, after its wait.
fn discovery(stream: TcpStream) -> Result<()> {
    let (mut reader, mut out) = (BufReader::new(stream.try_clone()?), stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        let hold = head
            .split("hold_ms=")
            .nth(1)
            .and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
        let list = match hold {
            Some(ms) => {
                thread::sleep(Duration::from_millis(ms));
                r#"{"index":1,"snapshot":false,"endpoints":[]}"#.to_owned()
            }
            None => {
                let line = |(group, address)| {
                    format!(
                        r#"{{"name":"toy-{group}","address":"{address}","zone":"here","type":"toy",
                        "group":{group},"status":"active","weight":1.0,"since_ms":0}}"#
                    )
                };
                let lines: Vec<String> = SEARCHERS.iter().enumerate().map(line).collect();
                format!(
                    r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#,
                    lines.join(",")
                )
            }
        };
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        )?;
    }
}
