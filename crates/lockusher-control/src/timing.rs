//! Intervals and timeouts of the protocol, derived from the operator's bounds.
//!
//! Owned by the replica. Safety doesn't depend on any of them.

use crate::time::Millis;

/// Intervals and timeouts in milliseconds. As fractions of the operator's timeout, they leave time to suspect a lost
/// node, agree on a view and retry the write before that timeout.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two heartbeats.
    pub heartbeat_interval: Millis,
    /// Inactivity after which a node is suspected.
    pub suspicion_timeout: Millis,
    /// Time within which a member must complete one write; after it, the member counts as lagging, and its disk as
    /// faulty.
    pub write_timeout: Millis,
    /// Time after which an unanswered message is retransmitted.
    pub retransmit_interval: Millis,
    /// Time for one phase of a proposal; it grows with the attempts.
    pub agreement_phase_timeout: Millis,
    /// Delay per rank among the healthy voters, before a voter takes over an unfinished proposal.
    pub takeover_stagger: Millis,
    /// How long a request waits before it is answered with [`Unavailable`](crate::request::Reply::Unavailable).
    pub request_timeout: Millis,
    /// The same at a node that can't reach a majority.
    pub minority_request_timeout: Millis,
    /// How long a node must have been reachable before it may join.
    pub join_stability_period: Millis,
    /// Inactivity after which a voter may be removed.
    pub voter_removal_timeout: Millis,
    /// How long all nodes count as reachable after the start.
    pub startup_grace: Millis,
    /// Time between two attempts to write the state to a disk on which a write failed.
    pub disk_retry_interval: Millis,
    /// Delay before a node that didn't respond as a joiner is asked again.
    pub join_retry_delay: Millis,
    /// Inactivity after which a node that isn't a voter is no longer tracked.
    pub peer_expiry: Millis,
}

impl Timing {
    /// Intervals for an operator's timeout of `acknowledge_ms`, and for nodes that must be full members within
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
            join_retry_delay: fortieth * 15,
            peer_expiry: fortieth * 100,
        }
    }
}
