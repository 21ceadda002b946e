//! Transfers of held prompts between model searchers.
//!
//! The protocol does not specify how searchers transfer KV cache. Here they run in one process and access each
//! other directly; the engine model computes how long a transfer takes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};

use crate::engine::{Distance, KvTransfer};
use crate::model_searcher::ModelCore;
use crate::searcher::Identity;
use crate::server::lock;

/// The model searchers of one process, by address.
#[derive(Clone, Default)]
pub struct KvNetwork {
    searchers: Arc<Mutex<HashMap<SocketAddr, Weak<ModelCore>>>>,
    partitioned: Arc<AtomicBool>,
}

impl KvNetwork {
    pub(crate) fn register(&self, address: SocketAddr, core: &Arc<ModelCore>) {
        lock(&self.searchers).insert(address, Arc::downgrade(core));
    }

    pub(crate) fn unregister(&self, address: SocketAddr) {
        lock(&self.searchers).remove(&address);
    }

    /// While the network is partitioned, no prompt can be transferred.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::SeqCst);
    }

    /// Takes the prompt that `IP:PORT/HANDLE` names and returns it with the id of the request that prefilled it.
    pub(crate) fn take(&self, kv_from: &str, target: &Identity) -> Option<(KvTransfer, String)> {
        if self.partitioned.load(Ordering::SeqCst) {
            return None;
        }
        let (address, handle) = kv_from.split_once('/')?;
        let source = lock(&self.searchers)
            .get(&address.parse().ok()?)?
            .upgrade()?;
        let (parts, request_id) = source.take_held_prompt(handle)?;
        let distance = distance(&source.identity, target);
        Some((KvTransfer { parts, distance }, request_id))
    }
}

fn distance(source: &Identity, target: &Identity) -> Distance {
    if source.region != target.region {
        Distance::OtherRegion
    } else if source.zone != target.zone {
        Distance::OtherZone
    } else {
        Distance::SameZone
    }
}
