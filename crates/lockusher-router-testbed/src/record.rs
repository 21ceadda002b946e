//! Records for the checker: a common clock, the requests that reach searchers, and what searchers do with them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Micros;
use crate::server::lock;

/// The common clock of all stand-ins of a process: microseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub struct TestClock {
    started: Instant,
}

impl TestClock {
    /// Starts at zero.
    pub fn start() -> TestClock {
        TestClock {
            started: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Converts a time to an `Instant`.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at)
    }
}

/// A hash of bytes, for comparisons within a process.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// One event of a stream, as produced or as received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventRecord {
    pub id: u64,
    /// Hash of the event's text.
    pub digest: u64,
    pub at: Micros,
}

/// The body that a run produced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunBody {
    Plain { digest: u64 },
    Stream { events: Vec<EventRecord> },
}

/// The execution of a request by a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub started_at: Micros,
    /// The value of `Server-Signature`, unique to the run.
    pub signature: String,
    pub status: u16,
    pub body: RunBody,
    /// Whether the complete response was written.
    pub complete: bool,
    /// Whether the searcher broke the response off: it crashed, a fault was injected, or the deadline that it was given
    /// passed.
    pub faulty: bool,
}

/// What a searcher did with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// No outcome yet.
    Waiting,
    /// It has not run and never will.
    Rejected { status: u16 },
    /// Its prompt was prefilled and is held.
    Prefilled,
    /// The searcher crashed or reset the connection before the run started.
    Failed,
    /// It was executed, completely or not.
    Ran(Run),
}

/// A request that reached a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Micros,
    pub instance: String,
    pub service: String,
    pub request_id: String,
    pub method: String,
    pub target: String,
    pub body_digest: u64,
    /// Whether only a prefill was requested.
    pub prefill_only: bool,
    /// Id of the request that prefilled the prompt named by `Kv-From`, if known.
    pub prompt_owner: Option<String>,
    /// The value of `Last-Event-Id`; the first event to produce follows it.
    pub last_event_id: u64,
    pub outcome: ArrivalOutcome,
}

impl Arrival {
    /// The run, if there was one.
    pub fn run(&self) -> Option<&Run> {
        match &self.outcome {
            ArrivalOutcome::Ran(run) => Some(run),
            _ => None,
        }
    }
}

/// Identifies an arrival in the [`ArrivalLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalKey(usize);

/// Log of the arrivals at all searchers of a process.
#[derive(Clone, Debug, Default)]
pub struct ArrivalLog {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl ArrivalLog {
    /// Records an arrival.
    pub fn record(&self, arrival: Arrival) -> ArrivalKey {
        let mut arrivals = lock(&self.arrivals);
        arrivals.push(arrival);
        ArrivalKey(arrivals.len() - 1)
    }

    /// Updates the record of an arrival.
    pub fn update(&self, key: ArrivalKey, change: impl FnOnce(&mut Arrival)) {
        if let Some(arrival) = lock(&self.arrivals).get_mut(key.0) {
            change(arrival);
        }
    }

    /// Sets the outcome of an arrival.
    pub fn set_outcome(&self, key: ArrivalKey, outcome: ArrivalOutcome) {
        self.update(key, |arrival| arrival.outcome = outcome);
    }

    /// Marks all arrivals without a complete response as failed, because their searcher crashes.
    pub fn fail_unfinished(&self, instance: &str) {
        for arrival in lock(&self.arrivals)
            .iter_mut()
            .filter(|arrival| arrival.instance == instance)
        {
            match &mut arrival.outcome {
                ArrivalOutcome::Waiting => arrival.outcome = ArrivalOutcome::Failed,
                ArrivalOutcome::Ran(run) if !run.complete => run.faulty = true,
                _ => {}
            }
        }
    }

    /// Copies all arrivals so far.
    pub fn snapshot(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Counts the arrivals that satisfy a predicate.
    pub fn count(&self, predicate: impl Fn(&Arrival) -> bool) -> usize {
        lock(&self.arrivals)
            .iter()
            .filter(|arrival| predicate(arrival))
            .count()
    }
}

/// When the platform's list first showed each searcher as draining or removed.
pub type DrainTimes = BTreeMap<String, Micros>;
