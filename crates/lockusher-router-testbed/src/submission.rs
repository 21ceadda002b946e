//! Parses the headers of a request to a model searcher into a submission to its engine.

use crate::engine::{MICROS_PER_MS, Micros, NO_DEADLINE, Part, Submission};
use crate::http::Request;
use crate::record::digest;

/// Priority of a request without a `Priority` header.
const DEFAULT_PRIORITY: u8 = 5;

/// Parses the headers of a request into a submission to the engine.
pub(crate) fn parse_submission(request: &Request, now: Micros) -> Submission {
    let headers = &request.headers;
    let (tokens_in, tokens_out) =
        parse_token_counts(headers.get("Token-Counts").unwrap_or_default());
    let request_id = headers.get("Request-Identifier").unwrap_or_default();
    let remaining = headers.number("Deadline-Remaining");
    Submission {
        prefill_only: headers.get("Stage") == Some("prefill"),
        prompt: parse_prompt(
            headers.get("Prompt-Prefix").unwrap_or_default(),
            tokens_in,
            request_id,
        ),
        tokens_out,
        tokens_already_generated: headers
            .number("Last-Event-Id")
            .unwrap_or(0)
            .min(tokens_out - 1),
        priority: headers
            .number("Priority")
            .and_then(|value| u8::try_from(value).ok())
            .unwrap_or(DEFAULT_PRIORITY),
        deadline: remaining.map_or(NO_DEADLINE, |milliseconds| {
            now + milliseconds * MICROS_PER_MS
        }),
        transfer: None,
    }
}

/// Parses the number of prompt tokens and of tokens to generate, of which there is at least one.
fn parse_token_counts(text: &str) -> (u64, u64) {
    let mut counts = text
        .split(',')
        .map(|count| count.trim().parse().unwrap_or(0));
    let tokens_in = counts.next().unwrap_or(0);
    (tokens_in, counts.next().unwrap_or(0).max(1))
}

/// Parses the parts of a prompt; tokens that no part covers become a part private to the request.
fn parse_prompt(prefix: &str, tokens_in: u64, request_id: &str) -> Vec<Part> {
    let mut prompt: Vec<Part> = prefix.split(',').filter_map(parse_part).collect();
    let named_tokens: u64 = prompt.iter().map(|part| part.tokens).sum();
    if tokens_in > named_tokens {
        prompt.push(Part {
            id: digest(request_id.as_bytes()),
            tokens: tokens_in - named_tokens,
        });
    }
    prompt
}

/// Parses `ID:TOKENS` with a hexadecimal id.
fn parse_part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
