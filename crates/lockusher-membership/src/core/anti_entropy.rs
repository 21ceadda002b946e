//! Anti-entropy: when the digests of two mixers differ, they compare bucket sums and send each other the differing
//! buckets in pages. This repairs what was lost with datagrams or changed too fast for gossip.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::Core;
use super::table::{MemberRecord, State};
use super::wire::{BUCKET_COUNT, What, decode_members};
use crate::proto;

/// The interval between exchanges that one mixer starts: five seconds hold several exchanges, and a fleet in the middle
/// of a change, where all digests differ, spends a few kB a second on them.
const EXCHANGE_INTERVAL: Span = Span::from_millis(500);
/// The pages that one mixer sends in a second; 3,000 members are about 120 pages.
const MAX_PAGES_PER_SEC: f64 = 64.0;
/// The pages of one answer: what a socket buffer accepts at once.
const MAX_PAGES_PER_ANSWER: usize = 32;

impl Core {
    /// Starts an exchange of views if the digest of another member differs from the local one.
    pub(super) fn maybe_start_exchange(&mut self, now: Time, at: SocketAddrV4, digest: u64) {
        if digest == self.table.sync_digest()
            || now < self.next_exchange
            || self.local.state == State::Left
        {
            return;
        }
        self.next_exchange = now + EXCHANGE_INTERVAL.times(self.rng.random_range(0.8..1.2));
        self.counts.exchanges += 1;
        let builder = self.builder(What::Sums(proto::Sums {
            sums: self.table.bucket_sums(),
        }));
        self.dispatch(at, builder);
    }

    /// Sends the buckets whose sums differ, starting at a random one, so that buckets beyond the page limit are sent by
    /// a later exchange.
    pub(super) fn send_differing_buckets(&mut self, now: Time, at: SocketAddrV4, sums: &[u32]) {
        self.page_tokens = (self.page_tokens
            + MAX_PAGES_PER_SEC * now.since(self.page_tokens_at).as_secs())
        .min(MAX_PAGES_PER_SEC);
        self.page_tokens_at = now;
        let local_sums = self.table.bucket_sums();
        let first = self.rng.random_range(0..BUCKET_COUNT);
        let buckets = (0..BUCKET_COUNT).map(|nth| (first + nth) % BUCKET_COUNT);
        let differing: Vec<usize> = buckets
            .filter(|bucket| local_sums[*bucket] != sums[*bucket])
            .collect();
        let mut records = self.table.records_by_bucket(now, &differing);
        let buckets = differing
            .iter()
            .map(|bucket| (Some(*bucket), records.remove(bucket).unwrap_or_default()));
        self.send_pages(at, buckets.collect(), true);
    }

    /// Packs buckets into as few pages as possible. A bucket that is larger than a page is split, and its parts are not
    /// marked as whole buckets.
    fn send_pages(
        &mut self,
        at: SocketAddrV4,
        buckets: Vec<(Option<usize>, Vec<MemberRecord>)>,
        answer: bool,
    ) {
        let empty = || {
            What::Page(proto::Page {
                answer,
                ..proto::Page::default()
            })
        };
        let (mut builder, mut has_content, mut sent_pages) = (self.builder(empty()), false, 0);
        let mut queue: Vec<(Option<usize>, Vec<MemberRecord>)> = buckets;
        queue.reverse();
        while let Some((bucket, mut records)) = queue.pop() {
            if sent_pages >= MAX_PAGES_PER_ANSWER || self.page_tokens < 1.0 {
                self.counts.drops.beyond_share += 1;
                return;
            }
            if builder.add_bucket(bucket, &records) {
                has_content = true;
                continue;
            }
            if has_content {
                (sent_pages, has_content) = (sent_pages + 1, false);
                self.page_tokens -= 1.0;
                let full = std::mem::replace(&mut builder, self.builder(empty()));
                self.dispatch(at, full);
                queue.push((bucket, records));
            } else if records.len() > 1 {
                let rest = records.split_off(records.len() / 2);
                queue.push((None, rest));
                queue.push((None, records));
            }
        }
        if has_content {
            self.page_tokens -= 1.0;
            self.dispatch(at, builder);
        }
    }

    /// Merges a page and, if requested, sends back the newer records of the whole buckets on it.
    pub(super) fn handle_page(&mut self, now: Time, at: SocketAddrV4, page: proto::Page) {
        let Ok(received) = decode_members(page.members) else {
            self.counts.drops.absurd += 1;
            return;
        };
        for record in &received {
            self.merge_record(now, record.clone());
        }
        if !page.answer {
            return;
        }
        let buckets: Vec<usize> = page
            .buckets
            .iter()
            .map(|bucket| *bucket as usize % BUCKET_COUNT)
            .collect();
        let local_records = self.table.records_by_bucket(now, &buckets);
        let is_newer = |local: &MemberRecord| {
            let same = received.iter().find(|record| record.name == local.name);
            local.state != State::Joining && same.is_none_or(|record| record.rank() < local.rank())
        };
        let newer_records: Vec<MemberRecord> = local_records
            .into_values()
            .flatten()
            .filter(is_newer)
            .collect();
        if !newer_records.is_empty() {
            self.page_tokens = self.page_tokens.max(1.0);
            self.send_pages(at, vec![(None, newer_records)], false);
        }
    }
}
