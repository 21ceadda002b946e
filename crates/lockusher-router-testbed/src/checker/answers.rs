//! MIXED, REFUSED and LOST: compares the responses that clients received with the runs at searchers.

use super::{Evidence, Index, Rule, Verdict};
use crate::record::{ArrivalOutcome, RunBody};
use crate::request::{FailureCause, ReceivedBody, ReceivedResponse, TryOutcome, TryRecord};

/// Checks the response of every try.
pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for record in &evidence.tries {
        if record.unsolicited_bytes {
            verdict.add(
                Rule::Mixed,
                &record.request_id,
                "received unsolicited bytes on an idle connection",
            );
        }
        if let TryOutcome::Failed {
            cause: FailureCause::NotHttp { reason },
            ..
        } = &record.outcome
        {
            verdict.add(
                Rule::Mixed,
                &record.request_id,
                format!("response is not HTTP: {reason}"),
            );
        }
        if let Some(seen) = record.seen() {
            check_answer(record, seen, index, verdict);
        }
        check_refused(record, index, verdict);
        check_lost(record, index, evidence.bounds.loss_slack, verdict);
    }
}

fn check_answer(
    record: &TryRecord,
    seen: &ReceivedResponse,
    index: &Index<'_>,
    verdict: &mut Verdict,
) {
    let is_success = (200..300).contains(&seen.status);
    let request_id = record.request_id.as_str();
    if seen
        .request_id
        .as_ref()
        .is_some_and(|answered_id| answered_id != request_id)
    {
        verdict.add(
            Rule::Mixed,
            request_id,
            format!("response carries Request-Identifier {:?}", seen.request_id),
        );
    }
    if is_success && seen.encoded {
        verdict.add(
            Rule::Mixed,
            request_id,
            "successful response has a Content-Encoding",
        );
    }
    let Some(signature) = seen.signature.as_deref() else {
        if is_success {
            verdict.add(
                Rule::Mixed,
                request_id,
                "successful response has no Server-Signature",
            );
        }
        return;
    };
    let Some((arrival, run)) = index.runs_by_signature.get(signature) else {
        verdict.add(
            Rule::Mixed,
            request_id,
            format!("no run has Server-Signature {signature}"),
        );
        return;
    };
    if arrival.request_id != request_id {
        verdict.add(
            Rule::Mixed,
            request_id,
            format!("response belongs to request {}", arrival.request_id),
        );
    }
    if run.status != seen.status {
        verdict.add(
            Rule::Mixed,
            request_id,
            format!(
                "response has status {}, the run ended with {}",
                seen.status, run.status
            ),
        );
    }
    if is_success {
        check_body(record, seen, &run.body, index, verdict);
    }
}

fn check_body(
    record: &TryRecord,
    seen: &ReceivedResponse,
    produced: &RunBody,
    index: &Index<'_>,
    verdict: &mut Verdict,
) {
    let is_complete = matches!(record.outcome, TryOutcome::Complete(_));
    let request_id = record.request_id.as_str();
    match (&seen.body, produced) {
        (ReceivedBody::Plain { digest }, RunBody::Plain { digest: produced }) => {
            if is_complete && digest != produced {
                verdict.add(
                    Rule::Mixed,
                    request_id,
                    "response body differs from the searcher's",
                );
            }
        }
        (
            ReceivedBody::Stream {
                events,
                ends_mid_event,
            },
            RunBody::Stream { .. },
        ) => {
            let unknown = events
                .iter()
                .find(|event| !was_produced(request_id, event.digest, index));
            if let Some(unknown) = unknown {
                verdict.add(
                    Rule::Mixed,
                    request_id,
                    format!("event {} was produced by no searcher", unknown.id),
                );
            }
            if is_complete && *ends_mid_event {
                verdict.add(
                    Rule::Mixed,
                    request_id,
                    "complete response ends inside an event",
                );
            }
        }
        // A stream that failed before its head was read has no events to compare.
        _ if !is_complete => {}
        _ => verdict.add(
            Rule::Mixed,
            request_id,
            "one side has a stream and the other a plain body",
        ),
    }
}

fn was_produced(request_id: &str, digest: u64, index: &Index<'_>) -> bool {
    index.runs_of(request_id).any(|(_, run)| match &run.body {
        RunBody::Stream { events } => events.iter().any(|event| event.digest == digest),
        RunBody::Plain { .. } => false,
    })
}

/// Reports a request that ran although its response promised that it never runs.
fn check_refused(record: &TryRecord, index: &Index<'_>, verdict: &mut Verdict) {
    if record.spec.is_idempotent || !record.promises_not_executed() {
        return;
    }
    if let Some((arrival, _)) = index.runs_of(&record.request_id).next() {
        let status = record.seen().map(|seen| seen.status).unwrap_or_default();
        verdict.add(
            Rule::Refused,
            &record.request_id,
            format!(
                "status {status} promises that the request never runs, but it ran on {}",
                arrival.instance
            ),
        );
    }
}

/// Reports a connection that closed without a complete response although no searcher failed.
fn check_lost(record: &TryRecord, index: &Index<'_>, loss_slack: u64, verdict: &mut Verdict) {
    if !matches!(
        record.outcome,
        TryOutcome::Failed {
            cause: FailureCause::Closed,
            ..
        }
    ) {
        return;
    }
    let arrivals = index.arrivals_of(&record.request_id);
    let searcher_failed = arrivals.iter().any(|arrival| match &arrival.outcome {
        ArrivalOutcome::Failed => true,
        ArrivalOutcome::Ran(run) => run.faulty,
        _ => false,
    });
    let was_received = !arrivals.is_empty() || record.ended - record.sent > loss_slack;
    if was_received && !searcher_failed {
        verdict.add(
            Rule::Lost,
            &record.request_id,
            format!(
                "{} closed the connection without a complete response",
                record.front
            ),
        );
    }
}
