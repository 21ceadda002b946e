//! An instance list with its source and the time at which it was last known to be what the platform shows.
//!
//! Shared by the modules that choose among lists ([`list_selection`](crate::list_selection)), record what they show
//! ([`departure_recorder`](crate::departure_recorder)) and number them
//! ([`revision_assignment`](crate::revision_assignment)).

use std::rc::Rc;

use lockusher_config::instances::Instance;

/// How much earlier or later than dated a list may have been confirmed, in milliseconds: confirmations are dated by
/// heartbeats, which take some time to arrive.
const CONFIRMATION_ERROR_MS: u64 = 300;

/// Where a list comes from. Only lists of the same source are surely in order, so that what the later lacks is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The control plane, by way of the agent's subscription.
    ControlPlane,
    /// The platform, polled by the agent itself.
    OwnPoll,
}

/// A list with the time at which it was last known to be right.
#[derive(Clone, Debug)]
pub struct ConfirmedList {
    /// Where it comes from.
    pub source: ListSource,
    /// The searchers, sorted by identifier.
    pub instances: Rc<Vec<Instance>>,
    /// When it was last known to be right, by this process's clock.
    pub confirmed_at_ms: u64,
}

/// Whether a confirmation is later than another event although its date may be wrong.
pub fn is_surely_later(confirmed_at_ms: u64, event_ms: u64) -> bool {
    confirmed_at_ms >= event_ms + CONFIRMATION_ERROR_MS
}
