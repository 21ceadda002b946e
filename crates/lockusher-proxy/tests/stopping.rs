//! Graceful shutdown in each state of a request: requests in flight are finished, and the proxy ends within its grace period.

mod support;

use support::{Ending, ONCE, Proxy, STREAM, Searcher, run};

#[test]
fn an_idle_proxy_ends_after_the_readiness_detection_time() {
    run(async {
        let mut proxy = Proxy::serving(&[]).await;
        proxy.stop();
        while proxy.readiness_status().await != 503 {}
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

#[test]
fn a_draining_proxy_serves_and_closes_connections() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        proxy.stop();
        while proxy.readiness_status().await != 503 {}
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection.respond_ok("id-1", "roster").await;
        let (response, body) = client.read_message().await;
        assert_eq!((response.status(), &*body), (200, "roster"));
        assert_eq!(response.field("connection"), Some("close"));
        assert_eq!(client.read_to_end().await, (String::new(), Ending::Closed));
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

#[test]
fn a_request_in_flight_is_finished() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        proxy.stop();
        while proxy.readiness_status().await != 503 {}
        connection.respond_ok("id-1", "roster").await;
        assert_eq!(client.read_message().await.1, "roster");
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

#[test]
fn a_stream_in_flight_is_finished() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let mut proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(STREAM, "id-1", "", "").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\n\n").await;
        client.read_head().await;
        client.read_chunk().await;
        proxy.stop();
        while proxy.readiness_status().await != 503 {}
        connection.send_chunk("id: 2\n\n").await;
        assert_eq!(client.read_chunk().await, "id: 2\n\n");
        connection.send_last_chunk().await;
        assert_eq!(client.read_chunk().await, "");
        proxy.wait_for_exit().await.expect("a graceful shutdown");
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
        while proxy.readiness_status().await != 503 {}
        client.write("end").await;
        let mut connection = searcher.accept().await;
        assert_eq!(connection.read_message().await.1, "firstend");
        connection.respond_ok("id-1", "roster").await;
        assert_eq!(client.read_message().await.1, "roster");
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

#[test]
fn a_searcher_that_never_responds_does_not_delay_the_shutdown() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        proxy.stop();
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

#[test]
fn idle_clients_are_closed_before_requests_in_flight_are_finished() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut idle = proxy.client().await;
        idle.send_request("/other/", "id-1", "", "").await;
        idle.read_message().await;
        let mut busy = proxy.client().await;
        busy.send_request(ONCE, "id-2", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        proxy.stop();
        // It is closed while the other client's request is still in flight.
        assert_eq!(idle.read_to_end().await, (String::new(), Ending::Closed));
        connection.respond_ok("id-2", "roster").await;
        assert_eq!(busy.read_message().await.1, "roster");
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}
