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
use lockusher_distribution::instance_list_poller::Reading;
use lockusher_distribution::publisher::InstanceList;
use lockusher_distribution::revision;

/// A list that hasn't been confirmed for this long is stale.
pub const FRESH_MS: u64 = 2_000;
/// Confirmations are dated by heartbeats, which take some time to arrive: they may be older by this much.
const DATING_ERROR_MS: u64 = 300;

/// Ends that are kept until they are taken for other agents.
const MOST_TO_TELL: usize = 128;

/// A list with the time at which it was last known to be right.
#[derive(Clone, Debug)]
struct Dated {
    instances: Rc<Vec<Instance>>,
    confirmed_at_ms: u64,
}

/// A higher revision than the agent's own that a proxy holds.
#[derive(Clone, Copy, Debug, Default)]
struct HeldAhead {
    revision: InstanceListRevision,
    heard_at_ms: u64,
}

/// Whose list it is. Only lists of the same source are surely in order, so that what the later lacks is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Control,
    Own,
}

/// The lists known, and the one in force.
#[derive(Debug, Default)]
pub struct ListMerge {
    control: Option<InstanceList>,
    control_confirmed_at_ms: Option<u64>,
    own: Option<Dated>,
    in_force: Option<InstanceList>,
    held_ahead: HeldAhead,
    ended: DepartedInstances,
    /// The last list of which the ends were noted.
    noted: Option<Rc<Vec<Instance>>>,
    noted_source: Option<Source>,
    /// Ends that were seen here first, for other agents.
    to_tell: Vec<(String, Departure)>,
}

impl ListMerge {
    /// Takes the control plane's list, and when it was last confirmed.
    pub fn control_list(&mut self, now_ms: u64, list: &InstanceList, confirmed_at_ms: Option<u64>) {
        let newer = self.control.as_ref().is_none_or(|known| known.revision < list.revision);
        if newer {
            self.note_draining(now_ms, &list.instances);
            self.control = Some(list.clone());
        }
        self.control_confirmed_at_ms = self.control_confirmed_at_ms.max(confirmed_at_ms);
        let confirmed = self.control_confirmed_at_ms.unwrap_or_default();
        if self.own.as_ref().is_some_and(|own| confirmed >= own.confirmed_at_ms + DATING_ERROR_MS) {
            self.own = None;
        }
    }

    /// Takes a list that the agent read itself.
    pub fn own_reading(&mut self, now_ms: u64, reading: &Reading) {
        self.note_draining(now_ms, &reading.instances);
        let control = self.control_confirmed_at_ms;
        if control.is_some_and(|confirmed| confirmed >= reading.started_at_ms + DATING_ERROR_MS) {
            return;
        }
        let instances = Rc::clone(&reading.instances);
        self.own = Some(Dated { instances, confirmed_at_ms: reading.started_at_ms });
    }

    /// Takes the end of a searcher that another agent saw; true if it wasn't known.
    pub fn ended_elsewhere(&mut self, now_ms: u64, identifier: &str, end: Departure) -> bool {
        self.ended.note(now_ms, identifier, end)
    }

    /// The ends that lists showed here since the last call.
    pub fn take_ends(&mut self) -> Vec<(String, Departure)> {
        std::mem::take(&mut self.to_tell)
    }

    /// Takes the revision that a proxy says it holds.
    pub fn proxy_holds(&mut self, now_ms: u64, revision: InstanceListRevision) {
        if revision > self.in_force_revision() && revision > self.held_ahead.revision {
            self.held_ahead = HeldAhead { revision, heard_at_ms: now_ms };
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
        let dated = self.chosen()?;
        let source = if self.own.is_some() { Source::Own } else { Source::Control };
        self.note_ends(now_ms, source, &dated.instances);
        let instances = self.ended.apply(dated.confirmed_at_ms, &dated.instances);
        let revision = self.revision_for(&dated, &instances)?;
        let update = InstanceList { revision, instances };
        self.in_force = Some(update.clone());
        Some(update)
    }

    /// Notes what a list shows as ended, once for each list.
    fn note_ends(&mut self, now_ms: u64, source: Source, instances: &Rc<Vec<Instance>>) {
        if self.noted.as_ref().is_some_and(|noted| Rc::ptr_eq(noted, instances)) {
            return;
        }
        let older = self.in_force.as_ref().map(|list| list.instances.as_slice()).unwrap_or_default();
        let missing = self.ended.note_list(now_ms, older, instances);
        self.noted = Some(Rc::clone(instances));
        let comparable = self.noted_source.replace(source) == Some(source);
        if comparable {
            self.tell(missing, Departure::Gone);
        }
    }

    fn note_draining(&mut self, now_ms: u64, instances: &[Instance]) {
        let draining = self.ended.note_draining(now_ms, instances);
        self.tell(draining, Departure::Draining);
    }

    fn tell(&mut self, identifiers: Vec<String>, end: Departure) {
        let room = MOST_TO_TELL.saturating_sub(self.to_tell.len());
        self.to_tell.extend(identifiers.into_iter().take(room).map(|identifier| (identifier, end)));
    }

    fn chosen(&self) -> Option<Dated> {
        if let Some(own) = &self.own {
            return Some(own.clone());
        }
        let control = self.control.as_ref()?;
        let confirmed_at_ms = self.control_confirmed_at_ms.unwrap_or_default();
        Some(Dated { instances: Rc::clone(&control.instances), confirmed_at_ms })
    }

    /// The revision under which `instances` go on; none if they are in force already or may be older than what a proxy
    /// holds.
    fn revision_for(&self, dated: &Dated, instances: &Rc<Vec<Instance>>) -> Option<InstanceListRevision> {
        let last = self.in_force_revision().max(self.held_ahead.revision);
        if self.own.is_none()
            && let Some(control) = &self.control
            && control.revision > last
        {
            return Some(control.revision);
        }
        if self.held_ahead.revision > self.in_force_revision() {
            let surely_newer = dated.confirmed_at_ms >= self.held_ahead.heard_at_ms + DATING_ERROR_MS;
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
