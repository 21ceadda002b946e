//! Flow control of one kind of update to one subscriber.
//!
//! A [`Subscription`](crate::publisher::subscription::Subscription) has one for configurations and one for instance
//! lists. Invariant: at most one update is in flight, that is sent and not acknowledged.

use crate::frame::Frame;
use crate::version_history::VersionHistory;
use crate::versioned::Versioned;

/// The version that is in flight to a subscriber and the one that it has applied, of one kind of update.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveryProgress<V> {
    applied: V,
    in_flight: Option<V>,
}

impl<V: Copy + Ord + Default> DeliveryProgress<V> {
    /// Returns the version that the subscriber last reported as applied.
    pub fn applied(&self) -> V {
        self.applied
    }

    /// Handles an acknowledgement: the subscriber has applied this version.
    pub fn acknowledge(&mut self, applied: V) {
        self.applied = applied;
        if self.in_flight.is_some_and(|version| applied >= version) {
            self.in_flight = None;
        }
    }

    /// Restarts from this version; an update in flight won't be acknowledged.
    pub fn restart(&mut self, applied: V) {
        *self = DeliveryProgress {
            applied,
            in_flight: None,
        };
    }

    /// Returns the frame that updates the subscriber to the newest version; none if it has applied that, or if an
    /// update is in flight.
    pub fn next_update<T>(&mut self, history: &mut VersionHistory<T>) -> Option<Frame>
    where
        T: Versioned<Version = V>,
    {
        if self.in_flight.is_some() {
            return None;
        }
        let frame = history.update_frame(self.applied)?;
        self.in_flight = Some(history.newest_version());
        Some(frame)
    }
}
