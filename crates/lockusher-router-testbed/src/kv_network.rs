//! How model searchers reach each other's held prompts.
//!
//! What searchers say to one another is not part of the protocol: inside this process they share memory. The
//! time that a transfer takes is the engine model's.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};

use crate::engine::{Distance, KvTransfer};
use crate::model_searcher::ModelCore;
use crate::searcher::Identity;
use crate::server::lock;

/// The searchers of one process, by address.
#[derive(Clone, Default)]
pub struct KvNetwork {
    searchers: Arc<Mutex<HashMap<SocketAddr, Weak<ModelCore>>>>,
    cut: Arc<AtomicBool>,
}

impl KvNetwork {
    pub(crate) fn join(&self, address: SocketAddr, core: &Arc<ModelCore>) {
        lock(&self.searchers).insert(address, Arc::downgrade(core));
    }

    pub(crate) fn leave(&self, address: SocketAddr) {
        lock(&self.searchers).remove(&address);
    }

    /// While it is cut no prompt can be had.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Takes the prompt that `IP:PORT/HANDLE` names, with the id of the request that it was read for.
    pub(crate) fn take(&self, kv_from: &str, taker: &Identity) -> Option<(KvTransfer, String)> {
        if self.cut.load(Ordering::SeqCst) {
            return None;
        }
        let (address, handle) = kv_from.split_once('/')?;
        let source = lock(&self.searchers)
            .get(&address.parse().ok()?)?
            .upgrade()?;
        let (parts, request_id) = source.take_held(handle)?;
        let distance = distance(&source.identity, taker);
        Some((KvTransfer { parts, distance }, request_id))
    }
}

fn distance(one: &Identity, other: &Identity) -> Distance {
    if one.region != other.region {
        Distance::OtherRegion
    } else if one.zone != other.zone {
        Distance::OtherZone
    } else {
        Distance::SameZone
    }
}
