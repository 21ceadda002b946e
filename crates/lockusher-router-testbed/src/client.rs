//! Clients: a request with its tries, following the rules under "Answers" on the protocol page.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::engine::Micros;
use crate::http::{Connection, HttpError, Request, ResponseHead, SlowLink};
use crate::record::{EventRecord, TestClock, digest};
use crate::request::{
    FailureCause, ReceivedBody, ReceivedResponse, RequestRecord, RequestSpec, TryOutcome, TryRecord,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a retry without `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Additional retries of a client that ignores backoff.
const EXTRA_RETRIES: u32 = 3;
/// Terminates an event of a stream.
const EVENT_END: &[u8] = b"\n\n";

/// Counter for request ids that are unique per try within the process.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// A pause of a client while it sends the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseInHead {
    /// Bytes that are written before the pause.
    pub after_bytes: usize,
    /// Length of the pause.
    pub length: Duration,
}

/// A client that may reuse its connections.
pub struct Client {
    clock: TestClock,
    /// How long a connection may be idle before reuse; `None`: each try opens a new connection.
    max_idle: Option<Duration>,
    /// Whether it ignores `Retry-After`, retrying immediately and more often.
    ignores_backoff: bool,
    /// A pause in the next request.
    pause: Option<PauseInHead>,
    /// The link over which it connects; `None`: loopback itself.
    slow_link: Option<SlowLink>,
    idle: HashMap<SocketAddr, (Connection, Instant)>,
}

impl Client {
    /// A client that opens a connection for each try.
    pub fn new(clock: TestClock) -> Client {
        Client {
            clock,
            max_idle: None,
            ignores_backoff: false,
            pause: None,
            slow_link: None,
            idle: HashMap::new(),
        }
    }

    /// A client that reuses connections that have been idle for at most `max_idle`.
    pub fn keeping_connections(clock: TestClock, max_idle: Duration) -> Client {
        Client {
            max_idle: Some(max_idle),
            ..Client::new(clock)
        }
    }

    /// A client that ignores `Retry-After`, retrying immediately and more often.
    pub fn ignoring_backoff(clock: TestClock) -> Client {
        Client {
            ignores_backoff: true,
            ..Client::new(clock)
        }
    }

    /// The mixer of an open idle connection. The connection is reused until it is closed, even if the mixer is not
    /// ready.
    pub fn pooled_front(&mut self) -> Option<SocketAddr> {
        let limit = self.max_idle?;
        self.idle.retain(|_, (connection, since)| {
            since.elapsed() <= limit && !connection.peer_has_closed()
        });
        self.idle.keys().next().copied()
    }

    /// Opens a connection for the next request to this mixer; `false` if that fails.
    pub fn open_connection(&mut self, front: SocketAddr) -> bool {
        let Ok(connection) = self.open(front, CONNECT_TIMEOUT) else {
            return false;
        };
        self.idle.insert(front, (connection, Instant::now()));
        true
    }

    fn open(&self, front: SocketAddr, timeout: Duration) -> Result<Connection, HttpError> {
        match self.slow_link {
            Some(link) => Connection::open_over(link, front, timeout),
            None => Connection::open(front, timeout),
        }
    }

    /// Opens connections over a slow link from now on.
    pub fn use_slow_link(&mut self, link: SlowLink) {
        self.slow_link = Some(link);
    }

    /// Pauses in the head of the next request.
    pub fn pause_in_next_head(&mut self, pause: PauseInHead) {
        self.pause = Some(pause);
    }

    /// Sends a request, due at `due`, with its retries. `front_for_try` returns the address for a try by its number.
    pub fn request(
        &mut self,
        spec: &Arc<RequestSpec>,
        due: Micros,
        mut front_for_try: impl FnMut(u32) -> SocketAddr,
    ) -> RequestRecord {
        let started_at = Instant::now();
        let mut tries: Vec<TryRecord> = Vec::new();
        let retries = if self.ignores_backoff {
            spec.retries + EXTRA_RETRIES
        } else {
            spec.retries
        };
        for number in 0..=retries {
            let last_event_id = resume_after(spec, &tries);
            let current_try = self.try_once(spec, front_for_try(number), started_at, last_event_id);
            let delay = retry_delay(spec, &current_try, started_at + spec.client_timeout());
            tries.push(current_try);
            let Some(delay) = delay else { break };
            if !self.ignores_backoff {
                std::thread::park_timeout(delay);
            }
        }
        RequestRecord {
            spec: Arc::clone(spec),
            due,
            ended: self.clock.now(),
            tries,
        }
    }

    /// One try at one mixer, of a request that was started at `started_at`.
    pub fn try_once(
        &mut self,
        spec: &Arc<RequestSpec>,
        front: SocketAddr,
        started_at: Instant,
        last_event_id: Option<u64>,
    ) -> TryRecord {
        let request_id = format!(
            "{:016x}",
            NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed) ^ (u64::from(std::process::id()) << 32)
        );
        let client_deadline = started_at + spec.client_timeout();
        let remaining = (started_at + spec.deadline).saturating_duration_since(Instant::now());
        let sent = self.clock.now();
        let mut unsolicited_bytes = false;
        let mut written = None;
        let outcome = match self.connect(front, client_deadline, &mut unsolicited_bytes) {
            Err(_) => TryOutcome::NoConnection,
            Ok(connection) => {
                let request = spec.to_request(&request_id, remaining, last_event_id);
                match self.send(connection, &request, client_deadline) {
                    Err(error) => TryOutcome::Failed {
                        seen: None,
                        cause: failure_cause(error),
                    },
                    Ok(connection) => {
                        written = Some(self.clock.now());
                        self.receive(connection, spec, front, client_deadline)
                    }
                }
            }
        };
        TryRecord {
            request_id,
            spec: Arc::clone(spec),
            body_digest: digest(&spec.body),
            front,
            last_event_id,
            sent,
            written,
            ended: self.clock.now(),
            unsolicited_bytes,
            outcome,
        }
    }

    /// A reusable idle connection, or a new one. Sets `unsolicited` if the idle connection had received unexpected
    /// bytes.
    fn connect(
        &mut self,
        front: SocketAddr,
        client_deadline: Instant,
        unsolicited: &mut bool,
    ) -> Result<Connection, HttpError> {
        if let Some((mut idle, since)) = self.idle.remove(&front) {
            *unsolicited = idle.has_unsolicited_bytes();
            let is_fresh = self.max_idle.is_some_and(|limit| since.elapsed() <= limit);
            if is_fresh && !*unsolicited && !idle.peer_has_closed() {
                return Ok(idle);
            }
        }
        let remaining = client_deadline.saturating_duration_since(Instant::now());
        self.open(front, remaining.min(CONNECT_TIMEOUT))
    }

    /// Sends the request, with a pause in its head if there is to be one.
    fn send(
        &mut self,
        mut connection: Connection,
        request: &Request,
        client_deadline: Instant,
    ) -> Result<Connection, HttpError> {
        connection.set_deadline(Some(client_deadline));
        let bytes = request.to_bytes();
        let mut rest = &bytes[..];
        if let Some(PauseInHead {
            after_bytes,
            length,
        }) = self.pause.take()
        {
            let first;
            (first, rest) = bytes.split_at(after_bytes.min(bytes.len()));
            connection.write(first)?;
            std::thread::park_timeout(length);
        }
        connection.write(rest)?;
        Ok(connection)
    }

    /// Reads the response to a request.
    fn receive(
        &mut self,
        mut connection: Connection,
        spec: &RequestSpec,
        front: SocketAddr,
        client_deadline: Instant,
    ) -> TryOutcome {
        let head = match self.read_head(&mut connection, spec, client_deadline) {
            Ok(head) => head,
            Err(error) => {
                return TryOutcome::Failed {
                    seen: None,
                    cause: failure_cause(error),
                };
            }
        };
        let mut seen = response_from_head(&head);
        match self.read_body(&mut connection, spec, client_deadline, &mut seen) {
            Err(error) => TryOutcome::Failed {
                seen: Some(seen),
                cause: failure_cause(error),
            },
            Ok(()) => {
                if self.max_idle.is_some() && connection.may_be_reused(&head.headers) {
                    self.idle.insert(front, (connection, Instant::now()));
                }
                TryOutcome::Complete(seen)
            }
        }
    }

    fn read_head(
        &self,
        connection: &mut Connection,
        spec: &RequestSpec,
        client_deadline: Instant,
    ) -> Result<ResponseHead, HttpError> {
        connection.set_deadline(Some(read_deadline(spec, client_deadline)));
        connection.read_response_head()
    }

    fn read_body(
        &self,
        connection: &mut Connection,
        spec: &RequestSpec,
        client_deadline: Instant,
        seen: &mut ReceivedResponse,
    ) -> Result<(), HttpError> {
        let is_stream = matches!(seen.body, ReceivedBody::Stream { .. });
        let mut unread = Vec::new();
        loop {
            connection.set_deadline(Some(read_deadline(spec, client_deadline)));
            match connection.read_body_bytes()? {
                Some(chunk) => unread.extend_from_slice(&chunk),
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

    /// Moves complete events from the unread bytes to the record.
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

/// Deadline of the next read: the client's deadline, or earlier for streams that exceed the idle timeout.
fn read_deadline(spec: &RequestSpec, client_deadline: Instant) -> Instant {
    if spec.streaming {
        client_deadline.min(Instant::now() + spec.idle_timeout())
    } else {
        client_deadline
    }
}

fn event_id(text: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(text);
    let line = text.lines().find_map(|line| line.strip_prefix("id: "));
    line.and_then(|id| id.trim().parse().ok()).unwrap_or(0)
}

fn response_from_head(head: &ResponseHead) -> ReceivedResponse {
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

fn failure_cause(error: HttpError) -> FailureCause {
    match error {
        HttpError::TimedOut => FailureCause::GaveUp,
        HttpError::Malformed { reason } => FailureCause::NotHttp { reason },
        HttpError::Io(_) | HttpError::ClosedEarly => FailureCause::Closed,
    }
}

/// The event after which the next try resumes an interrupted stream.
fn resume_after(spec: &RequestSpec, tries: &[TryRecord]) -> Option<u64> {
    if !spec.resumable {
        return None;
    }
    tries.iter().rev().find_map(TryRecord::last_event)
}

/// Delay before the next try; `None` if there is no next try.
fn retry_delay(spec: &RequestSpec, last: &TryRecord, client_deadline: Instant) -> Option<Duration> {
    if last.is_success() || !may_retry(spec, last) {
        return None;
    }
    let remaining = client_deadline.saturating_duration_since(Instant::now());
    let retry_after = last
        .seen()
        .and_then(|seen| seen.retry_after)
        .map(|retry_after| retry_after.min(remaining / 3));
    let delay = retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
    (delay < remaining).then_some(delay)
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
