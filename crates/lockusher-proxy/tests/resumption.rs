//! Resumable streams: a broken stream continues at another searcher within the same response, without lost or repeated
//! events.

mod support;

use support::{Connection, Proxy, RESUME, Searcher, accept_either, run};
use yare::parameterized;

/// Two decode searchers, a proxy that serves them, and a connected client.
struct Pair {
    one: Searcher,
    two: Searcher,
    _proxy: Proxy,
    client: Connection,
}

impl Pair {
    async fn start() -> Self {
        let one = Searcher::decode("d-1").await;
        let two = Searcher::decode("d-2").await;
        let proxy = Proxy::serving(&[&one, &two]).await;
        let client = proxy.client().await;
        Pair {
            one,
            two,
            _proxy: proxy,
            client,
        }
    }

    /// Streams one event and a part of the next, then resets the connection; returns the connection to the other searcher,
    /// which has received the resuming request.
    async fn break_within_an_event(&mut self) -> Connection {
        self.client
            .send_request(RESUME, "id-1", "Last-Event-Id: 4\r\n", "prompt")
            .await;
        let (mut connection, other) = accept_either(&self.one, &self.two).await;
        let (request, _) = connection.read_message().await;
        assert_eq!(request.field("last-event-id"), Some("4"));
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 5\ndata: a\n\n").await;
        connection.send_chunk("id: 6\nda").await;
        assert_eq!(
            self.client.read_head().await.field("server-signature"),
            Some("sig")
        );
        assert_eq!(self.client.read_chunk().await, "id: 5\ndata: a\n\n");
        connection.reset();
        let mut second = other.accept().await;
        let (request, body) = second.read_message().await;
        assert_eq!(request.field("last-event-id"), Some("5"));
        assert_eq!(request.field("request-identifier"), Some("id-1"));
        assert_eq!(body, "prompt");
        second
    }
}

#[test]
fn a_stream_is_resumed_after_the_last_complete_event() {
    run(async {
        let mut pair = Pair::start().await;
        let mut second = pair.break_within_an_event().await;
        second.send_stream_head("id-1").await;
        second.send_chunk("id: 6\ndata: b\n\nid: 7\n").await;
        second.send_chunk("data: c\n\n").await;
        second.send_last_chunk().await;
        assert_eq!(pair.client.read_chunk().await, "id: 6\ndata: b\n\n");
        assert_eq!(pair.client.read_chunk().await, "id: 7\ndata: c\n\n");
        assert_eq!(pair.client.read_chunk().await, "");
    });
}

/// A response of the second searcher that can't continue the stream.
#[derive(Clone, Copy)]
enum InvalidResumption {
    RepeatedEvent,
    NoEventId,
    NoEventStream,
    ServerError,
    WrongIdentifier,
}

#[parameterized(
    repeated_event = { InvalidResumption::RepeatedEvent },
    no_event_id = { InvalidResumption::NoEventId },
    no_event_stream = { InvalidResumption::NoEventStream },
    server_error = { InvalidResumption::ServerError },
    wrong_identifier = { InvalidResumption::WrongIdentifier },
)]
fn an_invalid_resumption_aborts_the_response(invalid: InvalidResumption) {
    run(async {
        let mut pair = Pair::start().await;
        let mut second = pair.break_within_an_event().await;
        match invalid {
            InvalidResumption::RepeatedEvent => {
                second.send_stream_head("id-1").await;
                second.send_chunk("id: 5\ndata: a\n\n").await;
            }
            InvalidResumption::NoEventId => {
                second.send_stream_head("id-1").await;
                second.send_chunk("data: a\n\n").await;
            }
            InvalidResumption::NoEventStream => second.respond_ok("id-1", "text").await,
            InvalidResumption::ServerError => {
                second
                    .respond(
                        "500 Internal Server Error",
                        "id-1",
                        "Server-Signature: s\r\n",
                        "",
                    )
                    .await;
            }
            InvalidResumption::WrongIdentifier => {
                second.send_stream_head("id-2").await;
                second.send_chunk("id: 6\ndata: b\n\n").await;
            }
        }
        let (rest, _) = pair.client.read_to_end().await;
        assert_eq!(rest, "");
    });
}

#[test]
fn without_another_searcher_the_response_is_aborted() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(RESUME, "id-1", "", "prompt").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\n\n").await;
        client.read_head().await;
        client.read_chunk().await;
        connection.reset();
        assert_eq!(client.read_to_end().await.0, "");
    });
}

#[test]
fn a_stream_that_ends_within_an_event_is_forwarded_as_it_is() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(RESUME, "id-1", "", "prompt").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_stream_head("id-1").await;
        connection.send_chunk("id: 1\n\nrest").await;
        connection.send_last_chunk().await;
        client.read_head().await;
        assert_eq!(client.read_chunk().await, "id: 1\n\n");
        assert_eq!(client.read_chunk().await, "rest");
        assert_eq!(client.read_chunk().await, "");
    });
}

/// Breaks a stream at every byte: the client always receives each event once and in order.
#[test]
fn wherever_a_stream_breaks_each_event_arrives_once() {
    run(async {
        let events: Vec<String> = (1..=4)
            .map(|id| format!("id: {id}\ndata: {id}\n\n"))
            .collect();
        let complete_stream = events.concat();
        for break_position in 0..complete_stream.len() {
            let one = Searcher::decode("d-1").await;
            let two = Searcher::decode("d-2").await;
            let proxy = Proxy::serving(&[&one, &two]).await;
            let mut client = proxy.client().await;
            client.send_request(RESUME, "id-1", "", "prompt").await;
            let (mut connection, other) = accept_either(&one, &two).await;
            connection.read_message().await;
            connection.send_stream_head("id-1").await;
            client.read_head().await;
            if break_position > 0 {
                connection
                    .send_chunk(&complete_stream[..break_position])
                    .await;
            }
            connection.close().await;
            let mut second = other.accept().await;
            let (request, _) = second.read_message().await;
            let complete_events = complete_stream[..break_position].matches("\n\n").count();
            let last = request
                .field("last-event-id")
                .map_or(0, |id| id.parse().expect("a number"));
            assert_eq!(last, complete_events, "broken at {break_position}");
            second.send_stream_head("id-1").await;
            second.send_chunk(&events[complete_events..].concat()).await;
            second.send_last_chunk().await;
            let mut received = String::new();
            loop {
                let piece = client.read_chunk().await;
                if piece.is_empty() {
                    break;
                }
                received.push_str(&piece);
            }
            assert_eq!(received, complete_stream, "broken at {break_position}");
        }
    });
}
