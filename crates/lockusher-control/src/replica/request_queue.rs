//! Queues of requests: at the node that received them until the head replies, and at the head until they are decided.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::request::{Request, RequestTicket};
use crate::time::Millis;

/// Maximum number of requests pending at one node, and of those queued at the head.
pub(super) const MAX_REQUESTS: usize = 64;

/// Unanswered requests of this node's driver, by number.
#[derive(Debug)]
pub(super) struct Requests {
    pub(super) pending: BTreeMap<u64, PendingRequest>,
    pub(super) next_number: u64,
}

impl Requests {
    /// No requests; numbers start at `first`.
    pub(super) fn new(first: u64) -> Self {
        Self {
            pending: BTreeMap::new(),
            next_number: first,
        }
    }

    /// Makes all requests due for forwarding, since the head may have changed.
    pub(super) fn forward_all_now(&mut self) {
        self.pending
            .values_mut()
            .for_each(|pending| pending.forward_at = 0);
    }
}

/// A request that waits for the head's reply.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) ticket: RequestTicket,
    pub(super) request: Request,
    pub(super) deadline: Millis,
    /// When it is next forwarded to the head; the delay doubles with each attempt.
    pub(super) forward_at: Millis,
    pub(super) received_at: Millis,
    /// Additional delay between retransmissions, for the transfer time of a large request.
    pub(super) resend_allowance: Millis,
}

/// Origin of a request: the node that received it, and its number there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Origin {
    pub address: SocketAddrV4,
    pub request: u64,
}

/// A request queued at the head.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) origin: Origin,
    pub(super) request: Request,
    pub(super) deadline: Millis,
    /// Sequence number of the epoch confirmation that a read or a refusal waits for.
    pub(super) confirmation: u64,
}
