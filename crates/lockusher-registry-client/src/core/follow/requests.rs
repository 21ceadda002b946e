//! Sends requests to the current endpoint, and switches to another one.

use lockusher_policy::interface::Time;

use super::{
    Action, Follower, MAX_ENTRIES, Notice, PAGE_GROWTH_FACTOR, PartialRead, Protocol, RequestId,
    Stage,
};
use crate::core::entry::Revision;

impl Follower {
    /// The current endpoint did not respond in time.
    pub(super) fn timed_out(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.counts.timeouts += 1;
        actions.push(Action::Notify(Notice::Silent {
            endpoint: self.endpoints.current(),
        }));
        self.switch_endpoint(now, actions);
    }

    /// The current endpoint failed a request.
    pub(super) fn failed(&mut self, now: Time, reason: String, actions: &mut Vec<Action>) {
        self.counts.failures += 1;
        actions.push(Action::Notify(Notice::Failed {
            endpoint: self.endpoints.current(),
            reason,
        }));
        self.switch_endpoint(now, actions);
    }

    /// Switches to another endpoint. Pages of an incomplete read and changes of an incomplete revision are dropped.
    pub(super) fn switch_endpoint(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.push(Action::Close);
        self.request.0 += 1;
        let until = self.endpoints.record_failure(now, &mut self.rng);
        self.stage = Stage::Waiting { until };
    }

    /// The id of the next request.
    pub(super) fn next_request(&mut self) -> RequestId {
        self.request.0 += 1;
        self.counts.requests += 1;
        self.request
    }

    /// Sends the request that the state calls for: a full read, a watch or a poll.
    pub(super) fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some(reason) = self.rebuild_reason {
            actions.push(Action::Notify(Notice::Rebuilding { reason }));
        }
        match self.settings.protocol {
            Protocol::Consul => self.start_poll(now, actions),
            Protocol::Etcd if self.rebuild_reason.is_some() => self.start_read(now, actions),
            Protocol::Etcd => self.start_watch(now, actions),
        }
    }

    /// Starts a read of the whole view.
    fn start_read(&mut self, now: Time, actions: &mut Vec<Action>) {
        let growth = PAGE_GROWTH_FACTOR
            .checked_pow(self.compacted_reads)
            .unwrap_or(u32::MAX);
        let page = self.settings.page.saturating_mul(growth);
        let limit = if page as usize >= MAX_ENTRIES {
            0
        } else {
            page
        };
        let request = self.next_request();
        actions.push(Action::Read {
            request,
            endpoint: self.endpoints.current(),
            after: None,
            limit,
            at: None,
        });
        self.stage = Stage::Reading {
            requested_at: now,
            partial: PartialRead::default(),
        };
    }

    /// Starts a watch from the revision after the view's.
    pub(super) fn start_watch(&mut self, now: Time, actions: &mut Vec<Action>) {
        let current = self.current_version().unwrap_or_default();
        let start = Revision(current.revision.0 + 1);
        let request = self.next_request();
        actions.push(Action::Watch {
            request,
            endpoint: self.endpoints.current(),
            start,
        });
        self.stage = Stage::Opening { requested_at: now };
    }

    /// Starts a blocking read.
    fn start_poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        // A read with index 0 returns the current state at once.
        let returns_at_once = self.rebuild_reason.is_some() || self.contradictions.any();
        let index = if returns_at_once {
            Revision(0)
        } else {
            self.current_version().unwrap_or_default().revision
        };
        let request = self.next_request();
        let (wait, stale) = (self.settings.wait, self.settings.stale.is_some());
        actions.push(Action::Poll {
            request,
            endpoint: self.endpoints.current(),
            index,
            wait,
            stale,
        });
        // Servers add a jitter of up to a sixteenth of the wait.
        let until = now + wait + wait.times(1.0 / 16.0) + self.settings.silent_after;
        self.stage = Stage::Polling { until };
    }
}
