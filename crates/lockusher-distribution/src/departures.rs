//! Records of departed searchers, so that an older list doesn't bring one back.
//!
//! A [`DepartedInstances`] holds a tombstone for each searcher that was listed as draining or is missing from a newer
//! list. It belongs to a process that receives lists from several sources: an agent, or a proxy by its
//! [`Feed`](crate::subscribe::Feed). The lists of two sources have no exact order in time. An identifier belongs to one
//! incarnation of a searcher, and a searcher that drains never becomes ready again.
//!
//! Invariant: a list that is slightly older than the one before it doesn't bring a searcher back.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState};

/// A list that contains a searcher overrides the record that the searcher is gone if the list was confirmed at least
/// this many milliseconds after the record.
///
/// It exceeds the errors in the times at which lists are confirmed. It is short because a list that is older than its
/// time suggests may lack a searcher that has just started, which then isn't gone.
const GONE_RECORD_TTL_MS: u64 = 5_000;
/// A list that contains a searcher as ready overrides the record that the searcher is draining if the list was
/// confirmed at least this many milliseconds after the record.
const DRAINING_RECORD_TTL_MS: u64 = 600_000;
/// Maximum number of recorded identifiers; above it, the least recently seen quarter is removed.
const MAX_RECORDED_INSTANCES: usize = 4_096;

/// How a searcher has departed. The variants are ordered: the later one is more final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, bitcode::Encode, bitcode::Decode)]
pub enum Departure {
    /// The searcher accepts no further requests.
    Draining,
    /// The platform no longer lists the searcher.
    Gone,
}

/// When a searcher was last recorded as departed. Both times are stored because a list may be new enough to override
/// one record and not the other.
#[derive(Clone, Copy, Debug, Default)]
struct DepartureTimes {
    draining_at_ms: Option<u64>,
    gone_at_ms: Option<u64>,
}

impl DepartureTimes {
    /// Returns the record that overrides a list confirmed at `confirmed_at_ms`, if any.
    fn departure(&self, confirmed_at_ms: u64) -> Option<Departure> {
        let overrides_list = |seen_at_ms: Option<u64>, ttl_ms: u64| {
            seen_at_ms.is_some_and(|seen| confirmed_at_ms.saturating_sub(seen) < ttl_ms)
        };
        if overrides_list(self.gone_at_ms, GONE_RECORD_TTL_MS) {
            return Some(Departure::Gone);
        }
        overrides_list(self.draining_at_ms, DRAINING_RECORD_TTL_MS).then_some(Departure::Draining)
    }

    fn last_seen_at_ms(&self) -> u64 {
        self.draining_at_ms.max(self.gone_at_ms).unwrap_or_default()
    }
}

/// Records of departed searchers.
#[derive(Debug, Default)]
pub struct DepartedInstances {
    /// Keyed by identifier.
    instances: HashMap<String, DepartureTimes>,
}

impl DepartedInstances {
    /// Records that a searcher has departed; returns true if that wasn't known.
    pub fn record(&mut self, now_ms: u64, identifier: &str, departure: Departure) -> bool {
        let is_new = self
            .departure_of(now_ms, identifier)
            .is_none_or(|known| departure > known);
        let times = self.instances.entry(identifier.to_owned()).or_default();
        match departure {
            Departure::Draining => times.draining_at_ms = Some(now_ms),
            Departure::Gone if is_new => times.gone_at_ms = Some(now_ms),
            Departure::Gone => {}
        }
        self.remove_oldest();
        is_new
    }

    /// Records all departures that the list `newer` shows relative to `older`, the list that is replaced by it. `newer`
    /// is the list as received, not as returned by [`DepartedInstances::apply`]. Returns the searchers that are missing
    /// and weren't known to be gone.
    pub fn record_list(
        &mut self,
        now_ms: u64,
        older: &[Instance],
        newer: &[Instance],
    ) -> Vec<String> {
        self.record_draining(now_ms, newer);
        let listed: HashSet<&str> = newer
            .iter()
            .map(|instance| instance.identifier.as_str())
            .collect();
        let missing = older
            .iter()
            .filter(|instance| !listed.contains(instance.identifier.as_str()));
        let missing = missing.map(|instance| instance.identifier.clone());
        let newly_missing = missing
            .filter(|identifier| self.record(now_ms, identifier, Departure::Gone))
            .collect();
        for (_, times) in self
            .instances
            .iter_mut()
            .filter(|(name, _)| !listed.contains(name.as_str()))
        {
            times.gone_at_ms = Some(now_ms);
        }
        newly_missing
    }

    /// Records the searchers that a list shows as draining, however old the list is: draining is final. Returns those
    /// that weren't known to have departed.
    pub fn record_draining(&mut self, now_ms: u64, instances: &[Instance]) -> Vec<String> {
        let draining = instances
            .iter()
            .filter(|instance| instance.state == InstanceState::Draining);
        let draining = draining.map(|instance| instance.identifier.clone());
        draining
            .filter(|identifier| self.record(now_ms, identifier, Departure::Draining))
            .collect()
    }

    /// Returns the list with departed searchers marked as draining or removed; the same allocation if nothing differs.
    /// `confirmed_at_ms` is when the list was last confirmed to match the platform's list.
    pub fn apply(&self, confirmed_at_ms: u64, instances: &Rc<Vec<Instance>>) -> Rc<Vec<Instance>> {
        let differs =
            |instance: &Instance| match self.departure_of(confirmed_at_ms, &instance.identifier) {
                Some(Departure::Gone) => true,
                Some(Departure::Draining) => instance.state != InstanceState::Draining,
                None => false,
            };
        if self.instances.is_empty() || !instances.iter().any(differs) {
            return Rc::clone(instances);
        }
        let applied = instances
            .iter()
            .filter_map(|instance| self.apply_to_instance(confirmed_at_ms, instance));
        Rc::new(applied.collect())
    }

    /// Returns how a searcher has departed if that overrides a list confirmed at `confirmed_at_ms`.
    pub fn departure_of(&self, confirmed_at_ms: u64, identifier: &str) -> Option<Departure> {
        self.instances.get(identifier)?.departure(confirmed_at_ms)
    }

    fn apply_to_instance(&self, confirmed_at_ms: u64, instance: &Instance) -> Option<Instance> {
        match self.departure_of(confirmed_at_ms, &instance.identifier) {
            Some(Departure::Gone) => None,
            Some(Departure::Draining) => Some(Instance {
                state: InstanceState::Draining,
                ..instance.clone()
            }),
            None => Some(instance.clone()),
        }
    }

    /// Removes many records at once, so that the search for the oldest ones is rare.
    fn remove_oldest(&mut self) {
        if self.instances.len() <= MAX_RECORDED_INSTANCES {
            return;
        }
        let mut seen_at_ms: Vec<u64> = self
            .instances
            .values()
            .map(DepartureTimes::last_seen_at_ms)
            .collect();
        let (_, remove_until_ms, _) = seen_at_ms.select_nth_unstable(MAX_RECORDED_INSTANCES / 4);
        let remove_until_ms = *remove_until_ms;
        self.instances
            .retain(|_, times| times.last_seen_at_ms() > remove_until_ms);
    }
}
