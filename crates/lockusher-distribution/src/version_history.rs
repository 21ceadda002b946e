//! The newest version of something that is published, a few older ones to make differences from, and the frames that
//! bring subscribers to the newest: each is encoded once, whoever needs it.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::frame::{Frame, encode_frame};
use crate::versioned::Versioned;

/// Versions that are kept to make differences from.
const MAX_RETAINED_VERSIONS: usize = 8;

/// Versions of one value, newest last.
#[derive(Debug)]
pub struct VersionHistory<T: Versioned> {
    versions: VecDeque<Rc<T>>,
    /// Frames that lead to the newest version, by their base.
    frames: BTreeMap<Option<T::Version>, Frame>,
}

impl<T: Versioned> Default for VersionHistory<T> {
    fn default() -> Self {
        VersionHistory { versions: VecDeque::new(), frames: BTreeMap::new() }
    }
}

impl<T: Versioned> VersionHistory<T> {
    /// The newest value.
    pub fn newest(&self) -> Option<&Rc<T>> {
        self.versions.back()
    }

    /// The newest version; the default if there is none.
    pub fn newest_version(&self) -> T::Version {
        self.newest().map(|newest| newest.version()).unwrap_or_default()
    }

    /// Takes a newer value; false if it isn't newer.
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

    /// The frame that brings a subscriber that holds `held` to the newest version; none if it needs none.
    pub fn update_frame(&mut self, applied: T::Version) -> Option<Frame> {
        let newest = self.versions.back()?;
        if applied >= newest.version() {
            return None;
        }
        let base = self.versions.iter().find(|version| version.version() == applied);
        let frame = self.frames.entry(base.map(|_| applied)).or_insert_with(|| match base {
            Some(base) => encode_frame(&newest.difference(base)),
            None => encode_frame(&newest.full_snapshot()),
        });
        Some(Rc::clone(frame))
    }
}
