//! The platform's entry: which mixer takes a client's new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Connection, HttpError, Request};
use crate::server::lock;

/// How often readiness is asked.
const PERIOD: Duration = Duration::from_secs(1);
/// Misses in a row after which a mixer receives no new connections.
const MOST_MISSES: u32 = 2;

/// A mixer as the entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MixerAddress {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
}

#[derive(Clone, Copy, Debug)]
struct Health {
    misses: u32,
    /// Periods in which it was not ready.
    not_ready: u32,
}

struct Shared {
    mixers: Vec<MixerAddress>,
    health: Mutex<Vec<Health>>,
    stopped: AtomicBool,
    wake: Condvar,
}

/// Asks every mixer for its readiness until it is dropped.
pub struct Entry {
    shared: Arc<Shared>,
    watcher: Option<JoinHandle<()>>,
}

impl Entry {
    /// All mixers count as out until they have answered.
    pub fn start(mixers: Vec<MixerAddress>) -> Entry {
        let health = vec![
            Health {
                misses: MOST_MISSES,
                not_ready: 0
            };
            mixers.len()
        ];
        let shared = Arc::new(Shared {
            mixers,
            health: Mutex::new(health),
            stopped: AtomicBool::new(false),
            wake: Condvar::new(),
        });
        let for_watcher = Arc::clone(&shared);
        let watcher = std::thread::spawn(move || for_watcher.watch());
        Entry {
            shared,
            watcher: Some(watcher),
        }
    }

    /// The front that takes a client's connection, by a hash of the client.
    pub fn choose(&self, client_hash: u64) -> SocketAddr {
        let health = lock(&self.shared.health);
        let all = &self.shared.mixers;
        let is_in = |at: &usize| health[*at].misses < MOST_MISSES;
        let mut open: Vec<usize> = (0..all.len()).filter(is_in).collect();
        if open.len() * 2 < all.len() {
            open = (0..all.len()).collect();
        }
        all[open[client_hash as usize % open.len()]].front
    }

    /// Periods in which each mixer was not ready.
    pub fn not_ready(&self) -> Vec<u32> {
        lock(&self.shared.health)
            .iter()
            .map(|health| health.not_ready)
            .collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.shared.wake.notify_all();
        if let Some(watcher) = self.watcher.take() {
            // A panic of the watcher shows in the test's own output.
            let _ = watcher.join();
        }
    }
}

impl Shared {
    fn watch(&self) {
        while !self.stopped.load(Ordering::SeqCst) {
            for (at, mixer) in self.mixers.iter().enumerate() {
                let ready = is_ready(mixer.readiness, PERIOD);
                let health = &mut lock(&self.health)[at];
                health.misses = if ready { 0 } else { health.misses + 1 };
                health.not_ready += u32::from(!ready);
            }
            let health = lock(&self.health);
            drop(
                self.wake
                    .wait_timeout(health, PERIOD)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        }
    }
}

/// Whether a mixer calls itself ready.
pub fn is_ready(readiness: SocketAddr, wait: Duration) -> bool {
    readiness_status(readiness, wait).is_ok_and(|status| status == 200)
}

fn readiness_status(readiness: SocketAddr, wait: Duration) -> Result<u16, HttpError> {
    let mut connection = Connection::open(readiness, wait)?;
    connection.set_give_up(Some(Instant::now() + wait));
    let request = Request::new("GET", "/api/readiness").header("Host", readiness.to_string());
    connection.write(&request.header("Connection", "close").to_bytes())?;
    Ok(connection.read_answer_head()?.status)
}
