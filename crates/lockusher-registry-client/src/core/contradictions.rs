//! Whom to believe when an endpoint contradicts what is held: it answers for another cluster, or its revision lies
//! behind. One member may lag or be wired wrongly; a registry restored from a backup, or replaced, is another matter.

use std::collections::BTreeMap;

use lockusher_policy::interface::{Span, Time};

use super::endpoints::EndpointId;
use super::view::Version;

/// The endpoints that contradict what is held, since the last one that agreed.
#[derive(Default)]
pub struct Doubt {
    since: Option<Time>,
    says: BTreeMap<EndpointId, Version>,
}

impl Doubt {
    /// Whether what an endpoint says can't follow on what is held.
    pub fn contradicts(held: Version, said: Version) -> bool {
        said.cluster != held.cluster || said.revision < held.revision
    }

    /// Notes a contradiction. It is believed once more than half of `endpoints` name that same cluster, none that
    /// agreed was met meanwhile, and that for `settle` at least.
    pub fn note(
        &mut self,
        now: Time,
        by: EndpointId,
        said: Version,
        endpoints: usize,
        settle: Span,
    ) -> bool {
        self.says.insert(by, said);
        let since = *self.since.get_or_insert(now);
        let alike = self
            .says
            .values()
            .filter(|other| other.cluster == said.cluster)
            .count();
        alike * 2 > endpoints && now.since(since) >= settle
    }

    pub fn clear(&mut self) {
        *self = Doubt::default();
    }

    pub fn any(&self) -> bool {
        self.since.is_some()
    }
}
