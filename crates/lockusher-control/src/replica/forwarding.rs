//! Requests at the node that was asked: forwarded to the head, and retransmitted, until it replies or the deadline passes.

use super::effect::Effect;
use super::request_queue::{MAX_REQUESTS, PendingRequest};
use super::state_machine::Replica;
use crate::message::MessageBody;
use crate::request::{Reply, Request, RequestTicket};
use crate::time::Millis;

impl Replica {
    /// The driver hands over a request of the operator.
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

    /// Time beyond the usual until a request can be decided, in milliseconds: its configuration goes to the head and down the
    /// chain.
    pub(super) fn request_allowance(&self, request: &Request) -> Millis {
        match request {
            Request::Put { document, .. } => {
                let links = self.view.as_ref().map_or(1, |view| view.chain.len() + 1);
                self.size_allowance(document.body.len()) * links as Millis
            }
            Request::Base { .. } | Request::Read => 0,
        }
    }

    /// Sends the waiting requests to the head, each at intervals.
    pub(super) fn forward_requests(&mut self) {
        let Some(view) = &self.view else { return };
        let Some(head) = view.head().and_then(|head| view.address_of(head)) else {
            return;
        };
        let interval = self.timing.retransmit_interval;
        let mut due = Vec::new();
        for (number, pending) in &mut self.requests.pending {
            if self.now >= pending.forward_at {
                let backed_off = interval.max(self.now - pending.received_at);
                pending.forward_at = self.now + backed_off + pending.resend_allowance;
                due.push((*number, pending.request.clone()));
            }
        }
        for (request, body) in due {
            self.send(head, MessageBody::Forward { request, body });
        }
    }

    /// Gives up requests that have waited for too long. A node that is out of touch with the majority does so
    /// early, since the operator may find another one that isn't.
    pub(super) fn on_requests_tick(&mut self) {
        let now = self.now;
        let lacks_quorum = !self.has_reachable_quorum();
        let early = self.timing.minority_request_timeout;
        let is_expired = |pending: &PendingRequest| {
            pending.deadline <= now || (lacks_quorum && now - pending.received_at >= early)
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

    /// The head, or this node in its place, replies to a pending request.
    pub(super) fn on_forward_response(&mut self, number: u64, reply: Reply) {
        if let Some(pending) = self.requests.pending.remove(&number) {
            self.effects.push(Effect::Reply {
                ticket: pending.ticket,
                reply,
            });
        }
    }
}
