//! Stand-in for the platform's load balancer, which assigns new client connections to mixers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Connection, HttpError, Request};
use crate::server::lock;

/// Interval of the readiness probes, and the timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed probes after which a mixer receives no new connections.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// The addresses of a mixer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MixerAddress {
    /// Address for client connections.
    pub front: SocketAddr,
    /// Address of `GET /api/readiness`.
    pub readiness: SocketAddr,
}

#[derive(Clone, Copy, Debug)]
struct Health {
    consecutive_failures: u32,
    /// Probes in which it was not ready.
    not_ready: u32,
}

struct Shared {
    mixers: Vec<MixerAddress>,
    health: Mutex<Vec<Health>>,
    stopped: AtomicBool,
    wake: Condvar,
}

/// Probes the readiness of every mixer until it is dropped, and picks mixers for clients.
pub struct ConnectionBalancer {
    shared: Arc<Shared>,
    prober: Option<JoinHandle<()>>,
}

impl ConnectionBalancer {
    /// Starts to probe; every mixer counts as unhealthy until its first successful probe.
    pub fn start(mixers: Vec<MixerAddress>) -> ConnectionBalancer {
        let health = vec![
            Health {
                consecutive_failures: UNHEALTHY_THRESHOLD,
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
        let prober_shared = Arc::clone(&shared);
        let prober = std::thread::spawn(move || prober_shared.probe_all());
        ConnectionBalancer {
            shared,
            prober: Some(prober),
        }
    }

    /// Picks the mixer for a client's connection by a hash of the client.
    ///
    /// If less than half of the mixers are healthy, all of them are candidates.
    pub fn choose(&self, client_hash: u64) -> SocketAddr {
        let health = lock(&self.shared.health);
        let mixers = &self.shared.mixers;
        let is_healthy = |index: &usize| health[*index].consecutive_failures < UNHEALTHY_THRESHOLD;
        let mut candidates: Vec<usize> = (0..mixers.len()).filter(is_healthy).collect();
        if candidates.len() * 2 < mixers.len() {
            candidates = (0..mixers.len()).collect();
        }
        mixers[candidates[client_hash as usize % candidates.len()]].front
    }

    /// Number of probes in which each mixer was not ready.
    pub fn not_ready(&self) -> Vec<u32> {
        lock(&self.shared.health)
            .iter()
            .map(|health| health.not_ready)
            .collect()
    }
}

impl Drop for ConnectionBalancer {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.shared.wake.notify_all();
        if let Some(prober) = self.prober.take() {
            // A panic of the prober appears in the test output.
            let _ = prober.join();
        }
    }
}

impl Shared {
    fn probe_all(&self) {
        while !self.stopped.load(Ordering::SeqCst) {
            for (index, mixer) in self.mixers.iter().enumerate() {
                let ready = is_ready(mixer.readiness, PROBE_INTERVAL);
                let health = &mut lock(&self.health)[index];
                health.consecutive_failures = if ready {
                    0
                } else {
                    health.consecutive_failures + 1
                };
                health.not_ready += u32::from(!ready);
            }
            let health = lock(&self.health);
            drop(
                self.wake
                    .wait_timeout(health, PROBE_INTERVAL)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        }
    }
}

/// Whether a mixer reports itself ready.
pub fn is_ready(readiness: SocketAddr, timeout: Duration) -> bool {
    readiness_status(readiness, timeout).is_ok_and(|status| status == 200)
}

fn readiness_status(readiness: SocketAddr, timeout: Duration) -> Result<u16, HttpError> {
    let mut connection = Connection::open(readiness, timeout)?;
    connection.set_deadline(Some(Instant::now() + timeout));
    let request = Request::new("GET", "/api/readiness").header("Host", readiness.to_string());
    connection.write(&request.header("Connection", "close").to_bytes())?;
    Ok(connection.read_response_head()?.status)
}
