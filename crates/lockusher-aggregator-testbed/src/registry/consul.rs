//! A member that speaks Consul's key-value API over HTTP: recursive reads, plain, blocking or stale, as published.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use lockusher_registry_client::io::etcd_range_end;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Member, Registry};

/// How long a blocking read is held if it does not say, and at most, as published.
const WAIT: Duration = Duration::from_secs(300);
const LONGEST: Duration = Duration::from_secs(600);

/// Starts a member on a free port of the loopback; it serves as long as the runtime does.
pub async fn start(registry: &Arc<Registry>) -> std::io::Result<(Arc<Member>, SocketAddr)> {
    let member = Member::new(registry);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let serving = member.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let member = serving.clone();
            tokio::spawn(async move {
                // What ends a connection concerns its client alone.
                let _ = serve(&member, stream).await;
            });
        }
    });
    Ok((member, address))
}

async fn serve(member: &Member, mut stream: TcpStream) -> std::io::Result<()> {
    let mut read = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = read.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            let mut some = [0; 1024];
            let count = stream.read(&mut some).await?;
            if count == 0 {
                return Ok(());
            }
            read.extend_from_slice(&some[..count]);
        };
        let head = String::from_utf8_lossy(&read[..end]).into_owned();
        read.drain(..end);
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        member.asked();
        let mut some = [0; 1024];
        let (answer, tells) = tokio::select! {
            answer = answer(member, &path) => answer,
            // Whoever asked has gone: what happens from here on is told to nobody.
            count = stream.read(&mut some) => match count? {
                0 => return Ok(()),
                count => {
                    read.extend_from_slice(&some[..count]);
                    answer(member, &path).await
                }
            },
        };
        stream.write_all(&answer).await?;
        if let Some(revision) = tells {
            member.tells(revision);
        }
    }
}

/// A duration as Consul takes it: a number and `ms`, `s` or `m`.
fn wait(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..digits].parse().ok()?;
    match &text[digits..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number * 60)),
        _ => None,
    }
}

/// An answer, and the revision up to which it tells all.
async fn answer(member: &Member, path: &str) -> (Vec<u8>, Option<u64>) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let value = |name: &str| {
        query.split('&').find_map(|pair| {
            pair.strip_prefix(name)?
                .strip_prefix('=')
                .map(str::to_owned)
        })
    };
    let Some(prefix) = path.strip_prefix("/v1/kv/") else {
        return plain(404, "no such path");
    };
    if value("recurse").is_none() && !query.split('&').any(|key| key == "recurse") {
        return plain(400, "the stand-in knows recursive reads only");
    }
    let prefix = prefix.as_bytes();
    let index = value("index")
        .and_then(|index| index.parse::<u64>().ok())
        .unwrap_or(0);
    let held = match value("wait") {
        Some(text) => match wait(&text) {
            Some(wait) => wait.min(LONGEST),
            None => return plain(400, "Invalid wait time"),
        },
        None => WAIT,
    };
    let mut changed = member.registry.changed.subscribe();
    let touched = || {
        let (seen, _) = member.sees();
        let touched = member.registry.store().touched(prefix, seen);
        touched.saturating_sub(member.script().index_back)
    };
    // An index that lies behind the one asked for is waited on like one that has not moved.
    let newer = async {
        while touched() <= index {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    if index > 0 {
        let _ = tokio::time::timeout(held, newer).await;
    }
    member.may_speak().await;
    let (seen, _) = member.sees();
    let (index, page) = {
        let (index, store) = (touched(), member.registry.store());
        (index, store.range(prefix, &etcd_range_end(prefix), 0, seen))
    };
    // A member that lags far enough has nothing to show once the store forgot it.
    let Ok((keys, _)) = page else {
        return plain(500, "rpc error");
    };
    let pair = |(key, kv): (Vec<u8>, super::store::Kv)| {
        json!({ "LockIndex": 0, "Key": String::from_utf8_lossy(&key), "Flags": 0,
            "Value": BASE64_STANDARD.encode(&kv.value), "CreateIndex": kv.created, "ModifyIndex": kv.modified })
    };
    let body = match keys.is_empty() {
        true => String::new(),
        false => serde_json::Value::from_iter(keys.into_iter().map(pair)).to_string(),
    };
    let script = member.script();
    let status = if body.is_empty() {
        "404 Not Found"
    } else {
        "200 OK"
    };
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Consul-Index: {index}\r\n\
         X-Consul-Knownleader: {}\r\nX-Consul-Lastcontact: {}\r\nContent-Length: {}\r\n\r\n{body}",
        !script.no_leader,
        script.leader_heard.as_millis(),
        body.len()
    );
    (text.into_bytes(), Some(seen))
}

fn plain(status: u16, words: &str) -> (Vec<u8>, Option<u64>) {
    let text = format!(
        "HTTP/1.1 {status} No\r\nContent-Length: {}\r\n\r\n{words}",
        words.len()
    );
    (text.into_bytes(), None)
}
