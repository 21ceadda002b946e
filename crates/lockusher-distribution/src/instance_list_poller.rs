//! Polls the platform's instance list page by page, at a pace that stays within the platform's rate.
//!
//! The control plane has one poller, owned by the head of the chain; while its lists don't arrive, each agent polls for
//! itself. A poller therefore assumes a number of concurrent pollers and takes its part of the rate, with jitter and
//! back-off. It decides only: [`instance_list_client`](crate::instance_list_client) makes the calls and passes the time.
//!
//! Invariant: a list is returned only when its last page has arrived, and a searcher that vanishes from a list of
//! several pages without having been seen draining stays in it until a second poll confirms that it is gone.

mod pacing;
mod page_assembly;
mod removal_confirmation;

use std::rc::Rc;

use lockusher_config::instances::Instance;
use lockusher_config::instances_reader::InstancePage;
use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use pacing::PollPacing;
use page_assembly::PageAssembly;
use removal_confirmation::RemovalConfirmation;

/// A poll that would resume later than this after its start begins anew instead, in milliseconds.
const MAX_POLL_DURATION_MS: u64 = 5_000;

/// Calls fail for this long before it is reported, in milliseconds.
const FAILURE_REPORT_DELAY_MS: u64 = 1_000;
/// Time between two reports while calls fail, in milliseconds.
const FAILURE_REPORT_INTERVAL_MS: u64 = 2_000;

/// What a poller does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollerStep {
    /// Nothing before a time.
    Wait {
        /// The time, in milliseconds on the process's steady clock.
        until_ms: u64,
    },
    /// A call to the platform.
    Call {
        /// Path and query of the `GET` request.
        path: String,
    },
}

/// The full list as one poll found it.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceListPoll {
    /// Sorted by identifier; the very same allocation as before if nothing changed.
    pub instances: Rc<Vec<Instance>>,
    /// Whether this list differs from that of the poll before.
    pub changed: bool,
    /// When the first page was requested, in milliseconds on the process's steady clock: the list is at least as new
    /// as that.
    pub started_at_ms: u64,
    /// Calls that the poll took.
    pub calls: u32,
}

/// Paces the calls, and puts the pages together.
#[derive(Debug)]
pub struct InstanceListPoller {
    pacing: PollPacing,
    /// When the next poll starts; absent unless started.
    next_poll_at_ms: Option<u64>,
    /// The poll in progress.
    assembly: Option<PageAssembly>,
    /// Failed calls since the last page.
    failures: u32,
    /// The list of the last poll.
    last: Option<Rc<Vec<Instance>>>,
    removals: RemovalConfirmation,
    failure_log: RecurrenceLog,
    random: ChaCha8Rng,
}

impl InstanceListPoller {
    /// The one poller of the fleet. `rate_per_s`: calls per second that the platform takes; `drain_ms`: the time within
    /// which a searcher that begins to drain must not be sent requests any more.
    pub fn sole(rate_per_s: f64, drain_ms: u64, random_seed: u64) -> Self {
        Self::paced(PollPacing::sole(rate_per_s, drain_ms), random_seed)
    }

    /// One of several concurrent pollers, of unknown number at first; arguments as of [`InstanceListPoller::sole`].
    pub fn concurrent(rate_per_s: f64, drain_ms: u64, random_seed: u64) -> Self {
        Self::paced(PollPacing::concurrent(rate_per_s, drain_ms), random_seed)
    }

    fn paced(pacing: PollPacing, random_seed: u64) -> Self {
        InstanceListPoller {
            pacing,
            next_poll_at_ms: None,
            assembly: None,
            failures: 0,
            last: None,
            removals: RemovalConfirmation::default(),
            failure_log: RecurrenceLog::new(FAILURE_REPORT_DELAY_MS, FAILURE_REPORT_INTERVAL_MS),
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Sets how many pollers may be at work at once; 0 if unknown.
    pub fn set_pollers(&mut self, pollers: u32) {
        self.pacing.set_concurrent_pollers(pollers);
    }

    /// Sets how many calls a poll takes, as learned elsewhere; without effect if 0, for unknown.
    pub fn set_calls(&mut self, calls: u32) {
        if calls > 0 {
            self.pacing.set_calls_per_poll(calls);
        }
    }

    /// Calls of the last poll, or as set; 0 if unknown.
    pub fn calls(&self) -> u32 {
        self.pacing.calls_per_poll()
    }

    /// Starts to poll: at once if alone, else at a random time within an interval. Without effect once started.
    pub fn start(&mut self, now_ms: u64) {
        if self.next_poll_at_ms.is_some() {
            return;
        }
        let delay_ms = self.pacing.first_delay_ms(&mut self.random);
        self.next_poll_at_ms = Some(now_ms + delay_ms);
    }

    /// Ceases to poll, and drops the pages of a poll in progress.
    pub fn stop(&mut self) {
        self.next_poll_at_ms = None;
        self.assembly = None;
    }

    /// Whether [`InstanceListPoller::start`] was called.
    pub fn is_started(&self) -> bool {
        self.next_poll_at_ms.is_some()
    }

    /// What to do now; waits for ever if the poller isn't started.
    pub fn next_step(&mut self, now_ms: u64) -> PollerStep {
        let Some(start_ms) = self.next_poll_at_ms else {
            return PollerStep::Wait { until_ms: u64::MAX };
        };
        let due_ms = self
            .assembly
            .as_ref()
            .map_or(start_ms, |assembly| assembly.next_call_at_ms);
        if now_ms < due_ms {
            return PollerStep::Wait { until_ms: due_ms };
        }
        let assembly = self
            .assembly
            .get_or_insert_with(|| PageAssembly::start(now_ms));
        PollerStep::Call {
            path: assembly.next_path(),
        }
    }

    /// Takes the page that was requested; returns the list if that was the last one.
    pub fn receive_page(&mut self, now_ms: u64, page: InstancePage) -> Option<InstanceListPoll> {
        let assembly = self.assembly.as_mut()?;
        self.failures = 0;
        self.failure_log.end(now_ms);
        if !assembly.add_page(page) {
            assembly.next_call_at_ms = now_ms + self.pacing.call_spacing_ms();
            return None;
        }
        let assembly = self.assembly.take()?;
        Some(self.finish(now_ms, assembly))
    }

    /// The platform rejected the call because of its rate, or the call failed for another passing reason: the same page
    /// is requested again after a back-off.
    pub fn back_off(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        let resume_at_ms = now_ms + pacing::back_off_ms(self.failures, &mut self.random);
        let Some(assembly) = self.assembly.as_mut() else {
            return;
        };
        if resume_at_ms.saturating_sub(assembly.started_at_ms) > MAX_POLL_DURATION_MS {
            self.restart_at(resume_at_ms);
        } else {
            assembly.next_call_at_ms = resume_at_ms;
        }
    }

    /// Counts a failed call; returns for how long calls have failed, if that is to be reported now.
    pub fn record_failure(&mut self, now_ms: u64) -> Option<Recurrence> {
        self.failure_log.observe(now_ms)
    }

    /// The platform doesn't know the page, or its answer can't be read: the poll begins anew after a back-off.
    pub fn restart(&mut self, now_ms: u64) {
        self.back_off(now_ms);
        let resume_at_ms = self
            .assembly
            .as_ref()
            .map(|assembly| assembly.next_call_at_ms);
        if let Some(resume_at_ms) = resume_at_ms {
            self.restart_at(resume_at_ms);
        }
    }

    fn restart_at(&mut self, at_ms: u64) {
        self.assembly = None;
        self.next_poll_at_ms = Some(at_ms);
    }

    fn finish(&mut self, now_ms: u64, assembly: PageAssembly) -> InstanceListPoll {
        let PageAssembly {
            started_at_ms,
            pages,
            instances: mut found,
            ..
        } = assembly;
        self.pacing.set_calls_per_poll(pages);
        match &self.last {
            Some(last) if pages > 1 => self.removals.retain_unconfirmed(last, &mut found),
            _ => self.removals.accept_all(),
        }
        self.next_poll_at_ms = Some(self.next_start_ms(now_ms, started_at_ms));
        let instances = reuse_unchanged(self.last.as_ref(), found.into_values().collect());
        let changed = !self
            .last
            .as_ref()
            .is_some_and(|last| Rc::ptr_eq(last, &instances));
        self.last = Some(Rc::clone(&instances));
        InstanceListPoll {
            instances,
            changed,
            started_at_ms,
            calls: pages,
        }
    }

    fn next_start_ms(&mut self, now_ms: u64, started_at_ms: u64) -> u64 {
        if self.removals.is_needed() {
            return now_ms + self.pacing.call_spacing_ms();
        }
        let interval_ms = self.pacing.next_interval_ms(&mut self.random);
        (started_at_ms + interval_ms).max(now_ms)
    }
}

/// The last list itself if the new one is the same; entries that differ by their countdown only are taken from the
/// last.
fn reuse_unchanged(
    last: Option<&Rc<Vec<Instance>>>,
    mut found: Vec<Instance>,
) -> Rc<Vec<Instance>> {
    let Some(last) = last else {
        return Rc::new(found);
    };
    for instance in &mut found {
        let known = last.binary_search_by(|known| known.identifier.cmp(&instance.identifier));
        if let Ok(position) = known
            && only_counts_down(&last[position], instance)
        {
            instance.cold_remaining_ms = last[position].cold_remaining_ms;
        }
    }
    if **last == found {
        Rc::clone(last)
    } else {
        Rc::new(found)
    }
}

/// Whether a searcher is warming up in both entries, with less time left in the newer.
fn only_counts_down(older: &Instance, newer: &Instance) -> bool {
    newer.cold_remaining_ms > 0 && newer.cold_remaining_ms <= older.cold_remaining_ms
}
