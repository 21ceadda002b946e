//! Arbitrary bytes on real connections: answers of searchers and requests of clients, of two callers at once.
//!
//! A plain model says whose bytes are whose: each answer's body consists of the identifier of its request. Whatever a searcher
//! sends, a caller gets no byte that was meant for the other, no second answer, and no success that isn't signed. Whatever a
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

/// Whether the first answer in these bytes says where its body ends. Of one that doesn't, as HTTP has it, all that follows up
/// to the close is its body.
fn is_framed(sent: &[u8]) -> bool {
    let text = String::from_utf8_lossy(sent).to_ascii_lowercase();
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    head.contains("\r\ncontent-length: ") || head.contains("\r\ntransfer-encoding: chunked")
}

/// What is wrong with what a caller got for `own`, when this was sent for it.
fn check_received(
    received: &str,
    sent: &[u8],
    own: &str,
    other: &str,
) -> Result<(), TestCaseError> {
    prop_assert!(
        !is_framed(sent) || !received.contains(other),
        "bytes of {other} for {own}: {received:?}"
    );
    let heads = received.matches("HTTP/1.1 ").count();
    prop_assert!(
        !is_framed(sent) || heads <= 1,
        "{heads} answers for {own}: {received:?}"
    );
    let Some((head, _)) = received.split_once("\r\n\r\n") else {
        return Ok(());
    };
    if head.starts_with("HTTP/1.1 2") {
        let head = head.to_ascii_lowercase();
        let signature = format!("server-signature: {own}");
        prop_assert!(
            head.contains(&signature),
            "a success without signature: {head:?}"
        );
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
            let (first, second) = futures_util::join!(first.rest(), second.rest());
            assert_eq!(proxy.readiness().await, 200);
            [first.0, second.0]
        });
        let is_success = |text: &&String| text.starts_with("HTTP/1.1 2");
        successes.set(successes.get() + received.iter().filter(is_success).count());
        check_received(&received[0], &sent[0], one, other)?;
        check_received(&received[1], &sent[1], other, one)
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
