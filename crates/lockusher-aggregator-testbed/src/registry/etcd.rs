//! A member that speaks etcd's v3 API: Range and Watch as published.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use tokio::sync::mpsc;
use tonic::codegen::tokio_stream::Stream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

use super::store::{Event, Refused};
use super::{Member, Registry};

pub mod etcdserverpb {
    #![allow(missing_docs, clippy::all)]
    tonic::include_proto!("etcdserverpb");
}
use etcdserverpb as pb;
use pb::watch_request::RequestUnion;

/// The message of a read below the compacted revision, and above the newest, as etcd words them.
const COMPACTED: &str = "etcdserver: mvcc: required revision has been compacted";
const FUTURE: &str = "etcdserver: mvcc: required revision is a future revision";
/// The id that answers to a progress request bear: they are no watch's own.
const NO_WATCH: i64 = -1;

/// Starts a member on a free port of the loopback; it serves as long as the runtime does.
pub async fn start(registry: &Arc<Registry>) -> std::io::Result<(Arc<Member>, SocketAddr)> {
    let member = Member::new(registry);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let serves = Serves(member.clone());
    let kv = pb::kv_server::KvServer::new(serves.clone()).max_encoding_message_size(usize::MAX);
    let watch = pb::watch_server::WatchServer::new(serves).max_encoding_message_size(usize::MAX);
    let server = Server::builder().add_service(kv).add_service(watch);
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true))));
    Ok((member, address))
}

#[derive(Clone)]
struct Serves(Arc<Member>);

impl Serves {
    fn header(&self, revision: u64) -> Option<pb::ResponseHeader> {
        let (_, cluster_id) = self.0.sees();
        Some(pb::ResponseHeader {
            cluster_id,
            member_id: 1,
            revision: revision as i64,
            raft_term: 2,
        })
    }
}

#[tonic::async_trait]
impl pb::kv_server::Kv for Serves {
    async fn range(
        &self,
        request: Request<pb::RangeRequest>,
    ) -> Result<Response<pb::RangeResponse>, Status> {
        let request = request.into_inner();
        self.0.asked();
        self.0.may_speak().await;
        if request.revision > 0 {
            self.0.compacts(|script| &mut script.compact_between_pages);
        }
        let (seen, _) = self.0.sees();
        let at = if request.revision > 0 {
            request.revision as u64
        } else {
            seen
        };
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let page = self
            .0
            .registry
            .store()
            .range(&request.key, &request.range_end, limit, at);
        let (keys, more) = page.map_err(|refused| match refused {
            Refused::Compacted => Status::out_of_range(COMPACTED),
            Refused::Future => Status::out_of_range(FUTURE),
        })?;
        if !more {
            self.0.tells(at);
            self.0.compacts(|script| &mut script.compact_after_read);
        }
        let count = keys.len() as i64;
        let kvs = keys
            .into_iter()
            .map(|(key, kv)| key_value(key, kv))
            .collect();
        Ok(Response::new(pb::RangeResponse {
            header: self.header(seen),
            kvs,
            more,
            count,
        }))
    }
}

fn key_value(key: Vec<u8>, kv: super::store::Kv) -> pb::KeyValue {
    pb::KeyValue {
        key,
        create_revision: kv.created as i64,
        mod_revision: kv.modified as i64,
        version: kv.version as i64,
        value: kv.value,
        lease: kv.lease as i64,
    }
}

fn event(event: Event) -> pb::Event {
    let (r#type, kv) = match event.kv {
        Some(kv) => (pb::event::EventType::Put, key_value(event.key, kv)),
        None => {
            let kv = pb::KeyValue {
                key: event.key,
                mod_revision: event.revision as i64,
                ..Default::default()
            };
            (pb::event::EventType::Delete, kv)
        }
    };
    pb::Event {
        r#type: r#type as i32,
        kv: Some(kv),
    }
}

type Responses = Pin<Box<dyn Stream<Item = Result<pb::WatchResponse, Status>> + Send>>;
type Out = mpsc::Sender<Result<pb::WatchResponse, Status>>;

#[tonic::async_trait]
impl pb::watch_server::Watch for Serves {
    type WatchStream = Responses;

    async fn watch(
        &self,
        request: Request<Streaming<pb::WatchRequest>>,
    ) -> Result<Response<Responses>, Status> {
        // A client that does not read keeps its own watch waiting, nobody else's.
        let (out, mut responses) = mpsc::channel(4);
        tokio::spawn(self.clone().watched(request.into_inner(), out));
        let responses = std::future::poll_fn(move |cx| responses.poll_recv(cx));
        Ok(Response::new(Box::pin(Received(Box::pin(responses)))))
    }
}

/// A channel's end as a stream.
struct Received<F>(Pin<Box<F>>);

impl<T, F: Future<Output = Option<T>>> Stream for Received<F> {
    type Item = T;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context,
    ) -> std::task::Poll<Option<T>> {
        self.0.as_mut().poll(cx)
    }
}

/// A watch of a prefix, and the next revision that it is to be told.
struct Watching {
    prefix: Vec<u8>,
    next: u64,
    fragment: bool,
}

impl Serves {
    /// One stream with one watch, to its end.
    async fn watched(self, mut requests: Streaming<pb::WatchRequest>, out: Out) {
        let mut changed = self.0.registry.changed.subscribe();
        let mut watching: Option<Watching> = None;
        loop {
            let progress = tokio::select! {
                request = requests.message() => {
                    let Ok(Some(pb::WatchRequest { request_union: Some(union) })) = request else { return };
                    match union {
                        RequestUnion::CreateRequest(create) => {
                            self.0.asked();
                            self.0.may_speak().await;
                            let (seen, _) = self.0.sees();
                            let next = if create.start_revision > 0 { create.start_revision as u64 } else { seen + 1 };
                            let fragment = create.fragment;
                            watching = Some(Watching { prefix: create.key, next, fragment });
                            let created = pb::WatchResponse { created: true, header: self.header(seen), ..Default::default() };
                            if out.send(Ok(created)).await.is_err() {
                                return;
                            }
                            false
                        }
                        RequestUnion::CancelRequest(_) => return,
                        RequestUnion::ProgressRequest(_) => true,
                    }
                }
                got = changed.changed() => {
                    if got.is_err() {
                        return;
                    }
                    false
                }
                () = out.closed() => return,
            };
            if self.0.script().silent {
                // What is asked of it meanwhile is never answered, as where a member hangs.
                continue;
            }
            let Some(watching) = &mut watching else {
                continue;
            };
            if self.tell(watching, &out).await.is_none() {
                return;
            }
            if progress {
                let header = self.header(watching.next - 1);
                let told = pb::WatchResponse {
                    header,
                    watch_id: NO_WATCH,
                    ..Default::default()
                };
                if out.send(Ok(told)).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Tells what the watch has not been told; nothing once it has ended.
    async fn tell(&self, watching: &mut Watching, out: &Out) -> Option<()> {
        let (seen, _) = self.0.sees();
        let events = {
            let store = self.0.registry.store();
            store
                .events(&watching.prefix, watching.next, seen)
                .map_err(|_| store.compacted())
        };
        let events = match events {
            Ok(events) => events,
            Err(compacted) => {
                let cancelled = pb::WatchResponse {
                    header: self.header(seen),
                    canceled: true,
                    compact_revision: compacted as i64,
                    cancel_reason: "the start has been compacted".to_owned(),
                    ..Default::default()
                };
                let _ = out.send(Ok(cancelled)).await;
                return None;
            }
        };
        watching.next = watching.next.max(seen + 1);
        if events.is_empty() {
            return Some(());
        }
        let split = self.0.script().split;
        let most = if split > 0 && watching.fragment {
            split
        } else {
            events.len()
        };
        let parts: Vec<&[Event]> = events.chunks(most).collect();
        for (i, part) in parts.iter().enumerate() {
            let response = pb::WatchResponse {
                header: self.header(seen),
                fragment: i + 1 < parts.len(),
                events: part.iter().cloned().map(event).collect(),
                ..Default::default()
            };
            out.send(Ok(response)).await.ok()?;
        }
        self.0.tells(seen);
        Some(())
    }
}
