//! Connections to searchers: one task each, many parts at once.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::SinkExt;
use lockusher::interface::*;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock::duration;
use crate::config::Sockets;
use crate::protocol::frame::{self, CallPart, FromSearcher};
use crate::routing::{Arrival, SendEnded};
use crate::{log, must_hold};

/// A part with the number of its send.
pub type Sent = (usize, CallPart);
/// One that had not left.
pub type Unsent = (PartId, usize);

/// All connections to searchers, by searcher.
pub struct Searchers {
    sockets: Sockets,
    addresses: HashMap<SearcherId, SocketAddr>,
    connections: HashMap<SearcherId, Vec<Rc<Connection>>>,
    queue: mpsc::Sender<Arrival>,
    open: Rc<Cell<usize>>,
}

impl Searchers {
    pub fn new(sockets: Sockets, queue: mpsc::Sender<Arrival>) -> Self {
        let (addresses, connections) = (HashMap::new(), HashMap::new());
        Searchers { sockets, addresses, connections, queue, open: Rc::default() }
    }

    /// Where a searcher listens. Connections to where it listened before carry nothing new.
    pub fn at(&mut self, id: &SearcherId, address: SocketAddr) -> Vec<Unsent> {
        match self.addresses.insert(id.clone(), address) {
            Some(before) if before != address => self.retire(id),
            _ => Vec::new(),
        }
    }

    /// Nothing new goes to a searcher: hands back what had not left, lets the rest end.
    pub fn leave(&mut self, id: &SearcherId) -> Vec<Unsent> {
        self.addresses.remove(id);
        self.retire(id)
    }

    /// All that have an address.
    pub fn known(&self) -> impl Iterator<Item = &SearcherId> {
        self.addresses.keys()
    }

    fn retire(&mut self, id: &SearcherId) -> Vec<Unsent> {
        self.connections.retain(|_, connections| {
            connections.retain(|c| c.state.get() != State::Over);
            !connections.is_empty()
        });
        self.connections.get(id).into_iter().flatten().flat_map(|c| c.retire()).collect()
    }

    pub fn most_parts(&self) -> usize {
        self.sockets.most_parts
    }

    /// Closes what unused connections there are to a searcher.
    pub fn close_unused(&mut self, to: &SearcherId) {
        for connection in self.connections.get(to).into_iter().flatten().filter(|c| c.unused()) {
            let unsent = connection.retire();
            must_hold!(unsent.is_empty(), "nothing waits on an unused connection");
        }
    }

    /// Sends a call of one or more parts; hands it back if no connection can be had for it.
    pub fn send(&mut self, to: &SearcherId, call: Vec<Sent>) -> Result<(), Vec<Sent>> {
        must_hold!(call.len() <= self.sockets.most_parts, "a call holds no more parts than it may");
        let Some(address) = self.addresses.get(to).copied() else {
            return Err(call);
        };
        let connections = self.connections.entry(to.clone()).or_default();
        connections.retain(|c| c.state.get() != State::Over);
        let roomy = |c: &&Rc<Connection>| c.calls.borrow().len() < self.sockets.most_calls;
        let connection = match connections.iter().filter(|c| c.state.get() != State::Retired).find(roomy) {
            Some(connection) => connection.clone(),
            None if self.open.get() >= self.sockets.most_searchers => {
                log!("no further connection to {}: {} are open", to.as_str(), self.open.get());
                return Err(call);
            }
            None => {
                let connection = Connection::open(address, self.sockets, &self.queue, &self.open);
                connections.push(connection.clone());
                connection
            }
        };
        connection.take(call);
        Ok(())
    }

    /// Gives a send up, wherever it is.
    pub fn give_up(&mut self, to: &SearcherId, part: &PartId, nth: usize) {
        if let Some(connection) = self.carrier(to, part, nth) {
            connection.give_up(part);
        }
    }

    /// Takes back a send that has not left whole; tells whether that was so.
    pub fn recall(&mut self, to: &SearcherId, part: &PartId, nth: usize) -> bool {
        let Some(connection) = self.carrier(to, part, nth) else { return false };
        let unsent = connection.out.borrow().get(part).is_some_and(|out| out.way != Way::Written);
        if unsent {
            connection.give_up(part);
        }
        unsent
    }

    fn carrier(&self, to: &SearcherId, part: &PartId, nth: usize) -> Option<&Rc<Connection>> {
        let mut connections = self.connections.get(to).into_iter().flatten();
        connections.find(|c| c.out.borrow().get(part).is_some_and(|out| out.nth == nth))
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
    Answer(Bytes),
}

/// A part that is out on a connection.
struct Out {
    nth: usize,
    call: u64,
    way: Way,
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
            wake: Notify::new(),
            retired: Notify::new(),
            broken_off: Notify::new(),
        });
        open.set(open.get() + 1);
        let (this, queue, open) = (connection.clone(), queue.clone(), open.clone());
        actix_rt::spawn(async move {
            this.run(sockets, &queue).await;
            open.set(open.get() - 1);
            this.over(&queue).await;
        });
        connection
    }

    fn unused(&self) -> bool {
        self.out.borrow().is_empty()
    }

    /// Takes nothing new; hands back what had not begun to leave.
    fn retire(&self) -> Vec<Unsent> {
        if self.state.get() == State::Over {
            return Vec::new();
        }
        self.state.set(State::Retired);
        let (mut unsent, mut outbox) = (Vec::new(), self.outbox.borrow_mut());
        outbox.retain(|outgoing| {
            let Outgoing::Call(parts) = outgoing else { return true };
            unsent.extend(parts.iter().map(|(nth, part)| (part.id.clone(), *nth)));
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
        for (nth, part) in &call {
            let before = self
                .out
                .borrow_mut()
                .insert(part.id.clone(), Out { nth: *nth, call: number, way: Way::Waiting });
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
                parts.retain(|(_, p)| p.id != *part);
            }
        }
        outbox.retain(|o| !matches!(o, Outgoing::Call(parts) if parts.is_empty()));
        drop(outbox);
        match self.end(part).map(|out| out.way) {
            Some(Way::Written) => {
                self.outbox.borrow_mut().push_back(Outgoing::GivenUp(part.clone()));
                self.wake.notify_one();
            }
            // Its frame is stuck half written: it must not arrive after all, so the connection ends.
            Some(Way::Writing) => self.broken_off.notify_one(),
            Some(Way::Waiting) | None => {}
        }
    }

    async fn run(&self, sockets: Sockets, queue: &mpsc::Sender<Arrival>) {
        let connecting = TcpStream::connect(self.address);
        let mut stream = match tokio::time::timeout(duration(sockets.connect_timeout), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return log!("no connection to {}: {error}", self.address),
            Err(_) => return log!("no connection to {}: none came up in time", self.address),
        };
        if let Err(error) = stream.set_nodelay(true) {
            return log!("connection to {}: {error}", self.address);
        }
        if self.state.get() == State::Connecting {
            self.state.set(State::Open);
        }
        self.used.set(Instant::now());
        let (reader, writer) = stream.split();
        let read = self.read(FramedRead::new(reader, frame::codec(frame::MOST)), queue);
        tokio::pin!(read);
        let ended = tokio::select! {
            ended = &mut read => ended,
            ended = self.write(FramedWrite::new(writer, frame::codec(frame::ANY))) => {
                // Answers that came before the break still count.
                self.state.set(State::Retired);
                let _ = tokio::time::timeout(duration(sockets.connect_timeout), &mut read).await;
                ended
            }
            () = self.out_of_use(duration(sockets.idle)) => Ok(()),
            () = self.broken_off.notified() => Err(std::io::Error::other("it takes nothing more")),
        };
        if let Err(error) = ended {
            log!("connection to {} ended: {error}", self.address);
        }
    }

    /// Ends when the connection has not been used for long, or is retired with nothing out.
    async fn out_of_use(&self, idle: Duration) {
        loop {
            let unused = self.unused() && self.outbox.borrow().is_empty();
            if unused && (self.state.get() == State::Retired || self.used.get().elapsed() >= idle) {
                return;
            }
            let due = if unused { self.used.get() + idle } else { Instant::now() + idle };
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.retired.notified() => {}
            }
        }
    }

    async fn write<W: AsyncWrite + Unpin>(
        &self,
        mut frames: FramedWrite<W, LengthDelimitedCodec>,
    ) -> std::io::Result<()> {
        loop {
            let Some(outgoing) = self.outbox.borrow_mut().pop_front() else {
                self.wake.notified().await;
                continue;
            };
            match outgoing {
                Outgoing::Call(parts) => {
                    let now = |way| {
                        let mut out = self.out.borrow_mut();
                        for (_, part) in &parts {
                            out.entry(part.id.clone()).and_modify(|out| out.way = way);
                        }
                    };
                    now(Way::Writing);
                    frames.send(frame::call(parts.iter().map(|(_, part)| part))).await?;
                    now(Way::Written);
                }
                Outgoing::GivenUp(part) => frames.send(frame::given_up(&part)).await?,
                Outgoing::Answer(frame) => frames.send(frame).await?,
            }
        }
    }

    async fn read<R: tokio::io::AsyncRead + Unpin>(
        &self,
        mut frames: FramedRead<R, LengthDelimitedCodec>,
        queue: &mpsc::Sender<Arrival>,
    ) -> std::io::Result<()> {
        use futures_util::StreamExt;
        while let Some(frame) = frames.next().await {
            match frame::decode(&frame?) {
                Some(FromSearcher::Ended(ended)) => {
                    // Of a part that was given up, or answered before, nothing more counts.
                    if let Some(out) = self.end(&ended.id) {
                        let arrival = Arrival::Ended(SendEnded {
                            part: ended.id,
                            nth: out.nth,
                            outcome: ended.outcome,
                            at: Instant::now(),
                            answer: (ended.outcome == Outcome::Returned)
                                .then_some((ended.score, ended.value)),
                        });
                        if queue.send(arrival).await.is_err() {
                            return Ok(());
                        }
                    }
                }
                Some(FromSearcher::Probe(probe)) => {
                    let mut outbox = self.outbox.borrow_mut();
                    // One that probes faster than it reads gets no more.
                    if outbox.len() < 64 {
                        outbox.push_back(Outgoing::Answer(frame::probe_answer(probe)));
                        self.wake.notify_one();
                    }
                }
                Some(FromSearcher::Nothing) => {}
                Some(FromSearcher::Unusable(words)) => {
                    return Err(std::io::Error::other(format!(
                        "the searcher could not use a frame: {words}"
                    )));
                }
                None => return Err(std::io::Error::other("a frame that can't be read")),
            }
        }
        Ok(())
    }

    /// Ends all that is still out: what was not written whole never ran.
    async fn over(&self, queue: &mpsc::Sender<Arrival>) {
        self.state.set(State::Over);
        let parts: Vec<PartId> = self.out.borrow().keys().cloned().collect();
        for part in parts {
            let Some(out) = self.end(&part) else { continue };
            let written = out.way == Way::Written;
            let outcome = if written { Outcome::Broken } else { Outcome::NoConnection };
            let ended = SendEnded { part, nth: out.nth, outcome, at: Instant::now(), answer: None };
            if queue.send(Arrival::Ended(ended)).await.is_err() {
                return;
            }
        }
    }
}
