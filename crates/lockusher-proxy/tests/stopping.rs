//! SIGTERM in each state of a request: requests in flight are finished, and the proxy ends within its grace.

mod support;

use support::{Ending, ONCE, Proxy, STREAM, Searcher, run};

#[test]
fn an_idle_proxy_ends_once_the_platform_has_detected_that() {
    run(async {
        let mut proxy = Proxy::serving(&[]).await;
        proxy.stop();
        while proxy.readiness().await != 503 {}
        proxy.ended().await.expect("an orderly end");
    });
}

#[test]
fn a_draining_proxy_serves_and_closes_connections() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        proxy.stop();
        while proxy.readiness().await != 503 {}
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        wire.succeed("id-1", "roster").await;
        let (answer, body) = client.message().await;
        assert_eq!((answer.status(), &*body), (200, "roster"));
        assert_eq!(answer.field("connection"), Some("close"));
        assert_eq!(client.rest().await, (String::new(), Ending::Closed));
        proxy.ended().await.expect("an orderly end");
    });
}

#[test]
fn a_request_in_flight_is_finished() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        proxy.stop();
        while proxy.readiness().await != 503 {}
        wire.succeed("id-1", "roster").await;
        assert_eq!(client.message().await.1, "roster");
        proxy.ended().await.expect("an orderly end");
    });
}

#[test]
fn a_stream_is_finished() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let mut proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.ask(STREAM, "id-1", "", "").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\n\n").await;
        client.head().await;
        client.read_chunk().await;
        proxy.stop();
        while proxy.readiness().await != 503 {}
        wire.chunk("id: 2\n\n").await;
        assert_eq!(client.read_chunk().await, "id: 2\n\n");
        wire.end_chunks().await;
        assert_eq!(client.read_chunk().await, "");
        proxy.ended().await.expect("an orderly end");
    });
}

#[test]
fn a_request_whose_body_is_arriving_is_served() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client
            .write("POST /once/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Identifier: id-1\r\nContent-Length: 8\r\n\r\nfirst")
            .await;
        proxy.stop();
        while proxy.readiness().await != 503 {}
        client.write("end").await;
        let mut wire = searcher.accept().await;
        assert_eq!(wire.message().await.1, "firstend");
        wire.succeed("id-1", "roster").await;
        assert_eq!(client.message().await.1, "roster");
        proxy.ended().await.expect("an orderly end");
    });
}

#[test]
fn a_searcher_that_never_answers_does_not_delay_the_end() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.ask(ONCE, "id-1", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        proxy.stop();
        proxy.ended().await.expect("an orderly end");
    });
}

#[test]
fn idle_clients_are_closed_before_the_end() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut idle = proxy.client().await;
        idle.ask("/other/", "id-1", "", "").await;
        idle.message().await;
        let mut busy = proxy.client().await;
        busy.ask(ONCE, "id-2", "", "").await;
        let mut wire = searcher.accept().await;
        wire.message().await;
        proxy.stop();
        // Closed while the other client's request is still in hand.
        assert_eq!(idle.rest().await, (String::new(), Ending::Closed));
        wire.succeed("id-2", "roster").await;
        assert_eq!(busy.message().await.1, "roster");
        proxy.ended().await.expect("an orderly end");
    });
}
