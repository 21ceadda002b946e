//! The status and counters of a follower.

use lockusher_policy::interface::Span;

use crate::core::endpoints::EndpointId;
use crate::core::view::Version;

/// Event counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that an endpoint failed.
    pub failures: u64,
    /// Requests and watches that received nothing for too long.
    pub timeouts: u64,
    /// Requests for a revision that had been compacted.
    pub compactions: u64,
    /// Full reads of the view that completed, including the first.
    pub rebuilds: u64,
    /// Responses that contradicted the view.
    pub contradictions: u64,
    /// Entries written that could not be read.
    pub unreadable: u64,
    /// Requests sent to endpoints.
    pub requests: u64,
}

/// The status of a follower.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// `resting`, `reading`, `opening` or `following`.
    pub stage: &'static str,
    pub endpoint: EndpointId,
    pub version: Option<Version>,
    pub entries: usize,
    /// Entries of the view that can't be read.
    pub unreadable: usize,
    /// Time since the registry last confirmed that the view is current.
    pub age: Option<Span>,
    /// Updates that were replaced by a later one of the same searcher before they were taken.
    pub coalesced: u64,
    pub counts: Counts,
}
