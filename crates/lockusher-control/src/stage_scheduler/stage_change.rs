//! A change of one searcher's stage, and what became of the order for it.
//!
//! The scheduler decides on changes, the driver's stage assignment sends the orders and reports their outcomes.

use lockusher_config::instances::{Instance, Stage};

/// A searcher's stage is to be changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Name of the searcher's service.
    pub service: String,
    /// Identifier of the searcher's incarnation.
    pub identifier: String,
    /// `IP:PORT` of the searcher.
    pub address: String,
    /// The stage that the searcher leaves.
    pub from: Stage,
    /// The stage that it is to serve.
    pub to: Stage,
}

impl StageChange {
    /// The change of one searcher.
    pub(super) fn of(searcher: &Instance, from: Stage, to: Stage) -> Self {
        StageChange {
            service: searcher.service.clone(),
            identifier: searcher.identifier.clone(),
            address: searcher.address.clone(),
            from,
            to,
        }
    }
}

/// What became of the order for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The searcher carries the order out, or was in that stage already.
    Accepted,
    /// No answer came: the order may have been accepted.
    Unknown,
    /// Not accepted: the searcher is busy with another order, or isn't the one meant.
    Rejected,
    /// The searcher knows no such order.
    Unsupported,
    /// The order wasn't sent.
    NotSent,
}

/// The other one of the two stages.
pub(super) fn opposite(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
