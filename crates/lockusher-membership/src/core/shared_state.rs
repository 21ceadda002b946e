//! Shared state on the fleet's datagrams. Changes of verdict records are gossiped in datagrams of their own, request
//! rates are carried by all datagrams, and missing changes are requested. Nothing here is sent or stored where the
//! operator shares nothing.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{
    Budget, QuotaShare, SearcherObservation, Span, Time, WarmStartEntry,
};
use rand::RngExt;

use super::Core;
use super::gossip::GossipQueue;
use super::table::{MixerName, NameMap, State};
use super::wire::{WantRequest, What};
use crate::proto;
use crate::shared::consensus::{self, AgreedVerdict, FormerlyAccused, Vote};
use crate::shared::leasing::{self, BudgetLeasing, FleetView, LeaseMessage};
use crate::shared::records::{Merged, VerdictRecord, VerdictRecords};
use crate::shared::warm_start::{self, WARM_START_PEERS, WarmStart};

/// Which state the operator shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharingConfig {
    /// Whether verdicts on searchers are shared.
    pub judgements: bool,
    /// Whether mixers that start receive observations from others.
    pub warm_starts: bool,
    /// The leased budgets with the amount that the whole fleet may spend of each per second; empty, or each budget
    /// once.
    pub budgets: Vec<(Budget, f64)>,
    /// The most mixers in the fleet.
    pub mixers: usize,
    /// Whether the tenants' quotas are among the budgets; the platform's settings list the tenants.
    pub tenants: bool,
}

/// What the local mixer periodically reports about itself.
#[derive(Clone, Debug, Default)]
pub struct LocalReport {
    /// The observations of searchers.
    pub seen: Vec<SearcherObservation>,
    /// The counters of requests.
    pub totals: Totals,
    /// The demand for each budget, per second.
    pub wants: Vec<(Budget, f64)>,
}

/// Counters since the start of the mixer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Multigets received.
    pub multigets: u64,
    /// Parts of these multigets.
    pub parts: u64,
    /// Additional sends: retries and hedged requests.
    pub further: u64,
    /// Multigets answered with a push-back.
    pub pushed_back: u64,
}

/// The rates of `Totals`, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Multigets per second.
    pub multigets: f64,
    /// Parts per second.
    pub parts: f64,
    /// Additional sends per second.
    pub further: f64,
    /// Multigets answered with a push-back per second.
    pub pushed_back: f64,
}

/// The sum of the rates of all mixers that reported recently, with the number of these and of the live members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetRates {
    /// Mixers whose rates are included.
    pub heard: usize,
    /// Live members.
    pub living: usize,
    /// The sum of the rates.
    pub rates: Rates,
}

/// The agreed verdicts and the state of the records, for status reports.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus {
    /// The verdicts that enough witnesses agree on.
    pub standing: Vec<AgreedVerdict>,
    /// The rates of the fleet.
    pub rates: FleetRates,
    /// Records of other mixers.
    pub records: usize,
    /// Entries in these records.
    pub entries: usize,
    /// Entries of the local record.
    pub own: usize,
    /// Entries that were dropped because a record was full.
    pub crowded: u64,
    /// Searchers learnt by the warm start.
    pub remembered: usize,
    /// What this mixer may spend of each budget.
    pub portions: Vec<(Budget, QuotaShare)>,
    /// Whether more than half of the fleet is live.
    pub in_contact: bool,
    /// The outstanding loans of each budget, if this mixer is the lender.
    pub lends: Option<Vec<f64>>,
}

/// The interval between gossip rounds. Two of them fit into half a second, in which a mixer with little traffic meets a
/// dead searcher about once.
const GOSSIP_INTERVAL: Span = Span::from_millis(200);
/// New changes are sent after a shorter delay and to more members, limited by a token bucket (tokens per second,
/// burst): if news of a death waited for three rounds, every mixer would meet the dead searcher itself.
const URGENT_DELAY: Span = Span::from_millis(20);
const URGENT_FANOUT: usize = 2;
const URGENT_PER_SEC: f64 = 2.0;
const URGENT_BURST: f64 = 4.0;
/// The window over which the local rates are measured.
const RATE_WINDOW: Span = Span::from_millis(2_000);
/// The age after which received rates are ignored. A member receives datagrams of about ten members a second, so of 300
/// members half are heard from within this time.
const RATES_MAX_AGE: Span = Span::from_millis(30_000);
/// Requests for missing changes, and answers to such requests, per second.
const MAX_QUERIES_PER_SEC: f64 = 8.0;
/// The greatest valid rate, above what any mixer serves per second.
const MAX_RATE_PER_SEC: f32 = 1e7;

/// The shared state of the local mixer.
pub(super) struct SharedState {
    pub config: SharingConfig,
    pub records: VerdictRecords,
    /// The owners of records with changes to be sent, and the version from which on the changes are sent.
    pending_deltas: GossipQueue,
    base_versions: NameMap<u32>,
    seen: Vec<SearcherObservation>,
    totals: Option<(Totals, Time)>,
    pub own_rates: Option<Rates>,
    rates: NameMap<(Rates, Time)>,
    agreed: Vec<AgreedVerdict>,
    formerly_accused: FormerlyAccused,
    lending: Option<BudgetLeasing>,
    has_quorum: bool,
    warm_start: WarmStart,
    warm_start_result: Option<Vec<WarmStartEntry>>,
    warm_start_count: usize,
    next_round: Time,
    /// Whether an early round is scheduled; and the tokens left for early rounds, as of `urgent_tokens_at`.
    urgent: bool,
    urgent_tokens: f64,
    urgent_tokens_at: Time,
    query_tokens: f64,
    query_tokens_at: Time,
}

impl SharedState {
    pub fn new(now: Time, config: SharingConfig, generation: u64) -> Self {
        let amounts: Vec<f64> = config.budgets.iter().map(|(_, amount)| *amount).collect();
        let lending = (!amounts.is_empty())
            .then(|| BudgetLeasing::new(now, leasing::LeaseConfig::new(amounts, config.mixers)));
        SharedState {
            lending,
            has_quorum: false,
            config,
            records: VerdictRecords::new(generation),
            pending_deltas: GossipQueue::default(),
            base_versions: NameMap::default(),
            seen: Vec::new(),
            totals: None,
            own_rates: None,
            rates: NameMap::default(),
            agreed: Vec::new(),
            formerly_accused: FormerlyAccused::default(),
            warm_start: WarmStart::default(),
            warm_start_result: None,
            warm_start_count: 0,
            next_round: now,
            urgent: false,
            urgent_tokens: URGENT_BURST,
            urgent_tokens_at: now,
            query_tokens: MAX_QUERIES_PER_SEC,
            query_tokens_at: now,
        }
    }

    /// When the next round is due.
    pub fn next_timeout(&self) -> Time {
        self.next_round
    }

    /// Queues the changes of a record after a version, and schedules an early round if the rate limit allows.
    fn queue_delta(&mut self, now: Time, of: &MixerName, base_version: u32) {
        self.pending_deltas.add(of);
        self.base_versions.entry(of.clone()).or_insert(base_version);
        self.urgent_tokens = (self.urgent_tokens
            + URGENT_PER_SEC * now.since(self.urgent_tokens_at).as_secs())
        .min(URGENT_BURST);
        self.urgent_tokens_at = now;
        if !self.urgent && self.urgent_tokens >= 1.0 {
            (self.urgent, self.urgent_tokens) = (true, self.urgent_tokens - 1.0);
            self.next_round = self.next_round.min(now + URGENT_DELAY);
        }
    }

    /// Whether one more request or answer is within the rate limit.
    fn take_query_token(&mut self, now: Time) -> bool {
        self.query_tokens = (self.query_tokens
            + MAX_QUERIES_PER_SEC * now.since(self.query_tokens_at).as_secs())
        .min(MAX_QUERIES_PER_SEC)
            - 1.0;
        self.query_tokens_at = now;
        let allowed = self.query_tokens >= 0.0;
        self.query_tokens = self.query_tokens.max(0.0);
        allowed
    }

    /// Updates the local rates once per window.
    fn update_rates(&mut self, now: Time, totals: Totals) {
        let Some((before, at)) = self.totals else {
            self.totals = Some((totals, now));
            return;
        };
        let span = now.since(at);
        if span < RATE_WINDOW {
            return;
        }
        let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / span.as_secs();
        self.own_rates = Some(Rates {
            multigets: rate(totals.multigets, before.multigets),
            parts: rate(totals.parts, before.parts),
            further: rate(totals.further, before.further),
            pushed_back: rate(totals.pushed_back, before.pushed_back),
        });
        self.totals = Some((totals, now));
    }
}

impl Core {
    /// Takes the periodic report of the local mixer.
    pub fn report(&mut self, now: Time, report: LocalReport) {
        let Some(mut shared) = self.shared.take() else {
            return;
        };
        shared.update_rates(now, report.totals);
        shared.seen = report.seen;
        if let Some(lending) = &mut shared.lending {
            let demand = |budget: &Budget| {
                report
                    .wants
                    .iter()
                    .find(|(of, _)| of == budget)
                    .map_or(0.0, |want| want.1)
            };
            lending.set_demand(
                shared
                    .config
                    .budgets
                    .iter()
                    .map(|(budget, _)| demand(budget))
                    .collect(),
            );
        }
        if shared.config.judgements && self.local.state == State::Alive {
            shared.records.set_generation(self.local.generation);
            let mut formerly_accused = std::mem::take(&mut shared.formerly_accused);
            let others = self
                .live_verdicts(&shared)
                .filter(|(_, vote)| *vote.by != self.local.name);
            let accusations = consensus::accusations(
                now,
                &self.local.name,
                &self.local.zone,
                others,
                &mut formerly_accused,
            );
            shared.formerly_accused = formerly_accused;
            let verdicts = consensus::local_verdicts(now, &shared.seen, &accusations);
            if let Some(before) = shared.records.publish(now, verdicts) {
                shared.queue_delta(now, &self.local.name, before);
            }
            self.update_agreed(now, &mut shared);
        }
        self.shared = Some(shared);
    }

    /// The verdicts of all live mixers, the local one included.
    fn live_verdicts<'a>(
        &'a self,
        shared: &'a SharedState,
    ) -> impl Iterator<Item = (&'a lockusher_policy::interface::SearcherId, Vote<'a>)> {
        let of = |by: &'a MixerName, zone: &'a str, record: &'a VerdictRecord| {
            let entries = record.entries.iter().filter(|(_, entry)| {
                entry.verdict.fault != crate::shared::records::Fault::Withdrawn
            });
            entries.map(move |(id, entry)| {
                (
                    id,
                    Vote {
                        by,
                        zone,
                        verdict: &entry.verdict,
                    },
                )
            })
        };
        let others = shared.records.others().filter_map(move |(name, record)| {
            let entry = self.table.get(name)?;
            let is_live =
                entry.record.state.is_live() && entry.record.generation == record.generation;
            is_live.then(|| of(name, &entry.record.zone, record))
        });
        others
            .flatten()
            .chain(of(&self.local.name, &self.local.zone, shared.records.own()))
    }

    /// Recomputes the agreed verdicts.
    fn update_agreed(&self, now: Time, shared: &mut SharedState) {
        shared.agreed = consensus::agreed_verdicts(
            now,
            self.live_verdicts(shared),
            self.table.live_zone_count(),
        );
    }

    /// The verdicts that enough witnesses agree on.
    pub fn agreed_verdicts(&self) -> &[AgreedVerdict] {
        self.shared.as_ref().map_or(&[], |shared| &shared.agreed)
    }

    /// The result of the warm start, returned once.
    pub fn take_warm_start(&mut self) -> Option<Vec<WarmStartEntry>> {
        self.shared.as_mut()?.warm_start_result.take()
    }

    /// The shared state for status reports; `None` if nothing is shared.
    pub fn shared_status(&self, now: Time) -> Option<SharedStatus> {
        let shared = self.shared.as_ref()?;
        let mut rates = FleetRates {
            living: self.live_count(),
            ..FleetRates::default()
        };
        let recent = shared.rates.iter().filter(|(name, (_, at))| {
            now.since(*at) < RATES_MAX_AGE
                && self
                    .table
                    .get(name)
                    .is_some_and(|entry| entry.record.state.is_live())
        });
        for member in recent.map(|(_, (rates, _))| *rates).chain(shared.own_rates) {
            rates.heard += 1;
            rates.rates.multigets += member.multigets;
            rates.rates.parts += member.parts;
            rates.rates.further += member.further;
            rates.rates.pushed_back += member.pushed_back;
        }
        Some(SharedStatus {
            standing: shared.agreed.clone(),
            rates,
            records: shared.records.others().count(),
            entries: shared
                .records
                .others()
                .map(|(_, record)| record.entries.len())
                .sum(),
            own: shared.records.own().fresh(now).count(),
            crowded: shared.records.crowded,
            remembered: shared.warm_start_count,
            portions: self.shares(now),
            in_contact: shared.has_quorum,
            lends: shared
                .lending
                .as_ref()
                .and_then(|lending| lending.loaned_out(now)),
        })
    }

    /// What this mixer may spend of each budget as of `now`.
    pub fn shares(&self, now: Time) -> Vec<(Budget, QuotaShare)> {
        let Some(shared) = &self.shared else {
            return Vec::new();
        };
        let Some(lending) = &shared.lending else {
            return Vec::new();
        };
        let budgets = shared.config.budgets.iter().map(|(budget, _)| *budget);
        budgets.zip(lending.shares(now)).collect()
    }

    /// Whether more than half of the fleet is live as far as this mixer knows; `None` if no budget is leased.
    pub fn has_quorum(&self) -> Option<bool> {
        let shared = self.shared.as_ref()?;
        shared.lending.as_ref().map(|_| shared.has_quorum)
    }

    /// The live members, and the one of them that is to be the lender: the one that was started first, as it is the
    /// most likely to stay.
    fn live_members_and_lender(&self) -> (Vec<MixerName>, Option<MixerName>) {
        let live = || {
            self.table
                .iter()
                .map(|entry| &entry.record)
                .filter(|record| record.state.is_live())
        };
        let lender = live().min_by_key(|record| (record.born, record.name.clone()));
        let lender = lender.map(|record| record.name.clone());
        let mut live: Vec<MixerName> = live().map(|record| record.name.clone()).collect();
        live.sort();
        (live, lender)
    }

    /// Runs a round of budget leasing.
    fn lend_budgets(&mut self, now: Time, shared: &mut SharedState) {
        let Some(lending) = &mut shared.lending else {
            return;
        };
        let (live, lender) = self.live_members_and_lender();
        let local = (self.local.name.clone(), self.local.generation);
        let view = FleetView {
            local: &local,
            lender: lender.as_ref(),
            live: &live,
            counted: self.counted,
        };
        shared.has_quorum = view.has_quorum(lending.config());
        for (to, message) in lending.handle_timeout(now, &view) {
            if let Some(at) = self.table.get(&to).map(|entry| entry.record.address) {
                self.send_lending(at, message);
            }
        }
    }

    /// Sends a message of budget leasing.
    fn send_lending(&mut self, at: SocketAddrV4, message: LeaseMessage) {
        use proto::lending::What as Kind;
        let with_kind = |number, kind: Kind| proto::Lending {
            number,
            what: kind.into(),
            ..proto::Lending::default()
        };
        let ms = |span: Span| (span.as_micros() / 1_000) as u32;
        let body = match message {
            LeaseMessage::PromiseRequest { number, span } => proto::Lending {
                for_ms: ms(span),
                ..with_kind(number, Kind::Promise)
            },
            LeaseMessage::PromiseGrant { number, life } => proto::Lending {
                life,
                ..with_kind(number, Kind::Promised)
            },
            LeaseMessage::LoanRequest { number, amounts } => proto::Lending {
                amounts,
                ..with_kind(number, Kind::Wants)
            },
            LeaseMessage::LoanGrant {
                number,
                life,
                span,
                amounts,
            } => proto::Lending {
                life,
                for_ms: ms(span),
                amounts,
                ..with_kind(number, Kind::Lent)
            },
        };
        let builder = self.builder(What::Lending(body));
        self.dispatch(at, builder);
    }

    /// Handles a message of budget leasing.
    fn handle_lending(
        &mut self,
        now: Time,
        shared: &mut SharedState,
        from: SocketAddrV4,
        sender: &super::table::MemberRecord,
        body: proto::Lending,
    ) {
        use proto::lending::What as Kind;
        let Some(lending) = &mut shared.lending else {
            return;
        };
        // Only messages of live members in their known generation are valid; those of an earlier process are ignored.
        let known = self
            .table
            .get(&sender.name)
            .map(|entry| (entry.record.generation, entry.record.state.is_live()));
        if known != Some((sender.generation, true)) || self.local.state != State::Alive {
            return;
        }
        let (number, life, span) = (
            body.number,
            body.life,
            Span::from_millis(body.for_ms.into()),
        );
        let message = match Kind::try_from(body.what) {
            Ok(Kind::Promise) => LeaseMessage::PromiseRequest { number, span },
            Ok(Kind::Promised) => LeaseMessage::PromiseGrant { number, life },
            Ok(Kind::Wants) => LeaseMessage::LoanRequest {
                number,
                amounts: body.amounts,
            },
            Ok(Kind::Lent) => LeaseMessage::LoanGrant {
                number,
                life,
                span,
                amounts: body.amounts,
            },
            Ok(Kind::Nothing) | Err(_) => return self.counts.drops.absurd += 1,
        };
        let (live, lender) = self.live_members_and_lender();
        let local = (self.local.name.clone(), self.local.generation);
        let view = FleetView {
            local: &local,
            lender: lender.as_ref(),
            live: &live,
            counted: self.counted,
        };
        let instance = (sender.name.clone(), sender.generation);
        for (_, message) in lending.handle_message(now, &instance, message, &view) {
            self.send_lending(from, message);
        }
    }

    /// Runs a round: sends the changes and requests that are due.
    pub(super) fn share_state(&mut self, now: Time) {
        let Some(mut shared) = self.shared.take() else {
            return;
        };
        let jitter = self.rng.random_range(0.8..1.2);
        shared.next_round = now + GOSSIP_INTERVAL.times(jitter);
        if self.local.state == State::Alive {
            self.request_warm_start(now, &mut shared);
            let is_live = |name: &MixerName| {
                self.table
                    .get(name)
                    .is_some_and(|entry| entry.record.state.is_live())
            };
            shared.records.retain(is_live);
            shared.rates.retain(|name, _| is_live(name));
            shared.base_versions.retain(|name, _| is_live(name));
            shared.pending_deltas.retain(is_live);
            self.send_deltas(now, &mut shared);
            self.update_agreed(now, &mut shared);
            self.lend_budgets(now, &mut shared);
        }
        self.shared = Some(shared);
    }

    /// Sends the pending changes, if any, to one member, or to several if they are new.
    fn send_deltas(&mut self, now: Time, shared: &mut SharedState) {
        let fanout = if std::mem::take(&mut shared.urgent) {
            URGENT_FANOUT
        } else {
            1
        };
        for to in self.random_live_members(fanout, None) {
            if shared.base_versions.is_empty() {
                return;
            }
            let Some(at) = self.table.get(&to).map(|entry| entry.record.address) else {
                continue;
            };
            let mut builder = self.builder(What::Told(proto::Told::default()));
            let SharedState {
                records,
                pending_deltas,
                base_versions,
                ..
            } = shared;
            let own = &self.local.name;
            pending_deltas.offer(self.table.live_count(), |name| {
                let record = if name == own {
                    Some(records.own())
                } else {
                    records.get(name)
                };
                let base = base_versions.get(name).copied();
                // The recipient does not need its own record.
                let source = record.zip(base).filter(|_| *name != to);
                source.is_none_or(|(record, base)| builder.add_delta(record.delta(name, base, now)))
            });
            base_versions.retain(|name, _| pending_deltas.contains(name));
            self.dispatch(at, builder);
        }
    }

    /// Requests observations from some members, and takes the result once it is complete.
    fn request_warm_start(&mut self, now: Time, shared: &mut SharedState) {
        if !shared.config.warm_starts {
            return;
        }
        if shared.warm_start.should_ask() {
            let peers = self.random_live_members(WARM_START_PEERS, None);
            let requests: Vec<(u32, MixerName)> = peers
                .into_iter()
                .map(|name| (self.probes.next_number(), name))
                .collect();
            for (number, name) in &requests {
                if let Some(at) = self.table.get(name).map(|entry| entry.record.address) {
                    let what = What::Recall(proto::Recall { number: *number });
                    let builder = self.builder(what);
                    self.dispatch(at, builder);
                }
            }
            shared.warm_start.record_requests(now, requests.into_iter());
        }
        if let Some(known) = shared
            .warm_start
            .take_result(now)
            .filter(|known| !known.is_empty())
        {
            shared.warm_start_count = known.len();
            shared.warm_start_result = Some(known);
        }
    }

    /// Handles a message about shared state.
    pub(super) fn handle_shared(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        sender: &super::table::MemberRecord,
        what: What,
    ) {
        let Some(mut shared) = self.shared.take() else {
            return;
        };
        match what {
            What::Told(body) => self.handle_told(now, &mut shared, from, body),
            What::Want(want) => self.send_record(now, &mut shared, from, &want),
            What::Lending(body) => self.handle_lending(now, &mut shared, from, sender, body),
            What::Recall(recall) => self.send_known(now, &mut shared, from, recall.number),
            What::Known(known) => match warm_start::decode_known(now, &known.searchers) {
                Some(observations) => shared.warm_start.handle_answer(known.number, observations),
                None => self.counts.drops.absurd += 1,
            },
            _ => {}
        }
        self.shared = Some(shared);
    }

    /// Stores the rates of another live member.
    pub(super) fn handle_rates(&mut self, now: Time, of: &MixerName, received: proto::Rates) {
        let values = [
            received.multigets,
            received.parts,
            received.further,
            received.pushed_back,
        ];
        let Some(shared) = self.shared.as_mut() else {
            return;
        };
        if !values
            .iter()
            .all(|value| (0.0..=MAX_RATE_PER_SEC).contains(value))
        {
            self.counts.drops.absurd += 1;
            return;
        }
        let [multigets, parts, further, pushed_back] = values.map(f64::from);
        if self
            .table
            .get(of)
            .is_some_and(|entry| entry.record.state.is_live())
        {
            shared.rates.insert(
                of.clone(),
                (
                    Rates {
                        multigets,
                        parts,
                        further,
                        pushed_back,
                    },
                    now,
                ),
            );
        }
    }

    /// Merges changes of verdict records, and requests missing ones.
    fn handle_told(
        &mut self,
        now: Time,
        shared: &mut SharedState,
        from: SocketAddrV4,
        body: proto::Told,
    ) {
        for delta in body.deltas {
            let name = MixerName::new(&delta.name);
            let known = self
                .table
                .get(&name)
                .map(|entry| (entry.record.generation, entry.record.state));
            // Only records of live members in their known generation are stored, which bounds the memory by the number
            // of members.
            if name == self.local.name
                || known.is_none_or(|(known, state)| known != delta.generation || !state.is_live())
            {
                continue;
            }
            let generation = delta.generation;
            match shared.records.merge(now, delta) {
                Merged::Updated(before) => shared.queue_delta(now, &name, before),
                Merged::Unchanged => {}
                Merged::Gap(known_version) => {
                    if shared.take_query_token(now) {
                        let want = WantRequest {
                            name: name.as_str().to_owned(),
                            generation,
                            from: known_version,
                        };
                        let builder = self.builder(What::Want(want));
                        self.dispatch(from, builder);
                    }
                }
                Merged::Invalid => self.counts.drops.absurd += 1,
            }
        }
        self.update_agreed(now, shared);
    }

    /// Sends the changes of one record after a version.
    fn send_record(
        &mut self,
        now: Time,
        shared: &mut SharedState,
        to: SocketAddrV4,
        want: &WantRequest,
    ) {
        if !shared.take_query_token(now) {
            self.counts.drops.beyond_share += 1;
            return;
        }
        let name = MixerName::new(&want.name);
        let record = if name == self.local.name {
            Some(shared.records.own())
        } else {
            shared.records.get(&name)
        };
        if let Some(record) = record.filter(|record| record.generation == want.generation) {
            let mut builder = self.builder(What::Told(proto::Told::default()));
            builder.add_delta(record.delta(&name, want.from, now));
            self.dispatch(to, builder);
        }
    }

    /// Sends what this mixer knows about searchers to a mixer that starts.
    fn send_known(&mut self, now: Time, shared: &mut SharedState, to: SocketAddrV4, number: u32) {
        if !shared.config.warm_starts || !shared.take_query_token(now) {
            self.counts.drops.beyond_share += 1;
            return;
        }
        let page = || {
            What::Known(proto::Known {
                number,
                searchers: Vec::new(),
            })
        };
        let mut builder = self.builder(page());
        for known in warm_start::encode_known(now, &shared.seen) {
            if !builder.add_known(&known) {
                let full = std::mem::replace(&mut builder, self.builder(page()));
                self.dispatch(to, full);
                builder.add_known(&known);
            }
        }
        self.dispatch(to, builder);
    }
}
