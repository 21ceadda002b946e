//! Calls of the operators: target node, duplicates and timeouts, and the handling of replies.

use std::ops::Range;

use lockusher_control::{Event, Millis, Reply, Request, RequestTicket};
use rand::RngExt;

use crate::{
    cluster::Cluster,
    operator::{Call, Change, DelayedCall, Operator},
    violation::ModelViolation,
};

/// Timeout after which an operator abandons a call.
const OPERATOR_TIMEOUT_MS: Millis = 1000;
/// One in this many calls with a change is duplicated; the duplicate reaches a random machine later.
const DUPLICATE_ONE_CALL_IN: u32 = 8;
/// Delay of a duplicated call.
const CALL_DELAY_MS: Range<Millis> = 1..12_000;

impl Cluster {
    /// Lets each idle operator make its next call.
    pub(crate) fn step_operators(&mut self) {
        for number in 0..self.operators.len() {
            self.step_operator(number, true);
        }
    }

    /// Lets an operator make its next call if it is idle: a read, if `may_read`, or a change.
    pub(crate) fn step_operator(&mut self, number: usize, may_read: bool) {
        self.abandon_expired_call(number);
        let operator = &mut self.operators[number];
        if operator.call.is_some() || self.now < operator.idle_until {
            return;
        }
        if may_read && operator.change.is_none() && self.random.random_ratio(1, 3) {
            self.call_any_node(number, Request::Read, None);
            return;
        }
        let change = operator.next_change(&mut self.random);
        self.model.record_sent(&change);
        self.call_any_node(number, change.request(), Some(change));
    }

    /// Makes an operator abandon its call, if it has one, and send its next change to this machine.
    pub(crate) fn send_change_to(&mut self, node: usize, number: usize) {
        self.abandon_call(number);
        let change = self.operators[number].next_change(&mut self.random);
        self.model.record_sent(&change);
        self.call_node(node, number, change.request(), Some(change));
    }

    /// Abandons an operator's call if it has timed out.
    pub(crate) fn abandon_expired_call(&mut self, number: usize) {
        let call = self.operators[number].call.as_ref();
        if call.is_some_and(|call| call.deadline <= self.now) {
            self.abandon_call(number);
        }
    }

    /// Abandons an operator's call, if it has one.
    pub(crate) fn abandon_call(&mut self, number: usize) {
        let operator = &mut self.operators[number];
        if operator.call.take().is_some() {
            operator.discard_patch_base();
            self.outcome.unanswered += 1;
        }
    }

    /// Sends an operator's request to a random running machine, preferably another one than the last.
    pub(crate) fn call_any_node(
        &mut self,
        number: usize,
        request: Request,
        change: Option<Change>,
    ) {
        let mut running: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].runs(self.now))
            .collect();
        if running.len() > 1 {
            running.retain(|node| Some(*node) != self.operators[number].last_node);
        }
        if running.is_empty() {
            return;
        }
        let node = running[self.random.random_range(0..running.len())];
        self.call_node(node, number, request, change);
    }

    /// Sends an operator's request to this machine. A change may be duplicated.
    pub(crate) fn call_node(
        &mut self,
        node: usize,
        number: usize,
        request: Request,
        change: Option<Change>,
    ) {
        self.operators[number].last_node = Some(node);
        self.next_request += 1;
        let ticket = RequestTicket(self.next_request);
        let floor = self.model.floor();
        let deadline = self.now + OPERATOR_TIMEOUT_MS;
        self.operators[number].call = Some(Call {
            ticket,
            deadline,
            floor,
            is_read: change.is_none(),
        });
        if change.is_some() && self.random.random_ratio(1, DUPLICATE_ONE_CALL_IN) {
            self.delay_call(request.clone());
        }
        self.handle_event(node, Event::Request { ticket, request });
    }

    /// Schedules a duplicate of the call for a random machine, which need not be running now.
    fn delay_call(&mut self, request: Request) {
        let node = self.random.random_range(0..self.nodes.len());
        let due = self.now + self.random.random_range(CALL_DELAY_MS);
        self.delayed_calls.push(DelayedCall { due, node, request });
    }

    /// Delivers delayed calls that are due: to a frozen process once it runs again, and not at all to one that is down.
    pub(crate) fn deliver_delayed_calls(&mut self) {
        let now = self.now;
        let (due, later): (Vec<DelayedCall>, Vec<DelayedCall>) =
            std::mem::take(&mut self.delayed_calls)
                .into_iter()
                .partition(|call| call.due <= now);
        self.delayed_calls = later;
        for call in due {
            let node = &self.nodes[call.node];
            if node.frozen_until > now && node.replica.is_some() {
                self.delayed_calls.push(DelayedCall {
                    due: node.frozen_until,
                    ..call
                });
            } else if node.runs(now) {
                self.next_request += 1;
                let ticket = RequestTicket(self.next_request);
                self.handle_event(
                    call.node,
                    Event::Request {
                        ticket,
                        request: call.request,
                    },
                );
            }
        }
    }

    /// Sends a request to one machine and waits for the reply for up to 1 s.
    pub(crate) fn request(&mut self, number: usize, request: Request) -> Option<Reply> {
        self.request_within(number, request, OPERATOR_TIMEOUT_MS)
    }

    /// Sends a request to one machine and waits for the reply for up to `timeout`; see [`Cluster::await_reply`] for a later
    /// one.
    pub fn request_within(
        &mut self,
        number: usize,
        request: Request,
        timeout: Millis,
    ) -> Option<Reply> {
        self.next_request += 1;
        let ticket = RequestTicket(self.next_request);
        self.pending_request = Some((ticket, None));
        self.handle_event(number, Event::Request { ticket, request });
        self.await_reply(timeout)
    }

    /// Waits for the reply to the latest request of [`Cluster::request_within`].
    pub fn await_reply(&mut self, timeout: Millis) -> Option<Reply> {
        let deadline = self.now + timeout;
        while self.now < deadline {
            if let Some((_, Some(reply))) = &self.pending_request {
                return Some(reply.clone());
            }
            self.advance(self.now + 5);
        }
        None
    }

    /// Handles a reply and checks it against the reference model. Replies to abandoned and duplicated calls are ignored.
    pub(crate) fn on_reply(&mut self, ticket: RequestTicket, reply: Reply) {
        if let Some((pending, pending_reply)) = &mut self.pending_request
            && *pending == ticket
        {
            *pending_reply = Some(reply);
            return;
        }
        let is_caller = |operator: &&mut Operator| {
            operator
                .call
                .as_ref()
                .is_some_and(|call| call.ticket == ticket)
        };
        let Some(operator) = self.operators.iter_mut().find(is_caller) else {
            return;
        };
        let Some(call) = operator.call.take() else {
            return;
        };
        operator.idle_until = self.now + self.random.random_range(0..100);
        if call.is_read {
            self.on_read_reply(ticket, call.floor, reply);
            return;
        }
        let Some(change) = operator.change.clone() else {
            return;
        };
        match reply {
            Reply::Accepted => {
                operator.change = None;
                operator.known_version = operator.known_version.max(change.version);
                if !change.is_resent {
                    operator.acknowledged.push(change.clone().without_base());
                }
                self.model
                    .record_acknowledged(change.identity, self.now, &mut self.violations);
            }
            Reply::Conflict { current } | Reply::NotNewer { current } => {
                operator.change = None;
                operator.known_version = current;
                self.model.record_rejected(
                    change.identity,
                    call.floor,
                    self.now,
                    &mut self.violations,
                );
            }
            Reply::Unavailable => {
                operator.discard_patch_base();
                self.outcome.unanswered += 1;
            }
            Reply::Document(document) => {
                if !operator.receive_base(document) {
                    self.violations
                        .report(self.now, ModelViolation::UnexpectedDocument { ticket });
                }
            }
        }
    }

    /// Checks the reply to a read that began when `floor` was the highest version acknowledged or read.
    pub(crate) fn on_read_reply(&mut self, ticket: RequestTicket, floor: u64, reply: Reply) {
        match reply {
            Reply::Document(document) => {
                self.outcome.reads += 1;
                self.model
                    .record_read(document.as_ref(), floor, self.now, &mut self.violations);
            }
            Reply::Unavailable => self.outcome.unanswered += 1,
            reply => self.violations.report(
                self.now,
                ModelViolation::UnexpectedReadReply { reply, ticket },
            ),
        }
    }
}
