//! MIXED, REFUSED and LOST: what clients were answered.

use super::{Evidence, Index, Rule, Verdict};
use crate::record::{ArrivalOutcome, RunBody};
use crate::request::{AnswerSeen, BodySeen, Break, TryOutcome, TryRecord};

pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for one in &evidence.tries {
        if one.surplus_before {
            verdict.add(
                Rule::Mixed,
                &one.request_id,
                "bytes came while no request was waiting",
            );
        }
        if let TryOutcome::Broken {
            why: Break::NotHttp { reason },
            ..
        } = &one.outcome
        {
            verdict.add(Rule::Mixed, &one.request_id, format!("not HTTP: {reason}"));
        }
        if let Some(seen) = one.seen() {
            check_answer(one, seen, index, verdict);
        }
        check_refused(one, index, verdict);
        check_lost(one, index, evidence.bounds.loss_slack, verdict);
    }
}

fn check_answer(one: &TryRecord, seen: &AnswerSeen, index: &Index<'_>, verdict: &mut Verdict) {
    let is_success = (200..300).contains(&seen.status);
    let id = one.request_id.as_str();
    if seen.request_id.as_ref().is_some_and(|named| named != id) {
        verdict.add(
            Rule::Mixed,
            id,
            format!("the answer names {:?}", seen.request_id),
        );
    }
    if is_success && seen.encoded {
        verdict.add(Rule::Mixed, id, "the body is encoded");
    }
    let Some(signature) = seen.signature.as_deref() else {
        if is_success {
            verdict.add(Rule::Mixed, id, "a success without a signature");
        }
        return;
    };
    let Some((arrival, run)) = index.runs_by_signature.get(signature) else {
        verdict.add(Rule::Mixed, id, format!("no searcher signed {signature}"));
        return;
    };
    if arrival.request_id != id {
        verdict.add(
            Rule::Mixed,
            id,
            format!("the answer belongs to {}", arrival.request_id),
        );
    }
    if run.status != seen.status {
        verdict.add(
            Rule::Mixed,
            id,
            format!("status {} of a run that ended {}", seen.status, run.status),
        );
    }
    if is_success {
        check_body(one, seen, &run.body, index, verdict);
    }
}

fn check_body(
    one: &TryRecord,
    seen: &AnswerSeen,
    made: &RunBody,
    index: &Index<'_>,
    verdict: &mut Verdict,
) {
    let is_whole = matches!(one.outcome, TryOutcome::Whole(_));
    let id = one.request_id.as_str();
    match (&seen.body, made) {
        (BodySeen::Plain { digest }, RunBody::Plain { digest: made }) => {
            if is_whole && digest != made {
                verdict.add(Rule::Mixed, id, "the body is not the searcher's");
            }
        }
        (
            BodySeen::Stream {
                events,
                loose_bytes,
            },
            RunBody::Stream { .. },
        ) => {
            let foreign = events
                .iter()
                .find(|event| !was_made(id, event.digest, index));
            if let Some(foreign) = foreign {
                verdict.add(
                    Rule::Mixed,
                    id,
                    format!("event {} was made by no searcher", foreign.id),
                );
            }
            if is_whole && *loose_bytes {
                verdict.add(
                    Rule::Mixed,
                    id,
                    "the answer ends inside an event and appears complete",
                );
            }
        }
        // A stream that broke off before its head was read in full has no events to compare.
        _ if !is_whole => {}
        _ => verdict.add(
            Rule::Mixed,
            id,
            "a stream in place of a plain body, or the other way round",
        ),
    }
}

fn was_made(request_id: &str, digest: u64, index: &Index<'_>) -> bool {
    index.runs_of(request_id).any(|(_, run)| match &run.body {
        RunBody::Stream { events } => events.iter().any(|event| event.digest == digest),
        RunBody::Plain { .. } => false,
    })
}

fn check_refused(one: &TryRecord, index: &Index<'_>, verdict: &mut Verdict) {
    if one.spec.is_idempotent || !one.is_promise() {
        return;
    }
    if let Some((arrival, _)) = index.runs_of(&one.request_id).next() {
        let status = one.seen().map(|seen| seen.status).unwrap_or_default();
        verdict.add(
            Rule::Refused,
            &one.request_id,
            format!("answered {status} but ran on {}", arrival.instance),
        );
    }
}

/// A connection that ends without a complete answer although no searcher broke off.
fn check_lost(one: &TryRecord, index: &Index<'_>, slack: u64, verdict: &mut Verdict) {
    if !matches!(
        one.outcome,
        TryOutcome::Broken {
            why: Break::Closed,
            ..
        }
    ) {
        return;
    }
    let arrivals = index.arrivals_of(&one.request_id);
    let broke_off = arrivals.iter().any(|arrival| match &arrival.outcome {
        ArrivalOutcome::Broken => true,
        ArrivalOutcome::Ran(run) => run.faulty,
        _ => false,
    });
    let was_read = !arrivals.is_empty() || one.ended - one.sent > slack;
    if was_read && !broke_off {
        verdict.add(
            Rule::Lost,
            &one.request_id,
            format!("{} ended without a complete answer", one.front),
        );
    }
}
