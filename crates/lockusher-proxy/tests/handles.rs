//! KV cache handles: handed over once, released when not transferred, prefilled anew when gone.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use futures_channel::mpsc;
use futures_util::StreamExt;
use support::{Proxy, STREAM, Searcher, Wire, accept_any, run};

async fn grant(reader: &mut Wire, identifier: &str, handle: &str) {
    reader.message().await;
    let body = format!(r#"{{"promptHandle":"{handle}","tokens":9,"version":1}}"#);
    reader.answer("200 OK", identifier, "", &body).await;
}

const LONG: &str = "Token-Counts: 9000,12\r\n";

/// A request that a prefill searcher received.
#[derive(Debug, PartialEq, Eq)]
enum PrefillRequest {
    Prefill(String),
    Release(String),
}

/// A prefill searcher that grants a new handle to each call, and reports what it received.
async fn serve_prefill(
    searcher: Searcher,
    name: &'static str,
    requests: mpsc::UnboundedSender<PrefillRequest>,
) {
    let granted = Rc::new(Cell::new(0));
    loop {
        let wire = searcher.accept().await;
        compio::runtime::spawn(serve_prefill_connection(
            wire,
            name,
            granted.clone(),
            requests.clone(),
        ))
        .detach();
    }
}

async fn serve_prefill_connection(
    mut wire: Wire,
    name: &'static str,
    granted: Rc<Cell<u32>>,
    requests: mpsc::UnboundedSender<PrefillRequest>,
) {
    while let Some((request, _)) = wire.next_message().await {
        if let Some(handle) = request.line().strip_prefix("DELETE /api/kv-handle/") {
            let handle = handle
                .strip_suffix(" HTTP/1.1")
                .expect("a version")
                .to_owned();
            let _ = requests.unbounded_send(PrefillRequest::Release(handle));
            wire.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await;
            continue;
        }
        granted.set(granted.get() + 1);
        let handle = format!("{name}-{}", granted.get());
        let body = format!(r#"{{"promptHandle":"{handle}","tokens":9,"version":1}}"#);
        let identifier = request
            .field("request-identifier")
            .expect("an id")
            .to_owned();
        let _ = requests.unbounded_send(PrefillRequest::Prefill(handle));
        wire.answer("200 OK", &identifier, "", &body).await;
    }
}

/// A proxy before two prefill searchers and three decode searchers, and a client.
struct Fleet {
    decodes: Vec<Searcher>,
    received: mpsc::UnboundedReceiver<PrefillRequest>,
    _proxy: Proxy,
    client: Wire,
    _prefills: Vec<JoinHandle<()>>,
}

impl Fleet {
    async fn start() -> Self {
        let (requests, received) = mpsc::unbounded();
        let prefills = [
            Searcher::prefill("p-1").await,
            Searcher::prefill("p-2").await,
        ];
        let mut decodes = Vec::new();
        for identifier in ["d-1", "d-2", "d-3"] {
            decodes.push(Searcher::decode(identifier).await);
        }
        let all: Vec<&Searcher> = prefills.iter().chain(&decodes).collect();
        let proxy = Proxy::serving(&all).await;
        let client = proxy.client().await;
        let serving = prefills.into_iter().zip(["one", "two"]);
        let serving =
            serving.map(|(searcher, name)| serve_prefill(searcher, name, requests.clone()));
        let prefills = serving.map(compio::runtime::spawn).collect();
        Fleet {
            decodes,
            received,
            _proxy: proxy,
            client,
            _prefills: prefills,
        }
    }

    /// The handle that was granted next.
    async fn granted(&mut self) -> String {
        match self.received.next().await.expect("the searchers run") {
            PrefillRequest::Prefill(handle) => handle,
            PrefillRequest::Release(handle) => panic!("{handle} was released"),
        }
    }

    /// The next decode send, on a new connection: the handle that it brings.
    async fn decode(&mut self) -> (Wire, String) {
        let mut wire = accept_any(&self.decodes).await;
        let (request, _) = wire.message().await;
        let source = request.field("kv-from").expect("a handle");
        let (_, handle) = source.split_once('/').expect("an address and a handle");
        (wire, handle.to_owned())
    }

    /// Rejects the next decode send; the handle that it brought.
    async fn reject_decode(&mut self, identifier: &str) -> String {
        let (mut wire, handle) = self.decode().await;
        wire.answer(
            "503 Service Unavailable",
            identifier,
            "Not-Executed: 1\r\nConnection: close\r\n",
            "",
        )
        .await;
        handle
    }

    /// Streams one event at the next decode send; the handle that it brought.
    async fn stream(&mut self, identifier: &str) -> String {
        let (mut wire, handle) = self.decode().await;
        let fields = "Server-Signature: s\r\nConnection: close\r\n";
        wire.answer("200 OK", identifier, fields, "id: 1\n\n").await;
        assert_eq!(self.client.message().await.1, "id: 1\n\n");
        handle
    }
}

#[test]
fn a_fresh_handle_is_sent_to_another_searcher_if_the_first_is_full() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet.client.ask(STREAM, "id-1", LONG, "prompt").await;
        let handle = fleet.granted().await;
        assert_eq!(fleet.reject_decode("id-1").await, handle);
        assert_eq!(fleet.stream("id-1").await, handle);
    });
}

#[test]
fn a_handle_that_is_gone_leads_to_another_prefill() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet.client.ask(STREAM, "id-1", LONG, "prompt").await;
        let gone = fleet.granted().await;
        assert_eq!(fleet.reject_decode("id-1").await, gone);
        assert_eq!(fleet.reject_decode("id-1").await, gone);
        // It is freed where it was held, and the prompt is read again.
        let anew = fleet.stream("id-1").await;
        let mut received = [fleet.received.next().await, fleet.received.next().await];
        received.sort_by_key(|request| matches!(request, Some(PrefillRequest::Release(_))));
        assert_eq!(
            received,
            [
                Some(PrefillRequest::Prefill(anew.clone())),
                Some(PrefillRequest::Release(gone.clone()))
            ]
        );
        assert_ne!(anew, gone);
    });
}

#[test]
fn after_a_trial_that_failed_the_next_rejection_leads_to_another_prefill_at_once() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet.client.ask(STREAM, "id-1", LONG, "prompt").await;
        fleet.reject_decode("id-1").await;
        fleet.reject_decode("id-1").await;
        fleet.stream("id-1").await;
        fleet.client.ask(STREAM, "id-2", LONG, "prompt").await;
        let gone = fleet.reject_decode("id-2").await;
        assert_ne!(fleet.stream("id-2").await, gone);
    });
}

#[test]
fn a_client_that_leaves_releases_the_handle() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", LONG, "prompt").await;
        let mut reader = prefill.accept().await;
        grant(&mut reader, "id-1", "aa").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        client.close().await;
        wire.rest().await;
        let (call, _) = reader.message().await;
        assert_eq!(call.line(), "DELETE /api/kv-handle/aa HTTP/1.1");
        assert_eq!(call.field("expected-instance"), Some("p-1"));
    });
}

#[test]
fn a_prefill_that_breaks_is_retried_or_left_out() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", LONG, "prompt").await;
        let mut reader = prefill.accept().await;
        reader.message().await;
        reader.reset();
        prefill.close().await;
        let mut wire = decode.accept().await;
        let (request, _) = wire.message().await;
        assert_eq!(request.field("kv-from"), None);
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\n\n").await;
        client.head().await;
        assert_eq!(client.read_chunk().await, "id: 1\n\n");
    });
}

#[test]
fn a_searcher_that_runs_a_prefill_call_gets_the_request_once() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", LONG, "prompt").await;
        let mut reader = prefill.accept().await;
        reader.message().await;
        reader.succeed("id-1", "it ran").await;
        assert_eq!(client.message().await.0.status(), 502);
    });
}

#[test]
fn a_request_in_a_prefill_queue_until_the_client_gives_up_is_refused() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", LONG, "prompt").await;
        let mut reader = prefill.accept().await;
        let (call, _) = reader.message().await;
        let remaining_ms: u64 = call
            .field("deadline-remaining")
            .expect("a deadline")
            .parse()
            .expect("a number");
        // Eight times the longest pause in time, 250 ms, is as long as the least silence that clients bear.
        assert!(remaining_ms < 2_000, "{remaining_ms}");
        // The searcher holds the call until it is given up.
        reader.rest().await;
        let (answer, _) = client.message().await;
        assert_eq!(answer.status(), 503);
        assert!(answer.field("retry-after").is_some());
    });
}
