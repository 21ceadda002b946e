//! A proposal of the next view that is in progress at this node, and the phase that it is in.

use crate::proposer::Proposer;
use crate::time::Millis;
use crate::view_change::ViewChange;

/// The timeout of a phase grows with the attempts up to this factor, since disks may be slow.
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
