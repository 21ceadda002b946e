//! Frames, HTTP servers and clients, and listeners, over loopback.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};
use hyper::{Request, StatusCode};
use lockusher_transport::error::{Operation, TransportError};
use lockusher_transport::frame::{self, MAX_FRAME_BYTES, arrival_limit};
use lockusher_transport::http;
use lockusher_transport::tcp;
use support::{TIME_LIMIT, UNUSED_ADDRESS, connected_pair, listener, run, serve};
use yare::parameterized;

#[test]
fn frames_arrive_complete_and_in_order_both_ways() {
    run(async {
        let (client, server) = connected_pair().await;
        let echo_lengths = compio::runtime::spawn(async move {
            let (mut reader, mut writer) = frame::split::<Vec<u8>, usize>(server).expect("splits");
            while let Ok(message) = reader.read().await {
                writer.write(&message.len()).await.expect("writes");
            }
        });
        let (mut reader, mut writer) = frame::split::<usize, Vec<u8>>(client).expect("splits");
        for length in [0, 1, 20_000, 3_000_000, 5] {
            writer.write(&vec![7u8; length]).await.expect("writes");
            assert_eq!(reader.read().await.expect("an echo"), length);
        }
        drop((reader, writer));
        echo_lengths
            .await
            .expect("the echo ends with the connection");
    });
}

/// The error with which a reader of strings rejects these bytes.
async fn read_error(sent: &[u8]) -> TransportError {
    let (client, server) = connected_pair().await;
    let (reader, mut writer) = frame::split::<(), ()>(client).expect("splits");
    writer.write_encoded(sent).await.expect("writes");
    drop((reader, writer));
    let (mut reader, _writer) = frame::split::<Vec<String>, ()>(server).expect("splits");
    reader.read().await.expect_err("the bytes are no message")
}

#[test]
fn a_frame_over_the_limit_is_rejected() {
    let error = run(read_error(&u32::MAX.to_le_bytes()));
    let expected_bytes = u32::MAX as usize;
    assert!(matches!(
        error,
        TransportError::FrameTooLong { bytes, max_bytes: MAX_FRAME_BYTES } if bytes == expected_bytes
    ));
}

#[test]
fn undecodable_bytes_are_an_error() {
    let error = run(read_error(&[3, 0, 0, 0, 255, 255, 255]));
    assert!(matches!(error, TransportError::Decode(_)));
}

#[parameterized(
    between_frames = { &[] },
    within_a_length = { &[3, 0] },
    within_a_message = { &[3, 0, 0, 0, 255] },
)]
fn the_end_of_the_stream_is_an_error(sent: &[u8]) {
    let error = run(read_error(sent));
    assert!(matches!(error, TransportError::Closed));
}

#[test]
fn a_read_that_is_dropped_loses_nothing() {
    run(async {
        let (client, server) = connected_pair().await;
        let (_reader, mut writer) = frame::split::<(), ()>(client).expect("splits");
        let (mut reader, _writer) = frame::split::<String, ()>(server).expect("splits");
        let encoded = frame::encode(&"a message in several pieces".to_owned());
        for piece in encoded.chunks(3) {
            // Polled once before the piece has arrived, then dropped.
            assert!(reader.read().now_or_never().is_none());
            writer.write_encoded(piece).await.expect("writes");
        }
        assert_eq!(
            reader.read().await.expect("the message"),
            "a message in several pieces"
        );
    });
}

#[parameterized(
    nothing_received = { 0, 0, 1_200 },
    nothing_received_in_time = { 0, 1_200, 0 },
    a_long_message_begins = { 8_000_000, 0, 1_200 },
    a_long_message_continues = { 8_000_000, 6_400, 1_200 },
    a_long_message_is_too_slow = { 8_000_000, 65_000, 200 },
    a_short_message_is_late = { 1_250, 1_200, 10 },
)]
fn the_time_limit_depends_on_the_length_of_the_message(
    announced_bytes: u32,
    elapsed_ms: u64,
    expected_ms: u64,
) {
    let inactivity_timeout = Duration::from_millis(1_200);
    let elapsed = Duration::from_millis(elapsed_ms);
    let limit = arrival_limit(inactivity_timeout, announced_bytes, elapsed);
    assert_eq!(limit, Duration::from_millis(expected_ms));
}

#[test]
fn a_read_from_a_silent_peer_times_out() {
    run(async {
        let (_client, server) = connected_pair().await;
        let (mut reader, _writer) = frame::split::<Vec<u8>, ()>(server).expect("splits");
        let error = reader.read_within(Duration::from_millis(5)).await;
        assert!(matches!(error, Err(TransportError::TimedOut { .. })));
    });
}

#[test]
fn a_write_to_a_stalled_peer_times_out() {
    run(async {
        let (client, _server) = connected_pair().await;
        let (_reader, mut writer) = frame::split::<(), Vec<u8>>(client).expect("splits");
        let frame = frame::encode(&vec![7u8; 1_000_000]);
        let error = loop {
            // The first frames fit into the kernel's socket buffers.
            if let Err(error) = writer.write_within(&frame, Duration::from_millis(50)).await {
                break error;
            }
        };
        assert!(matches!(error, TransportError::TimedOut { .. }), "{error}");
    });
}

#[test]
fn a_long_message_is_written_and_read_within_time_limits() {
    run(async {
        let (client, server) = connected_pair().await;
        let write = async {
            let (_reader, mut writer) = frame::split::<(), Vec<u8>>(client).expect("splits");
            let frame = frame::encode(&vec![7u8; 9_000_000]);
            writer.write_within(&frame, TIME_LIMIT).await
        };
        let read = async {
            let (mut reader, _writer) = frame::split::<Vec<u8>, ()>(server).expect("splits");
            reader.read_within(TIME_LIMIT).await
        };
        let (written, message) = futures_util::join!(write, read);
        written.expect("writes");
        assert_eq!(message.expect("a message").len(), 9_000_000);
    });
}

#[test]
fn an_incomplete_body_is_not_reported_as_too_long() {
    run(async {
        let (sender, mut results) = futures_channel::mpsc::unbounded();
        let (_server, address) = serve(move |request| {
            let sender = sender.clone();
            async move {
                let read = http::read_body(request.into_body(), 100).await;
                sender.unbounded_send(read).expect("the test listens");
                http::answer(StatusCode::OK, "text/plain", "")
            }
        })
        .await;
        let client = tcp::connect(address, TIME_LIMIT).await.expect("connects");
        let (reader, mut writer) = frame::split::<(), ()>(client).expect("splits");
        let head_and_part = b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc";
        writer.write_encoded(head_and_part).await.expect("writes");
        drop((reader, writer));
        let read = results.next().await.expect("a result");
        assert!(matches!(read, Err(TransportError::Http(_))), "{read:?}");
    });
}

#[test]
fn a_connection_error_names_the_operation_and_the_address() {
    run(async {
        let error = tcp::connect(UNUSED_ADDRESS, TIME_LIMIT)
            .await
            .expect_err("no listener");
        assert!(
            error
                .to_string()
                .starts_with(&format!("connect {UNUSED_ADDRESS}: ")),
            "{error}"
        );
        assert!(matches!(
            error,
            TransportError::Io {
                operation: Operation::Connect,
                address: Some(UNUSED_ADDRESS),
                ..
            }
        ));
    });
}

#[test]
fn a_request_receives_its_response() {
    run(async {
        let (_server, address) = serve(|request: Request<_>| async move {
            http::answer(
                StatusCode::OK,
                "text/plain",
                request.uri().path().to_owned(),
            )
        })
        .await;
        let response = http::get(address, "/some/path", TIME_LIMIT)
            .await
            .expect("a response");
        assert_eq!(
            (response.status, &response.body[..]),
            (StatusCode::OK, &b"/some/path"[..])
        );
    });
}

#[test]
fn a_request_without_a_response_times_out() {
    run(async {
        let (_listener, address) = listener().await;
        let error = http::get(address, "/", Duration::from_millis(500))
            .await
            .expect_err("no response");
        assert!(matches!(
            error,
            TransportError::TimedOut { operation: Operation::HttpRequest, address: Some(named) }
                if named == address
        ));
    });
}

/// A body of four bytes, read by a server that accepts at most `max_bytes`.
#[parameterized(
    at_the_limit = { 4, StatusCode::OK },
    over_the_limit = { 3, StatusCode::PAYLOAD_TOO_LARGE },
)]
fn a_body_is_read_up_to_the_limit(max_bytes: usize, expected: StatusCode) {
    run(async {
        let (_server, address) = serve(move |request: Request<_>| async move {
            match http::read_body(request.into_body(), max_bytes).await {
                Ok(body) => http::answer(StatusCode::OK, "text/plain", body),
                Err(_) => http::answer(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", ""),
            }
        })
        .await;
        let request = Request::put("/")
            .header("host", address.to_string())
            .body(http::FullBody::new(Bytes::from_static(b"body")))
            .expect("a request");
        let stream = tcp::connect(address, TIME_LIMIT).await.expect("connects");
        let response = http::exchange(stream, request).await.expect("a response");
        assert_eq!(response.status, expected);
    });
}

/// The preceding process still uses the address and ends shortly after.
#[test]
fn listening_at_an_address_in_use_succeeds_once_it_is_free() {
    run(async {
        let (first, address) = listener().await;
        let mut second = Box::pin(tcp::listen(address));
        assert!(second.as_mut().now_or_never().is_none());

        drop(first);

        let second = compio::time::timeout(TIME_LIMIT, second).await;
        second.expect("in time").expect("the address is free");
    });
}

#[test]
fn listening_at_an_address_of_another_machine_fails_immediately() {
    run(async {
        let address = "192.0.2.1:7660".parse().expect("an address");

        let error = tcp::listen(address).await.expect_err("not this machine's");

        let TransportError::Io { operation, .. } = error else {
            panic!("{error}");
        };
        assert_eq!(operation, Operation::Listen);
    });
}

/// A request whose handler waits for the test.
struct HeldRequest {
    response: compio::runtime::JoinHandle<http::Answer>,
    server: http::Server,
    release: futures_channel::oneshot::Sender<()>,
}

async fn held_request() -> HeldRequest {
    let (release, released) = futures_channel::oneshot::channel();
    let (arrived, arrival) = futures_channel::oneshot::channel();
    let once = std::rc::Rc::new(std::cell::RefCell::new(Some((arrived, released))));
    let (server, address) = serve(move |_: Request<_>| {
        let (arrived, released) = once.borrow_mut().take().expect("one request");
        async move {
            arrived.send(()).expect("the test waits");
            let _ = released.await;
            http::answer(StatusCode::OK, "text/plain", "done")
        }
    })
    .await;
    let response = compio::runtime::spawn(async move {
        http::get(address, "/", TIME_LIMIT)
            .await
            .expect("a response")
    });
    arrival.await.expect("the request arrives");
    HeldRequest {
        response,
        server,
        release,
    }
}

#[test]
fn a_server_that_shuts_down_waits_for_the_request_in_progress() {
    run(async {
        let held = held_request().await;
        let shut_down = compio::runtime::spawn(held.server.shut_down(TIME_LIMIT));
        held.release.send(()).expect("it waits");
        let response = held.response.await.expect("no panic");
        assert_eq!(
            (response.status, &*response.body),
            (StatusCode::OK, &b"done"[..])
        );
        shut_down.await.expect("no panic");
    });
}

// Guards against LOST: a request that can't be finished is answered before the process ends.
#[test]
fn a_server_that_shuts_down_answers_the_request_that_cannot_be_finished() {
    run(async {
        let held = held_request().await;
        held.server.shut_down(Duration::ZERO).await;
        let response = held.response.await.expect("no panic");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        drop(held.release);
    });
}
