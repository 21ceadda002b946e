//! The encoding of datagrams within their size limit, and their validation: a datagram is used only if it is complete,
//! belongs to this fleet and is within all bounds. Any other one is dropped and counted by reason.

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_policy::interface::Span;
use prost::Message as _;

use super::table::{MemberRecord, MixerName, State};
use crate::proto;
pub(crate) use crate::proto::Want as WantRequest;
pub(crate) use crate::proto::message::What;

/// The largest datagram: below what any path carries unfragmented (1,500 less headers and tunnels).
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The bytes that the envelope around a message takes.
const ENVELOPE_BYTES: usize = 8;
/// The newest message format that this program reads. It writes each message in the oldest format that expresses it.
const FORMAT_VERSION: u32 = 2;
/// The longest name or zone. They label machines; a longer one is damaged or malicious.
pub const MAX_NAME_BYTES: usize = 64;
/// The most members in a datagram: more than fit, even of the smallest records.
const MAX_MEMBERS: usize = 100;
/// The most verdict records whose changes one datagram carries.
const MAX_DELTAS: usize = 64;
/// The most searchers on one page of a warm-start answer.
const MAX_KNOWN_PER_PAGE: usize = 100;
/// The most budgets that are leased: those of the fleet and one per tenant. Their amounts fit into one datagram.
pub const MAX_BUDGETS: usize = 100;
/// The number of anti-entropy buckets that names hash to: at 3,000 members each bucket fills about one page, and all
/// bucket sums fit into one datagram.
pub const BUCKET_COUNT: usize = 256;
/// The greatest valid incarnation. It grows by one with each refutation; thousands of refutations a second for weeks
/// don't happen.
const MAX_INCARNATION: u32 = u32::MAX / 2;
/// The greatest valid generation. Generations are Unix microseconds; no process starts after the year 4,000.
const MAX_GENERATION: u64 = 64_000_000_000_000_000;

/// How many datagrams were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// The checksum or the encoding is wrong: truncated, altered or of another protocol.
    pub damaged: u64,
    /// Written in a message format that this program does not read.
    pub other_form: u64,
    /// Sent by a member of another fleet.
    pub other_fleet: u64,
    /// Counts, names or numbers that no correct mixer sends.
    pub absurd: u64,
    /// Addressed to another name that used this address before.
    pub misdirected: u64,
    /// An incarnation too far beyond the known one of the same generation.
    pub far_off: u64,
    /// Requests beyond the rate limits of this mixer.
    pub beyond_share: u64,
}

/// The validated content of one datagram.
pub(crate) struct DecodedMessage {
    pub sender: MemberRecord,
    pub digest: u64,
    pub body: What,
    pub updates: Vec<MemberRecord>,
    pub rates: Option<proto::Rates>,
}

/// Why a datagram failed validation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DropReason {
    Damaged,
    OtherForm,
    OtherFleet,
    Absurd,
}

impl Drops {
    pub(crate) fn count(&mut self, reason: DropReason) {
        *match reason {
            DropReason::Damaged => &mut self.damaged,
            DropReason::OtherForm => &mut self.other_form,
            DropReason::OtherFleet => &mut self.other_fleet,
            DropReason::Absurd => &mut self.absurd,
        } += 1;
    }

    /// The number of dropped datagrams of all reasons.
    pub fn total(&self) -> u64 {
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

/// Decodes and validates a datagram of the given fleet.
pub(crate) fn decode(bytes: &[u8], fleet: &str) -> Result<DecodedMessage, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::Absurd);
    }
    let proto::Datagram { checksum, message } =
        proto::Datagram::decode(bytes).map_err(|_| DropReason::Damaged)?;
    if crc32fast::hash(&message) != checksum {
        return Err(DropReason::Damaged);
    }
    let message = proto::Message::decode(message.as_slice()).map_err(|_| DropReason::Damaged)?;
    if message.form == 0 || message.form > FORMAT_VERSION {
        return Err(DropReason::OtherForm);
    }
    if message.fleet != fleet {
        return Err(DropReason::OtherFleet);
    }
    let sender = message
        .me
        .and_then(decode_member)
        .ok_or(DropReason::Absurd)?;
    let body = message.what.ok_or(DropReason::Absurd)?;
    let valid = match &body {
        What::Page(page) => page.members.len() <= MAX_MEMBERS && page.buckets.len() <= BUCKET_COUNT,
        What::Sums(sums) => sums.sums.len() == BUCKET_COUNT,
        What::Ping(ping) => ping.to.len() <= MAX_NAME_BYTES,
        What::Ask(ask) => {
            !ask.to.is_empty() && ask.to.len() <= MAX_NAME_BYTES && u16::try_from(ask.port).is_ok()
        }
        What::Ack(ack) => !ack.of.is_empty() && ack.of.len() <= MAX_NAME_BYTES,
        What::Told(told) => told.deltas.len() <= MAX_DELTAS,
        What::Want(want) => !want.name.is_empty() && want.name.len() <= MAX_NAME_BYTES,
        What::Known(known) => known.searchers.len() <= MAX_KNOWN_PER_PAGE,
        What::Lending(lending) => lending.amounts.len() <= MAX_BUDGETS,
        What::Notice(_) | What::Recall(_) => true,
    };
    if !valid || message.news.len() > MAX_MEMBERS {
        return Err(DropReason::Absurd);
    }
    let updates = decode_members(message.news)?;
    Ok(DecodedMessage {
        sender,
        digest: message.digest,
        body,
        updates,
        rates: message.rates,
    })
}

/// Decodes all members of a list; one invalid member makes the whole datagram invalid.
pub(crate) fn decode_members(members: Vec<proto::Member>) -> Result<Vec<MemberRecord>, DropReason> {
    members
        .into_iter()
        .map(decode_member)
        .collect::<Option<_>>()
        .ok_or(DropReason::Absurd)
}

fn decode_member(member: proto::Member) -> Option<MemberRecord> {
    let state = match proto::State::try_from(member.state).ok()? {
        proto::State::Joining => State::Joining,
        proto::State::Alive => State::Alive,
        proto::State::Suspect => State::Suspect,
        proto::State::Dead => State::Dead,
        proto::State::Left => State::Left,
    };
    let port = u16::try_from(member.port).ok().filter(|port| *port > 0)?;
    let valid = !member.name.is_empty()
        && [&member.name, &member.zone, &member.by]
            .into_iter()
            .all(|text| text.len() <= MAX_NAME_BYTES)
        && member.incarnation <= MAX_INCARNATION
        && (1..=MAX_GENERATION).contains(&member.generation);
    valid.then(|| MemberRecord {
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

pub(crate) fn encode_member(record: &MemberRecord) -> proto::Member {
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

/// Builds a datagram and fills it up to the size limit.
pub(crate) struct DatagramBuilder {
    message: proto::Message,
    bytes: usize,
}

impl DatagramBuilder {
    pub fn new(
        fleet: &str,
        sender: &MemberRecord,
        digest: u64,
        body: What,
        rates: Option<proto::Rates>,
    ) -> Self {
        let shared = matches!(
            body,
            What::Told(_) | What::Want(_) | What::Recall(_) | What::Known(_) | What::Lending(_)
        );
        let message = proto::Message {
            form: if shared { 2 } else { 1 },
            rates,
            fleet: fleet.to_owned(),
            me: Some(encode_member(sender)),
            digest,
            what: Some(body),
            news: Vec::new(),
        };
        let bytes = message.encoded_len() + ENVELOPE_BYTES;
        DatagramBuilder { message, bytes }
    }

    /// Appends a member record as gossip if it fits.
    pub fn add_update(&mut self, record: &MemberRecord) -> bool {
        let item = encode_member(record);
        let fits = self.reserve(item.encoded_len(), self.message.news.len());
        if fits {
            self.message.news.push(item);
        }
        fits
    }

    /// Appends members to a page if all of them fit; `bucket` is set if they are the whole of that bucket.
    pub fn add_bucket(&mut self, bucket: Option<usize>, records: &[MemberRecord]) -> bool {
        let members: Vec<proto::Member> = records.iter().map(encode_member).collect();
        // Each member is preceded by a tag and a length.
        let size = members.iter().map(|m| m.encoded_len() + 4).sum::<usize>() + 4;
        let Some(What::Page(page)) = &mut self.message.what else {
            return false;
        };
        if self.bytes + size > MAX_DATAGRAM_BYTES
            || page.members.len() + members.len() > MAX_MEMBERS
        {
            return false;
        }
        self.bytes += size;
        page.buckets.extend(bucket.map(|bucket| bucket as u32));
        page.members.extend(members);
        true
    }

    /// Appends the changes of a verdict record, in version order, as far as they fit. Returns whether any fitted.
    pub fn add_delta(&mut self, mut delta: proto::Delta) -> bool {
        let delta_count = match &self.message.what {
            Some(What::Told(told)) => told.deltas.len(),
            _ => return false,
        };
        while !self.reserve(delta.encoded_len(), delta_count + MAX_MEMBERS - MAX_DELTAS) {
            // The rest is sent another time: this delta is complete up to a lower version.
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

    /// Appends a searcher to a warm-start answer if it fits.
    pub fn add_known(&mut self, searcher: &proto::KnownSearcher) -> bool {
        let Some(What::Known(known)) = &self.message.what else {
            return false;
        };
        let fits = self.reserve(searcher.encoded_len(), known.searchers.len());
        if let Some(What::Known(known)) = &mut self.message.what
            && fits
        {
            known.searchers.push(searcher.clone());
        }
        fits
    }

    /// Accounts for an item of `size` bytes if it fits.
    fn reserve(&mut self, size: usize, count: usize) -> bool {
        let fits = self.bytes + size + 4 <= MAX_DATAGRAM_BYTES && count < MAX_MEMBERS;
        self.bytes += if fits { size + 4 } else { 0 };
        fits
    }

    /// Encodes the datagram with its checksum.
    pub fn encode(self) -> Vec<u8> {
        let message = self.message.encode_to_vec();
        let datagram = proto::Datagram {
            checksum: crc32fast::hash(&message),
            message,
        };
        let bytes = datagram.encode_to_vec();
        debug_assert!(
            bytes.len() <= MAX_DATAGRAM_BYTES,
            "encoded datagram has {} bytes, more than the limit",
            bytes.len()
        );
        bytes
    }
}
