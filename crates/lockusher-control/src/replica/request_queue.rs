//! Requests that wait: at the node that was asked for the head's reply, and at the head for a decision.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::request::{Request, RequestTicket};
use crate::time::Millis;

/// Most requests that wait at one node, and most in the queue of the head.
pub(super) const MAX_REQUESTS: usize = 64;

/// Requests of this node's driver that aren't answered.
#[derive(Debug)]
pub(super) struct Requests {
    pub(super) pending: BTreeMap<u64, PendingRequest>,
    pub(super) next_number: u64,
}

impl Requests {
    /// No requests; their numbers start here.
    pub(super) fn new(first: u64) -> Self {
        Self {
            pending: BTreeMap::new(),
            next_number: first,
        }
    }

    /// All are to be forwarded at once, since the head may be another.
    pub(super) fn forward_all_now(&mut self) {
        self.pending
            .values_mut()
            .for_each(|pending| pending.forward_at = 0);
    }
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) ticket: RequestTicket,
    pub(super) request: Request,
    pub(super) deadline: Millis,
    /// When it is forwarded to the head again; the delays double.
    pub(super) forward_at: Millis,
    pub(super) received_at: Millis,
    /// Time that a copy of it may take beyond the usual, before another is sent.
    pub(super) resend_allowance: Millis,
}

/// Who asked: the node that a request came to, and its number there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Origin {
    pub address: SocketAddrV4,
    pub request: u64,
}

/// A request at the head.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) origin: Origin,
    pub(super) request: Request,
    pub(super) deadline: Millis,
    /// Refusals and reads wait for the epoch confirmation with this sequence number.
    pub(super) confirmation: u64,
}
