//! Searchers whose end was seen of late, told to a few peers each.

use std::collections::VecDeque;

use super::message::InstanceDeparture;

/// In how many messages an agent tells a rumor after it learned it. With each agent telling that many others, all but
/// about one in e^6 hear it, and those hear it again from the next readings.
const TRANSMISSIONS_PER_RUMOR: u32 = 6;
/// Rumors in one message.
const MAX_RUMORS_PER_MESSAGE: usize = 16;
/// Rumors that are kept; the oldest give way.
const MAX_PENDING_RUMORS: usize = 128;
/// Longer identifiers aren't told, so that a message fits a datagram.
const MAX_IDENTIFIER_BYTES: usize = 48;

/// Rumors that are still to be told.
#[derive(Debug, Default)]
pub struct Rumors {
    entries: VecDeque<(InstanceDeparture, u32)>,
}

impl Rumors {
    /// Takes a rumor that is new to this agent.
    pub fn add(&mut self, rumor: InstanceDeparture) {
        if rumor.identifier.len() > MAX_IDENTIFIER_BYTES {
            return;
        }
        self.entries.retain(|(known, _)| known.identifier != rumor.identifier);
        self.entries.push_back((rumor, TRANSMISSIONS_PER_RUMOR));
        if self.entries.len() > MAX_PENDING_RUMORS {
            self.entries.pop_front();
        }
    }

    /// Whether there is something to tell.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The rumors for one message, those told least first; each counts as told once more.
    pub fn take_for_message(&mut self) -> Vec<InstanceDeparture> {
        self.entries
            .make_contiguous()
            .sort_by_key(|(_, transmissions_left)| std::cmp::Reverse(*transmissions_left));
        let mut selected = Vec::new();
        for (rumor, transmissions_left) in self.entries.iter_mut().take(MAX_RUMORS_PER_MESSAGE) {
            selected.push(rumor.clone());
            *transmissions_left -= 1;
        }
        self.entries.retain(|(_, transmissions_left)| *transmissions_left > 0);
        selected
    }
}
