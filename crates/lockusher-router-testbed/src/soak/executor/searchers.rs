//! The searchers in a soak: draining, removal, speed and expiry of handles.

use std::time::Duration;

use super::{Action, Executor};
use crate::engine::Stage;

/// How long a searcher drains before it is replaced or removed.
const DRAIN_DURATION: Duration = Duration::from_secs(5);
/// Interval at which handles are expired.
const HANDLE_EXPIRY_INTERVAL: Duration = Duration::from_millis(5);
/// Model searchers that remain after decode searchers have been retired.
const REMAINING_SEARCHERS: usize = 2;

impl Executor<'_> {
    /// Drains a searcher; a new incarnation replaces it after [`DRAIN_DURATION`].
    pub(super) fn release(&mut self, position: usize) {
        let model = &self.world.models[position];
        model.drain();
        self.world.platform.drain(&model.identity().instance);
        self.schedule_after(DRAIN_DURATION, Action::ReplaceModel(position));
    }

    /// Drains and removes decode searchers as long as more than [`REMAINING_SEARCHERS`] model searchers remain.
    pub(super) fn retire_decode_searchers(&mut self) {
        let departing = |instance: &String| self.departing.values().any(|other| other == instance);
        let remaining: Vec<(String, Stage)> = self
            .world
            .models
            .iter()
            .map(|model| (model.identity().instance.clone(), model.report().stage))
            .filter(|(instance, _)| !departing(instance))
            .collect();
        let may_leave = remaining.len().saturating_sub(REMAINING_SEARCHERS);
        let decoding = remaining
            .into_iter()
            .filter(|(_, stage)| *stage == Stage::Decode)
            .take(may_leave);
        for (instance, _) in decoding.collect::<Vec<_>>() {
            self.world.drain_model(&instance);
            let number = self.scheduled_count;
            self.departing.insert(number, instance);
            self.schedule_after(DRAIN_DURATION, Action::RemoveModel(number));
        }
    }

    pub(super) fn remove_model(&mut self, number: u64) {
        if let Some(instance) = self.departing.remove(&number) {
            self.world.remove_model(&instance);
        }
    }

    pub(super) fn set_speed(&mut self, searcher: usize, factor: u64) {
        let searcher = self.model(searcher);
        self.world.models[searcher].set_slow_down(factor);
    }

    pub(super) fn set_link_slow_down(&mut self, factor: u64) {
        for model in &self.world.models {
            model.set_link_slow_down(factor);
        }
    }

    /// Expires all handles repeatedly until the given time.
    pub(super) fn expire_handles(&mut self, until: Duration) {
        for model in &self.world.models {
            model.expire_all_handles();
        }
        if self.started_at.elapsed() < until {
            self.schedule_after(HANDLE_EXPIRY_INTERVAL, Action::ExpireHandles { until });
        }
    }

    pub(super) fn model(&self, number: usize) -> usize {
        number % self.world.models.len()
    }
}
