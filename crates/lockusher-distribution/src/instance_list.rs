//! An instance list with its revision, as publishers and subscribers pass it on.

use std::rc::Rc;

use lockusher_config::instances::{Instance, InstanceListRevision};

/// One revision of the platform's list of searchers.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceList {
    /// The revision; higher ones are newer.
    pub revision: InstanceListRevision,
    /// The searchers, sorted by identifier.
    pub instances: Rc<Vec<Instance>>,
}
