//! Log notices about a registry.

use std::fmt;

use lockusher_policy::interface::Span;

use crate::core::endpoints::EndpointId;
use crate::core::entry::Revision;
use crate::core::view::Version;

/// Why the whole view is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebuildReason {
    /// There is no view yet.
    Initial,
    /// The revision after the view's was compacted.
    Compacted,
    /// Most endpoints report another cluster.
    OtherCluster,
    /// Most endpoints report an older revision.
    RevisionDecreased,
    /// The settings name another registry or prefix.
    SettingsChanged,
    /// One revision had more changes than are buffered.
    TooManyPendingChanges,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The watch of an endpoint was created.
    Following {
        endpoint: EndpointId,
        revision: Revision,
    },
    /// The whole view is being read.
    Rebuilding { reason: RebuildReason },
    /// The whole view has been read.
    Rebuilt {
        version: Version,
        entries: usize,
        written: usize,
        removed: usize,
    },
    /// A request to an endpoint failed.
    Failed {
        endpoint: EndpointId,
        reason: String,
    },
    /// An endpoint did not respond in time.
    Silent { endpoint: EndpointId },
    /// An endpoint contradicts the view.
    Contradicts {
        endpoint: EndpointId,
        current: Version,
        reported: Version,
    },
    /// An entry can't be read.
    Unreadable { name: String, reason: String },
    /// One change left less than half of the searchers up.
    MostVanished { up_before: usize, up: usize },
    /// The registry has not confirmed the view for a while.
    Away { age: Span, hosts: usize },
    /// The registry has confirmed the view again.
    Back { age: Span },
}

impl Notice {
    /// The kind of the notice, as a token for log filters.
    pub fn kind(&self) -> &'static str {
        match self {
            Notice::Following { .. } => "following",
            Notice::Rebuilding { .. } => "rebuilding",
            Notice::Rebuilt { .. } => "rebuilt",
            Notice::Failed { .. } => "failed",
            Notice::Silent { .. } => "silent",
            Notice::Contradicts { .. } => "contradicts",
            Notice::Unreadable { .. } => "unreadable",
            Notice::MostVanished { .. } => "most_vanished",
            Notice::Away { .. } => "away",
            Notice::Back { .. } => "back",
        }
    }

    /// Whether it is logged as a warning.
    pub fn is_warning(&self) -> bool {
        use Notice::{Back, Following, Rebuilding, Rebuilt};
        !matches!(
            self,
            Following { .. } | Rebuilding { .. } | Rebuilt { .. } | Back { .. }
        )
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Notice::Following { endpoint, revision } => {
                write!(
                    f,
                    "registry: endpoint {} is followed from revision {}",
                    endpoint.0, revision.0
                )
            }
            Notice::Rebuilding { reason } => {
                let reason = match reason {
                    RebuildReason::Initial => "there is no view yet",
                    RebuildReason::Compacted => "the revisions since were compacted",
                    RebuildReason::OtherCluster => "another cluster answers",
                    RebuildReason::RevisionDecreased => {
                        "the registry went back to an earlier state"
                    }
                    RebuildReason::SettingsChanged => {
                        "the settings name another registry or prefix"
                    }
                    RebuildReason::TooManyPendingChanges => "one revision had too many changes",
                };
                write!(f, "registry: reading all entries: {reason}")
            }
            Notice::Rebuilt {
                version,
                entries,
                written,
                removed,
            } => write!(
                f,
                "registry: cluster {:x} read at revision {}: {entries} entries, {written} written and {removed} \
                 removed since",
                version.cluster.0, version.revision.0
            ),
            Notice::Failed { endpoint, reason } => {
                write!(f, "registry: endpoint {}: {reason}", endpoint.0)
            }
            Notice::Silent { endpoint } => {
                write!(f, "registry: endpoint {} does not respond", endpoint.0)
            }
            Notice::Contradicts {
                endpoint,
                current,
                reported,
            } => write!(
                f,
                "registry: endpoint {} is passed over: it is at revision {} of cluster {:x}, the view is at {} of {:x}",
                endpoint.0,
                reported.revision.0,
                reported.cluster.0,
                current.revision.0,
                current.cluster.0
            ),
            Notice::Unreadable { name, reason } => {
                write!(f, "registry: entry {name:?} can't be read: {reason}")
            }
            Notice::MostVanished { up_before, up } => {
                write!(
                    f,
                    "registry: of {up_before} searchers that were up, {up} are left after one change"
                )
            }
            Notice::Away { age, hosts } => write!(
                f,
                "registry: away; {hosts} searchers are served from a view {:.0} s old",
                age.as_secs()
            ),
            Notice::Back { age } => write!(f, "registry: back after {:.1} s", age.as_secs()),
        }
    }
}
