//! Selects the instance list in force: the control plane's, or one that the agent polled itself.
//!
//! Lists are compared by when they were last known to be what the platform shows. The control plane's list is
//! confirmed by heartbeats; an own poll dates from its first call. An own poll therefore stays in force until the control
//! plane's list is confirmed at a later time, and then gives way for good.
//!
//! Owned by the agent's tasks ([`state`](crate::state)): the subscription, the poller and the gossip feed it, and the
//! publisher of the proxy takes its updates. No I/O, no clock.
//!
//! Invariants: the revisions of updates rise ([`revision_assignment`](crate::revision_assignment)), and a searcher that
//! was seen draining or gone doesn't return with an older list ([`departure_recorder`](crate::departure_recorder)).

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_distribution::instance_list::InstanceList;
use lockusher_distribution::instance_list_poller::InstanceListPoll;

use crate::confirmed_list::{ConfirmedList, ListSource, is_surely_later};
use crate::departure_recorder::DepartureRecorder;
use crate::peers::message::InstanceDeparture;
use crate::revision_assignment::RevisionAssignment;

/// The control plane's list is stale when it hasn't been confirmed for this long, in milliseconds.
const STALE_AFTER_MS: u64 = 2_000;

/// The lists known, and the one in force.
#[derive(Debug, Default)]
pub struct ListSelection {
    control: Option<InstanceList>,
    control_confirmed_at_ms: Option<u64>,
    /// The agent's last poll, while it is newer than the control plane's list.
    own: Option<ConfirmedList>,
    in_force: Option<InstanceList>,
    revisions: RevisionAssignment,
    departures: DepartureRecorder,
}

impl ListSelection {
    /// Takes the control plane's list, and when it was last confirmed.
    pub fn receive_control_list(
        &mut self,
        now_ms: u64,
        list: &InstanceList,
        confirmed_at_ms: Option<u64>,
    ) {
        let is_newer = self
            .control
            .as_ref()
            .is_none_or(|known| known.revision < list.revision);
        if is_newer {
            self.departures.record_draining(now_ms, &list.instances);
            self.control = Some(list.clone());
        }
        self.control_confirmed_at_ms = self.control_confirmed_at_ms.max(confirmed_at_ms);
        let confirmed_at_ms = self.control_confirmed_at_ms.unwrap_or_default();
        self.own
            .take_if(|own| is_surely_later(confirmed_at_ms, own.confirmed_at_ms));
    }

    /// Takes a list that the agent polled itself.
    pub fn receive_own_poll(&mut self, now_ms: u64, poll: &InstanceListPoll) {
        self.departures.record_draining(now_ms, &poll.instances);
        let control = self.control_confirmed_at_ms;
        if control
            .is_some_and(|confirmed_at_ms| is_surely_later(confirmed_at_ms, poll.started_at_ms))
        {
            return;
        }
        self.own = Some(ConfirmedList {
            source: ListSource::OwnPoll,
            instances: Rc::clone(&poll.instances),
            confirmed_at_ms: poll.started_at_ms,
        });
    }

    /// Takes a departure that another agent observed; true if it is new here.
    pub fn record_peer_departure(&mut self, now_ms: u64, observed: &InstanceDeparture) -> bool {
        self.departures.record_peer_departure(now_ms, observed)
    }

    /// The departures that lists showed here since the last call.
    pub fn take_departures(&mut self) -> Vec<InstanceDeparture> {
        self.departures.take_pending()
    }

    /// Takes the revision that a proxy reports to have applied.
    pub fn receive_proxy_revision(&mut self, now_ms: u64, revision: InstanceListRevision) {
        self.revisions.receive_proxy_revision(now_ms, revision);
    }

    /// When the list in force was last known to be right.
    pub fn confirmed_at_ms(&self) -> Option<u64> {
        let own = self.own.as_ref().map(|own| own.confirmed_at_ms);
        self.control_confirmed_at_ms.max(own)
    }

    /// From when on the control plane's list is stale.
    pub fn control_stale_at_ms(&self) -> u64 {
        self.control_confirmed_at_ms.unwrap_or_default() + STALE_AFTER_MS
    }

    /// The list in force.
    pub fn in_force(&self) -> Option<&InstanceList> {
        self.in_force.as_ref()
    }

    /// The list to publish, if there is a newer one.
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

    /// The list that was last known to be right.
    fn last_confirmed(&self) -> Option<ConfirmedList> {
        if let Some(own) = &self.own {
            return Some(own.clone());
        }
        let control = self.control.as_ref()?;
        Some(ConfirmedList {
            source: ListSource::ControlPlane,
            instances: Rc::clone(&control.instances),
            confirmed_at_ms: self.control_confirmed_at_ms.unwrap_or_default(),
        })
    }

    fn assign_revision(
        &mut self,
        newest: &ConfirmedList,
        instances: &Rc<Vec<Instance>>,
    ) -> Option<InstanceListRevision> {
        let control_revision = match newest.source {
            ListSource::ControlPlane => self.control.as_ref().map(|control| control.revision),
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
