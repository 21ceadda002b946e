//! Rumor mongering: departures of searchers that are still being spread.
//!
//! The blind variant with a counter of Demers et al. ("Epidemic Algorithms for Replicated Database Maintenance", 1987,
//! section 1.4): an agent sends a rumor a fixed number of times after it received it, without feedback whether the
//! receiver already knew it. An agent that a rumor doesn't reach learns of the departure from its next list.
//!
//! Owned by [`Gossip`](super::gossip::Gossip). Invariants: at most one rumor per searcher, the latest; the rumors of a
//! message fit into a datagram.

use std::cmp::Reverse;
use std::collections::VecDeque;

use super::message::InstanceDeparture;

/// Number of messages in which an agent sends a rumor. If each agent sends it to 6 others, all agents but a fraction of
/// about e^-6 receive it.
const TRANSMISSIONS_PER_RUMOR: u32 = 6;
/// Maximum number of rumors in one message.
const MAX_RUMORS_PER_MESSAGE: usize = 16;
/// Maximum number of pending rumors; the oldest are dropped first.
const MAX_PENDING_RUMORS: usize = 128;
/// Rumors with longer identifiers aren't spread, so that a message fits into a datagram.
const MAX_IDENTIFIER_BYTES: usize = 48;

/// A rumor and the number of messages in which it is still to be sent, at least one.
#[derive(Debug)]
struct PendingRumor {
    rumor: InstanceDeparture,
    transmissions_left: u32,
}

/// Rumors that are still to be spread.
#[derive(Debug, Default)]
pub struct Rumors {
    pending: VecDeque<PendingRumor>,
}

impl Rumors {
    /// Adds a rumor that is new to this agent; it replaces an earlier one about the same searcher.
    pub fn add(&mut self, rumor: InstanceDeparture) {
        if rumor.identifier.len() > MAX_IDENTIFIER_BYTES {
            return;
        }
        self.pending
            .retain(|known| known.rumor.identifier != rumor.identifier);
        self.pending.push_back(PendingRumor {
            rumor,
            transmissions_left: TRANSMISSIONS_PER_RUMOR,
        });
        if self.pending.len() > MAX_PENDING_RUMORS {
            self.pending.pop_front();
        }
    }

    /// Whether no rumors are pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the rumors for one message, the least often sent first; each counts as sent once more.
    pub fn take_for_message(&mut self) -> Vec<InstanceDeparture> {
        self.pending
            .make_contiguous()
            .sort_by_key(|pending| Reverse(pending.transmissions_left));
        let mut selected = Vec::new();
        for pending in self.pending.iter_mut().take(MAX_RUMORS_PER_MESSAGE) {
            selected.push(pending.rumor.clone());
            pending.transmissions_left -= 1;
        }
        self.pending
            .retain(|pending| pending.transmissions_left > 0);
        selected
    }
}
