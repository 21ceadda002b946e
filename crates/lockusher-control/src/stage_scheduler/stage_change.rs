//! A change of one searcher's stage, and the outcome of the order for it.
//!
//! The scheduler decides on changes; the driver's stage assignment sends the orders and reports their outcomes.

use lockusher_config::instances::{Instance, Stage};

/// A change of one searcher's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Name of the searcher's service.
    pub service: String,
    /// Identifier of the searcher, unique to its incarnation.
    pub identifier: String,
    /// Address of the searcher, as `IP:PORT`.
    pub address: String,
    /// The stage that the searcher leaves.
    pub from: Stage,
    /// The stage that the searcher changes to.
    pub to: Stage,
}

impl StageChange {
    /// Creates the change of one searcher between these stages.
    pub(super) fn new(searcher: &Instance, from: Stage, to: Stage) -> Self {
        StageChange {
            service: searcher.service.clone(),
            identifier: searcher.identifier.clone(),
            address: searcher.address.clone(),
            from,
            to,
        }
    }
}

/// The outcome of the order for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The searcher executes the order, or was in that stage already.
    Accepted,
    /// No conclusive response was received: the order may have been accepted.
    Unknown,
    /// The searcher couldn't be reached, is executing another order, has seen a higher fencing token, or isn't the one
    /// that the order names.
    Rejected,
    /// The searcher doesn't support the order.
    Unsupported,
    /// The order wasn't sent, for example because the head's lease was no longer confirmed.
    NotSent,
}

/// The other of the two stages.
pub(super) fn opposite(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
