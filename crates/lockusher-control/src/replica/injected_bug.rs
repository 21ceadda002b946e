//! Bugs that tests inject, to show that the simulation and its checks find them.
//!
//! Each one leaves out one guard of the protocol. The simulation's test `injected_bugs` says for each how it is found, or
//! which other guard covers it. This module is compiled with the feature `injected-bugs` only; the product is built without.

/// A guard of the protocol that is left out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum InjectedBug {
    // Reads and refusals
    /// Reads are answered without a confirmation of the epoch by a majority.
    ReadUnconfirmed,
    /// 412 is answered without a confirmation of the epoch by a majority.
    ConflictUnconfirmed,
    /// The refusal of a version that isn't newer is answered without a confirmation of the epoch by a majority.
    NotNewerUnconfirmed,
    /// A confirmation that began before the request came counts for it.
    EarlierRoundCounts,
    /// A voter confirms an epoch although it has accepted a successor.
    ConfirmAfterAccepting,
    /// The version that a change builds on isn't compared.
    IfMatchIgnored,
    /// A change that was taken before isn't recognized.
    TakenNotRecognized,
    /// A change counts as taken if its version is in place.
    VersionIdentifiesChange,
    /// The numbers of forwarded requests begin at 0 at each start.
    RequestNumbersRestart,
    // Chain
    /// The head acknowledges what it alone has stored.
    AcknowledgeBeforeTail,
    /// A member sends an entry to its successor before it is durable.
    PassOnBeforeDurable,
    /// A member appends an entry without its predecessor.
    EntryWithoutPredecessor,
    /// The head serves before all members have stored its state.
    ServeBeforeSynchronised,
    /// A head that was restarted serves on in its epoch.
    RestartedHeadServes,
    /// A member takes for committed what differs from the committed state.
    CommittedUnchecked,
    // Joining
    /// A sealed member goes on appending entries.
    EntryAfterSeal,
    /// A sealed head goes on serving.
    ServeAfterSeal,
    /// The sealed state is transferred before the seal is durable.
    SealNotAwaited,
    /// Joiners are never sent the sealed state.
    JoinersUnfed,
    /// A joiner answers that it has stored the sealed state before it is durable.
    JoinAnsweredBeforeDurable,
    /// A transferred state is stored although it is older.
    OlderTransferTaken,
    /// A transfer leaves out the history of committed changes.
    HistoryForgotten,
    // Agreement
    /// A chain below the majority is proposed.
    ShortChain,
    /// Several voters are changed in one view.
    SeveralVotersChanged,
    /// Voters are removed below twice the tolerated losses plus one.
    VotersBelowMinimum,
    /// A voter that shut down stays a voter until it has been unreachable for long.
    DepartedVoterKept,
    /// A new node takes the place of the unreachable voter that left the chain last.
    LatestDepartureReplaced,
    /// Voters are chosen without regard to the zones and regions that may be lost as a whole.
    DomainsIgnored,
    /// A lower proposal number than the promised one is accepted.
    LowerBallotAccepted,
    /// A prepare response doesn't report the view accepted before.
    AcceptedNotReported,
    /// A proposer ignores a view accepted before.
    AcceptedPassedOver,
    /// Promises and acceptances are answered before they are durable.
    VoteAnsweredBeforeDurable,
    /// A view is adopted after one acceptance.
    AdoptAfterOneAcceptance,
    /// Responses of nodes that aren't voters count.
    StrangersCount,
    /// A node acts in a view that isn't on its disk.
    ActBeforeViewDurable,
    /// Messages of older epochs count.
    OlderEpochsCount,
    // Disk
    /// A seed that lost its disk uses its former identity again.
    VoteAfterWipe,
    /// A seed with an empty disk assumes the first start.
    FirstStartAssumed,
    /// A promise isn't recovered after a restart.
    PromiseForgotten,
    /// An acceptance isn't recovered after a restart.
    AcceptanceForgotten,
    /// A seal isn't recovered after a restart.
    SealForgotten,
    /// A snapshot leaves out the state.
    SnapshotWithoutState,
    /// A snapshot leaves out the acceptor's state.
    SnapshotWithoutVotes,
}

impl InjectedBug {
    /// All bugs, in the order of their declaration.
    pub const ALL: [InjectedBug; 43] = [
        InjectedBug::ReadUnconfirmed,
        InjectedBug::ConflictUnconfirmed,
        InjectedBug::NotNewerUnconfirmed,
        InjectedBug::EarlierRoundCounts,
        InjectedBug::ConfirmAfterAccepting,
        InjectedBug::IfMatchIgnored,
        InjectedBug::TakenNotRecognized,
        InjectedBug::VersionIdentifiesChange,
        InjectedBug::RequestNumbersRestart,
        InjectedBug::AcknowledgeBeforeTail,
        InjectedBug::PassOnBeforeDurable,
        InjectedBug::EntryWithoutPredecessor,
        InjectedBug::ServeBeforeSynchronised,
        InjectedBug::RestartedHeadServes,
        InjectedBug::CommittedUnchecked,
        InjectedBug::EntryAfterSeal,
        InjectedBug::ServeAfterSeal,
        InjectedBug::SealNotAwaited,
        InjectedBug::JoinersUnfed,
        InjectedBug::JoinAnsweredBeforeDurable,
        InjectedBug::OlderTransferTaken,
        InjectedBug::HistoryForgotten,
        InjectedBug::ShortChain,
        InjectedBug::SeveralVotersChanged,
        InjectedBug::VotersBelowMinimum,
        InjectedBug::DepartedVoterKept,
        InjectedBug::LatestDepartureReplaced,
        InjectedBug::DomainsIgnored,
        InjectedBug::LowerBallotAccepted,
        InjectedBug::AcceptedNotReported,
        InjectedBug::AcceptedPassedOver,
        InjectedBug::VoteAnsweredBeforeDurable,
        InjectedBug::AdoptAfterOneAcceptance,
        InjectedBug::StrangersCount,
        InjectedBug::ActBeforeViewDurable,
        InjectedBug::OlderEpochsCount,
        InjectedBug::VoteAfterWipe,
        InjectedBug::FirstStartAssumed,
        InjectedBug::PromiseForgotten,
        InjectedBug::AcceptanceForgotten,
        InjectedBug::SealForgotten,
        InjectedBug::SnapshotWithoutState,
        InjectedBug::SnapshotWithoutVotes,
    ];

    /// The bug with this name, as [`std::fmt::Debug`] writes it.
    pub fn named(name: &str) -> Option<InjectedBug> {
        Self::ALL
            .into_iter()
            .find(|injected_bug| format!("{injected_bug:?}") == name)
    }
}
