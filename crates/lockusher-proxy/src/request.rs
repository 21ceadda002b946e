//! A client's request: reads and validates it, and parses the header fields that the proxy uses.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};

use crate::decision::PromptPart;
use crate::headers;
use crate::memory::{BodyMemory, Reservation};

/// Timeout for reading a body if the client sends no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request can't be forwarded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// `Host` is missing, empty or repeated.
    #[display("exactly one Host header field is required")]
    BadHost,
    /// `Request-Identifier` is missing, empty or repeated.
    #[display("exactly one Request-Identifier header field is required")]
    MissingIdentifier,
    /// The request target has no path.
    #[display("the request target has no path")]
    BadTarget,
    /// The body exceeds `limits.bodyBytes`.
    #[display("the body is larger than limits.bodyBytes")]
    BodyTooLarge,
    /// The body is incomplete or malformed.
    #[display("the body is incomplete or malformed")]
    BodyBroken,
    /// The body did not arrive by the deadline.
    #[display("the body did not arrive by the deadline")]
    BodyTooSlow,
    /// The bodies of other requests in flight use all memory reserved for bodies.
    #[display("the bodies of requests in flight use all memory reserved for bodies")]
    MemoryFull,
}

/// The values of the `Token-Counts` header; 0 where unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenCounts {
    /// Number of prompt tokens.
    pub(crate) prompt: u32,
    /// Maximum number of output tokens.
    pub(crate) max_output: u32,
}

/// A request that was read completely and validated.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    method: Method,
    /// Path and query as the client sent them.
    target: Uri,
    pub(crate) host: String,
    /// Header fields that are forwarded.
    headers: HeaderMap,
    body: Bytes,
    _memory: Reservation,
    pub(crate) arrived: Instant,
    /// The value of `Deadline-Remaining` on arrival.
    pub(crate) deadline_remaining: Option<Duration>,
}

impl ClientRequest {
    /// Reads a request's body and validates its head. The body is read first, so that the connection can be reused
    /// whatever the response.
    pub(crate) async fn read(
        request: Request<Incoming>,
        body_limit: u64,
        memory: &Rc<BodyMemory>,
    ) -> Result<Self, RequestError> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let deadline_remaining = headers::integer(&parts.headers, &headers::DEADLINE_REMAINING);
        let deadline_remaining = deadline_remaining.map(Duration::from_millis);
        let mut reservation = memory.reserve();
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let collected = collect(body, body_limit, &mut reservation);
            let body_deadline = arrived + deadline_remaining.unwrap_or(BODY_TIMEOUT);
            compio::time::timeout_at(body_deadline, collected)
                .await
                .map_err(|_| RequestError::BodyTooSlow)??
        };
        let (host, target) = check_head(&parts)?;
        let mut headers = parts.headers;
        headers::strip_request(&mut headers);
        let method = parts.method;
        Ok(ClientRequest {
            method,
            target,
            host,
            headers,
            body,
            _memory: reservation,
            arrived,
            deadline_remaining,
        })
    }

    pub(crate) fn path(&self) -> &str {
        self.target.path()
    }

    pub(crate) fn is_head(&self) -> bool {
        self.method == Method::HEAD
    }

    /// The request to send to a searcher, without the header fields that the proxy adds for each send.
    pub(crate) fn to_forward(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// The parts of the prompt listed in `Prompt-Prefix`, up to the first one that is malformed.
    pub(crate) fn prompt(&self) -> Vec<PromptPart> {
        let value = headers::single_value(&self.headers, &headers::PROMPT_PREFIX);
        let Some(text) = value.and_then(|value| value.to_str().ok()) else {
            return Vec::new();
        };
        text.split(',').map_while(prompt_part).collect()
    }

    /// Whether the request has a prompt that a prefill searcher could prefill.
    pub(crate) fn has_prompt(&self) -> bool {
        self.headers.contains_key(headers::PROMPT_PREFIX) || self.token_counts().prompt > 0
    }

    /// The values of the `Token-Counts` header.
    pub(crate) fn token_counts(&self) -> TokenCounts {
        let value = headers::single_value(&self.headers, &headers::TOKEN_COUNTS);
        let text = value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let (prompt, max_output) = text.split_once(',').unwrap_or((text, ""));
        let number = |text: &str| text.trim().parse().unwrap_or(0);
        TokenCounts {
            prompt: number(prompt),
            max_output: number(max_output),
        }
    }
}

/// Parses one `id:tokens` entry of `Prompt-Prefix`; the id is in hexadecimal.
fn prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Validates the head of a request; returns the host and the target without scheme and authority.
fn check_head(parts: &Parts) -> Result<(String, Uri), RequestError> {
    let host = headers::single_value(&parts.headers, &HOST).and_then(|host| host.to_str().ok());
    let host = host
        .filter(|host| !host.is_empty())
        .ok_or(RequestError::BadHost)?;
    let identifier = headers::single_value(&parts.headers, &headers::REQUEST_IDENTIFIER);
    if identifier.is_none_or(HeaderValue::is_empty) {
        return Err(RequestError::MissingIdentifier);
    }
    let target = parts.uri.path_and_query().ok_or(RequestError::BadTarget)?;
    Ok((host.to_owned(), Uri::from(target.clone())))
}

/// Reads a complete body within the size limit and the reserved memory. A body of one frame isn't copied.
async fn collect(
    mut body: Incoming,
    limit: u64,
    reservation: &mut Reservation,
) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > limit {
        return Err(RequestError::BodyTooLarge);
    }
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::BodyBroken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len() as u64;
        if length > limit {
            return Err(RequestError::BodyTooLarge);
        }
        if !reservation.grow(data.len() as u64) {
            return Err(RequestError::MemoryFull);
        }
        if first.is_empty() && joined.is_empty() {
            first = data;
            continue;
        }
        joined.extend_from_slice(&first);
        first = Bytes::new();
        joined.extend_from_slice(&data);
    }
    Ok(if joined.is_empty() {
        first
    } else {
        joined.freeze()
    })
}
