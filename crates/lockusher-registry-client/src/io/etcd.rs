//! etcd's v3 API over gRPC: the published services KV and Watch.

use lockusher_policy::interface::Span;
use std::time::Duration;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use super::{MAX_RESPONSE_BYTES, ResponseSender};
use crate::core::entry::{Change, ClusterId, Entry, Revision};
use crate::core::follow::Response;
use crate::core::view::Version;
use crate::etcdserverpb as pb;

/// A client of one endpoint: one connection with at most one watch.
pub struct Session {
    channel: Result<Channel, String>,
    prefix: Vec<u8>,
    requests: mpsc::Sender<pb::WatchRequest>,
    /// The receiver of `requests`, until the watch takes it.
    outgoing: Option<mpsc::Receiver<pb::WatchRequest>>,
}

/// The end of the range of all keys with a prefix, as the API defines it: the prefix with its last byte incremented. A
/// single zero byte means all keys.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let last_below_max = prefix.iter().rposition(|byte| *byte < 0xff);
    match last_below_max {
        Some(last) => {
            let mut end = prefix[..=last].to_vec();
            end[last] += 1;
            end
        }
        None => vec![0],
    }
}

fn version(header: Option<pb::ResponseHeader>) -> Version {
    let header = header.unwrap_or_default();
    Version {
        cluster: ClusterId(header.cluster_id),
        revision: Revision(header.revision.max(0) as u64),
    }
}

fn name_of(key: &[u8], prefix: &[u8]) -> String {
    String::from_utf8_lossy(key.strip_prefix(prefix).unwrap_or(key)).into_owned()
}

fn read_error(status: &Status) -> Response {
    // The published error of a read at a compacted revision.
    if status.code() == Code::OutOfRange && status.message().contains("compacted") {
        return Response::Compacted;
    }
    Response::Failed {
        reason: format!("{}: {}", status.code(), status.message()),
    }
}

impl Session {
    /// Creates a client; it connects on the first request.
    pub fn new(endpoint: &str, prefix: &str, connect_timeout: Span) -> Self {
        let connect_timeout = Duration::from_micros(connect_timeout.as_micros());
        let channel = Endpoint::from_shared(format!("http://{endpoint}"))
            .map(|endpoint| {
                endpoint
                    .connect_timeout(connect_timeout)
                    .tcp_nodelay(true)
                    .connect_lazy()
            })
            .map_err(|e| e.to_string());
        // Capacity for the request that creates the watch and for progress requests.
        let (requests, outgoing) = mpsc::channel(4);
        Session {
            channel,
            prefix: prefix.as_bytes().to_vec(),
            requests,
            outgoing: Some(outgoing),
        }
    }

    /// Requests a progress notification on the watch.
    pub fn ask_progress(&self) {
        let request = pb::watch_request::RequestUnion::ProgressRequest(pb::WatchProgressRequest {});
        // A full queue means that the endpoint does not read; the follower's timeout handles that.
        let _ = self.requests.try_send(pb::WatchRequest {
            request_union: Some(request),
        });
    }

    /// Reads a page.
    pub fn read(
        &self,
        responses: ResponseSender,
        after: Option<Vec<u8>>,
        limit: u32,
        at: Option<Revision>,
    ) -> impl Future<Output = ()> + use<> {
        let (channel, prefix) = (self.channel.clone(), self.prefix.clone());
        async move {
            let channel = match channel {
                Ok(channel) => channel,
                Err(reason) => {
                    responses.send(Response::Failed { reason }).await;
                    return;
                }
            };
            // The smallest key after the last one: the last one with a zero byte appended.
            let key = after.map_or_else(|| prefix.clone(), |last| [&last[..], &[0]].concat());
            let request = pb::RangeRequest {
                key,
                range_end: range_end(&prefix),
                limit: limit.into(),
                revision: at.map_or(0, |at| at.0 as i64),
                serializable: false,
            };
            let mut client =
                pb::kv_client::KvClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES);
            let response = match client.range(request).await {
                Ok(response) => {
                    let response = response.into_inner();
                    let last = response.kvs.last().map(|kv| kv.key.clone());
                    let entry = |kv: pb::KeyValue| Entry {
                        name: name_of(&kv.key, &prefix),
                        modified: Revision(kv.mod_revision.max(0) as u64),
                        value: kv.value,
                    };
                    Response::Page {
                        version: version(response.header),
                        entries: response.kvs.into_iter().map(entry).collect(),
                        continue_after: last.filter(|_| response.more),
                    }
                }
                Err(status) => read_error(&status),
            };
            responses.send(response).await;
        }
    }

    /// Starts a watch.
    pub fn watch(
        &mut self,
        responses: ResponseSender,
        start: Revision,
    ) -> impl Future<Output = ()> + use<> {
        let (channel, prefix) = (self.channel.clone(), self.prefix.clone());
        let create = pb::WatchCreateRequest {
            key: prefix.clone(),
            range_end: range_end(&prefix),
            start_revision: start.0 as i64,
            progress_notify: true,
            watch_id: 0,
            fragment: true,
        };
        let request = pb::watch_request::RequestUnion::CreateRequest(create);
        let _ = self.requests.try_send(pb::WatchRequest {
            request_union: Some(request),
        });
        let outgoing = self.outgoing.take();
        async move {
            let reason = match (channel, outgoing) {
                (Ok(channel), Some(outgoing)) => {
                    match run_watch(channel, outgoing, &prefix, &responses).await {
                        Ok(()) => return,
                        Err(reason) => reason,
                    }
                }
                (Err(reason), _) => reason,
                (_, None) => "second watch on one connection".to_owned(),
            };
            responses.send(Response::Failed { reason }).await;
        }
    }
}

/// Forwards the responses of a watch to its end; an error if that end has not been forwarded.
async fn run_watch(
    channel: Channel,
    outgoing: mpsc::Receiver<pb::WatchRequest>,
    prefix: &[u8],
    responses: &ResponseSender,
) -> Result<(), String> {
    let requests = futures_util::stream::unfold(outgoing, async |mut outgoing| {
        let request = outgoing.recv().await?;
        Some((request, outgoing))
    });
    let mut client =
        pb::watch_client::WatchClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES);
    let describe = |status: Status| format!("{}: {}", status.code(), status.message());
    let mut stream = client.watch(requests).await.map_err(describe)?.into_inner();
    while let Some(response) = stream.message().await.map_err(describe)? {
        let response = watch_response(response, prefix);
        let ended = matches!(response, Response::Compacted | Response::Failed { .. });
        if !responses.send(response).await || ended {
            return Ok(());
        }
    }
    Err("the watch ended".to_owned())
}

/// Converts a response of the watch.
fn watch_response(response: pb::WatchResponse, prefix: &[u8]) -> Response {
    let version = version(response.header);
    if response.canceled {
        // A compacted start revision is reported in a field, any other cause in the text only.
        return match response.compact_revision {
            0 => Response::Failed {
                reason: format!("the watch was cancelled: {}", response.cancel_reason),
            },
            _ => Response::Compacted,
        };
    }
    if response.created {
        return Response::WatchCreated { version };
    }
    if response.events.is_empty() && !response.fragment {
        return Response::Progress { version };
    }
    let change = |event: pb::Event| {
        let (deleted, kv) = (
            event.r#type == pb::event::EventType::Delete as i32,
            event.kv.unwrap_or_default(),
        );
        Change {
            name: name_of(&kv.key, prefix),
            modified: Revision(kv.mod_revision.max(0) as u64),
            value: (!deleted).then_some(kv.value),
        }
    };
    let changes = response.events.into_iter().map(change).collect();
    Response::Changes {
        version,
        changes,
        more: response.fragment,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::plain(b"hosts/", b"hosts0")]
    #[case::last_byte_0xff(b"a\xff", b"b")]
    #[case::all_bytes_0xff(b"\xff\xff", b"\0")]
    #[case::empty(b"", b"\0")]
    fn a_range_ends_after_all_keys_of_its_prefix(#[case] prefix: &[u8], #[case] end: &[u8]) {
        assert_eq!(range_end(prefix), end);
    }
}
