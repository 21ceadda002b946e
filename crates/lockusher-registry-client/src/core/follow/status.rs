//! How a follower's work stands: counts and state for whoever asks.

use lockusher_policy::interface::Span;

use crate::core::endpoints::EndpointId;
use crate::core::view::Version;

/// Events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub failures: u64,
    pub silences: u64,
    pub compactions: u64,
    pub rebuilds: u64,
    pub contradictions: u64,
    pub unreadable: u64,
    /// Acts that asked an endpoint for something.
    pub requests: u64,
}

/// How things stand, for whoever asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub stage: &'static str,
    pub endpoint: EndpointId,
    pub version: Option<Version>,
    pub entries: usize,
    pub unreadable: usize,
    /// How long ago the registry last vouched for the view.
    pub age: Option<Span>,
    /// Changes that another overtook before they were told.
    pub folded: u64,
    pub counts: Counts,
}
