//! Calls on their way: connections, streams, and what became of each part. Nothing here decides but by [`crate::pool`]
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

use crate::outcome::{ENHANCE_YOUR_CALM, End, Known, outcome};
use crate::pool::{Act, CallId, ConnectionId, Ended, Limits, Pool};
use crate::tap::{Seen, Tap};
use crate::wire::{self, Ends, Part, PartEnd};

/// Whether anyone still waits for a part.
pub type Wanted = Rc<dyn Fn() -> bool>;

/// A part as it is handed over, with the number of its send.
pub struct Sent {
    pub nth: usize,
    pub part: Part,
    pub wanted: Wanted,
}

/// How a send ended.
pub struct Came {
    pub part: PartId,
    pub nth: usize,
    pub outcome: Outcome,
    pub at: Instant,
    /// Score and value of what returned.
    pub answer: Option<(i64, String)>,
}

/// What all searchers' connections share.
pub struct Shared<T> {
    pub limits: Limits,
    pub connect_timeout: Span,
    /// Descriptors in use for searchers, and how many there may be.
    pub open: Rc<Cell<usize>>,
    pub most_open: usize,
    /// The router's queue, and what it takes.
    pub queue: mpsc::Sender<T>,
    pub came: fn(Came) -> T,
    pub started: Instant,
}

impl<T> Shared<T> {
    fn now(&self) -> Time {
        self.at(Instant::now())
    }

    fn at(&self, at: Instant) -> Time {
        Time::from_micros(at.saturating_duration_since(self.started).as_micros() as u64)
    }

    async fn tell(&self, came: Came) {
        // The router has ended: nobody waits any more.
        let _ = self.queue.send((self.came)(came)).await;
    }
}

/// What windows are granted: more than a value may take, so that one slow reader here stops none.
const STREAM_WINDOW: u32 = 256 * 1024;
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// The longest list of headers that is read.
const MOST_HEADERS: u32 = 16 * 1024;

struct Out {
    nth: usize,
    part: Part,
    wanted: Wanted,
}

/// A call in hand: its parts that have not ended, and where it is.
struct Call {
    parts: Vec<Out>,
    on: Option<(ConnectionId, Rc<Link>)>,
    stream: Option<u32>,
    answered: bool,
    writer: Option<SendStream<Bytes>>,
}

#[derive(Default)]
struct Link {
    seen: Rc<Seen>,
    requests: RefCell<Option<SendRequest<Bytes>>>,
    ping: Notify,
    close: Notify,
    /// It was given up, as it had fallen silent.
    silent: Cell<bool>,
}

/// One searcher.
pub struct Host<T> {
    shared: Rc<Shared<T>>,
    address: SocketAddr,
    pool: RefCell<Pool>,
    calls: RefCell<HashMap<CallId, Call>>,
    /// Where each send that has not ended is.
    sends: RefCell<HashMap<(PartId, usize), CallId>>,
    links: RefCell<HashMap<ConnectionId, Rc<Link>>>,
    next: Cell<u64>,
    speaks: Cell<bool>,
    wake: Notify,
}

impl<T: 'static> Host<T> {
    pub fn start(shared: Rc<Shared<T>>, address: SocketAddr) -> Rc<Self> {
        let host = Rc::new(Host {
            pool: RefCell::new(Pool::new(shared.limits)),
            shared,
            address,
            calls: RefCell::default(),
            sends: RefCell::default(),
            links: RefCell::default(),
            next: Cell::new(0),
            speaks: Cell::new(true),
            wake: Notify::new(),
        });
        let turns = Rc::downgrade(&host);
        tokio::task::spawn_local(async move {
            loop {
                let Some(host) = turns.upgrade() else { return };
                host.turn();
                let due = host.pool.borrow().due();
                let wait = due.map_or(Duration::from_secs(60), |due| {
                    Duration::from_micros(due.since(host.shared.now()).as_micros())
                });
                let woken = host.wake.notified();
                let _ = tokio::time::timeout(wait, woken).await;
            }
        });
        host
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a send is in hand here.
    pub fn holds(&self, part: &PartId, nth: usize) -> bool {
        self.find(part, nth).is_some()
    }

    /// Whether nothing is left of it here.
    pub fn is_over(&self) -> bool {
        self.calls.borrow().is_empty() && self.links.borrow().is_empty()
    }

    /// Whether it speaks HTTP/2, as far as is known.
    pub fn speaks(&self) -> bool {
        self.speaks.get()
    }

    /// Connections that are open or coming up.
    pub fn connections(&self) -> usize {
        self.pool.borrow().connections()
    }

    /// Takes a call, or hands it back if too much waits.
    pub fn send(self: &Rc<Self>, call: Vec<Sent>) -> Result<(), Vec<Sent>> {
        let id = CallId(self.next.replace(self.next.get() + 1));
        if !self.pool.borrow_mut().call(id) {
            return Err(call);
        }
        let parts = call.into_iter().map(|sent| Out {
            nth: sent.nth,
            part: sent.part,
            wanted: sent.wanted,
        });
        let parts: Vec<Out> = parts.collect();
        let mut sends = self.sends.borrow_mut();
        sends.extend(parts.iter().map(|out| ((out.part.id.clone(), out.nth), id)));
        drop(sends);
        let call = Call {
            parts,
            on: None,
            stream: None,
            answered: false,
            writer: None,
        };
        self.calls.borrow_mut().insert(id, call);
        self.kick();
        Ok(())
    }

    /// Nothing new goes there: hands back what has not left, lets the rest end.
    pub fn leave(&self) -> Vec<(PartId, usize)> {
        let waiting = self.pool.borrow_mut().leave();
        let parts = waiting
            .into_iter()
            .filter_map(|id| self.take(id))
            .flat_map(|call| call.parts);
        let unsent = parts.map(|out| (out.part.id, out.nth)).collect();
        self.wake.notify_one();
        unsent
    }

    pub fn retire_unused(&self) {
        self.pool.borrow_mut().retire_unused();
        self.wake.notify_one();
    }

    fn find(&self, part: &PartId, nth: usize) -> Option<CallId> {
        self.sends.borrow().get(&(part.clone(), nth)).copied()
    }

    /// A send of a call has ended, or is not waited for any more; tells whether others of the call are.
    fn drop_send(&self, id: CallId, part: &PartId, nth: usize) -> bool {
        self.sends.borrow_mut().remove(&(part.clone(), nth));
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(&id) else {
            return false;
        };
        call.parts
            .retain(|out| out.part.id != *part || out.nth != nth);
        !call.parts.is_empty()
    }

    /// Takes a call out of hand, with all its sends.
    fn take(&self, id: CallId) -> Option<Call> {
        let call = self.calls.borrow_mut().remove(&id)?;
        let mut sends = self.sends.borrow_mut();
        for out in &call.parts {
            sends.remove(&(out.part.id.clone(), out.nth));
        }
        Some(call)
    }

    fn seen(&self, id: CallId) -> Option<(Rc<Seen>, u32, ConnectionId)> {
        let calls = self.calls.borrow();
        let call = calls.get(&id)?;
        let (on, link) = call.on.as_ref()?;
        Some((link.seen.clone(), call.stream?, *on))
    }

    fn left(&self, id: CallId) -> Option<Instant> {
        let (seen, stream, _) = self.seen(id)?;
        seen.left(stream)
    }

    /// Gives a send up. What has left may be reset; what has not must not leave after all.
    pub fn give_up(&self, part: &PartId, nth: usize) {
        let Some(id) = self.find(part, nth) else {
            return;
        };
        if !self.recall(part, nth) {
            let others = self.drop_send(id, part, nth);
            let on = self
                .calls
                .borrow()
                .get(&id)
                .and_then(|call| Some(call.on.as_ref()?.0));
            if let (false, Some(on)) = (others, on)
                && self.pool.borrow_mut().may_reset(self.shared.now(), on)
            {
                self.reset(id);
            }
        }
    }

    /// Takes back a send that has not left whole; tells whether that was so.
    pub fn recall(&self, part: &PartId, nth: usize) -> bool {
        let Some(id) = self.find(part, nth) else {
            return false;
        };
        if self.left(id).is_some() {
            return false;
        }
        let begun = self
            .calls
            .borrow()
            .get(&id)
            .is_some_and(|call| call.on.is_some());
        let others = self.drop_send(id, part, nth);
        if begun {
            // Some of it may be on its way: without its end it never runs. Its neighbours are told that by the
            // stream's end, as never having left.
            self.reset(id);
        } else if !others {
            self.pool.borrow_mut().take_back(id);
            self.take(id);
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

    /// A send is late, or has waited in vain: if nothing has come on its connection since it left, that is asked
    /// there; with `retire` nothing new goes there either.
    pub fn doubt(&self, part: &PartId, nth: usize, retire: bool) {
        let Some((seen, stream, on)) = self.find(part, nth).and_then(|id| self.seen(id)) else {
            return;
        };
        let silent = seen
            .left(stream)
            .is_some_and(|left| seen.heard().is_none_or(|heard| heard < left));
        if !silent {
            return;
        }
        if retire {
            self.pool.borrow_mut().retire(on);
        }
        self.pool.borrow_mut().doubt(self.shared.now(), on);
        if let Some(link) = self.links.borrow().get(&on) {
            link.ping.notify_one();
        }
        self.wake.notify_one();
    }

    /// When a send left whole.
    pub fn left_at(&self, part: &PartId, nth: usize) -> Option<Instant> {
        self.left(self.find(part, nth)?)
    }

    /// Does what is due, and has the timer look again at what is due next.
    fn kick(self: &Rc<Self>) {
        self.turn();
        self.wake.notify_one();
    }

    fn turn(self: &Rc<Self>) {
        loop {
            let acts = self.pool.borrow_mut().acts(self.shared.now());
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    Act::Open(id) => self.open(id),
                    Act::Begin(id, call) => self.begin(id, call),
                    Act::Ping(id) => self.with_link(id, |link| link.ping.notify_one()),
                    Act::GiveUp(id) => self.with_link(id, |link| {
                        link.silent.set(true);
                        link.close.notify_one();
                    }),
                    Act::Close(id) => self.with_link(id, |link| link.close.notify_one()),
                }
            }
            // Closing takes a while; it is not asked for again and again meanwhile.
            if !self.pool.borrow().has_room_for_waiting() {
                return;
            }
        }
    }

    fn with_link(&self, id: ConnectionId, act: impl FnOnce(&Link)) {
        if let Some(link) = self.links.borrow().get(&id) {
            act(link);
        }
    }

    fn open(self: &Rc<Self>, id: ConnectionId) {
        let link = Rc::new(Link::default());
        self.links.borrow_mut().insert(id, link.clone());
        let host = self.clone();
        tokio::task::spawn_local(async move {
            let open = host.shared.open.clone();
            let why = if open.get() >= host.shared.most_open {
                End::GivenUp
            } else {
                open.set(open.get() + 1);
                let ended = host.run(id, &link).await;
                open.set(open.get() - 1);
                if let Err(error) = ended {
                    tracing::info!("http2 to {}: {error}", host.address);
                }
                End::ConnectionOver
            };
            // What is out there ends by its own task, once it has read what had come before.
            let (_, waited) = host.pool.borrow_mut().over(host.shared.now(), id);
            for call in waited {
                host.end(call, why).await;
            }
            host.links.borrow_mut().remove(&id);
            host.kick();
        });
    }

    /// One connection, to its end.
    async fn run(self: &Rc<Self>, id: ConnectionId, link: &Link) -> Result<(), String> {
        let seen = &link.seen;
        let most = Duration::from_micros(self.shared.connect_timeout.as_micros());
        let come_up = async {
            let socket = TcpStream::connect(self.address)
                .await
                .map_err(|e| e.to_string())?;
            socket.set_nodelay(true).map_err(|e| e.to_string())?;
            let built = h2::client::Builder::new()
                .enable_push(false)
                .initial_window_size(STREAM_WINDOW)
                .initial_connection_window_size(CONNECTION_WINDOW)
                .max_header_list_size(MOST_HEADERS)
                .handshake::<_, Bytes>(Tap::new(socket, seen.clone()));
            built.await.map_err(|e| e.to_string())
        };
        let (requests, mut connection) = tokio::time::timeout(most, come_up)
            .await
            .map_err(|_| "none came up in time")??;
        let pings = connection.ping_pong();
        let driven = connection;
        tokio::pin!(driven);
        // A searcher that speaks HTTP/2 sends its settings first: what speaks something else never gets a call.
        let settled = async {
            while !seen.settled() {
                seen.changed.notified().await;
            }
        };
        tokio::select! {
            ended = &mut driven => {
                // What it said before any settings was no HTTP/2; a plain end may be anything.
                return match ended {
                    Err(error) if seen.heard().is_some() && !error.is_io() => Err(self.speaks_not(&error.to_string())),
                    Err(error) => Err(error.to_string()),
                    Ok(()) => Ok(()),
                };
            }
            waited = tokio::time::timeout(most, settled) => {
                waited.map_err(|_| self.speaks_not("it sends no settings"))?;
            }
        }
        *link.requests.borrow_mut() = Some(requests);
        self.pool.borrow_mut().opened(self.shared.now(), id);
        self.look(id, seen);
        self.kick();
        let watch = async {
            loop {
                seen.changed.notified().await;
                self.look(id, seen);
                self.kick();
            }
        };
        let pinging = async {
            let Some(mut pings) = pings else {
                return std::future::pending().await;
            };
            loop {
                link.ping.notified().await;
                // That something came back is seen on the socket.
                let _ = pings.ping(Ping::opaque()).await;
            }
        };
        tokio::select! {
            ended = &mut driven => ended.map_err(|e| e.to_string()),
            () = watch => Ok(()),
            () = pinging => Ok(()),
            () = link.close.notified() => Ok(()),
        }
    }

    /// Said once a host.
    fn speaks_not(&self, why: &str) -> String {
        match self.speaks.replace(false) {
            true => format!("it speaks no HTTP/2: {why}"),
            false => why.to_owned(),
        }
    }

    /// What the searcher has said of the connection itself.
    fn look(&self, id: ConnectionId, seen: &Seen) {
        let mut pool = self.pool.borrow_mut();
        if let Some(heard) = seen.heard() {
            pool.hears(self.shared.at(heard), id);
        }
        if let Some(allowed) = seen.allows() {
            pool.allows(id, allowed as usize);
        }
        match seen.last() {
            Some((_, ENHANCE_YOUR_CALM)) => pool.calm(self.shared.now(), id),
            Some(_) => pool.retire(id),
            None => {}
        }
    }

    fn begin(self: &Rc<Self>, id: ConnectionId, call: CallId) {
        let Some(link) = self.links.borrow().get(&id).cloned() else {
            return;
        };
        let requests = link.requests.borrow().clone();
        if let Some(call) = self.calls.borrow_mut().get_mut(&call) {
            call.on = Some((id, link));
        }
        let host = self.clone();
        tokio::task::spawn_local(async move {
            let end = match requests {
                Some(requests) => host.carry(call, requests).await,
                None => End::ConnectionOver,
            };
            let how = match end {
                End::Whole => Ended::Well,
                End::Reset(crate::outcome::REFUSED_STREAM) | End::Status(503) => Ended::Refused,
                _ => Ended::Badly,
            };
            if end == End::Reset(ENHANCE_YOUR_CALM) {
                host.pool.borrow_mut().calm(host.shared.now(), id);
            }
            let begun = host
                .calls
                .borrow()
                .get(&call)
                .is_some_and(|call| call.stream.is_some());
            if end == End::ConnectionOver && !begun {
                // Nothing of it has left: the connection takes nothing more, and it waits for another.
                if host.pool.borrow_mut().again(id, call) {
                    if let Some(call) = host.calls.borrow_mut().get_mut(&call) {
                        call.on = None;
                    }
                } else {
                    host.end(call, end).await;
                }
            } else {
                host.pool
                    .borrow_mut()
                    .ended(host.shared.now(), id, call, how);
                host.end(call, end).await;
            }
            host.kick();
        });
    }

    /// One call, to the end of its stream.
    async fn carry(&self, call: CallId, requests: SendRequest<Bytes>) -> End {
        let Ok(mut requests) = requests.ready().await else {
            return self.ended_by(call, None);
        };
        let body = {
            let calls = self.calls.borrow();
            let Some(call) = calls.get(&call) else {
                return End::GivenUp;
            };
            // What nobody waits for any more does not leave; the router gives it up.
            wire::encode(
                call.parts
                    .iter()
                    .filter(|out| (out.wanted)())
                    .map(|out| &out.part),
            )
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, wire::PATH))
            .header(http::header::CONTENT_TYPE, wire::CONTENT_TYPE)
            .body(());
        let Ok(request) = request else {
            return End::GivenUp;
        };
        let (response, mut writer) = match requests.send_request(request, false) {
            Ok(begun) => begun,
            Err(error) => return self.ended_by(call, Some(error)),
        };
        let stream = writer.stream_id().as_u32();
        let sent = writer.send_data(body, true);
        if let Some(call) = self.calls.borrow_mut().get_mut(&call) {
            (call.stream, call.writer) = (Some(stream), Some(writer));
        }
        if let Err(error) = sent {
            return self.ended_by(call, Some(error));
        }
        let response = match response.await {
            Ok(response) => response,
            Err(error) => return self.ended_by(call, Some(error)),
        };
        if response.status() != http::StatusCode::OK {
            return End::Status(response.status().as_u16());
        }
        let (mut body, mut ends) = (response.into_body(), Ends::default());
        while let Some(some) = body.data().await {
            let some = match some {
                Ok(some) => some,
                Err(error) => return self.ended_by(call, Some(error)),
            };
            ends.push(&some);
            loop {
                match ends.take() {
                    Ok(Some(end)) => self.part(call, end).await,
                    Ok(None) => break,
                    Err(why) => {
                        tracing::info!("http2 to {}: {why}", self.address);
                        self.reset(call);
                        return End::Spoilt;
                    }
                }
            }
            let _ = body.flow_control().release_capacity(some.len());
        }
        if ends.partial() {
            End::Spoilt
        } else {
            End::Whole
        }
    }

    /// What an error on a stream comes from: what was seen on the socket says it, not the library's words.
    fn ended_by(&self, call: CallId, error: Option<h2::Error>) -> End {
        let Some((seen, stream, _)) = self.seen(call) else {
            return End::ConnectionOver;
        };
        if let Some(code) = seen.reset(stream) {
            return End::Reset(code);
        }
        let silent = self
            .calls
            .borrow()
            .get(&call)
            .and_then(|call| Some(call.on.as_ref()?.1.silent.get()));
        if silent == Some(true) {
            return End::Silent;
        }
        let Some(error) = error else {
            return End::ConnectionOver;
        };
        if seen.last().is_some_and(|(last, _)| stream > last) {
            return End::BeyondLast;
        }
        match (error.is_reset(), error.is_library()) {
            // What the library will not have concerns this stream alone.
            (true, true) => End::Spoilt,
            // A reset of our own: its parts have been given up, or never left.
            (true, false) => End::GivenUp,
            _ if error.is_io() || error.is_go_away() => End::ConnectionOver,
            _ => End::Spoilt,
        }
    }

    /// A part has ended; of one that was given up, or never asked in this call, nothing counts.
    async fn part(&self, id: CallId, end: PartEnd) {
        let out = {
            let mut calls = self.calls.borrow_mut();
            let Some(call) = calls.get_mut(&id) else {
                return;
            };
            call.answered = true;
            let place = call.parts.iter().position(|out| out.part.id == end.id);
            place.map(|place| call.parts.swap_remove(place))
        };
        let Some(out) = out else { return };
        self.sends.borrow_mut().remove(&(end.id.clone(), out.nth));
        let answer = (end.outcome == Outcome::Returned).then_some((end.score, end.value));
        let came = Came {
            part: end.id,
            nth: out.nth,
            outcome: end.outcome,
            at: Instant::now(),
            answer,
        };
        self.shared.tell(came).await;
    }

    /// A call is over: its parts that have not ended by themselves come to what its end means.
    async fn end(&self, id: CallId, end: End) {
        let seen = self.seen(id);
        let Some(call) = self.take(id) else { return };
        let left = seen
            .as_ref()
            .is_some_and(|(seen, stream, _)| seen.left(*stream).is_some());
        let last = seen
            .as_ref()
            .and_then(|(seen, stream, _)| Some(seen.last()?.0 >= *stream));
        if let Some((seen, stream, _)) = seen {
            seen.forget(stream);
        }
        // A stream that GOAWAY left out never ran, though its connection ended before that was told.
        let end = if end == End::ConnectionOver && last == Some(false) {
            End::BeyondLast
        } else {
            end
        };
        let known = Known {
            left,
            answered: call.answered,
        };
        for out in call.parts {
            let outcome = outcome(end, known);
            let came = Came {
                part: out.part.id,
                nth: out.nth,
                outcome,
                at: Instant::now(),
                answer: None,
            };
            self.shared.tell(came).await;
        }
    }
}
