//! Consul's HTTP API: blocking reads of a key-value prefix, as published (`/v1/kv/PREFIX?recurse`, `index`, `wait`,
//! `stale`; headers `X-Consul-Index`, `X-Consul-KnownLeader`, `X-Consul-LastContact`).

use std::time::Duration;

use awc::{Client, Connector};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use lockusher_policy::interface::Span;
use serde::Deserialize;

use super::{MAX_RESPONSE_BYTES, ResponseSender};
use crate::core::entry::{Entry, Revision};
use crate::core::follow::Response;

/// A client of one endpoint.
pub struct Session {
    client: Client,
    endpoint: String,
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    /// In base64; null if the key has no value.
    value: Option<String>,
    modify_index: u64,
}

/// Percent-encodes a path; `/` is kept.
fn percent_encode(path: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    path.bytes()
        .map(|b| {
            if is_unreserved(b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

impl Session {
    /// Creates a client; it connects on the first request.
    pub fn new(endpoint: &str, prefix: &str) -> Self {
        // The caller limits each request; the client's own timeout is disabled, as blocking reads take long.
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

    /// Sends one read, limited by `timeout`.
    pub fn poll(
        &self,
        responses: ResponseSender,
        index: Revision,
        wait: Span,
        stale: bool,
        timeout: Span,
    ) -> impl Future<Output = ()> + use<> {
        let (client, prefix) = (self.client.clone(), self.prefix.clone());
        let mut url = format!(
            "http://{}/v1/kv/{}?recurse=true",
            self.endpoint,
            percent_encode(&prefix)
        );
        if index > Revision(0) {
            url += &format!("&index={}&wait={}ms", index.0, wait.as_micros() / 1_000);
        }
        if stale {
            url += "&stale";
        }
        async move {
            let response = tokio::time::timeout(
                Duration::from_micros(timeout.as_micros()),
                get(&client, &url, &prefix),
            );
            let response = match response.await {
                Ok(Ok(response)) => response,
                Ok(Err(reason)) => Response::Failed { reason },
                // The follower has already recorded the timeout.
                Err(_) => return,
            };
            responses.send(response).await;
        }
    }
}

/// Sends the request and decodes the response.
async fn get(client: &Client, url: &str, prefix: &str) -> Result<Response, String> {
    let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let number = |name: &str| header(name).and_then(|v| v.parse::<u64>().ok());
    let has_leader = header("x-consul-knownleader") != Some("false");
    let contact_age = Span::from_millis(number("x-consul-lastcontact").unwrap_or(0));
    let index = number("x-consul-index");
    let status = response.status();
    // 404 means that there are no keys with the prefix, not that the read failed.
    if status.as_u16() != 404 && !status.is_success() {
        return Err(format!("status {status}"));
    }
    let index = Revision(index.ok_or("response without X-Consul-Index")?);
    let leader_contact_age = has_leader.then_some(contact_age);
    if status.as_u16() == 404 {
        return Ok(Response::Snapshot {
            index,
            entries: Vec::new(),
            leader_contact_age,
        });
    }
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| e.to_string())?;
    let pairs: Vec<Pair> =
        serde_json::from_slice(&body).map_err(|e| format!("malformed list of keys: {e}"))?;
    let entry = |pair: Pair| {
        let name = pair
            .key
            .strip_prefix(prefix)
            .unwrap_or(&pair.key)
            .to_owned();
        let value = pair
            .value
            .map_or(Ok(Vec::new()), |text| BASE64_STANDARD.decode(text));
        // A value that is not base64 makes its entry unreadable, not the whole response.
        Entry {
            name,
            modified: Revision(pair.modify_index),
            value: value.unwrap_or_default(),
        }
    };
    let entries = pairs.into_iter().map(entry).collect();
    Ok(Response::Snapshot {
        index,
        entries,
        leader_contact_age,
    })
}
