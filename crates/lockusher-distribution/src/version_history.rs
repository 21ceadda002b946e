//! The newest version of a value, some older ones, and the frames that update subscribers from these to the newest.
//!
//! A [`Publisher`](crate::publisher::Publisher) has one for each kind of value. Invariants: versions increase, and a
//! frame is encoded once for all subscribers that have applied the same version.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::frame::{Frame, encode_frame};
use crate::versioned::Versioned;

/// Number of retained versions, the newest included. A subscriber that has applied another version is sent a full
/// snapshot.
const MAX_RETAINED_VERSIONS: usize = 8;

/// The retained versions of one value.
#[derive(Debug)]
pub struct VersionHistory<T: Versioned> {
    /// In ascending order.
    versions: VecDeque<Rc<T>>,
    /// Frames that lead to the newest version, by their base version; the full snapshot has none.
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
    /// Returns the newest value.
    pub fn newest(&self) -> Option<&Rc<T>> {
        self.versions.back()
    }

    /// Returns the newest version; the default if there is none.
    pub fn newest_version(&self) -> T::Version {
        self.newest()
            .map(|newest| newest.version())
            .unwrap_or_default()
    }

    /// Adds a value; returns false, without effect, if it isn't newer.
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

    /// Returns the frame that updates a subscriber from `applied` to the newest version; none if it has applied the
    /// newest.
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
