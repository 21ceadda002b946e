//! The header fields of the protocol between clients, proxies and searchers, and which fields a proxy forwards.

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

/// Hop-by-hop fields (RFC 9110, 7.6.1) and fields that frame a body.
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

/// Fields that describe the bytes of a body: their values don't hold for another body with the same events.
const BODY_DESCRIPTIONS: [HeaderName; 6] = [
    header::CONTENT_ENCODING,
    header::CONTENT_RANGE,
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("repr-digest"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("content-md5"),
];

/// Fields that only proxies may set; they are removed from clients' requests.
const PROXY_ONLY: [HeaderName; 6] = [
    EXPECTED_INSTANCE,
    EXPECT_VERSION,
    PRIORITY,
    STAGE,
    KV_FROM,
    DEADLINE_REMAINING,
];

/// Removes the fields of a client's request that must not reach a searcher.
pub(crate) fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    for name in &PROXY_ONLY {
        headers.remove(name);
    }
}

/// Removes the hop-by-hop and framing fields of a searcher's response.
pub(crate) fn strip_response(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
}

/// Whether the framing of a response body is unambiguous: `Transfer-Encoding` is absent, or is `chunked` alone and without a
/// `Content-Length` (RFC 9112, 6.1 and 6.3). Any other coding would be forwarded to the client as part of the body, and with
/// both fields two implementations may disagree on where the response ends.
pub(crate) fn has_unambiguous_framing(response: &HeaderMap) -> bool {
    let mut codings = response.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return true;
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    is_chunked && codings.next().is_none() && !response.contains_key(header::CONTENT_LENGTH)
}

/// Whether a response has fields that describe the bytes of its body, other than their number.
pub(crate) fn describes_body_bytes(response: &HeaderMap) -> bool {
    BODY_DESCRIPTIONS
        .iter()
        .any(|name| response.contains_key(name))
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// The fields that `Connection` lists as hop-by-hop. `Request-Identifier`, `Server-Signature` and `Host` are never removed.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
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

/// Whether `Connection` contains the option `close`.
pub(crate) fn has_close_option(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The time in seconds after which the sender closes an idle connection (`Keep-Alive: timeout=N`).
pub(crate) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        let matches = name.trim().eq_ignore_ascii_case("timeout");
        matches.then(|| seconds.trim().parse().ok()).flatten()
    })
}

/// The value of a field; `None` if the field is absent or repeated.
pub(crate) fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

/// The value of a field as an integer; `None` if the field is absent, repeated or no integer.
pub(crate) fn integer(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    single_value(headers, name)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}
