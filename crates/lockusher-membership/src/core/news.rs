//! News that rides on datagrams: each item a bounded number of times, the least told first.

use std::collections::BTreeMap;

use super::table::{ByName, MixerName};

/// Each item is told this many times the logarithm of the fleet's size: SWIM's own analysis asks for a small
/// multiple, and 3 leaves a member untold with a chance below one in a thousand at 300 without loss. What is missed
/// all the same is healed by pages.
const TIMES: f64 = 3.0;

/// How often an item was told, then the order of their coming.
type Place = (u32, u64);

#[derive(Default)]
pub(super) struct News {
    /// The least told first; a new report of a member takes the place of its older one.
    queue: BTreeMap<Place, MixerName>,
    places: ByName<Place>,
    next: u64,
}

impl News {
    pub fn add(&mut self, name: &MixerName) {
        self.remove(name);
        self.place(name.clone(), 0);
    }

    pub fn remove(&mut self, name: &MixerName) {
        if let Some(place) = self.places.remove(name) {
            self.queue.remove(&place);
        }
    }

    pub fn holds(&self, name: &MixerName) -> bool {
        self.places.contains_key(name)
    }

    /// Drops all but what is wanted.
    pub fn keep(&mut self, wanted: impl Fn(&MixerName) -> bool) {
        self.queue.retain(|_, name| wanted(name));
        self.places.retain(|name, _| wanted(name));
    }

    fn place(&mut self, name: MixerName, told: u32) {
        let place = (told, self.next);
        self.next += 1;
        self.places.insert(name.clone(), place);
        self.queue.insert(place, name);
    }

    /// Offers items in order until one is not taken; those that were told often enough are dropped.
    pub fn tell(&mut self, living: usize, mut takes: impl FnMut(&MixerName) -> bool) {
        let enough = (TIMES * (living.max(2) as f64).log2()).ceil() as u32;
        let mut told: Vec<Place> = Vec::new();
        for (place, name) in &self.queue {
            if !takes(name) {
                break;
            }
            told.push(*place);
        }
        for place in told {
            let Some(name) = self.queue.remove(&place) else {
                continue;
            };
            match place.0 + 1 < enough {
                true => self.place(name, place.0 + 1),
                false => drop(self.places.remove(&name)),
            }
        }
    }
}
