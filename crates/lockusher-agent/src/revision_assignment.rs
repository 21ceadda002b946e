//! Assigns the revisions under which lists are published to the proxy.
//!
//! The control plane's own revisions are passed on where they are above the last; otherwise a revision from the gap above
//! the last is used, which poller revisions leave for agents ([`lockusher_distribution::revision`]). A proxy that
//! outlived its agent may have applied a higher revision than the new agent knows; it is exceeded only by a list that was
//! confirmed after the proxy reported it, since that one is surely newer.
//!
//! Owned by [`ListSelection`](crate::list_selection::ListSelection). Invariant: assigned revisions rise.

use lockusher_config::instances::InstanceListRevision;
use lockusher_distribution::revision;

use crate::confirmed_list::is_surely_later;

/// A revision above the agent's own that a proxy has applied.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyRevision {
    revision: InstanceListRevision,
    reported_at_ms: u64,
}

/// The revisions in use.
#[derive(Debug, Default)]
pub struct RevisionAssignment {
    last: InstanceListRevision,
    proxy: ProxyRevision,
}

impl RevisionAssignment {
    /// Takes the revision that a proxy reports to have applied.
    pub fn receive_proxy_revision(&mut self, now_ms: u64, revision: InstanceListRevision) {
        if revision > self.last && revision > self.proxy.revision {
            self.proxy = ProxyRevision {
                revision,
                reported_at_ms: now_ms,
            };
        }
    }

    /// The revision under which to publish a list; none if it may be older than what a proxy has applied, or is
    /// published already by `is_published`, which is asked last, being costly.
    ///
    /// `control_revision`: the list's revision in the control plane, if it comes from there.
    pub fn assign(
        &mut self,
        control_revision: Option<InstanceListRevision>,
        confirmed_at_ms: u64,
        is_published: impl FnOnce() -> bool,
    ) -> Option<InstanceListRevision> {
        let assigned = self.next(control_revision, confirmed_at_ms, is_published)?;
        self.last = assigned;
        Some(assigned)
    }

    fn next(
        &self,
        control_revision: Option<InstanceListRevision>,
        confirmed_at_ms: u64,
        is_published: impl FnOnce() -> bool,
    ) -> Option<InstanceListRevision> {
        let highest = self.last.max(self.proxy.revision);
        if let Some(control_revision) = control_revision
            && control_revision > highest
        {
            return Some(control_revision);
        }
        let may_publish = if self.proxy.revision > self.last {
            is_surely_later(confirmed_at_ms, self.proxy.reported_at_ms)
        } else {
            !is_published()
        };
        may_publish.then(|| revision::next_agent_revision(highest))
    }
}
