//! The view that is held: entries at one revision, and what of it has not been told yet.

use std::collections::{BTreeMap, BTreeSet};

use lockusher_multiget::list::LocatedSearcher;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{SearcherId, SearcherState};

use super::entry::{self, Change, ClusterId, Entry, Revision};

/// The state that a view shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Version {
    pub cluster: ClusterId,
    pub revision: Revision,
}

/// An entry, as it could be read last.
struct Row {
    modified: Revision,
    line: Option<LocatedSearcher>,
    readable: bool,
}

/// Entries at one version. It changes by whole revisions only.
#[derive(Default)]
pub struct View {
    pub version: Version,
    rows: BTreeMap<String, Row>,
    /// Searchers that are up; counted as rows change, since each change tells how many there were.
    up: usize,
}

/// What a change of the view came to.
#[derive(Debug, Default, PartialEq)]
pub struct Altered {
    /// Entries written, and entries that vanished.
    pub written: usize,
    pub vanished: usize,
    /// Searchers that were up before, and that are now.
    pub up_before: usize,
    pub up: usize,
    /// Entries that can't be read, each named once for each time it was written, and why.
    pub unreadable: Vec<(String, String)>,
}

/// Lines that have not been told yet: one a searcher, however often it changed.
#[derive(Default)]
pub struct Untold {
    lines: BTreeMap<SearcherId, LocatedSearcher>,
    /// Changes that another of the same searcher overtook before they were told.
    pub folded: u64,
}

impl Untold {
    fn note(&mut self, line: LocatedSearcher) {
        self.folded += u64::from(self.lines.insert(line.0.id.clone(), line).is_some());
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub fn take(&mut self) -> Vec<LocatedSearcher> {
        std::mem::take(&mut self.lines).into_values().collect()
    }
}

fn is_up((listed, _): &LocatedSearcher) -> bool {
    listed.state == SearcherState::Up
}

impl View {
    pub fn lines(&self) -> impl Iterator<Item = &LocatedSearcher> {
        self.rows.values().filter_map(|row| row.line.as_ref())
    }

    pub fn entries(&self) -> usize {
        self.rows.len()
    }

    pub fn unreadable(&self) -> usize {
        self.rows.values().filter(|row| !row.readable).count()
    }

    /// Takes another whole view. With `anew`, revisions of the one held say nothing about it.
    pub fn replace(
        &mut self,
        version: Version,
        entries: Vec<Entry>,
        anew: bool,
        names: &Names,
        untold: &mut Untold,
    ) -> Altered {
        let mut altered = Altered {
            up_before: self.up,
            ..Altered::default()
        };
        let anew = anew || version.cluster != self.version.cluster;
        let named: BTreeSet<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        let vanished: Vec<String> = self
            .rows
            .keys()
            .filter(|name| !named.contains(*name))
            .cloned()
            .collect();
        for name in vanished {
            self.remove(&name, untold, &mut altered);
        }
        for Entry {
            name,
            modified,
            value,
        } in entries
        {
            if anew
                || self
                    .rows
                    .get(&name)
                    .is_none_or(|row| row.modified != modified)
            {
                self.write(name, modified, &value, names, untold, &mut altered);
            }
        }
        self.version = version;
        altered.up = self.up;
        altered
    }

    /// Takes the changes of whole revisions, oldest first. What is not newer than the view came before and counts once.
    pub fn apply(&mut self, changes: Vec<Change>, names: &Names, untold: &mut Untold) -> Altered {
        let mut altered = Altered {
            up_before: self.up,
            ..Altered::default()
        };
        let held = self.version.revision;
        for Change {
            name,
            modified,
            value,
        } in changes
        {
            if modified <= held {
                continue;
            }
            match value {
                Some(value) => self.write(name, modified, &value, names, untold, &mut altered),
                None => self.remove(&name, untold, &mut altered),
            }
            self.version.revision = self.version.revision.max(modified);
        }
        altered.up = self.up;
        altered
    }

    /// An entry that can't be read leaves its searcher as it was last readable: a slip of a tool that writes many
    /// entries must not drain the fleet.
    fn write(
        &mut self,
        name: String,
        modified: Revision,
        value: &[u8],
        names: &Names,
        untold: &mut Untold,
        altered: &mut Altered,
    ) {
        if name.is_empty() {
            return; // The prefix itself, a folder's key.
        }
        altered.written += 1;
        let row = self.rows.entry(name.clone()).or_insert(Row {
            modified,
            line: None,
            readable: true,
        });
        row.modified = modified;
        match entry::read(&name, value, names) {
            Ok(line) => {
                row.readable = true;
                if row.line.as_ref() != Some(&line) {
                    self.up -= usize::from(row.line.as_ref().is_some_and(is_up));
                    self.up += usize::from(is_up(&line));
                    row.line = Some(line.clone());
                    untold.note(line);
                }
            }
            Err(why) => {
                row.readable = false;
                altered.unreadable.push((name, why));
            }
        }
    }

    fn remove(&mut self, name: &str, untold: &mut Untold, altered: &mut Altered) {
        let Some(row) = self.rows.remove(name) else {
            return;
        };
        altered.vanished += 1;
        if let Some((mut listed, place)) = row.line {
            self.up -= usize::from(listed.state == SearcherState::Up);
            listed.state = SearcherState::Gone;
            untold.note((listed, place));
        }
    }
}
