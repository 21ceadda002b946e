//! Mistakes put in on purpose, so that tests can show that the simulation and its checks find them.
//!
//! Each variant leaves out one guard of the protocol. A replica makes a mistake only if the crate is built with the feature
//! `injected-bugs`; what is shipped is built without it.

use derive_more::Display;

/// A guard of the protocol that is left out.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum InjectedBug {
    // Reads and refusals
    #[display("reads are answered without a round of confirmation")]
    ReadUnconfirmed,
    #[display("412 is answered without a round of confirmation")]
    ConflictUnconfirmed,
    #[display("the refusal of a version that isn't newer is answered without a round of confirmation")]
    NotNewerUnconfirmed,
    #[display("a round that began before the request came counts for it")]
    EarlierRoundCounts,
    #[display("a voter confirms an epoch although it has accepted a successor")]
    ConfirmAfterAccepting,
    #[display("the version that a change builds on isn't compared")]
    IfMatchIgnored,
    #[display("a change that was taken before isn't recognized")]
    TakenNotRecognized,
    #[display("a change counts as taken if its version is in place")]
    VersionIdentifiesChange,
    #[display("the numbers of forwarded requests begin at 0 at each start")]
    RequestNumbersRestart,
    // Chain
    #[display("the head acknowledges what it alone holds")]
    AcknowledgeBeforeTail,
    #[display("a member passes an entry on before it is durable")]
    PassOnBeforeDurable,
    #[display("a member takes an entry without what precedes it")]
    EntryWithoutPredecessor,
    #[display("the head serves before all members hold its state")]
    ServeBeforeSynchronised,
    #[display("a head that was restarted serves on in its epoch")]
    RestartedHeadServes,
    #[display("a member takes for committed what differs from the committed state")]
    CommittedUnchecked,
    // Joining
    #[display("a sealed member goes on taking entries")]
    EntryAfterSeal,
    #[display("a sealed head goes on serving")]
    ServeAfterSeal,
    #[display("the sealed state is handed over before the seal is durable")]
    SealNotAwaited,
    #[display("joiners are never given the sealed state")]
    JoinersUnfed,
    #[display("a joiner says that it holds the sealed state before it is durable")]
    JoinAnsweredBeforeDurable,
    #[display("an older state handed over is taken")]
    OlderTransferTaken,
    #[display("the history of taken changes isn't handed over")]
    HistoryForgotten,
    // Agreement
    #[display("a chain below the majority is proposed")]
    ShortChain,
    #[display("several voters are changed in one view")]
    SeveralVotersChanged,
    #[display("voters are removed below twice the tolerated losses and one")]
    VotersBelowMinimum,
    #[display("a voter that left stays a voter until it has been silent for long")]
    DepartedVoterKept,
    #[display("a lower ballot is accepted")]
    LowerBallotAccepted,
    #[display("a promise doesn't report the view accepted before")]
    AcceptedNotReported,
    #[display("a proposer passes over a view accepted before")]
    AcceptedPassedOver,
    #[display("votes are answered before they are durable")]
    VoteAnsweredBeforeDurable,
    #[display("a view is adopted after one acceptance")]
    AdoptAfterOneAcceptance,
    #[display("answers of nodes that aren't voters count")]
    StrangersCount,
    #[display("a node acts in a view that isn't on its disk")]
    ActBeforeViewDurable,
    #[display("messages of older epochs count")]
    OlderEpochsCount,
    // Disk
    #[display("a seed that lost its disk takes its former identity")]
    VoteAfterWipe,
    #[display("a seed with an empty disk assumes the first start")]
    FirstStartAssumed,
    #[display("a promise isn't recovered after a restart")]
    PromiseForgotten,
    #[display("an acceptance isn't recovered after a restart")]
    AcceptanceForgotten,
    #[display("a seal isn't recovered after a restart")]
    SealForgotten,
    #[display("a snapshot leaves out the state")]
    SnapshotWithoutState,
    #[display("a snapshot leaves out the votes")]
    SnapshotWithoutVotes,
}

impl InjectedBug {
    /// All mistakes.
    pub const ALL: [InjectedBug; 41] = [
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

    /// The mistake with this name, as [`std::fmt::Debug`] writes it.
    pub fn named(name: &str) -> Option<InjectedBug> {
        Self::ALL.into_iter().find(|injected_bug| format!("{injected_bug:?}") == name)
    }
}
