//! This node's durable copy of the replicated state, and the one write of it that may be in flight.
//!
//! Owned by the replica. Invariant: `state` at `position` is on disk; a pending write counts only once the driver has
//! reported it durable, and a failed one is dropped.

use std::net::SocketAddrV4;

use crate::document::ConfigurationDocument;
use crate::durable_record::{DurableRecord, PersistTicket};
use crate::message::{Payload, Transfer, TransferPurpose};
use crate::position::Position;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::time::Millis;

/// The durable state. At most one write is in flight; it counts once it is durable.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// Position of the durable state.
    pub position: Position,
    /// The durable state.
    pub state: ReplicatedState,
    /// The write in flight.
    pub pending: Option<PendingWrite>,
}

/// A write of the state that isn't durable yet.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// Ticket with which its outcome is reported.
    pub ticket: PersistTicket,
    /// When it was requested from the driver.
    pub requested_at: Millis,
    /// Epoch in which it was requested; `after_write` runs only in this epoch.
    pub epoch: u64,
    /// Position of the state once it is durable.
    pub position: Position,
    /// The state once it is durable.
    pub state: ReplicatedState,
    /// Action to run once it is durable.
    pub after_write: AfterWrite,
}

/// An action to run once the state is durable.
#[derive(Clone, Debug)]
pub enum AfterWrite {
    /// As head: send the entry to the successor.
    SendToSuccessor,
    /// As a member of the chain: forward the entry, or acknowledge it.
    ForwardAppend(AppendedEntry),
    /// Respond to a transfer.
    RespondToTransfer {
        /// Sender of the transfer.
        to: SocketAddrV4,
        /// Purpose of the transfer.
        purpose: TransferPurpose,
    },
    /// Nothing: the write only tests whether the disk works.
    Nothing,
}

/// The content of a [`MessageBody::Append`](crate::message::MessageBody::Append).
#[derive(Clone, Debug)]
pub struct AppendedEntry {
    /// Index of the entry in its epoch.
    pub index: u64,
    /// History digest of the state that it follows.
    pub previous: HistoryDigest,
    /// The entry's configuration.
    pub document: ConfigurationDocument,
    /// Whether it is forwarded to the successor; else it is acknowledged to the head directly.
    pub relay: bool,
}

/// How a transfer relates to the durable state.
#[derive(Clone, Debug)]
pub enum TransferOutcome {
    /// The receiver lacks the state that the transfer builds on.
    MissingBase,
    /// The same state is stored already.
    AlreadyStored,
    /// The transfer has to be written: the record, and the state after it.
    Write(Box<DurableRecord>, ReplicatedState),
}

impl DurableState {
    /// Replays one record.
    pub fn recover(&mut self, record: DurableRecord) {
        match record {
            // Sealed states of several members of one epoch have the same position, so equal positions are applied,
            // too.
            DurableRecord::Entry {
                position,
                previous,
                document,
            } if position >= self.position && previous == self.state.history_digest() => {
                self.state = self.state.with(document);
                self.position = position;
            }
            DurableRecord::State { position, state } if position >= self.position => {
                self.state = state;
                self.position = position;
            }
            DurableRecord::PositionAdvanced { position } => {
                self.position = self.position.max(position);
            }
            _ => {}
        }
    }

    /// The record that restores the newest state, durable or pending.
    pub fn record(&self) -> DurableRecord {
        match &self.pending {
            Some(pending) => DurableRecord::State {
                position: pending.position,
                state: pending.state.clone(),
            },
            None => DurableRecord::State {
                position: self.position,
                state: self.state.clone(),
            },
        }
    }

    /// How a transfer relates to the durable state.
    pub fn classify_transfer(&self, transfer: &Transfer) -> TransferOutcome {
        let position = transfer.position;
        if self.state.history_digest() == transfer.history_digest {
            return TransferOutcome::AlreadyStored;
        }
        match &transfer.payload {
            Payload::Empty => TransferOutcome::MissingBase,
            Payload::LatestDocument { previous, document }
                if *previous == self.state.history_digest() =>
            {
                let record = DurableRecord::Entry {
                    position,
                    previous: *previous,
                    document: document.clone(),
                };
                TransferOutcome::Write(Box::new(record), self.state.with(document.clone()))
            }
            Payload::LatestDocument { .. } => TransferOutcome::MissingBase,
            Payload::FullSnapshot(state) => {
                let record = DurableRecord::State {
                    position,
                    state: state.clone(),
                };
                TransferOutcome::Write(Box::new(record), state.clone())
            }
        }
    }
}

/// The smallest payload that updates a node with this history digest to the state.
pub fn payload_for(state: &ReplicatedState, history_digest: Option<HistoryDigest>) -> Payload {
    let newest = || {
        let document = state.document()?.clone();
        Some(Payload::LatestDocument {
            previous: state.previous_history_digest(),
            document,
        })
    };
    match history_digest {
        Some(history_digest) if history_digest == state.history_digest() => Payload::Empty,
        Some(history_digest) if history_digest == state.previous_history_digest() => {
            newest().unwrap_or(Payload::Empty)
        }
        _ => Payload::FullSnapshot(state.clone()),
    }
}
