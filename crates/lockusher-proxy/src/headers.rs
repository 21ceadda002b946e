//! Header fields of the fleet, and which fields pass a proxy.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

pub(crate) const REQUEST_IDENTIFIER: HeaderName = HeaderName::from_static("request-identifier");
pub(crate) const DEADLINE_REMAINING: HeaderName = HeaderName::from_static("deadline-remaining");
pub(crate) const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
pub(crate) const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub(crate) const STAGE: HeaderName = HeaderName::from_static("stage");
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(crate) const KV_FROM: HeaderName = HeaderName::from_static("kv-from");
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub(crate) const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
pub(crate) const TOKEN_COUNTS: HeaderName = HeaderName::from_static("token-counts");
pub(crate) const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields that concern one connection only (RFC 9110, 7.6.1), and those that frame a body.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Fields that only the fleet may set.
const FLEET_ONLY: [HeaderName; 6] = [
    EXPECTED_INSTANCE,
    EXPECT_VERSION,
    PRIORITY,
    STAGE,
    KV_FROM,
    DEADLINE_REMAINING,
];

/// Removes from a client's request what must not reach a searcher.
pub(crate) fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    for name in &FLEET_ONLY {
        headers.remove(name);
    }
}

/// Removes from a searcher's answer what concerns only its connection.
pub(crate) fn strip_answer(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
}

/// Whether it is plain where the body of an answer ends: by one coding that is undone here, `chunked`, or by a length, not by
/// both (RFC 9112, 6.1 and 6.3). Another coding would reach the client as if it were the body, and with a length beside it
/// two readers may disagree on what belongs to the answer.
pub(crate) fn has_plain_framing(answer: &HeaderMap) -> bool {
    let mut codings = answer.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return true;
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    is_chunked && codings.next().is_none() && !answer.contains_key(header::CONTENT_LENGTH)
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Fields that `Connection` names as its own; never the request's identity or the searcher's signature.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .filter(|name| {
            *name != REQUEST_IDENTIFIER && *name != SERVER_SIGNATURE && *name != header::HOST
        })
        .collect()
}

/// Whether `Connection` lists `close`.
pub(crate) fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Seconds for which the sender keeps an idle connection (`Keep-Alive: timeout=N`).
pub(crate) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        let matches = name.trim().eq_ignore_ascii_case("timeout");
        matches.then(|| seconds.trim().parse().ok()).flatten()
    })
}

/// The only value of a field; `None` if it is absent or repeated.
pub(crate) fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

/// A field that holds one integer.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    single(headers, name)?.to_str().ok()?.trim().parse().ok()
}
