//! Requests of clients, and what clients saw of them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::{Micros, Part};
use crate::http::Request;
use crate::record::EventRecord;

/// What a client asks for; every try of it has its own id.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Name of the kind of request, for figures.
    pub kind: String,
    pub route: String,
    pub host: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// Whether the answer is a series of events.
    pub streaming: bool,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Whether a stream may be taken up with `Last-Event-Id`.
    pub resumable: bool,
    /// Searchers that one try may be sent to.
    pub attempts: u32,
    /// How long the client says that it waits in all.
    pub deadline: Duration,
    /// A client that leaves at another time than it said does so after this time.
    pub leaves_after: Option<Duration>,
    /// Objective to the end of the answer, or to the first event of a stream.
    pub aim: Duration,
    /// Longest pause between events of a stream that is in time.
    pub gap_aim: Duration,
    /// Tries after the first.
    pub retries: u32,
    pub prompt: Vec<Part>,
    /// Tokens to make; 0 for plain services.
    pub tokens_out: u64,
}

impl RequestSpec {
    /// The request of one try.
    pub fn to_request(
        &self,
        request_id: &str,
        remaining: Duration,
        last_event_id: Option<u64>,
    ) -> Request {
        let mut request = Request::new(&self.method, &self.target)
            .header("Host", self.host.as_str())
            .header("Request-Identifier", request_id)
            .header("Deadline-Remaining", remaining.as_millis().to_string())
            .body(self.body.clone());
        if let Some(id) = last_event_id {
            request = request.header("Last-Event-Id", id.to_string());
        }
        if self.streaming {
            let tokens_in: u64 = self.prompt.iter().map(|part| part.tokens).sum();
            let parts: Vec<String> = self
                .prompt
                .iter()
                .map(|part| format!("{:x}:{}", part.id, part.tokens))
                .collect();
            request = request
                .header("Model", "m")
                .header("Token-Counts", format!("{tokens_in},{}", self.tokens_out))
                .header("Prompt-Prefix", parts.join(","));
        }
        request
    }

    /// How long the client really waits.
    pub fn patience(&self) -> Duration {
        self.leaves_after.unwrap_or(self.deadline)
    }

    /// The silence after which a client gives a stream up.
    pub fn longest_silence(&self) -> Duration {
        const SHORTEST: Duration = Duration::from_secs(2);
        SHORTEST.max(self.aim * 4).max(self.gap_aim * 8)
    }
}

/// The body of an answer as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodySeen {
    Plain {
        digest: u64,
    },
    /// `loose_bytes` when the body ended inside an event.
    Stream {
        events: Vec<EventRecord>,
        loose_bytes: bool,
    },
}

/// An answer as far as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerSeen {
    pub status: u16,
    /// Its `Request-Identifier`.
    pub request_id: Option<String>,
    pub signature: Option<String>,
    pub retry_after: Option<Duration>,
    /// Whether it carried a `Content-Encoding`.
    pub encoded: bool,
    pub body: BodySeen,
}

/// Why a try has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Break {
    /// The connection ended or was reset.
    Closed,
    /// The client gave up.
    GaveUp,
    /// Bytes came that are not HTTP.
    NotHttp { reason: String },
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The connection never came up.
    NoConnection,
    Whole(AnswerSeen),
    /// `seen` holds what came before the break.
    Broken {
        seen: Option<AnswerSeen>,
        why: Break,
    },
}

/// One try of a request.
#[derive(Clone, Debug)]
pub struct TryRecord {
    pub request_id: String,
    pub spec: std::sync::Arc<RequestSpec>,
    pub body_digest: u64,
    pub front: SocketAddr,
    pub last_event_id: Option<u64>,
    pub sent: Micros,
    pub ended: Micros,
    /// Whether bytes came on the connection while no request was waiting.
    pub surplus_before: bool,
    pub outcome: TryOutcome,
}

impl TryRecord {
    /// The answer, whole or not.
    pub fn seen(&self) -> Option<&AnswerSeen> {
        match &self.outcome {
            TryOutcome::NoConnection => None,
            TryOutcome::Whole(seen) => Some(seen),
            TryOutcome::Broken { seen, .. } => seen.as_ref(),
        }
    }

    /// Whether it ended with a whole success.
    pub fn is_success(&self) -> bool {
        matches!(&self.outcome, TryOutcome::Whole(seen) if (200..300).contains(&seen.status))
    }

    /// Whether the answer promises that the request has not run and never will.
    pub fn is_promise(&self) -> bool {
        matches!(&self.outcome, TryOutcome::Whole(seen) if matches!(seen.status, 408 | 421 | 429 | 503))
    }

    /// The last event that came whole.
    pub fn last_event(&self) -> Option<u64> {
        match &self.seen()?.body {
            BodySeen::Stream { events, .. } => events.last().map(|event| event.id),
            BodySeen::Plain { .. } => None,
        }
    }

    /// When the first event came.
    pub fn first_event_at(&self) -> Option<Micros> {
        match &self.seen()?.body {
            BodySeen::Stream { events, .. } => events.first().map(|event| event.at),
            BodySeen::Plain { .. } => None,
        }
    }
}

/// A request with all its tries.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub spec: std::sync::Arc<RequestSpec>,
    /// When it was due; later than that it is late, whatever kept the client.
    pub due: Micros,
    pub ended: Micros,
    pub tries: Vec<TryRecord>,
}

impl RequestRecord {
    /// Whether the last try was a whole success.
    pub fn is_served(&self) -> bool {
        self.tries.last().is_some_and(TryRecord::is_success)
    }

    /// From when it was due to the first event, or to the end of a plain answer; of served requests only.
    pub fn latency(&self) -> Option<Micros> {
        let served = self.tries.last().filter(|last| last.is_success())?;
        let first_event = self.tries.iter().find_map(TryRecord::first_event_at);
        let at = if self.spec.streaming {
            first_event?
        } else {
            served.ended
        };
        Some(at.saturating_sub(self.due))
    }
}
