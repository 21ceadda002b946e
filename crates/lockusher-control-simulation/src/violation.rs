//! What a run of the simulation did wrong.

use std::net::SocketAddrV4;

use derive_more::{Display, From};
use lockusher_control::{Identity, Millis, Reply, RequestTicket, message::ProposalNumber};

/// A guarantee or an invariant that was violated in a run.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{at}: {kind}")]
pub struct Violation {
    /// Virtual time at which it was found, in milliseconds.
    pub at: Millis,
    /// What was violated.
    pub kind: ViolationKind,
}

/// What was violated.
#[derive(Clone, Debug, Display, Eq, From, PartialEq)]
pub enum ViolationKind {
    /// Operators or agents observed something that the reference model rules out.
    Model(ModelViolation),
    /// A node violated an invariant of the protocol.
    Invariant(InvariantViolation),
    /// The cluster didn't recover in time after the faults had ended.
    Recovery(RecoveryViolation),
}

/// Something that operators or agents observed, and that the reference model rules out.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[expect(
    missing_docs,
    reason = "the fields are named in the text of each variant"
)]
pub enum ModelViolation {
    /// An acknowledgement after a rejection of the same change.
    #[display("version {version} acknowledged after it was refused")]
    AcknowledgedAfterRejection { version: u64 },
    /// An acknowledgement before any node reported the change as committed.
    #[display("version {version} acknowledged, but nowhere committed")]
    AcknowledgedUncommitted { version: u64 },
    /// Two changes of one version were acknowledged.
    #[display("two changes of version {base} acknowledged")]
    TwoChangesAcknowledged { base: u64 },
    /// A rejection of a change that was acknowledged or committed.
    #[display("version {version} refused after it was taken")]
    RejectedAfterCommit { version: u64 },
    /// A rejection without a reason.
    #[display("version {version} refused, although {base} was in place all the time")]
    RejectedWithoutConflict { version: u64, base: u64 },
    /// A read that went back in time.
    #[display("read version {version}, although {floor} was told before")]
    StaleRead { version: u64, floor: u64 },
    /// Two configurations were committed under one version.
    #[display("two configurations committed as version {version}")]
    TwoConfigurationsCommitted { version: u64 },
    /// A configuration was committed that no operator sent.
    #[display("version {version} committed, but never sent")]
    CommittedUnsent { version: u64 },
    /// A change was committed after its rejection.
    #[display("version {version} committed, but refused")]
    CommittedAfterRejection { version: u64 },
    /// A patched configuration isn't the patch applied to the configuration that it builds on.
    #[display("version {version} isn't its patch applied to its base")]
    WrongPatchResult { version: u64 },
    /// Two nodes acted as head of one epoch.
    #[display("{first} and {second} are heads of epoch {epoch}")]
    TwoHeads {
        first: SocketAddrV4,
        second: SocketAddrV4,
        epoch: u64,
    },
    /// Another version was committed between a configuration and the one that it builds on.
    #[display("version {version} was built on {base}, but {intermediate} is between them")]
    NotBuiltOnPredecessor {
        version: u64,
        base: u64,
        intermediate: u64,
    },
    /// A node reported an older configuration as committed than before.
    #[display("{node} went back to version {version}")]
    CommittedVersionDecreased { node: SocketAddrV4, version: u64 },
    /// A change was answered by a configuration that it didn't ask for.
    #[display("a document answers {ticket:?}")]
    UnexpectedDocument { ticket: RequestTicket },
    /// A read was answered by something else than a configuration.
    #[display("{reply:?} answers read {ticket:?}")]
    UnexpectedReadReply { reply: Reply, ticket: RequestTicket },
}

/// What a node did against an invariant of the protocol.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[expect(
    missing_docs,
    reason = "the fields are named in the text of each variant"
)]
pub enum InvariantViolation {
    /// A prepare response that leaves out what the voter accepted.
    #[display("{voter} conceals in epoch {epoch} that it accepted {accepted:?}")]
    AcceptanceNotReported {
        voter: Identity,
        epoch: u64,
        accepted: Option<ProposalNumber>,
    },
    /// A prepare response before the promise was durable.
    #[display("{voter} answers a promise in epoch {epoch} that isn't on its disk")]
    PromiseNotDurable { voter: Identity, epoch: u64 },
    /// An acceptance under a proposal number below a promised one.
    #[display("{voter} accepts {accepted:?} in epoch {epoch} after it promised {promised:?}")]
    AcceptedBelowPromise {
        voter: Identity,
        epoch: u64,
        accepted: ProposalNumber,
        promised: ProposalNumber,
    },
    /// An accept response before the acceptance was durable.
    #[display("{voter} answers an acceptance in epoch {epoch} that isn't on its disk")]
    AcceptanceNotDurable { voter: Identity, epoch: u64 },
    /// A confirmation of an epoch by a voter that accepted its successor.
    #[display("{voter} confirms epoch {epoch}, although it accepted a successor")]
    ConfirmedAfterAcceptance { voter: Identity, epoch: u64 },
    /// A transfer to a joiner before the seal was durable.
    #[display("{member} hands over its state in epoch {epoch}; no seal is on its disk")]
    TransferBeforeSeal { member: Identity, epoch: u64 },
    /// A transfer of a state that wasn't durable.
    #[display("{member} hands over a state that isn't on its disk")]
    TransferNotDurable { member: Identity },
    /// Transfers of two sealed states of one epoch.
    #[display("{member} hands over two states of epoch {epoch}")]
    TwoSealedStates { member: Identity, epoch: u64 },
    /// A response to a transfer before the state was durable.
    #[display("{member} says that it holds a state that isn't on its disk")]
    TransferResponseNotDurable { member: Identity },
    /// Two entries with one index.
    #[display("two entries have the index {index} in epoch {epoch}")]
    TwoEntries { index: u64, epoch: u64 },
    /// An entry was sent to the successor before it was durable.
    #[display("entry {index} of epoch {epoch} is passed on before it is durable")]
    EntrySentBeforeDurable { index: u64, epoch: u64 },
    /// An entry was acknowledged that isn't durable.
    #[display(
        "{member} says that it holds entry {index} of epoch {epoch}, which isn't on its disk"
    )]
    AcknowledgedEntryNotDurable {
        member: Identity,
        index: u64,
        epoch: u64,
    },
    /// A sealed member changed its state.
    #[display("{member} goes on in epoch {epoch} after it handed over its state")]
    WrittenAfterTransfer { member: Identity, epoch: u64 },
    /// Two views with one epoch.
    #[display("two views have epoch {epoch}")]
    TwoViews { epoch: u64 },
    /// A view that no majority of the voters before it accepted.
    #[display("view {epoch} wasn't accepted by a majority")]
    ViewNotAccepted { epoch: u64 },
    /// More than one voter was added or removed.
    #[display("view {epoch} changes more than one voter")]
    SeveralVotersChanged { epoch: u64 },
    /// A chain that some majority of the voters doesn't meet.
    #[display("the chain of view {epoch} is less than a majority")]
    ChainBelowMajority { epoch: u64 },
    /// A chain without a member of the one before it.
    #[display("view {epoch} keeps no member of the chain")]
    NoMemberRetained { epoch: u64 },
    /// Members of the chain changed places.
    #[display("view {epoch} changes the order of the chain")]
    ChainReordered { epoch: u64 },
    /// A member of the chain is no voter.
    #[display("view {epoch} has a member of the chain that is no voter")]
    MemberNotVoter { epoch: u64 },
    /// Voters were removed below the minimum.
    #[display("view {epoch} has {voters} voters only")]
    TooFewVoters { epoch: u64, voters: usize },
    /// A member of the chain lacks what is committed.
    #[display("{member} is in the chain of view {epoch} without version {version}")]
    CommittedNotStored {
        member: Identity,
        epoch: u64,
        version: u64,
    },
    /// A process recovered less than its disk holds.
    #[display("{node} starts without {missing} that is on its disk")]
    NotRecovered {
        node: SocketAddrV4,
        missing: DurablePart,
    },
    /// A snapshot holds less than the log in place of which it is written.
    #[display("a snapshot of {node} leaves out {missing}")]
    MissingInSnapshot {
        node: SocketAddrV4,
        missing: DurablePart,
    },
}

/// A part of what a replica holds on its disk.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DurablePart {
    /// Who the replica is.
    #[display("the identity")]
    Identity,
    /// The newest view.
    #[display("the view")]
    View,
    /// The replicated state.
    #[display("the state")]
    State,
    /// The highest promise of the present epoch.
    #[display("a promise")]
    Promise,
    /// The newest acceptance of the present epoch.
    #[display("an acceptance")]
    Acceptance,
    /// The seal of the present epoch.
    #[display("a seal")]
    Seal,
}

/// What the cluster didn't do in time after the faults had ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RecoveryViolation {
    /// No write was acknowledged.
    #[display("no write acknowledged after the faults ended")]
    NoWriteAcknowledged,
    /// Some machine isn't an up-to-date member of the chain.
    #[display("not all are members of the chain")]
    NotAllMembers,
    /// The loss of some zone would leave no majority, or some voter isn't an up-to-date member of the chain.
    #[display("the voters aren't spread over the zones")]
    VotersNotSpread,
    /// A node doesn't know the newest configuration.
    #[display("{node} didn't learn version {version}")]
    VersionNotLearned {
        /// Its internal listener.
        node: SocketAddrV4,
        /// The newest version acknowledged.
        version: u64,
    },
    /// No read was answered.
    #[display("no read answered after the faults ended")]
    NoReadAnswered,
}

/// The violations of a run, in the order in which they were found.
#[derive(Debug, Default)]
pub struct ViolationLog {
    violations: Vec<Violation>,
}

impl ViolationLog {
    /// Adds a violation found at this time.
    pub fn report(&mut self, at: Millis, kind: impl Into<ViolationKind>) {
        self.violations.push(Violation {
            at,
            kind: kind.into(),
        });
    }

    /// Whether none was found.
    pub fn is_empty(&self) -> bool {
        self.violations.is_empty()
    }

    /// All that were found.
    pub fn as_slice(&self) -> &[Violation] {
        &self.violations
    }

    /// All that were found.
    pub fn into_vec(self) -> Vec<Violation> {
        self.violations
    }
}
