//! Removals that a second poll has to confirm.
//!
//! The platform cuts its pages while the list changes, so that an entry may be on neither of two pages. Invariant: a
//! ready searcher that is missing from a poll of several pages stays in the list until the next poll misses it too.

use std::collections::{BTreeMap, HashSet};

use lockusher_config::instances::{Instance, InstanceState};

/// The searchers that the last poll missed for the first time.
#[derive(Debug, Default)]
pub struct RemovalConfirmation {
    unconfirmed: HashSet<String>,
}

impl RemovalConfirmation {
    /// Whether a poll is needed soon.
    pub fn is_needed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Takes a poll of a single page: what it misses is removed.
    pub fn accept_all(&mut self) {
        self.unconfirmed.clear();
    }

    /// Takes a poll of several pages, `last` being the list before it: adds to `found` what was ready and is missing for
    /// the first time.
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
