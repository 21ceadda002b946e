//! Selects the instance list in force: the control plane's, or one that the agent polled itself.
//!
//! Lists are compared by the time at which they were last confirmed to match the platform's list. The control plane's
//! list is confirmed by heartbeats; a poll of the agent is dated by its first call. The agent's poll stays in force
//! until the control plane's list is confirmed at a later time, and is then discarded.
//!
//! Owned by the agent's tasks ([`state`](crate::state)): the subscription, the poller and the gossip provide the input,
//! and updates go to the proxy's publisher. Uses neither I/O nor a clock.
//!
//! Invariants: the revisions of updates increase ([`revision_assignment`](crate::revision_assignment)), and an older
//! list doesn't bring back a searcher that was seen draining or gone
//! ([`departure_recorder`](crate::departure_recorder)).

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_distribution::instance_list::InstanceList;
use lockusher_distribution::instance_list_poller::InstanceListPoll;

use crate::confirmed_list::{ConfirmedList, ListSource, is_definitely_later};
use crate::departure_recorder::DepartureRecorder;
use crate::peers::message::InstanceDeparture;
use crate::revision_assignment::RevisionAssignment;

/// The control plane's list is stale if it hasn't been confirmed for this long, in milliseconds.
const STALE_AFTER_MS: u64 = 2_000;

/// The known lists, and the one in force.
#[derive(Debug, Default)]
pub struct ListSelection {
    control_list: Option<InstanceList>,
    control_confirmed_at_ms: Option<u64>,
    /// The agent's last poll, while it is newer than the control plane's list.
    own_poll: Option<ConfirmedList>,
    in_force: Option<InstanceList>,
    revisions: RevisionAssignment,
    departures: DepartureRecorder,
}

impl ListSelection {
    /// Handles the control plane's list and the time of its last confirmation.
    pub fn receive_control_list(
        &mut self,
        now_ms: u64,
        list: &InstanceList,
        confirmed_at_ms: Option<u64>,
    ) {
        let is_newer = self
            .control_list
            .as_ref()
            .is_none_or(|known| known.revision < list.revision);
        if is_newer {
            self.departures.record_draining(now_ms, &list.instances);
            self.control_list = Some(list.clone());
        }
        self.control_confirmed_at_ms = self.control_confirmed_at_ms.max(confirmed_at_ms);
        let confirmed_at_ms = self.control_confirmed_at_ms.unwrap_or_default();
        self.own_poll
            .take_if(|own_poll| is_definitely_later(confirmed_at_ms, own_poll.confirmed_at_ms));
    }

    /// Handles a list that the agent polled itself.
    pub fn receive_own_poll(&mut self, now_ms: u64, poll: &InstanceListPoll) {
        self.departures.record_draining(now_ms, &poll.instances);
        let control_confirmed_at_ms = self.control_confirmed_at_ms;
        if control_confirmed_at_ms
            .is_some_and(|confirmed_at_ms| is_definitely_later(confirmed_at_ms, poll.started_at_ms))
        {
            return;
        }
        self.own_poll = Some(ConfirmedList {
            source: ListSource::OwnPoll,
            instances: Rc::clone(&poll.instances),
            confirmed_at_ms: poll.started_at_ms,
        });
    }

    /// Records a departure that another agent observed; true if it wasn't known.
    pub fn record_peer_departure(&mut self, now_ms: u64, observed: &InstanceDeparture) -> bool {
        self.departures.record_peer_departure(now_ms, observed)
    }

    /// Takes the departures that lists showed since the last call.
    pub fn take_departures(&mut self) -> Vec<InstanceDeparture> {
        self.departures.take_pending()
    }

    /// Handles a proxy's report of the revision that it has applied.
    pub fn receive_proxy_revision(&mut self, now_ms: u64, revision: InstanceListRevision) {
        self.revisions.receive_proxy_revision(now_ms, revision);
    }

    /// When the list in force was last confirmed.
    pub fn confirmed_at_ms(&self) -> Option<u64> {
        let own_confirmed_at_ms = self
            .own_poll
            .as_ref()
            .map(|own_poll| own_poll.confirmed_at_ms);
        self.control_confirmed_at_ms.max(own_confirmed_at_ms)
    }

    /// When the control plane's list becomes stale.
    pub fn control_stale_at_ms(&self) -> u64 {
        self.control_confirmed_at_ms.unwrap_or_default() + STALE_AFTER_MS
    }

    /// The list in force.
    pub fn in_force(&self) -> Option<&InstanceList> {
        self.in_force.as_ref()
    }

    /// Selects the list in force; returns it if it has to be published.
    pub fn take_update(&mut self, now_ms: u64) -> Option<InstanceList> {
        let newest = self.last_confirmed()?;
        let in_force = self
            .in_force
            .as_ref()
            .map(|list| list.instances.as_slice())
            .unwrap_or_default();
        self.departures.record_list(now_ms, &newest, in_force);
        let instances = self.departures.apply(&newest);
        let revision = self.assign_revision(&newest, &instances)?;
        let update = InstanceList {
            revision,
            instances,
        };
        self.in_force = Some(update.clone());
        Some(update)
    }

    /// The list with the latest confirmation.
    fn last_confirmed(&self) -> Option<ConfirmedList> {
        if let Some(own_poll) = &self.own_poll {
            return Some(own_poll.clone());
        }
        let control_list = self.control_list.as_ref()?;
        Some(ConfirmedList {
            source: ListSource::ControlPlane,
            instances: Rc::clone(&control_list.instances),
            confirmed_at_ms: self.control_confirmed_at_ms.unwrap_or_default(),
        })
    }

    fn assign_revision(
        &mut self,
        newest: &ConfirmedList,
        instances: &Rc<Vec<Instance>>,
    ) -> Option<InstanceListRevision> {
        let control_revision = match newest.source {
            ListSource::ControlPlane => self.control_list.as_ref().map(|list| list.revision),
            ListSource::OwnPoll => None,
        };
        let in_force = self.in_force.as_ref();
        let is_in_force = || {
            in_force.is_some_and(|known| {
                Rc::ptr_eq(&known.instances, instances) || known.instances == *instances
            })
        };
        self.revisions
            .assign(control_revision, newest.confirmed_at_ms, is_in_force)
    }
}
