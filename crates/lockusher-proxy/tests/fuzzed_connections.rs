//! Arbitrary bytes on real connections: answers of searchers and requests of clients, of two callers at once.
//!
//! A plain model says whose bytes are whose: it frames what the searcher sent for a request, as HTTP does. Whatever a searcher
//! sends, a caller gets that first answer or a part of it, nothing of what follows it, and no success that isn't signed. Whatever a
//! client sends, the proxy goes on serving. Inputs are drawn from a fixed seed; `FUZZ_CASES` sets how many (64 by default).

mod support;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::{HOST, ONCE, Proxy, Searcher, run};

/// Inputs of a run in CI.
const DEFAULT_CASES: u32 = 64;
/// The callers' requests.
const IDENTIFIERS: [&str; 2] = ["caller-a", "caller-b"];
/// How often the identifier stands in a body.
const BODY_REPETITIONS: usize = 40;
/// Pieces in which an answer is written, so that those of two callers interleave.
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

/// Which request an answer claims to belong to.
#[derive(Clone, Copy, Debug)]
enum Claim {
    Own,
    Other,
    None,
    Both,
}

/// How an answer says where its body ends.
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
struct FuzzedAnswer {
    status: &'static str,
    claim: Claim,
    is_signed: bool,
    framing: Framing,
    field: String,
    /// Follows the answer.
    surplus: Vec<u8>,
    /// A second answer, for the other caller, follows.
    answers_other: bool,
    /// A byte that is replaced.
    replaced: Option<(Index, u8)>,
    /// Where it breaks off.
    cut: Option<Index>,
}

fn fuzzed_answer() -> impl Strategy<Value = FuzzedAnswer> {
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
        Claim::Own,
        Claim::Own,
        Claim::Own,
        Claim::Other,
        Claim::None,
        Claim::Both,
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
            |(status, claim, is_signed, framing, field, surplus, answers_other, replaced, cut)| {
                FuzzedAnswer {
                    status,
                    claim,
                    is_signed,
                    framing,
                    field: field.to_owned(),
                    surplus,
                    answers_other,
                    replaced,
                    cut,
                }
            },
        )
}

impl FuzzedAnswer {
    /// The bytes for the request `own`, while `other` waits too.
    fn bytes(&self, own: &str, other: &str) -> Vec<u8> {
        let body = own.repeat(BODY_REPETITIONS);
        let claims = match self.claim {
            Claim::Own => vec![own],
            Claim::Other => vec![other],
            Claim::None => Vec::new(),
            Claim::Both => vec![own, other],
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
        if self.answers_other {
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
        if let Some(index) = self.cut {
            bytes.truncate(index.index(bytes.len()));
        }
        bytes
    }
}

/// Answers every request by the bytes planned for it, in pieces, and closes.
async fn play_searcher(searcher: Searcher, answers: Rc<RefCell<HashMap<String, Vec<u8>>>>) {
    loop {
        let mut wire = searcher.accept().await;
        let answers = Rc::clone(&answers);
        compio::runtime::spawn(async move {
            let Some(identifier) = wire.next_identifier().await else {
                return;
            };
            let bytes = answers.borrow().get(&identifier).cloned();
            for piece in bytes.unwrap_or_default().chunks(PIECE_BYTES) {
                if !wire.try_write(piece.to_vec()).await {
                    return;
                }
                compio::runtime::spawn(async {}).await.unwrap_or(());
            }
        })
        .detach();
    }
}

/// An answer as HTTP frames it: its head, and all that may be of its body.
struct Framed {
    head: String,
    /// None if the head doesn't say where the body ends, so that all up to the close may be of it.
    body: Option<Vec<u8>>,
}

/// The first answer in these bytes; none without a complete head.
fn framed(bytes: &[u8]) -> Option<Framed> {
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
        ([], [coding]) if coding == "chunked" => Some(unchunked(rest)),
        _ => None,
    };
    Some(Framed { head, body })
}

/// The data of a chunked body, as far as it is one.
fn unchunked(mut bytes: &[u8]) -> Vec<u8> {
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

/// Statuses of the proxy's own answers.
const OWN_STATUSES: [&str; 3] = ["502", "503", "504"];

/// What is wrong with what a caller got, when this was sent for it: it must be the first answer that was sent, or a part of
/// it, and nothing after.
fn check_received(received: &[u8], sent: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(received);
    let Some(answer) = framed(received) else {
        return Ok(());
    };
    let status = answer.head.split(' ').nth(1).unwrap_or_default().to_owned();
    if OWN_STATUSES.contains(&status.as_str()) {
        return Ok(());
    }
    if status.starts_with('2') {
        prop_assert!(
            answer.head.contains("server-signature: "),
            "a success without signature: {text:?}"
        );
    }
    let expected = framed(sent).and_then(|sent| sent.body);
    if let (Some(body), Some(expected)) = (answer.body, expected) {
        prop_assert!(expected.starts_with(&body), "not what was sent: {text:?}");
    }
    Ok(())
}

#[test]
fn no_caller_gets_bytes_of_another_whatever_searchers_send() {
    let strategy = (fuzzed_answer(), fuzzed_answer());
    let successes = Cell::new(0);
    let checked = runner().run(&strategy, |(first, second)| {
        let [one, other] = IDENTIFIERS;
        let sent = [first.bytes(one, other), second.bytes(other, one)];
        let answers = HashMap::from([
            (one.to_owned(), sent[0].clone()),
            (other.to_owned(), sent[1].clone()),
        ]);
        let received = run(async move {
            let searcher = Searcher::plain("i-1").await;
            let proxy = Proxy::serving(&[&searcher]).await;
            let answers = Rc::new(RefCell::new(answers));
            let _playing = compio::runtime::spawn(play_searcher(searcher, answers));
            let [mut first, mut second] = [proxy.client().await, proxy.client().await];
            first
                .ask(ONCE, one, "Connection: close\r\n", "question")
                .await;
            second
                .ask(ONCE, other, "Connection: close\r\n", "question")
                .await;
            let (first, second) = futures_util::join!(first.rest_bytes(), second.rest_bytes());
            assert_eq!(proxy.readiness().await, 200);
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
        "no answer got through, so that nothing was checked"
    );
    println!("{} answers were successes", successes.get());
}

/// A request, or something like one.
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
fn a_proxy_serves_on_whatever_clients_send() {
    let strategy = vec(fuzzed_request(), 1..4);
    let checked = runner().run(&strategy, |requests| {
        run(async move {
            let searcher = Searcher::plain("i-1").await;
            let proxy = Proxy::serving(&[&searcher]).await;
            let answer = "HTTP/1.1 200 OK\r\nRequest-Identifier: caller-b\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok";
            let answers = HashMap::from([("caller-b".to_owned(), answer.as_bytes().to_vec())]);
            let answers = Rc::new(RefCell::new(answers));
            let _playing = compio::runtime::spawn(play_searcher(searcher, answers));
            let mut good = proxy.client().await;
            good.ask(ONCE, "caller-b", "Connection: close\r\n", "question").await;
            let mut fuzzed = proxy.client().await;
            fuzzed.try_write(requests.concat()).await;
            let (received, _) = good.rest().await;
            fuzzed.close().await;
            prop_assert!(received.starts_with("HTTP/1.1 200") && received.ends_with("ok"), "{received:?}");
            prop_assert_eq!(proxy.readiness().await, 200);
            Ok(())
        })
    });
    checked.unwrap_or_else(|failure| panic!("{failure}"));
}
