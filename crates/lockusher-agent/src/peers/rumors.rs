//! Rumor mongering: departures of searchers that are still to be spread.
//!
//! The blind variant with a counter of Demers et al. ("Epidemic Algorithms for Replicated Database Maintenance", 1987,
//! section 1.4): an agent spreads a rumor a fixed number of times after it learned it, without feedback whether the
//! receiver knew it. A rumor that misses an agent does no harm, since the agent's next list shows the departure too.
//!
//! Owned by [`Gossip`](super::gossip::Gossip). Invariants: one rumor per searcher, the latest; a message's rumors fit a
//! datagram.

use std::cmp::Reverse;
use std::collections::VecDeque;

use super::message::InstanceDeparture;

/// In how many messages an agent sends a rumor. With each agent sending it to that many others, all but about one agent
/// in e^6 receive it.
const TRANSMISSIONS_PER_RUMOR: u32 = 6;
/// Rumors in one message.
const MAX_RUMORS_PER_MESSAGE: usize = 16;
/// Rumors that are retained; the oldest are dropped first.
const MAX_PENDING_RUMORS: usize = 128;
/// Longer identifiers aren't spread, so that a message fits a datagram.
const MAX_IDENTIFIER_BYTES: usize = 48;

/// A rumor, and in how many further messages it goes out; at least one.
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
    /// Takes a rumor that is new to this agent; it replaces an earlier one of the same searcher.
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

    /// Whether nothing is left to spread.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The rumors for one message, those sent least first; each counts as sent once more.
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
