//! Anti-entropy: repair of members whose state differs from the head's at the same position, and of a disk that differs
//! from memory.

use super::state_machine::Replica;
use crate::document::Digest;
use crate::durable_record::DurableRecord;
use crate::durable_state::DurableState;
use crate::message::{MessageBody, Payload, Transfer, TransferPurpose};
use crate::position::Position;
use crate::state::HistoryDigest;
use crate::view::Identity;

/// How a difference was detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DetectedBy {
    /// By a member's epoch confirmation, for a waiting request.
    Read,
    /// By a member's heartbeat, in the background.
    Heartbeat,
}

/// Result of a comparison of the disk with the state in memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiskComparison {
    /// They are equal.
    Same,
    /// The disk differs; a snapshot of the state in memory repairs it.
    DiskDiffers,
    /// The state in memory doesn't match its own digest, so it can't be used to repair the disk.
    MemoryDamaged,
}

impl Replica {
    /// Sends the committed state to a member of the chain whose state differs at the same position. A position
    /// identifies a state, so a difference indicates a damaged disk or a software bug, never a mere delay.
    pub(super) fn repair_if_different(
        &mut self,
        member: Identity,
        position: Position,
        history_digest: HistoryDigest,
        detected_by: DetectedBy,
    ) {
        let Some(committed) = self.committed_position() else {
            return;
        };
        let Some(state) = self.serving_state().cloned() else {
            return;
        };
        let Some(address) = self.chain_address_of(member) else {
            return;
        };
        if position != committed || history_digest == state.history_digest() || !is_intact(&state) {
            return;
        }
        log::warn!(
            "{member} at {address} has a state that differs from the committed one at {position:?}; sending the committed one"
        );
        match detected_by {
            DetectedBy::Read => self.counters.read_repairs += 1,
            DetectedBy::Heartbeat => self.counters.digest_repairs += 1,
        }
        let transfer = Transfer {
            purpose: TransferPurpose::Repair,
            position,
            history_digest: state.history_digest(),
            payload: Payload::FullSnapshot(state),
        };
        self.send(address, MessageBody::Transfer(transfer));
    }

    /// Address of this member of the chain.
    fn chain_address_of(&self, member: Identity) -> Option<std::net::SocketAddrV4> {
        let view = self.view.as_ref().filter(|view| view.in_chain(member))?;
        view.address_of(member)
    }

    /// Compares the records that a scrub read with the durable state in memory. No write may have been in flight when
    /// the disk was read, and none may have become durable since.
    pub fn compare_disk(&self, records: Vec<DurableRecord>) -> DiskComparison {
        if !is_intact(&self.durable_state.state) {
            return DiskComparison::MemoryDamaged;
        }
        let mut on_disk = DurableState::default();
        records
            .into_iter()
            .for_each(|record| on_disk.recover(record));
        if on_disk.state == self.durable_state.state {
            DiskComparison::Same
        } else {
            DiskComparison::DiskDiffers
        }
    }
}

/// Whether the newest configuration matches its digest.
fn is_intact(state: &crate::state::ReplicatedState) -> bool {
    state
        .document()
        .is_none_or(|document| Digest::of(&document.body) == document.digest)
}
