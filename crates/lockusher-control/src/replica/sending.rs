//! Sending of messages: to other nodes by effects, to this node itself by the loopback queue.
//!
//! Invariant: a message that reports a change of the acceptor is sent only after the change is durable.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use super::bug_injection::{altered_by_bug, bug_injected};
use super::effect::Effect;
use super::state_machine::Replica;
use crate::acceptor_log::AfterAcceptorWrite;
use crate::message::{Message, MessageBody};
use crate::view::{Identity, Member, View};

impl Replica {
    /// A message from this node in its current epoch.
    fn message(&self, body: MessageBody) -> Message {
        let body_sent = altered_by_bug!(self.bug_injection, altered_body, body);
        Message {
            sender: self.identity,
            epoch: self.epoch(),
            body: body_sent,
        }
    }

    /// Sends a message body to a node.
    pub(super) fn send(&mut self, to: SocketAddrV4, body: MessageBody) {
        let message = self.message(body);
        self.send_message(to, message);
    }

    /// Sends a message to a node; one to this node itself is added to the loopback queue.
    pub(super) fn send_message(&mut self, to: SocketAddrV4, message: Message) {
        if to == self.setup.address {
            self.loopback.push_back(message);
        } else {
            self.effects.push(Effect::Send { to, message });
        }
    }

    /// Sends a message body to a voter of the newest view; does nothing if the node isn't one.
    pub(super) fn send_to_voter(&mut self, voter: Identity, body: MessageBody) {
        let address = self.view.as_ref().and_then(|view| view.address_of(voter));
        if let Some(address) = address {
            self.send(address, body);
        }
    }

    /// Sends a message body to all voters except `responders`.
    pub(super) fn send_to_voters_except(
        &mut self,
        responders: &BTreeSet<Identity>,
        body: MessageBody,
    ) {
        let voters: Vec<Member> = self
            .view
            .iter()
            .flat_map(|view| view.voters.iter().copied())
            .collect();
        for voter in voters
            .into_iter()
            .filter(|voter| !responders.contains(&voter.identity))
        {
            self.send(voter.address, body.clone());
        }
    }

    /// Sends a message body to the head of the newest view.
    pub(super) fn send_to_head(&mut self, body: MessageBody) {
        if let Some(head) = self.view.as_ref().and_then(View::head) {
            self.send_to_voter(head, body);
        }
    }

    /// Sends a message body once all acceptor and view records written so far are durable.
    pub(super) fn send_after_acceptor_writes(&mut self, to: SocketAddrV4, body: MessageBody) {
        let message = self.message(body);
        if bug_injected!(self.bug_injection, VoteAnsweredBeforeDurable) {
            self.send_message(to, message);
            return;
        }
        if let Some(after) = self
            .acceptor_log
            .defer(AfterAcceptorWrite::Send { to, message })
        {
            self.after_acceptor_write(after);
        }
    }
}
