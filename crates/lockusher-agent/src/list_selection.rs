//! Decides which list of searchers is in force: the control plane's, or one that the agent read itself.
//!
//! Lists are compared by when they were last known to be what the platform shows. The control plane's list is
//! confirmed by heartbeats; an own reading dates from its first call. An own reading therefore stays in force until
//! the control plane's list is confirmed at a later time, and then gives way for good.
//!
//! Revisions handed on always rise. The control plane's own are passed on where they are above the last; otherwise a
//! revision from the gap above it is used. A proxy that outlived its agent may hold a higher revision than the new agent
//! knows; it is outnumbered only by a list that was confirmed after the proxy said so, since that one is surely newer.

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_distribution::departures::{DepartedInstances, Departure};
use lockusher_distribution::instance_list_poller::InstanceListPoll;
use lockusher_distribution::publisher::InstanceList;
use lockusher_distribution::revision;

use crate::peers::message::InstanceDeparture;

/// A list that hasn't been confirmed for this long is stale.
pub const STALE_AFTER_MS: u64 = 2_000;
/// Confirmations are dated by heartbeats, which take some time to arrive: they may be older by this much.
const CONFIRMATION_ERROR_MS: u64 = 300;

/// Ends that are kept until they are taken for other agents.
const MAX_DEPARTURES_TO_GOSSIP: usize = 128;

/// A list with the time at which it was last known to be right.
#[derive(Clone, Debug)]
struct ConfirmedList {
    instances: Rc<Vec<Instance>>,
    confirmed_at_ms: u64,
}

/// A higher revision than the agent's own that a proxy holds.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyRevision {
    revision: InstanceListRevision,
    reported_at_ms: u64,
}

/// Whose list it is. Only lists of the same source are surely in order, so that what the later lacks is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Control,
    Own,
}

/// The lists known, and the one in force.
#[derive(Debug, Default)]
pub struct ListSelection {
    control: Option<InstanceList>,
    control_confirmed_at_ms: Option<u64>,
    own: Option<ConfirmedList>,
    in_force: Option<InstanceList>,
    proxy_revision: ProxyRevision,
    departed: DepartedInstances,
    /// The last list of which the ends were noted.
    recorded: Option<Rc<Vec<Instance>>>,
    recorded_source: Option<Source>,
    /// Ends that were seen here first, for other agents.
    departures_to_gossip: Vec<InstanceDeparture>,
}

impl ListSelection {
    /// Takes the control plane's list, and when it was last confirmed.
    pub fn receive_control_list(&mut self, now_ms: u64, list: &InstanceList, confirmed_at_ms: Option<u64>) {
        let newer = self.control.as_ref().is_none_or(|known| known.revision < list.revision);
        if newer {
            self.record_draining(now_ms, &list.instances);
            self.control = Some(list.clone());
        }
        self.control_confirmed_at_ms = self.control_confirmed_at_ms.max(confirmed_at_ms);
        let confirmed = self.control_confirmed_at_ms.unwrap_or_default();
        if self.own.as_ref().is_some_and(|own| confirmed >= own.confirmed_at_ms + CONFIRMATION_ERROR_MS) {
            self.own = None;
        }
    }

    /// Takes a list that the agent read itself.
    pub fn receive_own_poll(&mut self, now_ms: u64, reading: &InstanceListPoll) {
        self.record_draining(now_ms, &reading.instances);
        let control = self.control_confirmed_at_ms;
        if control.is_some_and(|confirmed| confirmed >= reading.started_at_ms + CONFIRMATION_ERROR_MS) {
            return;
        }
        let instances = Rc::clone(&reading.instances);
        self.own = Some(ConfirmedList { instances, confirmed_at_ms: reading.started_at_ms });
    }

    /// Takes the end of a searcher that another agent saw; true if it wasn't known.
    pub fn record_peer_departure(&mut self, now_ms: u64, seen: &InstanceDeparture) -> bool {
        self.departed.record(now_ms, &seen.identifier, seen.departure)
    }

    /// The ends that lists showed here since the last call.
    pub fn take_departures(&mut self) -> Vec<InstanceDeparture> {
        std::mem::take(&mut self.departures_to_gossip)
    }

    /// Takes the revision that a proxy says it holds.
    pub fn receive_proxy_revision(&mut self, now_ms: u64, revision: InstanceListRevision) {
        if revision > self.in_force_revision() && revision > self.proxy_revision.revision {
            self.proxy_revision = ProxyRevision { revision, reported_at_ms: now_ms };
        }
    }

    /// When the list in force was last known to be right.
    pub fn confirmed_at_ms(&self) -> Option<u64> {
        let own = self.own.as_ref().map(|own| own.confirmed_at_ms);
        self.control_confirmed_at_ms.max(own)
    }

    /// When the control plane's list was last confirmed.
    pub fn control_confirmed_at_ms(&self) -> Option<u64> {
        self.control_confirmed_at_ms
    }

    /// The list in force.
    pub fn in_force(&self) -> Option<&InstanceList> {
        self.in_force.as_ref()
    }

    /// The list to hand on, if there is a newer one.
    pub fn take_update(&mut self, now_ms: u64) -> Option<InstanceList> {
        let dated = self.latest_confirmed()?;
        let source = if self.own.is_some() { Source::Own } else { Source::Control };
        self.record_departures(now_ms, source, &dated.instances);
        let instances = self.departed.apply(dated.confirmed_at_ms, &dated.instances);
        let revision = self.revision_for(&dated, &instances)?;
        let update = InstanceList { revision, instances };
        self.in_force = Some(update.clone());
        Some(update)
    }

    /// Notes what a list shows as ended, once for each list.
    fn record_departures(&mut self, now_ms: u64, source: Source, instances: &Rc<Vec<Instance>>) {
        if self.recorded.as_ref().is_some_and(|recorded| Rc::ptr_eq(recorded, instances)) {
            return;
        }
        let older = self.in_force.as_ref().map(|list| list.instances.as_slice()).unwrap_or_default();
        let missing = self.departed.record_list(now_ms, older, instances);
        self.recorded = Some(Rc::clone(instances));
        let comparable = self.recorded_source.replace(source) == Some(source);
        if comparable {
            self.queue_for_gossip(missing, Departure::Gone);
        }
    }

    fn record_draining(&mut self, now_ms: u64, instances: &[Instance]) {
        let draining = self.departed.record_draining(now_ms, instances);
        self.queue_for_gossip(draining, Departure::Draining);
    }

    fn queue_for_gossip(&mut self, identifiers: Vec<String>, departure: Departure) {
        let free = MAX_DEPARTURES_TO_GOSSIP.saturating_sub(self.departures_to_gossip.len());
        self.departures_to_gossip.extend(
            identifiers.into_iter().take(free).map(|identifier| InstanceDeparture { identifier, departure }),
        );
    }

    fn latest_confirmed(&self) -> Option<ConfirmedList> {
        if let Some(own) = &self.own {
            return Some(own.clone());
        }
        let control = self.control.as_ref()?;
        let confirmed_at_ms = self.control_confirmed_at_ms.unwrap_or_default();
        Some(ConfirmedList { instances: Rc::clone(&control.instances), confirmed_at_ms })
    }

    /// The revision under which `instances` go on; none if they are in force already or may be older than what a proxy
    /// holds.
    fn revision_for(
        &self,
        dated: &ConfirmedList,
        instances: &Rc<Vec<Instance>>,
    ) -> Option<InstanceListRevision> {
        let last = self.in_force_revision().max(self.proxy_revision.revision);
        if self.own.is_none()
            && let Some(control) = &self.control
            && control.revision > last
        {
            return Some(control.revision);
        }
        if self.proxy_revision.revision > self.in_force_revision() {
            let surely_newer =
                dated.confirmed_at_ms >= self.proxy_revision.reported_at_ms + CONFIRMATION_ERROR_MS;
            return surely_newer.then(|| revision::next_agent_revision(last));
        }
        let is_same =
            |known: &InstanceList| Rc::ptr_eq(&known.instances, instances) || known.instances == *instances;
        let same = self.in_force.as_ref().is_some_and(is_same);
        (!same).then(|| revision::next_agent_revision(last))
    }

    fn in_force_revision(&self) -> InstanceListRevision {
        self.in_force.as_ref().map(|list| list.revision).unwrap_or_default()
    }
}
