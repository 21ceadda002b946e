//! Violations that a run of the simulation reports.

use std::net::SocketAddrV4;

use derive_more::{Display, From};
use lockusher_control::{Identity, Millis, Reply, RequestTicket, message::ProposalNumber};

/// A violation of a guarantee or an invariant in a run.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{at}: {kind}")]
pub struct Violation {
    /// Virtual time at which it was found, in milliseconds.
    pub at: Millis,
    /// The guarantee or invariant that was violated.
    pub kind: ViolationKind,
}

/// Kind of a violation.
#[derive(Clone, Debug, Display, Eq, From, PartialEq)]
pub enum ViolationKind {
    /// An observation of an operator or agent that contradicts the reference model.
    Model(ModelViolation),
    /// A message or record of a node that violates an invariant of the protocol.
    Invariant(InvariantViolation),
    /// Recovery that didn't complete in time after the faults had ended.
    Recovery(RecoveryViolation),
}

/// An observation of an operator or agent that contradicts the reference model.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[expect(
    missing_docs,
    reason = "the fields are named in the text of each variant"
)]
pub enum ModelViolation {
    /// An acknowledgement after a rejection of the same change.
    #[display("version {version} acknowledged after it was rejected")]
    AcknowledgedAfterRejection { version: u64 },
    /// An acknowledgement before any node reported the change as committed.
    #[display("version {version} acknowledged before any node reported it as committed")]
    AcknowledgedUncommitted { version: u64 },
    /// Two changes that build on the same version were acknowledged.
    #[display("two changes based on version {base} acknowledged")]
    TwoChangesAcknowledged { base: u64 },
    /// A rejection of a change that was acknowledged or committed.
    #[display("version {version} rejected after it was acknowledged or committed")]
    RejectedAfterCommit { version: u64 },
    /// A rejection although the version that the change builds on was the newest one during the whole call.
    #[display(
        "version {version} rejected, although its base {base} was the newest version during the whole call"
    )]
    RejectedWithoutConflict { version: u64, base: u64 },
    /// A read of an older version than one acknowledged or read before it started.
    #[display("read version {version}, although version {floor} was acknowledged or read before")]
    StaleRead { version: u64, floor: u64 },
    /// Two configurations were committed under one version.
    #[display("two configurations committed as version {version}")]
    TwoConfigurationsCommitted { version: u64 },
    /// A configuration was committed that no operator sent.
    #[display("version {version} committed, but never sent")]
    CommittedUnsent { version: u64 },
    /// A change was committed after its rejection.
    #[display("version {version} committed after it was rejected")]
    CommittedAfterRejection { version: u64 },
    /// A patched configuration isn't the patch applied to the configuration that it builds on.
    #[display("version {version} isn't the result of applying its patch to its base")]
    WrongPatchResult { version: u64 },
    /// Two nodes acted as head of one epoch.
    #[display("{first} and {second} are both head of epoch {epoch}")]
    TwoHeads {
        first: SocketAddrV4,
        second: SocketAddrV4,
        epoch: u64,
    },
    /// Another version was committed between a configuration and the one that it builds on.
    #[display(
        "version {version} was built on {base}, but {intermediate} was committed between them"
    )]
    NotBuiltOnPredecessor {
        version: u64,
        base: u64,
        intermediate: u64,
    },
    /// A node reported a version as committed that isn't newer than the one that it reported before.
    #[display("{node} reported version {version} as committed after a version that isn't older")]
    CommittedVersionNotIncreased { node: SocketAddrV4, version: u64 },
    /// A change was answered with a configuration that it didn't request.
    #[display("{ticket:?} was answered with a configuration that it didn't request")]
    UnexpectedDocument { ticket: RequestTicket },
    /// A read was answered with something other than a configuration.
    #[display("read {ticket:?} was answered with {reply:?}")]
    UnexpectedReadReply { reply: Reply, ticket: RequestTicket },
}

/// A message or record of a node that violates an invariant of the protocol.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[expect(
    missing_docs,
    reason = "the fields are named in the text of each variant"
)]
pub enum InvariantViolation {
    /// A prepare response that doesn't report the view that the voter accepted.
    #[display("{voter} doesn't report in epoch {epoch} that it accepted {accepted:?}")]
    AcceptanceNotReported {
        voter: Identity,
        epoch: u64,
        accepted: Option<ProposalNumber>,
    },
    /// A prepare response before the promise was durable.
    #[display("{voter} sends a promise in epoch {epoch} that isn't durable")]
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
    #[display("{voter} sends an acceptance in epoch {epoch} that isn't durable")]
    AcceptanceNotDurable { voter: Identity, epoch: u64 },
    /// A confirmation of an epoch by a voter that has accepted a successor view.
    #[display("{voter} confirms epoch {epoch}, although it accepted a successor view")]
    ConfirmedAfterAcceptance { voter: Identity, epoch: u64 },
    /// A transfer to a joiner before the seal was durable.
    #[display("{member} transfers its state in epoch {epoch} before the seal is durable")]
    TransferBeforeSeal { member: Identity, epoch: u64 },
    /// A transfer of a state that wasn't durable.
    #[display("{member} transfers a state that isn't durable")]
    TransferNotDurable { member: Identity },
    /// Transfers of two sealed states of one epoch.
    #[display("{member} transfers two different sealed states of epoch {epoch}")]
    TwoSealedStates { member: Identity, epoch: u64 },
    /// A response to a transfer before the state was durable.
    #[display("{member} responds that it has stored a state that isn't durable")]
    TransferResponseNotDurable { member: Identity },
    /// Two entries with the same index.
    #[display("two entries have the index {index} in epoch {epoch}")]
    TwoEntries { index: u64, epoch: u64 },
    /// An entry was sent to the successor before it was durable.
    #[display("entry {index} of epoch {epoch} is forwarded before it is durable")]
    EntrySentBeforeDurable { index: u64, epoch: u64 },
    /// An entry was reported as stored or acknowledged before it was durable.
    #[display("{member} acknowledges entry {index} of epoch {epoch}, which isn't durable")]
    AcknowledgedEntryNotDurable {
        member: Identity,
        index: u64,
        epoch: u64,
    },
    /// A sealed member changed its state after the transfer.
    #[display("{member} writes in epoch {epoch} after it transferred its sealed state")]
    WrittenAfterTransfer { member: Identity, epoch: u64 },
    /// Two views with the same epoch.
    #[display("two views have epoch {epoch}")]
    TwoViews { epoch: u64 },
    /// A view that no majority of the previous view's voters accepted.
    #[display("view {epoch} wasn't accepted by a majority")]
    ViewNotAccepted { epoch: u64 },
    /// More than one voter was added or removed.
    #[display("view {epoch} changes more than one voter")]
    SeveralVotersChanged { epoch: u64 },
    /// A chain that is shorter than a majority of the voters, so that some majority doesn't intersect it.
    #[display("the chain of view {epoch} is shorter than a majority of the voters")]
    ChainBelowMajority { epoch: u64 },
    /// A chain without a member of the previous one.
    #[display("view {epoch} retains no member of the previous chain")]
    NoMemberRetained { epoch: u64 },
    /// Remaining members of the chain changed their order.
    #[display("view {epoch} changes the order of the chain")]
    ChainReordered { epoch: u64 },
    /// A member of the chain isn't a voter.
    #[display("view {epoch} has a member of the chain that isn't a voter")]
    MemberNotVoter { epoch: u64 },
    /// Voters were removed below the minimum number.
    #[display("view {epoch} has only {voters} voters")]
    TooFewVoters { epoch: u64, voters: usize },
    /// A member of the chain hasn't stored the newest committed version.
    #[display("{member} is in the chain of view {epoch} without committed version {version}")]
    CommittedNotStored {
        member: Identity,
        epoch: u64,
        version: u64,
    },
    /// A process recovered less than its disk contains.
    #[display("{node} starts without {missing} that is on its disk")]
    NotRecovered {
        node: SocketAddrV4,
        missing: DurablePart,
    },
    /// A snapshot contains less than the log that it replaces.
    #[display("a snapshot of {node} omits {missing}")]
    MissingInSnapshot {
        node: SocketAddrV4,
        missing: DurablePart,
    },
}

/// A part of a replica's durable state.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DurablePart {
    /// The replica's identity.
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
    /// The highest acceptance of the present epoch.
    #[display("an acceptance")]
    Acceptance,
    /// The seal of the present epoch.
    #[display("a seal")]
    Seal,
}

/// A step of the recovery that didn't complete in time after the faults had ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RecoveryViolation {
    /// No write was acknowledged.
    #[display("no write acknowledged after the faults ended")]
    NoWriteAcknowledged,
    /// A machine isn't an up-to-date member of the chain.
    #[display("not all machines are members of the chain")]
    NotAllMembers,
    /// The loss of a zone would leave no majority, or a voter isn't an up-to-date member of the chain.
    #[display("the voters aren't spread over the zones, or not all are members of the chain")]
    VotersNotSpread,
    /// A node hasn't learned the newest configuration.
    #[display("{node} didn't learn version {version}")]
    VersionNotLearned {
        /// Address of its internal listener.
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
    /// Adds a violation found at this virtual time.
    pub fn report(&mut self, at: Millis, kind: impl Into<ViolationKind>) {
        self.violations.push(Violation {
            at,
            kind: kind.into(),
        });
    }

    /// Whether no violation was found.
    pub fn is_empty(&self) -> bool {
        self.violations.is_empty()
    }

    /// The violations found so far.
    pub fn as_slice(&self) -> &[Violation] {
        &self.violations
    }

    /// The violations found.
    pub fn into_vec(self) -> Vec<Violation> {
        self.violations
    }
}
