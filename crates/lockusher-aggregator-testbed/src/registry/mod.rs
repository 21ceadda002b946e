//! A registry of our own to follow: one store, any number of members that serve it as etcd or Consul do, each with a
//! script of faults, and relays that cut their connections.

pub mod consul;
pub mod etcd;
pub mod relay;
pub mod store;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use store::{Store, Write};

/// A lock whose holder never panics in between leaves nothing half done.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The store that all members serve.
pub struct Registry {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
}

impl Registry {
    pub fn new(cluster: u64) -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Registry {
            store: Mutex::new(Store::new(cluster)),
            changed,
        })
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        locked(&self.store)
    }

    /// One transaction.
    pub fn write(&self, writes: impl IntoIterator<Item = Write>) -> u64 {
        let revision = self.store().apply(writes);
        self.touch();
        revision
    }

    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        self.write([Write::Put {
            key: key.into(),
            value: value.into(),
            lease: 0,
        }])
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.write([Write::Delete { key: key.into() }])
    }

    pub fn compact(&self) {
        let mut store = self.store();
        let now = store.revision();
        store.compact(now);
        drop(store);
        self.touch();
    }

    /// Has members look again: the store or a script has changed.
    pub fn touch(&self) {
        self.changed.send_modify(|times| *times += 1);
    }
}

/// What is wrong with a member.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// It takes everything and says nothing.
    pub silent: bool,
    /// It serves the store as it stood at this revision.
    pub lags_at: Option<u64>,
    /// It answers for another cluster.
    pub cluster: Option<u64>,
    /// Events in one response, if the watch may be split; 0 splits nothing.
    pub split: usize,
    /// Compactions to come: before the next page of a read, and after a read that is whole.
    pub compact_between_pages: usize,
    pub compact_after_read: usize,
    /// How long each answer takes.
    pub slow: Duration,
    /// Consul: it knows no leader; how long ago it heard of it; what is taken from its index.
    pub no_leader: bool,
    pub leader_heard: Duration,
    pub index_back: u64,
}

/// What a member told, and when: everything up to a revision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    pub at: Instant,
    pub revision: u64,
}

/// What all kinds of members share.
pub struct Member {
    registry: Arc<Registry>,
    script: Mutex<Script>,
    told: Mutex<Vec<Told>>,
    requests: Mutex<u64>,
}

impl Member {
    fn new(registry: &Arc<Registry>) -> Arc<Self> {
        Arc::new(Member {
            registry: registry.clone(),
            script: Mutex::default(),
            told: Mutex::default(),
            requests: Mutex::default(),
        })
    }

    pub fn script(&self) -> Script {
        locked(&self.script).clone()
    }

    /// Changes its script.
    pub fn does(&self, change: impl FnOnce(&mut Script)) {
        change(&mut locked(&self.script));
        self.registry.touch();
    }

    pub fn told(&self) -> Vec<Told> {
        locked(&self.told).clone()
    }

    /// Reads and watches that were asked for.
    pub fn requests(&self) -> u64 {
        *locked(&self.requests)
    }

    fn asked(&self) {
        *locked(&self.requests) += 1;
    }

    /// Notes that all up to a revision has been handed to its connection; what another cluster says tells nothing.
    fn tells(&self, revision: u64) {
        if self.script().cluster.is_none() {
            locked(&self.told).push(Told {
                at: Instant::now(),
                revision,
            });
        }
    }

    /// The revision that it sees, and the cluster it claims.
    fn sees(&self) -> (u64, u64) {
        let (script, store) = (self.script(), self.registry.store());
        let revision = script.lags_at.unwrap_or(u64::MAX).min(store.revision());
        (revision, script.cluster.unwrap_or(store.cluster))
    }

    /// Waits while it is silent, then for as long as it is slow.
    async fn may_speak(&self) {
        let mut changed = self.registry.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if !self.script().silent {
                break;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
        let slow = self.script().slow;
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
    }

    /// Takes one of the compactions that the script has left.
    fn compacts(&self, left: impl FnOnce(&mut Script) -> &mut usize) {
        let mut script = locked(&self.script);
        let left = left(&mut script);
        let due = *left > 0;
        *left -= usize::from(due);
        drop(script);
        if due {
            // A registry moves on between compactions.
            self.registry.put("lab/noise", "compacting");
            self.registry.compact();
        }
    }
}
