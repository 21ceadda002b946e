//! Open-loop load: requests are due at times drawn in advance, independently of earlier responses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::client::Client;
use crate::engine::{Micros, Part};
use crate::entry::ConnectionBalancer;
use crate::record::TestClock;
use crate::request::{RequestRecord, RequestSpec};
use crate::server::lock;

/// One in this many workers reuses its connections; the others open one for each request.
const KEEPS_CONNECTIONS_ONE_IN: usize = 2;
/// One in this many workers ignores `Retry-After`.
const IGNORES_BACKOFF_ONE_IN: usize = 9;

/// A kind of request and its rate.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The request, except for its prompt, which is drawn for each.
    pub spec: RequestSpec,
    /// Requests per second of this kind.
    pub rate_per_second: f64,
    /// Shared prompt prefixes, one of which begins each prompt.
    pub shared_parts: Vec<Part>,
    /// Tokens of the unique part of each prompt.
    pub own_tokens: u64,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Requests are due within this span.
    pub length: Duration,
    /// Maximum number of requests in flight; further ones are sent late, and the delay counts as latency.
    pub workers: usize,
    /// Seed of due times and prompts.
    pub seed: u64,
    /// How long a connection may be idle before reuse.
    pub max_idle: Duration,
}

/// A request with its due time.
struct ScheduledRequest {
    at: Micros,
    spec: Arc<RequestSpec>,
    client_hash: u64,
}

struct Shared {
    clock: TestClock,
    balancer: Arc<ConnectionBalancer>,
    due: Vec<ScheduledRequest>,
    next: AtomicUsize,
    stopped: AtomicBool,
    records: Mutex<Vec<RequestRecord>>,
    max_idle: Duration,
}

/// A load in progress.
pub struct Load {
    shared: Arc<Shared>,
    workers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts sending; due times count from now.
    pub fn start(plan: &LoadPlan, clock: TestClock, balancer: Arc<ConnectionBalancer>) -> Load {
        let due = draw(plan, clock.now());
        let shared = Arc::new(Shared {
            clock,
            balancer,
            due,
            next: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            records: Mutex::new(Vec::new()),
            max_idle: plan.max_idle,
        });
        let worker = |number: usize| {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || shared.run_worker(number))
        };
        let workers = (0..plan.workers).map(worker).collect();
        Load { shared, workers }
    }

    /// Requests that have completed so far.
    pub fn records(&self) -> Vec<RequestRecord> {
        lock(&self.shared.records).clone()
    }

    /// Total number of scheduled requests.
    pub fn planned(&self) -> usize {
        self.shared.due.len()
    }

    /// Number of requests that have completed so far.
    pub fn completed(&self) -> usize {
        lock(&self.shared.records).len()
    }

    /// Runs `inspect` on the requests that have completed so far.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&[RequestRecord]) -> T) -> T {
        inspect(&lock(&self.shared.records))
    }

    /// Stops sending; requests in flight complete.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
    }

    /// Waits for all requests to complete and returns them.
    pub fn finish(self) -> Vec<RequestRecord> {
        for worker in self.workers {
            // A panic of a worker shows in the test's output; its request is missing from the records.
            let _ = worker.join();
        }
        std::mem::take(&mut *lock(&self.shared.records))
    }
}

impl Shared {
    fn run_worker(&self, number: usize) {
        let mut client = if number % IGNORES_BACKOFF_ONE_IN == 1 {
            Client::ignoring_backoff(self.clock)
        } else if number.is_multiple_of(KEEPS_CONNECTIONS_ONE_IN) {
            Client::keeping_connections(self.clock, self.max_idle)
        } else {
            Client::new(self.clock)
        };
        while let Some(due) = self.due.get(self.next.fetch_add(1, Ordering::SeqCst)) {
            self.wait_until(due.at);
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let pooled = client.pooled_front();
            let front_for_try = |number| {
                pooled
                    .filter(|_| number == 0)
                    .unwrap_or_else(|| self.front(due.client_hash, number))
            };
            let record = client.request(&due.spec, due.at, front_for_try);
            lock(&self.records).push(record);
        }
    }

    /// The mixer for a try; retries go to other mixers.
    fn front(&self, client_hash: u64, number: u32) -> SocketAddr {
        self.balancer
            .choose(client_hash.wrapping_add(u64::from(number)))
    }

    fn wait_until(&self, at: Micros) {
        let instant = self.clock.instant_at(at);
        while !self.stopped.load(Ordering::SeqCst) {
            let remaining = instant.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            std::thread::park_timeout(remaining);
        }
    }
}

/// Draws all requests of a plan, ordered by due time.
fn draw(plan: &LoadPlan, start: Micros) -> Vec<ScheduledRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut due = Vec::new();
    for kind in &plan.kinds {
        draw_kind(kind, plan.length, start, &mut rng, &mut due);
    }
    due.sort_by_key(|request| request.at);
    due
}

fn draw_kind(
    kind: &RequestKind,
    length: Duration,
    start: Micros,
    rng: &mut ChaCha8Rng,
    due: &mut Vec<ScheduledRequest>,
) {
    let mut seconds = 0.0;
    loop {
        // Exponentially distributed gaps of a Poisson process; the logarithm's argument is never 0.
        let gap = -(1.0 - rng.random::<f64>()).ln() / kind.rate_per_second;
        seconds += gap;
        if seconds >= length.as_secs_f64() {
            return;
        }
        let at = start + (seconds * 1e6) as Micros;
        due.push(ScheduledRequest {
            at,
            spec: Arc::new(draw_spec(kind, rng)),
            client_hash: rng.random(),
        });
    }
}

fn draw_spec(kind: &RequestKind, rng: &mut ChaCha8Rng) -> RequestSpec {
    let mut spec = kind.spec.clone();
    if !kind.shared_parts.is_empty() {
        let shared = kind.shared_parts[rng.random_range(0..kind.shared_parts.len())];
        spec.prompt = vec![
            shared,
            Part {
                id: rng.random(),
                tokens: kind.own_tokens,
            },
        ];
    }
    spec
}
