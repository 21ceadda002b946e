//! The operator's requests: forwarded to the head, decided there in order.

use std::{collections::BTreeMap, net::SocketAddrV4};

use super::{Effect, InjectedBug, Replica, Reply, Request, RequestTicket};
use crate::{Digest, Millis, ReplicatedState, message::MessageBody};

/// Most requests that wait at one node, and at the head.
const REQUEST_LIMIT: usize = 64;

/// Requests of this node's shell that aren't answered.
#[derive(Debug)]
pub(super) struct Requests {
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
}

#[derive(Debug)]
struct Waiting {
    ticket: RequestTicket,
    request: Request,
    deadline: Millis,
    /// When it is sent to the head again; the pauses double.
    forward_at: Millis,
    since: Millis,
}

/// Who asked: the node that a request came to, and its number there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Origin {
    pub address: SocketAddrV4,
    pub request: u64,
}

/// A request at the head.
#[derive(Clone, Debug)]
pub(super) struct Queued {
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
    Wait,
    /// Waits until the epoch is confirmed.
    Confirm,
    Write,
}

/// What a request to change the configuration is decided by.
struct Change {
    if_match: u64,
    version: u64,
    request: Digest,
}

impl Change {
    /// Nothing for a read.
    fn of(request: &Request) -> Option<Self> {
        match request {
            Request::Put { if_match, document } => {
                let (version, request) = (document.version, document.request);
                Some(Change { if_match: *if_match, version, request })
            }
            Request::Base { if_match, version, request } => {
                Some(Change { if_match: *if_match, version: *version, request: *request })
            }
            Request::Read => None,
        }
    }
}

impl Requests {
    /// No requests; their numbers start here.
    pub(super) fn new(first: u64) -> Self {
        Self { waiting: BTreeMap::new(), next: first }
    }

    /// All are to be sent again, since the head may be another.
    pub(super) fn forward_again(&mut self) {
        self.waiting.values_mut().for_each(|waiting| waiting.forward_at = 0);
    }
}

impl Replica {
    // At the node asked

    pub(super) fn on_request(&mut self, ticket: RequestTicket, request: Request) {
        if self.requests.waiting.len() >= REQUEST_LIMIT {
            self.effects.push(Effect::Reply { ticket, reply: Reply::Unavailable });
            return;
        }
        let number = self.requests.next;
        self.requests.next += 1;
        let deadline = self.now + self.timing.request_timeout;
        let (since, forward_at) = (self.now, self.now);
        self.requests.waiting.insert(number, Waiting { ticket, request, deadline, forward_at, since });
        self.forward_requests();
    }

    /// Sends the waiting requests to the head, each at intervals.
    pub(super) fn forward_requests(&mut self) {
        let Some(view) = &self.view else { return };
        let Some(head) = view.head().and_then(|head| view.address_of(head)) else { return };
        let interval = self.timing.retransmit_interval;
        let mut due = Vec::new();
        for (number, waiting) in &mut self.requests.waiting {
            if self.now >= waiting.forward_at {
                waiting.forward_at = self.now + interval.max(self.now - waiting.since);
                due.push((*number, waiting.request.clone()));
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
        let is_expired =
            |waiting: &Waiting| waiting.deadline <= now || (lacks_quorum && now - waiting.since >= early);
        let waiting = self.requests.waiting.iter();
        let expired: Vec<u64> =
            waiting.filter(|(_, waiting)| is_expired(waiting)).map(|(number, _)| *number).collect();
        for number in expired {
            self.on_forward_response(number, Reply::Unavailable);
        }
        self.forward_requests();
    }

    pub(super) fn on_forward_response(&mut self, number: u64, reply: Reply) {
        if let Some(waiting) = self.requests.waiting.remove(&number) {
            self.effects.push(Effect::Reply { ticket: waiting.ticket, reply });
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
        if known || head.queue.len() >= REQUEST_LIMIT {
            return;
        }
        head.queue.push_back(Queued { origin, request: body, deadline, confirmation });
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
                Decision::Wait => self.keep(queued),
                Decision::Confirm => {
                    self.request_confirmation(queued.confirmation);
                    self.keep(queued);
                }
                Decision::Write => self.write(queued),
            }
        }
    }

    fn keep(&mut self, queued: Queued) {
        if let Some(head) = &mut self.head {
            head.queue.push_back(queued);
        }
    }

    fn write(&mut self, queued: Queued) {
        if let Request::Put { document, .. } = queued.request {
            self.begin_write(document, queued.origin);
        }
    }

    fn decide(&self, queued: &Queued) -> Decision {
        let Some(state) = self.serving_state() else { return Decision::Wait };
        let confirmed = self.is_confirmed(queued.confirmation);
        let if_confirmed = |reply, unless: InjectedBug| {
            if confirmed || self.has_bug(unless) { Decision::Reply(reply) } else { Decision::Confirm }
        };
        let newest = || Reply::Document(state.document().cloned());
        let Some(change) = Change::of(&queued.request) else {
            return if_confirmed(newest(), InjectedBug::ReadUnconfirmed);
        };
        if self.is_taken(state, &change) {
            return Decision::Reply(Reply::Accepted);
        }
        if self.durable_state.pending.is_some() || self.write_in_flight().is_some() {
            return Decision::Wait;
        }
        let current = state.version();
        if change.if_match != current && !self.has_bug(InjectedBug::IfMatchIgnored) {
            if_confirmed(Reply::Conflict { current }, InjectedBug::ConflictUnconfirmed)
        } else if change.version <= current {
            if_confirmed(Reply::NotNewer { current }, InjectedBug::NotNewerUnconfirmed)
        } else if matches!(queued.request, Request::Base { .. }) {
            // It needs no confirmation: what was committed as this version is the only one, and the put that follows is
            // decided on its own.
            Decision::Reply(newest())
        } else {
            Decision::Write
        }
    }

    fn is_taken(&self, state: &ReplicatedState, change: &Change) -> bool {
        if self.has_bug(InjectedBug::VersionIdentifiesChange) && change.version == state.version() {
            return true;
        }
        state.has_taken(change.request) && !self.has_bug(InjectedBug::TakenNotRecognized)
    }
}
