//! Reasons why the scheduler makes no change for a service, for the log.

use derive_more::Display;

/// The reason why no change is due.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoChange {
    /// The service has no requests, or fewer than half of the proxies have reported a load.
    #[display("no load is reported")]
    NoLoad,
    /// A stage has no ready searcher, and the other stage has too few to release one.
    #[display("a stage is empty and the other can't release a searcher")]
    EmptyStage,
    /// The service's searchers recently answered that they don't support the order.
    #[display("its searchers don't support the order")]
    Unsupported,
    /// The present split is good enough for the load, or the stage that should release a searcher can't.
    #[display("the load requires no change")]
    NotWorthwhile,
    /// The demand hasn't persisted long enough, or the last change was too recent.
    #[display("the demand hasn't persisted long enough")]
    NotPersistent,
    /// The maximum number of searchers is changing already.
    #[display("the maximum number of changes is in flight")]
    ChangesInFlight,
    /// The token bucket of the service's changes is empty.
    #[display("the change budget is exhausted")]
    BudgetExhausted,
    /// Each searcher of the stage is excluded, changing already, or the only one that serves a model.
    #[display("no searcher is eligible to leave its stage")]
    NoCandidate,
}
