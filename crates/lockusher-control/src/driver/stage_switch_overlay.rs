//! Marks the searchers that are being changed in the list that the fleet is given; the platform's list doesn't show it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceState, Stage};

/// The searchers that are being changed, with the stage that they leave.
#[derive(Debug, Default)]
pub struct StageSwitchOverlay {
    changing: RefCell<BTreeMap<String, Stage>>,
}

impl StageSwitchOverlay {
    /// Replaces the marks; true if they differ from those before.
    pub fn set(&self, marks: Vec<(String, Stage)>) -> bool {
        let marks: BTreeMap<String, Stage> = marks.into_iter().collect();
        let changed = *self.changing.borrow() != marks;
        self.changing.replace(marks);
        changed
    }

    /// The list with the marked searchers shown as changing; one that serves its new stage, or drains, is shown as it is.
    pub fn apply(&self, instances: &Rc<Vec<Instance>>) -> Rc<Vec<Instance>> {
        let changing = self.changing.borrow();
        let is_marked = |instance: &Instance| {
            instance.state == InstanceState::Ready
                && instance.stage.is_some()
                && changing.get(&instance.identifier).copied() == instance.stage
        };
        if !instances.iter().any(is_marked) {
            return Rc::clone(instances);
        }
        let mut marked = instances.as_ref().clone();
        for instance in marked.iter_mut().filter(|instance| is_marked(instance)) {
            instance.state = InstanceState::Changing;
        }
        Rc::new(marked)
    }
}
