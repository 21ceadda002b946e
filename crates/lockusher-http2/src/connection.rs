//! Runs calls over connections and streams, and reports the outcome of each part. Decisions are made in [`crate::pool`]
//! and [`crate::outcome`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, Reason, SendStream};
use http::{Method, Request};
use lockusher_policy::interface::{Outcome, PartId, Span, Time};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

use crate::outcome::{ENHANCE_YOUR_CALM, StreamEnd, StreamProgress, outcome};
use crate::pool::{Action, CallEnd, CallId, ConnectionId, Limits, Pool};
use crate::tap::{FrameObserver, Tap};
use crate::wire::{self, Part, PartEnd, PartEndDecoder};

/// Returns whether a part's result is still wanted.
pub type Wanted = Rc<dyn Fn() -> bool>;

/// A part to send, with the number of the send.
pub struct OutgoingPart {
    pub nth: usize,
    pub part: Part,
    pub wanted: Wanted,
}

/// The end of a send.
pub struct SendResult {
    pub part: PartId,
    pub nth: usize,
    pub outcome: Outcome,
    pub at: Instant,
    /// Score and value, if the part returned.
    pub answer: Option<(i64, String)>,
}

/// The state shared by the hosts of all searchers.
pub struct HostContext<T> {
    pub limits: Limits,
    pub connect_timeout: Span,
    /// File descriptors in use for searchers.
    pub open_sockets: Rc<Cell<usize>>,
    /// Limit on file descriptors in use for searchers.
    pub max_open_sockets: usize,
    /// The router's event queue.
    pub queue: mpsc::Sender<T>,
    /// Converts the end of a send to a router event.
    pub to_event: fn(SendResult) -> T,
    /// The origin of the pools' times.
    pub started: Instant,
}

impl<T> HostContext<T> {
    fn now(&self) -> Time {
        self.at(Instant::now())
    }

    fn at(&self, at: Instant) -> Time {
        Time::from_micros(at.saturating_duration_since(self.started).as_micros() as u64)
    }

    async fn report(&self, result: SendResult) {
        // Sending fails only after the router has ended; the result is then unused.
        let _ = self.queue.send((self.to_event)(result)).await;
    }
}

/// Flow control windows: larger than any value, so that one response that is read slowly doesn't block others.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;
/// Limit on a response's header list.
const MAX_HEADER_LIST_BYTES: u32 = 16 * 1024;

/// A part without a result yet.
struct PendingPart {
    nth: usize,
    part: Part,
    wanted: Wanted,
}

/// A call that has not ended: its pending parts, and its connection and stream.
struct Call {
    parts: Vec<PendingPart>,
    connection: Option<(ConnectionId, Rc<ConnectionHandle>)>,
    stream: Option<u32>,
    /// At least one part end has been received.
    answered: bool,
    writer: Option<SendStream<Bytes>>,
}

/// One connection, shared with the task that drives it.
#[derive(Default)]
struct ConnectionHandle {
    observer: Rc<FrameObserver>,
    sender: RefCell<Option<SendRequest<Bytes>>>,
    ping: Notify,
    close: Notify,
    /// It was aborted because the searcher stopped responding.
    unresponsive: Cell<bool>,
}

/// The connections to one searcher, and the calls sent to it.
pub struct Host<T> {
    context: Rc<HostContext<T>>,
    address: SocketAddr,
    pool: RefCell<Pool>,
    calls: RefCell<HashMap<CallId, Call>>,
    /// The call of each pending send.
    sends: RefCell<HashMap<(PartId, usize), CallId>>,
    connections: RefCell<HashMap<ConnectionId, Rc<ConnectionHandle>>>,
    next_call: Cell<u64>,
    speaks_http2: Cell<bool>,
    wake: Notify,
}

impl<T: 'static> Host<T> {
    /// Creates a host without connections; starts the task that runs the pool's due actions.
    pub fn start(context: Rc<HostContext<T>>, address: SocketAddr) -> Rc<Self> {
        let host = Rc::new(Host {
            pool: RefCell::new(Pool::new(context.limits)),
            context,
            address,
            calls: RefCell::default(),
            sends: RefCell::default(),
            connections: RefCell::default(),
            next_call: Cell::new(0),
            speaks_http2: Cell::new(true),
            wake: Notify::new(),
        });
        let weak = Rc::downgrade(&host);
        tokio::task::spawn_local(async move {
            loop {
                let Some(host) = weak.upgrade() else { return };
                host.run_due_actions();
                let due = host.pool.borrow().next_due();
                let wait = due.map_or(Duration::from_secs(60), |due| {
                    Duration::from_micros(due.since(host.context.now()).as_micros())
                });
                let woken = host.wake.notified();
                let _ = tokio::time::timeout(wait, woken).await;
            }
        });
        host
    }

    /// The searcher's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a send is pending here.
    pub fn has_pending(&self, part: &PartId, nth: usize) -> bool {
        self.call_of(part, nth).is_some()
    }

    /// Whether there are no calls and no connections.
    pub fn is_closed(&self) -> bool {
        self.calls.borrow().is_empty() && self.connections.borrow().is_empty()
    }

    /// False once a connection has shown that the searcher does not speak HTTP/2.
    pub fn speaks_http2(&self) -> bool {
        self.speaks_http2.get()
    }

    /// The number of connections, including those that are connecting or closing.
    pub fn connection_count(&self) -> usize {
        self.pool.borrow().connection_count()
    }

    /// Queues a call; returns it if the queue is full or the host is draining.
    pub fn send(self: &Rc<Self>, call: Vec<OutgoingPart>) -> Result<(), Vec<OutgoingPart>> {
        let id = CallId(self.next_call.replace(self.next_call.get() + 1));
        if !self.pool.borrow_mut().enqueue(id) {
            return Err(call);
        }
        let parts = call.into_iter().map(|sent| PendingPart {
            nth: sent.nth,
            part: sent.part,
            wanted: sent.wanted,
        });
        let parts: Vec<PendingPart> = parts.collect();
        let mut sends = self.sends.borrow_mut();
        sends.extend(
            parts
                .iter()
                .map(|pending| ((pending.part.id.clone(), pending.nth), id)),
        );
        drop(sends);
        let call = Call {
            parts,
            connection: None,
            stream: None,
            answered: false,
            writer: None,
        };
        self.calls.borrow_mut().insert(id, call);
        self.run_and_wake_timer();
        Ok(())
    }

    /// Accepts no call from now on. Returns the sends that were not started; calls in flight may finish.
    pub fn drain(&self) -> Vec<(PartId, usize)> {
        let queued = self.pool.borrow_mut().drain_all();
        let parts = queued
            .into_iter()
            .filter_map(|id| self.remove(id))
            .flat_map(|call| call.parts);
        let unsent = parts
            .map(|pending| (pending.part.id, pending.nth))
            .collect();
        self.wake.notify_one();
        unsent
    }

    /// Drains the connections without calls in flight.
    pub fn drain_idle(&self) {
        self.pool.borrow_mut().drain_idle();
        self.wake.notify_one();
    }

    fn call_of(&self, part: &PartId, nth: usize) -> Option<CallId> {
        self.sends.borrow().get(&(part.clone(), nth)).copied()
    }

    /// Removes a send that has ended or is no longer wanted; returns whether the call has other pending sends.
    fn remove_send(&self, id: CallId, part: &PartId, nth: usize) -> bool {
        self.sends.borrow_mut().remove(&(part.clone(), nth));
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(&id) else {
            return false;
        };
        call.parts
            .retain(|pending| pending.part.id != *part || pending.nth != nth);
        !call.parts.is_empty()
    }

    /// Removes a call with all its sends.
    fn remove(&self, id: CallId) -> Option<Call> {
        let call = self.calls.borrow_mut().remove(&id)?;
        let mut sends = self.sends.borrow_mut();
        for pending in &call.parts {
            sends.remove(&(pending.part.id.clone(), pending.nth));
        }
        Some(call)
    }

    /// The observer, stream and connection of a call whose stream is open.
    fn stream_of(&self, id: CallId) -> Option<(Rc<FrameObserver>, u32, ConnectionId)> {
        let calls = self.calls.borrow();
        let call = calls.get(&id)?;
        let (connection, handle) = call.connection.as_ref()?;
        Some((handle.observer.clone(), call.stream?, *connection))
    }

    /// When the call was written to its last byte.
    fn call_written_at(&self, id: CallId) -> Option<Instant> {
        let (observer, stream, _) = self.stream_of(id)?;
        observer.written_at(stream)
    }

    /// Cancels a send. A call that has not been completely written is never completed; one that has may be reset,
    /// within the rate limit.
    pub fn cancel(&self, part: &PartId, nth: usize) {
        let Some(id) = self.call_of(part, nth) else {
            return;
        };
        if !self.cancel_unsent(part, nth) {
            let others_pending = self.remove_send(id, part, nth);
            let connection = self
                .calls
                .borrow()
                .get(&id)
                .and_then(|call| Some(call.connection.as_ref()?.0));
            if let (false, Some(connection)) = (others_pending, connection)
                && self
                    .pool
                    .borrow_mut()
                    .try_reset(self.context.now(), connection)
            {
                self.reset(id);
            }
        }
    }

    /// Cancels a send unless its call has been completely written; returns whether it was cancelled.
    pub fn cancel_unsent(&self, part: &PartId, nth: usize) -> bool {
        let Some(id) = self.call_of(part, nth) else {
            return false;
        };
        if self.call_written_at(id).is_some() {
            return false;
        }
        let started = self
            .calls
            .borrow()
            .get(&id)
            .is_some_and(|call| call.connection.is_some());
        let others_pending = self.remove_send(id, part, nth);
        if started {
            // Part of the call may have been written; without its end it never runs. The end of the stream reports the
            // other parts of the call as never sent.
            self.reset(id);
        } else if !others_pending {
            self.pool.borrow_mut().remove_queued(id);
            self.remove(id);
        }
        true
    }

    fn reset(&self, id: CallId) {
        if let Some(call) = self.calls.borrow_mut().get_mut(&id)
            && let Some(writer) = &mut call.writer
        {
            writer.send_reset(Reason::CANCEL);
        }
    }

    /// Checks the liveness of the connection of a send that is late or has timed out: sends a PING if nothing has been
    /// received since the call was written. With `drain`, drains that connection too.
    pub fn check_liveness(&self, part: &PartId, nth: usize, drain: bool) {
        let Some((observer, stream, connection)) =
            self.call_of(part, nth).and_then(|id| self.stream_of(id))
        else {
            return;
        };
        let nothing_received = observer.written_at(stream).is_some_and(|written_at| {
            observer
                .last_received()
                .is_none_or(|received_at| received_at < written_at)
        });
        if !nothing_received {
            return;
        }
        if drain {
            self.pool.borrow_mut().drain(connection);
        }
        self.pool
            .borrow_mut()
            .ping_sent(self.context.now(), connection);
        if let Some(handle) = self.connections.borrow().get(&connection) {
            handle.ping.notify_one();
        }
        self.wake.notify_one();
    }

    /// When the send's call was written to its last byte.
    pub fn written_at(&self, part: &PartId, nth: usize) -> Option<Instant> {
        self.call_written_at(self.call_of(part, nth)?)
    }

    /// Runs the due actions, and wakes the timer task to compute the next due time.
    fn run_and_wake_timer(self: &Rc<Self>) {
        self.run_due_actions();
        self.wake.notify_one();
    }

    /// Runs the actions that are due.
    fn run_due_actions(self: &Rc<Self>) {
        loop {
            let actions = self.pool.borrow_mut().due_actions(self.context.now());
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Open(id) => self.open_connection(id),
                    Action::StartCall(id, call) => self.start_call(id, call),
                    Action::Ping(id) => self.with_handle(id, |handle| handle.ping.notify_one()),
                    Action::Abort(id) => self.with_handle(id, |handle| {
                        handle.unresponsive.set(true);
                        handle.close.notify_one();
                    }),
                    Action::Close(id) => self.with_handle(id, |handle| handle.close.notify_one()),
                }
            }
            // Closing is asynchronous: the loop ends here instead of spinning until the connections are closed.
            if !self.pool.borrow().can_start_queued_call() {
                return;
            }
        }
    }

    fn with_handle(&self, id: ConnectionId, action: impl FnOnce(&ConnectionHandle)) {
        if let Some(handle) = self.connections.borrow().get(&id) {
            action(handle);
        }
    }

    /// Starts the task of a connection.
    fn open_connection(self: &Rc<Self>, id: ConnectionId) {
        let handle = Rc::new(ConnectionHandle::default());
        self.connections.borrow_mut().insert(id, handle.clone());
        let host = self.clone();
        tokio::task::spawn_local(async move {
            let open = host.context.open_sockets.clone();
            let end = if open.get() >= host.context.max_open_sockets {
                StreamEnd::Abandoned
            } else {
                open.set(open.get() + 1);
                let result = host.run_connection(id, &handle).await;
                open.set(open.get() - 1);
                if let Err(error) = result {
                    tracing::info!("http2 to {}: {error}", host.address);
                }
                StreamEnd::ConnectionClosed
            };
            // Calls in flight are ended by their own tasks, after these have read what was received before the close.
            let (_, unplaced) = host
                .pool
                .borrow_mut()
                .connection_closed(host.context.now(), id);
            for call in unplaced {
                host.finish_call(call, end).await;
            }
            host.connections.borrow_mut().remove(&id);
            host.run_and_wake_timer();
        });
    }

    /// Opens a connection and drives it until it is closed.
    async fn run_connection(
        self: &Rc<Self>,
        id: ConnectionId,
        handle: &ConnectionHandle,
    ) -> Result<(), String> {
        let observer = &handle.observer;
        let timeout = Duration::from_micros(self.context.connect_timeout.as_micros());
        let connect = async {
            let socket = TcpStream::connect(self.address)
                .await
                .map_err(|e| e.to_string())?;
            socket.set_nodelay(true).map_err(|e| e.to_string())?;
            let handshake = h2::client::Builder::new()
                .enable_push(false)
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .max_header_list_size(MAX_HEADER_LIST_BYTES)
                .handshake::<_, Bytes>(Tap::new(socket, observer.clone()));
            handshake.await.map_err(|e| e.to_string())
        };
        let (sender, mut connection) = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| "connection not established in time")??;
        let pings = connection.ping_pong();
        let driver = connection;
        tokio::pin!(driver);
        // An HTTP/2 server sends SETTINGS first; no call is sent to a peer before that, as it may speak another
        // protocol.
        let settings = async {
            while !observer.settings_received() {
                observer.changed.notified().await;
            }
        };
        tokio::select! {
            ended = &mut driver => {
                // Bytes that are not a SETTINGS frame are not HTTP/2; a close or an I/O error proves nothing.
                return match ended {
                    Err(error) if observer.last_received().is_some() && !error.is_io() => Err(self.not_http2(&error.to_string())),
                    Err(error) => Err(error.to_string()),
                    Ok(()) => Ok(()),
                };
            }
            received = tokio::time::timeout(timeout, settings) => {
                received.map_err(|_| self.not_http2("no SETTINGS frame received"))?;
            }
        }
        *handle.sender.borrow_mut() = Some(sender);
        self.pool
            .borrow_mut()
            .connection_opened(self.context.now(), id);
        self.apply_observations(id, observer);
        self.run_and_wake_timer();
        let observing = async {
            loop {
                observer.changed.notified().await;
                self.apply_observations(id, observer);
                self.run_and_wake_timer();
            }
        };
        let pinging = async {
            let Some(mut pings) = pings else {
                return std::future::pending().await;
            };
            loop {
                handle.ping.notified().await;
                // The observer sees any reply on the socket.
                let _ = pings.ping(Ping::opaque()).await;
            }
        };
        tokio::select! {
            ended = &mut driver => ended.map_err(|e| e.to_string()),
            () = observing => Ok(()),
            () = pinging => Ok(()),
            () = handle.close.notified() => Ok(()),
        }
    }

    /// Marks the searcher as not speaking HTTP/2; the message says so only the first time.
    fn not_http2(&self, reason: &str) -> String {
        match self.speaks_http2.replace(false) {
            true => format!("searcher does not speak HTTP/2: {reason}"),
            false => reason.to_owned(),
        }
    }

    /// Applies what was observed on a connection to the pool: bytes received, stream limit, GOAWAY.
    fn apply_observations(&self, id: ConnectionId, observer: &FrameObserver) {
        let mut pool = self.pool.borrow_mut();
        if let Some(received_at) = observer.last_received() {
            pool.bytes_received(self.context.at(received_at), id);
        }
        if let Some(max_streams) = observer.max_concurrent_streams() {
            pool.set_max_streams(id, max_streams as usize);
        }
        match observer.goaway() {
            Some((_, ENHANCE_YOUR_CALM)) => pool.back_off(self.context.now(), id),
            Some(_) => pool.drain(id),
            None => {}
        }
    }

    /// Starts the task of a call on a connection.
    fn start_call(self: &Rc<Self>, id: ConnectionId, call: CallId) {
        let Some(handle) = self.connections.borrow().get(&id).cloned() else {
            return;
        };
        let sender = handle.sender.borrow().clone();
        if let Some(call) = self.calls.borrow_mut().get_mut(&call) {
            call.connection = Some((id, handle));
        }
        let host = self.clone();
        tokio::task::spawn_local(async move {
            let end = match sender {
                Some(sender) => host.run_call(call, sender).await,
                None => StreamEnd::ConnectionClosed,
            };
            let call_end = match end {
                StreamEnd::Complete => CallEnd::Succeeded,
                StreamEnd::Reset(crate::outcome::REFUSED_STREAM) | StreamEnd::Status(503) => {
                    CallEnd::Refused
                }
                _ => CallEnd::Failed,
            };
            if end == StreamEnd::Reset(ENHANCE_YOUR_CALM) {
                host.pool.borrow_mut().back_off(host.context.now(), id);
            }
            let stream_opened = host
                .calls
                .borrow()
                .get(&call)
                .is_some_and(|call| call.stream.is_some());
            if end == StreamEnd::ConnectionClosed && !stream_opened {
                // No stream was opened: the connection accepts no calls any more, and the call is queued for another.
                if host.pool.borrow_mut().requeue(id, call) {
                    if let Some(call) = host.calls.borrow_mut().get_mut(&call) {
                        call.connection = None;
                    }
                } else {
                    host.finish_call(call, end).await;
                }
            } else {
                host.pool
                    .borrow_mut()
                    .call_ended(host.context.now(), id, call, call_end);
                host.finish_call(call, end).await;
            }
            host.run_and_wake_timer();
        });
    }

    /// Sends a call and reads the response to the end of its stream.
    async fn run_call(&self, call: CallId, sender: SendRequest<Bytes>) -> StreamEnd {
        let Ok(mut sender) = sender.ready().await else {
            return self.stream_end(call, None);
        };
        let body = {
            let calls = self.calls.borrow();
            let Some(call) = calls.get(&call) else {
                return StreamEnd::Abandoned;
            };
            // Parts that are no longer wanted are left out; the router cancels their sends.
            wire::encode(
                call.parts
                    .iter()
                    .filter(|pending| (pending.wanted)())
                    .map(|pending| &pending.part),
            )
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, wire::PATH))
            .header(http::header::CONTENT_TYPE, wire::CONTENT_TYPE)
            .body(());
        let Ok(request) = request else {
            return StreamEnd::Abandoned;
        };
        let (response, mut writer) = match sender.send_request(request, false) {
            Ok(stream) => stream,
            Err(error) => return self.stream_end(call, Some(error)),
        };
        let stream = writer.stream_id().as_u32();
        let sent = writer.send_data(body, true);
        if let Some(call) = self.calls.borrow_mut().get_mut(&call) {
            (call.stream, call.writer) = (Some(stream), Some(writer));
        }
        if let Err(error) = sent {
            return self.stream_end(call, Some(error));
        }
        let response = match response.await {
            Ok(response) => response,
            Err(error) => return self.stream_end(call, Some(error)),
        };
        if response.status() != http::StatusCode::OK {
            return StreamEnd::Status(response.status().as_u16());
        }
        let (mut body, mut decoder) = (response.into_body(), PartEndDecoder::default());
        while let Some(chunk) = body.data().await {
            let chunk = match chunk {
                Ok(chunk) => chunk,
                Err(error) => return self.stream_end(call, Some(error)),
            };
            decoder.push(&chunk);
            loop {
                match decoder.next_end() {
                    Ok(Some(end)) => self.finish_part(call, end).await,
                    Ok(None) => break,
                    Err(error) => {
                        tracing::info!("http2 to {}: {error}", self.address);
                        self.reset(call);
                        return StreamEnd::Malformed;
                    }
                }
            }
            let _ = body.flow_control().release_capacity(chunk.len());
        }
        if decoder.has_partial_message() {
            StreamEnd::Malformed
        } else {
            StreamEnd::Complete
        }
    }

    /// Classifies an error on a stream. The frames observed on the socket take precedence over the library's error.
    fn stream_end(&self, call: CallId, error: Option<h2::Error>) -> StreamEnd {
        let Some((observer, stream, _)) = self.stream_of(call) else {
            return StreamEnd::ConnectionClosed;
        };
        if let Some(code) = observer.reset_code(stream) {
            return StreamEnd::Reset(code);
        }
        let unresponsive = self
            .calls
            .borrow()
            .get(&call)
            .and_then(|call| Some(call.connection.as_ref()?.1.unresponsive.get()));
        if unresponsive == Some(true) {
            return StreamEnd::Unresponsive;
        }
        let Some(error) = error else {
            return StreamEnd::ConnectionClosed;
        };
        if observer.goaway().is_some_and(|(last, _)| stream > last) {
            return StreamEnd::BeyondLastStream;
        }
        match (error.is_reset(), error.is_library()) {
            // A stream error raised by the library concerns this stream alone.
            (true, true) => StreamEnd::Malformed,
            // Reset by this client: the call's parts were cancelled, or never completely written.
            (true, false) => StreamEnd::Abandoned,
            _ if error.is_io() || error.is_go_away() => StreamEnd::ConnectionClosed,
            _ => StreamEnd::Malformed,
        }
    }

    /// Reports the end of a part; ignores one that was cancelled or is not in this call.
    async fn finish_part(&self, id: CallId, end: PartEnd) {
        let pending = {
            let mut calls = self.calls.borrow_mut();
            let Some(call) = calls.get_mut(&id) else {
                return;
            };
            call.answered = true;
            let index = call
                .parts
                .iter()
                .position(|pending| pending.part.id == end.id);
            index.map(|index| call.parts.swap_remove(index))
        };
        let Some(pending) = pending else { return };
        self.sends
            .borrow_mut()
            .remove(&(end.id.clone(), pending.nth));
        let answer = (end.outcome == Outcome::Returned).then_some((end.score, end.value));
        let result = SendResult {
            part: end.id,
            nth: pending.nth,
            outcome: end.outcome,
            at: Instant::now(),
            answer,
        };
        self.context.report(result).await;
    }

    /// Removes a call whose stream has ended, and reports the outcome of its pending parts.
    async fn finish_call(&self, id: CallId, end: StreamEnd) {
        let stream_state = self.stream_of(id);
        let Some(call) = self.remove(id) else { return };
        let written = stream_state
            .as_ref()
            .is_some_and(|(observer, stream, _)| observer.written_at(*stream).is_some());
        let within_last_stream = stream_state
            .as_ref()
            .and_then(|(observer, stream, _)| Some(observer.goaway()?.0 >= *stream));
        if let Some((observer, stream, _)) = stream_state {
            observer.forget(stream);
        }
        // A stream beyond the last one of GOAWAY never ran, even if the connection was closed before that was
        // processed.
        let end = if end == StreamEnd::ConnectionClosed && within_last_stream == Some(false) {
            StreamEnd::BeyondLastStream
        } else {
            end
        };
        let progress = StreamProgress {
            written,
            answered: call.answered,
        };
        for pending in call.parts {
            let outcome = outcome(end, progress);
            let result = SendResult {
                part: pending.part.id,
                nth: pending.nth,
                outcome,
                at: Instant::now(),
                answer: None,
            };
            self.context.report(result).await;
        }
    }
}
