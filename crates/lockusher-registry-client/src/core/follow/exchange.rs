//! The actions and responses exchanged between a follower and its transport, and the operator's settings.

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

/// The operator's settings of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    pub protocol: Protocol,
    /// Addresses with ports; at least one.
    pub endpoints: Vec<String>,
    /// Keys with this prefix are searchers' entries; the rest of the key is the searcher's name.
    pub prefix: String,
    /// Entries per page of a read; 0 reads all at once.
    pub page: u32,
    /// An endpoint that does not respond for this long is replaced by another.
    pub silent_after: Span,
    /// For how long more than half of the endpoints must contradict the view before they are accepted.
    pub settle: Span,
    /// Maximum duration of a blocking read.
    pub wait: Span,
    /// Allows reads from any server whose last contact with the leader is at most this long ago; none requires reads
    /// through the leader.
    pub stale: Option<Span>,
}

/// Identifies a request; responses to earlier requests are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(pub u64);

/// What the transport is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a page of the prefix, after a key and at a revision if given.
    Read {
        request: RequestId,
        endpoint: EndpointId,
        after: Option<Vec<u8>>,
        limit: u32,
        at: Option<Revision>,
    },
    /// Watch the prefix from a revision on.
    Watch {
        request: RequestId,
        endpoint: EndpointId,
        start: Revision,
    },
    /// Request a progress notification on the open watch.
    RequestProgress { request: RequestId },
    /// Read the whole prefix once its index exceeds the given one.
    Poll {
        request: RequestId,
        endpoint: EndpointId,
        index: Revision,
        wait: Span,
        stale: bool,
    },
    /// Close the session; its responses are ignored from now on.
    Close,
    /// Log a notice.
    Notify(Notice),
}

/// A response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// A page, and its last key if there are more pages.
    Page {
        version: Version,
        entries: Vec<Entry>,
        continue_after: Option<Vec<u8>>,
    },
    /// The requested revision has been compacted.
    Compacted,
    /// The watch has been created.
    WatchCreated { version: Version },
    /// Changes; with `more`, further changes of the same revisions follow.
    Changes {
        version: Version,
        changes: Vec<Change>,
        more: bool,
    },
    /// All changes up to this version have been sent.
    Progress { version: Version },
    /// The whole prefix, and the time since the server's last contact with the leader, if it has one.
    Snapshot {
        index: Revision,
        entries: Vec<Entry>,
        leader_contact_age: Option<Span>,
    },
    /// The request failed.
    Failed { reason: String },
}
