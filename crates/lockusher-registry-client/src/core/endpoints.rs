//! Which endpoint is asked next, and when.

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// An endpoint, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub usize);

/// After its first failure an endpoint rests about so long, after each further one in a row twice as long: long
/// enough for a process to be back, short beside the grace for a drain.
const FIRST_REST: Span = Span::from_millis(100);
/// It rests no longer than this, the grace for a drain: with 8 s, a registry that had been away for three was found
/// again up to five seconds after its return.
const LONGEST_REST: Span = Span::from_millis(2_000);
/// No two tries of one mixer lie closer, whichever endpoints they are for: ten endpoints that all refuse are tried
/// in half a second.
const APART: Span = Span::from_millis(50);

struct Endpoint {
    failures: u32,
    not_before: Time,
}

/// The endpoints of one registry, asked in a ring from one chosen at random, so that mixers spread over them.
pub struct Endpoints {
    all: Vec<Endpoint>,
    at: usize,
    next_try: Time,
}

impl Endpoints {
    pub fn new(now: Time, count: usize, rng: &mut ChaCha8Rng) -> Self {
        let all = (0..count)
            .map(|_| Endpoint {
                failures: 0,
                not_before: now,
            })
            .collect();
        Endpoints {
            all,
            at: rng.random_range(0..count.max(1)),
            next_try: now,
        }
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn at(&self) -> EndpointId {
        EndpointId(self.at)
    }

    /// The endpoint at hand goes wrong: the one that has rested enough first comes next, in the ring's order. Tells
    /// when it may be asked.
    pub fn failed(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Time {
        let count = self.all.len();
        let endpoint = &mut self.all[self.at];
        endpoint.failures += 1;
        let rest = FIRST_REST
            .times(2f64.powi(endpoint.failures.min(16) as i32 - 1))
            .min(LONGEST_REST);
        // Mixers that lost the same registry at the same instant must not come back as one.
        endpoint.not_before = now + rest.times(rng.random_range(0.5..1.5));
        let ring = (1..=count).map(|step| (self.at + step) % count);
        let next = ring
            .min_by_key(|i| self.all[*i].not_before.max(now))
            .unwrap_or(self.at);
        self.at = next;
        self.after(now, rng).max(self.all[next].not_before)
    }

    /// When the endpoint at hand may be asked again though it did nothing wrong.
    pub fn after(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Time {
        let spread = APART.times(rng.random_range(0.0..1.0));
        self.next_try = self.next_try.max(now) + APART;
        self.next_try + spread
    }

    /// The endpoint at hand does its work.
    pub fn good(&mut self, now: Time) {
        self.all[self.at] = Endpoint {
            failures: 0,
            not_before: now,
        };
    }
}
