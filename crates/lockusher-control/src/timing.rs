//! Intervals and timeouts of the protocol, derived from the operator's bounds.
//!
//! Owned by the replica. Safety rests on none of them.

use crate::time::Millis;

/// All in milliseconds. The fractions leave time for a lost node to be suspected, a view to be agreed on and the write
/// to be retried before the operator's timeout.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat_interval: Millis,
    /// Inactivity after which a node is suspected.
    pub suspicion_timeout: Millis,
    /// Time that a member has for one write before it counts as lagging, and its disk as faulty.
    pub write_timeout: Millis,
    /// Time after which an unanswered message is retransmitted.
    pub retransmit_interval: Millis,
    /// Time for one phase of a proposal; it grows with the attempts.
    pub agreement_phase_timeout: Millis,
    /// Delay, by rank among the healthy voters, before one takes over a proposal that another left.
    pub takeover_stagger: Millis,
    /// How long a request waits before it is answered as unavailable.
    pub request_timeout: Millis,
    /// The same at a node that can't reach a majority.
    pub minority_request_timeout: Millis,
    /// How long a node must have been reachable before it may join.
    pub join_stability_period: Millis,
    /// Inactivity after which a voter may be removed.
    pub voter_removal_timeout: Millis,
    /// How long all nodes count as reachable after the start.
    pub startup_grace: Millis,
    /// Between two attempts to write the state to a disk that refused it.
    pub disk_retry_interval: Millis,
    /// How long a node that didn't answer as a joiner isn't asked again.
    pub join_retry: Millis,
    /// Inactivity after which a node that is no voter is forgotten.
    pub peer_expiry: Millis,
}

impl Timing {
    /// Intervals for an operator who waits `acknowledge_ms` and nodes that must be full members within
    /// `catch_up_ms` of their start.
    pub fn new(acknowledge_ms: u64, catch_up_ms: u64) -> Self {
        let fortieth = (acknowledge_ms / 40).max(1);
        Self {
            heartbeat_interval: fortieth * 2,
            suspicion_timeout: fortieth * 8,
            write_timeout: fortieth * 7,
            retransmit_interval: fortieth * 2,
            agreement_phase_timeout: fortieth * 7,
            takeover_stagger: fortieth * 4,
            request_timeout: fortieth * 9,
            minority_request_timeout: fortieth * 4,
            join_stability_period: fortieth * 3,
            voter_removal_timeout: catch_up_ms / 2,
            startup_grace: fortieth * 12,
            disk_retry_interval: fortieth * 10,
            join_retry: fortieth * 15,
            peer_expiry: fortieth * 100,
        }
    }
}
