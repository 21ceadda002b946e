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

use crate::clock::duration;
use crate::config::Sockets;
use crate::must_hold;
use crate::protocol::frame::{self, FromSearcher, PartEnded};
use crate::routing::searcher_transport::{Carrier, May, Sent, Unsent};
use crate::routing::{Arrival, SendEnded};

/// All connections to searchers, by searcher: frames over TCP, each carrying a few calls.
pub struct Searchers {
    sockets: Sockets,
    addresses: HashMap<SearcherId, SocketAddr>,
    connections: HashMap<SearcherId, Vec<Rc<Connection>>>,
    queue: mpsc::Sender<Arrival>,
    open: Rc<Cell<usize>>,
    meters: Meters,
}

/// What may be spent on new connections and probes, where the fleet shares that, by the clock that its shares go by.
struct Meters {
    purses: Purses,
    /// One instant by both clocks.
    as_of: (Time, Instant),
}

impl Meters {
    fn now(&self) -> Time {
        let (time, instant) = self.as_of;
        time + Span::from_micros(instant.elapsed().as_micros() as u64)
    }

    /// Spends one of each of these, if there is one of each.
    fn take(&mut self, budgets: &[Budget]) -> bool {
        let now = self.now();
        let has = budgets.iter().all(|budget| self.purses.has(now, *budget));
        for budget in budgets.iter().filter(|_| has) {
            self.purses.spend(now, *budget);
        }
        has
    }
}

impl Searchers {
    /// `open` counts the descriptors in use for searchers, which other carriers share.
    pub fn new(sockets: Sockets, queue: mpsc::Sender<Arrival>, open: Rc<Cell<usize>>) -> Self {
        let (addresses, connections) = (HashMap::new(), HashMap::new());
        let meters = Meters {
            purses: Purses::default(),
            as_of: (Time::default(), Instant::now()),
        };
        Searchers {
            sockets,
            addresses,
            connections,
            queue,
            open,
            meters,
        }
    }

    /// Searchers come and go for good: nothing is kept of connections that have ended.
    fn forget_over(&mut self) {
        self.connections.retain(|_, connections| {
            connections.retain(|c| c.state.get() != State::Over);
            !connections.is_empty()
        });
    }

    fn retire(&mut self, id: &SearcherId) -> Vec<Unsent> {
        self.forget_over();
        self.connections
            .get(id)
            .into_iter()
            .flatten()
            .flat_map(|c| c.retire())
            .collect()
    }

    /// Whether one more connection may be opened; with too many, the one unused for longest is closed for it.
    fn room(&self) -> bool {
        if self.open.get() < self.sockets.most_searchers {
            return true;
        }
        let all = self.connections.values().flatten();
        let unused = all.filter(|c| c.counted.get() && c.state.get() == State::Open && c.unused());
        let Some(connection) = unused.min_by_key(|c| c.used.get()) else {
            return false;
        };
        // Its descriptor is free before the new one's task begins.
        connection.uncount();
        connection.retire();
        true
    }

    fn carrier(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<&Rc<Connection>> {
        let mut connections = self.connections.get(to).into_iter().flatten();
        connections.find(|c| c.out.borrow().get(part).is_some_and(|out| out.nth == nth))
    }
}

impl Carrier for Searchers {
    fn at(&mut self, line: &Listed, Place { address, .. }: Place) -> Vec<Unsent> {
        match self.addresses.insert(line.id.clone(), address) {
            Some(before) if before != address => self.retire(&line.id),
            _ => Vec::new(),
        }
    }

    fn leave(&mut self, id: &SearcherId) -> Vec<Unsent> {
        self.addresses.remove(id);
        self.retire(id)
    }

    fn known(&self) -> Vec<SearcherId> {
        self.addresses.keys().cloned().collect()
    }

    fn most_parts(&self) -> usize {
        self.sockets.most_parts
    }

    fn close_unused(&mut self, to: &SearcherId) {
        for connection in self
            .connections
            .get(to)
            .into_iter()
            .flatten()
            .filter(|c| c.unused())
        {
            let unsent = connection.retire();
            must_hold!(unsent.is_empty(), "nothing waits on an unused connection");
        }
    }

    /// Handed back where the searcher has no address, or no descriptor is left.
    fn send(&mut self, to: &SearcherId, call: Vec<Sent>) -> Result<(), Vec<Sent>> {
        must_hold!(
            call.len() <= self.sockets.most_parts,
            "a call holds no more parts than it may"
        );
        let Some(address) = self.addresses.get(to).copied() else {
            return Err(call);
        };
        let roomy = |c: &&Rc<Connection>| {
            let takes = matches!(c.state.get(), State::Connecting | State::Open);
            // Answers come whole: with some of a frame, what follows it may be noise, or nothing.
            takes
                && !c.partial.get()
                && !c.doubted.get()
                && c.calls.borrow().len() < self.sockets.most_calls
        };
        let connection = self
            .connections
            .get(to)
            .and_then(|of| of.iter().find(roomy))
            .cloned();
        let connection = match connection {
            Some(connection) => connection,
            None if !self.room() => {
                tracing::warn!(
                    "no further connection to {}: {} are open",
                    to.as_str(),
                    self.open.get()
                );
                return Err(call);
            }
            None if !self.meters.take(&[Budget::Connections]) => return Err(call),
            None => {
                self.forget_over();
                let connection = Connection::open(address, self.sockets, &self.queue, &self.open);
                self.connections
                    .entry(to.clone())
                    .or_default()
                    .push(connection.clone());
                connection
            }
        };
        connection.take(call);
        Ok(())
    }

    /// A send has waited in vain: if nothing at all has come on its connection since it left, nothing new goes
    /// there. Tells what had not left.
    fn in_vain(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> Vec<Unsent> {
        let Some(connection) = self.carrier(to, part, nth) else {
            return Vec::new();
        };
        if connection.silent_since(part) {
            connection.retire()
        } else {
            Vec::new()
        }
    }

    /// A send is late enough for a copy. If nothing has come on its connection since it left, its searcher is asked
    /// how it is, there and on a new connection: if it says so on the new one alone, the old one has fallen silent.
    /// Guards against boxes between and machines that forgot a connection; costs a handshake where a searcher
    /// stands still.
    fn doubt(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        let Some(doubted) = self.carrier(to, part, nth).cloned() else {
            return;
        };
        let address = self
            .addresses
            .get(to)
            .copied()
            .filter(|_| self.sockets.may_probe);
        let doubtful = doubted.state.get() == State::Open
            && !doubted.doubted.get()
            && doubted.silent_since(part);
        let Some(address) = address.filter(|_| doubtful && self.room()) else {
            return;
        };
        if !self.meters.take(&[Budget::Probes, Budget::Connections]) {
            return;
        }
        doubted.doubted.set(true);
        doubted.probe();
        let other = Connection::open(address, self.sockets, &self.queue, &self.open);
        other.probe();
        *other.instead_of.borrow_mut() = Some(doubted);
        self.connections.entry(to.clone()).or_default().push(other);
    }

    fn give_up(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        if let Some(connection) = self.carrier(to, part, nth) {
            connection.give_up(part);
        }
    }

    fn recall(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool {
        let Some(connection) = self.carrier(to, part, nth) else {
            return false;
        };
        let unsent = connection
            .out
            .borrow()
            .get(part)
            .is_some_and(|out| out.way != Way::Written);
        if unsent {
            connection.give_up(part);
        }
        unsent
    }

    fn portions(&mut self, now: Time, portions: &[(Budget, Portion)]) {
        self.meters.as_of = (now, Instant::now());
        let own = portions
            .iter()
            .filter(|(of, _)| matches!(of, Budget::Connections | Budget::Probes));
        self.meters
            .purses
            .set(now, &own.copied().collect::<Vec<_>>());
    }

    fn spends(&self, now: Time) -> Vec<(Budget, f64)> {
        self.meters.purses.spent(now)
    }

    /// A frame written just now may reach its searcher after what is written to a client next: until when that is
    /// so. It takes longer on a connection on which nothing has come yet, as its first frame waits for a handshake.
    fn on_its_way(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<Instant> {
        let connection = self.carrier(to, part, nth)?;
        let written = connection
            .out
            .borrow()
            .get(part)
            .filter(|out| out.way == Way::Written)?
            .at;
        let share = if connection.met.get() { 50 } else { 10 };
        let until = written + duration(self.sockets.connect_timeout) / share;
        (until > Instant::now()).then_some(until)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    Open,
    /// Takes nothing new, and closes once nothing is out.
    Retired,
    Over,
}

enum Outgoing {
    Call(Vec<Sent>),
    GivenUp(PartId),
    Probe(Bytes),
}

/// A part that is out on a connection.
struct Out {
    nth: usize,
    call: u64,
    way: Way,
    /// When it was taken, then written.
    at: Instant,
}

/// How far a part's frame has come.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Waiting,
    /// Some of it may have been written.
    Writing,
    /// Its last byte has been written.
    Written,
}

struct Connection {
    address: SocketAddr,
    state: Cell<State>,
    outbox: RefCell<VecDeque<Outgoing>>,
    out: RefCell<HashMap<PartId, Out>>,
    /// Calls that are out, with how many of their parts are.
    calls: RefCell<HashMap<u64, usize>>,
    next_call: Cell<u64>,
    used: Cell<Instant>,
    /// When a frame last came, and whether any did.
    heard: Cell<Instant>,
    met: Cell<bool>,
    /// Parts that were given up and may be answered yet, and some that were answered: of these, and of no
    /// others, a further answer may come.
    given_up: RefCell<VecDeque<PartId>>,
    answered: RefCell<VecDeque<PartId>>,
    /// What came on it can't be read: what the next part that is out comes to.
    spoilt: Cell<Option<Outcome>>,
    /// Some of a frame has come, and not all.
    partial: Cell<bool>,
    /// It is being found out whether it has fallen silent; the one that may take its place, which tells.
    doubted: Cell<bool>,
    instead_of: RefCell<Option<Rc<Connection>>>,
    /// It counts among those that are open.
    counted: Cell<bool>,
    open: Rc<Cell<usize>>,
    wake: Notify,
    retired: Notify,
    broken_off: Notify,
}

impl Connection {
    fn open(
        address: SocketAddr,
        sockets: Sockets,
        queue: &mpsc::Sender<Arrival>,
        open: &Rc<Cell<usize>>,
    ) -> Rc<Self> {
        let connection = Rc::new(Connection {
            address,
            state: Cell::new(State::Connecting),
            outbox: RefCell::default(),
            out: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            used: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
            met: Cell::new(false),
            given_up: RefCell::default(),
            answered: RefCell::default(),
            spoilt: Cell::new(None),
            partial: Cell::new(false),
            doubted: Cell::new(false),
            instead_of: RefCell::default(),
            counted: Cell::new(true),
            open: open.clone(),
            wake: Notify::new(),
            retired: Notify::new(),
            broken_off: Notify::new(),
        });
        open.set(open.get() + 1);
        let (this, queue) = (connection.clone(), queue.clone());
        actix_rt::spawn(async move {
            this.run(sockets, &queue).await;
            this.uncount();
            this.over(&queue).await;
        });
        connection
    }

    fn unused(&self) -> bool {
        self.out.borrow().is_empty()
    }

    /// Whether this part has left and nothing has come since.
    fn silent_since(&self, part: &PartId) -> bool {
        let silent = |out: &Out| out.way == Way::Written && self.heard.get() < out.at;
        self.out.borrow().get(part).is_some_and(silent)
    }

    fn probe(&self) {
        self.outbox
            .borrow_mut()
            .push_back(Outgoing::Probe(frame::probe()));
        self.wake.notify_one();
    }

    /// A frame has come; `answers` if the searcher answered by it. What it says of its own accord at once, on a
    /// connection that has just come up, tells nothing of how long an older one has been silent.
    fn hears(&self, answers: bool) {
        self.heard.set(Instant::now());
        self.met.set(true);
        self.doubted.set(false);
        if !answers {
            return;
        }
        if let Some(silent) = self
            .instead_of
            .take()
            .filter(|doubted| doubted.doubted.get())
        {
            silent.spoilt.set(Some(Outcome::Lost));
            silent.state.set(State::Retired);
            silent.broken_off.notify_one();
        }
    }

    fn uncount(&self) {
        if self.counted.replace(false) {
            self.open.set(self.open.get() - 1);
        }
    }

    /// Takes nothing new; hands back what had not begun to leave.
    fn retire(&self) -> Vec<Unsent> {
        if self.state.get() == State::Over {
            return Vec::new();
        }
        self.state.set(State::Retired);
        let (mut unsent, mut outbox) = (Vec::new(), self.outbox.borrow_mut());
        outbox.retain(|outgoing| {
            let Outgoing::Call(parts) = outgoing else {
                return true;
            };
            unsent.extend(parts.iter().map(|(nth, part, _)| (part.id.clone(), *nth)));
            false
        });
        drop(outbox);
        for (part, _) in &unsent {
            self.end(part);
        }
        self.retired.notify_one();
        unsent
    }

    fn take(&self, call: Vec<Sent>) {
        let number = self.next_call.replace(self.next_call.get() + 1);
        self.calls.borrow_mut().insert(number, call.len());
        for (nth, part, _) in &call {
            let before = self.out.borrow_mut().insert(
                part.id.clone(),
                Out {
                    nth: *nth,
                    call: number,
                    way: Way::Waiting,
                    at: Instant::now(),
                },
            );
            must_hold!(before.is_none(), "a part is out once on a connection");
        }
        self.outbox.borrow_mut().push_back(Outgoing::Call(call));
        self.used.set(Instant::now());
        self.wake.notify_one();
    }

    /// No longer waits for a part; tells what is known of it.
    fn end(&self, part: &PartId) -> Option<Out> {
        let out = self.out.borrow_mut().remove(part)?;
        let mut calls = self.calls.borrow_mut();
        if let Some(left) = calls.get_mut(&out.call) {
            *left -= 1;
            if *left == 0 {
                calls.remove(&out.call);
            }
        }
        self.used.set(Instant::now());
        if self.state.get() == State::Retired {
            self.retired.notify_one();
        }
        Some(out)
    }

    fn give_up(&self, part: &PartId) {
        let mut outbox = self.outbox.borrow_mut();
        for outgoing in outbox.iter_mut() {
            if let Outgoing::Call(parts) = outgoing {
                parts.retain(|(_, p, _)| p.id != *part);
            }
        }
        outbox.retain(|o| !matches!(o, Outgoing::Call(parts) if parts.is_empty()));
        drop(outbox);
        match self.end(part).map(|out| out.way) {
            Some(Way::Written) => {
                remember(&self.given_up, part, 256);
                self.outbox
                    .borrow_mut()
                    .push_back(Outgoing::GivenUp(part.clone()));
                self.wake.notify_one();
            }
            // Its frame is stuck half written: it must not arrive after all, so the connection ends.
            Some(Way::Writing) => self.broken_off.notify_one(),
            Some(Way::Waiting) | None => {}
        }
    }

    async fn run(&self, sockets: Sockets, queue: &mpsc::Sender<Arrival>) {
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
        self.used.set(Instant::now());
        let (reader, writer) = stream.split();
        let read = self.read(reader, duration(sockets.connect_timeout), queue);
        tokio::pin!(read);
        let ended = tokio::select! {
            ended = &mut read => ended,
            ended = self.write(FramedWrite::new(writer, frame::codec()), queue) => {
                // Answers that came before the break still count.
                self.state.set(State::Retired);
                let _ = tokio::time::timeout(duration(sockets.connect_timeout), &mut read).await;
                ended
            }
            () = self.out_of_use(duration(sockets.idle)) => Ok(()),
            () = self.broken_off.notified() => Err(std::io::Error::other("it takes nothing more, or has fallen silent")),
        };
        if let Err(error) = ended {
            tracing::info!("connection to {} ended: {error}", self.address);
        }
    }

    /// Ends when the connection has not been used for long, or is retired with nothing out.
    async fn out_of_use(&self, idle: Duration) {
        loop {
            let unused = self.unused() && self.outbox.borrow().is_empty();
            if unused && (self.state.get() == State::Retired || self.used.get().elapsed() >= idle) {
                return;
            }
            let due = if unused {
                self.used.get() + idle
            } else {
                Instant::now() + idle
            };
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.retired.notified() => {}
            }
        }
    }

    async fn write<W: AsyncWrite + Unpin>(
        &self,
        mut frames: FramedWrite<W, LengthDelimitedCodec>,
        queue: &mpsc::Sender<Arrival>,
    ) -> std::io::Result<()> {
        loop {
            let Some(outgoing) = self.outbox.borrow_mut().pop_front() else {
                self.wake.notified().await;
                continue;
            };
            match outgoing {
                Outgoing::Call(mut parts) => {
                    let (mut by, mut late) = (None::<Instant>, Vec::new());
                    parts.retain(|(_, part, may)| match may() {
                        May::Leave => true,
                        May::LeaveBy(at) => {
                            by = Some(by.map_or(at, |by| by.min(at)));
                            true
                        }
                        // What nobody waits for any more stays here until the router gives it up.
                        May::Unwanted => false,
                        May::Late => {
                            late.push(part.id.clone());
                            false
                        }
                    });
                    for part in late {
                        if let Some(out) = self.end(&part) {
                            let _ = queue.send(came_to(part, out.nth, Outcome::Moot)).await;
                        }
                    }
                    if parts.is_empty() {
                        continue;
                    }
                    let now = |way| {
                        let mut out = self.out.borrow_mut();
                        for (_, part, _) in &parts {
                            out.entry(part.id.clone())
                                .and_modify(|out| (out.way, out.at) = (way, Instant::now()));
                        }
                    };
                    now(Way::Writing);
                    let written = frames.send(frame::call(parts.iter().map(|(_, part, _)| part)));
                    match by {
                        None => written.await?,
                        // Half of it must not be followed by the rest once its window has passed.
                        Some(by) => {
                            tokio::time::timeout_at(by.into(), written)
                                .await
                                .map_err(|_| {
                                    std::io::Error::other("a repeat is stuck past its window")
                                })??;
                        }
                    }
                    now(Way::Written);
                }
                Outgoing::GivenUp(part) => frames.send(frame::given_up(&part)).await?,
                Outgoing::Probe(frame) => frames.send(frame).await?,
            }
        }
    }

    /// Reads frames until one can't be read, none follows, or one is not whole in time.
    async fn read<R: AsyncRead + Unpin>(
        &self,
        mut reader: R,
        whole: Duration,
        queue: &mpsc::Sender<Arrival>,
    ) -> std::io::Result<()> {
        let (mut buffer, mut began): (_, Option<tokio::time::Instant>) = (BytesMut::new(), None);
        loop {
            while let Some(frame) = frame::next(&mut buffer).map_err(|why| self.spoil(why))? {
                began = None;
                let read = frame::decode(&frame);
                self.hears(!matches!(read, Some(FromSearcher::Probe(_))));
                match read {
                    Some(FromSearcher::Ended(ended)) => {
                        if !self.ended(ended, queue).await? {
                            return Ok(());
                        }
                    }
                    Some(FromSearcher::Probe(probe)) => {
                        let mut outbox = self.outbox.borrow_mut();
                        // One that probes faster than it reads gets no more.
                        if outbox.len() < 64 {
                            outbox.push_back(Outgoing::Probe(frame::probe_answer(probe)));
                            self.wake.notify_one();
                        }
                    }
                    Some(FromSearcher::Nothing) => {}
                    Some(FromSearcher::Unusable(words)) => {
                        let words: String = words.chars().take(80).collect();
                        return Err(
                            self.spoil(&format!("the searcher could not use a frame: {words:?}"))
                        );
                    }
                    None => {
                        let meant = frame::meant(&frame).and_then(|id| Some((self.end(&id)?, id)));
                        let error = self.spoil("a frame that can't be read");
                        if let Some((out, part)) = meant {
                            self.spoilt.set(Some(Outcome::Withdrawn));
                            let _ = queue.send(came_to(part, out.nth, Outcome::Error)).await;
                        }
                        return Err(error);
                    }
                }
            }
            self.partial.set(!buffer.is_empty());
            let due = *began.get_or_insert_with(|| tokio::time::Instant::now() + whole);
            buffer.reserve(4 * 1024);
            let read = reader.read_buf(&mut buffer);
            let read = if self.partial.get() {
                let read = tokio::time::timeout_at(due, read).await;
                read.map_err(|_| self.spoil("a frame that does not end"))??
            } else {
                began = None;
                read.await?
            };
            if read == 0 {
                return Ok(());
            }
        }
    }

    /// What has come is of no use, nor is what follows it.
    fn spoil(&self, why: &str) -> std::io::Error {
        self.spoilt.set(Some(Outcome::Error));
        self.state.set(State::Retired);
        std::io::Error::other(why.to_owned())
    }

    /// An answer; tells whether the queue goes on.
    async fn ended(
        &self,
        ended: PartEnded,
        queue: &mpsc::Sender<Arrival>,
    ) -> std::io::Result<bool> {
        let Some(out) = self.end(&ended.id) else {
            let mut given_up = self.given_up.borrow_mut();
            if let Some(place) = given_up.iter().position(|id| *id == ended.id) {
                given_up.remove(place);
            } else if !self.answered.borrow().contains(&ended.id) {
                return Err(self.spoil("an answer to what was never asked here"));
            }
            return Ok(true); // Of a part that was given up, or answered before, nothing more counts.
        };
        remember(&self.answered, &ended.id, 32);
        let answer = (ended.outcome == Outcome::Returned).then_some((ended.score, ended.value));
        let (nth, outcome, at) = (out.nth, ended.outcome, Instant::now());
        let arrival = Arrival::Ended(SendEnded {
            part: ended.id,
            nth,
            outcome,
            at,
            answer,
        });
        Ok(queue.send(arrival).await.is_ok())
    }

    /// Ends all that is still out: what was not written whole never ran. Where the mixer ended the connection
    /// itself, one answer was spoilt and the others are waited for no longer: neither is a sign of a dead process.
    async fn over(&self, queue: &mpsc::Sender<Arrival>) {
        self.state.set(State::Over);
        let mut parts: Vec<(u64, PartId)> = self
            .out
            .borrow()
            .iter()
            .map(|(part, out)| (out.call, part.clone()))
            .collect();
        parts.sort();
        for (_, part) in parts {
            let Some(out) = self.end(&part) else { continue };
            let outcome = match (out.way, self.spoilt.get()) {
                (Way::Written, Some(Outcome::Error)) => {
                    self.spoilt.set(Some(Outcome::Withdrawn));
                    Outcome::Error
                }
                (Way::Written, Some(outcome)) => outcome,
                (Way::Written, None) => Outcome::Broken,
                (Way::Writing | Way::Waiting, Some(_)) => Outcome::Moot,
                (Way::Writing | Way::Waiting, None) => Outcome::NoConnection,
            };
            if queue.send(came_to(part, out.nth, outcome)).await.is_err() {
                return;
            }
        }
    }
}

fn came_to(part: PartId, nth: usize, outcome: Outcome) -> Arrival {
    Arrival::Ended(SendEnded {
        part,
        nth,
        outcome,
        at: Instant::now(),
        answer: None,
    })
}

/// Keeps the last few.
fn remember(ids: &RefCell<VecDeque<PartId>>, id: &PartId, most: usize) {
    let mut ids = ids.borrow_mut();
    if ids.len() >= most {
        ids.pop_front();
    }
    ids.push_back(id.clone());
}
