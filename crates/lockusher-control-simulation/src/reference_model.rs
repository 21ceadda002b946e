//! Reference model: a register of one configuration with compare-and-swap. All observations of operators and agents are
//! checked against it.
//!
//! An acknowledged change is never lost and never rejected later; of several changes that build on the same version at most
//! one is acknowledged; reads are monotonic; an epoch has one head.

use std::collections::BTreeMap;

use lockusher_control::{ConfigurationDocument, Digest, Millis};

use crate::{
    operator::{Change, patched},
    violation::{ModelViolation, ViolationLog},
};

/// A change that an operator sent, and its outcome.
#[derive(Clone, Debug)]
struct SentChange {
    if_match: u64,
    version: u64,
    acknowledged: bool,
    rejected: bool,
    committed: bool,
    is_patch: bool,
}

/// All changes that were sent, with their outcomes.
#[derive(Debug, Default)]
pub struct ReferenceModel {
    /// Changes sent, by the identity of the request.
    sent: BTreeMap<Digest, SentChange>,
    /// Identity of the committed request and digest of the resulting configuration, by version.
    committed: BTreeMap<u64, (Digest, Digest)>,
    /// Highest version acknowledged or read so far.
    floor: u64,
    /// Address of the head, by epoch.
    heads: BTreeMap<u64, std::net::SocketAddrV4>,
    /// Number of changes acknowledged.
    pub acknowledged: usize,
}

impl ReferenceModel {
    /// Records that an operator sends a change for the first time or again.
    pub fn record_sent(&mut self, change: &Change) {
        let sent = SentChange {
            if_match: change.if_match,
            version: change.version,
            acknowledged: false,
            rejected: false,
            committed: false,
            is_patch: change.is_patch(),
        };
        self.sent.entry(change.identity).or_insert(sent);
    }

    /// Records that a change was acknowledged.
    pub fn record_acknowledged(
        &mut self,
        digest: Digest,
        now: Millis,
        violations: &mut ViolationLog,
    ) {
        let Some(sent) = self.sent.get_mut(&digest) else {
            return;
        };
        let (version, if_match) = (sent.version, sent.if_match);
        if sent.rejected {
            violations.report(now, ModelViolation::AcknowledgedAfterRejection { version });
            return;
        }
        if !sent.committed {
            violations.report(now, ModelViolation::AcknowledgedUncommitted { version });
        }
        if !std::mem::replace(&mut sent.acknowledged, true) {
            self.acknowledged += 1;
        }
        self.floor = self.floor.max(version);
        let conflicting = self.sent.iter().filter(|(other, sent)| {
            **other != digest && sent.if_match == if_match && sent.acknowledged
        });
        if conflicting.count() > 0 {
            violations.report(
                now,
                ModelViolation::TwoChangesAcknowledged { base: if_match },
            );
        }
    }

    /// Records that a change was rejected in a call that began when `floor` was the highest version acknowledged or read.
    pub fn record_rejected(
        &mut self,
        digest: Digest,
        floor: u64,
        now: Millis,
        violations: &mut ViolationLog,
    ) {
        let newest = self.newest_version();
        let Some(sent) = self.sent.get_mut(&digest) else {
            return;
        };
        sent.rejected = true;
        let (version, if_match) = (sent.version, sent.if_match);
        if sent.acknowledged || sent.committed {
            violations.report(now, ModelViolation::RejectedAfterCommit { version });
        } else if version > if_match && floor == if_match && newest == if_match {
            violations.report(
                now,
                ModelViolation::RejectedWithoutConflict {
                    version,
                    base: if_match,
                },
            );
        }
    }

    /// The newest committed version; 0 before the first.
    pub fn newest_version(&self) -> u64 {
        self.newest_committed().map_or(0, |(version, _)| version)
    }

    /// The newest configuration that a node reported as committed: its version and the identity of its request.
    pub fn newest_committed(&self) -> Option<(u64, Digest)> {
        self.committed
            .last_key_value()
            .map(|(version, (request, _))| (*version, *request))
    }

    /// Lower bound for the version that a read started now may return.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Records the result of a read that began when `floor` was the highest version acknowledged or read.
    pub fn record_read(
        &mut self,
        document: Option<&ConfigurationDocument>,
        floor: u64,
        now: Millis,
        violations: &mut ViolationLog,
    ) {
        let version = document.map_or(0, |document| document.version);
        if version < floor {
            violations.report(now, ModelViolation::StaleRead { version, floor });
        }
        if let Some(document) = document {
            self.record_committed(document, now, violations);
        }
        self.floor = self.floor.max(version);
    }

    /// Records that a configuration is reported as committed. Returns whether it is the first report of its version.
    pub fn record_committed(
        &mut self,
        document: &ConfigurationDocument,
        now: Millis,
        violations: &mut ViolationLog,
    ) -> bool {
        let version = document.version;
        let is_first = !self.committed.contains_key(&version);
        let identity = (document.request, document.digest);
        let previous = *self.committed.entry(version).or_insert(identity);
        if previous != identity {
            violations.report(now, ModelViolation::TwoConfigurationsCommitted { version });
        }
        self.check_patched(document, now, violations);
        match self.sent.get_mut(&document.request) {
            None => violations.report(now, ModelViolation::CommittedUnsent { version }),
            Some(sent) if sent.rejected => {
                violations.report(now, ModelViolation::CommittedAfterRejection { version });
            }
            Some(sent) => sent.committed = true,
        }
        is_first
    }

    /// Checks that a patched configuration is the result of applying the patch to its base.
    fn check_patched(
        &self,
        document: &ConfigurationDocument,
        now: Millis,
        violations: &mut ViolationLog,
    ) {
        let Some(sent) = self
            .sent
            .get(&document.request)
            .filter(|sent| sent.is_patch)
        else {
            return;
        };
        let Some((_, base)) = self.committed.get(&sent.if_match) else {
            return;
        };
        if patched(sent.version, document.request, *base).digest != document.digest {
            let version = document.version;
            violations.report(now, ModelViolation::WrongPatchResult { version });
        }
    }

    /// Records that a node acts as head of an epoch.
    pub fn record_head(
        &mut self,
        epoch: u64,
        address: std::net::SocketAddrV4,
        now: Millis,
        violations: &mut ViolationLog,
    ) {
        let previous = *self.heads.entry(epoch).or_insert(address);
        if previous != address {
            violations.report(
                now,
                ModelViolation::TwoHeads {
                    first: previous,
                    second: address,
                    epoch,
                },
            );
        }
    }

    /// Checks, at the end of a run, that each configuration was built on the preceding one.
    pub fn check_order(&mut self, now: Millis, violations: &mut ViolationLog) {
        for sent in self
            .sent
            .values()
            .filter(|sent| sent.committed || sent.acknowledged)
        {
            let (base_version, new_version) = (sent.if_match, sent.version);
            let mut committed_between = self.committed.range(base_version + 1..new_version);
            if let Some((intermediate, _)) = committed_between.next() {
                violations.report(
                    now,
                    ModelViolation::NotBuiltOnPredecessor {
                        version: new_version,
                        base: base_version,
                        intermediate: *intermediate,
                    },
                );
            }
        }
    }
}
