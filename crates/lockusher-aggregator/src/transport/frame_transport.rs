//! The frame protocol over TCP: one task per connection to a searcher, with many parts pending at a time.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use lockusher_multiget::list::SearcherEndpoint;
use lockusher_policy::interface::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use crate::check_invariant;
use crate::clock::duration;
use crate::config::SocketLimits;
use crate::protocol::frame::{self, PartAnswer, SearcherFrame};
use crate::routing::searcher_transport::{OutgoingPart, Permission, SearcherTransport, UnsentPart};
use crate::routing::{RouterEvent, SendEnded};

/// All connections to searchers. Each carries several concurrent calls as frames over TCP.
pub struct FrameTransport {
    sockets: SocketLimits,
    addresses: HashMap<SearcherId, SocketAddr>,
    connections: HashMap<SearcherId, Vec<Rc<Connection>>>,
    queue: mpsc::Sender<RouterEvent>,
    open_count: Rc<Cell<usize>>,
    shared_budgets: SharedBudgets,
}

/// This mixer's shares of the fleet-wide budgets for connections and probes, measured by the router's clock.
struct SharedBudgets {
    token_buckets: TokenBuckets,
    /// The same moment on both clocks.
    updated_at: (Time, Instant),
}

impl SharedBudgets {
    fn now(&self) -> Time {
        let (time, instant) = self.updated_at;
        time + Span::from_micros(instant.elapsed().as_micros() as u64)
    }

    /// Spends one unit of each budget if every one of them has a unit left; returns whether it did.
    fn try_spend(&mut self, budgets: &[Budget]) -> bool {
        let now = self.now();
        let has = budgets
            .iter()
            .all(|budget| self.token_buckets.has(now, *budget));
        for budget in budgets.iter().filter(|_| has) {
            self.token_buckets.spend(now, *budget);
        }
        has
    }
}

impl FrameTransport {
    /// `open_count` is the number of descriptors in use for searchers, shared with the other transports.
    pub fn new(
        sockets: SocketLimits,
        queue: mpsc::Sender<RouterEvent>,
        open_count: Rc<Cell<usize>>,
    ) -> Self {
        let (addresses, connections) = (HashMap::new(), HashMap::new());
        let shared_budgets = SharedBudgets {
            token_buckets: TokenBuckets::default(),
            updated_at: (Time::default(), Instant::now()),
        };
        FrameTransport {
            sockets,
            addresses,
            connections,
            queue,
            open_count,
            shared_budgets,
        }
    }

    /// Drops closed connections, so that state does not accumulate as searchers are replaced.
    fn remove_closed(&mut self) {
        self.connections.retain(|_, connections| {
            connections.retain(|c| c.state.get() != State::Closed);
            !connections.is_empty()
        });
    }

    /// Drains the connections to a searcher and returns their unwritten sends.
    fn drain_connections(&mut self, id: &SearcherId) -> Vec<UnsentPart> {
        self.remove_closed();
        self.connections
            .get(id)
            .into_iter()
            .flatten()
            .flat_map(|c| c.drain())
            .collect()
    }

    /// Whether another connection may be opened. At the limit, the connection idle for longest is closed to make
    /// room.
    fn make_room(&self) -> bool {
        if self.open_count.get() < self.sockets.max_searcher_connections {
            return true;
        }
        let all = self.connections.values().flatten();
        let idle =
            all.filter(|c| c.holds_descriptor.get() && c.state.get() == State::Open && c.is_idle());
        let Some(connection) = idle.min_by_key(|c| c.last_used.get()) else {
            return false;
        };
        // The descriptor is released before the task of the new connection starts.
        connection.release_descriptor();
        connection.drain();
        true
    }

    /// The connection that a send is pending on.
    fn connection_with_send(
        &self,
        to: &SearcherId,
        part: &PartId,
        nth: usize,
    ) -> Option<&Rc<Connection>> {
        let mut connections = self.connections.get(to).into_iter().flatten();
        connections.find(|c| c.pending.borrow().get(part).is_some_and(|s| s.nth == nth))
    }
}

impl SearcherTransport for FrameTransport {
    fn set_address(
        &mut self,
        entry: &SearcherEntry,
        SearcherEndpoint { address, .. }: SearcherEndpoint,
    ) -> Vec<UnsentPart> {
        match self.addresses.insert(entry.id.clone(), address) {
            Some(previous) if previous != address => self.drain_connections(&entry.id),
            _ => Vec::new(),
        }
    }

    fn drain(&mut self, id: &SearcherId) -> Vec<UnsentPart> {
        self.addresses.remove(id);
        self.drain_connections(id)
    }

    fn searcher_ids(&self) -> Vec<SearcherId> {
        self.addresses.keys().cloned().collect()
    }

    fn max_parts_per_call(&self) -> usize {
        self.sockets.max_parts_per_call
    }

    fn close_idle(&mut self, to: &SearcherId) {
        for connection in self
            .connections
            .get(to)
            .into_iter()
            .flatten()
            .filter(|c| c.is_idle())
        {
            let unsent = connection.drain();
            check_invariant!(unsent.is_empty(), "no part is queued on an idle connection");
        }
    }

    /// Returns the call if the searcher has no address, or no descriptor or budget is left for a connection.
    fn send(&mut self, to: &SearcherId, call: Vec<OutgoingPart>) -> Result<(), Vec<OutgoingPart>> {
        check_invariant!(
            call.len() <= self.sockets.max_parts_per_call,
            "a call has no more parts than the limit"
        );
        let Some(address) = self.addresses.get(to).copied() else {
            return Err(call);
        };
        let has_capacity = |c: &&Rc<Connection>| {
            let accepting = matches!(c.state.get(), State::Connecting | State::Open);
            // Answers arrive in complete frames: after a partial frame, what follows may be garbage or nothing.
            accepting
                && !c.has_partial_frame.get()
                && !c.suspect.get()
                && c.calls.borrow().len() < self.sockets.max_calls_per_connection
        };
        let connection = self
            .connections
            .get(to)
            .and_then(|of| of.iter().find(has_capacity))
            .cloned();
        let connection = match connection {
            Some(connection) => connection,
            None if !self.make_room() => {
                tracing::warn!(
                    "no further connection to {}: {} are open",
                    to.as_str(),
                    self.open_count.get()
                );
                return Err(call);
            }
            None if !self.shared_budgets.try_spend(&[Budget::Connections]) => return Err(call),
            None => {
                self.remove_closed();
                let connection =
                    Connection::open(address, self.sockets, &self.queue, &self.open_count);
                self.connections
                    .entry(to.clone())
                    .or_default()
                    .push(connection.clone());
                connection
            }
        };
        connection.enqueue(call);
        Ok(())
    }

    /// If nothing has been received on the connection since the send was written, the connection is drained.
    /// Returns its unwritten sends.
    fn send_timed_out(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<UnsentPart> {
        let Some(connection) = self.connection_with_send(to, part, nth) else {
            return Vec::new();
        };
        if connection.silent_since_send(part) {
            connection.drain()
        } else {
            Vec::new()
        }
    }

    /// If nothing has been received on the connection since the send was written, sends a health probe on it and on
    /// a new connection. If only the new one is answered, the old one is dead, as after a middlebox or a machine
    /// dropped its state. This costs a handshake whenever a searcher stalls.
    fn check_liveness(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        let Some(connection) = self.connection_with_send(to, part, nth).cloned() else {
            return;
        };
        let address = self
            .addresses
            .get(to)
            .copied()
            .filter(|_| self.sockets.probing_allowed);
        let unanswered = connection.state.get() == State::Open
            && !connection.suspect.get()
            && connection.silent_since_send(part);
        let Some(address) = address.filter(|_| unanswered && self.make_room()) else {
            return;
        };
        if !self
            .shared_budgets
            .try_spend(&[Budget::Probes, Budget::Connections])
        {
            return;
        }
        connection.suspect.set(true);
        connection.probe();
        let probing = Connection::open(address, self.sockets, &self.queue, &self.open_count);
        probing.probe();
        *probing.probe_for.borrow_mut() = Some(connection);
        self.connections
            .entry(to.clone())
            .or_default()
            .push(probing);
    }

    fn cancel(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        if let Some(connection) = self.connection_with_send(to, part, nth) {
            connection.cancel(part);
        }
    }

    fn cancel_unsent(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool {
        let Some(connection) = self.connection_with_send(to, part, nth) else {
            return false;
        };
        let unsent = connection
            .pending
            .borrow()
            .get(part)
            .is_some_and(|sent| sent.stage != Stage::Written);
        if unsent {
            connection.cancel(part);
        }
        unsent
    }

    fn set_shares(&mut self, now: Time, shares: &[(Budget, QuotaShare)]) {
        self.shared_budgets.updated_at = (now, Instant::now());
        let own = shares
            .iter()
            .filter(|(of, _)| matches!(of, Budget::Connections | Budget::Probes));
        self.shared_budgets
            .token_buckets
            .set(now, &own.copied().collect::<Vec<_>>());
    }

    fn spending_rates(&self, now: Time) -> Vec<(Budget, f64)> {
        self.shared_budgets.token_buckets.spent(now)
    }

    /// A frame written just now may reach its searcher later than data that is written to a client next. The
    /// allowance is larger on a connection on which nothing has been received yet, as its first frame waits for the
    /// handshake.
    fn in_transit_until(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant> {
        let connection = self.connection_with_send(to, part, nth)?;
        let written = connection
            .pending
            .borrow()
            .get(part)
            .filter(|sent| sent.stage == Stage::Written)?
            .at;
        let divisor = if connection.has_received.get() {
            50
        } else {
            10
        };
        let until = written + duration(self.sockets.connect_timeout) / divisor;
        (until > Instant::now()).then_some(until)
    }
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    Open,
    /// Accepts no new calls, and closes once nothing is pending.
    Draining,
    Closed,
}

/// A frame to be written.
enum OutgoingFrame {
    Call(Vec<OutgoingPart>),
    Cancel(PartId),
    Probe(Bytes),
}

/// A part pending on a connection.
struct PendingPart {
    nth: usize,
    call: u64,
    stage: Stage,
    /// When the current stage was reached: queued first, then written.
    at: Instant,
}

/// How far a part's frame has been written.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    /// Some bytes may have been written.
    Writing,
    /// The last byte has been written.
    Written,
}

/// A connection to a searcher.
struct Connection {
    address: SocketAddr,
    state: Cell<State>,
    outbox: RefCell<VecDeque<OutgoingFrame>>,
    pending: RefCell<HashMap<PartId, PendingPart>>,
    /// Pending calls, with the number of their pending parts.
    calls: RefCell<HashMap<u64, usize>>,
    next_call: Cell<u64>,
    last_used: Cell<Instant>,
    /// When a frame was last received, and whether any was.
    last_received: Cell<Instant>,
    has_received: Cell<bool>,
    /// Parts that were cancelled and may still be answered, and recently answered ones: further answers are
    /// accepted for these and for no others.
    cancelled: RefCell<VecDeque<PartId>>,
    answered: RefCell<VecDeque<PartId>>,
    /// Set once the connection is unusable: the outcome of the next written part that ends.
    failure_outcome: Cell<Option<Outcome>>,
    /// Part of a frame has been received.
    has_partial_frame: Cell<bool>,
    /// This connection is being tested for whether it is dead; and, on the new connection that was opened for the
    /// test, the one under test.
    suspect: Cell<bool>,
    probe_for: RefCell<Option<Rc<Connection>>>,
    /// Whether it is included in `open_count`.
    holds_descriptor: Cell<bool>,
    open_count: Rc<Cell<usize>>,
    wake: Notify,
    drain_progress: Notify,
    aborted: Notify,
}

impl Connection {
    fn open(
        address: SocketAddr,
        sockets: SocketLimits,
        queue: &mpsc::Sender<RouterEvent>,
        open_count: &Rc<Cell<usize>>,
    ) -> Rc<Self> {
        let connection = Rc::new(Connection {
            address,
            state: Cell::new(State::Connecting),
            outbox: RefCell::default(),
            pending: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            last_received: Cell::new(Instant::now()),
            has_received: Cell::new(false),
            cancelled: RefCell::default(),
            answered: RefCell::default(),
            failure_outcome: Cell::new(None),
            has_partial_frame: Cell::new(false),
            suspect: Cell::new(false),
            probe_for: RefCell::default(),
            holds_descriptor: Cell::new(true),
            open_count: open_count.clone(),
            wake: Notify::new(),
            drain_progress: Notify::new(),
            aborted: Notify::new(),
        });
        open_count.set(open_count.get() + 1);
        let (this, queue) = (connection.clone(), queue.clone());
        actix_rt::spawn(async move {
            this.run(sockets, &queue).await;
            this.release_descriptor();
            this.end_pending(&queue).await;
        });
        connection
    }

    fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Whether a part has been written and nothing has been received since.
    fn silent_since_send(&self, part: &PartId) -> bool {
        let silent = |p: &PendingPart| p.stage == Stage::Written && self.last_received.get() < p.at;
        self.pending.borrow().get(part).is_some_and(silent)
    }

    fn probe(&self) {
        self.outbox
            .borrow_mut()
            .push_back(OutgoingFrame::Probe(frame::probe()));
        self.wake.notify_one();
    }

    /// Records a received frame; `is_answer` if the searcher sent it in reply to one of this side. Frames that it
    /// sends unasked on a new connection say nothing about how long an older one has been silent.
    fn frame_received(&self, is_answer: bool) {
        self.last_received.set(Instant::now());
        self.has_received.set(true);
        self.suspect.set(false);
        if !is_answer {
            return;
        }
        if let Some(silent) = self
            .probe_for
            .take()
            .filter(|connection| connection.suspect.get())
        {
            silent.failure_outcome.set(Some(Outcome::ConnectionStalled));
            silent.state.set(State::Draining);
            silent.aborted.notify_one();
        }
    }

    /// Stops counting this connection in `open_count`.
    fn release_descriptor(&self) {
        if self.holds_descriptor.replace(false) {
            self.open_count.set(self.open_count.get() - 1);
        }
    }

    /// Starts draining and returns the sends that had not begun to be written.
    fn drain(&self) -> Vec<UnsentPart> {
        if self.state.get() == State::Closed {
            return Vec::new();
        }
        self.state.set(State::Draining);
        let (mut unsent, mut outbox) = (Vec::new(), self.outbox.borrow_mut());
        outbox.retain(|outgoing| {
            let OutgoingFrame::Call(parts) = outgoing else {
                return true;
            };
            unsent.extend(parts.iter().map(|(nth, part, _)| (part.id.clone(), *nth)));
            false
        });
        drop(outbox);
        for (part, _) in &unsent {
            self.take(part);
        }
        self.drain_progress.notify_one();
        unsent
    }

    /// Queues a call.
    fn enqueue(&self, call: Vec<OutgoingPart>) {
        let number = self.next_call.replace(self.next_call.get() + 1);
        self.calls.borrow_mut().insert(number, call.len());
        for (nth, part, _) in &call {
            let previous = self.pending.borrow_mut().insert(
                part.id.clone(),
                PendingPart {
                    nth: *nth,
                    call: number,
                    stage: Stage::Queued,
                    at: Instant::now(),
                },
            );
            check_invariant!(previous.is_none(), "a part is pending once on a connection");
        }
        self.outbox
            .borrow_mut()
            .push_back(OutgoingFrame::Call(call));
        self.last_used.set(Instant::now());
        self.wake.notify_one();
    }

    /// Stops waiting for a part and returns its state.
    fn take(&self, part: &PartId) -> Option<PendingPart> {
        let sent = self.pending.borrow_mut().remove(part)?;
        let mut calls = self.calls.borrow_mut();
        if let Some(remaining) = calls.get_mut(&sent.call) {
            *remaining -= 1;
            if *remaining == 0 {
                calls.remove(&sent.call);
            }
        }
        self.last_used.set(Instant::now());
        if self.state.get() == State::Draining {
            self.drain_progress.notify_one();
        }
        Some(sent)
    }

    /// Cancels a part. Drops it if it is still queued, sends a cancellation if it has been written.
    fn cancel(&self, part: &PartId) {
        let mut outbox = self.outbox.borrow_mut();
        for outgoing in outbox.iter_mut() {
            if let OutgoingFrame::Call(parts) = outgoing {
                parts.retain(|(_, p, _)| p.id != *part);
            }
        }
        outbox.retain(|o| !matches!(o, OutgoingFrame::Call(parts) if parts.is_empty()));
        drop(outbox);
        match self.take(part).map(|sent| sent.stage) {
            Some(Stage::Written) => {
                push_bounded(&self.cancelled, part, 256);
                self.outbox
                    .borrow_mut()
                    .push_back(OutgoingFrame::Cancel(part.clone()));
                self.wake.notify_one();
            }
            // The frame is partly written and must not arrive after all, so the connection is closed.
            Some(Stage::Writing) => self.aborted.notify_one(),
            Some(Stage::Queued) | None => {}
        }
    }

    /// Connects, then reads and writes frames until the connection ends.
    async fn run(&self, sockets: SocketLimits, queue: &mpsc::Sender<RouterEvent>) {
        let connecting = TcpStream::connect(self.address);
        let mut stream = match tokio::time::timeout(duration(sockets.connect_timeout), connecting)
            .await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return tracing::info!("no connection to {}: {error}", self.address),
            Err(_) => {
                return tracing::info!("no connection to {}: timed out", self.address);
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            return tracing::info!("connection to {}: {error}", self.address);
        }
        if self.state.get() == State::Connecting {
            self.state.set(State::Open);
        }
        self.last_used.set(Instant::now());
        let (reader, writer) = stream.split();
        let read = self.read(reader, duration(sockets.connect_timeout), queue);
        tokio::pin!(read);
        let ended = tokio::select! {
            ended = &mut read => ended,
            ended = self.write(FramedWrite::new(writer, frame::codec()), queue) => {
                // Answers sent before the connection broke still count.
                self.state.set(State::Draining);
                let _ = tokio::time::timeout(duration(sockets.connect_timeout), &mut read).await;
                ended
            }
            () = self.idle_or_drained(duration(sockets.idle_timeout)) => Ok(()),
            () = self.aborted.notified() => Err(std::io::Error::other("it accepts no more data, or has fallen silent")),
        };
        if let Err(error) = ended {
            tracing::info!("connection to {} ended: {error}", self.address);
        }
    }

    /// Completes when the connection has been idle for `idle_timeout`, or is draining with nothing pending.
    async fn idle_or_drained(&self, idle_timeout: Duration) {
        loop {
            let idle = self.is_idle() && self.outbox.borrow().is_empty();
            if idle
                && (self.state.get() == State::Draining
                    || self.last_used.get().elapsed() >= idle_timeout)
            {
                return;
            }
            let due = if idle {
                self.last_used.get() + idle_timeout
            } else {
                Instant::now() + idle_timeout
            };
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.drain_progress.notified() => {}
            }
        }
    }

    /// Writes queued frames.
    async fn write<W: AsyncWrite + Unpin>(
        &self,
        mut frames: FramedWrite<W, LengthDelimitedCodec>,
        queue: &mpsc::Sender<RouterEvent>,
    ) -> std::io::Result<()> {
        loop {
            let Some(outgoing) = self.outbox.borrow_mut().pop_front() else {
                self.wake.notified().await;
                continue;
            };
            match outgoing {
                OutgoingFrame::Call(mut parts) => {
                    let (mut send_by, mut expired) = (None::<Instant>, Vec::new());
                    parts.retain(|(_, part, permission)| match permission() {
                        Permission::Send => true,
                        Permission::SendBy(at) => {
                            send_by = Some(send_by.map_or(at, |send_by| send_by.min(at)));
                            true
                        }
                        // Abandoned parts stay pending until the router cancels them.
                        Permission::Abandoned => false,
                        Permission::WindowExpired => {
                            expired.push(part.id.clone());
                            false
                        }
                    });
                    for part in expired {
                        if let Some(sent) = self.take(&part) {
                            let _ = queue
                                .send(send_ended_event(part, sent.nth, Outcome::NotSent))
                                .await;
                        }
                    }
                    if parts.is_empty() {
                        continue;
                    }
                    let set_stage = |stage| {
                        let mut pending = self.pending.borrow_mut();
                        for (_, part, _) in &parts {
                            pending
                                .entry(part.id.clone())
                                .and_modify(|sent| (sent.stage, sent.at) = (stage, Instant::now()));
                        }
                    };
                    set_stage(Stage::Writing);
                    let written = frames.send(frame::call(parts.iter().map(|(_, part, _)| part)));
                    match send_by {
                        None => written.await?,
                        // A partly written frame must not be completed once the window has passed.
                        Some(send_by) => {
                            tokio::time::timeout_at(send_by.into(), written)
                                .await
                                .map_err(|_| {
                                    std::io::Error::other("a repeat was not written completely within its deduplication window")
                                })??;
                        }
                    }
                    set_stage(Stage::Written);
                }
                OutgoingFrame::Cancel(part) => frames.send(frame::cancel(&part)).await?,
                OutgoingFrame::Probe(frame) => frames.send(frame).await?,
            }
        }
    }

    /// Reads frames until the stream ends, a frame is malformed, or one is not complete within `frame_timeout`.
    async fn read<R: AsyncRead + Unpin>(
        &self,
        mut reader: R,
        frame_timeout: Duration,
        queue: &mpsc::Sender<RouterEvent>,
    ) -> std::io::Result<()> {
        let (mut buffer, mut frame_started): (_, Option<tokio::time::Instant>) =
            (BytesMut::new(), None);
        loop {
            while let Some(frame) =
                frame::next(&mut buffer).map_err(|reason| self.mark_unreadable(reason))?
            {
                frame_started = None;
                let read = frame::decode(&frame);
                self.frame_received(!matches!(read, Some(SearcherFrame::Probe(_))));
                match read {
                    Some(SearcherFrame::Answer(part_answer)) => {
                        if !self.handle_answer(part_answer, queue).await? {
                            return Ok(());
                        }
                    }
                    Some(SearcherFrame::Probe(probe)) => {
                        let mut outbox = self.outbox.borrow_mut();
                        // A searcher that probes faster than it reads gets no further answers.
                        if outbox.len() < 64 {
                            outbox.push_back(OutgoingFrame::Probe(frame::probe_answer(probe)));
                            self.wake.notify_one();
                        }
                    }
                    Some(SearcherFrame::ProbeAnswer) => {}
                    Some(SearcherFrame::Rejected(message)) => {
                        let message: String = message.chars().take(80).collect();
                        return Err(self.mark_unreadable(&format!(
                            "the searcher could not use a frame: {message:?}"
                        )));
                    }
                    None => {
                        let answered = frame::answered_part_id(&frame)
                            .and_then(|id| Some((self.take(&id)?, id)));
                        let error = self.mark_unreadable("a frame that can't be read");
                        if let Some((sent, part)) = answered {
                            self.failure_outcome.set(Some(Outcome::Cancelled));
                            let _ = queue
                                .send(send_ended_event(part, sent.nth, Outcome::Error))
                                .await;
                        }
                        return Err(error);
                    }
                }
            }
            self.has_partial_frame.set(!buffer.is_empty());
            let due =
                *frame_started.get_or_insert_with(|| tokio::time::Instant::now() + frame_timeout);
            buffer.reserve(4 * 1024);
            let read = reader.read_buf(&mut buffer);
            let read = if self.has_partial_frame.get() {
                let read = tokio::time::timeout_at(due, read).await;
                read.map_err(|_| self.mark_unreadable("a frame that does not end"))??
            } else {
                frame_started = None;
                read.await?
            };
            if read == 0 {
                return Ok(());
            }
        }
    }

    /// Marks the connection as unusable: neither what was received nor what follows can be trusted.
    fn mark_unreadable(&self, reason: &str) -> std::io::Error {
        self.failure_outcome.set(Some(Outcome::Error));
        self.state.set(State::Draining);
        std::io::Error::other(reason.to_owned())
    }

    /// Handles an answer; returns whether the router still accepts events.
    async fn handle_answer(
        &self,
        part_answer: PartAnswer,
        queue: &mpsc::Sender<RouterEvent>,
    ) -> std::io::Result<bool> {
        let Some(sent) = self.take(&part_answer.id) else {
            let mut cancelled = self.cancelled.borrow_mut();
            if let Some(position) = cancelled.iter().position(|id| *id == part_answer.id) {
                cancelled.remove(position);
            } else if !self.answered.borrow().contains(&part_answer.id) {
                return Err(self.mark_unreadable("an answer to what was never asked here"));
            }
            return Ok(true); // Further answers to a cancelled or answered part are ignored.
        };
        push_bounded(&self.answered, &part_answer.id, 32);
        let answer = (part_answer.outcome == Outcome::Returned)
            .then_some((part_answer.score, part_answer.value));
        let (nth, outcome, at) = (sent.nth, part_answer.outcome, Instant::now());
        let event = RouterEvent::SendEnded(SendEnded {
            part: part_answer.id,
            nth,
            outcome,
            at,
            answer,
        });
        Ok(queue.send(event).await.is_ok())
    }

    /// Ends all pending parts. Parts that were not written completely were never executed. If this side closed the
    /// connection because of a malformed answer, one part fails for it and the others are withdrawn: neither
    /// indicates a dead process.
    async fn end_pending(&self, queue: &mpsc::Sender<RouterEvent>) {
        self.state.set(State::Closed);
        let mut parts: Vec<(u64, PartId)> = self
            .pending
            .borrow()
            .iter()
            .map(|(part, sent)| (sent.call, part.clone()))
            .collect();
        parts.sort();
        for (_, part) in parts {
            let Some(p) = self.take(&part) else { continue };
            let outcome = match (p.stage, self.failure_outcome.get()) {
                (Stage::Written, Some(Outcome::Error)) => {
                    self.failure_outcome.set(Some(Outcome::Cancelled));
                    Outcome::Error
                }
                (Stage::Written, Some(outcome)) => outcome,
                (Stage::Written, None) => Outcome::ConnectionLost,
                (Stage::Writing | Stage::Queued, Some(_)) => Outcome::NotSent,
                (Stage::Writing | Stage::Queued, None) => Outcome::NoConnection,
            };
            if queue
                .send(send_ended_event(part, p.nth, outcome))
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// The event for the end of a send without an answer.
fn send_ended_event(part: PartId, nth: usize, outcome: Outcome) -> RouterEvent {
    RouterEvent::SendEnded(SendEnded {
        part,
        nth,
        outcome,
        at: Instant::now(),
        answer: None,
    })
}

/// Appends an id and keeps the most recent `max_len` ids.
fn push_bounded(ids: &RefCell<VecDeque<PartId>>, id: &PartId, max_len: usize) {
    let mut ids = ids.borrow_mut();
    if ids.len() >= max_len {
        ids.pop_front();
    }
    ids.push_back(id.clone());
}
