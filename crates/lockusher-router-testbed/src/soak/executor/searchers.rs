//! The searchers in a soak: releases, departures, speed and handles.

use std::time::Duration;

use super::{Action, Player};
use crate::engine::Stage;

/// How long a searcher drains before it is replaced, or gone.
const DRAIN: Duration = Duration::from_secs(5);
const LAPSE_PERIOD: Duration = Duration::from_millis(5);
/// Searchers of a service that stay when the others leave for good.
const SEARCHERS_LEFT: usize = 2;

impl Player<'_> {
    /// Shows a searcher as draining; a new incarnation takes its place later.
    pub(super) fn release(&mut self, position: usize) {
        let model = &self.world.models[position];
        model.drain();
        self.world.platform.drain(&model.identity().instance);
        self.plan_in(DRAIN, Action::ReplaceModel(position));
    }

    /// Decode searchers leave for good, one after the other, while more searchers than are to stay are there.
    pub(super) fn retire_decode_searchers(&mut self) {
        let leaving = |instance: &String| self.leaving.values().any(|other| other == instance);
        let staying: Vec<(String, Stage)> = self
            .world
            .models
            .iter()
            .map(|model| (model.identity().instance.clone(), model.report().stage))
            .filter(|(instance, _)| !leaving(instance))
            .collect();
        let may_leave = staying.len().saturating_sub(SEARCHERS_LEFT);
        let decoding = staying
            .into_iter()
            .filter(|(_, stage)| *stage == Stage::Decode)
            .take(may_leave);
        for (instance, _) in decoding.collect::<Vec<_>>() {
            self.world.drain_model(&instance);
            let number = self.planned;
            self.leaving.insert(number, instance);
            self.plan_in(DRAIN, Action::RemoveModel(number));
        }
    }

    pub(super) fn remove_model(&mut self, number: u64) {
        if let Some(instance) = self.leaving.remove(&number) {
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

    pub(super) fn lapse(&mut self, until: Duration) {
        for model in &self.world.models {
            model.lapse_all_handles();
        }
        if self.begun.elapsed() < until {
            self.plan_in(LAPSE_PERIOD, Action::Lapse { until });
        }
    }

    pub(super) fn model(&self, number: usize) -> usize {
        number % self.world.models.len()
    }
}
