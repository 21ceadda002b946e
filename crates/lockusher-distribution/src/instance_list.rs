//! A list of searchers with its revision.

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceListRevision};

/// A list with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceList {
    pub revision: InstanceListRevision,
    pub instances: Rc<Vec<Instance>>,
}
