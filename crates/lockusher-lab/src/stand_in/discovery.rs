//! Discovery's agent: what it holds, and how it behaves.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use serde_json::{Value, json};

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
    watched: Option<u64>,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Says {
    Lists,
    Nonsense,
    Errors,
    Nothing,
}

impl Discovery {
    pub fn start(endpoints: Vec<Value>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let told = Told { index: 1, whole: true, endpoints, says: Says::Lists, watched: None };
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(told),
            changed: Condvar::new(),
        });
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
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

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        let mut out = stream;
        loop {
            let Some((line, ..)) = read_head(&mut reader) else { return };
            let from =
                line.split("from=").nth(1).and_then(|t| t.split(['&', ' ']).next()?.parse::<u64>().ok());
            let mut state = self.state.lock().unwrap();
            state.watched = from;
            self.changed.notify_all();
            // A watch waits for what is newer; one for a version of another life gets what there is.
            while from.is_some_and(|from| from == state.index) && state.says == Says::Lists {
                state = self.changed.wait(state).unwrap();
            }
            while state.says == Says::Nothing {
                state = self.changed.wait(state).unwrap();
            }
            let whole = state.whole || from.is_none();
            let list =
                json!({"index": state.index, "snapshot": whole, "endpoints": state.endpoints}).to_string();
            let (status, body) = match state.says {
                Says::Lists | Says::Nothing => ("200 OK", list.as_str()),
                Says::Nonsense => ("200 OK", "{\"index\":\"x\"}"),
                Says::Errors => ("500 Sorry", "no"),
            };
            drop(state);
            let _ = write!(out, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
    }
}
