//! Requests at the head: decided in order against the committed state.
//!
//! Invariant: a change is acknowledged only once it is committed, and a read or a refusal is answered only after the
//! epoch was confirmed to be the newest.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::request_queue::{MAX_REQUESTS, Origin, QueuedRequest};
use super::state_machine::Replica;
use crate::document::Digest;
use crate::message::MessageBody;
use crate::request::{Reply, Request};
use crate::state::ReplicatedState;

/// The head's decision on a request.
enum Decision {
    Reply(Reply),
    /// Waits for the write in flight.
    AwaitWrite,
    /// Waits until the epoch is confirmed.
    AwaitConfirmation,
    Append,
}

/// The fields of a change request by which it is decided.
struct ConfigurationChange {
    if_match: u64,
    version: u64,
    request: Digest,
}

impl ConfigurationChange {
    /// `None` for a read.
    fn of(request: &Request) -> Option<Self> {
        match request {
            Request::Put { if_match, document } => {
                let (version, request) = (document.version, document.request);
                Some(ConfigurationChange {
                    if_match: *if_match,
                    version,
                    request,
                })
            }
            Request::PatchBase {
                if_match,
                version,
                request,
            } => Some(ConfigurationChange {
                if_match: *if_match,
                version: *version,
                request: *request,
            }),
            Request::Read => None,
        }
    }
}

impl Replica {
    /// Queues a forwarded request, unless the queue is full or it is a retransmission, which is recognised by its
    /// origin.
    pub(super) fn on_forward(&mut self, from: SocketAddrV4, request: u64, body: Request) {
        let origin = Origin {
            address: from,
            request,
        };
        let in_flight = self.in_flight_origin() == Some(origin);
        let confirmation = self.next_confirmation();
        let deadline = self.now + self.timing.request_timeout + self.request_allowance(&body);
        let Some(head) = &mut self.head else { return };
        let is_duplicate = in_flight || head.queue.iter().any(|queued| queued.origin == origin);
        if is_duplicate || head.queue.len() >= MAX_REQUESTS {
            return;
        }
        head.queue.push_back(QueuedRequest {
            origin,
            request: body,
            deadline,
            confirmation,
        });
    }

    /// Replies to the node that forwarded the request.
    pub(super) fn reply_to(&mut self, origin: Origin, reply: Reply) {
        self.send(
            origin.address,
            MessageBody::ForwardResponse {
                request: origin.request,
                reply,
            },
        );
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
                Decision::Append => self.append_put(queued),
            }
        }
    }

    /// Returns an undecided request to the queue.
    fn requeue(&mut self, queued: QueuedRequest) {
        if let Some(head) = &mut self.head {
            head.queue.push_back(queued);
        }
    }

    /// Appends the configuration of a put.
    fn append_put(&mut self, queued: QueuedRequest) {
        if let Request::Put { document, .. } = queued.request {
            self.append(document, queued.origin);
        }
    }

    /// Decides a request by the current state.
    fn decide(&self, queued: &QueuedRequest) -> Decision {
        let Some(state) = self.serving_state() else {
            return Decision::AwaitWrite;
        };
        let confirmed = self.is_epoch_confirmed(queued.confirmation);
        let if_confirmed = |reply, skips_confirmation: bool| {
            if confirmed || skips_confirmation {
                Decision::Reply(reply)
            } else {
                Decision::AwaitConfirmation
            }
        };
        let newest = || Reply::Document(state.document().cloned());
        let Some(change) = ConfigurationChange::of(&queued.request) else {
            return if_confirmed(newest(), bug_injected!(self.bug_injection, ReadUnconfirmed));
        };
        if self.is_change_applied(state, &change) {
            return Decision::Reply(Reply::Accepted);
        }
        if self.durable_state.pending.is_some() || self.in_flight_origin().is_some() {
            return Decision::AwaitWrite;
        }
        let current = state.version();
        if change.if_match != current && !bug_injected!(self.bug_injection, IfMatchIgnored) {
            if_confirmed(
                Reply::Conflict { current },
                bug_injected!(self.bug_injection, ConflictUnconfirmed),
            )
        } else if change.version <= current {
            if_confirmed(
                Reply::NotNewer { current },
                bug_injected!(self.bug_injection, NotNewerUnconfirmed),
            )
        } else if matches!(queued.request, Request::PatchBase { .. }) {
            // No confirmation is needed: only one configuration was ever committed with this version, and the put that
            // follows is decided on its own.
            Decision::Reply(newest())
        } else {
            Decision::Append
        }
    }

    /// Whether the same change was applied before, so that a retry is acknowledged again.
    fn is_change_applied(&self, state: &ReplicatedState, change: &ConfigurationChange) -> bool {
        if bug_injected!(self.bug_injection, VersionIdentifiesChange)
            && change.version == state.version()
        {
            return true;
        }
        state.has_applied(change.request)
            && !bug_injected!(self.bug_injection, AppliedChangeNotRecognized)
    }
}
