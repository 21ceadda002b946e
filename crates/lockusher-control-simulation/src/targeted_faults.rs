//! Faults that hit a node in the middle of a step of the protocol, whenever that step comes.
//!
//! A fault at a random time seldom hits the few moments that matter. A targeted fault is armed once and is triggered by the
//! messages that a node is about to send. It is drawn here; [`Cluster`](crate::Cluster) carries it out.

use lockusher_control::{
    Effect, Millis,
    message::{MessageBody, TransferPurpose},
};
use rand::{RngExt, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

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
    /// A node sends a view that was agreed on.
    NewView,
    /// A proposer sends the view that was agreed on to all.
    ViewAnnouncement,
    /// A new head brings members to its state.
    SynchroniseTransfer,
    /// An entry goes down the chain.
    Append,
    /// The tail's acknowledgement goes up.
    AppendAcknowledged,
    /// A head tells what is committed.
    Committed,
}

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

/// What happens to the node that takes the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultAction {
    /// It is killed before it sends anything; what was durable stays.
    CrashBeforeSend {
        /// How long the process is down.
        downtime: Millis,
    },
    /// It is killed right after it has sent all.
    CrashAfterSend {
        /// How long the process is down.
        downtime: Millis,
    },
    /// It is partitioned from all others right after.
    Isolate,
    /// It doesn't run for a while.
    Freeze {
        /// For how long.
        duration: Millis,
    },
}

/// An armed fault that waits for its step.
#[derive(Clone, Copy, Debug)]
pub struct TargetedFault {
    step: ProtocolStep,
    action: FaultAction,
    /// How many more occurrences of the step are let pass.
    remaining_skips: u32,
}

/// How long a node is down or frozen.
const DOWNTIME_MS: std::ops::Range<Millis> = 50..6000;
/// Below this many occurrences of a step are let pass.
const MAX_SKIPPED_OCCURRENCES: u32 = 4;
/// One targeted fault in so many isolates the proposer of a view that is agreed on, so that it alone knows.
const ISOLATED_PROPOSER_ONE_IN: u32 = 4;

impl TargetedFault {
    /// Draws a step, what happens at it, and how many of its occurrences are let pass before.
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

    /// Counts an occurrence if a node takes the step by these effects: what happens to it, once no occurrence is let pass.
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

/// Whether a node takes the step by these effects.
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

/// The step that a node takes by this effect, if it is one of those.
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
