//! The lease under which a head orders searchers to change their stage.
//!
//! Owned by the head's stage assignment ([`crate::driver::stage_assignment`]), which reports the node's role to it
//! before each use. It makes decisions only: it has no I/O and no clock.
//!
//! The fencing token of an order is the epoch of the view whose head sends it (Kleppmann, *How to do distributed
//! locking*, 2016). Epochs never decrease, and each has one head, so no two lease holders use the same token. A head
//! sends an order only if a majority of the voters has confirmed, less than half a lease ago, that its epoch is the
//! newest. A voter that has accepted a newer view no longer confirms, so the former head sends its last order less than
//! half a lease after the agreement on the next view. The next head waits for two leases after it has learned that it
//! is head.
//!
//! Invariant: orders of different heads reach searchers at least one lease apart, and with increasing fencing tokens.

use crate::chain_role::ChainRole;
use crate::time::Millis;

/// Number of leases to wait after becoming head, and after the start of the process, before the first order.
const LEASES_BEFORE_FIRST_ORDER: u64 = 2;
/// A confirmation is valid for the lease's duration divided by this.
const CONFIRMATION_VALIDITY_DIVISOR: u64 = 2;
/// Connection, request and response of an order time out after the lease's duration divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u64 = 5;

/// Determines whether this node may send orders, and with which fencing token.
#[derive(Clone, Debug)]
pub struct StageAssignmentLease {
    duration_ms: Millis,
    process_started_at: Millis,
    /// The latest period in which this node was head; none if it never was.
    head_period: Option<HeadPeriod>,
    is_head: bool,
}

/// A period in which no other node can have been head.
#[derive(Clone, Copy, Debug)]
struct HeadPeriod {
    /// The newest epoch of the period.
    epoch: u64,
    /// Start of the period.
    since: Millis,
}

impl HeadPeriod {
    /// Whether no other node can have been head between this period's epoch and `epoch`.
    fn continues_in(&self, epoch: u64) -> bool {
        epoch == self.epoch || epoch == self.epoch + 1
    }
}

impl StageAssignmentLease {
    /// Creates a lease that this node doesn't hold yet. `duration_ms` is the configured `leaseMs`; `process_started_at`
    /// is a time of the monotonic clock.
    pub fn new(duration_ms: Millis, process_started_at: Millis) -> Self {
        StageAssignmentLease {
            duration_ms,
            process_started_at,
            head_period: None,
            is_head: false,
        }
    }

    /// Records this node's current role. If this node is head in the same or the directly following epoch, no other
    /// node can have been head in between, and the wait continues; otherwise it starts again.
    pub fn observe(&mut self, now: Millis, role: ChainRole) {
        self.is_head = role.is_head;
        if !role.is_head {
            return;
        }
        let continued = self
            .head_period
            .filter(|head_period| head_period.continues_in(role.epoch));
        let since = continued.map_or(now, |head_period| head_period.since);
        self.head_period = Some(HeadPeriod {
            epoch: role.epoch,
            since,
        });
    }

    /// The fencing token of this node's orders, once the former lease holder can't send any more.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let head_period = self.head_period.filter(|_| self.is_head)?;
        let wait_from = head_period.since.max(self.process_started_at);
        let has_waited = now >= wait_from + LEASES_BEFORE_FIRST_ORDER * self.duration_ms;
        has_waited.then_some(head_period.epoch)
    }

    /// Whether a confirmation of this node's epoch that was requested at `requested_at` is still valid.
    pub fn is_confirmation_valid(&self, requested_at: Millis, now: Millis) -> bool {
        now.saturating_sub(requested_at) < self.duration_ms / CONFIRMATION_VALIDITY_DIVISOR
    }

    /// Timeout of a whole order, in milliseconds, after which it is abandoned and its connection reset.
    pub fn attempt_timeout_ms(&self) -> Millis {
        (self.duration_ms / ATTEMPT_TIMEOUT_DIVISOR).max(1)
    }
}
