//! Decides when and from which peer to fetch a configuration.
//!
//! The control plane usually delivers a new version at about the same time as peers advertise it. A fetch is therefore
//! delayed, and then goes to the peer that advertised the newest version.
//!
//! Owned by [`Gossip`](super::gossip::Gossip). Invariant: only a peer with a version newer than the local one is
//! selected.

use std::net::SocketAddrV4;

/// Delay of a fetch, in which the control plane may deliver the advertised version, in milliseconds.
const FETCH_DELAY_MS: u64 = 700;

/// A configuration version that a peer has advertised.
#[derive(Clone, Copy, Debug)]
struct AdvertisedVersion {
    version: u64,
    peer: SocketAddrV4,
    /// When any version above the local one was first advertised.
    since_ms: u64,
}

/// The newest version that peers have advertised.
#[derive(Debug, Default)]
pub struct FetchPolicy {
    newest: Option<AdvertisedVersion>,
}

impl FetchPolicy {
    /// Records a version that `peer` advertised; ignored unless it is above `local_version`.
    pub fn record_advertised(
        &mut self,
        now_ms: u64,
        peer: SocketAddrV4,
        version: u64,
        local_version: u64,
    ) {
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

    /// The peer to fetch from now, if any. It isn't returned again until it advertises a version again.
    pub fn take_due(&mut self, now_ms: u64, local_version: u64) -> Option<SocketAddrV4> {
        let newest = self.newest?;
        if newest.version <= local_version {
            self.newest = None;
            return None;
        }
        if now_ms < newest.since_ms + FETCH_DELAY_MS {
            return None;
        }
        self.newest = None;
        Some(newest.peer)
    }
}
