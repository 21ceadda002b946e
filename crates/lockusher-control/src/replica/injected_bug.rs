//! Mistakes put in on purpose, so that tests can show that the simulation and its checks find them.
//!
//! Each variant leaves out one guard of the protocol. A replica makes a mistake only if the crate is built with the feature
//! `injected-bugs`; what is shipped is built without it.

use derive_more::Display;

use super::bug_injection::{BugInjection, bug_injected};
use crate::{
    DurableRecord, Identity, View,
    message::{AcceptedView, MessageBody, Payload, Transfer},
    view_change::{ViewChange, ViewChangeContext},
};

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

impl BugInjection {
    /// The planned view change, altered by the injected bug.
    pub(super) fn altered_view_change(
        self,
        change: Option<ViewChange>,
        context: &ViewChangeContext,
    ) -> Option<ViewChange> {
        match self.bug() {
            Some(InjectedBug::ShortChain) => short_chain(context).or(change),
            Some(InjectedBug::SeveralVotersChanged) => {
                change.map(|change| without_unreachable(change, context))
            }
            _ => change,
        }
    }

    /// What of the votes and the state a snapshot holds, after a mistake.
    pub(super) fn altered_snapshot(self, mut records: Vec<DurableRecord>) -> Vec<DurableRecord> {
        let is_vote = |record: &DurableRecord| {
            matches!(
                record,
                DurableRecord::Promise { .. } | DurableRecord::Accept { .. } | DurableRecord::Seal { .. }
            )
        };
        if bug_injected!(self, SnapshotWithoutState) {
            records.retain(|record| !matches!(record, DurableRecord::State { .. }));
        }
        if bug_injected!(self, SnapshotWithoutVotes) {
            records.retain(|record| !is_vote(record));
        }
        records
    }

    /// What a start finds on its disk, after a mistake.
    pub(super) fn altered_recovery(self, mut records: Vec<DurableRecord>) -> Vec<DurableRecord> {
        match self.bug() {
            Some(InjectedBug::PromiseForgotten) => {
                records.retain(|record| !matches!(record, DurableRecord::Promise { .. }));
            }
            Some(InjectedBug::AcceptanceForgotten) => {
                records.retain(|record| !matches!(record, DurableRecord::Accept { .. }));
            }
            Some(InjectedBug::SealForgotten) => {
                records.retain(|record| !matches!(record, DurableRecord::Seal { .. }));
            }
            _ => {}
        }
        records
    }

    /// A message on its way out, changed by a mistake.
    pub(super) fn altered_body(self, body: MessageBody) -> MessageBody {
        match (self.bug(), body) {
            (Some(InjectedBug::HistoryForgotten), MessageBody::Transfer(transfer)) => {
                MessageBody::Transfer(without_history(transfer))
            }
            (
                Some(InjectedBug::AcceptedNotReported),
                MessageBody::PrepareResponse { proposal_number, .. },
            ) => MessageBody::PrepareResponse { proposal_number, accepted: None },
            (_, body) => body,
        }
    }

    /// What a proposer hears of views accepted before, after a mistake.
    pub(super) fn altered_report(self, accepted: Option<AcceptedView>) -> Option<AcceptedView> {
        accepted.filter(|_| !bug_injected!(self, AcceptedPassedOver))
    }
}

fn short_chain(context: &ViewChangeContext) -> Option<ViewChange> {
    let view = context.view;
    let is_healthy = |member: &Identity| context.healthy_members.contains(member);
    let chain: Vec<Identity> = view.chain.iter().copied().filter(is_healthy).collect();
    let is_short = !chain.is_empty() && chain.len() < view.majority();
    is_short.then(|| ViewChange {
        view: View { epoch: view.epoch + 1, voters: view.voters.clone(), chain },
        joiners: Vec::new(),
    })
}

fn without_unreachable(mut change: ViewChange, context: &ViewChangeContext) -> ViewChange {
    let chain = change.view.chain.clone();
    let is_gone = |identity: Identity| context.unreachable.contains(&identity) && !chain.contains(&identity);
    change.view.voters.retain(|voter| !is_gone(voter.identity));
    change
}

fn without_history(mut transfer: Transfer) -> Transfer {
    if let Payload::FullSnapshot(state) = &mut transfer.payload {
        *state = state.without_history();
    }
    transfer
}
