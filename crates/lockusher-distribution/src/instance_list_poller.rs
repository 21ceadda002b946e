//! Reads the platform's list of searchers page by page, at a pace that leaves the platform's rate whole.
//!
//! The control plane has one such reader; when it isn't heard, agents read for themselves. A reader therefore assumes
//! a number of readers that may be at work at once and takes its share of the rate, with jitter and back-off.
//!
//! Pages are cut while the list changes, so that an entry may slip through between two pages. A searcher that
//! vanishes from a list of several pages without having been seen draining is kept until a second reading, made soon
//! after, confirms that it is gone.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState};
use lockusher_config::instances_reader::InstancePage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of the platform's rate that a lone reader uses.
const SOLE_POLLER_RATE_FRACTION: f64 = 0.7;
/// Share of the platform's rate that many readers use together; the rest absorbs chance.
const CONCURRENT_POLLERS_RATE_FRACTION: f64 = 0.5;
/// How many readings by different readers may overlap at the full rate.
const MAX_OVERLAPPING_POLLS: u32 = 8;
/// Readers assumed while the size of the fleet is unknown.
const ASSUMED_CONCURRENT_POLLERS: u32 = 256;
/// Calls assumed for a whole reading before one was made.
const ASSUMED_CALLS_PER_POLL: u32 = 4;
/// Bounds on the pause between the starts of two readings of a lone reader.
const MIN_POLL_INTERVAL_MS: u64 = 250;
const MAX_POLL_INTERVAL_MS: u64 = 1_000;
/// First pause after a refused or failed call; doubles with each further one.
const INITIAL_BACK_OFF_MS: u64 = 250;
const MAX_BACK_OFF_MS: u64 = 8_000;
/// A reading that was held up for this long is started anew.
const MAX_POLL_DURATION_MS: u64 = 5_000;

/// What a reader does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollerStep {
    /// Nothing before this time.
    Wait { until_ms: u64 },
    /// `GET` this path at the platform's address.
    Call { path: String },
}

/// The whole list as one reading found it.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceListPoll {
    /// Sorted by identifier; the very same list as before if nothing changed.
    pub instances: Rc<Vec<Instance>>,
    /// Whether this list differs from the reading before.
    pub changed: bool,
    /// When the first page was asked for: the list is at least as new as that.
    pub started_at_ms: u64,
    /// Calls that it took.
    pub calls: u32,
}

#[derive(Debug)]
struct Assembly {
    started_at_ms: u64,
    next_call_at_ms: u64,
    token: Option<String>,
    pages: u32,
    instances: BTreeMap<String, Instance>,
}

/// Paces the calls and assembles the pages.
#[derive(Debug)]
pub struct InstanceListPoller {
    rate_per_s: f64,
    min_interval_ms: u64,
    concurrent_pollers: u32,
    calls: u32,
    next_poll_at_ms: Option<u64>,
    assembly: Option<Assembly>,
    failures: u32,
    last: Option<Rc<Vec<Instance>>>,
    /// Searchers that were missing in the last reading and are kept until the next.
    missing: HashSet<String>,
    random: ChaCha8Rng,
}

impl InstanceListPoller {
    /// The one reader of the fleet. `rate_per_s`: calls that the platform takes; `drain_ms`: the time within which
    /// a searcher that begins to drain must not be sent requests any more.
    pub fn sole(rate_per_s: f64, drain_ms: u64, random_seed: u64) -> Self {
        let min_interval_ms = (drain_ms / 3).clamp(MIN_POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS);
        InstanceListPoller {
            rate_per_s,
            min_interval_ms,
            concurrent_pollers: 1,
            calls: 0,
            next_poll_at_ms: None,
            assembly: None,
            failures: 0,
            last: None,
            missing: HashSet::new(),
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// One of many readers, of unknown number at first.
    pub fn concurrent(rate_per_s: f64, drain_ms: u64, random_seed: u64) -> Self {
        InstanceListPoller {
            concurrent_pollers: ASSUMED_CONCURRENT_POLLERS,
            ..Self::sole(rate_per_s, drain_ms, random_seed)
        }
    }

    /// Sets how many readers may be at work at once; 0 if unknown.
    pub fn set_pollers(&mut self, readers: u32) {
        self.concurrent_pollers = if readers == 0 { ASSUMED_CONCURRENT_POLLERS } else { readers };
    }

    /// Sets how many calls a whole reading takes, as learned elsewhere; 0 if unknown.
    pub fn set_calls(&mut self, calls: u32) {
        if calls > 0 {
            self.calls = calls;
        }
    }

    /// Calls of the last whole reading; 0 if unknown.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Begins to read: at once if alone, else at a random time within an interval.
    pub fn start(&mut self, now_ms: u64) {
        if self.next_poll_at_ms.is_some() {
            return;
        }
        let latest = if self.concurrent_pollers == 1 { 0 } else { self.interval_ms() };
        self.next_poll_at_ms = Some(now_ms + self.random.random_range(0..=latest));
    }

    /// Ceases to read and drops what was assembled.
    pub fn stop(&mut self) {
        self.next_poll_at_ms = None;
        self.assembly = None;
    }

    /// Whether [`InstanceListPoller::start`] was called.
    pub fn is_started(&self) -> bool {
        self.next_poll_at_ms.is_some()
    }

    /// What to do now; far in the future if the reader isn't started.
    pub fn next_step(&mut self, now_ms: u64) -> PollerStep {
        let Some(start_ms) = self.next_poll_at_ms else { return PollerStep::Wait { until_ms: u64::MAX } };
        let due_ms = self.assembly.as_ref().map_or(start_ms, |assembly| assembly.next_call_at_ms);
        if now_ms < due_ms {
            return PollerStep::Wait { until_ms: due_ms };
        }
        let assembly = self.assembly.get_or_insert_with(|| Assembly {
            started_at_ms: now_ms,
            next_call_at_ms: now_ms,
            token: None,
            pages: 0,
            instances: BTreeMap::new(),
        });
        PollerStep::Call { path: path(assembly.token.as_deref()) }
    }

    /// Takes the answer of a call; returns the list if it is whole.
    pub fn page(&mut self, now_ms: u64, page: InstancePage) -> Option<InstanceListPoll> {
        let spacing_ms = self.spacing_ms();
        let assembly = self.assembly.as_mut()?;
        self.failures = 0;
        assembly.pages += 1;
        for instance in page.instances {
            add(&mut assembly.instances, instance);
        }
        if page.next_token.is_some() {
            assembly.token = page.next_token;
            assembly.next_call_at_ms = now_ms + spacing_ms;
            return None;
        }
        let assembly = self.assembly.take()?;
        Some(self.finish(now_ms, assembly))
    }

    /// The platform refused the call because of its rate, or the call failed for another passing reason.
    pub fn back_off(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        let longest = (INITIAL_BACK_OFF_MS << self.failures.min(6)).min(MAX_BACK_OFF_MS);
        let resume_at_ms = now_ms + self.random.random_range(longest / 2..=longest);
        let Some(assembly) = self.assembly.as_mut() else { return };
        if resume_at_ms.saturating_sub(assembly.started_at_ms) > MAX_POLL_DURATION_MS {
            self.restart_at(resume_at_ms);
        } else {
            assembly.next_call_at_ms = resume_at_ms;
        }
    }

    /// The platform doesn't know the page, or its answer can't be read: the reading starts anew.
    pub fn fail(&mut self, now_ms: u64) {
        self.back_off(now_ms);
        let resume_at_ms = self.assembly.as_ref().map(|assembly| assembly.next_call_at_ms);
        if let Some(resume_at_ms) = resume_at_ms {
            self.restart_at(resume_at_ms);
        }
    }

    fn restart_at(&mut self, at_ms: u64) {
        self.assembly = None;
        self.next_poll_at_ms = Some(at_ms);
    }

    /// Mean pause between the starts of two readings.
    fn interval_ms(&self) -> u64 {
        let calls = if self.calls == 0 { ASSUMED_CALLS_PER_POLL } else { self.calls };
        let share = if self.concurrent_pollers == 1 {
            SOLE_POLLER_RATE_FRACTION
        } else {
            CONCURRENT_POLLERS_RATE_FRACTION
        };
        let calls_of_all = f64::from(calls) * f64::from(self.concurrent_pollers);
        let paced_ms = calls_of_all * 1_000.0 / (self.rate_per_s * share);
        (paced_ms.ceil() as u64).max(self.min_interval_ms)
    }

    /// Pause between two calls of one reading: as many readings as may overlap make the full rate together.
    fn spacing_ms(&self) -> u64 {
        (f64::from(self.concurrent_pollers.min(MAX_OVERLAPPING_POLLS)) * 1_000.0 / self.rate_per_s).ceil()
            as u64
    }

    fn finish(&mut self, now_ms: u64, assembly: Assembly) -> InstanceListPoll {
        self.calls = assembly.pages;
        let mut found = assembly.instances;
        let missing_before = std::mem::take(&mut self.missing);
        if assembly.pages > 1 {
            self.retain_unconfirmed_removals(&mut found, &missing_before);
        }
        self.next_poll_at_ms = Some(self.next_start(now_ms, assembly.started_at_ms));
        let instances = self.reuse_unchanged(found.into_values().collect());
        let changed = !self.last.as_ref().is_some_and(|last| Rc::ptr_eq(last, &instances));
        self.last = Some(Rc::clone(&instances));
        InstanceListPoll { instances, changed, started_at_ms: assembly.started_at_ms, calls: assembly.pages }
    }

    /// Keeps searchers that were ready and are missing for the first time.
    fn retain_unconfirmed_removals(
        &mut self,
        found: &mut BTreeMap<String, Instance>,
        missing_before: &HashSet<String>,
    ) {
        let Some(last) = &self.last else { return };
        for instance in last.iter().filter(|instance| instance.state == InstanceState::Ready) {
            let identifier = &instance.identifier;
            if !found.contains_key(identifier) && !missing_before.contains(identifier) {
                self.missing.insert(identifier.clone());
                found.insert(identifier.clone(), instance.clone());
            }
        }
    }

    fn next_start(&mut self, now_ms: u64, started_at_ms: u64) -> u64 {
        if !self.missing.is_empty() {
            return now_ms + self.spacing_ms();
        }
        let interval_ms = self.interval_ms();
        let interval_ms = match self.concurrent_pollers {
            1 => interval_ms,
            _ => self.random.random_range(interval_ms / 2..=interval_ms + interval_ms / 2),
        };
        (started_at_ms + interval_ms).max(now_ms)
    }

    /// The last list itself if the new one says the same; entries that only count down are taken from the last.
    fn reuse_unchanged(&self, mut found: Vec<Instance>) -> Rc<Vec<Instance>> {
        let Some(last) = &self.last else { return Rc::new(found) };
        for instance in &mut found {
            let known = last.binary_search_by(|known| known.identifier.cmp(&instance.identifier));
            if let Ok(position) = known
                && only_counts_down(&last[position], instance)
            {
                instance.cold_remaining_ms = last[position].cold_remaining_ms;
            }
        }
        if **last == found { Rc::clone(last) } else { Rc::new(found) }
    }
}

/// Whether a searcher is cold in both entries, for a shorter time in the newer.
fn only_counts_down(older: &Instance, newer: &Instance) -> bool {
    newer.cold_remaining_ms > 0 && newer.cold_remaining_ms <= older.cold_remaining_ms
}

/// Takes an entry; of two with the same identifier the one that is draining.
fn add(instances: &mut BTreeMap<String, Instance>, instance: Instance) {
    let known = instances.get(&instance.identifier);
    if known.is_some_and(|known| known.state == InstanceState::Draining) {
        return;
    }
    instances.insert(instance.identifier.clone(), instance);
}

/// Path of a page.
fn path(token: Option<&str>) -> String {
    match token {
        None => "/instances".to_owned(),
        Some(token) => format!("/instances?pageToken={}", percent_encoded(token)),
    }
}

fn percent_encoded(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => encoded.push(byte.into()),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
