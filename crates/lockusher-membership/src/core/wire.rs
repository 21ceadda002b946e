//! Datagrams: encoded within their limit, and read only if they are whole, of this fleet and within bounds. What is
//! not is dropped by cause; nothing of it is believed.

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_policy::interface::Span;
use prost::Message as _;

use super::table::{MixerName, Record, State};
use crate::proto;
pub(crate) use crate::proto::Want as WantOf;
pub(crate) use crate::proto::message::What;

/// Below what any path carries in one piece (1,500 less headers and tunnels).
pub const MOST_BYTES: usize = 1_400;
/// What the envelope around a message takes.
const ENVELOPE: usize = 8;
/// The newest form of messages that this program reads; it writes each in the oldest that can be read as it is meant.
const FORM: u32 = 2;
/// Names and zones are labels of machines; longer ones are damage or malice.
pub const MOST_NAME: usize = 64;
/// More members than fit into a datagram of the smallest records.
const MOST_MEMBERS: usize = 100;
/// Records of which one datagram tells changes.
const MOST_DELTAS: usize = 64;
/// Searchers on one page of what a mixer knows.
const MOST_KNOWN: usize = 100;
/// Budgets that are lent: those of the fleet and one a tenant; their amounts fit into one datagram.
pub const MOST_BUDGETS: usize = 100;
/// Buckets that names fall into: a page's worth each at 3,000 members, and their sums fit into one datagram.
pub const BUCKETS: usize = 256;
/// Incarnations grow by one with each refutation: thousands a second for weeks are none.
const MOST_INCARNATION: u32 = u32::MAX / 2;
/// Generations are Unix microseconds; later than the year 4,000 is no start of a process.
const MOST_GENERATION: u64 = 64_000_000_000_000_000;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Checksum or form of the bytes: cut, altered, not ours at all.
    pub damaged: u64,
    /// Written in a form that this program does not read.
    pub other_form: u64,
    pub other_fleet: u64,
    /// Counts, names or numbers that no sound mixer sends.
    pub absurd: u64,
    /// Meant for another name, at an address that is ours now.
    pub misdirected: u64,
    /// An incarnation far beyond what is known of that life.
    pub far_off: u64,
    /// More was asked of this mixer than it answers.
    pub beyond_share: u64,
}

/// What one datagram says, checked.
pub(crate) struct Heard {
    pub me: Record,
    pub digest: u64,
    pub what: What,
    pub news: Vec<Record>,
    pub rates: Option<proto::Rates>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Cause {
    Damaged,
    OtherForm,
    OtherFleet,
    Absurd,
}

impl Drops {
    pub(crate) fn count(&mut self, cause: Cause) {
        *match cause {
            Cause::Damaged => &mut self.damaged,
            Cause::OtherForm => &mut self.other_form,
            Cause::OtherFleet => &mut self.other_fleet,
            Cause::Absurd => &mut self.absurd,
        } += 1;
    }

    pub fn all(&self) -> u64 {
        let Drops {
            damaged,
            other_form,
            other_fleet,
            absurd,
            misdirected,
            far_off,
            beyond_share,
        } = self;
        damaged + other_form + other_fleet + absurd + misdirected + far_off + beyond_share
    }
}

pub(crate) fn read(bytes: &[u8], fleet: &str) -> Result<Heard, Cause> {
    if bytes.len() > MOST_BYTES {
        return Err(Cause::Absurd);
    }
    let proto::Datagram { checksum, message } =
        proto::Datagram::decode(bytes).map_err(|_| Cause::Damaged)?;
    if crc32fast::hash(&message) != checksum {
        return Err(Cause::Damaged);
    }
    let message = proto::Message::decode(message.as_slice()).map_err(|_| Cause::Damaged)?;
    if message.form == 0 || message.form > FORM {
        return Err(Cause::OtherForm);
    }
    if message.fleet != fleet {
        return Err(Cause::OtherFleet);
    }
    let me = message.me.and_then(record).ok_or(Cause::Absurd)?;
    let what = message.what.ok_or(Cause::Absurd)?;
    let sound = match &what {
        What::Page(page) => page.members.len() <= MOST_MEMBERS && page.buckets.len() <= BUCKETS,
        What::Sums(sums) => sums.sums.len() == BUCKETS,
        What::Ping(ping) => ping.to.len() <= MOST_NAME,
        What::Ask(ask) => {
            !ask.to.is_empty() && ask.to.len() <= MOST_NAME && u16::try_from(ask.port).is_ok()
        }
        What::Ack(ack) => !ack.of.is_empty() && ack.of.len() <= MOST_NAME,
        What::Told(told) => told.deltas.len() <= MOST_DELTAS,
        What::Want(want) => !want.name.is_empty() && want.name.len() <= MOST_NAME,
        What::Known(known) => known.searchers.len() <= MOST_KNOWN,
        What::Lending(said) => said.amounts.len() <= MOST_BUDGETS,
        What::Notice(_) | What::Recall(_) => true,
    };
    if !sound || message.news.len() > MOST_MEMBERS {
        return Err(Cause::Absurd);
    }
    let news = records(message.news)?;
    Ok(Heard {
        me,
        digest: message.digest,
        what,
        news,
        rates: message.rates,
    })
}

/// All of a list, or nothing: one faulty member makes the whole datagram doubtful.
pub(crate) fn records(members: Vec<proto::Member>) -> Result<Vec<Record>, Cause> {
    members
        .into_iter()
        .map(record)
        .collect::<Option<_>>()
        .ok_or(Cause::Absurd)
}

fn record(member: proto::Member) -> Option<Record> {
    let state = match proto::State::try_from(member.state).ok()? {
        proto::State::Joining => State::Joining,
        proto::State::Alive => State::Alive,
        proto::State::Suspect => State::Suspect,
        proto::State::Dead => State::Dead,
        proto::State::Left => State::Left,
    };
    let port = u16::try_from(member.port).ok().filter(|port| *port > 0)?;
    let sound = !member.name.is_empty()
        && [&member.name, &member.zone, &member.by]
            .into_iter()
            .all(|word| word.len() <= MOST_NAME)
        && member.incarnation <= MOST_INCARNATION
        && (1..=MOST_GENERATION).contains(&member.generation);
    sound.then(|| Record {
        name: MixerName::new(&member.name),
        address: SocketAddrV4::new(Ipv4Addr::from(member.ip), port),
        zone: member.zone.as_str().into(),
        generation: member.generation,
        born: member.born,
        incarnation: member.incarnation,
        state,
        by: (!member.by.is_empty()).then(|| MixerName::new(&member.by)),
        age: Span::from_millis(member.age_ms.into()),
    })
}

pub(crate) fn member(record: &Record) -> proto::Member {
    let state = match record.state {
        State::Joining => proto::State::Joining,
        State::Alive => proto::State::Alive,
        State::Suspect => proto::State::Suspect,
        State::Dead => proto::State::Dead,
        State::Left => proto::State::Left,
    };
    proto::Member {
        name: record.name.as_str().to_owned(),
        ip: u32::from(*record.address.ip()),
        port: record.address.port().into(),
        zone: record.zone.to_string(),
        generation: record.generation,
        born: record.born,
        incarnation: record.incarnation,
        state: state.into(),
        by: record
            .by
            .as_ref()
            .map(|by| by.as_str().to_owned())
            .unwrap_or_default(),
        age_ms: u32::try_from(record.age.as_micros() / 1_000).unwrap_or(u32::MAX),
    }
}

/// A message that is filled up to its limit.
pub(crate) struct Draft {
    message: proto::Message,
    bytes: usize,
}

impl Draft {
    pub fn new(
        fleet: &str,
        me: &Record,
        digest: u64,
        what: What,
        rates: Option<proto::Rates>,
    ) -> Self {
        let shared = matches!(
            what,
            What::Told(_) | What::Want(_) | What::Recall(_) | What::Known(_) | What::Lending(_)
        );
        let message = proto::Message {
            form: if shared { 2 } else { 1 },
            rates,
            fleet: fleet.to_owned(),
            me: Some(member(me)),
            digest,
            what: Some(what),
            news: Vec::new(),
        };
        let bytes = message.encoded_len() + ENVELOPE;
        Draft { message, bytes }
    }

    /// Adds an item of news if there is room for it.
    pub fn add(&mut self, record: &Record) -> bool {
        let item = member(record);
        let fits = self.grow(item.encoded_len(), self.message.news.len());
        if fits {
            self.message.news.push(item);
        }
        fits
    }

    /// Adds members to a page if there is room for all of them; `bucket` if they are all of one.
    pub fn add_bucket(&mut self, bucket: Option<usize>, records: &[Record]) -> bool {
        let members: Vec<proto::Member> = records.iter().map(member).collect();
        // Each has a tag and a length before it.
        let size = members.iter().map(|m| m.encoded_len() + 4).sum::<usize>() + 4;
        let Some(What::Page(page)) = &mut self.message.what else {
            return false;
        };
        if self.bytes + size > MOST_BYTES || page.members.len() + members.len() > MOST_MEMBERS {
            return false;
        }
        self.bytes += size;
        page.buckets.extend(bucket.map(|bucket| bucket as u32));
        page.members.extend(members);
        true
    }

    /// Adds changes of a record as far as there is room for them, in their order; tells whether any of it is there.
    pub fn add_delta(&mut self, mut delta: proto::Delta) -> bool {
        let held = match &self.message.what {
            Some(What::Told(told)) => told.deltas.len(),
            _ => return false,
        };
        while !self.grow(delta.encoded_len(), held + MOST_MEMBERS - MOST_DELTAS) {
            // The rest is told another time: what is here is whole up to a lower version.
            delta.verdicts.pop();
            let Some(last) = delta.verdicts.last() else {
                return false;
            };
            delta.upto = last.version;
        }
        if let Some(What::Told(told)) = &mut self.message.what {
            told.deltas.push(delta);
        }
        true
    }

    pub fn add_known(&mut self, searcher: &proto::KnownSearcher) -> bool {
        let Some(What::Known(known)) = &self.message.what else {
            return false;
        };
        let fits = self.grow(searcher.encoded_len(), known.searchers.len());
        if let Some(What::Known(known)) = &mut self.message.what
            && fits
        {
            known.searchers.push(searcher.clone());
        }
        fits
    }

    fn grow(&mut self, size: usize, held: usize) -> bool {
        let fits = self.bytes + size + 4 <= MOST_BYTES && held < MOST_MEMBERS;
        self.bytes += if fits { size + 4 } else { 0 };
        fits
    }

    pub fn seal(self) -> Vec<u8> {
        let message = self.message.encode_to_vec();
        let datagram = proto::Datagram {
            checksum: crc32fast::hash(&message),
            message,
        };
        let bytes = datagram.encode_to_vec();
        debug_assert!(
            bytes.len() <= MOST_BYTES,
            "a datagram of {} bytes",
            bytes.len()
        );
        bytes
    }
}
