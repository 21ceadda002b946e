//! Connections to searchers: one task each, many parts at once.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use lockusher_multiget::list::Place;
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

/// All connections to searchers, by searcher: frames over TCP, each carrying a few calls.
pub struct FrameTransport {
    sockets: SocketLimits,
    addresses: HashMap<SearcherId, SocketAddr>,
    connections: HashMap<SearcherId, Vec<Rc<Connection>>>,
    queue: mpsc::Sender<RouterEvent>,
    open_count: Rc<Cell<usize>>,
    shared_budgets: SharedBudgets,
}

/// What may be spent on new connections and probes, where the fleet shares that, by the clock that its shares go by.
struct SharedBudgets {
    purses: Purses,
    /// One instant by both clocks.
    updated_at: (Time, Instant),
}

impl SharedBudgets {
    fn now(&self) -> Time {
        let (time, instant) = self.updated_at;
        time + Span::from_micros(instant.elapsed().as_micros() as u64)
    }

    /// Spends one of each of these, if there is one of each.
    fn try_spend(&mut self, budgets: &[Budget]) -> bool {
        let now = self.now();
        let has = budgets.iter().all(|budget| self.purses.has(now, *budget));
        for budget in budgets.iter().filter(|_| has) {
            self.purses.spend(now, *budget);
        }
        has
    }
}

impl FrameTransport {
    /// `open` counts the descriptors in use for searchers, which other carriers share.
    pub fn new(
        sockets: SocketLimits,
        queue: mpsc::Sender<RouterEvent>,
        open_count: Rc<Cell<usize>>,
    ) -> Self {
        let (addresses, connections) = (HashMap::new(), HashMap::new());
        let shared_budgets = SharedBudgets {
            purses: Purses::default(),
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

    /// Searchers come and go for good: nothing is kept of connections that have ended.
    fn remove_closed(&mut self) {
        self.connections.retain(|_, connections| {
            connections.retain(|c| c.state.get() != State::Closed);
            !connections.is_empty()
        });
    }

    fn drain_connections(&mut self, id: &SearcherId) -> Vec<UnsentPart> {
        self.remove_closed();
        self.connections
            .get(id)
            .into_iter()
            .flatten()
            .flat_map(|c| c.drain())
            .collect()
    }

    /// Whether one more connection may be opened; with too many, the one unused for longest is closed for it.
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
        // Its descriptor is free before the new one's task begins.
        connection.release_descriptor();
        connection.drain();
        true
    }

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
    fn set_address(&mut self, entry: &Listed, Place { address, .. }: Place) -> Vec<UnsentPart> {
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
            check_invariant!(unsent.is_empty(), "nothing waits on an unused connection");
        }
    }

    /// Handed back where the searcher has no address, or no descriptor is left.
    fn send(&mut self, to: &SearcherId, call: Vec<OutgoingPart>) -> Result<(), Vec<OutgoingPart>> {
        check_invariant!(
            call.len() <= self.sockets.max_parts_per_call,
            "a call holds no more parts than it may"
        );
        let Some(address) = self.addresses.get(to).copied() else {
            return Err(call);
        };
        let has_capacity = |c: &&Rc<Connection>| {
            let accepting = matches!(c.state.get(), State::Connecting | State::Open);
            // Answers come whole: with some of a frame, what follows it may be noise, or nothing.
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

    /// A send has waited in vain: if nothing at all has come on its connection since it left, nothing new goes
    /// there. Tells what had not left.
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

    /// A send is late enough for a copy. If nothing has come on its connection since it left, its searcher is asked
    /// how it is, there and on a new connection: if it says so on the new one alone, the old one has fallen silent.
    /// Guards against boxes between and machines that forgot a connection; costs a handshake where a searcher
    /// stands still.
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

    fn set_portions(&mut self, now: Time, portions: &[(Budget, Portion)]) {
        self.shared_budgets.updated_at = (now, Instant::now());
        let own = portions
            .iter()
            .filter(|(of, _)| matches!(of, Budget::Connections | Budget::Probes));
        self.shared_budgets
            .purses
            .set(now, &own.copied().collect::<Vec<_>>());
    }

    fn spending_rates(&self, now: Time) -> Vec<(Budget, f64)> {
        self.shared_budgets.purses.spent(now)
    }

    /// A frame written just now may reach its searcher after what is written to a client next: until when that is
    /// so. It takes longer on a connection on which nothing has come yet, as its first frame waits for a handshake.
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

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    Open,
    /// Takes nothing new, and closes once nothing is out.
    Draining,
    Closed,
}

enum OutgoingFrame {
    Call(Vec<OutgoingPart>),
    Cancel(PartId),
    Probe(Bytes),
}

/// A part that is out on a connection.
struct SentPart {
    nth: usize,
    call: u64,
    stage: Stage,
    /// When it was taken, then written.
    at: Instant,
}

/// How far a part's frame has come.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    /// Some of it may have been written.
    Writing,
    /// Its last byte has been written.
    Written,
}

struct Connection {
    address: SocketAddr,
    state: Cell<State>,
    outbox: RefCell<VecDeque<OutgoingFrame>>,
    pending: RefCell<HashMap<PartId, SentPart>>,
    /// Calls that are out, with how many of their parts are.
    calls: RefCell<HashMap<u64, usize>>,
    next_call: Cell<u64>,
    last_used: Cell<Instant>,
    /// When a frame last came, and whether any did.
    last_received: Cell<Instant>,
    has_received: Cell<bool>,
    /// Parts that were given up and may be answered yet, and some that were answered: of these, and of no
    /// others, a further answer may come.
    cancelled: RefCell<VecDeque<PartId>>,
    answered: RefCell<VecDeque<PartId>>,
    /// What came on it can't be read: what the next part that is out comes to.
    failure_outcome: Cell<Option<Outcome>>,
    /// Some of a frame has come, and not all.
    has_partial_frame: Cell<bool>,
    /// It is being found out whether it has fallen silent; the one that may take its place, which tells.
    suspect: Cell<bool>,
    probe_for: RefCell<Option<Rc<Connection>>>,
    /// It counts among those that are open.
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

    /// Whether this part has left and nothing has come since.
    fn silent_since_send(&self, part: &PartId) -> bool {
        let silent = |p: &SentPart| p.stage == Stage::Written && self.last_received.get() < p.at;
        self.pending.borrow().get(part).is_some_and(silent)
    }

    fn probe(&self) {
        self.outbox
            .borrow_mut()
            .push_back(OutgoingFrame::Probe(frame::probe()));
        self.wake.notify_one();
    }

    /// A frame has come; `answers` if the searcher answered by it. What it says of its own accord at once, on a
    /// connection that has just come up, tells nothing of how long an older one has been silent.
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
            silent.failure_outcome.set(Some(Outcome::Lost));
            silent.state.set(State::Draining);
            silent.aborted.notify_one();
        }
    }

    fn release_descriptor(&self) {
        if self.holds_descriptor.replace(false) {
            self.open_count.set(self.open_count.get() - 1);
        }
    }

    /// Takes nothing new; hands back what had not begun to leave.
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

    fn enqueue(&self, call: Vec<OutgoingPart>) {
        let number = self.next_call.replace(self.next_call.get() + 1);
        self.calls.borrow_mut().insert(number, call.len());
        for (nth, part, _) in &call {
            let previous = self.pending.borrow_mut().insert(
                part.id.clone(),
                SentPart {
                    nth: *nth,
                    call: number,
                    stage: Stage::Queued,
                    at: Instant::now(),
                },
            );
            check_invariant!(previous.is_none(), "a part is out once on a connection");
        }
        self.outbox
            .borrow_mut()
            .push_back(OutgoingFrame::Call(call));
        self.last_used.set(Instant::now());
        self.wake.notify_one();
    }

    /// No longer waits for a part; tells what is known of it.
    fn take(&self, part: &PartId) -> Option<SentPart> {
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
            // Its frame is stuck half written: it must not arrive after all, so the connection ends.
            Some(Stage::Writing) => self.aborted.notify_one(),
            Some(Stage::Queued) | None => {}
        }
    }

    async fn run(&self, sockets: SocketLimits, queue: &mpsc::Sender<RouterEvent>) {
        let connecting = TcpStream::connect(self.address);
        let mut stream = match tokio::time::timeout(duration(sockets.connect_timeout), connecting)
            .await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return tracing::info!("no connection to {}: {error}", self.address),
            Err(_) => {
                return tracing::info!("no connection to {}: none came up in time", self.address);
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
                // Answers that came before the break still count.
                self.state.set(State::Draining);
                let _ = tokio::time::timeout(duration(sockets.connect_timeout), &mut read).await;
                ended
            }
            () = self.idle_or_drained(duration(sockets.idle_timeout)) => Ok(()),
            () = self.aborted.notified() => Err(std::io::Error::other("it takes nothing more, or has fallen silent")),
        };
        if let Err(error) = ended {
            tracing::info!("connection to {} ended: {error}", self.address);
        }
    }

    /// Ends when the connection has not been used for long, or is retired with nothing out.
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
                        // What nobody waits for any more stays here until the router gives it up.
                        Permission::Abandoned => false,
                        Permission::WindowExpired => {
                            expired.push(part.id.clone());
                            false
                        }
                    });
                    for part in expired {
                        if let Some(sent) = self.take(&part) {
                            let _ = queue
                                .send(send_ended_event(part, sent.nth, Outcome::Moot))
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
                        // Half of it must not be followed by the rest once its window has passed.
                        Some(send_by) => {
                            tokio::time::timeout_at(send_by.into(), written)
                                .await
                                .map_err(|_| {
                                    std::io::Error::other("a repeat is stuck past its window")
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

    /// Reads frames until one can't be read, none follows, or one is not whole in time.
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
                        // One that probes faster than it reads gets no more.
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
                            self.failure_outcome.set(Some(Outcome::Withdrawn));
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

    /// What has come is of no use, nor is what follows it.
    fn mark_unreadable(&self, reason: &str) -> std::io::Error {
        self.failure_outcome.set(Some(Outcome::Error));
        self.state.set(State::Draining);
        std::io::Error::other(reason.to_owned())
    }

    /// An answer; tells whether the queue goes on.
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
            return Ok(true); // Of a part that was given up, or answered before, nothing more counts.
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

    /// Ends all that is still out: what was not written whole never ran. Where the mixer ended the connection
    /// itself, one answer was spoilt and the others are waited for no longer: neither is a sign of a dead process.
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
                    self.failure_outcome.set(Some(Outcome::Withdrawn));
                    Outcome::Error
                }
                (Stage::Written, Some(outcome)) => outcome,
                (Stage::Written, None) => Outcome::Broken,
                (Stage::Writing | Stage::Queued, Some(_)) => Outcome::Moot,
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

fn send_ended_event(part: PartId, nth: usize, outcome: Outcome) -> RouterEvent {
    RouterEvent::SendEnded(SendEnded {
        part,
        nth,
        outcome,
        at: Instant::now(),
        answer: None,
    })
}

/// Keeps the last few.
fn push_bounded(ids: &RefCell<VecDeque<PartId>>, id: &PartId, max_len: usize) {
    let mut ids = ids.borrow_mut();
    if ids.len() >= max_len {
        ids.pop_front();
    }
    ids.push_back(id.clone());
}
