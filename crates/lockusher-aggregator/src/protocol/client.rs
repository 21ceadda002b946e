//! Clients' requests and their answers.

use std::collections::BTreeSet;
use std::fmt::Write;

use bytes::Bytes;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;
use serde::{Deserialize, Serialize};

use super::MOST_BODY;

/// The path that tells whether the mixer can serve.
pub const UP: &str = "/up";
/// Where it says how the registry stands, if one is followed.
pub const FLEET: &str = "/fleet";
pub const REGISTRY: &str = "/registry";
/// The same with the view that is held.
pub const REGISTRY_VIEW: &str = "/registry/view";

/// The head of a request, as far as it counts.
pub struct Head<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: Option<&'a str>,
    pub op_type: Option<&'a str>,
    pub tenant: Option<&'a str>,
    pub deadline: Option<&'a str>,
    pub resubmitted: Option<&'a str>,
}

pub const ID: &str = "Req-Id";
pub const OP_TYPE: &str = "Req-Kind";
pub const TENANT: &str = "Req-Owner";
pub const DEADLINE: &str = "Req-Deadline";
pub const RESUBMITTED: &str = "Req-Retry";

/// Headers that may stand once only.
pub const ONCE: [&str; 5] = [ID, OP_TYPE, TENANT, DEADLINE, RESUBMITTED];

/// A multiget as its client asks for it.
#[derive(Debug, PartialEq)]
pub struct Request {
    pub id: MultigetId,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    pub resubmitted: bool,
    /// How long its client waits.
    pub given: Span,
    pub text: Bytes,
    pub parts: Vec<RequestPart>,
}

#[derive(Debug, PartialEq)]
pub struct RequestPart {
    pub shard: Shard,
    pub weight: f64,
    pub hint: Option<Span>,
}

/// Why a request is no use: a status and one line.
#[derive(Debug, PartialEq)]
pub struct Unusable {
    pub status: u16,
    pub why: String,
}

impl Unusable {
    pub fn new(status: u16, why: impl Into<String>) -> Self {
        Unusable {
            status,
            why: why.into(),
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

/// What of a request's head alone makes it no use.
pub fn check(head: &Head, names: &Names) -> Result<(), Unusable> {
    line(head, names).map(|_| ())
}

/// A time limit beyond this is a mistake.
const LONGEST: Span = Span::from_millis(24 * 60 * 60 * 1_000);

struct Line {
    op_type: OpTypeId,
    tenant: Option<TenantId>,
    given: Span,
}

fn line(head: &Head, names: &Names) -> Result<Line, Unusable> {
    let path = head.path.strip_prefix('/').unwrap_or_default();
    let op_type = *(names.op_types.get(path))
        .ok_or_else(|| Unusable::new(404, format!("no op type is served at {}", head.path)))?;
    if head.method != "POST" {
        return Err(Unusable::new(405, "a multiget is a POST"));
    }
    let bad = |why: String| Unusable::new(400, why);
    match head.op_type {
        Some(kind) if kind != path => {
            return Err(bad(format!("{OP_TYPE} does not agree with the path")));
        }
        Some(_) => {}
        None => return Err(bad(format!("{OP_TYPE} is missing"))),
    }
    let tenant = match head.tenant {
        None if names.tenants.is_empty() => None,
        None => return Err(bad(format!("{TENANT} is missing"))),
        Some(name) => {
            let known = names.tenants.get(name).copied();
            let nameless = names.tenants.is_empty();
            if known.is_none() && !nameless {
                return Err(bad(format!("{TENANT}: no tenant is named so")));
            }
            known
        }
    };
    let given = head
        .deadline
        .ok_or_else(|| bad(format!("{DEADLINE} is missing")))?;
    let given = span(given).ok_or_else(|| bad(format!("{DEADLINE} is no number with m or u")))?;
    if given == Span::ZERO || given > LONGEST {
        return Err(bad(format!("{DEADLINE} is zero or beyond a day")));
    }
    let id = head.id.ok_or_else(|| bad(format!("{ID} is missing")))?;
    // It goes into frames and part ids: nothing that ends a word there.
    if id.is_empty()
        || id.len() > 128
        || !id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
    {
        return Err(bad(format!("{ID} is not 1 to 128 letters, digits, - or _")));
    }
    Ok(Line {
        op_type,
        tenant,
        given,
    })
}

pub fn decode(head: &Head, body: &[u8], names: &Names, shards: usize) -> Result<Request, Unusable> {
    let Line {
        op_type,
        tenant,
        given,
    } = line(head, names)?;
    if body.len() > MOST_BODY {
        return Err(Unusable::new(413, "the body is too large"));
    }
    let bad = |why: String| Unusable::new(400, why);
    let body: Body = serde_json::from_slice(body).map_err(|e| bad(format!("the body: {e}")))?;
    if body.ranges.is_empty() {
        return Err(bad("ranges: none are asked for".into()));
    }
    let mut seen = BTreeSet::new();
    for part in &body.ranges {
        let shard = part.range;
        if shard >= shards {
            return Err(bad(format!(
                "range {shard} is beyond the last, {}",
                shards - 1
            )));
        }
        if !seen.insert(shard) {
            return Err(bad(format!("range {shard} is named twice")));
        }
        if !(part.portion > 0.0 && part.portion <= 1.0) {
            return Err(bad(format!("portion of range {shard} is no share")));
        }
    }
    // Written shares are rounded: three of 0.333333 are a whole.
    const ROUNDED: f64 = 0.001;
    let all: f64 = body.ranges.iter().map(|part| part.portion).sum();
    if (all - 1.0).abs() > ROUNDED {
        return Err(bad(format!("portions sum to {all}, not to 1")));
    }
    let part = |r: &Range| RequestPart {
        shard: Shard(r.range),
        weight: r.portion / all,
        hint: r.price.map(Span::from_micros),
    };
    Ok(Request {
        id: MultigetId::new(head.id.unwrap_or_default()),
        op_type,
        tenant,
        resubmitted: head.resubmitted == Some("1"),
        given,
        text: body.predicate.into_bytes().into(),
        parts: body.ranges.iter().map(part).collect(),
    })
}

fn span(text: &str) -> Option<Span> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1_000),
        None => (text.strip_suffix('u')?, 1),
    };
    let digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    let number: u64 = digits.then(|| number.parse().ok())??;
    number
        .checked_mul(scale)
        .filter(|&us| us < u64::MAX / 4)
        .map(Span::from_micros)
}

#[derive(Serialize)]
struct AnswerText<'a> {
    total: bool,
    answers: Vec<Hit<'a>>,
}

#[derive(Serialize)]
struct Hit<'a> {
    range: usize,
    blob: &'a str,
}

/// The body of an answer.
pub fn answer<'a>(whole: bool, values: impl Iterator<Item = (Shard, &'a str)>) -> Bytes {
    let answers = values
        .map(|(shard, blob)| Hit {
            range: shard.0,
            blob,
        })
        .collect();
    let text = AnswerText {
        total: whole,
        answers,
    };
    serde_json::to_vec(&text).unwrap_or_default().into()
}

/// A time to come back, in decimal seconds.
pub fn retry_after(span: Span) -> String {
    let mut text = String::new();
    let _ = write!(text, "{:.3}", span.as_secs());
    text
}
