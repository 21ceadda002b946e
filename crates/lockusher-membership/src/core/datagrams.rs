//! Sending datagrams with piggybacked gossip, and handling received ones.

use std::net::SocketAddrV4;

use lockusher_policy::interface::Time;
use rand::RngExt;

use super::table::{MemberRecord, MixerName, State};
use super::wire::{self, DatagramBuilder, What};
use super::{CONVERGED_DATAGRAMS, Core};
use crate::proto;

impl Core {
    /// A datagram with the local record and rates, to which gossip can be added.
    pub(super) fn builder(&self, body: What) -> DatagramBuilder {
        let rates = self
            .shared
            .as_ref()
            .and_then(|shared| shared.own_rates)
            .map(|rates| proto::Rates {
                multigets: rates.multigets as f32,
                parts: rates.parts as f32,
                further: rates.further as f32,
                pushed_back: rates.pushed_back as f32,
            });
        DatagramBuilder::new(
            &self.config.fleet,
            &self.local,
            self.table.sync_digest(),
            body,
            rates,
        )
    }

    /// Sends a message with what is known about the recipient, unless that is good, and with as much gossip as fits.
    pub(super) fn send(
        &mut self,
        now: Time,
        at: SocketAddrV4,
        to: Option<&MixerName>,
        known: Option<&MemberRecord>,
        body: What,
    ) {
        let mut builder = self.builder(body);
        // A recipient that is suspected, dead or known at another address learns of it first, so that it can refute.
        let outdated = to
            .and_then(|to| self.table.get(to))
            .filter(|entry| match known {
                Some(known) => known.state == State::Joining || entry.record.rank() > known.rank(),
                None => entry.record.state != State::Alive,
            });
        if let Some(entry) = outdated {
            builder.add_update(&entry.current_record(now));
        }
        let (table, local) = (&self.table, &self.local.name);
        self.gossip
            .offer(table.live_count(), |name| match table.get(name) {
                // Every datagram carries the local record anyway.
                _ if name == local => true,
                Some(entry) => Some(name) == to || builder.add_update(&entry.current_record(now)),
                None => true,
            });
        self.dispatch(at, builder);
    }

    /// Encodes a datagram and queues it for sending.
    pub(super) fn dispatch(&mut self, at: SocketAddrV4, builder: DatagramBuilder) {
        let bytes = builder.encode();
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.outgoing.push((at, bytes));
    }

    /// Pings a known member.
    pub(super) fn ping(&mut self, now: Time, number: u32, target: &MixerName) {
        if let Some(entry) = self.table.get(target) {
            let at = entry.record.address;
            let body = What::Ping(proto::Ping {
                number,
                to: target.as_str().to_owned(),
            });
            self.send(now, at, Some(target), None, body);
        }
    }

    /// Up to `max_count` random live members other than `except`, without duplicates.
    pub(super) fn random_live_members(
        &mut self,
        max_count: usize,
        except: Option<&MixerName>,
    ) -> Vec<MixerName> {
        let mut out: Vec<MixerName> = Vec::new();
        let all = self.probe_order.len();
        for _ in 0..max_count * 3 {
            if out.len() == max_count.min(all) {
                break;
            }
            let name = &self.probe_order[self.rng.random_range(0..all)];
            let is_alive = self
                .table
                .get(name)
                .is_some_and(|entry| entry.record.state == State::Alive);
            if is_alive && Some(name) != except && !out.contains(name) {
                out.push(name.clone());
            }
        }
        out
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Time, from: SocketAddrV4, bytes: &[u8]) {
        self.detect_stall(now);
        self.counts.datagrams_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let message = match wire::decode(bytes, &self.config.fleet) {
            Ok(message) => message,
            Err(reason) => return self.counts.drops.count(reason),
        };
        if let What::Ping(ping) = &message.body
            && !ping.to.is_empty()
            && ping.to != self.local.name.as_str()
        {
            // Another member used this address before.
            self.counts.drops.misdirected += 1;
            return;
        }
        let (sender, digest) = (message.sender.clone(), message.digest);
        if sender.name == self.local.name && sender.address == self.local.address {
            return; // The local member is one of its own seeds.
        }
        self.join.answered = true;
        self.merge_record(now, message.sender);
        for record in message.updates {
            self.merge_record(now, record);
        }
        if let Some(rates) = message.rates {
            self.handle_rates(now, &sender.name, rates);
        }
        self.matching_digests = if digest == self.table.sync_digest() {
            self.matching_digests + 1
        } else {
            0
        };
        if self.matching_digests >= CONVERGED_DATAGRAMS {
            let is_suspect = |name: &MixerName| {
                self.table
                    .get(name)
                    .is_some_and(|entry| entry.record.state == State::Suspect)
            };
            // Views with the same digest may still differ in suspicions, so these remain queued.
            self.gossip.retain(is_suspect);
        }
        self.handle_message(now, from, &sender, digest, message.body);
    }

    /// Acts on a message after everything that it reports is merged.
    fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        sender: &MemberRecord,
        digest: u64,
        body: What,
    ) {
        match body {
            What::Ping(ping) => {
                let ack = proto::Ack {
                    number: ping.number,
                    of: self.local.name.as_str().to_owned(),
                };
                self.send(now, from, Some(&sender.name), Some(sender), What::Ack(ack));
            }
            What::Ack(ack) => {
                let of = MixerName::new(&ack.of);
                if let Some((requester, number)) = self.probes.handle_ack(ack.number, &of) {
                    let ack = proto::Ack { number, of: ack.of };
                    self.send(now, requester, None, None, What::Ack(ack));
                }
                if self.local.state == State::Joining && self.join.may_become_member() {
                    self.become_member(now);
                }
                self.maybe_start_exchange(now, from, digest);
            }
            What::Ask(ask) => self.relay_probe(now, from, ask),
            What::Sums(sums) => self.send_differing_buckets(now, from, &sums.sums),
            What::Page(page) => self.handle_page(now, from, page),
            What::Notice(_) => {}
            body => self.handle_shared(now, from, sender, body),
        }
    }

    /// Probes a member for another member that does not reach it.
    fn relay_probe(&mut self, now: Time, requester: SocketAddrV4, ask: proto::Ask) {
        let at = SocketAddrV4::new(ask.ip.into(), ask.port as u16);
        let to = MixerName::new(&ask.to);
        // Only members are probed, at their known address: a request can't direct datagrams to any other address.
        let known = self
            .table
            .get(&to)
            .is_some_and(|entry| entry.record.address == at);
        let number = known.then(|| {
            self.probes
                .relay(now, self.config.probe_interval, requester, ask.number)
        });
        match number.flatten() {
            Some(number) => {
                let ping = What::Ping(proto::Ping { number, to: ask.to });
                self.send(now, at, Some(&to), None, ping);
            }
            None => self.counts.drops.beyond_share += 1,
        }
    }
}
