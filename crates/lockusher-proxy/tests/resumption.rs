//! A stream that may be resumed goes on at another searcher within its answer, joined exactly.

mod support;

use support::{Proxy, RESUME, Searcher, Wire, accept_either, run};
use yare::parameterized;

struct Pair {
    one: Searcher,
    two: Searcher,
    _proxy: Proxy,
    client: Wire,
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

    /// Streams one event and a part of the next, then breaks off; the other searcher's connection.
    async fn break_within_an_event(&mut self) -> Wire {
        self.client
            .ask(RESUME, "id-1", "Last-Event-Id: 4\r\n", "prompt")
            .await;
        let (mut wire, other) = accept_either(&self.one, &self.two).await;
        let (request, _) = wire.message().await;
        assert_eq!(request.field("last-event-id"), Some("4"));
        wire.begin_stream("id-1").await;
        wire.chunk("id: 5\ndata: a\n\n").await;
        wire.chunk("id: 6\nda").await;
        assert_eq!(
            self.client.head().await.field("server-signature"),
            Some("sig")
        );
        assert_eq!(self.client.read_chunk().await, "id: 5\ndata: a\n\n");
        wire.reset();
        let mut second = other.accept().await;
        let (request, body) = second.message().await;
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
        second.begin_stream("id-1").await;
        second.chunk("id: 6\ndata: b\n\nid: 7\n").await;
        second.chunk("data: c\n\n").await;
        second.end_chunks().await;
        assert_eq!(pair.client.read_chunk().await, "id: 6\ndata: b\n\n");
        assert_eq!(pair.client.read_chunk().await, "id: 7\ndata: c\n\n");
        assert_eq!(pair.client.read_chunk().await, "");
    });
}

/// What the second searcher answers that can't be joined.
#[derive(Clone, Copy)]
enum InvalidResumption {
    RepeatsAnEvent,
    NamesNoEvent,
    IsNoStream,
    FailsItself,
    NamesAnother,
}

#[parameterized(
    repeats_an_event = { InvalidResumption::RepeatsAnEvent },
    names_no_event = { InvalidResumption::NamesNoEvent },
    is_no_stream = { InvalidResumption::IsNoStream },
    fails_itself = { InvalidResumption::FailsItself },
    names_another = { InvalidResumption::NamesAnother },
)]
fn an_invalid_resumption_breaks_the_answer_off(invalid: InvalidResumption) {
    run(async {
        let mut pair = Pair::start().await;
        let mut second = pair.break_within_an_event().await;
        match invalid {
            InvalidResumption::RepeatsAnEvent => {
                second.begin_stream("id-1").await;
                second.chunk("id: 5\ndata: a\n\n").await;
            }
            InvalidResumption::NamesNoEvent => {
                second.begin_stream("id-1").await;
                second.chunk("data: a\n\n").await;
            }
            InvalidResumption::IsNoStream => second.succeed("id-1", "text").await,
            InvalidResumption::FailsItself => {
                second
                    .answer(
                        "500 Internal Server Error",
                        "id-1",
                        "Server-Signature: s\r\n",
                        "",
                    )
                    .await;
            }
            InvalidResumption::NamesAnother => {
                second.begin_stream("id-2").await;
                second.chunk("id: 6\ndata: b\n\n").await;
            }
        }
        let (rest, _) = pair.client.rest().await;
        assert_eq!(rest, "");
    });
}

#[test]
fn without_another_searcher_the_answer_breaks_off() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.ask(RESUME, "id-1", "", "prompt").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\n\n").await;
        client.head().await;
        client.read_chunk().await;
        wire.reset();
        assert_eq!(client.rest().await.0, "");
    });
}

#[test]
fn a_stream_that_ends_within_an_event_is_forwarded_as_it_is() {
    run(async {
        let decode = Searcher::decode("d-1").await;
        let proxy = Proxy::serving(&[&decode]).await;
        let mut client = proxy.client().await;
        client.ask(RESUME, "id-1", "", "prompt").await;
        let mut wire = decode.accept().await;
        wire.message().await;
        wire.begin_stream("id-1").await;
        wire.chunk("id: 1\n\nrest").await;
        wire.end_chunks().await;
        client.head().await;
        assert_eq!(client.read_chunk().await, "id: 1\n\n");
        assert_eq!(client.read_chunk().await, "rest");
        assert_eq!(client.read_chunk().await, "");
    });
}

/// The slow plain model of a joined stream: whatever was cut off, the client gets each event once, in order.
#[test]
fn wherever_a_stream_breaks_each_event_arrives_once() {
    run(async {
        let events: Vec<String> = (1..=4)
            .map(|id| format!("id: {id}\ndata: {id}\n\n"))
            .collect();
        let whole = events.concat();
        for cut in 0..whole.len() {
            let one = Searcher::decode("d-1").await;
            let two = Searcher::decode("d-2").await;
            let proxy = Proxy::serving(&[&one, &two]).await;
            let mut client = proxy.client().await;
            client.ask(RESUME, "id-1", "", "prompt").await;
            let (mut wire, other) = accept_either(&one, &two).await;
            wire.message().await;
            wire.begin_stream("id-1").await;
            client.head().await;
            if cut > 0 {
                wire.chunk(&whole[..cut]).await;
            }
            wire.close().await;
            let mut second = other.accept().await;
            let (request, _) = second.message().await;
            let given = whole[..cut].matches("\n\n").count();
            let last = request
                .field("last-event-id")
                .map_or(0, |id| id.parse().expect("a number"));
            assert_eq!(last, given, "cut at {cut}");
            second.begin_stream("id-1").await;
            second.chunk(&events[given..].concat()).await;
            second.end_chunks().await;
            let mut seen = String::new();
            loop {
                let piece = client.read_chunk().await;
                if piece.is_empty() {
                    break;
                }
                seen.push_str(&piece);
            }
            assert_eq!(seen, whole, "cut at {cut}");
        }
    });
}
