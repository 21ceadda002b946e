//! Bugs that tests inject to verify that the simulation and its checks detect them.
//!
//! Each one disables one guard of the protocol. The simulation's test `injected_bugs` states for each within how many
//! runs it is detected, or which other guard covers for it. This module is compiled only with the feature
//! `injected-bugs`, which production builds don't enable.

/// A disabled guard of the protocol.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum InjectedBug {
    // Reads and refusals
    /// Reads are answered without a confirmation of the epoch by a majority.
    ReadUnconfirmed,
    /// 412 is answered without a confirmation of the epoch by a majority.
    ConflictUnconfirmed,
    /// The refusal of a version that isn't newer is answered without a confirmation of the epoch by a majority.
    NotNewerUnconfirmed,
    /// A confirmation that started before a request arrived counts for that request.
    StaleConfirmationUsed,
    /// A voter confirms an epoch although it has accepted a successor view.
    ConfirmAfterAccepting,
    /// The version that a change builds on isn't compared with the current one.
    IfMatchIgnored,
    /// A change that was applied before isn't recognised.
    AppliedChangeNotRecognized,
    /// A change counts as applied if its version is the current one.
    VersionIdentifiesChange,
    /// The numbers of forwarded requests restart at 0 at each start.
    RequestNumbersRestart,
    // Chain
    /// The head acknowledges an entry that only it has stored.
    AcknowledgeBeforeTail,
    /// A member sends an entry to its successor before it is durable.
    ForwardBeforeDurable,
    /// A member appends an entry without the preceding one.
    EntryWithoutPredecessor,
    /// The head serves before all members have stored its state.
    ServeBeforeSynchronised,
    /// A restarted head continues to serve in its epoch.
    RestartedHeadServes,
    /// A member marks its state as committed although it differs from the committed one.
    CommittedUnchecked,
    // Joining
    /// A sealed member continues to append entries.
    EntryAfterSeal,
    /// A sealed head continues to serve.
    ServeAfterSeal,
    /// The sealed state is transferred before the seal is durable.
    SealNotAwaited,
    /// Joiners are never sent the sealed state.
    JoinersNotSentState,
    /// A joiner responds that it has stored the sealed state before it is durable.
    JoinAnsweredBeforeDurable,
    /// A transferred state is stored although it is older than the stored one.
    OlderTransferApplied,
    /// A full snapshot is transferred without the identities of applied requests.
    HistoryNotTransferred,
    // Agreement
    /// A chain shorter than a majority of the voters is proposed.
    ShortChain,
    /// Several voters are changed in one view.
    SeveralVotersChanged,
    /// Voters are removed below twice the tolerated losses plus one.
    VotersBelowMinimum,
    /// A voter that shut down stays a voter until the removal timeout.
    DepartedVoterRetained,
    /// A new node replaces the unreachable voter that left the chain last, instead of the first.
    LatestDepartureReplaced,
    /// Voters are chosen without regard to the zones and regions whose loss is tolerated.
    DomainsIgnored,
    /// A lower proposal number than the promised one is accepted.
    LowerProposalAccepted,
    /// A prepare response doesn't report the accepted view.
    AcceptedViewNotReported,
    /// A proposer ignores the accepted views that prepare responses report.
    AcceptedViewIgnored,
    /// Promises and acceptances are answered before they are durable.
    VoteAnsweredBeforeDurable,
    /// A view is installed after one acceptance.
    InstallAfterOneAcceptance,
    /// Responses of nodes that aren't voters count.
    NonVotersCount,
    /// A node acts in a view whose record isn't durable.
    ActBeforeViewDurable,
    /// Messages of older epochs count.
    OlderEpochsCount,
    // Disk
    /// A seed that lost its disk reuses its former identity.
    VoteAfterDiskLoss,
    /// A seed with an empty disk assumes that the deployment starts for the first time.
    FirstStartAssumed,
    /// A promise isn't recovered after a restart.
    PromiseNotRecovered,
    /// An acceptance isn't recovered after a restart.
    AcceptanceNotRecovered,
    /// A seal isn't recovered after a restart.
    SealNotRecovered,
    /// A snapshot omits the replicated state.
    SnapshotWithoutState,
    /// A snapshot omits the acceptor's state.
    SnapshotWithoutAcceptorState,
}

impl InjectedBug {
    /// All bugs, in the order of their declaration.
    pub const ALL: [InjectedBug; 43] = [
        InjectedBug::ReadUnconfirmed,
        InjectedBug::ConflictUnconfirmed,
        InjectedBug::NotNewerUnconfirmed,
        InjectedBug::StaleConfirmationUsed,
        InjectedBug::ConfirmAfterAccepting,
        InjectedBug::IfMatchIgnored,
        InjectedBug::AppliedChangeNotRecognized,
        InjectedBug::VersionIdentifiesChange,
        InjectedBug::RequestNumbersRestart,
        InjectedBug::AcknowledgeBeforeTail,
        InjectedBug::ForwardBeforeDurable,
        InjectedBug::EntryWithoutPredecessor,
        InjectedBug::ServeBeforeSynchronised,
        InjectedBug::RestartedHeadServes,
        InjectedBug::CommittedUnchecked,
        InjectedBug::EntryAfterSeal,
        InjectedBug::ServeAfterSeal,
        InjectedBug::SealNotAwaited,
        InjectedBug::JoinersNotSentState,
        InjectedBug::JoinAnsweredBeforeDurable,
        InjectedBug::OlderTransferApplied,
        InjectedBug::HistoryNotTransferred,
        InjectedBug::ShortChain,
        InjectedBug::SeveralVotersChanged,
        InjectedBug::VotersBelowMinimum,
        InjectedBug::DepartedVoterRetained,
        InjectedBug::LatestDepartureReplaced,
        InjectedBug::DomainsIgnored,
        InjectedBug::LowerProposalAccepted,
        InjectedBug::AcceptedViewNotReported,
        InjectedBug::AcceptedViewIgnored,
        InjectedBug::VoteAnsweredBeforeDurable,
        InjectedBug::InstallAfterOneAcceptance,
        InjectedBug::NonVotersCount,
        InjectedBug::ActBeforeViewDurable,
        InjectedBug::OlderEpochsCount,
        InjectedBug::VoteAfterDiskLoss,
        InjectedBug::FirstStartAssumed,
        InjectedBug::PromiseNotRecovered,
        InjectedBug::AcceptanceNotRecovered,
        InjectedBug::SealNotRecovered,
        InjectedBug::SnapshotWithoutState,
        InjectedBug::SnapshotWithoutAcceptorState,
    ];

    /// The bug with this name, as [`std::fmt::Debug`] writes it.
    pub fn named(name: &str) -> Option<InjectedBug> {
        Self::ALL
            .into_iter()
            .find(|injected_bug| format!("{injected_bug:?}") == name)
    }
}
