//! The view: all entries at one revision, and the updates of it that have not been taken yet.

use std::collections::{BTreeMap, BTreeSet};

use lockusher_multiget::list::LocatedSearcher;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{SearcherId, SearcherState};

use super::entry::{self, Change, ClusterId, Entry, Revision};

/// The state that a view represents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Version {
    pub cluster: ClusterId,
    pub revision: Revision,
}

/// An entry with its last readable line.
struct Row {
    modified: Revision,
    line: Option<LocatedSearcher>,
    readable: bool,
}

/// All entries at one version. Changes are applied in whole revisions only.
#[derive(Default)]
pub struct View {
    pub version: Version,
    rows: BTreeMap<String, Row>,
    /// Searchers that are up, counted incrementally: each change reports the count before and after.
    up_count: usize,
}

/// The effect of a change of the view.
#[derive(Debug, Default, PartialEq)]
pub struct ViewChange {
    /// Entries that were written.
    pub written: usize,
    /// Entries that were deleted or are missing from a new view.
    pub removed: usize,
    /// Searchers that were up before.
    pub up_before: usize,
    /// Searchers that are up now.
    pub up: usize,
    /// Entries that can't be read, with the reason, once for each time they were written.
    pub unreadable: Vec<(String, String)>,
}

/// Updates that have not been taken yet: the latest line of each searcher that changed.
#[derive(Default)]
pub struct PendingUpdates {
    lines: BTreeMap<SearcherId, LocatedSearcher>,
    /// Updates that were replaced by a later one of the same searcher before they were taken.
    pub coalesced: u64,
}

impl PendingUpdates {
    fn record(&mut self, line: LocatedSearcher) {
        self.coalesced += u64::from(self.lines.insert(line.0.id.clone(), line).is_some());
    }

    /// Whether there is no update.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Takes all updates.
    pub fn take(&mut self) -> Vec<LocatedSearcher> {
        std::mem::take(&mut self.lines).into_values().collect()
    }
}

fn is_up((listed, _): &LocatedSearcher) -> bool {
    listed.state == SearcherState::Up
}

impl View {
    /// The last readable line of each entry.
    pub fn lines(&self) -> impl Iterator<Item = &LocatedSearcher> {
        self.rows.values().filter_map(|row| row.line.as_ref())
    }

    /// The number of entries.
    pub fn entries(&self) -> usize {
        self.rows.len()
    }

    /// The number of entries that can't be read.
    pub fn unreadable(&self) -> usize {
        self.rows.values().filter(|row| !row.readable).count()
    }

    /// Replaces the whole view. With `ignore_revisions`, an entry may differ even if its revision has not changed.
    pub fn replace(
        &mut self,
        version: Version,
        entries: Vec<Entry>,
        ignore_revisions: bool,
        names: &Names,
        pending: &mut PendingUpdates,
    ) -> ViewChange {
        let mut change = ViewChange {
            up_before: self.up_count,
            ..ViewChange::default()
        };
        let ignore_revisions = ignore_revisions || version.cluster != self.version.cluster;
        let present: BTreeSet<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        let removed: Vec<String> = self
            .rows
            .keys()
            .filter(|name| !present.contains(*name))
            .cloned()
            .collect();
        for name in removed {
            self.remove(&name, pending, &mut change);
        }
        for Entry {
            name,
            modified,
            value,
        } in entries
        {
            if ignore_revisions
                || self
                    .rows
                    .get(&name)
                    .is_none_or(|row| row.modified != modified)
            {
                self.write(name, modified, &value, names, pending, &mut change);
            }
        }
        self.version = version;
        change.up = self.up_count;
        change
    }

    /// Applies the changes of whole revisions, oldest first. Changes not newer than the view are duplicates and
    /// ignored.
    pub fn apply(
        &mut self,
        changes: Vec<Change>,
        names: &Names,
        pending: &mut PendingUpdates,
    ) -> ViewChange {
        let mut change = ViewChange {
            up_before: self.up_count,
            ..ViewChange::default()
        };
        let current = self.version.revision;
        for Change {
            name,
            modified,
            value,
        } in changes
        {
            if modified <= current {
                continue;
            }
            match value {
                Some(value) => self.write(name, modified, &value, names, pending, &mut change),
                None => self.remove(&name, pending, &mut change),
            }
            self.version.revision = self.version.revision.max(modified);
        }
        change.up = self.up_count;
        change
    }

    /// Writes an entry. One that can't be read leaves its searcher as it was last readable: a faulty tool that writes
    /// many entries must not drain the fleet.
    fn write(
        &mut self,
        name: String,
        modified: Revision,
        value: &[u8],
        names: &Names,
        pending: &mut PendingUpdates,
        change: &mut ViewChange,
    ) {
        if name.is_empty() {
            return; // The prefix itself: the key of a folder.
        }
        change.written += 1;
        let row = self.rows.entry(name.clone()).or_insert(Row {
            modified,
            line: None,
            readable: true,
        });
        row.modified = modified;
        match entry::parse(&name, value, names) {
            Ok(line) => {
                row.readable = true;
                if row.line.as_ref() != Some(&line) {
                    self.up_count -= usize::from(row.line.as_ref().is_some_and(is_up));
                    self.up_count += usize::from(is_up(&line));
                    row.line = Some(line.clone());
                    pending.record(line);
                }
            }
            Err(reason) => {
                row.readable = false;
                change.unreadable.push((name, reason));
            }
        }
    }

    fn remove(&mut self, name: &str, pending: &mut PendingUpdates, change: &mut ViewChange) {
        let Some(row) = self.rows.remove(name) else {
            return;
        };
        change.removed += 1;
        if let Some((mut listed, place)) = row.line {
            self.up_count -= usize::from(listed.state == SearcherState::Up);
            listed.state = SearcherState::Gone;
            pending.record((listed, place));
        }
    }
}
