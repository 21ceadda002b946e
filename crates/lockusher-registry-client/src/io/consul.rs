//! Consul's HTTP API: blocking reads of a key-value prefix, as published (`/v1/kv/PREFIX?recurse`, `index`, `wait`,
//! `stale`; headers `X-Consul-Index`, `X-Consul-KnownLeader`, `X-Consul-LastContact`).

use std::time::Duration;

use awc::{Client, Connector};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use lockusher_policy::interface::Span;
use serde::Deserialize;

use super::{Ear, MOST_ANSWER};
use crate::core::entry::{Entry, Revision};
use crate::core::follow::Heard;

pub struct Session {
    client: Client,
    endpoint: String,
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    /// In base64; null where nothing is held.
    value: Option<String>,
    modify_index: u64,
}

/// A path's text: all but what a path may hold as it is, in percent form.
fn escaped(path: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    path.bytes()
        .map(|b| {
            if plain(b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

impl Session {
    pub fn new(endpoint: &str, prefix: &str) -> Self {
        // The follower ends a call that takes too long; no time-out of the client's own may do it before.
        let connector = Connector::new()
            .timeout(Duration::from_secs(3))
            .conn_lifetime(Duration::from_secs(3_600));
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        Session {
            client,
            endpoint: endpoint.to_owned(),
            prefix: prefix.to_owned(),
        }
    }

    /// One read; `most` ends it at the latest.
    pub fn poll(
        &self,
        ear: Ear,
        index: Revision,
        wait: Span,
        stale: bool,
        most: Span,
    ) -> impl Future<Output = ()> + use<> {
        let (client, prefix) = (self.client.clone(), self.prefix.clone());
        let mut url = format!(
            "http://{}/v1/kv/{}?recurse=true",
            self.endpoint,
            escaped(&prefix)
        );
        if index > Revision(0) {
            url += &format!("&index={}&wait={}ms", index.0, wait.as_micros() / 1_000);
        }
        if stale {
            url += "&stale";
        }
        async move {
            let answer = tokio::time::timeout(
                Duration::from_micros(most.as_micros()),
                get(&client, &url, &prefix),
            );
            let heard = match answer.await {
                Ok(Ok(heard)) => heard,
                Ok(Err(why)) => Heard::Failed { why },
                // The follower has counted it as silent by now.
                Err(_) => return,
            };
            ear.hear(heard).await;
        }
    }
}

async fn get(client: &Client, url: &str, prefix: &str) -> Result<Heard, String> {
    let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let number = |name: &str| header(name).and_then(|v| v.parse::<u64>().ok());
    let leader = header("x-consul-knownleader") != Some("false");
    let ago = Span::from_millis(number("x-consul-lastcontact").unwrap_or(0));
    let index = number("x-consul-index");
    let status = response.status();
    // A prefix without a key is no error of the read.
    if status.as_u16() != 404 && !status.is_success() {
        return Err(format!("it answered {status}"));
    }
    let index = Revision(index.ok_or("an answer without an index")?);
    let leader_heard = leader.then_some(ago);
    if status.as_u16() == 404 {
        return Ok(Heard::Whole {
            index,
            entries: Vec::new(),
            leader_heard,
        });
    }
    let body = response
        .body()
        .limit(MOST_ANSWER)
        .await
        .map_err(|e| e.to_string())?;
    let pairs: Vec<Pair> =
        serde_json::from_slice(&body).map_err(|e| format!("no list of keys: {e}"))?;
    let entry = |pair: Pair| {
        let name = pair
            .key
            .strip_prefix(prefix)
            .unwrap_or(&pair.key)
            .to_owned();
        let value = pair
            .value
            .map_or(Ok(Vec::new()), |text| BASE64_STANDARD.decode(text));
        // A value that is not base64 is an entry that can't be read, not an answer that can't.
        Entry {
            name,
            modified: Revision(pair.modify_index),
            value: value.unwrap_or_default(),
        }
    };
    let entries = pairs.into_iter().map(entry).collect();
    Ok(Heard::Whole {
        index,
        entries,
        leader_heard,
    })
}
