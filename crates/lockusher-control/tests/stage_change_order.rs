//! The HTTP request of an order, received by a scripted searcher on loopback, and the outcome of each response.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::TcpListener;
use hyper::StatusCode;
use lockusher_config::instances::Stage;
use lockusher_control::driver::stage_change_order::{order_outcome, stage_change_request};
use lockusher_control::stage_scheduler::{OrderOutcome, StageChange};
use lockusher_transport::{http, tcp};
use yare::parameterized;

const RESPONSE: &[u8] =
    b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";

fn change(address: SocketAddrV4) -> StageChange {
    StageChange {
        service: "llm".to_owned(),
        identifier: "i-7f3a91c2".to_owned(),
        address: address.to_string(),
        from: Stage::Decode,
        to: Stage::Prefill,
    }
}

/// Reads one request, with a body as long as its `content-length`.
async fn read_request(stream: &mut compio::net::TcpStream) -> String {
    let mut text = String::new();
    loop {
        let (read, buffer) = stream.read(Vec::with_capacity(4_096)).await.into();
        let read = read.expect("a request");
        assert!(
            read > 0,
            "the connection ended within the request: {text:?}"
        );
        text.push_str(std::str::from_utf8(&buffer[..read]).expect("text"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .expect("a length");
        if body.len() == length.parse::<usize>().expect("a number") {
            return text;
        }
    }
}

#[compio::test]
async fn an_order_contains_searcher_stage_holder_and_fencing_token() {
    let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a listener");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("IPv4")
    };
    let searcher = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let request = read_request(&mut stream).await;
        stream
            .write_all(RESPONSE)
            .await
            .0
            .expect("the response is written");
        stream.flush().await.expect("the response is flushed");
        request
    });
    let stream = tcp::connect(address, std::time::Duration::from_secs(5))
        .await
        .expect("a connection");
    tcp::discard_on_close(&stream).expect("an option");
    let request = stage_change_request(address, &change(address), "node-7", 41).expect("a request");
    let answer = http::exchange(stream, request).await.expect("a response");
    assert_eq!(order_outcome(answer.status), OrderOutcome::Accepted);
    let request = searcher.await.expect("the searcher's task");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("POST /api/order HTTP/1.1\r\n"), "{head}");
    assert!(head.contains("content-type: application/json"), "{head}");
    assert!(head.contains("expected-instance: i-7f3a91c2"), "{head}");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let expected = serde_json::json!({"operation": "stage", "stage": "prefill", "holder": "node-7", "fence": 41});
    assert_eq!(body, expected);
}

#[parameterized(
    already_in_the_stage = { 200, OrderOutcome::Accepted },
    started = { 202, OrderOutcome::Accepted },
    unsupported_order = { 400, OrderOutcome::Unsupported },
    another_order_in_flight = { 409, OrderOutcome::Rejected },
    fencing_token_too_low = { 412, OrderOutcome::Rejected },
    another_searcher = { 421, OrderOutcome::Rejected },
    internal_error = { 500, OrderOutcome::Unknown },
)]
fn the_response_status_determines_the_outcome_of_the_order(status: u16, outcome: OrderOutcome) {
    assert_eq!(
        order_outcome(StatusCode::from_u16(status).expect("a status")),
        outcome
    );
}
