//! This node as an acceptor in the agreement on the next view: it answers prepare and accept requests.
//!
//! Invariant: a node that isn't a voter of the newest view under its current identity answers neither.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::durable_record::DurableRecord;
use crate::message::MessageBody;
use crate::proposal::ProposalNumber;
use crate::view::View;

impl Replica {
    /// Phase 1b: promises to accept no lower number, and reports the accepted view.
    pub(super) fn on_prepare(&mut self, from: SocketAddrV4, proposal_number: ProposalNumber) {
        if !self.acts_as_acceptor() {
            return;
        }
        self.highest_proposal_counter = self.highest_proposal_counter.max(proposal_number.counter);
        let is_new = proposal_number > self.acceptor.promised;
        if let Err(promised) = self.acceptor.prepare(proposal_number)
            && !bug_injected!(self.bug_injection, LowerProposalAccepted)
        {
            self.send(from, MessageBody::ProposalRejected { promised });
            return;
        }
        if is_new {
            let epoch = self.epoch();
            self.persist_acceptor_records(
                vec![DurableRecord::Promise {
                    epoch,
                    proposal_number,
                }],
                Vec::new(),
            );
        }
        let accepted = self.acceptor.accepted.clone();
        self.send_after_acceptor_writes(
            from,
            MessageBody::PrepareResponse {
                proposal_number,
                accepted,
            },
        );
    }

    /// Phase 2b: accepts the view, unless a higher number was promised.
    pub(super) fn on_accept(
        &mut self,
        from: SocketAddrV4,
        proposal_number: ProposalNumber,
        view: View,
    ) {
        let epoch = self.epoch();
        if !self.acts_as_acceptor() || view.epoch != epoch + 1 {
            return;
        }
        let is_new = self
            .acceptor
            .accepted
            .as_ref()
            .is_none_or(|accepted| accepted.proposal_number != proposal_number);
        if bug_injected!(self.bug_injection, LowerProposalAccepted) {
            self.acceptor.promised = proposal_number;
        }
        if let Err(promised) = self.acceptor.accept(proposal_number, view.clone()) {
            self.send(from, MessageBody::ProposalRejected { promised });
            return;
        }
        if is_new {
            self.persist_acceptor_records(
                vec![DurableRecord::Accept {
                    epoch,
                    proposal_number,
                    view,
                }],
                Vec::new(),
            );
        }
        self.send_after_acceptor_writes(from, MessageBody::AcceptResponse { proposal_number });
    }

    /// Whether this node votes in the newest view.
    fn acts_as_acceptor(&self) -> bool {
        self.is_voter()
            || (bug_injected!(self.bug_injection, NonVotersCount) && self.view.is_some())
    }
}
