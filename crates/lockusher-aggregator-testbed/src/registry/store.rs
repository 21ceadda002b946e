//! A small key-value store with revisions, leases, history and compaction, as etcd's API guarantees publish them: each
//! write of one transaction has the same revision; a read at a revision below the compacted one fails; a watch may
//! begin at any revision that is not below it.

use std::collections::BTreeMap;

use imbl::OrdMap;

pub type Key = Vec<u8>;

#[derive(Clone, Debug, PartialEq)]
pub struct Kv {
    pub created: u64,
    pub modified: u64,
    pub version: u64,
    pub value: Vec<u8>,
    pub lease: u64,
}

#[derive(Clone, Debug)]
pub enum Write {
    Put {
        key: Key,
        value: Vec<u8>,
        lease: u64,
    },
    Delete {
        key: Key,
    },
}

/// What happened to a key in a revision; without a value it was deleted.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub key: Key,
    pub revision: u64,
    pub kv: Option<Kv>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refused {
    Compacted,
    Future,
}

/// A page of keys, and whether more follow.
pub type Page = (Vec<(Key, Kv)>, bool);

pub struct Store {
    pub cluster: u64,
    revision: u64,
    compacted: u64,
    /// The state after each revision that is kept; they share what they have in common.
    states: BTreeMap<u64, OrdMap<Key, Kv>>,
    events: BTreeMap<u64, Vec<Event>>,
}

impl Store {
    pub fn new(cluster: u64) -> Self {
        let states = BTreeMap::from([(1, OrdMap::new())]);
        Store {
            cluster,
            revision: 1,
            compacted: 0,
            states,
            events: BTreeMap::new(),
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    pub fn now(&self) -> &OrdMap<Key, Kv> {
        &self.states[&self.revision]
    }

    /// One transaction; deleting what is not there changes nothing. Tells its revision.
    pub fn apply(&mut self, writes: impl IntoIterator<Item = Write>) -> u64 {
        let (next, mut state, mut events) = (self.revision + 1, self.now().clone(), Vec::new());
        for write in writes {
            match write {
                Write::Put { key, value, lease } => {
                    let old = state.get(&key);
                    let (created, version) =
                        old.map_or((next, 1), |old| (old.created, old.version + 1));
                    let kv = Kv {
                        created,
                        modified: next,
                        version,
                        value,
                        lease,
                    };
                    state.insert(key.clone(), kv.clone());
                    events.push(Event {
                        key,
                        revision: next,
                        kv: Some(kv),
                    });
                }
                Write::Delete { key } => {
                    if state.remove(&key).is_some() {
                        events.push(Event {
                            key,
                            revision: next,
                            kv: None,
                        });
                    }
                }
            }
        }
        if !events.is_empty() {
            self.revision = next;
            self.states.insert(next, state);
            self.events.insert(next, events);
        }
        self.revision
    }

    /// Ends leases: their keys go in one revision.
    pub fn expire(&mut self, leases: &[u64]) -> u64 {
        let held = self
            .now()
            .iter()
            .filter(|(_, kv)| leases.contains(&kv.lease));
        let writes: Vec<Write> = held
            .map(|(key, _)| Write::Delete { key: key.clone() })
            .collect();
        self.apply(writes)
    }

    /// Forgets all before a revision.
    pub fn compact(&mut self, at: u64) {
        let at = at.min(self.revision);
        if at > self.compacted {
            self.compacted = at;
            self.states = self.states.split_off(&at);
            self.events = self.events.split_off(&at);
        }
    }

    /// Another cluster takes this one's place, empty.
    pub fn replace(&mut self, cluster: u64) {
        *self = Store::new(cluster);
    }

    /// Keys from `key` up to `end` (to the last one, if that is a zero byte), as they stood at a revision; 0 means now.
    pub fn range(&self, key: &[u8], end: &[u8], limit: usize, at: u64) -> Result<Page, Refused> {
        let at = if at == 0 { self.revision } else { at };
        if at > self.revision {
            return Err(Refused::Future);
        }
        let state = self.states.get(&at).ok_or(Refused::Compacted)?;
        let within = |name: &Key| end == [0] || name.as_slice() < end;
        let mut keys = state
            .range(key.to_vec()..)
            .take_while(|(name, _)| within(name));
        let most = if limit == 0 { usize::MAX } else { limit };
        let page: Vec<(Key, Kv)> = keys
            .by_ref()
            .take(most)
            .map(|(k, kv)| (k.clone(), kv.clone()))
            .collect();
        Ok((page, keys.next().is_some()))
    }

    /// What happened under a prefix from a revision up to another, oldest first.
    pub fn events(&self, prefix: &[u8], from: u64, to: u64) -> Result<Vec<Event>, Refused> {
        if from < self.compacted {
            return Err(Refused::Compacted);
        }
        if from > to {
            return Ok(Vec::new());
        }
        let all = self.events.range(from..=to).flat_map(|(_, events)| events);
        Ok(all
            .filter(|event| event.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    /// The last revision, up to one, that touched a prefix, as far back as is known.
    pub fn touched(&self, prefix: &[u8], to: u64) -> u64 {
        let mut back = self.events.range(..=to).rev();
        let found =
            back.find(|(_, events)| events.iter().any(|event| event.key.starts_with(prefix)));
        found.map_or(self.compacted.max(1), |(revision, _)| *revision)
    }
}
