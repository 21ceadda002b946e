//! Decides whether to accept versions that contradict the view: another cluster, or an older revision. A single member
//! may lag or be misconfigured; when most endpoints agree, the registry was restored from a backup, or replaced.

use std::collections::BTreeMap;

use lockusher_policy::interface::{Span, Time};

use super::endpoints::EndpointId;
use super::view::Version;

/// The endpoints that have contradicted the view since one last agreed with it.
#[derive(Default)]
pub struct Contradictions {
    since: Option<Time>,
    reported: BTreeMap<EndpointId, Version>,
}

impl Contradictions {
    /// Whether a reported version can't be a successor of the current one.
    pub fn contradicts(current: Version, reported_version: Version) -> bool {
        reported_version.cluster != current.cluster || reported_version.revision < current.revision
    }

    /// Records a contradiction; returns whether to accept it: more than half of `endpoints` report the same cluster,
    /// and no endpoint has agreed with the view for at least `settle`.
    pub fn record(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        reported_version: Version,
        endpoints: usize,
        settle: Span,
    ) -> bool {
        self.reported.insert(endpoint, reported_version);
        let since = *self.since.get_or_insert(now);
        let same_cluster = self
            .reported
            .values()
            .filter(|other| other.cluster == reported_version.cluster)
            .count();
        same_cluster * 2 > endpoints && now.since(since) >= settle
    }

    /// Forgets all contradictions, after an endpoint has agreed with the view.
    pub fn clear(&mut self) {
        *self = Contradictions::default();
    }

    /// Whether any contradiction is recorded.
    pub fn any(&self) -> bool {
        self.since.is_some()
    }
}
