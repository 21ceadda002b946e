//! Records departures of searchers, as seen in lists or received from peers, and queues those to be gossiped.
//!
//! Owned by [`ListSelection`](crate::list_selection::ListSelection). Invariants: an older list doesn't bring back a
//! searcher that was seen draining or gone ([`DepartedInstances`] has the rules); a departure is gossiped only if it
//! was definitely observed here; the number of queued departures is bounded.

use std::rc::Rc;

use lockusher_config::instances::Instance;
use lockusher_distribution::departures::{DepartedInstances, Departure};

use crate::confirmed_list::{ConfirmedList, ListSource};
use crate::peers::message::InstanceDeparture;

/// Maximum number of departures queued for gossip; further ones are dropped.
const MAX_PENDING_DEPARTURES: usize = 128;

/// The departures known to this agent.
#[derive(Debug, Default)]
pub struct DepartureRecorder {
    departed: DepartedInstances,
    /// The list that was recorded last.
    last_list: Option<Rc<Vec<Instance>>>,
    last_source: Option<ListSource>,
    /// Departures that this agent observed, queued for gossip.
    pending: Vec<InstanceDeparture>,
}

impl DepartureRecorder {
    /// Records the searchers that a list shows as draining. Draining is final, so the age of the list doesn't matter.
    pub fn record_draining(&mut self, now_ms: u64, instances: &[Instance]) {
        let draining = self.departed.record_draining(now_ms, instances);
        self.enqueue(draining, Departure::Draining);
    }

    /// Records the departures that a list shows, once per list. `in_force` is the preceding list.
    pub fn record_list(&mut self, now_ms: u64, list: &ConfirmedList, in_force: &[Instance]) {
        if self
            .last_list
            .as_ref()
            .is_some_and(|last| Rc::ptr_eq(last, &list.instances))
        {
            return;
        }
        let missing = self.departed.record_list(now_ms, in_force, &list.instances);
        self.last_list = Some(Rc::clone(&list.instances));
        let is_same_source = self.last_source.replace(list.source) == Some(list.source);
        if is_same_source {
            self.enqueue(missing, Departure::Gone);
        }
    }

    /// Records a departure that another agent observed; true if it wasn't known.
    pub fn record_peer_departure(&mut self, now_ms: u64, observed: &InstanceDeparture) -> bool {
        self.departed
            .record(now_ms, &observed.identifier, observed.departure)
    }

    /// The list with departed searchers marked as draining or removed.
    pub fn apply(&self, list: &ConfirmedList) -> Rc<Vec<Instance>> {
        self.departed.apply(list.confirmed_at_ms, &list.instances)
    }

    /// Takes the departures that lists showed since the last call.
    pub fn take_pending(&mut self) -> Vec<InstanceDeparture> {
        std::mem::take(&mut self.pending)
    }

    fn enqueue(&mut self, identifiers: Vec<String>, departure: Departure) {
        let free_capacity = MAX_PENDING_DEPARTURES.saturating_sub(self.pending.len());
        let observed = identifiers.into_iter().map(|identifier| InstanceDeparture {
            identifier,
            departure,
        });
        self.pending.extend(observed.take(free_capacity));
    }
}
