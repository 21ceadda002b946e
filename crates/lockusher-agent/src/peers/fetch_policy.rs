//! Decides when a configuration is fetched from a peer, and from which.
//!
//! The control plane brings a new version at about the same time as peers advertise it. A fetch therefore waits until the
//! control plane has had its chance, and then goes to the peer that advertised the newest version.
//!
//! Owned by [`Gossip`](super::gossip::Gossip). Invariant: no peer is named whose version isn't newer than the local one.

use std::net::SocketAddrV4;

/// How long the control plane is given to bring a version that a peer advertised, in milliseconds.
const CONTROL_PLANE_WAIT_MS: u64 = 700;

/// A configuration version that a peer says it has.
#[derive(Clone, Copy, Debug)]
struct AdvertisedVersion {
    version: u64,
    peer: SocketAddrV4,
    /// When a version above the local one was first advertised.
    since_ms: u64,
}

/// The newest version that peers advertised.
#[derive(Debug, Default)]
pub struct FetchPolicy {
    newest: Option<AdvertisedVersion>,
}

impl FetchPolicy {
    /// Takes the version that `peer` advertises; one that isn't above `local_version` is ignored.
    pub fn advertise(&mut self, now_ms: u64, peer: SocketAddrV4, version: u64, local_version: u64) {
        if version <= local_version {
            return;
        }
        match &mut self.newest {
            Some(newest) if newest.version > local_version => {
                if version >= newest.version {
                    newest.version = version;
                    newest.peer = peer;
                }
            }
            _ => {
                self.newest = Some(AdvertisedVersion {
                    version,
                    peer,
                    since_ms: now_ms,
                });
            }
        }
    }

    /// The peer to fetch from now, if any; it isn't named again before it advertises again.
    pub fn take_due(&mut self, now_ms: u64, local_version: u64) -> Option<SocketAddrV4> {
        let newest = self.newest?;
        if newest.version <= local_version {
            self.newest = None;
            return None;
        }
        if now_ms < newest.since_ms + CONTROL_PLANE_WAIT_MS {
            return None;
        }
        self.newest = None;
        Some(newest.peer)
    }
}
