//! Client requests, and the records of what clients received for them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::{Micros, Part};
use crate::http::Request;
use crate::record::EventRecord;

/// A client request. Each of its tries has its own request id.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Name of the kind of request, for statistics.
    pub kind: String,
    /// Name of the route that it uses.
    pub route: String,
    pub host: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// Whether the response is an event stream.
    pub streaming: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether a stream can be resumed with `Last-Event-Id`.
    pub resumable: bool,
    /// Maximum number of searchers that the router may send one try to.
    pub attempts: u32,
    /// Total time limit that the client announces (`Deadline-Remaining`).
    pub deadline: Duration,
    /// When the client disconnects, if not at the announced deadline.
    pub disconnects_after: Option<Duration>,
    /// Latency target to the end of the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest gap between events of a stream.
    pub gap_target: Duration,
    /// Maximum number of retries by the client.
    pub retries: u32,
    pub prompt: Vec<Part>,
    /// Tokens to generate; 0 for plain services.
    pub tokens_out: u64,
}

impl RequestSpec {
    /// Builds the HTTP request of one try.
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

    /// How long the client actually waits.
    pub fn client_timeout(&self) -> Duration {
        self.disconnects_after.unwrap_or(self.deadline)
    }

    /// The gap between events after which a client gives up on a stream.
    pub fn idle_timeout(&self) -> Duration {
        const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
        MIN_IDLE_TIMEOUT
            .max(self.latency_target * 4)
            .max(self.gap_target * 8)
    }
}

/// The body of a response, as far as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceivedBody {
    Plain {
        digest: u64,
    },
    /// `ends_mid_event` is true when the body ended inside an event.
    Stream {
        events: Vec<EventRecord>,
        ends_mid_event: bool,
    },
}

/// A response, as far as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    pub status: u16,
    /// The value of `Request-Identifier`.
    pub request_id: Option<String>,
    pub signature: Option<String>,
    pub retry_after: Option<Duration>,
    /// Whether it has a `Content-Encoding`.
    pub encoded: bool,
    pub body: ReceivedBody,
}

/// Why a try has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection was closed or reset.
    Closed,
    /// The client gave up at a timeout.
    GaveUp,
    /// The client received bytes that are not valid HTTP.
    NotHttp { reason: String },
}

/// The outcome of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// No connection was established.
    NoConnection,
    Complete(ReceivedResponse),
    /// The response is incomplete; `seen` holds what was received.
    Failed {
        seen: Option<ReceivedResponse>,
        cause: FailureCause,
    },
}

/// One try of a client request: the first, or a retry by the client.
#[derive(Clone, Debug)]
pub struct TryRecord {
    pub request_id: String,
    pub spec: std::sync::Arc<RequestSpec>,
    pub body_digest: u64,
    /// Address of the mixer that it was sent to.
    pub front: SocketAddr,
    pub last_event_id: Option<u64>,
    pub sent: Micros,
    /// When the last byte of the request was written; `None` if it wasn't.
    pub written: Option<Micros>,
    pub ended: Micros,
    /// Whether unsolicited bytes were received on the connection before the request was sent.
    pub unsolicited_bytes: bool,
    pub outcome: TryOutcome,
}

impl TryRecord {
    /// The response, complete or not.
    pub fn seen(&self) -> Option<&ReceivedResponse> {
        match &self.outcome {
            TryOutcome::NoConnection => None,
            TryOutcome::Complete(seen) => Some(seen),
            TryOutcome::Failed { seen, .. } => seen.as_ref(),
        }
    }

    /// Whether it ended with a complete 2xx response.
    pub fn is_success(&self) -> bool {
        matches!(&self.outcome, TryOutcome::Complete(seen) if (200..300).contains(&seen.status))
    }

    /// Whether the response promises that the request has not run and never will.
    pub fn promises_not_executed(&self) -> bool {
        matches!(&self.outcome, TryOutcome::Complete(seen) if matches!(seen.status, 408 | 421 | 429 | 503))
    }

    /// Id of the last event received completely.
    pub fn last_event(&self) -> Option<u64> {
        match &self.seen()?.body {
            ReceivedBody::Stream { events, .. } => events.last().map(|event| event.id),
            ReceivedBody::Plain { .. } => None,
        }
    }

    /// When the first event was received.
    pub fn first_event_at(&self) -> Option<Micros> {
        match &self.seen()?.body {
            ReceivedBody::Stream { events, .. } => events.first().map(|event| event.at),
            ReceivedBody::Plain { .. } => None,
        }
    }
}

/// A request with all its tries.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub spec: std::sync::Arc<RequestSpec>,
    /// When it was scheduled. Latency counts from here, including delays in the client.
    pub due: Micros,
    pub ended: Micros,
    pub tries: Vec<TryRecord>,
}

impl RequestRecord {
    /// Whether the last try succeeded.
    pub fn is_served(&self) -> bool {
        self.tries.last().is_some_and(TryRecord::is_success)
    }

    /// Time from the scheduled start to the first event, or to the end of a plain response; `None` unless served.
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
