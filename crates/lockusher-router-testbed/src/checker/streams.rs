//! ORDER: streams without a piece missing, coming twice or joined from runs that may not be joined.

use super::{Evidence, Index, Rule, Verdict};
use crate::record::{Arrival, EventRecord, RunBody};
use crate::request::{BodySeen, TryOutcome, TryRecord};

pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for one in &evidence.tries {
        let Some(seen) = one.seen() else { continue };
        let BodySeen::Stream { events, .. } = &seen.body else {
            continue;
        };
        if let Err(detail) = check_stream(one, events, index) {
            verdict.add(Rule::Order, &one.request_id, detail);
        }
    }
}

fn check_stream(one: &TryRecord, events: &[EventRecord], index: &Index<'_>) -> Result<(), String> {
    let mut last = one.last_event_id.unwrap_or(0);
    let mut runs: Vec<&str> = Vec::new();
    for event in events {
        let Some(made) = find_event(&one.request_id, event, index) else {
            continue;
        };
        if made.after != last {
            return Err(format!(
                "event {} follows {last} in place of {}",
                event.id, made.after
            ));
        }
        last = event.id;
        if runs.last() != Some(&made.signature) {
            runs.push(made.signature);
        }
    }
    if runs.len() > 1 && !one.spec.resumable {
        return Err(format!("joins pieces of {} runs", runs.len()));
    }
    let is_whole = matches!(one.outcome, TryOutcome::Whole(_));
    if is_whole && last != one.spec.tokens_out {
        return Err(format!(
            "ends as complete after {last} of {} tokens",
            one.spec.tokens_out
        ));
    }
    Ok(())
}

/// An event as a searcher made it.
struct MadeEvent<'a> {
    signature: &'a str,
    /// The event that it follows.
    after: u64,
}

fn find_event<'a>(
    request_id: &str,
    event: &EventRecord,
    index: &Index<'a>,
) -> Option<MadeEvent<'a>> {
    index.runs_of(request_id).find_map(|(arrival, run)| {
        let RunBody::Stream { events } = &run.body else {
            return None;
        };
        let position = events.iter().position(|made| made.digest == event.digest)?;
        Some(MadeEvent {
            signature: &run.signature,
            after: event_before(arrival, events, position),
        })
    })
}

fn event_before(arrival: &Arrival, events: &[EventRecord], position: usize) -> u64 {
    match position.checked_sub(1) {
        Some(before) => events[before].id,
        None => arrival.last_event_id,
    }
}
