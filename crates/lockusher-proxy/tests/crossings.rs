//! A searcher's faults, each forced at the moment where it matters: what runs at most once is sent again only
//! after proof, and nothing odd reaches a client as an answer.

mod support;

use support::{Ending, ONCE, Proxy, REPEAT, STREAM, Searcher, Wire, accept_either, run};
use yare::parameterized;

/// Two plain searchers behind a proxy, and a client.
async fn two_plain() -> (Searcher, Searcher, Proxy, Wire) {
    let one = Searcher::plain("i-1").await;
    let two = Searcher::plain("i-2").await;
    let proxy = Proxy::serving(&[&one, &two]).await;
    let client = proxy.client().await;
    (one, two, proxy, client)
}

/// What a searcher does once it has read the last byte of a request.
#[derive(Clone, Copy)]
enum SearcherFault {
    Reset,
    Close,
    WrongIdentifier,
    NoIdentifier,
    NoSignature,
    ShortAnswer,
    EndByClose,
    UnknownCoding,
    TwoFramings,
    NoHttp,
    UnavailableWithoutNotExecuted,
    NotExecutedOfAnother,
}

impl SearcherFault {
    async fn inject(self, mut wire: Wire, identifier: &str) {
        match self {
            SearcherFault::Reset => wire.reset(),
            SearcherFault::Close => {}
            SearcherFault::WrongIdentifier => wire.succeed("id-of-another", "roster").await,
            SearcherFault::NoIdentifier => {
                wire.write("HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            SearcherFault::NoSignature => wire.answer("200 OK", identifier, "", "roster").await,
            SearcherFault::ShortAnswer => {
                let head = "Server-Signature: s\r\nContent-Length: 9";
                wire.write(&format!(
                    "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\n{head}\r\n\r\nrost"
                ))
                .await;
            }
            SearcherFault::EndByClose => {
                let head = "Server-Signature: s\r\nConnection: close";
                wire.write(&format!(
                    "HTTP/1.1 200 OK\r\nRequest-Identifier: {identifier}\r\n{head}\r\n\r\nrost"
                ))
                .await;
            }
            SearcherFault::UnknownCoding => {
                let framing = "Server-Signature: s\r\nTransfer-Encoding: gzip\r\n";
                wire.answer("200 OK", identifier, framing, "roster").await;
            }
            SearcherFault::TwoFramings => {
                let framing = "Server-Signature: s\r\nTransfer-Encoding: chunked\r\n";
                let body = "6\r\nroster\r\n0\r\n\r\n";
                wire.answer("200 OK", identifier, framing, body).await;
            }
            SearcherFault::NoHttp => wire.write("\x01\x02 what is this\r\n\r\n").await,
            SearcherFault::UnavailableWithoutNotExecuted => {
                wire.answer("503 Service Unavailable", identifier, "", "")
                    .await;
            }
            SearcherFault::NotExecutedOfAnother => {
                wire.reject("503 Service Unavailable", "id-of-another")
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
    short_answer = { SearcherFault::ShortAnswer },
    end_by_close = { SearcherFault::EndByClose },
    unknown_coding = { SearcherFault::UnknownCoding },
    two_framings = { SearcherFault::TwoFramings },
    no_http = { SearcherFault::NoHttp },
    unavailable_without_not_executed = { SearcherFault::UnavailableWithoutNotExecuted },
    not_executed_of_another = { SearcherFault::NotExecutedOfAnother },
)]
fn a_non_idempotent_request_that_may_have_run_is_not_retried(fault: SearcherFault) {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.ask(ONCE, "id-1", "", "body").await;
        let (mut wire, other) = accept_either(&one, &two).await;
        wire.message().await;
        fault.inject(wire, "id-1").await;
        let (answer, _) = client.message().await;
        assert_eq!(answer.status(), 502);
        assert_eq!(answer.field("server-signature"), None);
        // The next connection that anyone sees carries the next request, not this one again.
        client.ask(ONCE, "id-2", "", "").await;
        let (mut wire, _) = accept_either(&one, other).await;
        assert_eq!(
            wire.message().await.0.field("request-identifier"),
            Some("id-2")
        );
    });
}

#[parameterized(
    reset = { SearcherFault::Reset },
    wrong_identifier = { SearcherFault::WrongIdentifier },
    short_answer = { SearcherFault::ShortAnswer },
    no_http = { SearcherFault::NoHttp },
)]
fn an_idempotent_request_is_retried_at_another_searcher(fault: SearcherFault) {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.ask(REPEAT, "id-1", "", "body").await;
        let (mut wire, other) = accept_either(&one, &two).await;
        wire.message().await;
        fault.inject(wire, "id-1").await;
        let mut wire = other.accept().await;
        let (request, body) = wire.message().await;
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        assert_eq!(body, "body");
        wire.succeed("id-1", "roster").await;
        assert_eq!(client.message().await.1, "roster");
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
        client.ask(ONCE, "id-1", "", "body").await;
        let (mut wire, other) = accept_either(&one, &two).await;
        wire.message().await;
        wire.answer(status, "id-1", fields, "").await;
        let mut wire = other.accept().await;
        assert_eq!(
            wire.message().await.0.field("request-identifier"),
            Some("id-1")
        );
        wire.succeed("id-1", "roster").await;
        assert_eq!(client.message().await.1, "roster");
    });
}

#[test]
fn a_connection_that_does_not_come_up_proves_that_nothing_ran() {
    run(async {
        let gone = Searcher::plain("i-1").await;
        let there = Searcher::plain("i-2").await;
        let proxy = Proxy::serving(&[&gone, &there]).await;
        gone.close().await;
        let mut client = proxy.client().await;
        for identifier in ["id-1", "id-2"] {
            client.ask(ONCE, identifier, "", "").await;
        }
        let mut wire = there.accept().await;
        for identifier in ["id-1", "id-2"] {
            assert_eq!(
                wire.message().await.0.field("request-identifier"),
                Some(identifier)
            );
            wire.succeed(identifier, "roster").await;
            assert_eq!(client.message().await.1, "roster");
        }
    });
}

#[test]
fn a_connect_timeout_proves_that_nothing_ran() {
    run(async {
        let (silent, _filling) = Searcher::silent("i-1").await;
        let there = Searcher::plain("i-2").await;
        let proxy = Proxy::serving(&[&silent, &there]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = there.accept().await;
        for number in 1..4 {
            let identifier = format!("id-{number}");
            assert_eq!(
                wire.message().await.0.field("request-identifier"),
                Some(&*identifier)
            );
            wire.succeed(&identifier, "roster").await;
            assert_eq!(client.message().await.1, "roster");
            client
                .ask(ONCE, &format!("id-{}", number + 1), "", "")
                .await;
        }
    });
}

#[test]
fn a_request_rejected_by_all_is_refused_with_retry_after() {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.ask(ONCE, "id-1", "", "body").await;
        let (mut wire, other) = accept_either(&one, &two).await;
        wire.message().await;
        wire.reject("503 Service Unavailable", "id-1").await;
        let mut wire = other.accept().await;
        wire.message().await;
        wire.reject("503 Service Unavailable", "id-1").await;
        let (answer, _) = client.message().await;
        assert_eq!(answer.status(), 503);
        let seconds: f64 = answer
            .field("retry-after")
            .expect("a time")
            .parse()
            .expect("a number");
        assert!(seconds > 0.0, "{seconds}");
    });
}

#[test]
fn a_searchers_own_failure_is_forwarded_with_its_signature() {
    run(async {
        let (one, two, _proxy, mut client) = two_plain().await;
        client.ask(ONCE, "id-1", "", "").await;
        let (mut wire, _) = accept_either(&one, &two).await;
        wire.message().await;
        wire.answer(
            "500 Internal Server Error",
            "id-1",
            "Server-Signature: sig\r\n",
            "sorry",
        )
        .await;
        let (answer, body) = client.message().await;
        assert_eq!((answer.status(), &*body), (500, "sorry"));
        assert_eq!(answer.field("server-signature"), Some("sig"));
    });
}

#[test]
fn bytes_after_a_complete_answer_belong_to_no_request() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        wire.write(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: id-1\r\nServer-Signature: s\r\nContent-Length: 6\r\n\r\nroster\
             HTTP/1.1 200 OK\r\nRequest-Identifier: id-2\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nfalse",
        )
        .await;
        assert_eq!(client.message().await.1, "roster");
        client.ask(ONCE, "id-2", "", "").await;
        let mut second = searcher.accept().await;
        second.message().await;
        second.succeed("id-2", "true").await;
        assert_eq!(client.message().await.1, "true");
    });
}

#[test]
fn bytes_on_an_idle_connection_close_it() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        wire.succeed("id-1", "roster").await;
        client.message().await;
        // A surplus answer comes late, before the next request is sent.
        wire.succeed("id-1", "roster").await;
        client.ask(ONCE, "id-2", "", "").await;
        let mut second = searcher.accept().await;
        assert_eq!(
            second.message().await.0.field("request-identifier"),
            Some("id-2")
        );
        second.succeed("id-2", "fresh").await;
        assert_eq!(client.message().await.1, "fresh");
    });
}

#[test]
fn an_idle_connection_that_was_closed_is_not_used() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        wire.succeed("id-1", "roster").await;
        client.message().await;
        wire.close().await;
        client.ask(ONCE, "id-2", "", "").await;
        let mut second = searcher.accept().await;
        second.message().await;
        second.succeed("id-2", "fresh").await;
        assert_eq!(client.message().await.1, "fresh");
    });
}

#[parameterized(
    says_close = { "Connection: close\r\n" },
    closes_soon = { "Keep-Alive: timeout=1\r\n" },
)]
fn a_connection_that_the_searcher_will_close_is_not_pooled(fields: &str) {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        wire.answer(
            "200 OK",
            "id-1",
            &format!("Server-Signature: s\r\n{fields}"),
            "roster",
        )
        .await;
        assert_eq!(client.message().await.1, "roster");
        assert_eq!(wire.rest().await, (String::new(), Ending::Closed));
    });
}

#[test]
fn a_draining_searcher_loses_its_idle_connections_and_gets_nothing_more() {
    run(async {
        let mut old = Searcher::plain("i-1").await;
        let new = Searcher::plain("i-2").await;
        let proxy = Proxy::serving(&[&old]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = old.accept().await;
        wire.message().await;
        wire.succeed("id-1", "roster").await;
        client.message().await;
        old.drain();
        proxy.list(&[&old, &new]);
        assert_eq!(wire.rest().await, (String::new(), Ending::Closed));
        for identifier in ["id-2", "id-3"] {
            client.ask(ONCE, identifier, "", "").await;
        }
        let mut wire = new.accept().await;
        for identifier in ["id-2", "id-3"] {
            assert_eq!(
                wire.message().await.0.field("request-identifier"),
                Some(identifier)
            );
            wire.succeed(identifier, "roster").await;
        }
    });
}

#[test]
fn without_a_searcher_it_is_refused() {
    run(async {
        let proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let (answer, _) = client.message().await;
        assert_eq!(answer.status(), 503);
        assert!(answer.field("retry-after").is_some());
    });
}

#[test]
fn a_searcher_without_an_answer_by_the_deadline_leads_to_504() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .write("GET /once/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Identifier: id-1\r\nDeadline-Remaining: 150\r\n\r\n")
            .await;
        let mut wire = searcher.accept().await;
        wire.head().await;
        assert_eq!(client.message().await.0.status(), 504);
        assert_ne!(wire.rest().await.0, "more");
    });
}

/// The client waits for five seconds, of which 40 ms are kept for an answer of the proxy's own and 5 ms for the
/// searcher's; of a tenth of a second it is a tenth. A proxy that works until the client has left hands on more.
#[parameterized(
    of_a_long_time = { 5_000, 4_955 },
    of_a_short_time = { 100, 85 },
)]
fn a_searchers_deadline_reserves_time_for_the_way_back(client_ms: u64, most_ms: u64) {
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
        let handed_on = searcher
            .accept()
            .await
            .head()
            .await
            .field("deadline-remaining")
            .map(str::to_owned);
        let handed_on: u64 = handed_on
            .and_then(|field| field.parse().ok())
            .expect("a number");
        assert!(handed_on <= most_ms, "{handed_on} of {client_ms}");
    });
}

/// Where in a stream it breaks.
#[derive(Clone, Copy)]
enum Point {
    BeforeTheHead,
    BeforeTheFirstEvent,
    AfterAnEvent,
    WithinAnEvent,
    BeforeTheEnd,
}

#[parameterized(
    before_the_head = { Point::BeforeTheHead },
    before_the_first_event = { Point::BeforeTheFirstEvent },
    after_an_event = { Point::AfterAnEvent },
    within_an_event = { Point::WithinAnEvent },
    before_the_end = { Point::BeforeTheEnd },
)]
fn a_broken_stream_does_not_appear_complete(point: Point) {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", "", "prompt").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        if matches!(point, Point::BeforeTheHead) {
            wire.reset();
            assert_eq!(client.message().await.0.status(), 502);
            return;
        }
        wire.begin_stream("id-1").await;
        match point {
            Point::BeforeTheHead | Point::BeforeTheFirstEvent => {}
            Point::AfterAnEvent => wire.chunk("id: 1\n\n").await,
            Point::WithinAnEvent => wire.write("e\r\nid: 1").await,
            Point::BeforeTheEnd => wire.write("7\r\nid: 1\n\n\r\n0\r\n").await,
        }
        assert_eq!(client.head().await.status(), 200);
        wire.close().await;
        let (rest, _) = client.rest().await;
        assert!(!rest.contains("0\r\n\r\n"), "{rest:?}");
    });
}

#[test]
fn a_client_that_leaves_cancels_its_stream() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", "", "prompt").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\n\n").await;
        client.head().await;
        client.close().await;
        wire.rest().await;
    });
}

#[test]
fn a_client_that_leaves_before_the_answer_cancels_its_request() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        client.close().await;
        wire.rest().await;
    });
}
