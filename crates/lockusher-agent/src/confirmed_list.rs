//! An instance list with its source and the time at which it was last confirmed to match the platform's list.
//!
//! Shared by the modules that select a list ([`list_selection`](crate::list_selection)), record departures
//! ([`departure_recorder`](crate::departure_recorder)) and assign revisions
//! ([`revision_assignment`](crate::revision_assignment)).

use std::rc::Rc;

use lockusher_config::instances::Instance;

/// Maximum error of a confirmation time in either direction, in milliseconds: confirmations are dated by heartbeats,
/// which arrive with a delay.
const MAX_CONFIRMATION_ERROR_MS: u64 = 300;

/// Source of a list. Only lists of the same source are definitely ordered, so that searchers missing in the later one
/// are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The control plane, through the agent's subscription.
    ControlPlane,
    /// The platform, polled by the agent itself.
    OwnPoll,
}

/// A list with its source and the time of its last confirmation.
#[derive(Clone, Debug)]
pub struct ConfirmedList {
    /// The list's source.
    pub source: ListSource,
    /// The searchers, sorted by identifier.
    pub instances: Rc<Vec<Instance>>,
    /// When it was last confirmed to match the platform's list, by this process's clock.
    pub confirmed_at_ms: u64,
}

/// Whether a confirmation is later than another event, even if its time is off by the maximum error.
pub fn is_definitely_later(confirmed_at_ms: u64, event_ms: u64) -> bool {
    confirmed_at_ms >= event_ms + MAX_CONFIRMATION_ERROR_MS
}
