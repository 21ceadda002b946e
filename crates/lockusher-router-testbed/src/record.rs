//! What the stand-ins saw, for the checker: one clock, requests at searchers, tries of clients, changes of the
//! operator.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Micros;
use crate::server::lock;

/// The one clock of all stand-ins of a process: microseconds since it was made.
#[derive(Clone, Copy, Debug)]
pub struct LabClock {
    started: Instant,
}

impl LabClock {
    /// Starts at zero.
    pub fn start() -> LabClock {
        LabClock {
            started: Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// A time as a moment of the steady clock.
    pub fn moment(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at)
    }
}

/// A short fingerprint of bytes; equal bytes give equal figures.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// One event of a stream, as made or as received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventRecord {
    pub id: u64,
    /// Fingerprint of the event's text.
    pub digest: u64,
    pub at: Micros,
}

/// The body that a run produced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunBody {
    Plain { digest: u64 },
    Stream { events: Vec<EventRecord> },
}

/// A request that a searcher has begun to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub began: Micros,
    /// The value of `Server-Signature`; every run has its own.
    pub signature: String,
    pub status: u16,
    pub body: RunBody,
    /// Whether the whole answer was written.
    pub whole: bool,
    /// Whether the searcher broke off or misbehaved on purpose.
    pub faulty: bool,
}

/// What a searcher did with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// Nothing yet.
    Waiting,
    /// It has not run and never will.
    Rejected {
        status: u16,
    },
    /// Its prompt was read and held.
    Prefilled,
    /// Its prompt was asked for, and the searcher broke off.
    Broken,
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
    /// Whether only the prompt was to be read.
    pub prefill_only: bool,
    /// Whose handle it named (`Kv-From`), where that is known.
    pub continues: Option<String>,
    /// The first event id that it was to make, less one.
    pub last_event_id: u64,
    pub outcome: ArrivalOutcome,
}

impl Arrival {
    /// The run, if it ran.
    pub fn run(&self) -> Option<&Run> {
        match &self.outcome {
            ArrivalOutcome::Ran(run) => Some(run),
            _ => None,
        }
    }
}

/// Names an arrival in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalKey(usize);

/// All arrivals at all searchers of a process.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Ledger {
    /// Records an arrival.
    pub fn arrive(&self, arrival: Arrival) -> ArrivalKey {
        let mut arrivals = lock(&self.arrivals);
        arrivals.push(arrival);
        ArrivalKey(arrivals.len() - 1)
    }

    /// Changes what is known of an arrival.
    pub fn update(&self, key: ArrivalKey, change: impl FnOnce(&mut Arrival)) {
        if let Some(arrival) = lock(&self.arrivals).get_mut(key.0) {
            change(arrival);
        }
    }

    /// Records the end of an arrival.
    pub fn settle(&self, key: ArrivalKey, outcome: ArrivalOutcome) {
        self.update(key, |arrival| arrival.outcome = outcome);
    }

    /// A searcher crashes: what it had not answered in full is broken off.
    pub fn break_off(&self, instance: &str) {
        for arrival in lock(&self.arrivals)
            .iter_mut()
            .filter(|arrival| arrival.instance == instance)
        {
            match &mut arrival.outcome {
                ArrivalOutcome::Waiting => arrival.outcome = ArrivalOutcome::Broken,
                ArrivalOutcome::Ran(run) if !run.whole => run.faulty = true,
                _ => {}
            }
        }
    }

    /// A copy of all arrivals so far.
    pub fn snapshot(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// How many arrivals satisfy a condition.
    pub fn count(&self, condition: impl Fn(&Arrival) -> bool) -> usize {
        lock(&self.arrivals)
            .iter()
            .filter(|arrival| condition(arrival))
            .count()
    }
}

/// When the platform's list first showed each searcher as draining or gone.
pub type DrainTimes = BTreeMap<String, Micros>;
