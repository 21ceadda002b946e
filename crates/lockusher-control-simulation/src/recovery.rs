//! Recovery after the faults of a run: writes are acknowledged again, all machines become members, and no acknowledged
//! change is lost.

use lockusher_control::{Millis, Request};

use crate::{
    cluster::{ACKNOWLEDGE_MS, CATCH_UP_MS, Cluster},
    violation::RecoveryViolation,
};

/// Bound for all nodes to learn the newest configuration.
const DISSEMINATION_MS: Millis = 2000;

impl Cluster {
    /// Ends all faults and checks that the cluster recovers in time and retains all acknowledged changes.
    pub fn run_recovery(&mut self) {
        if !self.violations.is_empty() {
            return;
        }
        self.end_faults();
        let faults_ended_at = self.now;
        let Some(version) = self.write_until_acknowledged(ACKNOWLEDGE_MS) else {
            self.violations
                .report(self.now, RecoveryViolation::NoWriteAcknowledged);
            return;
        };
        self.outcome.recovery_ms = self.now - faults_ended_at;
        let remaining = CATCH_UP_MS.saturating_sub(self.outcome.recovery_ms);
        if self.options.loses_zones() {
            self.check_voter_spread(remaining);
        } else if self.run_until_all_members(remaining).is_none() {
            self.violations
                .report(self.now, RecoveryViolation::NotAllMembers);
        }
        self.outcome.settle_ms = self.now - faults_ended_at;
        self.check_dissemination(version);
        self.check_final_read();
        self.model.check_order(self.now, &mut self.violations);
    }

    /// Checks that every voter becomes a member of the chain and that the loss of any zone would leave a majority. Machines
    /// that aren't voters need not be members.
    fn check_voter_spread(&mut self, limit: Millis) {
        let spread = self.run_until(limit, |cluster| {
            let present = cluster.present().into_iter();
            let mut replicas = present.map(|number| (number, cluster.replica(number)));
            replicas.all(|(number, replica)| {
                replica.is_some_and(|replica| {
                    let view = replica.view();
                    let votes = view.is_some_and(|view| view.is_voter(replica.identity()));
                    replica.domain_shortfall() == 0 && (!votes || cluster.is_member(number))
                })
            })
        });
        if spread.is_none() {
            self.violations
                .report(self.now, RecoveryViolation::VotersNotSpread);
        }
    }

    /// Lets one operator write, with retries. Returns the version acknowledged, or `None` after `limit`.
    pub(crate) fn write_until_acknowledged(&mut self, limit: Millis) -> Option<u64> {
        let deadline = self.now + limit;
        self.operators.truncate(1);
        self.operators[0].change = None;
        self.operators[0].call = None;
        self.operators[0].idle_until = 0;
        let acknowledged_before = self.operators[0].acknowledged.len();
        while self.now < deadline {
            if self.operators[0].call.is_none() && self.operators[0].change.is_none() {
                let change = self.operators[0].new_full_document(&mut self.random);
                self.operators[0].change = Some(change);
            }
            self.step_operator(0, false);
            self.advance(self.now + 5);
            let acknowledged = &self.operators[0].acknowledged;
            if let Some(change) = acknowledged[acknowledged_before..].last() {
                return Some(change.version);
            }
        }
        None
    }

    /// Checks that all nodes that aren't removed learn this version in time.
    fn check_dissemination(&mut self, version: u64) {
        self.advance(self.now + DISSEMINATION_MS);
        for node in self.nodes.iter().filter(|node| !node.removed) {
            let known = node
                .replica
                .as_ref()
                .and_then(|replica| replica.committed());
            if known.map_or(0, |document| document.version) < version {
                let violation = RecoveryViolation::VersionNotLearned {
                    node: node.address,
                    version,
                };
                self.violations.report(self.now, violation);
            }
        }
    }

    /// Checks that a read is answered in time.
    fn check_final_read(&mut self) {
        let reads = self.outcome.reads;
        let deadline = self.now + ACKNOWLEDGE_MS;
        while self.outcome.reads == reads && self.now < deadline {
            if self.operators[0].call.is_none() {
                self.call_any_node(0, Request::Read, None);
            }
            self.advance(self.now + 10);
            self.abandon_expired_call(0);
        }
        if self.outcome.reads == reads {
            self.violations
                .report(self.now, RecoveryViolation::NoReadAnswered);
        }
    }
}
