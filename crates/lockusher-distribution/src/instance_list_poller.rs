//! Polls the platform's instance list page by page, within the platform's rate limit.
//!
//! The control plane has one poller, at the head of the chain; while an agent receives no fresh lists, it polls by
//! itself. A poller therefore assumes a number of concurrent pollers and uses its share of the rate limit, with jitter
//! and back-off. It does no I/O: [`instance_list_client`](crate::instance_list_client) makes the calls and passes the
//! time.
//!
//! Invariants: a list is returned only once its last page has arrived. A ready searcher that disappears from a list of
//! several pages stays in it until a second poll confirms the removal.

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

/// A poll that would resume later than this after its start is restarted instead, in milliseconds.
const MAX_POLL_DURATION_MS: u64 = 5_000;

/// Time for which calls must have failed before this is reported, in milliseconds.
const FAILURE_REPORT_DELAY_MS: u64 = 1_000;
/// Minimum time between two reports while calls fail, in milliseconds.
const FAILURE_REPORT_INTERVAL_MS: u64 = 2_000;

/// The next action of a poller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollerStep {
    /// Wait until a time.
    Wait {
        /// The time, in milliseconds on the process's monotonic clock.
        until_ms: u64,
    },
    /// Call the platform.
    Call {
        /// Path and query of the `GET` request.
        path: String,
    },
}

/// The full list as read by one poll.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceListPoll {
    /// Sorted by identifier; the same allocation as in the previous poll if nothing changed.
    pub instances: Rc<Vec<Instance>>,
    /// Whether this list differs from that of the previous poll.
    pub changed: bool,
    /// When the first page was requested, in milliseconds on the process's monotonic clock. The list is at least as
    /// recent as that.
    pub started_at_ms: u64,
    /// Number of calls that the poll took.
    pub calls: u32,
}

/// Paces the calls and assembles the pages.
#[derive(Debug)]
pub struct InstanceListPoller {
    pacing: PollPacing,
    /// When the next poll starts; absent while stopped.
    next_poll_at_ms: Option<u64>,
    /// The poll in progress.
    assembly: Option<PageAssembly>,
    /// Failed calls since the last page.
    failures: u32,
    /// The list of the last poll.
    last_list: Option<Rc<Vec<Instance>>>,
    removals: RemovalConfirmation,
    failure_log: RecurrenceLog,
    random: ChaCha8Rng,
}

impl InstanceListPoller {
    /// Creates the only poller of the fleet. `rate_per_s` is the platform's rate limit in calls per second; `drain_ms`
    /// is the time after which a searcher that starts draining must receive no more requests.
    pub fn sole(rate_per_s: f64, drain_ms: u64, random_seed: u64) -> Self {
        Self::paced(PollPacing::sole(rate_per_s, drain_ms), random_seed)
    }

    /// Creates one of several concurrent pollers, whose number is unknown at first; the arguments are those of
    /// [`InstanceListPoller::sole`].
    pub fn concurrent(rate_per_s: f64, drain_ms: u64, random_seed: u64) -> Self {
        Self::paced(PollPacing::concurrent(rate_per_s, drain_ms), random_seed)
    }

    fn paced(pacing: PollPacing, random_seed: u64) -> Self {
        InstanceListPoller {
            pacing,
            next_poll_at_ms: None,
            assembly: None,
            failures: 0,
            last_list: None,
            removals: RemovalConfirmation::default(),
            failure_log: RecurrenceLog::new(FAILURE_REPORT_DELAY_MS, FAILURE_REPORT_INTERVAL_MS),
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Sets the number of pollers that may run concurrently; 0 if unknown.
    pub fn set_concurrent_pollers(&mut self, pollers: u32) {
        self.pacing.set_concurrent_pollers(pollers);
    }

    /// Sets the number of calls that a poll takes, as reported by another process; no effect if 0, for unknown.
    pub fn set_calls_per_poll(&mut self, calls: u32) {
        if calls > 0 {
            self.pacing.set_calls_per_poll(calls);
        }
    }

    /// Returns the number of calls of the last poll, or the one that was set; 0 if unknown.
    pub fn calls_per_poll(&self) -> u32 {
        self.pacing.calls_per_poll()
    }

    /// Starts polling: immediately if sole, else after a random part of an interval. No effect if already started.
    pub fn start(&mut self, now_ms: u64) {
        if self.next_poll_at_ms.is_some() {
            return;
        }
        let delay_ms = self.pacing.first_delay_ms(&mut self.random);
        self.next_poll_at_ms = Some(now_ms + delay_ms);
    }

    /// Stops polling and discards the pages of a poll in progress.
    pub fn stop(&mut self) {
        self.next_poll_at_ms = None;
        self.assembly = None;
    }

    /// Whether [`InstanceListPoller::start`] was called.
    pub fn is_started(&self) -> bool {
        self.next_poll_at_ms.is_some()
    }

    /// Returns the next action; an unlimited wait if the poller isn't started.
    pub fn next_step(&mut self, now_ms: u64) -> PollerStep {
        let Some(start_at_ms) = self.next_poll_at_ms else {
            return PollerStep::Wait { until_ms: u64::MAX };
        };
        let due_at_ms = self
            .assembly
            .as_ref()
            .map_or(start_at_ms, |assembly| assembly.next_call_at_ms);
        if now_ms < due_at_ms {
            return PollerStep::Wait {
                until_ms: due_at_ms,
            };
        }
        let assembly = self
            .assembly
            .get_or_insert_with(|| PageAssembly::start(now_ms));
        PollerStep::Call {
            path: assembly.next_path(),
        }
    }

    /// Adds the page that was requested; returns the list if it was the last page.
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

    /// The platform rejected the call by its rate limit, or the call failed for another transient reason: requests the
    /// same page again after a back-off.
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

    /// Records a failed call; returns for how long calls have failed if a report is due.
    pub fn record_failure(&mut self, now_ms: u64) -> Option<Recurrence> {
        self.failure_log.observe(now_ms)
    }

    /// The platform no longer knows the page token, or its answer is invalid: restarts the poll after a back-off.
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
        match &self.last_list {
            Some(last) if pages > 1 => self.removals.retain_unconfirmed(last, &mut found),
            _ => self.removals.accept_all(),
        }
        self.next_poll_at_ms = Some(self.next_start_ms(now_ms, started_at_ms));
        let instances = reuse_unchanged(self.last_list.as_ref(), found.into_values().collect());
        let changed = !self
            .last_list
            .as_ref()
            .is_some_and(|last| Rc::ptr_eq(last, &instances));
        self.last_list = Some(Rc::clone(&instances));
        InstanceListPoll {
            instances,
            changed,
            started_at_ms,
            calls: pages,
        }
    }

    fn next_start_ms(&mut self, now_ms: u64, started_at_ms: u64) -> u64 {
        if self.removals.has_unconfirmed() {
            return now_ms + self.pacing.call_spacing_ms();
        }
        let interval_ms = self.pacing.next_interval_ms(&mut self.random);
        (started_at_ms + interval_ms).max(now_ms)
    }
}

/// Returns the last list itself if the new one is equal. A searcher whose remaining warm-up time alone has decreased
/// counts as unchanged and takes the value of the last list.
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
            instance.warm_up_remaining_ms = last[position].warm_up_remaining_ms;
        }
    }
    if **last == found {
        Rc::clone(last)
    } else {
        Rc::new(found)
    }
}

/// Whether a searcher is warming up in the newer entry, with no more time remaining than in the older.
fn only_counts_down(older: &Instance, newer: &Instance) -> bool {
    newer.warm_up_remaining_ms > 0 && newer.warm_up_remaining_ms <= older.warm_up_remaining_ms
}
