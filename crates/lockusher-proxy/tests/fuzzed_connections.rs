//! Fuzzes the responses of searchers and the requests of clients on real connections, with two clients at once.
//!
//! A simple model parses the first HTTP response in the bytes that a searcher sent for a request. Whatever a searcher sends,
//! a client receives this response or a prefix of it, nothing that follows it, and no unsigned success. Whatever a client
//! sends, the proxy continues to serve. Inputs come from a fixed seed; `FUZZ_CASES` sets their number (64 by default).

mod support;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::{HOST, ONCE, Proxy, Searcher, run};

/// Number of inputs by default, as in CI.
const DEFAULT_CASES: u32 = 64;
/// The identifiers of the two clients' requests.
const IDENTIFIERS: [&str; 2] = ["caller-a", "caller-b"];
/// How often a body repeats the identifier.
const BODY_REPETITIONS: usize = 40;
/// Size of the pieces in which a response is written, so that the responses to two clients interleave.
const PIECE_BYTES: usize = 97;

fn runner() -> TestRunner {
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        max_shrink_iters: 200,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// The request identifiers in a response.
#[derive(Clone, Copy, Debug)]
enum IdentifierClaim {
    Own,
    Other,
    None,
    Both,
}

/// The framing of a response body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length { difference: i64 },
    TwoLengths,
    Chunked { is_complete: bool },
    LengthAndChunked,
    UntilClose,
}

/// What a searcher sends for one request.
#[derive(Clone, Debug)]
struct FuzzedResponse {
    status: &'static str,
    claim: IdentifierClaim,
    is_signed: bool,
    framing: Framing,
    field: String,
    /// Bytes that follow the response.
    surplus: Vec<u8>,
    /// Whether a second response, to the other client's request, follows.
    responds_to_other: bool,
    /// The position and new value of a byte that is replaced.
    replaced: Option<(Index, u8)>,
    /// The position at which the bytes are truncated.
    truncated_at: Option<Index>,
}

fn fuzzed_response() -> impl Strategy<Value = FuzzedResponse> {
    let statuses = vec![
        "200 OK",
        "200 OK",
        "200",
        "201 Created",
        "204 No Content",
        "304 Not Modified",
        "404 Not Found",
        "500 Error",
        "599 Odd",
        "100 Continue",
        "101 Switching Protocols",
        "999 Odd",
        "2OO OK",
        "",
    ];
    let claim = select(vec![
        IdentifierClaim::Own,
        IdentifierClaim::Own,
        IdentifierClaim::Own,
        IdentifierClaim::Other,
        IdentifierClaim::None,
        IdentifierClaim::Both,
    ]);
    let framing = prop_oneof![
        3 => Just(Framing::Length { difference: 0 }),
        1 => (-500i64..500).prop_map(|difference| Framing::Length { difference }),
        1 => Just(Framing::TwoLengths),
        1 => any::<bool>().prop_map(|is_complete| Framing::Chunked { is_complete }),
        1 => Just(Framing::LengthAndChunked),
        1 => Just(Framing::UntilClose),
    ];
    let field = select(vec![
        "",
        "X: y\r\n",
        "Broken\r\n",
        " folded: x\r\n",
        "Connection: close\r\n",
        "Keep-Alive: timeout=0\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Content-Encoding: gzip\r\n",
        "X: \u{0}\r\n",
        "Server-Load: a,b,c\r\n",
    ]);
    let surplus = prop_oneof![3 => Just(Vec::new()), 1 => vec(any::<u8>(), 0..200)];
    (
        select(statuses),
        claim,
        prop::bool::weighted(0.8),
        framing,
        field,
        surplus,
        prop::bool::weighted(0.3),
        prop::option::weighted(0.3, any::<(Index, u8)>()),
        prop::option::weighted(0.2, any::<Index>()),
    )
        .prop_map(
            |(
                status,
                claim,
                is_signed,
                framing,
                field,
                surplus,
                responds_to_other,
                replaced,
                truncated_at,
            )| {
                FuzzedResponse {
                    status,
                    claim,
                    is_signed,
                    framing,
                    field: field.to_owned(),
                    surplus,
                    responds_to_other,
                    replaced,
                    truncated_at,
                }
            },
        )
}

impl FuzzedResponse {
    /// The bytes sent for the request `own` while the request `other` is in flight.
    fn bytes(&self, own: &str, other: &str) -> Vec<u8> {
        let body = own.repeat(BODY_REPETITIONS);
        let claims = match self.claim {
            IdentifierClaim::Own => vec![own],
            IdentifierClaim::Other => vec![other],
            IdentifierClaim::None => Vec::new(),
            IdentifierClaim::Both => vec![own, other],
        };
        let mut head = format!("HTTP/1.1 {}\r\n", self.status);
        for claim in claims {
            head.push_str(&format!("Request-Identifier: {claim}\r\n"));
        }
        if self.is_signed {
            head.push_str(&format!("Server-Signature: {own}\r\n"));
        }
        head.push_str(&self.field);
        let length = body.len();
        let mut bytes = match self.framing {
            Framing::Length { difference } => {
                let claimed = (length as i64 + difference).max(0);
                format!("{head}Content-Length: {claimed}\r\n\r\n{body}")
            }
            Framing::TwoLengths => {
                format!("{head}Content-Length: {length}\r\nContent-Length: 3\r\n\r\n{body}")
            }
            Framing::Chunked { is_complete } => {
                let end = if is_complete { "0\r\n\r\n" } else { "" };
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n{end}")
            }
            Framing::LengthAndChunked => format!(
                "{head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
            ),
            Framing::UntilClose => format!("{head}\r\n{body}"),
        }
        .into_bytes();
        if self.responds_to_other {
            let body = other.repeat(BODY_REPETITIONS);
            let second = format!(
                "HTTP/1.1 200 OK\r\nRequest-Identifier: {other}\r\nServer-Signature: {other}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            bytes.extend_from_slice(second.as_bytes());
        }
        bytes.extend_from_slice(&self.surplus);
        if let Some((index, byte)) = self.replaced {
            let position = index.index(bytes.len());
            bytes[position] = byte;
        }
        if let Some(index) = self.truncated_at {
            bytes.truncate(index.index(bytes.len()));
        }
        bytes
    }
}

/// Responds to each request with the bytes planned for it, in pieces, and closes the connection.
async fn serve_planned_responses(
    searcher: Searcher,
    responses: Rc<RefCell<HashMap<String, Vec<u8>>>>,
) {
    loop {
        let mut connection = searcher.accept().await;
        let responses = Rc::clone(&responses);
        compio::runtime::spawn(async move {
            let Some(identifier) = connection.read_identifier().await else {
                return;
            };
            let bytes = responses.borrow().get(&identifier).cloned();
            for piece in bytes.unwrap_or_default().chunks(PIECE_BYTES) {
                if !connection.try_write(piece.to_vec()).await {
                    return;
                }
                compio::runtime::spawn(async {}).await.unwrap_or(());
            }
        })
        .detach();
    }
}

/// A parsed response: its head, and all bytes that may belong to its body.
struct ParsedResponse {
    head: String,
    /// `None` if the body ends with the connection or its framing is invalid.
    body: Option<Vec<u8>>,
}

/// Parses the first response in these bytes; `None` without a complete head.
fn parse_response(bytes: &[u8]) -> Option<ParsedResponse> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let rest = &bytes[end + 4..];
    let values = |name: &str| -> Vec<String> {
        let fields = head.lines().filter_map(|line| line.split_once(':'));
        let named = fields.filter(|(field, _)| *field == name);
        named.map(|(_, value)| value.trim().to_owned()).collect()
    };
    let lengths = values("content-length");
    let codings = values("transfer-encoding");
    let body = match (&lengths[..], &codings[..]) {
        ([length], []) => {
            let length = length.parse::<usize>().ok();
            length.map(|length| rest[..length.min(rest.len())].to_vec())
        }
        ([], [coding]) if coding == "chunked" => Some(decode_chunks(rest)),
        _ => None,
    };
    Some(ParsedResponse { head, body })
}

/// The data of a chunked body, up to the first malformed chunk.
fn decode_chunks(mut bytes: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let size = String::from_utf8_lossy(&bytes[..end]);
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        bytes = &bytes[end + 2..];
        data.extend_from_slice(&bytes[..size.min(bytes.len())]);
        if size == 0 || bytes.len() < size + 2 {
            break;
        }
        bytes = &bytes[size + 2..];
    }
    data
}

/// Statuses of responses by the proxy itself.
const OWN_STATUSES: [&str; 3] = ["502", "503", "504"];

/// Checks what a client received against the bytes that were sent for its request: it must be the first response in them or
/// a prefix of it.
fn check_received(received: &[u8], sent: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(received);
    let Some(response) = parse_response(received) else {
        return Ok(());
    };
    let status = response
        .head
        .split(' ')
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    if OWN_STATUSES.contains(&status.as_str()) {
        return Ok(());
    }
    if status.starts_with('2') {
        prop_assert!(
            response.head.contains("server-signature: "),
            "a success without signature: {text:?}"
        );
    }
    let expected = parse_response(sent).and_then(|sent| sent.body);
    if let (Some(body), Some(expected)) = (response.body, expected) {
        prop_assert!(
            expected.starts_with(&body),
            "not a prefix of the response that was sent: {text:?}"
        );
    }
    Ok(())
}

#[test]
fn no_client_receives_bytes_of_another_whatever_searchers_send() {
    let strategy = (fuzzed_response(), fuzzed_response());
    let successes = Cell::new(0);
    let checked = runner().run(&strategy, |(first, second)| {
        let [one, other] = IDENTIFIERS;
        let sent = [first.bytes(one, other), second.bytes(other, one)];
        let responses = HashMap::from([
            (one.to_owned(), sent[0].clone()),
            (other.to_owned(), sent[1].clone()),
        ]);
        let received = run(async move {
            let searcher = Searcher::plain("i-1").await;
            let proxy = Proxy::serving(&[&searcher]).await;
            let responses = Rc::new(RefCell::new(responses));
            let _serving = compio::runtime::spawn(serve_planned_responses(searcher, responses));
            let [mut first, mut second] = [proxy.client().await, proxy.client().await];
            first
                .send_request(ONCE, one, "Connection: close\r\n", "question")
                .await;
            second
                .send_request(ONCE, other, "Connection: close\r\n", "question")
                .await;
            let (first, second) =
                futures_util::join!(first.read_bytes_to_end(), second.read_bytes_to_end());
            assert_eq!(proxy.readiness_status().await, 200);
            [first.0, second.0]
        });
        let is_success = |bytes: &&Vec<u8>| bytes.starts_with(b"HTTP/1.1 2");
        successes.set(successes.get() + received.iter().filter(is_success).count());
        check_received(&received[0], &sent[0])?;
        check_received(&received[1], &sent[1])
    });
    checked.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(
        successes.get() > 0,
        "no successful response was forwarded, so that nothing was checked"
    );
    println!("{} successful responses", successes.get());
}

/// A request that may be malformed, or arbitrary bytes.
fn fuzzed_request() -> impl Strategy<Value = Vec<u8>> {
    let line = select(vec![
        "POST /once/ HTTP/1.1",
        "GET /repeat/ HTTP/1.1",
        "POST /stream/ HTTP/1.1",
        "POST /once/ HTTP/1.0",
        "POST /once/ HTTP/9.9",
        "BREW /once/ HTTP/1.1",
        "POST http://desk.example/once/ HTTP/1.1",
        "POST",
        "",
        "POST /once/%00%zz?\u{7f} HTTP/1.1",
        "CONNECT desk.example:80 HTTP/1.1",
    ]);
    let field = select(vec![
        "Content-Length: 8",
        "Content-Length: 0",
        "Content-Length: -1",
        "Content-Length: 99999999999999999999",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: chunked, chunked",
        "Expect: 100-continue",
        "Connection: close",
        "Connection: upgrade",
        "Upgrade: websocket",
        "Deadline-Remaining: 300",
        "Deadline-Remaining: x",
        "Last-Event-Id: -4",
        "Token-Counts: 9,9,9",
        "Token-Counts: 99999999999999999999,1",
        "Prompt-Prefix: zz:1,:,a:-4",
        "Model: \u{1}",
        "Request-Identifier: caller-a",
        "Request-Identifier: ",
        "No colon",
        " leading: space",
        "X: y",
    ]);
    let body = prop_oneof![
        Just(b"question".to_vec()),
        Just(b"8\r\nquestion\r\n0\r\n\r\n".to_vec()),
        Just(b"ffffffffffffffffff\r\nquestion\r\n".to_vec()),
        Just(b"-1\r\nq\r\n0\r\nTrailer: x\r\n\r\n".to_vec()),
        vec(any::<u8>(), 0..300),
    ];
    let request = (line, vec(field, 0..8), body).prop_map(|(line, fields, body)| {
        let mut bytes =
            format!("{line}\r\nHost: {HOST}\r\n{}\r\n\r\n", fields.join("\r\n")).into_bytes();
        bytes.extend_from_slice(&body);
        bytes
    });
    prop_oneof![4 => request, 1 => vec(any::<u8>(), 0..400)]
}

#[test]
fn a_proxy_continues_to_serve_whatever_clients_send() {
    let strategy = vec(fuzzed_request(), 1..4);
    let checked = runner().run(&strategy, |requests| {
        run(async move {
            let searcher = Searcher::plain("i-1").await;
            let proxy = Proxy::serving(&[&searcher]).await;
            let response = "HTTP/1.1 200 OK\r\nRequest-Identifier: caller-b\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok";
            let responses = HashMap::from([("caller-b".to_owned(), response.as_bytes().to_vec())]);
            let responses = Rc::new(RefCell::new(responses));
            let _serving = compio::runtime::spawn(serve_planned_responses(searcher, responses));
            let mut valid = proxy.client().await;
            valid.send_request(ONCE, "caller-b", "Connection: close\r\n", "question").await;
            let mut fuzzed = proxy.client().await;
            fuzzed.try_write(requests.concat()).await;
            let (received, _) = valid.read_to_end().await;
            fuzzed.close().await;
            prop_assert!(received.starts_with("HTTP/1.1 200") && received.ends_with("ok"), "{received:?}");
            prop_assert_eq!(proxy.readiness_status().await, 200);
            Ok(())
        })
    });
    checked.unwrap_or_else(|failure| panic!("{failure}"));
}
