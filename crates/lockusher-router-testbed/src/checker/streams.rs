//! ORDER: checks that streams have no missing or duplicated events and join runs only where a resume is allowed.

use super::{Evidence, Index, Rule, Verdict};
use crate::record::{Arrival, EventRecord, RunBody};
use crate::request::{ReceivedBody, TryOutcome, TryRecord};

/// Checks the events of every stream.
pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for record in &evidence.tries {
        let Some(seen) = record.seen() else { continue };
        let ReceivedBody::Stream { events, .. } = &seen.body else {
            continue;
        };
        if let Err(detail) = check_stream(record, events, index) {
            verdict.add(Rule::Order, &record.request_id, detail);
        }
    }
}

fn check_stream(
    record: &TryRecord,
    events: &[EventRecord],
    index: &Index<'_>,
) -> Result<(), String> {
    let mut last_id = record.last_event_id.unwrap_or(0);
    let mut runs: Vec<&str> = Vec::new();
    for event in events {
        let Some(produced) = find_event(&record.request_id, event, index) else {
            continue;
        };
        if produced.after != last_id {
            return Err(format!(
                "event {} follows event {last_id} instead of {}",
                event.id, produced.after
            ));
        }
        last_id = event.id;
        if runs.last() != Some(&produced.signature) {
            runs.push(produced.signature);
        }
    }
    if runs.len() > 1 && !record.spec.resumable {
        return Err(format!(
            "joins events of {} runs, but the request is not resumable",
            runs.len()
        ));
    }
    let is_complete = matches!(record.outcome, TryOutcome::Complete(_));
    if is_complete && last_id != record.spec.tokens_out {
        return Err(format!(
            "complete response has {last_id} of {} tokens",
            record.spec.tokens_out
        ));
    }
    Ok(())
}

/// An event as a searcher produced it.
struct ProducedEvent<'a> {
    signature: &'a str,
    /// Id of the event before it.
    after: u64,
}

fn find_event<'a>(
    request_id: &str,
    event: &EventRecord,
    index: &Index<'a>,
) -> Option<ProducedEvent<'a>> {
    index.runs_of(request_id).find_map(|(arrival, run)| {
        let RunBody::Stream { events } = &run.body else {
            return None;
        };
        let position = events
            .iter()
            .position(|produced| produced.digest == event.digest)?;
        Some(ProducedEvent {
            signature: &run.signature,
            after: id_before(arrival, events, position),
        })
    })
}

fn id_before(arrival: &Arrival, events: &[EventRecord], position: usize) -> u64 {
    match position.checked_sub(1) {
        Some(before) => events[before].id,
        None => arrival.last_event_id,
    }
}
