//! Requests of clients and the responses to them.

use std::collections::BTreeSet;
use std::fmt::Write;

use bytes::Bytes;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;
use serde::{Deserialize, Serialize};

use super::MAX_BODY_BYTES;

/// Path of the readiness check.
pub const UP_PATH: &str = "/up";
/// Path of the fleet status, served if membership is enabled.
pub const FLEET_PATH: &str = "/fleet";
/// Path of the registry status, served if a registry is followed.
pub const REGISTRY_PATH: &str = "/registry";
/// Path of the registry status including the current view of the searchers.
pub const REGISTRY_VIEW_PATH: &str = "/registry/view";

/// The parts of a request head that matter to the mixer.
pub struct Head<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: Option<&'a str>,
    pub op_type: Option<&'a str>,
    pub tenant: Option<&'a str>,
    pub deadline: Option<&'a str>,
    pub resubmitted: Option<&'a str>,
}

/// Header with the id of the multiget.
pub const ID_HEADER: &str = "Req-Id";
/// Header with the op type, which must match the path.
pub const OP_TYPE_HEADER: &str = "Req-Kind";
/// Header with the tenant.
pub const TENANT_HEADER: &str = "Req-Owner";
/// Header with the time limit, a number with the unit `m` (milliseconds) or `u` (microseconds).
pub const DEADLINE_HEADER: &str = "Req-Deadline";
/// Header that is `1` if the client resubmits the multiget.
pub const RESUBMITTED_HEADER: &str = "Req-Retry";

/// Headers that must not occur more than once.
pub const SINGLE_HEADERS: [&str; 5] = [
    ID_HEADER,
    OP_TYPE_HEADER,
    TENANT_HEADER,
    DEADLINE_HEADER,
    RESUBMITTED_HEADER,
];

/// A decoded multiget request.
#[derive(Debug, PartialEq)]
pub struct Request {
    pub id: MultigetId,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    pub resubmitted: bool,
    /// How long the client waits for the answer.
    pub time_limit: Span,
    /// The predicate, forwarded to the searchers unchanged.
    pub text: Bytes,
    pub parts: Vec<RequestPart>,
}

/// One part of a multiget: a shard with its share of the whole and an optional cost hint.
#[derive(Debug, PartialEq)]
pub struct RequestPart {
    pub shard: Shard,
    /// Share of the whole; the shares of all parts sum to 1.
    pub weight: f64,
    /// The client's cost estimate, if given.
    pub hint: Option<Span>,
}

/// Why a request is rejected: an HTTP status and a one-line message.
#[derive(Debug, PartialEq)]
pub struct RequestError {
    pub status: u16,
    pub message: String,
}

impl RequestError {
    pub fn new(status: u16, message: impl Into<String>) -> Self {
        RequestError {
            status,
            message: message.into(),
        }
    }
}

#[derive(Deserialize)]
struct Body {
    ranges: Vec<Range>,
    predicate: String,
}

#[derive(Deserialize)]
struct Range {
    range: usize,
    portion: f64,
    price: Option<u64>,
}

/// Checks the request head alone, before the body is read.
pub fn check_head(head: &Head, names: &Names) -> Result<(), RequestError> {
    parse_head(head, names).map(|_| ())
}

/// Longer time limits are rejected as mistakes.
const MAX_TIME_LIMIT: Span = Span::from_millis(24 * 60 * 60 * 1_000);

/// Values taken from a valid request head.
struct HeadFields {
    op_type: OpTypeId,
    tenant: Option<TenantId>,
    time_limit: Span,
}

/// Validates a request head and extracts its values.
fn parse_head(head: &Head, names: &Names) -> Result<HeadFields, RequestError> {
    let path = head.path.strip_prefix('/').unwrap_or_default();
    let op_type = *(names.op_types.get(path))
        .ok_or_else(|| RequestError::new(404, format!("no op type is served at {}", head.path)))?;
    if head.method != "POST" {
        return Err(RequestError::new(405, "a multiget is a POST"));
    }
    let bad_request = |message: String| RequestError::new(400, message);
    match head.op_type {
        Some(header) if header != path => {
            return Err(bad_request(format!(
                "{OP_TYPE_HEADER} does not agree with the path"
            )));
        }
        Some(_) => {}
        None => return Err(bad_request(format!("{OP_TYPE_HEADER} is missing"))),
    }
    let tenant = match head.tenant {
        None if names.tenants.is_empty() => None,
        None => return Err(bad_request(format!("{TENANT_HEADER} is missing"))),
        Some(name) => {
            let tenant = names.tenants.get(name).copied();
            let no_tenants_configured = names.tenants.is_empty();
            if tenant.is_none() && !no_tenants_configured {
                return Err(bad_request(format!(
                    "{TENANT_HEADER}: no tenant is named so"
                )));
            }
            tenant
        }
    };
    let time_limit = head
        .deadline
        .ok_or_else(|| bad_request(format!("{DEADLINE_HEADER} is missing")))?;
    let time_limit = parse_span(time_limit)
        .ok_or_else(|| bad_request(format!("{DEADLINE_HEADER} is no number with m or u")))?;
    if time_limit == Span::ZERO || time_limit > MAX_TIME_LIMIT {
        return Err(bad_request(format!(
            "{DEADLINE_HEADER} is zero or beyond a day"
        )));
    }
    let id = head
        .id
        .ok_or_else(|| bad_request(format!("{ID_HEADER} is missing")))?;
    // The id becomes part of frames and part ids, so it must not contain their separators.
    if id.is_empty()
        || id.len() > 128
        || !id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
    {
        return Err(bad_request(format!(
            "{ID_HEADER} is not 1 to 128 letters, digits, - or _"
        )));
    }
    Ok(HeadFields {
        op_type,
        tenant,
        time_limit,
    })
}

/// Decodes and validates a request.
pub fn decode(
    head: &Head,
    body: &[u8],
    names: &Names,
    shard_count: usize,
) -> Result<Request, RequestError> {
    let HeadFields {
        op_type,
        tenant,
        time_limit,
    } = parse_head(head, names)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(RequestError::new(413, "the body is too large"));
    }
    let bad_request = |message: String| RequestError::new(400, message);
    let body: Body =
        serde_json::from_slice(body).map_err(|e| bad_request(format!("the body: {e}")))?;
    if body.ranges.is_empty() {
        return Err(bad_request("ranges: none are asked for".into()));
    }
    let mut seen = BTreeSet::new();
    for part in &body.ranges {
        let shard = part.range;
        if shard >= shard_count {
            return Err(bad_request(format!(
                "range {shard} is beyond the last, {}",
                shard_count - 1
            )));
        }
        if !seen.insert(shard) {
            return Err(bad_request(format!("range {shard} is named twice")));
        }
        if !(part.portion > 0.0 && part.portion <= 1.0) {
            return Err(bad_request(format!("portion of range {shard} is no share")));
        }
    }
    // Portions are rounded in decimal notation: three of 0.333333 count as a whole.
    const ROUNDING: f64 = 0.001;
    let portion_sum: f64 = body.ranges.iter().map(|part| part.portion).sum();
    if (portion_sum - 1.0).abs() > ROUNDING {
        return Err(bad_request(format!(
            "portions sum to {portion_sum}, not to 1"
        )));
    }
    let part = |range: &Range| RequestPart {
        shard: Shard(range.range),
        weight: range.portion / portion_sum,
        hint: range.price.map(Span::from_micros),
    };
    Ok(Request {
        id: MultigetId::new(head.id.unwrap_or_default()),
        op_type,
        tenant,
        resubmitted: head.resubmitted == Some("1"),
        time_limit,
        text: body.predicate.into_bytes().into(),
        parts: body.ranges.iter().map(part).collect(),
    })
}

/// Parses a number with the unit `m` (milliseconds) or `u` (microseconds).
fn parse_span(text: &str) -> Option<Span> {
    let (number, us_per_unit) = match text.strip_suffix('m') {
        Some(number) => (number, 1_000),
        None => (text.strip_suffix('u')?, 1),
    };
    let digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    let number: u64 = digits.then(|| number.parse().ok())??;
    number
        .checked_mul(us_per_unit)
        .filter(|&us| us < u64::MAX / 4)
        .map(Span::from_micros)
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    total: bool,
    answers: Vec<AnswerItem<'a>>,
}

#[derive(Serialize)]
struct AnswerItem<'a> {
    range: usize,
    blob: &'a str,
}

/// Encodes the body of an answer; `complete` is whether all parts were answered.
pub fn encode_answer<'a>(complete: bool, values: impl Iterator<Item = (Shard, &'a str)>) -> Bytes {
    let answers = values
        .map(|(shard, blob)| AnswerItem {
            range: shard.0,
            blob,
        })
        .collect();
    let text = AnswerBody {
        total: complete,
        answers,
    };
    serde_json::to_vec(&text).unwrap_or_default().into()
}

/// Formats the value of a `Retry-After` header in decimal seconds.
pub fn retry_after(span: Span) -> String {
    let mut text = String::new();
    let _ = write!(text, "{:.3}", span.as_secs());
    text
}
