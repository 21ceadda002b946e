//! Publishes the instance list that this node polled as head.
//!
//! Shared by the task that polls the platform and by the stage assignment, which reports the searchers that are
//! changing. Owns the last poll and the overlay of changing searchers. Invariant: a list is published only while this
//! node is head in the epoch of the poll, and under a higher revision than any that subscribers have applied.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use lockusher_config::instances::Instance;
use lockusher_distribution::instance_list_poller::InstanceListPoll;
use lockusher_distribution::publisher::PublisherStatus;

use super::instance_list_revision::{is_current, next_revision};
use super::replica_driver::ReplicaDriver;
use super::stage_switch_overlay::StageSwitchOverlay;
use crate::chain_role::ChainRole;
use crate::stage_scheduler::StageChange;

/// The platform's list as this node last polled it.
#[derive(Clone, Debug)]
struct PolledList {
    /// Epoch in which this node polled the list as head.
    epoch: u64,
    instances: Rc<Vec<Instance>>,
}

/// Publishes polled lists, with searchers that are changing their stage marked as changing.
pub struct InstanceListPublisher {
    driver: Rc<ReplicaDriver>,
    overlay: RefCell<StageSwitchOverlay>,
    last_poll: RefCell<Option<PolledList>>,
}

impl InstanceListPublisher {
    /// Creates a publisher without a poll.
    pub fn new(driver: Rc<ReplicaDriver>) -> Rc<Self> {
        Rc::new(InstanceListPublisher {
            driver,
            overlay: RefCell::default(),
            last_poll: RefCell::default(),
        })
    }

    /// Publishes a list polled as head in `epoch` if it differs from the newest one; always updates the time at which
    /// the list was last confirmed.
    pub fn publish_poll(&self, epoch: u64, poll: &InstanceListPoll) {
        self.driver.publisher.update_no_wake(|publisher| {
            let status = PublisherStatus {
                list_confirmed_at_ms: Some(poll.started_at_ms),
                calls_per_poll: poll.calls,
                ..publisher.status()
            };
            publisher.set_status(status);
        });
        let polled = PolledList {
            epoch,
            instances: Rc::clone(&poll.instances),
        };
        self.last_poll.replace(Some(polled.clone()));
        self.publish(&polled, poll.changed);
    }

    /// Marks exactly the searchers of these changes as changing. If they differ from the former ones, the last poll is
    /// published again.
    pub fn set_switching<'a>(&self, changes: impl Iterator<Item = &'a StageChange>) {
        if self.overlay.borrow_mut().set(changes) {
            self.republish();
        }
    }

    /// Marks no searcher as changing, without publishing the list: this node is no longer head.
    pub fn clear_switching(&self) {
        self.overlay.borrow_mut().set(std::iter::empty());
    }

    fn republish(&self) {
        let Some(polled) = self.last_poll.borrow().clone() else {
            return;
        };
        if self.driver.role() == ChainRole::head(polled.epoch) {
            self.publish(&polled, true);
        }
    }

    fn publish(&self, polled: &PolledList, has_changed: bool) {
        let epoch = polled.epoch;
        let instances = self.overlay.borrow().apply(&polled.instances);
        let published = self.driver.publisher.update_no_wake(|publisher| {
            let newest = publisher.newest().list_revision;
            let highest_applied = publisher.highest_applied_revision();
            if is_current(epoch, newest, highest_applied) && !has_changed {
                return false;
            }
            let revision = next_revision(epoch, newest.max(highest_applied), time_of_day_ms());
            publisher.publish_list(revision, instances)
        });
        if published {
            self.driver.publisher.update(|_| ());
        }
    }
}

fn time_of_day_ms() -> u64 {
    // A clock before 1970 yields 0: revisions are then incremented by one.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
