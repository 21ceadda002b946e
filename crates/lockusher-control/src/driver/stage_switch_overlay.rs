//! Marks the searchers that are being changed in the list that the fleet is given; the platform's list doesn't show it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState, Stage};

/// The searchers that are being changed, with the stage that they leave.
#[derive(Debug, Default)]
pub struct StageSwitchOverlay {
    switching: RefCell<BTreeMap<String, Stage>>,
}

impl StageSwitchOverlay {
    /// Replaces the set of switching searchers; true if they differ from those before.
    pub fn set(&self, switching: Vec<(String, Stage)>) -> bool {
        let switching: BTreeMap<String, Stage> = switching.into_iter().collect();
        let changed = *self.switching.borrow() != switching;
        self.switching.replace(switching);
        changed
    }

    /// The list with the switching searchers shown as changing; one that serves its new stage, or drains, is shown as it is.
    pub fn apply(&self, instances: &Rc<Vec<Instance>>) -> Rc<Vec<Instance>> {
        let switching = self.switching.borrow();
        let is_switching = |instance: &Instance| {
            instance.state == InstanceState::Ready
                && instance.stage.is_some()
                && switching.get(&instance.identifier).copied() == instance.stage
        };
        if !instances.iter().any(is_switching) {
            return Rc::clone(instances);
        }
        let mut updated = instances.as_ref().clone();
        for instance in updated.iter_mut().filter(|instance| is_switching(instance)) {
            instance.state = InstanceState::Changing;
        }
        Rc::new(updated)
    }
}
