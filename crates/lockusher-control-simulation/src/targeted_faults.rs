//! Faults that hit a node in the middle of a protocol step.
//!
//! A fault at a random time rarely hits the few critical moments. A targeted fault is armed once and is triggered by the
//! messages that a node is about to send. It is drawn here and applied by [`Cluster`](crate::Cluster).

use lockusher_control::{
    Effect, Millis,
    message::{MessageBody, TransferPurpose},
};
use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// A protocol step, recognised by the messages that a node sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProtocolStep {
    /// A sealed member transfers its state to a joiner.
    JoinTransfer,
    /// A joiner responds that it has stored the sealed state.
    JoinTransferResponse,
    /// A proposer sends prepare requests.
    Prepare,
    /// A voter sends a promise.
    PrepareResponse,
    /// A proposer sends accept requests for a view.
    Accept,
    /// A voter sends an acceptance.
    AcceptResponse,
    /// A node sends a view that was agreed on.
    NewView,
    /// A node sends a view that was agreed on to several nodes, as its proposer does.
    ViewAnnouncement,
    /// A new head transfers its state to a member.
    SynchroniseTransfer,
    /// An entry is sent down the chain.
    Append,
    /// An acknowledgement of the tail is sent up the chain.
    AppendAcknowledged,
    /// The head announces the committed entry.
    Committed,
}

/// All steps, from which a targeted fault is drawn.
const PROTOCOL_STEPS: [ProtocolStep; 12] = [
    ProtocolStep::JoinTransfer,
    ProtocolStep::JoinTransferResponse,
    ProtocolStep::Prepare,
    ProtocolStep::PrepareResponse,
    ProtocolStep::Accept,
    ProtocolStep::AcceptResponse,
    ProtocolStep::NewView,
    ProtocolStep::ViewAnnouncement,
    ProtocolStep::SynchroniseTransfer,
    ProtocolStep::Append,
    ProtocolStep::AppendAcknowledged,
    ProtocolStep::Committed,
];

/// Effect of a targeted fault on the node that takes the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultAction {
    /// It is killed before its effects are executed: nothing is sent or written.
    CrashBeforeSend {
        /// How long the process is down.
        downtime: Millis,
    },
    /// It is killed right after its effects were executed.
    CrashAfterSend {
        /// How long the process is down.
        downtime: Millis,
    },
    /// It is partitioned from all others right after its effects were executed.
    Isolate,
    /// It is frozen right after its effects were executed.
    Freeze {
        /// Duration of the freeze.
        duration: Millis,
    },
}

/// A fault that waits for its protocol step.
#[derive(Clone, Copy, Debug)]
pub struct TargetedFault {
    step: ProtocolStep,
    action: FaultAction,
    /// How many more occurrences of the step are skipped.
    remaining_skips: u32,
}

/// Duration of a downtime or a freeze.
const DOWNTIME_MS: std::ops::Range<Millis> = 50..6000;
/// Exclusive upper bound of the number of occurrences that are skipped.
const MAX_SKIPPED_OCCURRENCES: u32 = 4;
/// One in this many targeted faults isolates a proposer right after it announces a view that was agreed on. The announcement
/// is lost with the links, so that only the proposer knows the view.
const ISOLATED_PROPOSER_ONE_IN: u32 = 4;

impl TargetedFault {
    /// Draws the step, the action and the number of occurrences to skip.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        if random.random_ratio(1, ISOLATED_PROPOSER_ONE_IN) {
            return Self {
                step: ProtocolStep::ViewAnnouncement,
                action: FaultAction::Isolate,
                remaining_skips: 0,
            };
        }
        let step = *PROTOCOL_STEPS.choose(random).expect("there are steps");
        let duration = random.random_range(DOWNTIME_MS);
        let action = match random.random_range(0..5) {
            0 | 1 => FaultAction::CrashBeforeSend { downtime: duration },
            2 => FaultAction::CrashAfterSend { downtime: duration },
            3 => FaultAction::Isolate,
            _ => FaultAction::Freeze { duration },
        };
        let remaining_skips = random.random_range(0..MAX_SKIPPED_OCCURRENCES);
        Self {
            step,
            action,
            remaining_skips,
        }
    }

    /// Checks whether these effects are an occurrence of the step. Returns the action once no further occurrence is skipped.
    pub fn trigger(&mut self, effects: &[Effect]) -> Option<FaultAction> {
        if !matches_step(self.step, effects) {
            return None;
        }
        if self.remaining_skips > 0 {
            self.remaining_skips -= 1;
            return None;
        }
        Some(self.action)
    }
}

/// Whether these effects are an occurrence of the step.
fn matches_step(step: ProtocolStep, effects: &[Effect]) -> bool {
    let count = |step| {
        effects
            .iter()
            .filter(|effect| step_of(effect) == Some(step))
            .count()
    };
    match step {
        ProtocolStep::ViewAnnouncement => count(ProtocolStep::NewView) > 1,
        step => count(step) > 0,
    }
}

/// The protocol step of an effect, if it sends a message that belongs to one.
fn step_of(effect: &Effect) -> Option<ProtocolStep> {
    let Effect::Send { message, .. } = effect else {
        return None;
    };
    match &message.body {
        MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Join => {
            Some(ProtocolStep::JoinTransfer)
        }
        MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Synchronise => {
            Some(ProtocolStep::SynchroniseTransfer)
        }
        MessageBody::TransferResponse(response) if response.purpose == TransferPurpose::Join => {
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
