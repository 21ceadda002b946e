//! What is asked of the endpoint at hand, and when it is left for another.

use lockusher_policy::interface::Time;

use super::{Act, Call, Draft, Follower, MOST_ENTRIES, Notice, PAGES_GROW, Protocol, Stage};
use crate::core::entry::Revision;

impl Follower {
    pub(super) fn silent(&mut self, now: Time, acts: &mut Vec<Act>) {
        self.counts.silences += 1;
        acts.push(Act::Say(Notice::Silent {
            from: self.endpoints.at(),
        }));
        self.leave(now, acts);
    }

    pub(super) fn failed(&mut self, now: Time, why: String, acts: &mut Vec<Act>) {
        self.counts.failures += 1;
        acts.push(Act::Say(Notice::Failed {
            from: self.endpoints.at(),
            why,
        }));
        self.leave(now, acts);
    }

    /// The endpoint at hand is left for another. What came of a read, or of a revision that is not whole, is dropped.
    pub(super) fn leave(&mut self, now: Time, acts: &mut Vec<Act>) {
        acts.push(Act::Close);
        self.call.0 += 1;
        let until = self.endpoints.failed(now, &mut self.rng);
        self.stage = Stage::Resting { until };
    }

    pub(super) fn next_call(&mut self) -> Call {
        self.call.0 += 1;
        self.counts.requests += 1;
        self.call
    }

    pub(super) fn begin(&mut self, now: Time, acts: &mut Vec<Act>) {
        if let Some(why) = self.rebuild {
            acts.push(Act::Say(Notice::Rebuilding { why }));
        }
        match self.plan.protocol {
            Protocol::Consul => self.poll(now, acts),
            Protocol::Etcd if self.rebuild.is_some() => self.read(now, acts),
            Protocol::Etcd => self.open(now, acts),
        }
    }

    /// Begins to read all.
    fn read(&mut self, now: Time, acts: &mut Vec<Act>) {
        let grown = PAGES_GROW.checked_pow(self.spoilt).unwrap_or(u32::MAX);
        let page = self.plan.page.saturating_mul(grown);
        let limit = if page as usize >= MOST_ENTRIES {
            0
        } else {
            page
        };
        let call = self.next_call();
        acts.push(Act::Read {
            call,
            from: self.endpoints.at(),
            after: None,
            limit,
            at: None,
        });
        self.stage = Stage::Reading {
            asked: now,
            draft: Draft::default(),
        };
    }

    /// Watches from the revision after the one held.
    pub(super) fn open(&mut self, now: Time, acts: &mut Vec<Act>) {
        let held = self.held().unwrap_or_default();
        let start = Revision(held.revision.0 + 1);
        let call = self.next_call();
        acts.push(Act::Watch {
            call,
            from: self.endpoints.at(),
            start,
        });
        self.stage = Stage::Opening { asked: now };
    }

    fn poll(&mut self, now: Time, acts: &mut Vec<Act>) {
        // Index 0 is answered at once, with what is there.
        let at_once = self.rebuild.is_some() || self.doubt.any();
        let index = if at_once {
            Revision(0)
        } else {
            self.held().unwrap_or_default().revision
        };
        let call = self.next_call();
        let (wait, stale) = (self.plan.wait, self.plan.stale.is_some());
        acts.push(Act::Poll {
            call,
            from: self.endpoints.at(),
            index,
            wait,
            stale,
        });
        // Servers spread the ends of waits by a sixteenth.
        let until = now + wait + wait.times(1.0 / 16.0) + self.plan.silent_after;
        self.stage = Stage::Polling { until };
    }
}
