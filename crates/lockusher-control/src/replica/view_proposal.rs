//! A proposal of the next view that is under way at this node.

use crate::proposer::Proposer;
use crate::time::Millis;
use crate::view_change::ViewChange;

/// The time for a stage grows with the attempts, up to so many times the usual one: disks may be slow.
pub(super) const MAX_PHASE_TIMEOUT_FACTOR: u64 = 3;

/// An attempt of this node to have a view agreed on.
#[derive(Debug)]
pub(super) struct ViewProposal {
    pub(super) proposer: Proposer,
    pub(super) change: ViewChange,
    pub(super) phase: Phase,
    pub(super) phase_started_at: Millis,
    pub(super) last_sent_at: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The seal, or a write of the state begun before it, isn't durable yet.
    Sealing,
    /// Joiners are given the sealed state.
    Joining,
    /// The voters are asked for promises.
    Preparing,
    /// The voters are asked to accept a view.
    Accepting,
}
