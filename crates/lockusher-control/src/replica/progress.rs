//! Progress of the other nodes, which the head observes by their heartbeats, and detection of lagging members.

use std::net::SocketAddrV4;

use super::repair::DetectedBy;
use super::state_machine::Replica;
use crate::message::{Heartbeat, MessageBody, TransferPurpose};
use crate::position::Position;
use crate::view::Identity;

impl Replica {
    /// As head, evaluates a node's progress by its heartbeat and sends it what it lacks.
    pub(super) fn on_replica_heartbeat(
        &mut self,
        from: SocketAddrV4,
        sender: Identity,
        heartbeat: &Heartbeat,
    ) {
        let (Some(head), Some(view)) = (&self.head, &self.view) else {
            return;
        };
        let committed = Position {
            epoch: view.epoch,
            index: head.index,
        };
        let lags = heartbeat.committed != committed;
        if !view.in_chain(sender) {
            if head.established && !self.acceptor.sealed {
                self.update_learner(from, heartbeat, lags);
            }
            return;
        }
        if !head.synchronised.contains(&sender) {
            self.send_base(
                from,
                TransferPurpose::Synchronise,
                Some(heartbeat.history_digest),
            );
            return;
        }
        let (index, history_digest) = (head.index, head.base.history_digest());
        if head.established && lags {
            self.send(
                from,
                MessageBody::Committed {
                    index,
                    history_digest,
                },
            );
        }
        self.repair_if_different(
            sender,
            heartbeat.position,
            heartbeat.history_digest,
            DetectedBy::Heartbeat,
        );
        if heartbeat.position.epoch == committed.epoch {
            self.on_append_stored(sender, heartbeat.position.index);
        }
    }

    /// Whether a member has delayed the chain for too long, so that the next view should exclude it.
    pub(super) fn is_lagging(&self, member: Identity) -> bool {
        let (Some(head), Some(view)) = (&self.head, &self.view) else {
            return false;
        };
        // A sealed head sends no entries, so members can't be lagging.
        if self.acceptor.sealed
            || !view.in_chain(member)
            || self.now < self.started_at + self.timing.startup_grace
        {
            return false;
        }
        let unsynchronised = !head.synchronised.contains(&member);
        let synchronise_limit = self.timing.write_timeout + self.state_allowance();
        if unsynchronised && self.now - head.activated_at >= synchronise_limit {
            return true;
        }
        let hops = view.chain.iter().position(|other| *other == member);
        let allowance = self.entry_allowance(hops.unwrap_or(0));
        head.in_flight.as_ref().is_some_and(|in_flight| {
            let limit = self.timing.write_timeout + allowance;
            !in_flight.stored_by.contains(&member) && self.now - in_flight.started_at >= limit
        })
    }
}
