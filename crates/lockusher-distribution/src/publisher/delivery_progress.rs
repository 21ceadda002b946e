//! Flow control of one kind of update to one subscriber.
//!
//! Owned by a [`Subscription`](crate::publisher::subscription::Subscription), one for configurations and one for
//! instance lists. Invariant: at most one update is in flight, that is sent and not acknowledged.

use crate::frame::Frame;
use crate::version_history::VersionHistory;
use crate::versioned::Versioned;

/// What a subscriber was sent of one kind of update, and what it has applied.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveryProgress<V> {
    applied: V,
    in_flight: Option<V>,
}

impl<V: Copy + Ord + Default> DeliveryProgress<V> {
    /// The version that the subscriber last said it has applied.
    pub fn applied(&self) -> V {
        self.applied
    }

    /// Takes an acknowledgement: the subscriber has applied this version.
    pub fn acknowledge(&mut self, applied: V) {
        self.applied = applied;
        if self.in_flight.is_some_and(|version| applied >= version) {
            self.in_flight = None;
        }
    }

    /// Starts over from this version; what is in flight won't be acknowledged.
    pub fn restart(&mut self, applied: V) {
        *self = DeliveryProgress {
            applied,
            in_flight: None,
        };
    }

    /// The frame that brings the subscriber to the newest version; none if it has applied that, or if an update is in
    /// flight already.
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
