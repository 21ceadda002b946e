//! Exchange of views: where two mixers' digests differ, they compare sums of buckets and give each other the buckets
//! that differ, in pages. What datagrams lost, and what came too fast for news, is healed by this.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::Core;
use super::table::{Record, State};
use super::wire::{BUCKETS, What, records};
use crate::proto;

/// Between two exchanges that one mixer begins: five seconds hold several, and a fleet in the middle of a change, in
/// which all digests differ, spends some kB a second on them.
const EXCHANGE_EVERY: Span = Span::from_millis(500);
/// Pages that one mixer gives in a second: 3,000 members are some 120 pages.
const MOST_PAGES: f64 = 64.0;
/// Pages of one answer: what a socket's buffer takes at once.
const MOST_AT_ONCE: usize = 32;

impl Core {
    /// Another's digest: if it is unlike the own one, views are exchanged.
    pub(super) fn differs(&mut self, now: Time, at: SocketAddrV4, digest: u64) {
        if digest == self.table.digest() || now < self.next_exchange || self.me.state == State::Left
        {
            return;
        }
        self.next_exchange = now + EXCHANGE_EVERY.times(self.rng.random_range(0.8..1.2));
        self.counts.exchanges += 1;
        let draft = self.draft(What::Sums(proto::Sums {
            sums: self.table.sums(),
        }));
        self.dispatch(at, draft);
    }

    /// Gives the buckets whose sums differ, from a place by chance on: what there is no page for comes another time.
    pub(super) fn give_pages(&mut self, now: Time, at: SocketAddrV4, sums: &[u32]) {
        self.pages_left =
            (self.pages_left + MOST_PAGES * now.since(self.pages_at).as_secs()).min(MOST_PAGES);
        self.pages_at = now;
        let own = self.table.sums();
        let first = self.rng.random_range(0..BUCKETS);
        let places = (0..BUCKETS).map(|nth| (first + nth) % BUCKETS);
        let unlike: Vec<usize> = places.filter(|place| own[*place] != sums[*place]).collect();
        let mut held = self.table.in_buckets(now, &unlike);
        let buckets = unlike
            .iter()
            .map(|place| (Some(*place), held.remove(place).unwrap_or_default()));
        self.give(at, buckets.collect(), true);
    }

    /// Buckets in as few pages as they fit on; one that fits on none goes in pieces that count for no whole bucket.
    fn give(&mut self, at: SocketAddrV4, buckets: Vec<(Option<usize>, Vec<Record>)>, answer: bool) {
        let empty = || {
            What::Page(proto::Page {
                answer,
                ..proto::Page::default()
            })
        };
        let (mut draft, mut filled, mut given) = (self.draft(empty()), false, 0);
        let mut queue: Vec<(Option<usize>, Vec<Record>)> = buckets;
        queue.reverse();
        while let Some((place, mut records)) = queue.pop() {
            if given >= MOST_AT_ONCE || self.pages_left < 1.0 {
                self.counts.drops.beyond_share += 1;
                return;
            }
            if draft.add_bucket(place, &records) {
                filled = true;
                continue;
            }
            if filled {
                (given, filled) = (given + 1, false);
                self.pages_left -= 1.0;
                let full = std::mem::replace(&mut draft, self.draft(empty()));
                self.dispatch(at, full);
                queue.push((place, records));
            } else if records.len() > 1 {
                let rest = records.split_off(records.len() / 2);
                queue.push((None, rest));
                queue.push((None, records));
            }
        }
        if filled {
            self.pages_left -= 1.0;
            self.dispatch(at, draft);
        }
    }

    /// Takes what a page tells and, if it asks for that, tells what is held beyond it in its whole buckets.
    pub(super) fn take_page(&mut self, now: Time, at: SocketAddrV4, page: proto::Page) {
        let Ok(told) = records(page.members) else {
            self.counts.drops.absurd += 1;
            return;
        };
        for record in &told {
            self.take(now, record.clone());
        }
        if !page.answer {
            return;
        }
        let places: Vec<usize> = page
            .buckets
            .iter()
            .map(|place| *place as usize % BUCKETS)
            .collect();
        let held = self.table.in_buckets(now, &places);
        let newer = |own: &Record| {
            let same = told.iter().find(|record| record.name == own.name);
            own.state != State::Joining && same.is_none_or(|record| record.key() < own.key())
        };
        let beyond: Vec<Record> = held.into_values().flatten().filter(newer).collect();
        if !beyond.is_empty() {
            self.pages_left = self.pages_left.max(1.0);
            self.give(at, vec![(None, beyond)], false);
        }
    }
}
