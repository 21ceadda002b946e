//! Resumable streams: a broken stream continues at another searcher within the same response, without lost or repeated
//! events.

mod support;

use support::{Connection, Ending, HOST, Proxy, RESUME, STREAM, Searcher, accept_either, run};
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
            let received = client.read_chunked_body().await;
            assert_eq!(received, complete_stream, "broken at {break_position}");
        }
    });
}

/// Sends a stream with a length and breaks it within its second event; returns the connection to the other searcher.
async fn break_sized_stream<'a>(
    client: &mut Connection,
    one: &'a Searcher,
    two: &'a Searcher,
    fields: &str,
) -> &'a Searcher {
    client.send_request(RESUME, "id-1", "", "prompt").await;
    let (mut connection, other) = accept_either(one, two).await;
    connection.read_message().await;
    connection.send_sized_stream_head("id-1", 40, fields).await;
    connection.write("id: 1\ndata: a\n\nid: 2\nda").await;
    client.read_head().await;
    connection.close().await;
    other
}

// Guards against ORDER and MIXED: the client's response had the length of the first searcher's, so that a resumed stream
// ended early and looked complete.
#[test]
fn a_resumed_stream_is_not_bound_to_the_length_of_its_first_part() {
    run(async {
        let one = Searcher::decode("d-1").await;
        let two = Searcher::decode("d-2").await;
        let proxy = Proxy::serving(&[&one, &two]).await;
        let mut client = proxy.client().await;
        let other = break_sized_stream(&mut client, &one, &two, "").await;
        let mut second = other.accept().await;
        second.read_message().await;
        let rest = "id: 2\ndata: longer than in the first response\n\nid: 3\ndata: c\n\n";
        second.send_sized_stream_head("id-1", rest.len(), "").await;
        second.write(rest).await;
        let received = client.read_chunked_body().await;
        assert_eq!(received, format!("id: 1\ndata: a\n\n{rest}"));
    });
}

// Guards against a stream that was cut before its last event, because the last bytes that were read begin inside an event.
#[test]
fn a_stream_with_a_length_arrives_complete_wherever_it_is_split() {
    run(async {
        let stream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(RESUME, "id-1", "", "prompt").await;
        let mut connection = decode.accept().await;
        for split_at in 1..stream.len() {
            connection.read_message().await;
            let (first, rest) = stream.split_at(split_at);
            connection
                .send_sized_stream_head("id-1", stream.len(), "")
                .await;
            connection.write(first).await;
            let head = client.read_head().await;
            assert_eq!(head.field("content-length"), None);
            connection.write(rest).await;
            let received = client.read_chunked_body().await;
            assert_eq!(received, stream, "split at {split_at}");
            client.send_request(RESUME, "id-1", "", "prompt").await;
        }
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_keeps_its_length() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.send_request(STREAM, "id-1", "", "").await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_sized_stream_head("id-1", 7, "").await;
        connection.write("id: 1\n\n").await;
        let (head, body) = client.read_message().await;
        assert_eq!(head.field("content-length"), Some("7"));
        assert_eq!(body, "id: 1\n\n");
    });
}

#[test]
fn a_client_of_http_1_0_reads_a_resumable_stream_until_its_connection_is_closed() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client
            .write(&format!(
                "POST {RESUME} HTTP/1.0\r\nHost: {HOST}\r\nRequest-Identifier: id-1\r\nContent-Length: 0\r\n\r\n"
            ))
            .await;
        let mut connection = decode.accept().await;
        connection.read_message().await;
        connection.send_sized_stream_head("id-1", 7, "").await;
        connection.write("id: 1\n\n").await;
        let head = client.read_head().await;
        assert_eq!(head.field("transfer-encoding"), None);
        assert_eq!(
            client.read_to_end().await,
            ("id: 1\n\n".to_owned(), Ending::Closed)
        );
    });
}

#[parameterized(
    encoded = { "Content-Encoding: gzip\r\n" },
    digest_of_the_content = { "Content-Digest: sha-256=:AA==:\r\n" },
    digest_of_the_representation = { "Repr-Digest: sha-256=:AA==:\r\n" },
    older_digest = { "Digest: sha-256=AA==\r\n" },
    md5 = { "Content-MD5: AA==\r\n" },
    range = { "Content-Range: bytes 0-39/80\r\n" },
)]
fn a_stream_whose_head_describes_its_bytes_is_not_resumed(fields: &str) {
    run(async {
        let one = Searcher::decode("d-1").await;
        let two = Searcher::decode("d-2").await;
        let proxy = Proxy::serving(&[&one, &two]).await;
        let mut client = proxy.client().await;
        break_sized_stream(&mut client, &one, &two, fields).await;
        // Fewer bytes than the length that it was sent with: the client sees that it is cut.
        let (received, _) = client.read_to_end().await;
        assert_eq!(received, "id: 1\ndata: a\n\nid: 2\nda");
    });
}

#[test]
fn a_stream_is_not_resumed_by_one_in_another_encoding() {
    run(async {
        let mut pair = Pair::start().await;
        let mut second = pair.break_within_an_event().await;
        second
            .send_sized_stream_head("id-1", 16, "Content-Encoding: gzip\r\n")
            .await;
        second.write("id: 6\ndata: b\n\n").await;
        assert_eq!(pair.client.read_to_end().await.0, "");
    });
}
