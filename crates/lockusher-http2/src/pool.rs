//! The connections to one searcher: how many there are, which carries the next call, how fast a new one may fill, when
//! one is retired, when to stop cancelling. Pure: no I/O, and no clock but what it is told.
//!
//! What waits is first come, first served. A connection that has just come up takes a few calls, and twice as many
//! with each round that ends well, up to what the searcher allows: what waited for it must not burst into a cold
//! searcher. RFC 9113: sections 5.1.1 (stream ids), 5.1.2 (streams at once), 6.8 (GOAWAY), 7 (ENHANCE_YOUR_CALM).

use std::collections::{BTreeMap, VecDeque};

use lockusher_policy::interface::{Span, Time};

/// A connection, by its number since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A call, by its number since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Connections to one searcher at once; more than one only where it allows few streams.
    pub most_connections: usize,
    /// Calls on one connection at once, whatever the searcher allows.
    pub most_streams: usize,
    /// Calls that one connection carries in its life, [`MOST_CALLS`] at most.
    pub most_calls: u64,
    /// Calls that may wait for a stream.
    pub most_waiting: usize,
    /// A connection unused for so long is closed, one that has served for so long is retired.
    pub idle: Span,
    pub age: Span,
    /// A connection with calls out on which nothing came for so long is pinged, and given up after as long again.
    pub silent_after: Span,
    /// Resets a second that a searcher bears, in the mean.
    pub resets_per_s: f64,
}

/// Calls that a connection may take before any has ended well: as many as one mixer's share of a cold searcher's
/// first window would be with a few mixers.
const FIRST: usize = 4;
/// Resets that may come at once.
const RESETS_AT_ONCE: f64 = 20.0;
/// Stream ids are 31 bits and odd; a connection is retired well before they are used up.
pub const MOST_CALLS: u64 = 1 << 29;
/// After a searcher's wish for calm, or a connection that did not come up, the first rest; it doubles each time.
const FIRST_REST: Span = Span::from_millis(100);
const LONGEST_REST: Span = Span::from_millis(5_000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    Open,
    /// Takes nothing new; closes once nothing is out.
    Retired,
    /// It has been told to close.
    Closing,
}

struct Connection {
    state: State,

    opened: Time,
    used: Time,
    heard: Time,
    pinged: Option<Time>,
    /// What the searcher allows at once.
    allowed: usize,
    /// What it may carry for now, however much is allowed.
    window: usize,
    /// Calls that ended well since the window last grew.
    good: usize,
    begun: u64,
    calls: Vec<CallId>,
    resets: f64,
    resets_at: Time,
}

impl Connection {
    /// Whether it takes calls, now or once it is up.
    fn is_live(&self) -> bool {
        matches!(self.state, State::Connecting | State::Open)
    }

    fn retire(&mut self) {
        if self.is_live() {
            self.state = State::Retired;
        }
    }
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Open(ConnectionId),
    Begin(ConnectionId, CallId),
    Ping(ConnectionId),
    /// It has fallen silent: what is out on it is lost.
    GiveUp(ConnectionId),
    /// Nothing is out on it any more.
    Close(ConnectionId),
}

/// How a call ended, as far as the pool is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    Well,
    /// It was given up, or failed by itself.
    Badly,
    /// The searcher had no place for it.
    Refused,
}

pub struct Pool {
    limits: Limits,
    connections: BTreeMap<ConnectionId, Connection>,
    waiting: VecDeque<CallId>,
    next: u64,
    /// No connection is opened before, and how often in a row that came to be.
    not_before: Option<Time>,
    rests: u32,
    /// Nothing new at all: the searcher left.
    left: bool,
}

impl Pool {
    pub fn new(limits: Limits) -> Self {
        Pool {
            limits,
            connections: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: 0,
            not_before: None,
            rests: 0,
            left: false,
        }
    }

    /// Takes a call, unless too many wait; whether it was taken.
    pub fn call(&mut self, call: CallId) -> bool {
        let takes = !self.left && self.waiting.len() < self.limits.most_waiting;
        if takes {
            self.waiting.push_back(call);
        }
        takes
    }

    /// Takes a call back that has not begun; whether that was so.
    pub fn take_back(&mut self, call: CallId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != call);
        self.waiting.len() < before
    }

    /// A connection did not take a call that it was to carry: it takes nothing more, and the call waits again, before
    /// all others; whether it may.
    pub fn again(&mut self, id: ConnectionId, call: CallId) -> bool {
        self.retire(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.calls.retain(|out| *out != call);
        }
        if !self.left {
            self.waiting.push_front(call);
        }
        !self.left
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Nothing new goes to the searcher from here on. Hands back what waits; what is out may end.
    pub fn leave(&mut self) -> Vec<CallId> {
        self.left = true;
        self.connections.values_mut().for_each(Connection::retire);
        self.waiting.drain(..).collect()
    }

    /// Connections that nothing is out on take nothing more.
    pub fn retire_unused(&mut self) {
        let unused = self
            .connections
            .values_mut()
            .filter(|connection| connection.calls.is_empty());
        unused.for_each(Connection::retire);
    }

    /// A connection has come up.
    pub fn opened(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.state == State::Connecting {
                connection.state = State::Open;
            }
            (connection.opened, connection.used, connection.heard) = (now, now, now);
        }
    }

    /// A connection is over, or never came up; tells the calls that were out, and those that waited for it alone.
    pub fn over(&mut self, now: Time, id: ConnectionId) -> (Vec<CallId>, Vec<CallId>) {
        let Some(connection) = self.connections.remove(&id) else {
            return Default::default();
        };
        // One that is told to close before it came up is no fault of the searcher's.
        if connection.state != State::Connecting {
            return (connection.calls, Vec::new());
        }
        self.rest(now);
        let others = self.connections.values().any(Connection::is_live);
        let waited = if others {
            Vec::new()
        } else {
            self.waiting.drain(..).collect()
        };
        (connection.calls, waited)
    }

    /// The searcher asks for calm: it is left alone for a while that doubles each time.
    pub fn calm(&mut self, now: Time, id: ConnectionId) {
        self.retire(id);
        self.rest(now);
    }

    fn rest(&mut self, now: Time) {
        let rest = FIRST_REST
            .times(2f64.powi(self.rests.min(16) as i32))
            .min(LONGEST_REST);
        self.rests += 1;
        self.not_before = Some(now + rest);
    }

    /// A connection takes nothing new: its searcher said that it goes.
    pub fn retire(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.retire();
        }
    }

    /// The searcher allows so many streams at once from now on; what is out beyond it may end.
    pub fn allows(&mut self, id: ConnectionId, streams: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.allowed = streams;
        }
    }

    /// Something came on a connection.
    pub fn hears(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.heard, connection.pinged) = (now, None);
        }
    }

    /// It is asked whether a connection has fallen silent: it is pinged now.
    pub fn doubt(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.pinged.get_or_insert(now);
        }
    }

    /// Whether something waits that could begin now.
    pub fn has_room_for_waiting(&self) -> bool {
        let room =
            |c: &Connection| c.state == State::Open && c.calls.len() < c.window.min(c.allowed);
        !self.waiting.is_empty() && self.connections.values().any(room)
    }

    /// A call that was out has ended.
    pub fn ended(&mut self, now: Time, id: ConnectionId, call: CallId, how: Ended) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(place) = connection.calls.iter().position(|out| *out == call) else {
            return;
        };
        connection.calls.swap_remove(place);
        connection.used = now;
        match how {
            Ended::Well => {
                self.rests = 0;
                connection.good += 1;
                // A round is as many as the window; each that goes well doubles it.
                if connection.good >= connection.window {
                    connection.good = 0;
                    connection.window = (connection.window * 2).min(self.limits.most_streams);
                }
            }
            Ended::Badly => {}
            // It has less room than was thought: as if the connection were half as far.
            Ended::Refused => {
                connection.good = 0;
                connection.window = (connection.window / 2).max(1);
            }
        }
    }

    /// Whether a call that is given up may be reset: searchers guard against many resets by ending the connection,
    /// and all that is out there would be lost with it. Otherwise its answer is let come, and is not read.
    pub fn may_reset(&mut self, now: Time, id: ConnectionId) -> bool {
        let rate = self.limits.resets_per_s;
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let since = now.since(connection.resets_at).as_secs();
        connection.resets = (connection.resets - since * rate).max(0.0);
        connection.resets_at = now;
        let may = connection.resets + 1.0 <= RESETS_AT_ONCE;
        connection.resets += f64::from(u8::from(may));
        may
    }

    /// What is due now.
    pub fn acts(&mut self, now: Time) -> Vec<Act> {
        let mut acts = Vec::new();
        let limits = self.limits;
        for (id, connection) in &mut self.connections {
            let old =
                now.since(connection.opened) >= limits.age || connection.begun >= limits.most_calls;
            if connection.state == State::Open && old {
                connection.state = State::Retired;
            }
            let idle = connection.calls.is_empty() && now.since(connection.used) >= limits.idle;
            if connection.state == State::Open && idle {
                connection.state = State::Retired;
            }
            if connection.state == State::Retired && connection.calls.is_empty() {
                connection.state = State::Closing;
                acts.push(Act::Close(*id));
            }
            if connection.calls.is_empty()
                || matches!(connection.state, State::Connecting | State::Closing)
            {
                continue;
            }
            match connection.pinged {
                None if now.since(connection.heard.max(connection.used)) >= limits.silent_after => {
                    connection.pinged = Some(now);
                    acts.push(Act::Ping(*id));
                }
                Some(at) if now.since(at) >= limits.silent_after => {
                    connection.state = State::Closing;
                    acts.push(Act::GiveUp(*id));
                }
                _ => {}
            }
        }
        self.begin(now, &mut acts);
        acts
    }

    /// Places what waits: on the oldest connection that has room, so that few are used; on a new one if all are full
    /// and one more may be.
    fn begin(&mut self, now: Time, acts: &mut Vec<Act>) {
        while let Some(call) = self.waiting.front().copied() {
            let roomy = self.connections.iter_mut().find(|(_, connection)| {
                let room = connection.window.min(connection.allowed);
                connection.state == State::Open && connection.calls.len() < room
            });
            if let Some((id, connection)) = roomy {
                self.waiting.pop_front();
                connection.calls.push(call);
                connection.begun += 1;
                connection.used = now;
                acts.push(Act::Begin(*id, call));
                continue;
            }
            let mut live = self.connections.values().filter(|c| c.is_live());
            // One that grows still is room enough: what waits for it must not open another instead.
            let grows = live.any(|c| {
                c.state == State::Connecting || c.window < c.allowed.min(self.limits.most_streams)
            });
            let count = self.connections.values().filter(|c| c.is_live()).count();
            let rests = self.not_before.is_some_and(|at| at > now);
            if grows || rests || self.left || count >= self.limits.most_connections {
                return;
            }
            let id = ConnectionId(self.next);
            self.next += 1;
            self.connections.insert(
                id,
                Connection {
                    state: State::Connecting,
                    opened: now,
                    used: now,
                    heard: now,
                    pinged: None,
                    allowed: self.limits.most_streams,
                    window: FIRST.min(self.limits.most_streams),
                    good: 0,
                    begun: 0,
                    calls: Vec::new(),
                    resets: 0.0,
                    resets_at: now,
                },
            );
            acts.push(Act::Open(id));
            return;
        }
    }

    /// When to ask for acts again at the latest.
    pub fn due(&self) -> Option<Time> {
        let of = |connection: &Connection| {
            if matches!(connection.state, State::Connecting | State::Closing) {
                return None; // Its time-out is the connection's own; one that is told to close needs no more.
            }
            if connection.calls.is_empty() {
                return Some(
                    (connection.used + self.limits.idle).min(connection.opened + self.limits.age),
                );
            }
            let silent = match connection.pinged {
                Some(at) => at + self.limits.silent_after,
                None => connection.heard.max(connection.used) + self.limits.silent_after,
            };
            Some(silent)
        };
        let rested = self.not_before.filter(|_| !self.waiting.is_empty());
        self.connections.values().filter_map(of).chain(rested).min()
    }
}
