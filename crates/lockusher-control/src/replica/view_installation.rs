//! Installation of agreed views.
//!
//! Invariant: epochs of installed views only increase, all state of the previous epoch is reset, and the node acts in
//! the new view only once its record is durable.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use super::state_machine::Replica;
use crate::acceptor::AcceptorState;
use crate::acceptor_log::AfterAcceptorWrite;
use crate::durable_record::DurableRecord;
use crate::message::MessageBody;
use crate::view::View;

impl Replica {
    /// Installs an agreed view, unless its epoch isn't above the current one.
    pub(super) fn install_view(&mut self, view: View) {
        if view.epoch <= self.epoch() {
            return;
        }
        let (epoch, voters) = (view.epoch, view.voters.len());
        log::info!(
            "{} {}: installs view {epoch}: {voters} voters, chain {:?}",
            self.now,
            self.setup.address,
            view.chain
        );
        self.counters.views_installed += 1;
        let epoch = view.epoch;
        self.view = Some(view.clone());
        self.acceptor = AcceptorState::default();
        self.head = None;
        self.epoch_change_required = false;
        self.proposal = None;
        self.proposal_attempts = 0;
        self.sealed_state_holders.clear();
        self.change_due_since = None;
        self.backoff_until = self.now;
        self.persist_acceptor_records(
            vec![DurableRecord::View(view)],
            vec![AfterAcceptorWrite::ViewDurable { epoch }],
        );
    }

    /// Handles a view that became durable: this node may act in it if it is the newest.
    pub(super) fn on_view_durable(&mut self, epoch: u64) {
        self.durable_epoch = self.durable_epoch.max(epoch);
        if epoch == self.epoch() {
            self.send_heartbeats();
            self.requests.forward_all_now();
            self.forward_requests();
        }
    }

    /// Installs a newly agreed view and announces it to all known nodes.
    pub(super) fn install_and_announce(&mut self, view: View) {
        let previous_voters = self.view.iter().flat_map(|view| view.voters.iter());
        let known = self.peers.iter().map(|(address, _)| address);
        let mut targets: BTreeSet<SocketAddrV4> = previous_voters
            .chain(&view.voters)
            .map(|voter| voter.address)
            .chain(known)
            .collect();
        targets.remove(&self.setup.address);
        self.install_view(view.clone());
        for address in targets {
            self.send(address, MessageBody::NewView(view.clone()));
        }
    }
}
