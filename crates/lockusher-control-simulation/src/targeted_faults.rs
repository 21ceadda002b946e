//! Faults aimed at steps of the protocol: a node is struck in the middle of one, whenever that comes.

use rand::{RngExt, seq::IndexedRandom};

use crate::cluster::World;
use lockusher_control::{
    Effect, Millis,
    message::{MessageBody, TransferPurpose},
};

/// A step of the protocol, as seen by what a node does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProtocolStep {
    /// A sealed member hands over its state to a joiner.
    HandsOver,
    /// A joiner says that it holds the sealed state.
    Joins,
    /// A proposer asks for promises.
    Prepares,
    /// A voter promises.
    Promises,
    /// A proposer asks voters to accept a view.
    Proposes,
    /// A voter accepts.
    Accepts,
    /// A proposer tells the view that was agreed on.
    Announces,
    /// A new head brings members to its state.
    Synchronises,
    /// An entry goes down the chain.
    PassesOn,
    /// The tail's acknowledgement goes up.
    Acknowledges,
    /// A head tells what is committed.
    Commits,
}

const STEPS: [ProtocolStep; 11] = [
    ProtocolStep::HandsOver,
    ProtocolStep::Joins,
    ProtocolStep::Prepares,
    ProtocolStep::Promises,
    ProtocolStep::Proposes,
    ProtocolStep::Accepts,
    ProtocolStep::Announces,
    ProtocolStep::Synchronises,
    ProtocolStep::PassesOn,
    ProtocolStep::Acknowledges,
    ProtocolStep::Commits,
];

/// What happens to the node that takes the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strike {
    /// It is killed before it sends anything; what was durable stays.
    KillBefore { down: Millis },
    /// It is killed right after it has sent all.
    KillAfter { down: Millis },
    /// It is cut off from all others right after.
    CutOff,
    /// It doesn't run for a while.
    Freeze { time: Millis },
}

/// A strike that waits for its step.
#[derive(Clone, Copy, Debug)]
pub struct Ambush {
    step: ProtocolStep,
    strike: Strike,
    /// How many more times the step is let pass.
    passes: u32,
}

/// Longest absence after a strike.
const DOWN: std::ops::Range<Millis> = 50..6000;
/// A step is let pass so many times at most.
const MOST_PASSES: u32 = 4;

impl World {
    /// Lays an ambush in place of the one that may be waiting.
    pub(crate) fn lay_ambush(&mut self) {
        let step = *STEPS.choose(&mut self.fault_random).unwrap_or(&ProtocolStep::Accepts);
        let time = self.fault_random.random_range(DOWN);
        let strike = match self.fault_random.random_range(0..5) {
            0 | 1 => Strike::KillBefore { down: time },
            2 => Strike::KillAfter { down: time },
            3 => Strike::CutOff,
            _ => Strike::Freeze { time },
        };
        let passes = self.fault_random.random_range(0..MOST_PASSES);
        self.ambush = Some(Ambush { step, strike, passes });
    }

    /// The strike on a node that does this, if one waits for it.
    pub(crate) fn sprung_by(&mut self, effects: &[Effect]) -> Option<Strike> {
        let ambush = self.ambush.as_mut()?;
        if !effects.iter().any(|effect| step_of(effect) == Some(ambush.step)) {
            return None;
        }
        if ambush.passes > 0 {
            ambush.passes -= 1;
            return None;
        }
        self.ambush.take().map(|ambush| ambush.strike)
    }

    /// Strikes a node that has done what was waited for. Its effects have been carried out, unless it died before.
    pub(crate) fn strike(&mut self, number: usize, strike: Strike) {
        match strike {
            Strike::KillBefore { down } | Strike::KillAfter { down } => self.kill(number, down),
            Strike::CutOff => self.cut_off(number),
            Strike::Freeze { time } => self.freeze(number, time),
        }
    }
}

fn step_of(effect: &Effect) -> Option<ProtocolStep> {
    let Effect::Send { message, .. } = effect else { return None };
    match &message.body {
        MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Join => {
            Some(ProtocolStep::HandsOver)
        }
        MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Synchronise => {
            Some(ProtocolStep::Synchronises)
        }
        MessageBody::TransferResponse(answer) if answer.purpose == TransferPurpose::Join => {
            Some(ProtocolStep::Joins)
        }
        MessageBody::Prepare { .. } => Some(ProtocolStep::Prepares),
        MessageBody::PrepareResponse { .. } => Some(ProtocolStep::Promises),
        MessageBody::Accept { .. } => Some(ProtocolStep::Proposes),
        MessageBody::AcceptResponse { .. } => Some(ProtocolStep::Accepts),
        MessageBody::NewView(_) => Some(ProtocolStep::Announces),
        MessageBody::Append { .. } => Some(ProtocolStep::PassesOn),
        MessageBody::AppendAcknowledged { .. } => Some(ProtocolStep::Acknowledges),
        MessageBody::Committed { .. } => Some(ProtocolStep::Commits),
        _ => None,
    }
}
