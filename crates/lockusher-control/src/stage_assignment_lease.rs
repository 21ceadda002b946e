//! The lease under which a head orders searchers to change their stage.
//!
//! Owned by the head's stage assignment ([`crate::driver::stage_assignment`]), which shows it the node's role before
//! each use. It decides only, without I/O or clock.
//!
//! The fencing token of an order is the epoch of the view whose head sends it (Kleppmann, *How to do distributed
//! locking*, 2016). Epochs never fall, and each has one head, so no two lease holders use the same token. A head sends
//! only while a majority of the voters confirmed, no longer ago than half of the lease, that its epoch is the newest. A
//! voter confirms nothing once it has accepted a newer view, so the former head's last order leaves less than that
//! after the agreement on the next view. The next head waits for twice the lease from the moment it knows itself to be
//! head.
//!
//! Invariant: orders of two heads reach searchers at least a lease apart, and with rising fencing tokens.

use crate::chain_role::ChainRole;
use crate::time::Millis;

/// So many leases pass between becoming head, or the start of the process, and the first order.
const LEASES_BEFORE_FIRST_ORDER: u64 = 2;
/// A confirmation is valid for the lease divided by this.
const CONFIRMATION_VALIDITY_DIVISOR: u64 = 2;
/// An order is given up after the lease divided by this: connection, request and answer.
const ATTEMPT_LIMIT_DIVISOR: u64 = 5;

/// A head's right to send orders.
#[derive(Clone, Debug)]
pub struct StageAssignmentLease {
    duration: Millis,
    process_started_at: Millis,
    /// The newest epoch in which this node was head; none if it never was.
    tenure: Option<Tenure>,
    is_head: bool,
}

/// A time in which no other node can have been head.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    /// The newest epoch of it.
    epoch: u64,
    /// When it began.
    since: Millis,
}

impl Tenure {
    /// Whether no other node can have been head between this tenure's epoch and `epoch`.
    fn continues_in(&self, epoch: u64) -> bool {
        epoch == self.epoch || epoch == self.epoch + 1
    }
}

impl StageAssignmentLease {
    /// `duration` is the operator's bound, in milliseconds; `process_started_at` is a time of the steady clock.
    pub fn new(duration: Millis, process_started_at: Millis) -> Self {
        StageAssignmentLease {
            duration,
            process_started_at,
            tenure: None,
            is_head: false,
        }
    }

    /// Takes this node's role now. Between one epoch and the next no other node can have been head, so the wait goes
    /// on; after a gap it starts anew.
    pub fn observe(&mut self, now: Millis, role: ChainRole) {
        self.is_head = role.is_head;
        if !role.is_head {
            return;
        }
        let continued = self.tenure.filter(|tenure| tenure.continues_in(role.epoch));
        let since = continued.map_or(now, |tenure| tenure.since);
        self.tenure = Some(Tenure {
            epoch: role.epoch,
            since,
        });
    }

    /// The fencing token of this node's orders, once the holder before can't be sending any.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let tenure = self.tenure.filter(|_| self.is_head)?;
        let wait_from = tenure.since.max(self.process_started_at);
        let has_waited = now >= wait_from + LEASES_BEFORE_FIRST_ORDER * self.duration;
        has_waited.then_some(tenure.epoch)
    }

    /// Whether an order may be sent now by virtue of a confirmation that was requested at `requested_at`.
    pub fn is_confirmed(&self, requested_at: Millis, now: Millis) -> bool {
        now.saturating_sub(requested_at) < self.duration / CONFIRMATION_VALIDITY_DIVISOR
    }

    /// How long an order may take altogether, in milliseconds, before it is given up and its connection reset.
    pub fn attempt_limit(&self) -> Millis {
        (self.duration / ATTEMPT_LIMIT_DIVISOR).max(1)
    }
}
