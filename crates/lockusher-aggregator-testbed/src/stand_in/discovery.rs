//! A discovery agent with a scripted behavior.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

use super::LONG;
use super::client::read_head;

/// A discovery agent: it serves a list of searchers to watches, or misbehaves as scripted.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

/// The published list, the script and the state of the connections.
struct State {
    /// The version of the list.
    index: u64,
    /// Whether the list is a snapshot rather than a delta.
    snapshot: bool,
    endpoints: Vec<Value>,
    /// The behavior unless `next` has one.
    behavior: DiscoveryBehavior,
    /// The behavior for the next calls, one each.
    next: VecDeque<DiscoveryBehavior>,
    /// The version from which the last call watched.
    watched: Option<u64>,
    /// The version from which each connection last watched.
    watchers: BTreeMap<usize, Option<u64>>,
    /// The number of connections accepted; those up to the numbers `silent` and `reset` are silent or reset.
    accepted: usize,
    silent: usize,
    reset: usize,
    /// It does not listen.
    down: bool,
}

/// How discovery answers a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryBehavior {
    /// With the list.
    Lists,
    /// With JSON that is not a list.
    Nonsense,
    /// With status 500.
    Errors,
    /// Not at all.
    Nothing,
    /// With half a list; the connection is closed before the announced length.
    Half,
    /// With half a list; the connection is reset before the announced length.
    HalfReset,
    /// With half a list and no length; the connection is reset.
    HalfWithoutLength,
    /// With a reset of the connection.
    Resets,
    /// With the list, after this additional delay.
    Late(Duration),
}

impl Discovery {
    /// Starts an agent with this list, at version 1.
    pub fn start(endpoints: Vec<Value>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let state = State {
            index: 1,
            snapshot: true,
            endpoints,
            behavior: DiscoveryBehavior::Lists,
            next: VecDeque::new(),
            watched: None,
            watchers: BTreeMap::new(),
            accepted: 0,
            silent: 0,
            reset: 0,
            down: false,
        };
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        discovery.clone().accept(listener);
        discovery
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = self.state.lock().unwrap();
                if state.down {
                    return;
                }
                state.accepted += 1;
                let (this, number) = (self.clone(), state.accepted);
                drop(state);
                thread::spawn(move || this.serve(number, stream));
            }
        });
    }

    /// Stops answering on all open connections; new ones are answered.
    pub fn stop_answering(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent = state.accepted;
        self.changed.notify_all();
    }

    /// Resets all open connections; new ones are answered.
    pub fn reset_connections(&self) {
        let mut state = self.state.lock().unwrap();
        state.reset = state.accepted;
        self.changed.notify_all();
    }

    /// Scripts the answers to the next calls, one each.
    pub fn script_next(&self, behavior: impl IntoIterator<Item = DiscoveryBehavior>) {
        self.state.lock().unwrap().next.extend(behavior);
    }

    /// Waits until all scripted answers were used.
    pub fn wait_script_used(&self) {
        let state = self.state.lock().unwrap();
        let (_guard, out) = self
            .changed
            .wait_timeout_while(state, LONG, |state| !state.next.is_empty())
            .unwrap();
        assert!(
            !out.timed_out(),
            "discovery: not all scripted answers were used in time"
        );
    }

    /// Stops listening and resets open connections.
    pub fn stop_listening(&self) {
        self.state.lock().unwrap().down = true;
        self.reset_connections();
        // The listener's thread checks the flag on the next connection, which is this one.
        let _ = TcpStream::connect(self.address);
    }

    /// Listens at its address again.
    pub fn listen_again(self: &Arc<Self>) {
        let bind = || TcpListener::bind(self.address).ok();
        let mut listener = None;
        super::until(|| {
            listener = bind();
            listener.is_some()
        });
        self.state.lock().unwrap().down = false;
        self.clone().accept(listener.expect("a port"));
    }

    /// Publishes a list.
    pub fn publish(&self, index: u64, snapshot: bool, endpoints: Vec<Value>) {
        let mut state = self.state.lock().unwrap();
        (state.index, state.snapshot, state.endpoints) = (index, snapshot, endpoints);
        self.changed.notify_all();
    }

    /// Sets the behavior for calls without a scripted one.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.state.lock().unwrap().behavior = behavior;
        self.changed.notify_all();
    }

    /// Waits until the last call watched from this version, so that the mixer has applied the list.
    pub fn wait_watched(&self, index: u64) {
        let state = self.state.lock().unwrap();
        let waiting = |state: &mut State| state.watched != Some(index);
        let (_guard, out) = self
            .changed
            .wait_timeout_while(state, LONG, waiting)
            .unwrap();
        assert!(
            !out.timed_out(),
            "discovery: no watch from the expected version in time"
        );
    }

    /// Waits until this many connections watch from this version, so that as many mixers have the list.
    pub fn wait_watched_by(&self, index: u64, mixers: usize) {
        let state = self.state.lock().unwrap();
        let waiting = |state: &mut State| {
            state
                .watchers
                .values()
                .filter(|from| **from == Some(index))
                .count()
                < mixers
        };
        let (_guard, out) = self
            .changed
            .wait_timeout_while(state, LONG, waiting)
            .unwrap();
        assert!(
            !out.timed_out(),
            "discovery: no watch from the expected version in time"
        );
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        let mut out = stream;
        let reset = |out: &TcpStream| drop(SockRef::from(out).set_linger(Some(Duration::ZERO)));
        loop {
            let Some((line, ..)) = read_head(&mut reader) else {
                return;
            };
            let from = line
                .split("from=")
                .nth(1)
                .and_then(|t| t.split(['&', ' ']).next()?.parse::<u64>().ok());
            let hold_ms = line
                .split("hold_ms=")
                .nth(1)
                .and_then(|t| t.split(['&', ' ']).next()?.parse().ok());
            let until = Instant::now() + hold_ms.map_or(LONG, Duration::from_millis);
            let mut state = self.state.lock().unwrap();
            state.watched = from;
            state.watchers.insert(number, from);
            let scripted = state.next.pop_front();
            self.changed.notify_all();
            // A watch waits for a newer version; one from any other version than the current one is answered at once.
            let waiting = |state: &State| match scripted.unwrap_or(state.behavior) {
                _ if number <= state.reset => false,
                _ if number <= state.silent => true,
                DiscoveryBehavior::Lists => {
                    from.is_some_and(|from| from == state.index) && Instant::now() < until
                }
                behavior => behavior == DiscoveryBehavior::Nothing,
            };
            while waiting(&state) {
                if number <= state.silent || scripted == Some(DiscoveryBehavior::Nothing) {
                    // Until the mixer closes the connection.
                    drop(state);
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
                let remaining = until
                    .saturating_duration_since(Instant::now())
                    .max(Duration::from_millis(1));
                state = self.changed.wait_timeout(state, remaining).unwrap().0;
            }
            if number <= state.reset {
                return reset(&out);
            }
            let up_to_date = from == Some(state.index);
            let snapshot = (state.snapshot || from.is_none()) && !up_to_date;
            let endpoints = if up_to_date {
                &[]
            } else {
                state.endpoints.as_slice()
            };
            let list = json!({"index": state.index, "snapshot": snapshot, "endpoints": endpoints})
                .to_string();
            let behavior = scripted.unwrap_or(state.behavior);
            drop(state);
            let (status, body) = match behavior {
                DiscoveryBehavior::Nonsense => ("200 OK", "{\"index\":\"x\"}"),
                DiscoveryBehavior::Errors => ("500 Sorry", "no"),
                _ => ("200 OK", list.as_str()),
            };
            if let DiscoveryBehavior::Late(by) = behavior {
                thread::sleep(by);
            }
            let (length, sent) = match behavior {
                DiscoveryBehavior::Resets => return reset(&out),
                DiscoveryBehavior::Half | DiscoveryBehavior::HalfReset => {
                    (format!("Content-Length: {}", body.len()), body.len() / 2)
                }
                DiscoveryBehavior::HalfWithoutLength => {
                    ("Connection: close".to_owned(), body.len() / 2)
                }
                _ => (format!("Content-Length: {}", body.len()), body.len()),
            };
            let _ = write!(
                out,
                "HTTP/1.1 {status}\r\n{length}\r\n\r\n{}",
                &body[..sent]
            );
            if sent < body.len() {
                if behavior != DiscoveryBehavior::Half {
                    reset(&out);
                }
                return;
            }
        }
    }
}
