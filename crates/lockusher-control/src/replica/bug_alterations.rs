//! Alterations of planned view changes, messages and records by injected bugs: the hooks that `altered_by_bug!` calls.

use super::bug_injection::{BugInjection, bug_injected};
use crate::durable_record::DurableRecord;
use crate::message::{MessageBody, Payload, Transfer};
use crate::proposal::AcceptedView;
use crate::view::{Identity, View};
use crate::view_change::{ViewChange, ViewChangeContext};

impl BugInjection {
    /// The planned view change, altered by the injected bug.
    pub(super) fn altered_view_change(
        self,
        change: Option<ViewChange>,
        context: &ViewChangeContext,
    ) -> Option<ViewChange> {
        if bug_injected!(self, ShortChain) {
            short_chain(context).or(change)
        } else if bug_injected!(self, SeveralVotersChanged) {
            change.map(|change| without_unreachable(change, context))
        } else {
            change
        }
    }

    /// The records of a snapshot, altered by the injected bug.
    pub(super) fn altered_snapshot(self, mut records: Vec<DurableRecord>) -> Vec<DurableRecord> {
        let is_acceptor_record = |record: &DurableRecord| {
            matches!(
                record,
                DurableRecord::Promise { .. }
                    | DurableRecord::Accept { .. }
                    | DurableRecord::Seal { .. }
            )
        };
        if bug_injected!(self, SnapshotWithoutState) {
            records.retain(|record| !matches!(record, DurableRecord::State { .. }));
        }
        if bug_injected!(self, SnapshotWithoutAcceptorState) {
            records.retain(|record| !is_acceptor_record(record));
        }
        records
    }

    /// The records recovered from the disk, altered by the injected bug.
    pub(super) fn altered_recovery(self, mut records: Vec<DurableRecord>) -> Vec<DurableRecord> {
        records.retain(|record| match record {
            DurableRecord::Promise { .. } => !bug_injected!(self, PromiseNotRecovered),
            DurableRecord::Accept { .. } => !bug_injected!(self, AcceptanceNotRecovered),
            DurableRecord::Seal { .. } => !bug_injected!(self, SealNotRecovered),
            _ => true,
        });
        records
    }

    /// The body of an outgoing message, altered by the injected bug.
    pub(super) fn altered_body(self, body: MessageBody) -> MessageBody {
        match body {
            MessageBody::Transfer(transfer) if bug_injected!(self, HistoryNotTransferred) => {
                MessageBody::Transfer(without_history(transfer))
            }
            MessageBody::PrepareResponse {
                proposal_number, ..
            } if bug_injected!(self, AcceptedViewNotReported) => MessageBody::PrepareResponse {
                proposal_number,
                accepted: None,
            },
            body => body,
        }
    }

    /// The accepted view that a prepare response reports, altered by the injected bug.
    pub(super) fn altered_accepted_view(
        self,
        accepted: Option<AcceptedView>,
    ) -> Option<AcceptedView> {
        accepted.filter(|_| !bug_injected!(self, AcceptedViewIgnored))
    }
}

/// A view change whose chain is shorter than a majority of the voters, if the healthy members are that few.
fn short_chain(context: &ViewChangeContext) -> Option<ViewChange> {
    let view = context.view;
    let is_healthy = |member: &Identity| context.healthy_members.contains(member);
    let chain: Vec<Identity> = view.chain.iter().copied().filter(is_healthy).collect();
    let is_short = !chain.is_empty() && chain.len() < view.majority();
    is_short.then(|| ViewChange {
        view: View {
            epoch: view.epoch + 1,
            voters: view.voters.clone(),
            chain,
        },
        joiners: Vec::new(),
    })
}

/// The view change, with all unreachable voters outside of the chain removed at once.
fn without_unreachable(mut change: ViewChange, context: &ViewChangeContext) -> ViewChange {
    let chain = change.view.chain.clone();
    let is_removed =
        |identity: Identity| context.replaceable.contains(&identity) && !chain.contains(&identity);
    change
        .view
        .voters
        .retain(|voter| !is_removed(voter.identity));
    change
}

/// The transfer, with the identities of applied requests omitted from a full snapshot.
fn without_history(mut transfer: Transfer) -> Transfer {
    if let Payload::FullSnapshot(state) = &mut transfer.payload {
        *state = state.without_history();
    }
    transfer
}
