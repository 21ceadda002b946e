//! Datagrams as they are sent, with the news that rides on them, and as they are heard.

use std::net::SocketAddrV4;

use lockusher_policy::interface::Time;
use rand::RngExt;

use super::table::{MixerName, Record, State};
use super::wire::{self, Draft, What};
use super::{AGREE, Core};
use crate::proto;

impl Core {
    pub(super) fn draft(&self, what: What) -> Draft {
        let rates = self
            .sharing
            .as_ref()
            .and_then(|sharing| sharing.own_rates)
            .map(|rates| proto::Rates {
                multigets: rates.multigets as f32,
                parts: rates.parts as f32,
                further: rates.further as f32,
                pushed_back: rates.pushed_back as f32,
            });
        Draft::new(&self.plan.fleet, &self.me, self.table.digest(), what, rates)
    }

    /// Sends it with what is said of `to`, unless that is good, and with as much news as there is room for.
    pub(super) fn send(
        &mut self,
        now: Time,
        at: SocketAddrV4,
        to: Option<&MixerName>,
        known: Option<&Record>,
        what: What,
    ) {
        let mut draft = self.draft(what);
        // Whoever is held suspect, dead or elsewhere is told first, so that it can refute.
        let held = to
            .and_then(|to| self.table.get(to))
            .filter(|held| match known {
                Some(known) => known.state == State::Joining || held.record.key() > known.key(),
                None => held.record.state != State::Alive,
            });
        if let Some(held) = held {
            draft.add(&held.told(now));
        }
        let (table, me) = (&self.table, &self.me.name);
        self.news
            .tell(table.living(), |name| match table.get(name) {
                // Every datagram says this already.
                _ if name == me => true,
                Some(held) => Some(name) == to || draft.add(&held.told(now)),
                None => true,
            });
        self.dispatch(at, draft);
    }

    pub(super) fn dispatch(&mut self, at: SocketAddrV4, draft: Draft) {
        let bytes = draft.seal();
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.out.push((at, bytes));
    }

    pub(super) fn ping(&mut self, now: Time, number: u32, target: &MixerName) {
        if let Some(held) = self.table.get(target) {
            let at = held.record.address;
            let what = What::Ping(proto::Ping {
                number,
                to: target.as_str().to_owned(),
            });
            self.send(now, at, Some(target), None, what);
        }
    }

    /// Living others, some of them, by chance; none twice.
    pub(super) fn some(&mut self, most: usize, but: Option<&MixerName>) -> Vec<MixerName> {
        let mut out: Vec<MixerName> = Vec::new();
        let all = self.round.len();
        for _ in 0..most * 3 {
            if out.len() == most.min(all) {
                break;
            }
            let name = &self.round[self.rng.random_range(0..all)];
            let lives = self
                .table
                .get(name)
                .is_some_and(|held| held.record.state == State::Alive);
            if lives && Some(name) != but && !out.contains(name) {
                out.push(name.clone());
            }
        }
        out
    }

    /// A datagram has come.
    pub fn hear(&mut self, now: Time, from: SocketAddrV4, bytes: &[u8]) {
        self.awake(now);
        self.counts.datagrams_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let heard = match wire::read(bytes, &self.plan.fleet) {
            Ok(heard) => heard,
            Err(cause) => return self.counts.drops.count(cause),
        };
        if let What::Ping(ping) = &heard.what
            && !ping.to.is_empty()
            && ping.to != self.me.name.as_str()
        {
            // Somebody else had this address before.
            self.counts.drops.misdirected += 1;
            return;
        }
        let (speaker, digest) = (heard.me.clone(), heard.digest);
        if speaker.name == self.me.name && speaker.address == self.me.address {
            return; // Its own seed.
        }
        self.standing.heard = true;
        self.take(now, heard.me);
        for record in heard.news {
            self.take(now, record);
        }
        if let Some(rates) = heard.rates {
            self.hear_rates(now, &speaker.name, rates);
        }
        self.agreeing = if digest == self.table.digest() {
            self.agreeing + 1
        } else {
            0
        };
        if self.agreeing >= AGREE {
            let suspect = |name: &MixerName| {
                self.table
                    .get(name)
                    .is_some_and(|held| held.record.state == State::Suspect)
            };
            // A suspicion is no difference of views, so their likeness says nothing of it.
            self.news.keep(suspect);
        }
        self.answer(now, from, &speaker, digest, heard.what);
    }

    /// Does what a datagram asks for, once all that it tells was taken in.
    fn answer(&mut self, now: Time, from: SocketAddrV4, speaker: &Record, digest: u64, what: What) {
        match what {
            What::Ping(ping) => {
                let ack = proto::Ack {
                    number: ping.number,
                    of: self.me.name.as_str().to_owned(),
                };
                self.send(
                    now,
                    from,
                    Some(&speaker.name),
                    Some(speaker),
                    What::Ack(ack),
                );
            }
            What::Ack(ack) => {
                let of = MixerName::new(&ack.of);
                if let Some((asker, number)) = self.probes.answered(ack.number, &of) {
                    let ack = proto::Ack { number, of: ack.of };
                    self.send(now, asker, None, None, What::Ack(ack));
                }
                if self.me.state == State::Joining && self.standing.may_claim() {
                    self.claim(now);
                }
                self.differs(now, from, digest);
            }
            What::Ask(ask) => self.probe_for(now, from, ask),
            What::Sums(sums) => self.give_pages(now, from, &sums.sums),
            What::Page(page) => self.take_page(now, from, page),
            What::Notice(_) => {}
            shared => self.hear_shared(now, from, speaker, shared),
        }
    }

    /// Probes a member for another mixer that doesn't reach it.
    fn probe_for(&mut self, now: Time, asker: SocketAddrV4, ask: proto::Ask) {
        let at = SocketAddrV4::new(ask.ip.into(), ask.port as u16);
        let to = MixerName::new(&ask.to);
        // Only for members, at the address that is known: nobody has this mixer write elsewhere.
        let known = self
            .table
            .get(&to)
            .is_some_and(|held| held.record.address == at);
        let number = known.then(|| {
            self.probes
                .errand(now, self.plan.probe_every, asker, ask.number)
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
