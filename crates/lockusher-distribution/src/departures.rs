//! Searchers that were seen draining or gone stay so.
//!
//! A [`DepartedInstances`] is owned by whoever puts lists of several sources in force: an agent, and each proxy's
//! [`Feed`](crate::subscribe::Feed). An identifier names one incarnation of a searcher, and draining is final; lists of
//! two sources can't be ordered exactly. Invariant: a list that is a little older than the one before it doesn't bring
//! a searcher back.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState};

/// A list that shows a searcher is believed if it is newer by so many milliseconds than the record that the searcher is
/// gone.
///
/// It exceeds the errors in the dates of lists. It is short, because a list that is older than it seems may lack a
/// searcher that has just started: that one isn't gone.
const GONE_VALIDITY_MS: u64 = 5_000;
/// A list that shows a searcher as ready is believed if it is newer by so many milliseconds than the record that the
/// searcher is draining.
const DRAINING_VALIDITY_MS: u64 = 600_000;
/// How many identifiers are recorded at most; beyond, the quarter that was seen the longest time ago is forgotten.
const MAX_RECORDED_INSTANCES: usize = 4_096;

/// How a searcher has departed; the later variant is the more final one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, bitcode::Encode, bitcode::Decode)]
pub enum Departure {
    /// It takes no further requests.
    Draining,
    /// The platform doesn't list it any more.
    Gone,
}

/// When a searcher was seen to have departed. Both times are recorded: a list that is believed about one may not be
/// about the other.
#[derive(Clone, Copy, Debug, Default)]
struct DepartureTimes {
    draining_at_ms: Option<u64>,
    gone_at_ms: Option<u64>,
}

impl DepartureTimes {
    /// What is to be believed rather than a list confirmed at `confirmed_at_ms`.
    fn departure(&self, confirmed_at_ms: u64) -> Option<Departure> {
        let is_valid = |seen_at_ms: Option<u64>, validity_ms: u64| {
            seen_at_ms.is_some_and(|seen| confirmed_at_ms.saturating_sub(seen) < validity_ms)
        };
        if is_valid(self.gone_at_ms, GONE_VALIDITY_MS) {
            return Some(Departure::Gone);
        }
        is_valid(self.draining_at_ms, DRAINING_VALIDITY_MS).then_some(Departure::Draining)
    }

    fn last_seen_at_ms(&self) -> u64 {
        self.draining_at_ms.max(self.gone_at_ms).unwrap_or_default()
    }
}

/// Records the searchers that have departed.
#[derive(Debug, Default)]
pub struct DepartedInstances {
    /// By identifier.
    instances: HashMap<String, DepartureTimes>,
}

impl DepartedInstances {
    /// Records that a searcher has departed; true if that is new.
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
        self.forget_oldest();
        is_new
    }

    /// Records all that the list `newer` shows as departed, `older` being the list in force before it. `newer` is as it
    /// was received, not as [`DepartedInstances::apply`] left it. Returns the searchers that are missing and weren't
    /// known to be gone.
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

    /// Records the searchers that a list shows as draining; that is final, however old the list is. Returns those that
    /// weren't known to have departed.
    pub fn record_draining(&mut self, now_ms: u64, instances: &[Instance]) -> Vec<String> {
        let draining = instances
            .iter()
            .filter(|instance| instance.state == InstanceState::Draining);
        let draining = draining.map(|instance| instance.identifier.clone());
        draining
            .filter(|identifier| self.record(now_ms, identifier, Departure::Draining))
            .collect()
    }

    /// The list with the searchers that have departed shown as draining, or left out; the very same allocation if it
    /// shows them so already. `confirmed_at_ms` is when the list was last known to be what the platform shows.
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

    /// How a searcher is known to have departed, rather than what a list confirmed at `confirmed_at_ms` shows.
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

    /// Frees space for many identifiers at once, so that the search for the oldest is rare.
    fn forget_oldest(&mut self) {
        if self.instances.len() <= MAX_RECORDED_INSTANCES {
            return;
        }
        let mut seen_at_ms: Vec<u64> = self
            .instances
            .values()
            .map(DepartureTimes::last_seen_at_ms)
            .collect();
        let (_, forget_until_ms, _) = seen_at_ms.select_nth_unstable(MAX_RECORDED_INSTANCES / 4);
        let forget_until_ms = *forget_until_ms;
        self.instances
            .retain(|_, times| times.last_seen_at_ms() > forget_until_ms);
    }
}
