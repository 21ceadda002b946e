//! Discovery's agent: what it holds, and how it behaves.

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

/// Discovery's agent: what it holds, and how it behaves.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<Told>,
    changed: Condvar,
}

struct Told {
    index: u64,
    whole: bool,
    endpoints: Vec<Value>,
    says: Says,
    /// What it says to the next calls, one each.
    next: VecDeque<Says>,
    watched: Option<u64>,
    /// From which version each connection last watched.
    watchers: BTreeMap<usize, Option<u64>>,
    /// Connections that came, and how many of the first of them are silent or reset by now.
    came: usize,
    silent: usize,
    reset: usize,
    /// Nobody listens.
    down: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    Lists,
    Nonsense,
    Errors,
    Nothing,
    /// Half a list: the connection ends, or is reset, before the length that was said; or no length was said.
    Half,
    HalfReset,
    HalfWithoutLength,
    /// The connection is reset.
    Resets,
    /// A list that comes so much later than it should.
    Late(Duration),
}

impl Discovery {
    pub fn start(endpoints: Vec<Value>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let told = Told {
            index: 1,
            whole: true,
            endpoints,
            says: Says::Lists,
            next: VecDeque::new(),
            watched: None,
            watchers: BTreeMap::new(),
            came: 0,
            silent: 0,
            reset: 0,
            down: false,
        };
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(told),
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
                state.came += 1;
                let (this, number) = (self.clone(), state.came);
                drop(state);
                thread::spawn(move || this.serve(number, stream));
            }
        });
    }

    /// All connections that are open say nothing from here on; new ones are answered.
    pub fn falls_silent(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent = state.came;
        self.changed.notify_all();
    }

    /// All connections that are open are reset; new ones are answered.
    pub fn resets(&self) {
        let mut state = self.state.lock().unwrap();
        state.reset = state.came;
        self.changed.notify_all();
    }

    /// The next calls are answered so, one each.
    pub fn next_say(&self, says: impl IntoIterator<Item = Says>) {
        self.state.lock().unwrap().next.extend(says);
    }

    /// Waits until all of these were said.
    pub fn said(&self) {
        let state = self.state.lock().unwrap();
        let (_guard, out) = self
            .changed
            .wait_timeout_while(state, LONG, |state| !state.next.is_empty())
            .unwrap();
        assert!(!out.timed_out(), "discovery was not called");
    }

    /// Nobody listens any more, and what was open is reset.
    pub fn goes_down(&self) {
        self.state.lock().unwrap().down = true;
        self.resets();
        // The listener's thread sees it with the next connection, which is this one.
        let _ = TcpStream::connect(self.address);
    }

    /// It listens at its address again.
    pub fn comes_up(self: &Arc<Self>) {
        let bound = || TcpListener::bind(self.address).ok();
        let mut listener = None;
        super::until(|| {
            listener = bound();
            listener.is_some()
        });
        self.state.lock().unwrap().down = false;
        self.clone().accept(listener.expect("a port"));
    }

    pub fn tell(&self, index: u64, whole: bool, endpoints: Vec<Value>) {
        let mut state = self.state.lock().unwrap();
        (state.index, state.whole, state.endpoints) = (index, whole, endpoints);
        self.changed.notify_all();
    }

    pub fn says(&self, says: Says) {
        self.state.lock().unwrap().says = says;
        self.changed.notify_all();
    }

    /// Waits until the mixer watches from this version: what it asks later comes after the list.
    pub fn told(&self, index: u64) {
        let state = self.state.lock().unwrap();
        let waits = |state: &mut Told| state.watched != Some(index);
        let (_guard, out) = self.changed.wait_timeout_while(state, LONG, waits).unwrap();
        assert!(!out.timed_out(), "discovery waited in vain");
    }

    /// Waits until so many connections watch from this version: so many mixers have that list.
    pub fn told_all(&self, index: u64, mixers: usize) {
        let state = self.state.lock().unwrap();
        let waits = |state: &mut Told| {
            state
                .watchers
                .values()
                .filter(|from| **from == Some(index))
                .count()
                < mixers
        };
        let (_guard, out) = self.changed.wait_timeout_while(state, LONG, waits).unwrap();
        assert!(!out.timed_out(), "discovery waited in vain");
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
            let hold = line
                .split("hold_ms=")
                .nth(1)
                .and_then(|t| t.split(['&', ' ']).next()?.parse().ok());
            let until = Instant::now() + hold.map_or(LONG, Duration::from_millis);
            let mut state = self.state.lock().unwrap();
            state.watched = from;
            state.watchers.insert(number, from);
            let once = state.next.pop_front();
            self.changed.notify_all();
            // A watch waits for what is newer; one for a version of another life gets what there is.
            let waits = |state: &Told| match once.unwrap_or(state.says) {
                _ if number <= state.reset => false,
                _ if number <= state.silent => true,
                Says::Lists => {
                    from.is_some_and(|from| from == state.index) && Instant::now() < until
                }
                says => says == Says::Nothing,
            };
            while waits(&state) {
                if number <= state.silent || once == Some(Says::Nothing) {
                    // Until the mixer ends it.
                    drop(state);
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
                let left = until
                    .saturating_duration_since(Instant::now())
                    .max(Duration::from_millis(1));
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            if number <= state.reset {
                return reset(&out);
            }
            let nothing = from == Some(state.index);
            let whole = (state.whole || from.is_none()) && !nothing;
            let endpoints = if nothing {
                &[]
            } else {
                state.endpoints.as_slice()
            };
            let list = json!({"index": state.index, "snapshot": whole, "endpoints": endpoints})
                .to_string();
            let says = once.unwrap_or(state.says);
            drop(state);
            let (status, body) = match says {
                Says::Nonsense => ("200 OK", "{\"index\":\"x\"}"),
                Says::Errors => ("500 Sorry", "no"),
                _ => ("200 OK", list.as_str()),
            };
            if let Says::Late(by) = says {
                thread::sleep(by);
            }
            let (length, sent) = match says {
                Says::Resets => return reset(&out),
                Says::Half | Says::HalfReset => {
                    (format!("Content-Length: {}", body.len()), body.len() / 2)
                }
                Says::HalfWithoutLength => ("Connection: close".to_owned(), body.len() / 2),
                _ => (format!("Content-Length: {}", body.len()), body.len()),
            };
            let _ = write!(
                out,
                "HTTP/1.1 {status}\r\n{length}\r\n\r\n{}",
                &body[..sent]
            );
            if sent < body.len() {
                if says != Says::Half {
                    reset(&out);
                }
                return;
            }
        }
    }
}
