//! Points at which a run checks the invariants of the protocol: each message sent, record stored, view adopted, start and
//! snapshot.

use lockusher_control::{DurableRecord, Identity, Message, Replica};

use crate::{
    cluster::Cluster, disk_contents::DiskContents, options::Checks, violation::InvariantViolation,
};

impl Cluster {
    fn checks_invariants(&self) -> bool {
        self.options.checks == Checks::All
    }

    fn report(&mut self, result: Result<(), InvariantViolation>) {
        if let Err(violation) = result {
            self.violations.report(self.now, violation);
        }
    }

    /// Checks a message that a node sends.
    pub(crate) fn check_sent(&mut self, number: usize, message: &Message) {
        if !self.checks_invariants() {
            return;
        }
        let Some(disk) = self.nodes[number].disk.contents() else {
            return;
        };
        let result = self.invariants.check_message(message, disk);
        self.report(result);
    }

    /// Checks records of a node that have become durable.
    pub(crate) fn check_written(&mut self, number: usize, records: &[DurableRecord]) {
        if !self.checks_invariants() {
            return;
        }
        let Some(disk) = self.nodes[number].disk.contents() else {
            return;
        };
        let Some(identity) = disk.identity() else {
            return;
        };
        let result = self.invariants.check_records(identity, records, disk);
        self.report(result);
    }

    /// Checks the view of a node, if it has adopted a new one.
    pub(crate) fn check_adopted(&mut self, number: usize) {
        let Some(view) = self.nodes[number].replica.as_ref().and_then(Replica::view) else {
            return;
        };
        if view.epoch <= self.nodes[number].adopted_epoch {
            return;
        }
        let view = view.clone();
        self.nodes[number].adopted_epoch = view.epoch;
        let minimum_voters = 2 * self.tolerated_losses() + 1;
        let adopted = self.invariants.check_adopted_view(&view, minimum_voters);
        if !self.checks_invariants() {
            return;
        }
        let is_first = adopted.as_ref().is_ok_and(|is_first| *is_first);
        self.report(adopted.map(|_| ()));
        if is_first {
            self.check_committed_is_stored();
        }
    }

    /// Checks that every member of the newest chain whose disk isn't lost has applied the newest committed change.
    pub(crate) fn check_committed_is_stored(&mut self) {
        if !self.checks_invariants() {
            return;
        }
        let Some((version, digest)) = self.model.newest_committed() else {
            return;
        };
        let Some(view) = self.invariants.newest_view() else {
            return;
        };
        let lacks = |member: &Identity| {
            self.disk_of(*member)
                .is_some_and(|disk| !disk.has_applied(digest))
        };
        let lagging_member = view.chain.iter().copied().find(lacks);
        if let Some(member) = lagging_member {
            let epoch = view.epoch;
            self.violations.report(
                self.now,
                InvariantViolation::CommittedNotStored {
                    member,
                    epoch,
                    version,
                },
            );
        }
    }

    /// Contents of the disk with this identity; `None` if it is lost or corrupted.
    fn disk_of(&self, identity: Identity) -> Option<&DiskContents> {
        let disks = self.nodes.iter().filter_map(|node| node.disk.contents());
        let mut matching = disks.filter(|disk| disk.identity() == Some(identity));
        matching.next()
    }

    /// Checks that a process recovered all contents of its disk at the start.
    pub(crate) fn check_recovered(&mut self, number: usize) {
        let node = &self.nodes[number];
        let (Some(replica), Some(disk)) = (&node.replica, node.disk.contents()) else {
            return;
        };
        if !self.checks_invariants() || disk.identity().is_none() {
            return;
        }
        let missing = disk.first_missing_in(&DiskContents::from_records(&replica.snapshot()));
        let node = node.address;
        if let Some(missing) = missing {
            self.violations
                .report(self.now, InvariantViolation::NotRecovered { node, missing });
        }
    }

    /// Checks that a snapshot has the same contents as the log that it is about to replace.
    pub(crate) fn check_snapshot(&mut self, number: usize, records: &[DurableRecord]) {
        let node = &self.nodes[number];
        let Some(disk) = node.disk.contents().filter(|_| self.checks_invariants()) else {
            return;
        };
        let missing = disk.first_missing_in(&DiskContents::from_records(records));
        let node = node.address;
        if let Some(missing) = missing {
            self.violations.report(
                self.now,
                InvariantViolation::MissingInSnapshot { node, missing },
            );
        }
    }
}
