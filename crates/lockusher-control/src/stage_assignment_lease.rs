//! When a head may give orders to searchers, so that two heads never take turns within the lease.
//!
//! The fencing token of an order is the epoch of the view whose head sends it. Epochs never fall, and each has one head, so no
//! two holders use the same token. A head sends only while a majority of the voters confirmed, no longer ago than half
//! of the lease, that its epoch is the newest. A voter confirms nothing once it has accepted a newer view, so the former
//! head's last order leaves less than that after the agreement on the next view. The next head waits for twice the
//! lease from the moment it knows itself to be head.

use crate::Millis;

/// So many leases pass between becoming head, or the start of the process, and the first order.
const LEASES_BEFORE_FIRST_ORDER: u64 = 2;
/// A confirmation counts for the lease divided by this.
const CONFIRMATION_VALIDITY_DIVISOR: u64 = 2;
/// An order is given up after the lease divided by this: connection, request and answer.
const ATTEMPT_LIMIT_DIVISOR: u64 = 5;

/// A head's right to give orders.
#[derive(Clone, Debug)]
pub struct StageAssignmentLease {
    lease: Millis,
    started: Millis,
    /// The newest epoch in which this node was head, and since when no other node can have been.
    tenure: Option<Tenure>,
    head: bool,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    epoch: u64,
    since: Millis,
}

impl StageAssignmentLease {
    /// `lease` is the operator's bound; `started` is when the process started.
    pub fn new(lease: Millis, started: Millis) -> Self {
        StageAssignmentLease { lease, started, tenure: None, head: false }
    }

    /// Notes whether this node is head now, and of which epoch. Between one epoch and the next no other node can have
    /// been head, so the wait goes on; after a gap it starts anew.
    pub fn observe(&mut self, now: Millis, head: bool, epoch: u64) {
        self.head = head;
        if !head {
            return;
        }
        let follows = |tenure: &Tenure| epoch == tenure.epoch || epoch == tenure.epoch + 1;
        let since = self.tenure.filter(follows).map_or(now, |tenure| tenure.since);
        self.tenure = Some(Tenure { epoch, since });
    }

    /// The fencing token of this node's orders, once the holder before can't be giving any.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let tenure = self.tenure.filter(|_| self.head)?;
        let from = tenure.since.max(self.started) + LEASES_BEFORE_FIRST_ORDER * self.lease;
        (now >= from).then_some(tenure.epoch)
    }

    /// Whether an order may be sent now by virtue of a confirmation that was requested at `requested_at`.
    pub fn is_confirmed(&self, requested_at: Millis, now: Millis) -> bool {
        now.saturating_sub(requested_at) < self.lease / CONFIRMATION_VALIDITY_DIVISOR
    }

    /// How long an order may take altogether before it is given up, and its connection with it.
    pub fn attempt_limit(&self) -> Millis {
        (self.lease / ATTEMPT_LIMIT_DIVISOR).max(1)
    }
}
