//! Why the scheduler makes no change of a service's stages now. For the log.

use derive_more::Display;

/// Why no change is due.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoChange {
    /// No majority of the proxies has reported a load.
    #[display("no load is reported")]
    NoLoad,
    /// A stage has no ready searcher, and the other has too few to give one.
    #[display("the other stage has no searcher to spare")]
    EmptyStage,
    /// The service's searchers didn't know the order of late.
    #[display("its searchers don't know the order")]
    Unsupported,
    /// The load asks for no other split, or the stage that would give a searcher can't spare one.
    #[display("the load asks for no change")]
    NotWorthwhile,
    /// The demand hasn't lasted long enough, or the last change was a moment ago.
    #[display("the demand hasn't lasted yet")]
    NotPersistent,
    /// As many searchers are changing as may at once.
    #[display("other changes are under way")]
    ChangesInFlight,
    /// The service has had as many changes as it may for now.
    #[display("the budget of changes is spent")]
    BudgetExhausted,
    /// No searcher of the stage may leave it.
    #[display("no searcher may leave its stage")]
    NoCandidate,
}
