//! Writes of the acceptor's records and of views that aren't durable yet, and what waits for them.
//!
//! Owned by the replica. Invariant: what waits is released in the order of the writes, and only once that write and all
//! before it are durable; a refused write is repeated until the disk takes it.

use std::{collections::VecDeque, net::SocketAddrV4};

use crate::durable_record::{DurableRecord, PersistTicket};
use crate::message::Message;
use crate::time::Millis;

/// What is done once a write, and all before it, are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum AfterAcceptorWrite {
    /// Send a message that reports what the write stored.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Act in a view.
    ViewDurable {
        /// Epoch of the view.
        epoch: u64,
    },
    /// Hand over the sealed state.
    SealDurable {
        /// The sealed epoch.
        epoch: u64,
    },
}

/// The writes that aren't durable yet, and those that wait for an earlier one, in their order.
#[derive(Debug, Default)]
pub struct AcceptorLog {
    writes: VecDeque<AcceptorWrite>,
}

#[derive(Debug)]
struct AcceptorWrite {
    ticket: PersistTicket,
    records: Vec<DurableRecord>,
    progress: Progress,
    requested_at: Millis,
    /// Whether the disk refused it at least once.
    was_refused: bool,
    after_write: Vec<AfterAcceptorWrite>,
}

#[derive(Debug, Eq, PartialEq)]
enum Progress {
    Writing,
    Refused { at: Millis },
    Durable,
}

impl AcceptorLog {
    /// Adds a write that the driver was asked for.
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
            was_refused: false,
            after_write,
        });
    }

    /// Defers this until all writes so far are durable; returns it if there is none.
    pub fn defer(&mut self, after_write: AfterAcceptorWrite) -> Option<AfterAcceptorWrite> {
        let Some(last) = self.writes.back_mut() else {
            return Some(after_write);
        };
        if !last.after_write.contains(&after_write) {
            last.after_write.push(after_write);
        }
        None
    }

    /// A write is durable: what may be done now, or `None` if the ticket isn't of this log.
    pub fn on_persisted(&mut self, ticket: PersistTicket) -> Option<Vec<AfterAcceptorWrite>> {
        let is_it = |write: &&mut AcceptorWrite| {
            write.ticket == ticket && write.progress == Progress::Writing
        };
        let write = self.writes.iter_mut().find(is_it)?;
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

    /// A write was refused. Returns whether the ticket is of this log.
    pub fn on_refused(&mut self, ticket: PersistTicket, now: Millis) -> bool {
        let Some(write) = self.writes.iter_mut().find(|write| write.ticket == ticket) else {
            return false;
        };
        write.progress = Progress::Refused { at: now };
        write.was_refused = true;
        true
    }

    /// Writes refused at least `interval` ago, to be written again under the tickets that `issue` gives.
    pub fn take_due_retries(
        &mut self,
        interval: Millis,
        now: Millis,
        mut issue: impl FnMut() -> PersistTicket,
    ) -> Vec<(PersistTicket, Vec<DurableRecord>)> {
        let mut retries = Vec::new();
        for write in &mut self.writes {
            if matches!(write.progress, Progress::Refused { at } if now - at >= interval) {
                write.ticket = issue();
                write.progress = Progress::Writing;
                retries.push((write.ticket, write.records.clone()));
            }
        }
        retries
    }

    /// Whether a write was refused and isn't durable yet.
    pub fn has_refused(&self) -> bool {
        self.writes.iter().any(|write| write.was_refused)
    }

    /// Since when the oldest write has waited.
    pub fn oldest_requested_at(&self) -> Option<Millis> {
        self.writes.front().map(|write| write.requested_at)
    }
}
