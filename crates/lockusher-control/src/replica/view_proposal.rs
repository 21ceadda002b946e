//! A proposal of the next view that is in progress at this node, and the phase that it is in.

use crate::proposer::Proposer;
use crate::time::Millis;
use crate::view_change::ViewChange;

/// Maximum factor by which the timeout of a phase grows with the number of attempts, since disks may be slow.
pub(super) const MAX_PHASE_TIMEOUT_FACTOR: u64 = 3;

/// A proposal of the next view by this node.
#[derive(Debug)]
pub(super) struct ViewProposal {
    pub(super) proposer: Proposer,
    pub(super) change: ViewChange,
    pub(super) phase: Phase,
    pub(super) phase_started_at: Millis,
    pub(super) last_sent_at: Millis,
}

/// Phase of a view proposal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The seal, or a write of the state begun before it, isn't durable yet.
    Sealing,
    /// The sealed state is sent to the joiners.
    Joining,
    /// Prepare requests are sent to the voters.
    Preparing,
    /// Accept requests are sent to the voters.
    Accepting,
}
