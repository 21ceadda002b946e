//! Marks the searchers that are changing their stage as changing in the published instance list.
//!
//! The platform's list doesn't contain this. Owned by the publisher of the list; pure, without I/O.

use std::collections::BTreeMap;
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState, Stage};

use crate::stage_scheduler::StageChange;

/// The stage changes in flight, applied to an instance list.
#[derive(Debug, Default)]
pub struct StageSwitchOverlay {
    /// The stage that each searcher leaves, by its identifier.
    former_stages: BTreeMap<String, Stage>,
}

impl StageSwitchOverlay {
    /// Replaces the changes; returns whether they differ from the former ones.
    pub fn set<'a>(&mut self, changes: impl Iterator<Item = &'a StageChange>) -> bool {
        let former_stages: BTreeMap<String, Stage> = changes
            .map(|change| (change.identifier.clone(), change.from))
            .collect();
        let differs = self.former_stages != former_stages;
        self.former_stages = former_stages;
        differs
    }

    /// Returns the list with the searchers of the changes marked as changing. A searcher that serves its new stage
    /// already, or is draining, stays as it is.
    pub fn apply(&self, instances: &Rc<Vec<Instance>>) -> Rc<Vec<Instance>> {
        if !instances.iter().any(|instance| self.is_switching(instance)) {
            return Rc::clone(instances);
        }
        let mut marked = instances.as_ref().clone();
        for instance in marked
            .iter_mut()
            .filter(|instance| self.is_switching(instance))
        {
            instance.state = InstanceState::Changing;
        }
        Rc::new(marked)
    }

    fn is_switching(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Ready
            && instance.stage.is_some()
            && self.former_stages.get(&instance.identifier).copied() == instance.stage
    }
}
