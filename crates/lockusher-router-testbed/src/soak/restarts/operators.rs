//! Operators that keep a connection to each machine that serves them and send one request after another on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Connection, HttpError, Request};
use crate::world::World;

/// Timeout of a request; long enough for a node to answer that it can't decide.
const TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// The running operators.
pub(super) struct Operators {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Operators {
    pub fn start(world: &World) -> Operators {
        let stopped = Arc::new(AtomicBool::new(false));
        let slack = Duration::from_millis(world.bounds().loss_slack_ms);
        let start = |address| {
            let stopped = Arc::clone(&stopped);
            std::thread::spawn(move || poll(address, slack, &stopped))
        };
        let addresses = world.fleet.operator_addresses().into_iter();
        let threads = addresses.map(start).collect();
        Operators { stopped, threads }
    }

    /// Stops them, and returns the requests that were read and not answered.
    pub fn finish(self) -> Vec<String> {
        self.stopped.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        // A panic of an operator shows in the output.
        threads
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

/// Reads the configuration from one address until stopped, on one connection after another.
fn poll(address: SocketAddr, slack: Duration, stopped: &AtomicBool) -> Vec<String> {
    let request = Request::new("GET", "/api/configuration").header("Host", address.to_string());
    let mut lost = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let Ok(mut connection) = Connection::open(address, TIMEOUT) else {
            std::thread::park_timeout(PAUSE);
            continue;
        };
        while !stopped.load(Ordering::SeqCst) {
            let sent = Instant::now();
            match exchange(&mut connection, &request) {
                Ok(true) => std::thread::park_timeout(PAUSE),
                Ok(false) => break,
                Err(HttpError::Io(_) | HttpError::ClosedEarly) if sent.elapsed() <= slack => break,
                Err(error) => {
                    let waited = sent.elapsed().as_secs_f64();
                    lost.push(format!(
                        "{address}: an operator's request got no answer within {waited:.3} s: {error}"
                    ));
                    break;
                }
            }
        }
    }
    lost
}

/// Sends a request and reads its response; whether the connection may be used again.
fn exchange(connection: &mut Connection, request: &Request) -> Result<bool, HttpError> {
    connection.set_deadline(Some(Instant::now() + TIMEOUT));
    connection.write(&request.to_bytes())?;
    let response = connection.read_response()?;
    Ok(connection.may_be_reused(&response.headers))
}
