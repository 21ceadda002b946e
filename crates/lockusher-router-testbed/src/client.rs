//! Clients: one request with its tries, as the protocol page says under "Answers".

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::engine::Micros;
use crate::http::{Connection, HttpError, Request, ResponseHead};
use crate::record::{EventRecord, TestClock, digest};
use crate::request::{
    FailureCause, ReceivedBody, ReceivedResponse, RequestRecord, RequestSpec, TryOutcome, TryRecord,
};

/// How long a new connection is given to come up.
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// The pause before a retry that was not told when to come back.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Retries of a hasty client beyond those of others.
const HASTY_RETRIES: u32 = 3;
/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Gives every try in a process an id of its own.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A client; it may keep its connections.
pub struct Client {
    clock: TestClock,
    /// How long a connection may rest before it is used again; `None`: each try opens a new one.
    reuse_within: Option<Duration>,
    /// Doesn't wait as told, and retries at once and more often.
    hasty: bool,
    resting: HashMap<SocketAddr, (Connection, Instant)>,
}

impl Client {
    /// A client that opens a connection for each try.
    pub fn new(clock: TestClock) -> Client {
        Client {
            clock,
            reuse_within: None,
            hasty: false,
            resting: HashMap::new(),
        }
    }

    /// A client that uses connections again that have rested for no longer than `reuse_within`.
    pub fn keeping_connections(clock: TestClock, reuse_within: Duration) -> Client {
        Client {
            reuse_within: Some(reuse_within),
            ..Client::new(clock)
        }
    }

    /// A client that doesn't wait as told, and retries at once and more often.
    pub fn hasty(clock: TestClock) -> Client {
        Client {
            hasty: true,
            ..Client::new(clock)
        }
    }

    /// A mixer to which a kept connection is open. It stays with its mixer until it is closed, whether or not that calls
    /// itself ready.
    pub fn retained_front(&mut self) -> Option<SocketAddr> {
        let most = self.reuse_within?;
        self.resting.retain(|_, (connection, since)| {
            since.elapsed() <= most && !connection.peer_has_closed()
        });
        self.resting.keys().next().copied()
    }

    /// Sends a request, due at `due`, with its retries. `front_of` gives the address for the try of a number.
    pub fn request(
        &mut self,
        spec: &Arc<RequestSpec>,
        due: Micros,
        mut front_of: impl FnMut(u32) -> SocketAddr,
    ) -> RequestRecord {
        let begun = Instant::now();
        let mut tries: Vec<TryRecord> = Vec::new();
        let retries = if self.hasty {
            spec.retries + HASTY_RETRIES
        } else {
            spec.retries
        };
        for number in 0..=retries {
            let last_event_id = resume_after(spec, &tries);
            let one = self.try_once(spec, front_of(number), begun, last_event_id);
            let pause = pause_before_retry(spec, &one, begun + spec.client_timeout());
            tries.push(one);
            let Some(pause) = pause else { break };
            if !self.hasty {
                std::thread::park_timeout(pause);
            }
        }
        RequestRecord {
            spec: Arc::clone(spec),
            due,
            ended: self.clock.now(),
            tries,
        }
    }

    /// One try at one mixer, of a request that began at `begun`.
    pub fn try_once(
        &mut self,
        spec: &Arc<RequestSpec>,
        front: SocketAddr,
        begun: Instant,
        last_event_id: Option<u64>,
    ) -> TryRecord {
        let request_id = format!(
            "{:016x}",
            NEXT_ID.fetch_add(1, Ordering::Relaxed) ^ (u64::from(std::process::id()) << 32)
        );
        let give_up = begun + spec.client_timeout();
        let remaining = (begun + spec.deadline).saturating_duration_since(Instant::now());
        let sent = self.clock.now();
        let mut unsolicited_bytes = false;
        let outcome = match self.connect(front, give_up, &mut unsolicited_bytes) {
            Err(_) => TryOutcome::NoConnection,
            Ok(connection) => {
                let request = spec.to_request(&request_id, remaining, last_event_id);
                self.converse(connection, spec, front, &request, give_up)
            }
        };
        TryRecord {
            request_id,
            spec: Arc::clone(spec),
            body_digest: digest(&spec.body),
            front,
            last_event_id,
            sent,
            ended: self.clock.now(),
            unsolicited_bytes,
            outcome,
        }
    }

    /// A resting connection that is still good, or a new one.
    fn connect(
        &mut self,
        front: SocketAddr,
        give_up: Instant,
        surplus: &mut bool,
    ) -> Result<Connection, HttpError> {
        if let Some((mut resting, since)) = self.resting.remove(&front) {
            *surplus = resting.has_unsolicited_bytes();
            let is_young = self
                .reuse_within
                .is_some_and(|most| since.elapsed() <= most);
            if is_young && !*surplus && !resting.peer_has_closed() {
                return Ok(resting);
            }
        }
        let left = give_up.saturating_duration_since(Instant::now());
        Connection::open(front, left.min(CONNECT_WAIT))
    }

    fn converse(
        &mut self,
        mut connection: Connection,
        spec: &RequestSpec,
        front: SocketAddr,
        request: &Request,
        give_up: Instant,
    ) -> TryOutcome {
        connection.set_deadline(Some(give_up));
        if let Err(error) = connection.write(&request.to_bytes()) {
            return TryOutcome::Failed {
                seen: None,
                cause: break_of(error),
            };
        }
        let head = match self.read_head(&mut connection, spec, give_up) {
            Ok(head) => head,
            Err(error) => {
                return TryOutcome::Failed {
                    seen: None,
                    cause: break_of(error),
                };
            }
        };
        let mut seen = seen_of(&head);
        match self.read_body(&mut connection, spec, give_up, &mut seen) {
            Err(error) => TryOutcome::Failed {
                seen: Some(seen),
                cause: break_of(error),
            },
            Ok(()) => {
                if self.reuse_within.is_some() && connection.may_be_reused(&head.headers) {
                    self.resting.insert(front, (connection, Instant::now()));
                }
                TryOutcome::Complete(seen)
            }
        }
    }

    fn read_head(
        &self,
        connection: &mut Connection,
        spec: &RequestSpec,
        give_up: Instant,
    ) -> Result<ResponseHead, HttpError> {
        connection.set_deadline(Some(patience(spec, give_up)));
        connection.read_response_head()
    }

    fn read_body(
        &self,
        connection: &mut Connection,
        spec: &RequestSpec,
        give_up: Instant,
        seen: &mut ReceivedResponse,
    ) -> Result<(), HttpError> {
        let is_stream = matches!(seen.body, ReceivedBody::Stream { .. });
        let mut unread = Vec::new();
        loop {
            connection.set_deadline(Some(patience(spec, give_up)));
            match connection.read_body_bytes()? {
                Some(piece) => unread.extend_from_slice(&piece),
                None => break,
            }
            if let ReceivedBody::Stream {
                events,
                ends_mid_event,
            } = &mut seen.body
            {
                self.take_events(&mut unread, events);
                *ends_mid_event = !unread.is_empty();
            }
        }
        if !is_stream {
            seen.body = ReceivedBody::Plain {
                digest: digest(&unread),
            };
        }
        Ok(())
    }

    /// Moves whole events from the bytes to the record.
    fn take_events(&self, unread: &mut Vec<u8>, events: &mut Vec<EventRecord>) {
        while let Some(at) = unread
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)
        {
            let rest = unread.split_off(at + EVENT_END.len());
            let text = std::mem::replace(unread, rest);
            events.push(EventRecord {
                id: event_id(&text),
                digest: digest(&text),
                at: self.clock.now(),
            });
        }
    }
}

/// When a read gives up: at the deadline, or for streams after the longest silence.
fn patience(spec: &RequestSpec, give_up: Instant) -> Instant {
    if spec.streaming {
        give_up.min(Instant::now() + spec.idle_timeout())
    } else {
        give_up
    }
}

fn event_id(text: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(text);
    let line = text.lines().find_map(|line| line.strip_prefix("id: "));
    line.and_then(|id| id.trim().parse().ok()).unwrap_or(0)
}

fn seen_of(head: &ResponseHead) -> ReceivedResponse {
    let headers = &head.headers;
    let is_stream = headers
        .get("Content-Type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    let retry_after = headers
        .get("Retry-After")
        .and_then(|value| value.trim().parse::<f64>().ok());
    ReceivedResponse {
        status: head.status,
        request_id: headers.get("Request-Identifier").map(str::to_owned),
        signature: headers.get("Server-Signature").map(str::to_owned),
        retry_after: retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        encoded: headers.get("Content-Encoding").is_some(),
        body: match is_stream {
            true => ReceivedBody::Stream {
                events: Vec::new(),
                ends_mid_event: false,
            },
            false => ReceivedBody::Plain {
                digest: digest(b""),
            },
        },
    }
}

fn break_of(error: HttpError) -> FailureCause {
    match error {
        HttpError::TimedOut => FailureCause::GaveUp,
        HttpError::Malformed { reason } => FailureCause::NotHttp { reason },
        HttpError::Io(_) | HttpError::ClosedEarly => FailureCause::Closed,
    }
}

/// The event after which the next try takes a broken stream up.
fn resume_after(spec: &RequestSpec, tries: &[TryRecord]) -> Option<u64> {
    if !spec.resumable {
        return None;
    }
    tries.iter().rev().find_map(TryRecord::last_event)
}

/// How long to wait before the next try; `None` when there is none.
fn pause_before_retry(spec: &RequestSpec, last: &TryRecord, give_up: Instant) -> Option<Duration> {
    if last.is_success() || !may_retry(spec, last) {
        return None;
    }
    let left = give_up.saturating_duration_since(Instant::now());
    let told = last
        .seen()
        .and_then(|seen| seen.retry_after)
        .map(|told| told.min(left / 3));
    let pause = told.unwrap_or(RETRY_PAUSE);
    (pause < left).then_some(pause)
}

fn may_retry(spec: &RequestSpec, last: &TryRecord) -> bool {
    match &last.outcome {
        TryOutcome::NoConnection => true,
        TryOutcome::Complete(seen) if matches!(seen.status, 400 | 401 | 404 | 413 | 431) => false,
        _ if last.promises_not_executed() => true,
        TryOutcome::Failed {
            cause: FailureCause::GaveUp,
            ..
        } => spec.is_idempotent && spec.resumable,
        _ => spec.is_idempotent,
    }
}
