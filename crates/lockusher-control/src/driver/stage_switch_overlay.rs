//! Shows the searchers that are changing their stage as changing in the list that the fleet is given.
//!
//! The platform's list doesn't show it. Owned by the publisher of the list; pure, without I/O.

use std::collections::BTreeMap;
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState, Stage};

use crate::stage_scheduler::StageChange;

/// The searchers that are changing their stage.
#[derive(Debug, Default)]
pub struct StageSwitchOverlay {
    /// The stage that a searcher leaves, by its identifier.
    leaving: BTreeMap<String, Stage>,
}

impl StageSwitchOverlay {
    /// Replaces the changes; true if they differ from those before.
    pub fn set<'a>(&mut self, changes: impl Iterator<Item = &'a StageChange>) -> bool {
        let leaving: BTreeMap<String, Stage> = changes
            .map(|change| (change.identifier.clone(), change.from))
            .collect();
        let differs = self.leaving != leaving;
        self.leaving = leaving;
        differs
    }

    /// The list with the searchers of the changes shown as changing; one that serves its new stage, or drains, is shown
    /// as it is.
    pub fn apply(&self, instances: &Rc<Vec<Instance>>) -> Rc<Vec<Instance>> {
        if !instances.iter().any(|instance| self.is_switching(instance)) {
            return Rc::clone(instances);
        }
        let mut shown = instances.as_ref().clone();
        for instance in shown
            .iter_mut()
            .filter(|instance| self.is_switching(instance))
        {
            instance.state = InstanceState::Changing;
        }
        Rc::new(shown)
    }

    fn is_switching(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Ready
            && instance.stage.is_some()
            && self.leaving.get(&instance.identifier).copied() == instance.stage
    }
}
