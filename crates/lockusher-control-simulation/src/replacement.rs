//! A machine that was removed for good, and the one that was added for it.

use std::collections::BTreeSet;

/// A machine that was removed for good and whose place a successor takes.
#[derive(Debug)]
pub struct Replacement {
    /// Number of the removed machine.
    pub removed: usize,
    /// Number of the machine that was added for it.
    pub successor: usize,
    /// Machines that were seen in a chain that the removed one had left.
    pub seen_after_departure: BTreeSet<usize>,
}
