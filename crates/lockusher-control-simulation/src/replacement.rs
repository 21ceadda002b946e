//! Replacement of a machine that was removed permanently.

use std::collections::BTreeSet;

/// A machine that was removed permanently, and its successor.
#[derive(Debug)]
pub struct Replacement {
    /// Number of the removed machine.
    pub removed: usize,
    /// Number of the machine that was added in its place.
    pub successor: usize,
    /// Machines that were seen in a chain without the removed one, so that their later departure is distinguishable from its
    /// own.
    pub seen_after_departure: BTreeSet<usize>,
}
