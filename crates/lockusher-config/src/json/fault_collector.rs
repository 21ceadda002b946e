//! Collects faults while a document is read.

use std::cell::RefCell;
use std::fmt;

use crate::fault::{Faults, Problem};

/// Shared collector of the faults of one document.
#[derive(Debug, Default)]
pub struct FaultCollector {
    faults: RefCell<Faults>,
}

impl FaultCollector {
    /// Adds a fault.
    pub fn add(&self, location: impl fmt::Display, problem: Problem) {
        self.faults.borrow_mut().add(location, problem);
    }

    /// Returns all faults that were added.
    pub fn into_faults(self) -> Faults {
        self.faults.into_inner()
    }
}
