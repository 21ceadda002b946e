//! Clients that go on using a connection until it is closed, each on a thread of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::schedule::RestartSchedule;
use crate::client::{Client, PauseInHead};
use crate::deployment::spec_for;
use crate::engine::Part;
use crate::entry::ConnectionBalancer;
use crate::http::SlowLink;
use crate::record::TestClock;
use crate::request::{RequestSpec, TryRecord};
use crate::world::World;

/// How long a connection may be idle before reuse; within the configuration's `idleTimeoutMs`.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// Tokens of a short and of a long stream: up to 4.5 s at the searchers' pace. Long ones outlast the time for which a
/// proxy that stops still serves all clients.
const SHORT_TOKENS_OUT: std::ops::Range<u64> = 20..800;
const LONG_TOKENS_OUT: std::ops::Range<u64> = 800..1_250;
/// Time per token at the searchers, with a margin for their load.
const TIME_PER_TOKEN: Duration = Duration::from_micros(4_500);
/// Time that a client leaves for the prompt and for waiting.
const DEADLINE_MARGIN_MS: std::ops::Range<u64> = 300..1_500;
/// Tokens of a prompt.
const PROMPT_TOKENS: u64 = 200;
/// Pause between two requests of a client that doesn't go on at once.
const SHORT_PAUSE_MS: std::ops::Range<u64> = 1..60;
const LONG_PAUSE_MS: std::ops::Range<u64> = 200..4_000;
/// Pause of a client in the head of a request; less than `headerTimeoutMs`.
const PAUSE_IN_HEAD_MS: std::ops::Range<u64> = 20..2_300;
/// The pause is within this many bytes of the head.
const PAUSE_WITHIN_BYTES: std::ops::Range<usize> = 1..120;
/// The link of slow clients, on which the largest answer takes three seconds. With small segments the kernel at the other
/// end holds only a part of it.
const SLOW_LINK: SlowLink = SlowLink {
    receive_buffer_bytes: 8 * 1_024,
    segment_bytes: 536,
    bytes_per_second: 100_000,
};
/// One client in this many is on a slow link.
const SLOW_ONE_IN: usize = 4;
/// Share of the requests whose client disconnects before the response is complete.
const DISCONNECTING_SHARE: f64 = 0.05;
/// When such a client disconnects.
const DISCONNECTS_AFTER_MS: std::ops::Range<u64> = 10..2_000;
/// Pause after a connection that couldn't be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The running clients.
pub(super) struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<TryRecord>>>,
}

impl Clients {
    pub fn start(world: &World, schedule: &RestartSchedule) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let routes = world.configuration.routes.iter();
        let specs: Arc<[RequestSpec]> = routes.map(spec_for).collect();
        let start = |number: usize| {
            let mut client = Client::keeping_connections(world.clock, MAX_IDLE);
            if number.is_multiple_of(SLOW_ONE_IN) {
                client.use_slow_link(SLOW_LINK);
            }
            let client = KeepingClient {
                client,
                clock: world.clock,
                balancer: Arc::clone(&world.balancer),
                specs: Arc::clone(&specs),
                rng: ChaCha8Rng::seed_from_u64(schedule.seed ^ (number as u64 + 1) << 32),
                stopped: Arc::clone(&stopped),
            };
            std::thread::spawn(move || client.run())
        };
        let threads = (0..schedule.clients).map(start).collect();
        Clients { stopped, threads }
    }

    /// Stops sending, waits for the requests in progress, and returns all tries.
    pub fn finish(self) -> Vec<TryRecord> {
        self.stopped.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        // A panic of a client shows in the output; its tries are missing.
        threads
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

struct KeepingClient {
    client: Client,
    clock: TestClock,
    balancer: Arc<ConnectionBalancer>,
    specs: Arc<[RequestSpec]>,
    rng: ChaCha8Rng,
    stopped: Arc<AtomicBool>,
}

impl KeepingClient {
    fn run(mut self) -> Vec<TryRecord> {
        let mut tries = Vec::new();
        while !self.is_stopped() {
            let Some(front) = self.connected_front() else {
                std::thread::park_timeout(RECONNECT_DELAY);
                continue;
            };
            let spec = Arc::new(self.draw_request());
            if self.rng.random_bool(0.2) {
                let pause = self.draw_pause_in_head();
                self.client.pause_in_next_head(pause);
            }
            tries.push(self.client.try_once(&spec, front, Instant::now(), None));
            let pause = self.draw_pause();
            self.wait(pause);
        }
        tries
    }

    /// The mixer of the open connection, or of a new one.
    fn connected_front(&mut self) -> Option<SocketAddr> {
        if let Some(front) = self.client.pooled_front() {
            return Some(front);
        }
        let front = self.balancer.choose(self.rng.random());
        if !self.client.open_connection(front) {
            return None;
        }
        if self.rng.random_bool(0.3) {
            // The connection is fresh and idle for a while.
            let pause = Duration::from_millis(self.rng.random_range(LONG_PAUSE_MS));
            self.wait(pause);
        }
        Some(front)
    }

    fn draw_request(&mut self) -> RequestSpec {
        let number = self.rng.random_range(0..self.specs.len());
        let mut spec = self.specs[number].clone();
        if self.rng.random_bool(DISCONNECTING_SHARE) {
            let after_ms = self.rng.random_range(DISCONNECTS_AFTER_MS);
            spec.disconnects_after = Some(Duration::from_millis(after_ms));
        }
        if !spec.streaming {
            return spec;
        }
        spec.tokens_out = if self.rng.random_bool(0.6) {
            self.rng.random_range(LONG_TOKENS_OUT)
        } else {
            self.rng.random_range(SHORT_TOKENS_OUT)
        };
        spec.prompt = vec![Part {
            id: self.rng.random(),
            tokens: PROMPT_TOKENS,
        }];
        let margin = Duration::from_millis(self.rng.random_range(DEADLINE_MARGIN_MS));
        let expected = TIME_PER_TOKEN * spec.tokens_out as u32;
        spec.deadline = expected + margin;
        spec
    }

    fn draw_pause_in_head(&mut self) -> PauseInHead {
        PauseInHead {
            after_bytes: self.rng.random_range(PAUSE_WITHIN_BYTES),
            length: Duration::from_millis(self.rng.random_range(PAUSE_IN_HEAD_MS)),
        }
    }

    fn draw_pause(&mut self) -> Duration {
        let pause_ms = match self.rng.random_range(0..10) {
            0..=5 => 0,
            6 | 7 => self.rng.random_range(SHORT_PAUSE_MS),
            _ => self.rng.random_range(LONG_PAUSE_MS),
        };
        Duration::from_millis(pause_ms)
    }

    fn wait(&self, length: Duration) {
        let end = self.clock.now() + length.as_micros() as u64;
        while !self.is_stopped() && self.clock.now() < end {
            let left = Duration::from_micros(end.saturating_sub(self.clock.now()));
            std::thread::park_timeout(left.min(RECONNECT_DELAY));
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}
