//! Disk writes: requests to the driver, and handling of their outcome (durable or failed).
//!
//! Acceptor and view records go through `acceptor_log` and are retried until they are durable. At most one write of the
//! replicated state is in flight; if it fails, this node stops serving as head.

use super::effect::Effect;
use super::state_machine::Replica;
use crate::acceptor_log::AfterAcceptorWrite;
use crate::durable_record::{DurableRecord, PersistTicket};
use crate::durable_state::{AfterWrite, PendingWrite};
use crate::message::Health;
use crate::position::Position;
use crate::state::ReplicatedState;

impl Replica {
    /// Issues a ticket that is unique within this process.
    fn issue_ticket(&mut self) -> PersistTicket {
        self.next_ticket += 1;
        PersistTicket(self.next_ticket)
    }

    /// Persists acceptor, view or identity records, and runs `after_write` once they are durable.
    pub(super) fn persist_acceptor_records(
        &mut self,
        records: Vec<DurableRecord>,
        after_write: Vec<AfterAcceptorWrite>,
    ) {
        let ticket = self.issue_ticket();
        self.acceptor_log
            .push(ticket, records.clone(), after_write, self.now);
        self.effects.push(Effect::Persist { ticket, records });
    }

    /// Persists the replicated state. The caller ensures that no such write is in flight.
    pub(super) fn persist_state(
        &mut self,
        record: DurableRecord,
        position: Position,
        state: ReplicatedState,
        after_write: AfterWrite,
    ) {
        let ticket = self.issue_ticket();
        let epoch = self.epoch();
        self.durable_state.pending = Some(PendingWrite {
            ticket,
            requested_at: self.now,
            epoch,
            position,
            state,
            after_write,
        });
        self.effects.push(Effect::Persist {
            ticket,
            records: vec![record],
        });
    }

    /// Handles a write that is durable.
    pub(super) fn on_persisted(&mut self, ticket: PersistTicket) {
        if let Some(released) = self.acceptor_log.on_persisted(ticket) {
            released
                .into_iter()
                .for_each(|after| self.after_acceptor_write(after));
            return;
        }
        let Some(pending) = self
            .durable_state
            .pending
            .take_if(|pending| pending.ticket == ticket)
        else {
            return;
        };
        self.disk_failed_at = None;
        self.durable_state.position = pending.position;
        self.durable_state.state = pending.state;
        if pending.epoch == self.epoch() {
            self.after_write(pending.after_write);
        }
        self.start_joining_once_sealed();
    }

    /// Handles a failed write. If it was a write of the replicated state, this node stops serving as head.
    pub(super) fn on_persist_failed(&mut self, ticket: PersistTicket) {
        self.counters.persist_failures += 1;
        if self.acceptor_log.on_failed(ticket, self.now) {
            self.send_heartbeats();
            return;
        }
        if self
            .durable_state
            .pending
            .take_if(|pending| pending.ticket == ticket)
            .is_none()
        {
            return;
        }
        self.disk_failed_at = Some(self.now);
        self.epoch_change_required |= self.head.take().is_some();
        self.send_heartbeats();
    }

    /// Retries failed writes that are due.
    pub(super) fn retry_failed_writes(&mut self) {
        let next_ticket = &mut self.next_ticket;
        let retries =
            self.acceptor_log
                .take_due_retries(self.timing.heartbeat_interval, self.now, || {
                    *next_ticket += 1;
                    PersistTicket(*next_ticket)
                });
        for (ticket, records) in retries {
            self.effects.push(Effect::Persist { ticket, records });
        }
        let retry_due = self
            .disk_failed_at
            .is_some_and(|at| self.now - at >= self.timing.disk_retry_interval);
        if retry_due && self.durable_state.pending.is_none() {
            let record = self.durable_state.record();
            let (position, state) = (
                self.durable_state.position,
                self.durable_state.state.clone(),
            );
            self.persist_state(record, position, state, AfterWrite::Nothing);
        }
    }

    /// Runs an action deferred until acceptor or view records were durable.
    pub(super) fn after_acceptor_write(&mut self, after: AfterAcceptorWrite) {
        match after {
            AfterAcceptorWrite::Send { to, message } => {
                if message.epoch == self.epoch() {
                    self.send_message(to, message);
                }
            }
            AfterAcceptorWrite::ViewDurable { epoch } => self.on_view_durable(epoch),
            AfterAcceptorWrite::SealDurable { epoch } => {
                if epoch == self.epoch() {
                    self.acceptor.seal_durable = true;
                    self.start_joining_once_sealed();
                }
            }
        }
    }

    /// This node's health: whether it can replicate.
    pub(super) fn health(&self) -> Health {
        let oldest = self.acceptor_log.oldest_requested_at().into_iter();
        let oldest = oldest
            .chain(
                self.durable_state
                    .pending
                    .as_ref()
                    .map(|pending| pending.requested_at),
            )
            .min();
        let stalled = oldest.is_some_and(|since| self.now - since >= self.timing.write_timeout);
        if self.shutting_down {
            Health::ShuttingDown
        } else if stalled || self.acceptor_log.has_failed() || self.disk_failed_at.is_some() {
            Health::DiskFault
        } else {
            Health::Good
        }
    }
}
