//! Records the departures of searchers that lists show or peers spread, and keeps those that are to be spread from here.
//!
//! Owned by [`ListSelection`](crate::list_selection::ListSelection). Invariants: a searcher that was seen draining or
//! gone doesn't return with an older list ([`DepartedInstances`] has the rules); a departure is spread only where it was
//! surely observed, and a bounded number of them is retained.

use std::rc::Rc;

use lockusher_config::instances::Instance;
use lockusher_distribution::departures::{DepartedInstances, Departure};

use crate::confirmed_list::{ConfirmedList, ListSource};
use crate::peers::message::InstanceDeparture;

/// Departures that are retained until they are taken for other agents; later ones aren't spread.
const MAX_PENDING: usize = 128;

/// The departures known here.
#[derive(Debug, Default)]
pub struct DepartureRecorder {
    departed: DepartedInstances,
    /// The last list that was recorded.
    last_list: Option<Rc<Vec<Instance>>>,
    last_source: Option<ListSource>,
    /// Departures that were observed here first, for other agents.
    pending: Vec<InstanceDeparture>,
}

impl DepartureRecorder {
    /// Records what a list shows as draining; that is final, however old the list is.
    pub fn record_draining(&mut self, now_ms: u64, instances: &[Instance]) {
        let draining = self.departed.record_draining(now_ms, instances);
        self.queue(draining, Departure::Draining);
    }

    /// Records what a list shows as departed, once for each list. `in_force`: the list before it.
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
        let is_comparable = self.last_source.replace(list.source) == Some(list.source);
        if is_comparable {
            self.queue(missing, Departure::Gone);
        }
    }

    /// Records a departure that another agent observed; true if it is new here.
    pub fn record_peer_departure(&mut self, now_ms: u64, observed: &InstanceDeparture) -> bool {
        self.departed
            .record(now_ms, &observed.identifier, observed.departure)
    }

    /// The list with searchers that are known to have departed marked as draining, or left out.
    pub fn apply(&self, list: &ConfirmedList) -> Rc<Vec<Instance>> {
        self.departed.apply(list.confirmed_at_ms, &list.instances)
    }

    /// The departures that lists showed here since the last call.
    pub fn take_pending(&mut self) -> Vec<InstanceDeparture> {
        std::mem::take(&mut self.pending)
    }

    fn queue(&mut self, identifiers: Vec<String>, departure: Departure) {
        let free = MAX_PENDING.saturating_sub(self.pending.len());
        let observed = identifiers.into_iter().map(|identifier| InstanceDeparture {
            identifier,
            departure,
        });
        self.pending.extend(observed.take(free));
    }
}
