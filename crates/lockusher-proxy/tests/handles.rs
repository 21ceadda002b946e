//! KV cache handles: transferred once, released if not transferred, and replaced by another prefill if they have expired.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use futures_channel::mpsc;
use futures_util::StreamExt;
use support::{Connection, Proxy, STREAM, Searcher, accept_any, run};

/// Reads a prefill call and responds with a handle.
async fn respond_with_handle(prefill_connection: &mut Connection, identifier: &str, handle: &str) {
    prefill_connection.read_message().await;
    let body = format!(r#"{{"promptHandle":"{handle}","tokens":9,"version":1}}"#);
    prefill_connection
        .respond("200 OK", identifier, "", &body)
        .await;
}

/// The header field of a request whose prompt is long enough for a prefill searcher.
const LONG_PROMPT: &str = "Token-Counts: 9000,12\r\n";

/// A call that a prefill searcher received, with the handle.
#[derive(Debug, PartialEq, Eq)]
enum PrefillSearcherCall {
    Prefill(String),
    Release(String),
}

/// A prefill searcher that returns a new handle to each prefill call, and reports each call that it receives.
async fn serve_prefill(
    searcher: Searcher,
    name: &'static str,
    calls: mpsc::UnboundedSender<PrefillSearcherCall>,
) {
    let handle_count = Rc::new(Cell::new(0));
    loop {
        let connection = searcher.accept().await;
        compio::runtime::spawn(serve_prefill_connection(
            connection,
            name,
            handle_count.clone(),
            calls.clone(),
        ))
        .detach();
    }
}

/// Serves the prefill and release calls of one connection.
async fn serve_prefill_connection(
    mut connection: Connection,
    name: &'static str,
    handle_count: Rc<Cell<u32>>,
    calls: mpsc::UnboundedSender<PrefillSearcherCall>,
) {
    while let Some((request, _)) = connection.try_read_message().await {
        if let Some(handle) = request.first_line().strip_prefix("DELETE /api/kv-handle/") {
            let handle = handle
                .strip_suffix(" HTTP/1.1")
                .expect("a version")
                .to_owned();
            let _ = calls.unbounded_send(PrefillSearcherCall::Release(handle));
            connection
                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await;
            continue;
        }
        handle_count.set(handle_count.get() + 1);
        let handle = format!("{name}-{}", handle_count.get());
        let body = format!(r#"{{"promptHandle":"{handle}","tokens":9,"version":1}}"#);
        let identifier = request
            .field("request-identifier")
            .expect("an id")
            .to_owned();
        let _ = calls.unbounded_send(PrefillSearcherCall::Prefill(handle));
        connection.respond("200 OK", &identifier, "", &body).await;
    }
}

/// Two prefill searchers, three decode searchers, a proxy that serves them, and a connected client.
struct Fleet {
    decodes: Vec<Searcher>,
    received: mpsc::UnboundedReceiver<PrefillSearcherCall>,
    _proxy: Proxy,
    client: Connection,
    _prefills: Vec<JoinHandle<()>>,
}

impl Fleet {
    async fn start() -> Self {
        let (calls, received) = mpsc::unbounded();
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
        let serving = serving.map(|(searcher, name)| serve_prefill(searcher, name, calls.clone()));
        let prefills = serving.map(compio::runtime::spawn).collect();
        Fleet {
            decodes,
            received,
            _proxy: proxy,
            client,
            _prefills: prefills,
        }
    }

    /// The handle of the next prefill call.
    async fn next_handle(&mut self) -> String {
        match self.received.next().await.expect("the searchers run") {
            PrefillSearcherCall::Prefill(handle) => handle,
            PrefillSearcherCall::Release(handle) => panic!("{handle} was released"),
        }
    }

    /// Accepts the next decode send on a new connection; returns the connection and the handle that the send carries.
    async fn accept_decode(&mut self) -> (Connection, String) {
        let mut connection = accept_any(&self.decodes).await;
        let (request, _) = connection.read_message().await;
        let source = request.field("kv-from").expect("a handle");
        let (_, handle) = source.split_once('/').expect("an address and a handle");
        (connection, handle.to_owned())
    }

    /// Rejects the next decode send; returns the handle that it carried.
    async fn reject_decode(&mut self, identifier: &str) -> String {
        let (mut connection, handle) = self.accept_decode().await;
        connection
            .respond(
                "503 Service Unavailable",
                identifier,
                "Not-Executed: 1\r\nConnection: close\r\n",
                "",
            )
            .await;
        handle
    }

    /// Responds to the next decode send with one event; returns the handle that it carried.
    async fn complete_decode(&mut self, identifier: &str) -> String {
        let (mut connection, handle) = self.accept_decode().await;
        let fields = "Server-Signature: s\r\nConnection: close\r\n";
        connection
            .respond("200 OK", identifier, fields, "id: 1\n\n")
            .await;
        assert_eq!(self.client.read_message().await.1, "id: 1\n\n");
        handle
    }
}

#[test]
fn a_fresh_handle_is_sent_to_another_searcher_if_the_first_is_full() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet
            .client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        let handle = fleet.next_handle().await;
        assert_eq!(fleet.reject_decode("id-1").await, handle);
        assert_eq!(fleet.complete_decode("id-1").await, handle);
    });
}

#[test]
fn an_expired_handle_leads_to_another_prefill() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet
            .client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        let expired = fleet.next_handle().await;
        assert_eq!(fleet.reject_decode("id-1").await, expired);
        assert_eq!(fleet.reject_decode("id-1").await, expired);
        // The handle is released at its prefill searcher, and the prompt is prefilled again.
        let replacement = fleet.complete_decode("id-1").await;
        let mut received = [fleet.received.next().await, fleet.received.next().await];
        received.sort_by_key(|request| matches!(request, Some(PrefillSearcherCall::Release(_))));
        assert_eq!(
            received,
            [
                Some(PrefillSearcherCall::Prefill(replacement.clone())),
                Some(PrefillSearcherCall::Release(expired.clone()))
            ]
        );
        assert_ne!(replacement, expired);
    });
}

#[test]
fn after_a_failed_transfer_retry_the_next_rejection_leads_to_another_prefill_at_once() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet
            .client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        fleet.reject_decode("id-1").await;
        fleet.reject_decode("id-1").await;
        fleet.complete_decode("id-1").await;
        fleet
            .client
            .send_request(STREAM, "id-2", LONG_PROMPT, "prompt")
            .await;
        let expired = fleet.reject_decode("id-2").await;
        assert_ne!(fleet.complete_decode("id-2").await, expired);
    });
}

#[test]
fn a_client_disconnect_releases_the_handle() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        let mut prefill_connection = prefill.accept().await;
        respond_with_handle(&mut prefill_connection, "id-1", "aa").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        client.close().await;
        connection.read_to_end().await;
        let (call, _) = prefill_connection.read_message().await;
        assert_eq!(call.first_line(), "DELETE /api/kv-handle/aa HTTP/1.1");
        assert_eq!(call.field("expected-instance"), Some("p-1"));
    });
}

#[test]
fn after_a_broken_prefill_call_the_decode_searcher_prefills_in_place() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        let mut prefill_connection = prefill.accept().await;
        prefill_connection.read_message().await;
        prefill_connection.reset();
        prefill.close().await;
        let mut connection = decode.accept().await;
        let (request, _) = connection.read_message().await;
        assert_eq!(request.field("kv-from"), None);
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\n\n").await;
        client.read_head().await;
        assert_eq!(client.read_chunk().await, "id: 1\n\n");
    });
}

#[test]
fn a_request_that_a_prefill_searcher_ran_is_not_sent_again() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        let mut prefill_connection = prefill.accept().await;
        prefill_connection.read_message().await;
        prefill_connection.respond_ok("id-1", "it ran").await;
        assert_eq!(client.read_message().await.0.status(), 502);
    });
}

#[test]
fn a_request_queued_for_prefill_until_the_client_gives_up_is_refused() {
    run(async {
        let prefill = Searcher::prefill("p-1").await;
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&prefill, &decode]).await;
        let mut client = proxy.client().await;
        client
            .send_request(STREAM, "id-1", LONG_PROMPT, "prompt")
            .await;
        let mut prefill_connection = prefill.accept().await;
        let (call, _) = prefill_connection.read_message().await;
        let remaining_ms: u64 = call
            .field("deadline-remaining")
            .expect("a deadline")
            .parse()
            .expect("a number");
        // Eight times the target gap of 250 ms is 2 s, the same as clients' minimum inactivity timeout.
        assert!(remaining_ms < 2_000, "{remaining_ms}");
        // The searcher keeps the call queued until the proxy cancels it.
        prefill_connection.read_to_end().await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 503);
        assert!(response.field("retry-after").is_some());
    });
}
