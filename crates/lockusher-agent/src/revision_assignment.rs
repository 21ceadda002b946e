//! Assigns the revisions under which lists are published to the proxy.
//!
//! A revision of the control plane is kept if it is higher than all known ones. Otherwise the next revision after the
//! highest known one is used, from the gap that poller revisions leave for agents
//! ([`lockusher_distribution::revision`]). After a restart of the agent, the proxy may have applied a higher revision
//! than the agent has assigned; then only a list that was confirmed after the proxy's report gets a higher one, since
//! that list is definitely newer.
//!
//! Owned by [`ListSelection`](crate::list_selection::ListSelection). Invariant: assigned revisions increase.

use lockusher_config::instances::InstanceListRevision;
use lockusher_distribution::revision;

use crate::confirmed_list::is_definitely_later;

/// A revision that a proxy has applied, above all that this agent has assigned.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyRevision {
    revision: InstanceListRevision,
    reported_at_ms: u64,
}

/// The last revision assigned, and the last one reported by a proxy.
#[derive(Debug, Default)]
pub struct RevisionAssignment {
    last_assigned: InstanceListRevision,
    reported: ProxyRevision,
}

impl RevisionAssignment {
    /// Handles a proxy's report of the revision that it has applied.
    pub fn receive_proxy_revision(&mut self, now_ms: u64, revision: InstanceListRevision) {
        if revision > self.last_assigned && revision > self.reported.revision {
            self.reported = ProxyRevision {
                revision,
                reported_at_ms: now_ms,
            };
        }
    }

    /// The revision under which to publish a list; `None` if the list may be older than the one that a proxy has
    /// applied, or if `is_published` returns true. `is_published` is expensive and therefore evaluated last.
    ///
    /// `control_revision` is the list's revision in the control plane, for a list received from there.
    pub fn assign(
        &mut self,
        control_revision: Option<InstanceListRevision>,
        confirmed_at_ms: u64,
        is_published: impl FnOnce() -> bool,
    ) -> Option<InstanceListRevision> {
        let assigned = self.next_revision(control_revision, confirmed_at_ms, is_published)?;
        self.last_assigned = assigned;
        Some(assigned)
    }

    fn next_revision(
        &self,
        control_revision: Option<InstanceListRevision>,
        confirmed_at_ms: u64,
        is_published: impl FnOnce() -> bool,
    ) -> Option<InstanceListRevision> {
        let highest = self.last_assigned.max(self.reported.revision);
        if let Some(control_revision) = control_revision
            && control_revision > highest
        {
            return Some(control_revision);
        }
        let may_publish = if self.reported.revision > self.last_assigned {
            is_definitely_later(confirmed_at_ms, self.reported.reported_at_ms)
        } else {
            !is_published()
        };
        may_publish.then(|| revision::next_agent_revision(highest))
    }
}
