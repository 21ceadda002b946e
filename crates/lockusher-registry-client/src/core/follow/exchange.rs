//! What a follower and its transport tell each other, and what the operator sets.

use lockusher_policy::interface::Span;

use super::notice::Notice;
use crate::core::endpoints::EndpointId;
use crate::core::entry::{Change, Entry, Revision};
use crate::core::view::Version;

/// The registry's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Etcd,
    Consul,
}

/// What the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub protocol: Protocol,
    /// Addresses with ports; one at least.
    pub endpoints: Vec<String>,
    /// The keys that begin so are searchers' entries, named by the rest of the key.
    pub prefix: String,
    /// Entries in one page of a read; 0 reads all at once.
    pub page: u32,
    /// An endpoint that says nothing for so long is left for another.
    pub silent_after: Span,
    /// For how long more than half of the endpoints must contradict what is held before they are believed.
    pub settle: Span,
    /// How long a blocking read may be held.
    pub wait: Span,
    /// Whether any server may answer, and how long ago at most it heard of its leader.
    pub stale: Option<Span>,
}

/// One request that is out; what comes for an earlier one is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call(pub u64);

/// What the transport is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Reads a page of the prefix: after a key, at a revision if one is named.
    Read {
        call: Call,
        from: EndpointId,
        after: Option<Vec<u8>>,
        limit: u32,
        at: Option<Revision>,
    },
    /// Watches the prefix from a revision on.
    Watch {
        call: Call,
        from: EndpointId,
        start: Revision,
    },
    /// Asks the watch that is open how far it has come.
    AskProgress { call: Call },
    /// Reads the whole prefix once its index has passed one.
    Poll {
        call: Call,
        from: EndpointId,
        index: Revision,
        wait: Span,
        stale: bool,
    },
    /// Closes what is open; nothing more of it counts.
    Close,
    /// For the log.
    Say(Notice),
}

/// What came for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// A page, and its last key if more follow.
    Page {
        version: Version,
        entries: Vec<Entry>,
        more_after: Option<Vec<u8>>,
    },
    /// The revision asked for is no longer there.
    Compacted,
    /// The watch stands.
    Opened { version: Version },
    /// Changes; `more` belong to the same revisions and follow.
    Changes {
        version: Version,
        changes: Vec<Change>,
        more: bool,
    },
    /// All changes up to here have come.
    Progress { version: Version },
    /// The whole prefix; how long ago its server heard of the leader, if it knows one.
    Whole {
        index: Revision,
        entries: Vec<Entry>,
        leader_heard: Option<Span>,
    },
    /// The call ended otherwise.
    Failed { why: String },
}
