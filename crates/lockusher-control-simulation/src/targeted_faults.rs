//! Faults aimed at steps of the protocol: a node is struck in the middle of one, whenever that comes.

use rand::{RngExt, seq::IndexedRandom};

use crate::cluster::Cluster;
use lockusher_control::{
    Effect, Millis,
    message::{MessageBody, TransferPurpose},
};

/// A step of the protocol, as seen by what a node does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProtocolStep {
    /// A sealed member hands over its state to a joiner.
    JoinTransfer,
    /// A joiner says that it holds the sealed state.
    JoinTransferResponse,
    /// A proposer asks for promises.
    Prepare,
    /// A voter promises.
    PrepareResponse,
    /// A proposer asks voters to accept a view.
    Accept,
    /// A voter accepts.
    AcceptResponse,
    /// A proposer tells the view that was agreed on.
    NewView,
    /// A new head brings members to its state.
    SynchroniseTransfer,
    /// An entry goes down the chain.
    Append,
    /// The tail's acknowledgement goes up.
    AppendAcknowledged,
    /// A head tells what is committed.
    Committed,
}

const PROTOCOL_STEPS: [ProtocolStep; 11] = [
    ProtocolStep::JoinTransfer,
    ProtocolStep::JoinTransferResponse,
    ProtocolStep::Prepare,
    ProtocolStep::PrepareResponse,
    ProtocolStep::Accept,
    ProtocolStep::AcceptResponse,
    ProtocolStep::NewView,
    ProtocolStep::SynchroniseTransfer,
    ProtocolStep::Append,
    ProtocolStep::AppendAcknowledged,
    ProtocolStep::Committed,
];

/// What happens to the node that takes the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultAction {
    /// It is killed before it sends anything; what was durable stays.
    CrashBeforeSend { downtime: Millis },
    /// It is killed right after it has sent all.
    CrashAfterSend { downtime: Millis },
    /// It is cut off from all others right after.
    Isolate,
    /// It doesn't run for a while.
    Freeze { duration: Millis },
}

/// A strike that waits for its step.
#[derive(Clone, Copy, Debug)]
pub struct TargetedFault {
    step: ProtocolStep,
    action: FaultAction,
    /// How many more times the step is let pass.
    remaining_skips: u32,
}

/// Longest absence after a strike.
const DOWNTIME_MS: std::ops::Range<Millis> = 50..6000;
/// A step is let pass so many times at most.
const MAX_SKIPPED_OCCURRENCES: u32 = 4;

impl Cluster {
    /// Lays an ambush in place of the one that may be waiting.
    pub(crate) fn arm_targeted_fault(&mut self) {
        let step = *PROTOCOL_STEPS.choose(&mut self.fault_random).unwrap_or(&ProtocolStep::AcceptResponse);
        let duration = self.fault_random.random_range(DOWNTIME_MS);
        let fault_action = match self.fault_random.random_range(0..5) {
            0 | 1 => FaultAction::CrashBeforeSend { downtime: duration },
            2 => FaultAction::CrashAfterSend { downtime: duration },
            3 => FaultAction::Isolate,
            _ => FaultAction::Freeze { duration },
        };
        let remaining_skips = self.fault_random.random_range(0..MAX_SKIPPED_OCCURRENCES);
        self.targeted_fault = Some(TargetedFault { step, action: fault_action, remaining_skips });
    }

    /// The strike on a node that does this, if one waits for it.
    pub(crate) fn targeted_fault_triggered_by(&mut self, effects: &[Effect]) -> Option<FaultAction> {
        let targeted_fault = self.targeted_fault.as_mut()?;
        if !effects.iter().any(|effect| step_of(effect) == Some(targeted_fault.step)) {
            return None;
        }
        if targeted_fault.remaining_skips > 0 {
            targeted_fault.remaining_skips -= 1;
            return None;
        }
        self.targeted_fault.take().map(|targeted_fault| targeted_fault.action)
    }

    /// Strikes a node that has done what was waited for. Its effects have been carried out, unless it died before.
    pub(crate) fn apply_fault_action(&mut self, number: usize, fault_action: FaultAction) {
        match fault_action {
            FaultAction::CrashBeforeSend { downtime } | FaultAction::CrashAfterSend { downtime } => {
                self.crash(number, downtime)
            }
            FaultAction::Isolate => self.isolate(number),
            FaultAction::Freeze { duration } => self.freeze(number, duration),
        }
    }
}

fn step_of(effect: &Effect) -> Option<ProtocolStep> {
    let Effect::Send { message, .. } = effect else { return None };
    match &message.body {
        MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Join => {
            Some(ProtocolStep::JoinTransfer)
        }
        MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Synchronise => {
            Some(ProtocolStep::SynchroniseTransfer)
        }
        MessageBody::TransferResponse(answer) if answer.purpose == TransferPurpose::Join => {
            Some(ProtocolStep::JoinTransferResponse)
        }
        MessageBody::Prepare { .. } => Some(ProtocolStep::Prepare),
        MessageBody::PrepareResponse { .. } => Some(ProtocolStep::PrepareResponse),
        MessageBody::Accept { .. } => Some(ProtocolStep::Accept),
        MessageBody::AcceptResponse { .. } => Some(ProtocolStep::AcceptResponse),
        MessageBody::NewView(_) => Some(ProtocolStep::NewView),
        MessageBody::Append { .. } => Some(ProtocolStep::Append),
        MessageBody::AppendAcknowledged { .. } => Some(ProtocolStep::AppendAcknowledged),
        MessageBody::Committed { .. } => Some(ProtocolStep::Committed),
        _ => None,
    }
}
