//! The newest version of a value, a few older ones, and the frames that bring subscribers from these to the newest.
//!
//! Owned by the [`Publisher`](crate::publisher::Publisher), one for each kind of value. Invariants: versions rise, and a
//! frame is encoded once for all subscribers that have applied the same version.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::frame::{Frame, encode_frame};
use crate::versioned::Versioned;

/// Number of versions that are retained, the newest included. A subscriber whose version isn't among them is sent a full
/// snapshot.
const MAX_RETAINED_VERSIONS: usize = 8;

/// Versions of one value.
#[derive(Debug)]
pub struct VersionHistory<T: Versioned> {
    /// In order, newest last.
    versions: VecDeque<Rc<T>>,
    /// Frames that lead to the newest version, by the version that they differ from; by none the full snapshot.
    frames: BTreeMap<Option<T::Version>, Frame>,
}

impl<T: Versioned> Default for VersionHistory<T> {
    fn default() -> Self {
        VersionHistory {
            versions: VecDeque::new(),
            frames: BTreeMap::new(),
        }
    }
}

impl<T: Versioned> VersionHistory<T> {
    /// The newest value.
    pub fn newest(&self) -> Option<&Rc<T>> {
        self.versions.back()
    }

    /// The newest version; the default if there is none.
    pub fn newest_version(&self) -> T::Version {
        self.newest()
            .map(|newest| newest.version())
            .unwrap_or_default()
    }

    /// Adds a value; false, and without effect, if it isn't newer.
    pub fn push(&mut self, value: Rc<T>) -> bool {
        if value.version() <= self.newest_version() {
            return false;
        }
        self.versions.push_back(value);
        if self.versions.len() > MAX_RETAINED_VERSIONS {
            self.versions.pop_front();
        }
        self.frames.clear();
        true
    }

    /// The frame that brings a subscriber from `applied` to the newest version; none if that is what it has applied.
    pub fn update_frame(&mut self, applied: T::Version) -> Option<Frame> {
        let newest = self.versions.back()?;
        if applied >= newest.version() {
            return None;
        }
        let base = self
            .versions
            .iter()
            .find(|version| version.version() == applied);
        let frame = self
            .frames
            .entry(base.map(|_| applied))
            .or_insert_with(|| match base {
                Some(base) => encode_frame(&newest.difference(base)),
                None => encode_frame(&newest.full_snapshot()),
            });
        Some(Rc::clone(frame))
    }
}
