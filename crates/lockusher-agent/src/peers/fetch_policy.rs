//! When a configuration is fetched from a peer.
//!
//! The control plane brings it at about the same time as peers tell of it; fetching waits until that would have
//! happened.

use std::net::SocketAddrV4;

/// How long the control plane is waited for.
const CONTROL_PLANE_WAIT_MS: u64 = 700;

#[derive(Clone, Copy, Debug)]
struct AdvertisedVersion {
    version: u64,
    peer: SocketAddrV4,
    since_ms: u64,
}

/// The newest version that peers told of.
#[derive(Debug, Default)]
pub struct FetchPolicy {
    newest: Option<AdvertisedVersion>,
}

impl FetchPolicy {
    /// A peer says that it holds `version`.
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
            _ => self.newest = Some(AdvertisedVersion { version, peer, since_ms: now_ms }),
        }
    }

    /// The peer to fetch from now, if any; it isn't named again before it speaks again.
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
