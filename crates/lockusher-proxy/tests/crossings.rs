//! Injects faults of searchers at each critical point of a request: a request that isn't idempotent is retried only after
//! proof that it has not run, and no invalid response reaches a client.

mod support;

use support::{Connection, Ending, ONCE, Proxy, REPEAT, STREAM, Searcher, accept_either, run};
use yare::parameterized;

/// Two plain searchers, a proxy that serves them, and a connected client.
async fn two_plain() -> (Searcher, Searcher, Proxy, Connection) {
    let one = Searcher::plain("i-1").await;
    let two = Searcher::plain("i-2").await;
    let proxy = Proxy::serving(&[&one, &two]).await;
    let client = proxy.client().await;
    (one, two, proxy, client)
}

/// What a searcher does after it has read the last byte of a request.
#[derive(Clone, Copy)]
enum SearcherFault {
    Reset,
    Close,
    WrongIdentifier,
    NoIdentifier,
    NoSignature,
    IncompleteBody,
    EndAtClose,
    UnknownCoding,
    TwoFramings,
    NoHttp,
    UnavailableWithoutNotExecuted,
    NotExecutedWithWrongIdentifier,
}

impl SearcherFault {
    async fn inject(self, mut socket: Connection, identifier: &str) {
        match self {
            SearcherFault::Reset => socket.reset(),
            SearcherFault::Close => {}
            SearcherFault::WrongIdentifier => socket.respond_ok("id-of-another", "roster").await,
            SearcherFault::NoIdentifier => {
                socket
                    .write("HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            SearcherFault::NoSignature => socket.respond("200 OK", identifier, "", "roster").await,
            SearcherFault::IncompleteBody => {
                let head = "Server-Signature: s\r\nContent-Length: 9";
                socket
                    .write(&format!(
                        "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\n{head}\r\n\r\nrost"
                    ))
                    .await;
            }
            SearcherFault::EndAtClose => {
                let head = "Server-Signature: s\r\nConnection: close";
                socket
                    .write(&format!(
                        "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\n{head}\r\n\r\nrost"
                    ))
                    .await;
            }
            SearcherFault::UnknownCoding => {
                let framing = "Server-Signature: s\r\nTransfer-Encoding: gzip\r\n";
                socket
                    .respond("200 OK", identifier, framing, "roster")
                    .await;
            }
            SearcherFault::TwoFramings => {
                let framing = "Server-Signature: s\r\nTransfer-Encoding: chunked\r\n";
                let body = "6\r\nroster\r\n0\r\n\r\n";
                socket.respond("200 OK", identifier, framing, body).await;
            }
            SearcherFault::NoHttp => socket.write("\x01\x02 what is this\r\n\r\n").await,
            SearcherFault::UnavailableWithoutNotExecuted => {
                socket
                    .respond("503 Service Unavailable", identifier, "", "")
                    .await;
            }
            SearcherFault::NotExecutedWithWrongIdentifier => {
                socket
                    .reject("503 Service Unavailable", "id-of-another")
                    .await;
            }
        }
    }
}

#[parameterized(
    reset = { SearcherFault::Reset },
    close = { SearcherFault::Close },
    wrong_identifier = { SearcherFault::WrongIdentifier },
    no_identifier = { SearcherFault::NoIdentifier },
    no_signature = { SearcherFault::NoSignature },
    incomplete_body = { SearcherFault::IncompleteBody },
    end_at_close = { SearcherFault::EndAtClose },
    unknown_coding = { SearcherFault::UnknownCoding },
    two_framings = { SearcherFault::TwoFramings },
    no_http = { SearcherFault::NoHttp },
    unavailable_without_not_executed = { SearcherFault::UnavailableWithoutNotExecuted },
    not_executed_with_wrong_identifier = { SearcherFault::NotExecutedWithWrongIdentifier },
)]
fn a_non_idempotent_request_that_may_have_run_is_not_retried(fault: SearcherFault) {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.send_request(ONCE, "id-1", "", "body").await;
        let (mut connection, other) = accept_either(&one, &two).await;
        connection.read_message().await;
        fault.inject(connection, "id-1").await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 502);
        assert_eq!(response.field("server-signature"), None);
        // The next request on any connection is a new one, not a retry of this one.
        client.send_request(ONCE, "id-2", "", "").await;
        let (mut connection, _) = accept_either(&one, other).await;
        assert_eq!(
            connection
                .read_message()
                .await
                .0
                .field("request-identifier"),
            Some("id-2")
        );
    });
}

#[parameterized(
    reset = { SearcherFault::Reset },
    wrong_identifier = { SearcherFault::WrongIdentifier },
    incomplete_body = { SearcherFault::IncompleteBody },
    no_http = { SearcherFault::NoHttp },
)]
fn an_idempotent_request_is_retried_at_another_searcher(fault: SearcherFault) {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.send_request(REPEAT, "id-1", "", "body").await;
        let (mut connection, other) = accept_either(&one, &two).await;
        connection.read_message().await;
        fault.inject(connection, "id-1").await;
        let mut connection = other.accept().await;
        let (request, body) = connection.read_message().await;
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        assert_eq!(body, "body");
        connection.respond_ok("id-1", "roster").await;
        assert_eq!(client.read_message().await.1, "roster");
    });
}

#[parameterized(
    full = { "503 Service Unavailable", "Not-Executed: 1\r\n" },
    too_many = { "429 Too Many Requests", "Not-Executed: 1\r\n" },
    misdirected = { "421 Misdirected Request", "Instance-Identifier: i-9\r\n" },
)]
fn a_request_that_has_not_run_is_retried_at_another_searcher(status: &str, fields: &str) {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.send_request(ONCE, "id-1", "", "body").await;
        let (mut connection, other) = accept_either(&one, &two).await;
        connection.read_message().await;
        connection.respond(status, "id-1", fields, "").await;
        let mut connection = other.accept().await;
        assert_eq!(
            connection
                .read_message()
                .await
                .0
                .field("request-identifier"),
            Some("id-1")
        );
        connection.respond_ok("id-1", "roster").await;
        assert_eq!(client.read_message().await.1, "roster");
    });
}

#[test]
fn a_refused_connection_proves_that_the_request_has_not_run() {
    run(async {
        let unreachable = Searcher::plain("i-1").await;
        let reachable = Searcher::plain("i-2").await;
        let proxy = Proxy::serving(&[&unreachable, &reachable]).await;
        unreachable.close().await;
        let mut client = proxy.client().await;
        for identifier in ["id-1", "id-2"] {
            client.send_request(ONCE, identifier, "", "").await;
        }
        let mut connection = reachable.accept().await;
        for identifier in ["id-1", "id-2"] {
            assert_eq!(
                connection
                    .read_message()
                    .await
                    .0
                    .field("request-identifier"),
                Some(identifier)
            );
            connection.respond_ok(identifier, "roster").await;
            assert_eq!(client.read_message().await.1, "roster");
        }
    });
}

#[test]
fn a_connect_timeout_proves_that_the_request_has_not_run() {
    run(async {
        let (unresponsive, _backlog) = Searcher::unresponsive("i-1").await;
        let reachable = Searcher::plain("i-2").await;
        let proxy = Proxy::serving(&[&unresponsive, &reachable]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = reachable.accept().await;
        for number in 1..4 {
            let identifier = format!("id-{number}");
            assert_eq!(
                connection
                    .read_message()
                    .await
                    .0
                    .field("request-identifier"),
                Some(&*identifier)
            );
            connection.respond_ok(&identifier, "roster").await;
            assert_eq!(client.read_message().await.1, "roster");
            client
                .send_request(ONCE, &format!("id-{}", number + 1), "", "")
                .await;
        }
    });
}

#[test]
fn a_request_rejected_by_all_searchers_is_refused_with_retry_after() {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.send_request(ONCE, "id-1", "", "body").await;
        let (mut connection, other) = accept_either(&one, &two).await;
        connection.read_message().await;
        connection.reject("503 Service Unavailable", "id-1").await;
        let mut connection = other.accept().await;
        connection.read_message().await;
        connection.reject("503 Service Unavailable", "id-1").await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 503);
        let seconds: f64 = response
            .field("retry-after")
            .expect("a time")
            .parse()
            .expect("a number");
        assert!(seconds > 0.0, "{seconds}");
    });
}

#[test]
fn a_server_error_is_forwarded_with_its_signature() {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let (mut connection, _) = accept_either(&one, &two).await;
        connection.read_message().await;
        connection
            .respond(
                "500 Internal Server Error",
                "id-1",
                "Server-Signature: sig\r\n",
                "sorry",
            )
            .await;
        let (response, body) = client.read_message().await;
        assert_eq!((response.status(), &*body), (500, "sorry"));
        assert_eq!(response.field("server-signature"), Some("sig"));
    });
}

#[test]
fn bytes_after_a_complete_response_are_discarded_with_the_connection() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection.write(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: id-1\r\nServer-Signature: s\r\nContent-Length: 6\r\n\r\nroster\
             HTTP/1.1 200 OK\r\nRequest-Identifier: id-2\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nfalse",
        )
        .await;
        assert_eq!(client.read_message().await.1, "roster");
        client.send_request(ONCE, "id-2", "", "").await;
        let mut second = searcher.accept().await;
        second.read_message().await;
        second.respond_ok("id-2", "true").await;
        assert_eq!(client.read_message().await.1, "true");
    });
}

#[test]
fn bytes_on_an_idle_connection_close_it() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection.respond_ok("id-1", "roster").await;
        client.read_message().await;
        // A surplus response arrives on the idle connection, before the next request is sent.
        connection.respond_ok("id-1", "roster").await;
        client.send_request(ONCE, "id-2", "", "").await;
        let mut second = searcher.accept().await;
        assert_eq!(
            second.read_message().await.0.field("request-identifier"),
            Some("id-2")
        );
        second.respond_ok("id-2", "fresh").await;
        assert_eq!(client.read_message().await.1, "fresh");
    });
}

#[test]
fn an_idle_connection_that_was_closed_is_not_used() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection.respond_ok("id-1", "roster").await;
        client.read_message().await;
        connection.close().await;
        client.send_request(ONCE, "id-2", "", "").await;
        let mut second = searcher.accept().await;
        second.read_message().await;
        second.respond_ok("id-2", "fresh").await;
        assert_eq!(client.read_message().await.1, "fresh");
    });
}

#[parameterized(
    connection_close = { "Connection: close\r\n" },
    short_keep_alive = { "Keep-Alive: timeout=1\r\n" },
)]
fn a_connection_that_the_searcher_will_close_is_not_pooled(fields: &str) {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection
            .respond(
                "200 OK",
                "id-1",
                &format!("Server-Signature: s\r\n{fields}"),
                "roster",
            )
            .await;
        assert_eq!(client.read_message().await.1, "roster");
        assert_eq!(
            connection.read_to_end().await,
            (String::new(), Ending::Closed)
        );
    });
}

#[test]
fn a_draining_searcher_loses_its_idle_connections_and_gets_no_further_requests() {
    run(async {
        let mut old = Searcher::plain("i-1").await;
        let new = Searcher::plain("i-2").await;
        let proxy = Proxy::serving(&[&old]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = old.accept().await;
        connection.read_message().await;
        connection.respond_ok("id-1", "roster").await;
        client.read_message().await;
        old.drain();
        proxy.update_instances(&[&old, &new]);
        assert_eq!(
            connection.read_to_end().await,
            (String::new(), Ending::Closed)
        );
        for identifier in ["id-2", "id-3"] {
            client.send_request(ONCE, identifier, "", "").await;
        }
        let mut connection = new.accept().await;
        for identifier in ["id-2", "id-3"] {
            assert_eq!(
                connection
                    .read_message()
                    .await
                    .0
                    .field("request-identifier"),
                Some(identifier)
            );
            connection.respond_ok(identifier, "roster").await;
        }
    });
}

#[test]
fn a_request_without_a_searcher_is_refused() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 503);
        assert!(response.field("retry-after").is_some());
    });
}

#[test]
fn a_searcher_that_does_not_respond_by_the_deadline_leads_to_504() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .write("GET /once/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Identifier: id-1\r\nDeadline-Remaining: 150\r\n\r\n")
            .await;
        let mut connection = searcher.accept().await;
        connection.read_head().await;
        assert_eq!(client.read_message().await.0.status(), 504);
        assert_ne!(connection.read_to_end().await.0, "more");
    });
}

/// Of a client's deadline of five seconds, 40 ms are reserved for a response of the proxy itself and 5 ms for the transit of
/// the searcher's; of a deadline of 0.1 s, a tenth (10 ms) and 5 ms. Without these reserves, responses would arrive after
/// the client has given up.
#[parameterized(
    long_deadline = { 5_000, 4_955 },
    short_deadline = { 100, 85 },
)]
fn a_searchers_deadline_reserves_time_for_the_response(client_ms: u64, max_ms: u64) {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .write(&format!(
                "GET /once/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Identifier: id-1\r\n\
                 Deadline-Remaining: {client_ms}\r\n\r\n"
            ))
            .await;
        let forwarded_ms = searcher
            .accept()
            .await
            .read_head()
            .await
            .field("deadline-remaining")
            .map(str::to_owned);
        let forwarded_ms: u64 = forwarded_ms
            .and_then(|field| field.parse().ok())
            .expect("a number");
        assert!(forwarded_ms <= max_ms, "{forwarded_ms} of {client_ms}");
    });
}

/// Where a stream breaks.
#[derive(Clone, Copy)]
enum BreakPosition {
    BeforeTheHead,
    BeforeTheFirstEvent,
    AfterAnEvent,
    WithinAnEvent,
    BeforeTheEnd,
}

#[parameterized(
    before_the_head = { BreakPosition::BeforeTheHead },
    before_the_first_event = { BreakPosition::BeforeTheFirstEvent },
    after_an_event = { BreakPosition::AfterAnEvent },
    within_an_event = { BreakPosition::WithinAnEvent },
    before_the_end = { BreakPosition::BeforeTheEnd },
)]
fn a_broken_stream_does_not_appear_complete(point: BreakPosition) {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(STREAM, "id-1", "", "prompt").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        if matches!(point, BreakPosition::BeforeTheHead) {
            connection.reset();
            assert_eq!(client.read_message().await.0.status(), 502);
            return;
        }
        connection.send_stream_head("id-1").await;
        match point {
            BreakPosition::BeforeTheHead | BreakPosition::BeforeTheFirstEvent => {}
            BreakPosition::AfterAnEvent => connection.send_chunk("id: 1\n\n").await,
            BreakPosition::WithinAnEvent => connection.write("e\r\nid: 1").await,
            BreakPosition::BeforeTheEnd => connection.write("7\r\nid: 1\n\n\r\n0\r\n").await,
        }
        assert_eq!(client.read_head().await.status(), 200);
        connection.close().await;
        let (rest, _) = client.read_to_end().await;
        assert!(!rest.contains("0\r\n\r\n"), "{rest:?}");
    });
}

#[test]
fn a_client_disconnect_cancels_the_stream() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(STREAM, "id-1", "", "prompt").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\n\n").await;
        client.read_head().await;
        client.close().await;
        connection.read_to_end().await;
    });
}

#[test]
fn a_client_disconnect_before_the_response_cancels_the_request() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        client.close().await;
        connection.read_to_end().await;
    });
}
