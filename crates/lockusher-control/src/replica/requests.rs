//! The operator's requests: forwarded to the head, decided there in order.

use std::{collections::BTreeMap, net::SocketAddrV4};

use super::{Effect, Replica, Reply, Request, RequestTicket, bug_injection::bug_injected};
use crate::{Digest, Millis, ReplicatedState, message::MessageBody};

/// Most requests that wait at one node, and at the head.
const MAX_REQUESTS: usize = 64;

/// Requests of this node's shell that aren't answered.
#[derive(Debug)]
pub(super) struct Requests {
    pending: BTreeMap<u64, PendingRequest>,
    next_number: u64,
}

#[derive(Debug)]
struct PendingRequest {
    ticket: RequestTicket,
    request: Request,
    deadline: Millis,
    /// When it is sent to the head again; the pauses double.
    forward_at: Millis,
    received_at: Millis,
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
    origin: Origin,
    request: Request,
    deadline: Millis,
    /// Refusals and reads wait for the epoch confirmation with this sequence number.
    confirmation: u64,
}

/// What is to be done with a request at the head.
enum Decision {
    Reply(Reply),
    /// Waits for the entry under way.
    AwaitWrite,
    /// Waits until the epoch is confirmed.
    AwaitConfirmation,
    Append,
}

/// What a request to change the configuration is decided by.
struct ConfigurationChange {
    if_match: u64,
    version: u64,
    request: Digest,
}

impl ConfigurationChange {
    /// Nothing for a read.
    fn of(request: &Request) -> Option<Self> {
        match request {
            Request::Put { if_match, document } => {
                let (version, request) = (document.version, document.request);
                Some(ConfigurationChange { if_match: *if_match, version, request })
            }
            Request::Base { if_match, version, request } => {
                Some(ConfigurationChange { if_match: *if_match, version: *version, request: *request })
            }
            Request::Read => None,
        }
    }
}

impl Requests {
    /// No requests; their numbers start here.
    pub(super) fn new(first: u64) -> Self {
        Self { pending: BTreeMap::new(), next_number: first }
    }

    /// All are to be sent again, since the head may be another.
    pub(super) fn forward_all_now(&mut self) {
        self.pending.values_mut().for_each(|pending| pending.forward_at = 0);
    }
}

impl Replica {
    // At the node asked

    pub(super) fn on_request(&mut self, ticket: RequestTicket, request: Request) {
        if self.requests.pending.len() >= MAX_REQUESTS {
            self.effects.push(Effect::Reply { ticket, reply: Reply::Unavailable });
            return;
        }
        let number = self.requests.next_number;
        self.requests.next_number += 1;
        let deadline = self.now + self.timing.request_timeout;
        let (received_at, forward_at) = (self.now, self.now);
        self.requests
            .pending
            .insert(number, PendingRequest { ticket, request, deadline, forward_at, received_at });
        self.forward_requests();
    }

    /// Sends the waiting requests to the head, each at intervals.
    pub(super) fn forward_requests(&mut self) {
        let Some(view) = &self.view else { return };
        let Some(head) = view.head().and_then(|head| view.address_of(head)) else { return };
        let interval = self.timing.retransmit_interval;
        let mut due = Vec::new();
        for (number, pending) in &mut self.requests.pending {
            if self.now >= pending.forward_at {
                pending.forward_at = self.now + interval.max(self.now - pending.received_at);
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
        let expired: Vec<u64> =
            pending.filter(|(_, pending)| is_expired(pending)).map(|(number, _)| *number).collect();
        for number in expired {
            self.on_forward_response(number, Reply::Unavailable);
        }
        self.forward_requests();
    }

    pub(super) fn on_forward_response(&mut self, number: u64, reply: Reply) {
        if let Some(pending) = self.requests.pending.remove(&number) {
            self.effects.push(Effect::Reply { ticket: pending.ticket, reply });
        }
    }

    // At the head

    pub(super) fn on_forward(&mut self, from: SocketAddrV4, request: u64, body: Request) {
        let origin = Origin { address: from, request };
        let in_flight = self.write_in_flight() == Some(origin);
        let confirmation = self.next_confirmation();
        let deadline = self.now + self.timing.request_timeout;
        let Some(head) = &mut self.head else { return };
        let known = in_flight || head.queue.iter().any(|queued| queued.origin == origin);
        if known || head.queue.len() >= MAX_REQUESTS {
            return;
        }
        head.queue.push_back(QueuedRequest { origin, request: body, deadline, confirmation });
    }

    pub(super) fn reply_to(&mut self, origin: Origin, reply: Reply) {
        self.send(origin.address, MessageBody::ForwardResponse { request: origin.request, reply });
    }

    /// Decides the requests that can be decided now, in order.
    pub(super) fn serve_queue(&mut self) {
        if self.serving_state().is_none() {
            return;
        }
        let Some(head) = &mut self.head else { return };
        for queued in std::mem::take(&mut head.queue) {
            if queued.deadline <= self.now {
                continue;
            }
            match self.decide(&queued) {
                Decision::Reply(reply) => self.reply_to(queued.origin, reply),
                Decision::AwaitWrite => self.requeue(queued),
                Decision::AwaitConfirmation => {
                    self.request_confirmation(queued.confirmation);
                    self.requeue(queued);
                }
                Decision::Append => self.write(queued),
            }
        }
    }

    fn requeue(&mut self, queued: QueuedRequest) {
        if let Some(head) = &mut self.head {
            head.queue.push_back(queued);
        }
    }

    fn write(&mut self, queued: QueuedRequest) {
        if let Request::Put { document, .. } = queued.request {
            self.append(document, queued.origin);
        }
    }

    fn decide(&self, queued: &QueuedRequest) -> Decision {
        let Some(state) = self.serving_state() else { return Decision::AwaitWrite };
        let confirmed = self.is_epoch_confirmed(queued.confirmation);
        let if_confirmed = |reply, skips_confirmation: bool| {
            if confirmed || skips_confirmation { Decision::Reply(reply) } else { Decision::AwaitConfirmation }
        };
        let newest = || Reply::Document(state.document().cloned());
        let Some(change) = ConfigurationChange::of(&queued.request) else {
            return if_confirmed(newest(), bug_injected!(self.bug_injection, ReadUnconfirmed));
        };
        if self.is_already_taken(state, &change) {
            return Decision::Reply(Reply::Accepted);
        }
        if self.durable_state.pending.is_some() || self.write_in_flight().is_some() {
            return Decision::AwaitWrite;
        }
        let current = state.version();
        if change.if_match != current && !bug_injected!(self.bug_injection, IfMatchIgnored) {
            if_confirmed(Reply::Conflict { current }, bug_injected!(self.bug_injection, ConflictUnconfirmed))
        } else if change.version <= current {
            if_confirmed(Reply::NotNewer { current }, bug_injected!(self.bug_injection, NotNewerUnconfirmed))
        } else if matches!(queued.request, Request::Base { .. }) {
            // It needs no confirmation: what was committed as this version is the only one, and the put that follows is
            // decided on its own.
            Decision::Reply(newest())
        } else {
            Decision::Append
        }
    }

    fn is_already_taken(&self, state: &ReplicatedState, change: &ConfigurationChange) -> bool {
        if bug_injected!(self.bug_injection, VersionIdentifiesChange) && change.version == state.version() {
            return true;
        }
        state.has_applied(change.request) && !bug_injected!(self.bug_injection, TakenNotRecognized)
    }
}
