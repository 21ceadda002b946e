//! What staff are told of a registry.

use std::fmt;

use lockusher_policy::interface::Span;

use crate::core::endpoints::EndpointId;
use crate::core::entry::Revision;
use crate::core::view::Version;

/// Why all is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Start,
    Compacted,
    OtherCluster,
    WentBack,
    Moved,
    TooMuch,
}

/// What staff should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    Following {
        from: EndpointId,
        revision: Revision,
    },
    Rebuilding {
        why: Why,
    },
    Rebuilt {
        version: Version,
        entries: usize,
        written: usize,
        vanished: usize,
    },
    Failed {
        from: EndpointId,
        why: String,
    },
    Silent {
        from: EndpointId,
    },
    Contradicts {
        from: EndpointId,
        held: Version,
        said: Version,
    },
    Unreadable {
        name: String,
        why: String,
    },
    MostVanished {
        up_before: usize,
        up: usize,
    },
    Away {
        age: Span,
        hosts: usize,
    },
    Back {
        age: Span,
    },
}

impl Notice {
    /// A word for it, for who filters logs.
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

    pub fn is_trouble(&self) -> bool {
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
            Notice::Following { from, revision } => {
                write!(
                    f,
                    "registry: endpoint {} is followed from revision {}",
                    from.0, revision.0
                )
            }
            Notice::Rebuilding { why } => {
                let why = match why {
                    Why::Start => "nothing is held yet",
                    Why::Compacted => "what came since was compacted away",
                    Why::OtherCluster => "another cluster answers",
                    Why::WentBack => "the registry went back to an earlier state",
                    Why::Moved => "the settings name another place",
                    Why::TooMuch => "more came at once than is kept",
                };
                write!(f, "registry: all is read: {why}")
            }
            Notice::Rebuilt {
                version,
                entries,
                written,
                vanished,
            } => write!(
                f,
                "registry: cluster {:x} read at revision {}: {entries} entries, {written} written and {vanished} \
                 vanished since",
                version.cluster.0, version.revision.0
            ),
            Notice::Failed { from, why } => write!(f, "registry: endpoint {}: {why}", from.0),
            Notice::Silent { from } => write!(f, "registry: endpoint {} says nothing", from.0),
            Notice::Contradicts { from, held, said } => write!(
                f,
                "registry: endpoint {} is passed over: it is at revision {} of cluster {:x}, held is {} of {:x}",
                from.0, said.revision.0, said.cluster.0, held.revision.0, held.cluster.0
            ),
            Notice::Unreadable { name, why } => {
                write!(f, "registry: entry {name:?} can't be read: {why}")
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
