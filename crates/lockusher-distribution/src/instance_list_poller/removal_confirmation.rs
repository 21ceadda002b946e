//! Confirmation of removals by a second poll.
//!
//! The platform's list may change between two page requests, so that an entry is on neither page. Invariant: a ready
//! searcher that is missing from a poll of several pages stays in the list until the next poll lacks it too.

use std::collections::{BTreeMap, HashSet};

use lockusher_config::instances::{Instance, InstanceState};

/// The searchers that were missing from the last poll for the first time.
#[derive(Debug, Default)]
pub struct RemovalConfirmation {
    unconfirmed: HashSet<String>,
}

impl RemovalConfirmation {
    /// Whether removals await confirmation, so that the next poll should start soon.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Accepts all removals of a poll with a single page.
    pub fn accept_all(&mut self) {
        self.unconfirmed.clear();
    }

    /// Handles a poll of several pages, where `last` is the previous list: adds to `found` the searchers of `last` that
    /// were ready and are missing for the first time.
    pub fn retain_unconfirmed(
        &mut self,
        last: &[Instance],
        found: &mut BTreeMap<String, Instance>,
    ) {
        let missing_before = std::mem::take(&mut self.unconfirmed);
        for instance in last
            .iter()
            .filter(|instance| instance.state == InstanceState::Ready)
        {
            let identifier = &instance.identifier;
            if !found.contains_key(identifier) && !missing_before.contains(identifier) {
                self.unconfirmed.insert(identifier.clone());
                found.insert(identifier.clone(), instance.clone());
            }
        }
    }
}
