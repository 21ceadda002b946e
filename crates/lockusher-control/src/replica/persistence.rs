//! Writes to the disk: what is asked for, and what follows when they are durable or refused.
//!
//! Records of the agreement go through `acceptor_log` and are retried until they are durable; of the replicated state one
//! write at a time is in flight, and a refused one ends the node's service as head.

use super::effect::Effect;
use super::state_machine::Replica;
use crate::acceptor_log::AfterAcceptorWrite;
use crate::durable_record::{DurableRecord, PersistTicket};
use crate::durable_state::{AfterWrite, PendingWrite};
use crate::message::Health;
use crate::position::Position;
use crate::state::ReplicatedState;

impl Replica {
    /// A ticket that no other write of this process has.
    fn issue_ticket(&mut self) -> PersistTicket {
        self.next_ticket += 1;
        PersistTicket(self.next_ticket)
    }

    /// Writes records of the agreement, and does this once they are durable.
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

    /// Writes the replicated state. The caller has checked that no such write is in flight.
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

    /// A write is durable.
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

    /// A write was refused. The node's service as head ends if it was one of the state.
    pub(super) fn on_persist_failed(&mut self, ticket: PersistTicket) {
        self.counters.persist_failures += 1;
        if self.acceptor_log.on_refused(ticket, self.now) {
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

    /// Repeats writes that the disk refused.
    pub(super) fn retry_refused_writes(&mut self) {
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

    /// Does what waited for records of the agreement.
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

    /// Whether this node can replicate.
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
        } else if stalled || self.acceptor_log.has_refused() || self.disk_failed_at.is_some() {
            Health::DiskFault
        } else {
            Health::Good
        }
    }
}
