//! Requests at the node that received them: forwarded to the head, and retransmitted, until it replies or the deadline
//! passes.

use super::effect::Effect;
use super::request_queue::{MAX_REQUESTS, PendingRequest};
use super::state_machine::Replica;
use crate::message::MessageBody;
use crate::request::{Reply, Request, RequestTicket};
use crate::time::Millis;

impl Replica {
    /// Takes an operator's request from the driver, or replies `Unavailable` if too many are pending.
    pub(super) fn on_request(&mut self, ticket: RequestTicket, request: Request) {
        if self.requests.pending.len() >= MAX_REQUESTS {
            self.effects.push(Effect::Reply {
                ticket,
                reply: Reply::Unavailable,
            });
            return;
        }
        let number = self.requests.next_number;
        self.requests.next_number += 1;
        let allowance = self.request_allowance(&request);
        let deadline = self.now + self.timing.request_timeout + allowance;
        let (received_at, forward_at) = (self.now, self.now);
        self.requests.pending.insert(
            number,
            PendingRequest {
                ticket,
                request,
                deadline,
                forward_at,
                received_at,
                resend_allowance: allowance,
            },
        );
        self.forward_requests();
    }

    /// Additional time allowed for a request that carries a configuration, in milliseconds: the document is sent to the
    /// head and down the chain.
    pub(super) fn request_allowance(&self, request: &Request) -> Millis {
        match request {
            Request::Put { document, .. } => {
                let hops = self.view.as_ref().map_or(1, |view| view.chain.len() + 1);
                self.size_allowance(document.body.len()) * hops as Millis
            }
            Request::PatchBase { .. } | Request::Read => 0,
        }
    }

    /// Forwards the pending requests that are due to the head, each with exponential backoff.
    pub(super) fn forward_requests(&mut self) {
        let Some(view) = &self.view else { return };
        let Some(head) = view.head().and_then(|head| view.address_of(head)) else {
            return;
        };
        let interval = self.timing.retransmit_interval;
        let mut due = Vec::new();
        for (number, pending) in &mut self.requests.pending {
            if self.now >= pending.forward_at {
                let backoff = interval.max(self.now - pending.received_at);
                pending.forward_at = self.now + backoff + pending.resend_allowance;
                due.push((*number, pending.request.clone()));
            }
        }
        for (request, body) in due {
            self.send(head, MessageBody::Forward { request, body });
        }
    }

    /// Expires requests past their deadline. A node that can't reach a majority expires them earlier, since the
    /// operator may reach another node that can.
    pub(super) fn on_requests_tick(&mut self) {
        let now = self.now;
        let lacks_quorum = !self.has_reachable_quorum();
        let early_timeout = self.timing.minority_request_timeout;
        let is_expired = |pending: &PendingRequest| {
            pending.deadline <= now || (lacks_quorum && now - pending.received_at >= early_timeout)
        };
        let pending = self.requests.pending.iter();
        let expired: Vec<u64> = pending
            .filter(|(_, pending)| is_expired(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.on_forward_response(number, Reply::Unavailable);
        }
        self.forward_requests();
    }

    /// Passes the reply to a pending request on to the operator: the head's reply, or this node's own when the request
    /// expires.
    pub(super) fn on_forward_response(&mut self, number: u64, reply: Reply) {
        if let Some(pending) = self.requests.pending.remove(&number) {
            self.effects.push(Effect::Reply {
                ticket: pending.ticket,
                reply,
            });
        }
    }
}
