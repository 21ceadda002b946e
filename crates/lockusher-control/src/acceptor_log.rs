//! Writes of acceptor and view records that aren't durable yet, and the actions deferred until they are.
//!
//! Owned by the replica. Invariant: deferred actions are released in the order of the writes, and only once their write
//! and all earlier ones are durable; a failed write is retried until it succeeds.

use std::{collections::VecDeque, net::SocketAddrV4};

use crate::durable_record::{DurableRecord, PersistTicket};
use crate::message::Message;
use crate::time::Millis;

/// An action deferred until a write and all earlier ones are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum AfterAcceptorWrite {
    /// Send a message that reports what the write stored.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Start to act in a view.
    ViewDurable {
        /// Epoch of the view.
        epoch: u64,
    },
    /// Start to transfer the sealed state.
    SealDurable {
        /// The sealed epoch.
        epoch: u64,
    },
}

/// The writes that aren't durable yet, and the durable ones that wait for an earlier one, in order.
#[derive(Debug, Default)]
pub struct AcceptorLog {
    writes: VecDeque<AcceptorWrite>,
}

/// A write of the log.
#[derive(Debug)]
struct AcceptorWrite {
    ticket: PersistTicket,
    records: Vec<DurableRecord>,
    progress: Progress,
    requested_at: Millis,
    /// Whether it has failed at least once.
    has_failed: bool,
    after_write: Vec<AfterAcceptorWrite>,
}

/// State of a write.
#[derive(Debug, Eq, PartialEq)]
enum Progress {
    Writing,
    Failed { at: Millis },
    Durable,
}

impl AcceptorLog {
    /// Adds a write that was requested from the driver.
    pub fn push(
        &mut self,
        ticket: PersistTicket,
        records: Vec<DurableRecord>,
        after_write: Vec<AfterAcceptorWrite>,
        now: Millis,
    ) {
        self.writes.push_back(AcceptorWrite {
            ticket,
            records,
            progress: Progress::Writing,
            requested_at: now,
            has_failed: false,
            after_write,
        });
    }

    /// Defers the action until all pending writes are durable; returns it if there are none.
    pub fn defer(&mut self, after_write: AfterAcceptorWrite) -> Option<AfterAcceptorWrite> {
        let Some(last) = self.writes.back_mut() else {
            return Some(after_write);
        };
        if !last.after_write.contains(&after_write) {
            last.after_write.push(after_write);
        }
        None
    }

    /// Handles a write that is durable. Returns the released actions, or `None` if the ticket isn't of this log.
    pub fn on_persisted(&mut self, ticket: PersistTicket) -> Option<Vec<AfterAcceptorWrite>> {
        let matches_ticket = |write: &&mut AcceptorWrite| {
            write.ticket == ticket && write.progress == Progress::Writing
        };
        let write = self.writes.iter_mut().find(matches_ticket)?;
        write.progress = Progress::Durable;
        let mut released = Vec::new();
        while self
            .writes
            .front()
            .is_some_and(|write| write.progress == Progress::Durable)
        {
            released.extend(
                self.writes
                    .pop_front()
                    .into_iter()
                    .flat_map(|write| write.after_write),
            );
        }
        Some(released)
    }

    /// Handles a failed write. Returns whether the ticket is of this log.
    pub fn on_failed(&mut self, ticket: PersistTicket, now: Millis) -> bool {
        let Some(write) = self.writes.iter_mut().find(|write| write.ticket == ticket) else {
            return false;
        };
        write.progress = Progress::Failed { at: now };
        write.has_failed = true;
        true
    }

    /// Takes the writes that failed at least `interval` ago, to be retried with the tickets that `issue` returns.
    pub fn take_due_retries(
        &mut self,
        interval: Millis,
        now: Millis,
        mut issue: impl FnMut() -> PersistTicket,
    ) -> Vec<(PersistTicket, Vec<DurableRecord>)> {
        let mut retries = Vec::new();
        for write in &mut self.writes {
            if matches!(write.progress, Progress::Failed { at } if now - at >= interval) {
                write.ticket = issue();
                write.progress = Progress::Writing;
                retries.push((write.ticket, write.records.clone()));
            }
        }
        retries
    }

    /// Whether a pending write has failed at least once.
    pub fn has_failed(&self) -> bool {
        self.writes.iter().any(|write| write.has_failed)
    }

    /// When the oldest pending write was requested.
    pub fn oldest_requested_at(&self) -> Option<Millis> {
        self.writes.front().map(|write| write.requested_at)
    }
}
