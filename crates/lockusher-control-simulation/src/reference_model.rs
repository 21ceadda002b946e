//! The plain model: what operators were told, and whether it fits together.

use std::collections::BTreeMap;

use lockusher_control::{ConfigurationDocument, Digest, Millis};

use crate::operator::{Change, patched};

/// A configuration that an operator sent.
#[derive(Clone, Debug)]
struct SentChange {
    if_match: u64,
    version: u64,
    acknowledged: bool,
    refused: bool,
    committed: bool,
    is_patch: bool,
}

/// All that was sent, told and committed.
#[derive(Debug, Default)]
pub struct ReferenceModel {
    sent: BTreeMap<Digest, SentChange>,
    /// Identities of the requests that were committed, and what came of them, by version.
    committed: BTreeMap<u64, (Digest, Digest)>,
    /// Highest version that was acknowledged or read, by time.
    floor: u64,
    heads: BTreeMap<u64, std::net::SocketAddrV4>,
    /// Broken promises.
    pub violations: Vec<String>,
    /// Configurations acknowledged.
    pub acknowledged: usize,
}

impl ReferenceModel {
    /// An operator sends a configuration, perhaps again.
    pub fn send(&mut self, change: &Change) {
        let sent = SentChange {
            if_match: change.if_match,
            version: change.version,
            acknowledged: false,
            refused: false,
            committed: false,
            is_patch: change.is_patch(),
        };
        self.sent.entry(change.identity).or_insert(sent);
    }

    /// A configuration was acknowledged.
    pub fn acknowledge(&mut self, digest: Digest, now: Millis) {
        let Some(sent) = self.sent.get_mut(&digest) else { return };
        let (version, if_match) = (sent.version, sent.if_match);
        if sent.refused {
            self.violations.push(format!("{now}: version {version} acknowledged after it was refused"));
            return;
        }
        if !sent.committed {
            self.violations.push(format!("{now}: version {version} acknowledged, but nowhere committed"));
        }
        if !std::mem::replace(&mut sent.acknowledged, true) {
            self.acknowledged += 1;
        }
        self.floor = self.floor.max(version);
        let rivals = self
            .sent
            .iter()
            .filter(|(other, sent)| **other != digest && sent.if_match == if_match && sent.acknowledged);
        if rivals.count() > 0 {
            self.violations.push(format!("{now}: two changes of version {if_match} acknowledged"));
        }
    }

    /// A configuration was refused by a call that began when `in_place` was the newest version.
    pub fn refuse(&mut self, digest: Digest, in_place: u64, now: Millis) {
        let newest = self.newest_version();
        let Some(sent) = self.sent.get_mut(&digest) else { return };
        sent.refused = true;
        let (version, if_match) = (sent.version, sent.if_match);
        if sent.acknowledged || sent.committed {
            self.violations.push(format!("{now}: version {version} refused after it was taken"));
        } else if version > if_match && in_place == if_match && newest == if_match {
            let text =
                format!("{now}: version {version} refused, although {if_match} was in place all the time");
            self.violations.push(text);
        }
    }

    /// The newest version that was committed; 0 before the first.
    pub fn newest_version(&self) -> u64 {
        self.newest_committed().map_or(0, |(version, _)| version)
    }
    /// The newest configuration that a node holds to be committed: its version and the identity of its request.
    pub fn newest_committed(&self) -> Option<(u64, Digest)> {
        self.committed.last_key_value().map(|(version, (request, _))| (*version, *request))
    }

    /// Highest version that any later read must reach.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// A read was answered that began when `floor` was the highest version told.
    pub fn read(&mut self, document: Option<&ConfigurationDocument>, floor: u64, now: Millis) {
        let version = document.map_or(0, |document| document.version);
        if version < floor {
            self.violations.push(format!("{now}: read version {version}, although {floor} was told before"));
        }
        if let Some(document) = document {
            self.commit(document, now);
        }
        self.floor = self.floor.max(version);
    }

    /// A node holds this configuration to be committed. Whether it is the first to do so.
    pub fn commit(&mut self, document: &ConfigurationDocument, now: Millis) -> bool {
        let version = document.version;
        let is_first = !self.committed.contains_key(&version);
        let identity = (document.request, document.digest);
        let former = *self.committed.entry(version).or_insert(identity);
        if former != identity {
            self.violations.push(format!("{now}: two configurations committed as version {version}"));
        }
        self.check_patched(document, now);
        match self.sent.get_mut(&document.request) {
            None => self.violations.push(format!("{now}: version {version} committed, but never sent")),
            Some(sent) if sent.refused => {
                self.violations.push(format!("{now}: version {version} committed, but refused"));
            }
            Some(sent) => sent.committed = true,
        }
        is_first
    }

    /// What a patch made is what it makes of the configuration that it builds on.
    fn check_patched(&mut self, document: &ConfigurationDocument, now: Millis) {
        let Some(sent) = self.sent.get(&document.request).filter(|sent| sent.is_patch) else { return };
        let Some((_, base)) = self.committed.get(&sent.if_match) else { return };
        if patched(sent.version, document.request, *base).digest != document.digest {
            let version = document.version;
            self.violations.push(format!("{now}: version {version} isn't its patch applied to its base"));
        }
    }

    /// A node calls itself head of an epoch.
    pub fn head(&mut self, epoch: u64, address: std::net::SocketAddrV4, now: Millis) {
        let former = *self.heads.entry(epoch).or_insert(address);
        if former != address {
            self.violations.push(format!("{now}: {former} and {address} are heads of epoch {epoch}"));
        }
    }

    /// Checks what can be told at the end only: each configuration was built on the one before it.
    pub fn finish(&mut self, now: Millis) {
        for sent in self.sent.values().filter(|sent| sent.committed || sent.acknowledged) {
            let (low, high) = (sent.if_match, sent.version);
            let mut between = self.committed.range(low + 1..high);
            if let Some((version, _)) = between.next() {
                let text = format!("{now}: version {high} was built on {low}, but {version} is between them");
                self.violations.push(text);
            }
        }
    }
}
