//! Framing and sizes of the stand-ins' responses, and clients on slow links.

use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lockusher_router_testbed::framing::{BodyFraming, body_size};
use lockusher_router_testbed::http::{Connection, Response, SlowLink};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(5);

fn request_ids() -> impl Iterator<Item = String> {
    (0..2_000).map(|number| format!("r{number}"))
}

/// Sends bytes on a connection from a thread of its own; returns the connection's other end.
fn connection_with(bytes: Vec<u8>, link: Option<SlowLink>) -> (Connection, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let sender = std::thread::spawn(move || {
        let (stream, _): (TcpStream, _) = listener.accept().expect("a connection");
        Connection::new(stream).write(&bytes).expect("written");
    });
    let connection = match link {
        Some(link) => Connection::open_over(link, address, TIMEOUT),
        None => Connection::open(address, TIMEOUT),
    };
    let mut connection = connection.expect("connects");
    connection.set_deadline(Some(Instant::now() + TIMEOUT));
    (connection, sender)
}

#[parameterized(
    chunked = { BodyFraming::Chunked },
    with_a_length = { BodyFraming::Length },
)]
fn a_response_is_read_as_it_was_framed(framing: BodyFraming) {
    let response = Response::new(200).body("roster");
    let (mut connection, sender) = connection_with(framing.encode(&response), None);
    let read = connection.read_response().expect("a response");
    assert_eq!((read.status, &read.body[..]), (200, &b"roster"[..]));
    assert!(connection.may_be_reused(&read.headers));
    sender.join().expect("it writes");
}

#[test]
fn both_framings_and_all_magnitudes_of_sizes_are_drawn() {
    let chunked = request_ids().filter(|id| BodyFraming::for_request(id) == BodyFraming::Chunked);
    assert!((500..1_500).contains(&chunked.count()));
    let sizes: Vec<usize> = request_ids()
        .map(|id| body_size(&id, &(10..=300_000)))
        .collect();
    assert!(sizes.iter().all(|size| (10..=300_000).contains(size)));
    for bounds in [
        10..100,
        100..1_000,
        1_000..10_000,
        10_000..100_000,
        100_000..300_001,
    ] {
        assert!(sizes.iter().any(|size| bounds.contains(size)), "{bounds:?}");
    }
    assert_eq!(body_size("r1", &(800..=800)), 800);
}

#[test]
fn a_slow_link_delays_a_response() {
    let link = SlowLink {
        receive_buffer_bytes: 4_096,
        segment_bytes: 536,
        bytes_per_second: 200_000,
    };
    let response = Response::new(200).body(vec![b'x'; 50_000]);
    let (mut connection, sender) = connection_with(response.to_bytes(), Some(link));
    let started = Instant::now();
    let read = connection.read_response().expect("a response");
    assert_eq!(read.body.len(), 50_000);
    assert!(started.elapsed() >= Duration::from_millis(225));
    sender.join().expect("it writes");
}
