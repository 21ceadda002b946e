//! An instance list with its revision, as passed on by publishers and subscribers.

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceListRevision};

/// One revision of the platform's list of searchers.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceList {
    /// The revision; a greater one is newer.
    pub revision: InstanceListRevision,
    /// The searchers, sorted by identifier.
    pub instances: Rc<Vec<Instance>>,
}
