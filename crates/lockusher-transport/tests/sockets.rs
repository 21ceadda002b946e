//! Frames and the small HTTP server and client, over loopback.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::Runtime;
use futures_util::FutureExt;
use hyper::StatusCode;
use lockusher_transport::error::TransportError;
use lockusher_transport::{frame, http, tcp};

const LIMIT: Duration = Duration::from_secs(5);

async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = tcp::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { panic!("not IPv4") };
    (listener, address)
}

#[test]
fn frames_arrive_whole_and_in_order_both_ways() {
    Runtime::new().unwrap().block_on(async {
        let (listener, address) = listener().await;
        let server = compio::runtime::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let (mut reader, mut writer) = frame::split::<Vec<u8>, usize>(stream).unwrap();
            while let Ok(message) = reader.read().await {
                writer.write(&message.len()).await.unwrap();
            }
        });
        let stream = tcp::connect(address, LIMIT).await.unwrap();
        let (mut reader, mut writer) = frame::split::<usize, Vec<u8>>(stream).unwrap();
        for length in [0, 1, 20_000, 3_000_000, 5] {
            writer.write(&vec![7u8; length]).await.unwrap();
            assert_eq!(reader.read().await.unwrap(), length);
        }
        drop((reader, writer));
        server.await.unwrap();
    });
}

#[test]
fn a_frame_over_the_limit_is_refused() {
    Runtime::new().unwrap().block_on(async {
        let (listener, address) = listener().await;
        let stream = tcp::connect(address, LIMIT).await.unwrap();
        let (_reader, mut writer) = frame::split::<(), ()>(stream).unwrap();
        writer.write_encoded(&u32::MAX.to_le_bytes()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (mut reader, _writer) = frame::split::<Vec<u8>, ()>(stream).unwrap();
        assert!(matches!(reader.read().await, Err(TransportError::FrameTooLong { .. })));
    });
}

#[test]
fn bytes_that_are_no_message_are_an_error() {
    Runtime::new().unwrap().block_on(async {
        let (listener, address) = listener().await;
        let stream = tcp::connect(address, LIMIT).await.unwrap();
        let (_reader, mut writer) = frame::split::<(), ()>(stream).unwrap();
        writer.write_encoded(&[3, 0, 0, 0, 255, 255, 255]).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (mut reader, _writer) = frame::split::<Vec<String>, ()>(stream).unwrap();
        assert!(matches!(reader.read().await, Err(TransportError::Decode(_))));
    });
}

#[test]
fn a_request_is_answered() {
    Runtime::new().unwrap().block_on(async {
        let (listener, address) = listener().await;
        let handler = |request: hyper::Request<_>| async move {
            http::answer(StatusCode::OK, "text/plain", request.uri().path().to_owned())
        };
        compio::runtime::spawn(http::serve(listener, handler)).detach();
        let answer = http::get(address, "/some/path", LIMIT).await.unwrap();
        assert_eq!((answer.status, &answer.body[..]), (StatusCode::OK, &b"/some/path"[..]));
    });
}

#[test]
fn a_reader_that_gives_up_waiting_loses_nothing() {
    Runtime::new().unwrap().block_on(async {
        let (listener, address) = listener().await;
        let stream = tcp::connect(address, LIMIT).await.unwrap();
        let (_reader, mut writer) = frame::split::<(), ()>(stream).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (mut reader, _writer) = frame::split::<String, ()>(stream).unwrap();
        let whole = frame::encode(&"a message in several pieces".to_owned());
        for piece in whole.chunks(3) {
            // Polled once before the piece is there, then dropped.
            assert!(reader.read().now_or_never().is_none());
            writer.write_encoded(piece).await.unwrap();
        }
        assert_eq!(reader.read().await.unwrap(), "a message in several pieces");
    });
}
