//! Graceful shutdown in each state of a connection and of a request: what can be finished is finished, what is sent too late
//! is refused, and the proxy ends within its grace period.

mod support;

use std::pin::pin;

use futures_util::future::{Either, select};
use support::{Connection, Ending, HOST, Head, ONCE, Proxy, STREAM, Searcher, run};

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

/// A request whose client waits longer than the grace period lasts.
const LONG_DEADLINE: &str = "Deadline-Remaining: 5000\r\n";
/// A request that ends within the grace period, whatever becomes of it.
const SHORT_DEADLINE: &str = "Deadline-Remaining: 300\r\n";

/// A client whose stream has begun, and the searcher's end of it.
async fn streaming_client(proxy: &Proxy, decode: &Searcher) -> (Connection, Connection) {
    let mut client = proxy.client().await;
    client.send_request(STREAM, "stream", "", "").await;
    let mut connection = decode.accept().await;
    connection.read_message().await;
    connection.send_stream_head("stream").await;
    connection.send_chunk("id: 1\n\n").await;
    client.read_head().await;
    client.read_chunk().await;
    (client, connection)
}

/// Stops the proxy and waits until it has closed idle connections: it reads no new requests from then on.
async fn stop_and_wait_until_idle_clients_are_closed(proxy: &mut Proxy) {
    let mut idle = proxy.client().await;
    idle.send_request("/other/", "idle", "", "").await;
    idle.read_message().await;
    proxy.stop();
    assert_eq!(idle.read_to_end().await, (String::new(), Ending::Closed));
}

/// The text of a request without a body.
fn request_text(path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: late\r\nContent-Length: 0\r\n{fields}\r\n"
    )
}

// Guards against LOST: a request on a connection whose stream outlasted the closing of idle connections was forwarded, and
// cut when the process ended.
#[test]
fn a_connection_is_closed_after_a_stream_that_outlasts_the_closing_of_idle_ones() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let mut proxy = Proxy::serving(&[&decode]).await;
        let (mut client, mut connection) = streaming_client(&proxy, &decode).await;
        stop_and_wait_until_idle_clients_are_closed(&mut proxy).await;
        connection.send_last_chunk().await;
        assert_eq!(client.read_chunk().await, "");
        assert_eq!(client.read_to_end().await, (String::new(), Ending::Closed));
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

// Guards against LOST: as above, with the next request already sent when the stream ends. It has been read, so that it
// needs an answer.
#[test]
fn a_request_that_was_sent_behind_a_stream_is_refused_if_it_would_outlast_the_process() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let mut proxy = Proxy::serving(&[&decode]).await;
        let (mut client, mut connection) = streaming_client(&proxy, &decode).await;
        stop_and_wait_until_idle_clients_are_closed(&mut proxy).await;
        client.write(&request_text(STREAM, LONG_DEADLINE)).await;
        connection.send_last_chunk().await;
        assert_eq!(client.read_chunk().await, "");
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.field("retry-after"), Some("0.000"));
        assert_eq!(response.field("connection"), Some("close"));
        assert_eq!(client.read_to_end().await, (String::new(), Ending::Closed));
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

/// A client that has sent half of a head when idle clients are closed, and sends the rest then.
async fn client_whose_head_was_half_read(proxy: &mut Proxy, fields: &str) -> Connection {
    let mut client = proxy.client().await;
    let text = request_text(ONCE, fields);
    let (first, rest) = text.split_at(40);
    client.write(first).await;
    stop_and_wait_until_idle_clients_are_closed(proxy).await;
    client.write(rest).await;
    client
}

// Guards against LOST: the rest of a head may arrive when idle connections have been closed.
#[test]
fn a_request_whose_head_was_half_read_is_refused_if_it_would_outlast_the_process() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = client_whose_head_was_half_read(&mut proxy, LONG_DEADLINE).await;
        let (response, _) = client.read_message().await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.field("connection"), Some("close"));
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

#[test]
fn a_request_whose_head_was_half_read_is_served_if_it_ends_in_time() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = client_whose_head_was_half_read(&mut proxy, SHORT_DEADLINE).await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        connection.respond_ok("late", "roster").await;
        let (response, body) = client.read_message().await;
        assert_eq!((response.status(), &*body), (200, "roster"));
        assert_eq!(response.field("connection"), Some("close"));
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}

/// The head of the response that a client receives before the proxy has shut down.
async fn response_before_exit(client: &mut Connection, proxy: Proxy) -> Head {
    let response = pin!(client.read_message());
    let exit = pin!(proxy.wait_for_exit());
    let Either::Left(((response, _), exit)) = select(response, exit).await else {
        panic!("the proxy ends before it answers");
    };
    exit.await.expect("a graceful shutdown");
    response
}

// Guards against LOST: a request in progress at the end of the grace period was cut without an answer, though the searcher
// had not begun to respond.
#[test]
fn a_request_that_no_searcher_has_answered_by_the_end_is_answered() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        let mut proxy = Proxy::serving(&[&searcher]).await;
        let mut client = proxy.client().await;
        client.send_request(ONCE, "id-1", "", "").await;
        let mut connection = searcher.accept().await;
        connection.read_message().await;
        proxy.stop();
        let response = response_before_exit(&mut client, proxy).await;
        assert_eq!(response.status(), 504);
        assert_eq!(response.field("connection"), Some("close"));
    });
}

// Guards against LOST: the same for a request that has not been forwarded, because its body is incomplete.
#[test]
fn a_request_whose_body_is_incomplete_at_the_end_is_refused() {
    run(async {
        let mut proxy = Proxy::serving(&[]).await;
        let mut client = proxy.client().await;
        client
            .write(&format!(
                "POST {ONCE} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: id-1\r\nContent-Length: 8\r\n\r\nhalf"
            ))
            .await;
        proxy.stop();
        let response = response_before_exit(&mut client, proxy).await;
        assert_eq!(response.status(), 503);
    });
}

// Guards against LOST: closing the listener resets the clients that wait in its accept queue, with their requests.
#[test]
fn a_request_in_the_accept_queue_is_answered() {
    run(async {
        let searcher = Searcher::plain("i-1").await;
        // 220 descriptors are reserved for other uses, which leaves eight.
        let mut proxy = Proxy::with_settings(|settings| settings.limits.file_descriptors = 228);
        proxy.configure(&[&searcher]).await;
        let mut busy = Vec::new();
        for number in 0..5 {
            let mut client = proxy.client().await;
            client
                .send_request(ONCE, &format!("id-{number}"), "", "")
                .await;
            let mut connection = searcher.accept().await;
            connection.read_message().await;
            busy.push((client, connection));
        }
        // The proxy has no descriptor for it.
        let mut waiting = proxy.client().await;
        waiting.write(&request_text(ONCE, LONG_DEADLINE)).await;
        proxy.stop();
        let (response, _) = waiting.read_message().await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.field("retry-after"), Some("0.000"));
        for (number, (client, connection)) in busy.iter_mut().enumerate() {
            connection
                .respond_ok(&format!("id-{number}"), "roster")
                .await;
            assert_eq!(client.read_message().await.1, "roster");
        }
        proxy.wait_for_exit().await.expect("a graceful shutdown");
    });
}
