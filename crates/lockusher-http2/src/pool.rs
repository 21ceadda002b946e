//! The connections to one searcher: how many there are, which one carries the next call, how fast a new one ramps up,
//! when one is drained, when calls may be reset. Pure: no I/O; the caller passes the time.
//!
//! Queued calls are served in order. A new connection starts with a few calls at once and doubles that with each round
//! that succeeds, up to the searcher's limit (slow start), so that calls queued while it was connecting don't burst
//! into a searcher that is warming up. RFC 9113: sections 5.1.1 (stream ids), 5.1.2 (streams at once), 6.8 (GOAWAY), 7
//! (ENHANCE_YOUR_CALM).

use std::collections::{BTreeMap, VecDeque};

use lockusher_policy::interface::{Span, Time};

/// A connection, numbered from the start of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A call, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Limits on the connections to one searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Connections to one searcher at once; a further one is opened only if the others have reached their stream limit.
    pub max_connections: usize,
    /// Calls in flight on one connection, even if the searcher allows more.
    pub max_streams: usize,
    /// Calls that one connection carries before it is replaced, [`MAX_CALLS_PER_CONNECTION`] at most.
    pub max_calls_per_connection: u64,
    /// Calls that may be queued for a stream.
    pub max_queued_calls: usize,
    /// A connection without calls for this long is closed.
    pub idle_timeout: Span,
    /// A connection older than this is drained.
    pub max_connection_age: Span,
    /// A connection with calls in flight that receives nothing for this long is pinged, and aborted after as long again
    /// without a reply.
    pub silent_after: Span,
    /// Average rate of stream resets sent to a searcher, per second.
    pub max_resets_per_s: f64,
}

/// Calls in flight on a new connection until the first round has succeeded: with a few mixers, about one mixer's share
/// of the first window of a searcher that is warming up.
const INITIAL_WINDOW_CALLS: usize = 4;
/// Resets that may be sent in a burst.
const RESET_BURST: f64 = 20.0;
/// Stream ids have 31 bits and are odd; a connection is drained well before they are exhausted.
pub const MAX_CALLS_PER_CONNECTION: u64 = 1 << 29;
/// First backoff after ENHANCE_YOUR_CALM or a failed connection attempt; it doubles each time.
const INITIAL_BACKOFF: Span = Span::from_millis(100);
/// The backoff grows no longer than this.
const MAX_BACKOFF: Span = Span::from_millis(5_000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    Open,
    /// Accepts no new calls; closed once none is in flight.
    Draining,
    /// [`Action::Close`] or [`Action::Abort`] was returned for it.
    Closing,
}

struct Connection {
    state: State,

    opened_at: Time,
    last_used: Time,
    last_received: Time,
    ping_sent_at: Option<Time>,
    /// Concurrent streams that the searcher allows.
    max_streams: usize,
    /// Current slow start limit on calls in flight.
    window: usize,
    /// Calls that succeeded since the window last changed.
    completed_in_round: usize,
    calls_started: u64,
    in_flight: Vec<CallId>,
    /// Resets sent, less those that the allowed rate has made up for since.
    recent_resets: f64,
    recent_resets_at: Time,
}

impl Connection {
    /// Whether it accepts calls, now or once it is established.
    fn accepts_calls(&self) -> bool {
        matches!(self.state, State::Connecting | State::Open)
    }

    fn drain(&mut self) {
        if self.accepts_calls() {
            self.state = State::Draining;
        }
    }
}

/// What the caller is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Open(ConnectionId),
    /// Start a call on a connection.
    StartCall(ConnectionId, CallId),
    /// Send a PING.
    Ping(ConnectionId),
    /// Close it as unresponsive; its calls in flight are lost.
    Abort(ConnectionId),
    /// Close it; no call is in flight.
    Close(ConnectionId),
}

/// How a call ended, as far as the pool is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// The response was complete.
    Succeeded,
    /// It was cancelled or failed.
    Failed,
    /// The searcher had no capacity for it.
    Refused,
}

/// Decides about the connections to one searcher.
pub struct Pool {
    limits: Limits,
    connections: BTreeMap<ConnectionId, Connection>,
    queue: VecDeque<CallId>,
    next_connection: u64,
    /// No connection is opened before this time.
    backoff_until: Option<Time>,
    /// Backoffs in a row without a call that succeeded.
    backoffs: u32,
    /// No call is accepted any more: the searcher is being removed.
    draining: bool,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(limits: Limits) -> Self {
        Pool {
            limits,
            connections: BTreeMap::new(),
            queue: VecDeque::new(),
            next_connection: 0,
            backoff_until: None,
            backoffs: 0,
            draining: false,
        }
    }

    /// Queues a call; false if the queue is full or the pool is draining.
    pub fn enqueue(&mut self, call: CallId) -> bool {
        let accepts = !self.draining && self.queue.len() < self.limits.max_queued_calls;
        if accepts {
            self.queue.push_back(call);
        }
        accepts
    }

    /// Removes a call that has not been started; false if it is not queued.
    pub fn remove_queued(&mut self, call: CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| *queued != call);
        self.queue.len() < before
    }

    /// Returns a call that a connection did not accept to the head of the queue, and drains the connection; false if
    /// the pool is draining and the call is not queued.
    pub fn requeue(&mut self, id: ConnectionId, call: CallId) -> bool {
        self.drain(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.in_flight.retain(|pending| *pending != call);
        }
        if !self.draining {
            self.queue.push_front(call);
        }
        !self.draining
    }

    /// The number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The number of connections, including those that are connecting or closing.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Accepts no call from now on and drains all connections. Returns the queued calls; those in flight may finish.
    pub fn drain_all(&mut self) -> Vec<CallId> {
        self.draining = true;
        self.connections.values_mut().for_each(Connection::drain);
        self.queue.drain(..).collect()
    }

    /// Drains the connections without calls in flight.
    pub fn drain_idle(&mut self) {
        let idle = self
            .connections
            .values_mut()
            .filter(|connection| connection.in_flight.is_empty());
        idle.for_each(Connection::drain);
    }

    /// A connection has been established.
    pub fn connection_opened(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.state == State::Connecting {
                connection.state = State::Open;
            }
            (
                connection.opened_at,
                connection.last_used,
                connection.last_received,
            ) = (now, now, now);
        }
    }

    /// A connection has been closed, or was never established. Returns its calls in flight, and the queued calls that
    /// no other connection can carry.
    pub fn connection_closed(&mut self, now: Time, id: ConnectionId) -> (Vec<CallId>, Vec<CallId>) {
        let Some(connection) = self.connections.remove(&id) else {
            return Default::default();
        };
        // No backoff after a connection that was established, or that was drained before it could be.
        if connection.state != State::Connecting {
            return (connection.in_flight, Vec::new());
        }
        self.start_backoff(now);
        let others_accept = self.connections.values().any(Connection::accepts_calls);
        let unplaced = if others_accept {
            Vec::new()
        } else {
            self.queue.drain(..).collect()
        };
        (connection.in_flight, unplaced)
    }

    /// The searcher sent ENHANCE_YOUR_CALM: drains the connection and opens none during a backoff that doubles each
    /// time.
    pub fn back_off(&mut self, now: Time, id: ConnectionId) {
        self.drain(id);
        self.start_backoff(now);
    }

    fn start_backoff(&mut self, now: Time) {
        let backoff = INITIAL_BACKOFF
            .times(2f64.powi(self.backoffs.min(16) as i32))
            .min(MAX_BACKOFF);
        self.backoffs += 1;
        self.backoff_until = Some(now + backoff);
    }

    /// Drains a connection, for example after GOAWAY.
    pub fn drain(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.drain();
        }
    }

    /// Sets the number of concurrent streams that the searcher allows; calls in flight beyond it may finish.
    pub fn set_max_streams(&mut self, id: ConnectionId, streams: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.max_streams = streams;
        }
    }

    /// Bytes were received on a connection.
    pub fn bytes_received(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.last_received, connection.ping_sent_at) = (now, None);
        }
    }

    /// A PING was sent outside [`Pool::due_actions`], to check the connection's liveness.
    pub fn ping_sent(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.ping_sent_at.get_or_insert(now);
        }
    }

    /// Whether a queued call could be started now.
    pub fn can_start_queued_call(&self) -> bool {
        let has_capacity = |c: &Connection| {
            c.state == State::Open && c.in_flight.len() < c.window.min(c.max_streams)
        };
        !self.queue.is_empty() && self.connections.values().any(has_capacity)
    }

    /// A call in flight has ended.
    pub fn call_ended(&mut self, now: Time, id: ConnectionId, call: CallId, end: CallEnd) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(index) = connection
            .in_flight
            .iter()
            .position(|pending| *pending == call)
        else {
            return;
        };
        connection.in_flight.swap_remove(index);
        connection.last_used = now;
        match end {
            CallEnd::Succeeded => {
                self.backoffs = 0;
                connection.completed_in_round += 1;
                // A round is as many calls as the window; each round that succeeds doubles it.
                if connection.completed_in_round >= connection.window {
                    connection.completed_in_round = 0;
                    connection.window = (connection.window * 2).min(self.limits.max_streams);
                }
            }
            CallEnd::Failed => {}
            // The searcher has less capacity than the window: halve it.
            CallEnd::Refused => {
                connection.completed_in_round = 0;
                connection.window = (connection.window / 2).max(1);
            }
        }
    }

    /// Whether a cancelled call may be reset; counts the reset if so. Searchers protect themselves against many resets
    /// by closing the connection, which loses all calls in flight on it. A call that may not be reset runs to its end,
    /// and its response is ignored.
    pub fn try_reset(&mut self, now: Time, id: ConnectionId) -> bool {
        let rate = self.limits.max_resets_per_s;
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let elapsed_s = now.since(connection.recent_resets_at).as_secs();
        connection.recent_resets = (connection.recent_resets - elapsed_s * rate).max(0.0);
        connection.recent_resets_at = now;
        let allowed = connection.recent_resets + 1.0 <= RESET_BURST;
        connection.recent_resets += f64::from(u8::from(allowed));
        allowed
    }

    /// The actions due now.
    pub fn due_actions(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let limits = self.limits;
        for (id, connection) in &mut self.connections {
            let old = now.since(connection.opened_at) >= limits.max_connection_age
                || connection.calls_started >= limits.max_calls_per_connection;
            if connection.state == State::Open && old {
                connection.state = State::Draining;
            }
            let idle = connection.in_flight.is_empty()
                && now.since(connection.last_used) >= limits.idle_timeout;
            if connection.state == State::Open && idle {
                connection.state = State::Draining;
            }
            if connection.state == State::Draining && connection.in_flight.is_empty() {
                connection.state = State::Closing;
                actions.push(Action::Close(*id));
            }
            if connection.in_flight.is_empty()
                || matches!(connection.state, State::Connecting | State::Closing)
            {
                continue;
            }
            match connection.ping_sent_at {
                None if now.since(connection.last_received.max(connection.last_used))
                    >= limits.silent_after =>
                {
                    connection.ping_sent_at = Some(now);
                    actions.push(Action::Ping(*id));
                }
                Some(at) if now.since(at) >= limits.silent_after => {
                    connection.state = State::Closing;
                    actions.push(Action::Abort(*id));
                }
                _ => {}
            }
        }
        self.start_queued_calls(now, &mut actions);
        actions
    }

    /// Starts queued calls on the oldest connection with capacity, so that few connections are used; opens another one
    /// if all have reached their stream limit and the limits allow it.
    fn start_queued_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(call) = self.queue.front().copied() {
            let free = self.connections.iter_mut().find(|(_, connection)| {
                let capacity = connection.window.min(connection.max_streams);
                connection.state == State::Open && connection.in_flight.len() < capacity
            });
            if let Some((id, connection)) = free {
                self.queue.pop_front();
                connection.in_flight.push(call);
                connection.calls_started += 1;
                connection.last_used = now;
                actions.push(Action::StartCall(*id, call));
                continue;
            }
            let mut accepting = self.connections.values().filter(|c| c.accepts_calls());
            // A connection that is connecting or in slow start will get capacity: the calls queued for it open no
            // other.
            let ramping_up = accepting.any(|c| {
                c.state == State::Connecting
                    || c.window < c.max_streams.min(self.limits.max_streams)
            });
            let count = self
                .connections
                .values()
                .filter(|c| c.accepts_calls())
                .count();
            let backing_off = self.backoff_until.is_some_and(|at| at > now);
            if ramping_up || backing_off || self.draining || count >= self.limits.max_connections {
                return;
            }
            let id = ConnectionId(self.next_connection);
            self.next_connection += 1;
            self.connections.insert(
                id,
                Connection {
                    state: State::Connecting,
                    opened_at: now,
                    last_used: now,
                    last_received: now,
                    ping_sent_at: None,
                    max_streams: self.limits.max_streams,
                    window: INITIAL_WINDOW_CALLS.min(self.limits.max_streams),
                    completed_in_round: 0,
                    calls_started: 0,
                    in_flight: Vec::new(),
                    recent_resets: 0.0,
                    recent_resets_at: now,
                },
            );
            actions.push(Action::Open(id));
            return;
        }
    }

    /// When to call [`Pool::due_actions`] again at the latest.
    pub fn next_due(&self) -> Option<Time> {
        let connection_due = |connection: &Connection| {
            if matches!(connection.state, State::Connecting | State::Closing) {
                return None; // The connection task has a connect timeout of its own; closing needs no further action.
            }
            if connection.in_flight.is_empty() {
                return Some(
                    (connection.last_used + self.limits.idle_timeout)
                        .min(connection.opened_at + self.limits.max_connection_age),
                );
            }
            let ping_due = match connection.ping_sent_at {
                Some(at) => at + self.limits.silent_after,
                None => {
                    connection.last_received.max(connection.last_used) + self.limits.silent_after
                }
            };
            Some(ping_due)
        };
        let backoff_end = self.backoff_until.filter(|_| !self.queue.is_empty());
        self.connections
            .values()
            .filter_map(connection_due)
            .chain(backoff_end)
            .min()
    }
}
