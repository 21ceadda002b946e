//! Shared state on the fleet's datagrams: changes of records ride on datagrams of their own while there are any, rates on
//! all; what was missed is asked for. Nothing here is sent or kept where the operator shares nothing.

use std::net::SocketAddrV4;

use lockusher_policy::interface::{
    Budget, QuotaShare, SearcherObservation, Span, Time, WarmStartEntry,
};
use rand::RngExt;

use super::Core;
use super::news::News;
use super::table::{ByName, MixerName, State};
use super::wire::{WantOf, What};
use crate::proto;
use crate::shared::judge::{self, OnceAccused, Said, Standing};
use crate::shared::lend::{self, Lending, View, Word};
use crate::shared::records::{Merged, Record, Records};
use crate::shared::warm::{self, ASKED, Warming};

/// What the operator has shared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    pub judgements: bool,
    pub warm_starts: bool,
    /// The budgets that are lent out, what the whole fleet may spend of each a second; none, or each once.
    pub budgets: Vec<(Budget, f64)>,
    /// Mixers that make up the fleet, at the most.
    pub mixers: usize,
    /// Whether tenants' shares are among the budgets; which tenants there are, the platform's settings tell.
    pub tenants: bool,
}

/// What a mixer tells of itself, now and then.
#[derive(Clone, Debug, Default)]
pub struct Own {
    pub seen: Vec<SearcherObservation>,
    pub totals: Totals,
    /// What it would spend of budgets a second.
    pub wants: Vec<(Budget, f64)>,
}

/// Counts since the mixer's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub multigets: u64,
    pub parts: u64,
    pub further: u64,
    pub pushed_back: u64,
}

/// The same, a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    pub multigets: f64,
    pub parts: f64,
    pub further: f64,
    pub pushed_back: f64,
}

/// Rates of all mixers that were heard from lately, added up, with how many of the living these are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetRates {
    pub heard: usize,
    pub living: usize,
    pub rates: Rates,
}

/// How a judgement of each searcher came about, and how records stand, for those who look.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    pub standing: Vec<Standing>,
    pub rates: FleetRates,
    /// Records held of others, entries in all and of the own one.
    pub records: usize,
    pub entries: usize,
    pub own: usize,
    /// Entries that were not held or told for want of room.
    pub crowded: u64,
    /// Searchers known from others since the start.
    pub remembered: usize,
    /// What this mixer may spend of each budget; whether more than half of the fleet lives for it; and, if it is the one
    /// that lends, what of each is out.
    pub portions: Vec<(Budget, QuotaShare)>,
    pub in_contact: bool,
    pub lends: Option<Vec<f64>>,
}

/// Between two tellings: two of them fit into half a second, in which thin traffic meets a dead searcher about once.
const TELL_EVERY: Span = Span::from_millis(200);
/// What is new is told sooner, so soon and to so many, as often as this in a second and so often at once: a death that
/// waits for three tellings in a row is met by all themselves.
const SOON: Span = Span::from_millis(20);
const TOLD_SOON: usize = 2;
const SOONER: f64 = 2.0;
const MOST_SOONER: f64 = 4.0;
/// The time over which own rates are worked out.
const RATES_OVER: Span = Span::from_millis(2_000);
/// Rates heard longer ago are not counted. Datagrams of ten members come a second, so of 300 half were heard in it.
const RATES_KEPT: Span = Span::from_millis(30_000);
/// Questions for what is missing, and answers to such, in a second.
const MOST_ASKED: f64 = 8.0;
/// More multigets a second than any mixer serves.
const MOST_RATE: f32 = 1e7;

pub(super) struct Sharing {
    pub plan: Shares,
    pub records: Records,
    /// Owners whose records have changes to be told, and from which version on.
    rumours: News,
    bases: ByName<u32>,
    seen: Vec<SearcherObservation>,
    totals: Option<(Totals, Time)>,
    pub own_rates: Option<Rates>,
    rates: ByName<(Rates, Time)>,
    standing: Vec<Standing>,
    once: OnceAccused,
    lending: Option<Lending>,
    in_contact: bool,
    warming: Warming,
    remembered: Option<Vec<WarmStartEntry>>,
    known: usize,
    next: Time,
    /// Something is to be told sooner; how often that may be yet, as of when.
    soon: bool,
    sooner: f64,
    sooner_at: Time,
    asks_left: f64,
    asks_at: Time,
}

impl Sharing {
    pub fn new(now: Time, plan: Shares, generation: u64) -> Self {
        let amounts: Vec<f64> = plan.budgets.iter().map(|(_, amount)| *amount).collect();
        let lending =
            (!amounts.is_empty()).then(|| Lending::new(now, lend::Plan::new(amounts, plan.mixers)));
        Sharing {
            lending,
            in_contact: false,
            plan,
            records: Records::new(generation),
            rumours: News::default(),
            bases: ByName::default(),
            seen: Vec::new(),
            totals: None,
            own_rates: None,
            rates: ByName::default(),
            standing: Vec::new(),
            once: OnceAccused::default(),
            warming: Warming::default(),
            remembered: None,
            known: 0,
            next: now,
            soon: false,
            sooner: MOST_SOONER,
            sooner_at: now,
            asks_left: MOST_ASKED,
            asks_at: now,
        }
    }

    pub fn next(&self) -> Time {
        self.next
    }

    fn rumour(&mut self, now: Time, of: &MixerName, base: u32) {
        self.rumours.add(of);
        self.bases.entry(of.clone()).or_insert(base);
        self.sooner = (self.sooner + SOONER * now.since(self.sooner_at).as_secs()).min(MOST_SOONER);
        self.sooner_at = now;
        if !self.soon && self.sooner >= 1.0 {
            (self.soon, self.sooner) = (true, self.sooner - 1.0);
            self.next = self.next.min(now + SOON);
        }
    }

    /// Whether one more question or answer is within its share.
    fn may_ask(&mut self, now: Time) -> bool {
        self.asks_left =
            (self.asks_left + MOST_ASKED * now.since(self.asks_at).as_secs()).min(MOST_ASKED) - 1.0;
        self.asks_at = now;
        let may = self.asks_left >= 0.0;
        self.asks_left = self.asks_left.max(0.0);
        may
    }

    fn count(&mut self, now: Time, totals: Totals) {
        let Some((before, at)) = self.totals else {
            self.totals = Some((totals, now));
            return;
        };
        let span = now.since(at);
        if span < RATES_OVER {
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
    /// What this mixer saw and did, as it tells it now and then.
    pub fn tell(&mut self, now: Time, own: Own) {
        let Some(mut sharing) = self.sharing.take() else {
            return;
        };
        sharing.count(now, own.totals);
        sharing.seen = own.seen;
        if let Some(lending) = &mut sharing.lending {
            let want = |budget: &Budget| {
                own.wants
                    .iter()
                    .find(|(of, _)| of == budget)
                    .map_or(0.0, |want| want.1)
            };
            lending.wants(
                sharing
                    .plan
                    .budgets
                    .iter()
                    .map(|(budget, _)| want(budget))
                    .collect(),
            );
        }
        if sharing.plan.judgements && self.me.state == State::Alive {
            sharing.records.reborn(self.me.generation);
            let mut once = std::mem::take(&mut sharing.once);
            let others = self
                .said(&sharing)
                .filter(|(_, said)| *said.by != self.me.name);
            let accused = judge::accused(now, &self.me.name, &self.me.zone, others, &mut once);
            sharing.once = once;
            let verdicts = judge::tells(now, &sharing.seen, &accused);
            if let Some(before) = sharing.records.publish(now, verdicts) {
                sharing.rumour(now, &self.me.name, before);
            }
            self.judge(now, &mut sharing);
        }
        self.sharing = Some(sharing);
    }

    /// All that living mixers say of searchers, this one among them.
    fn said<'a>(
        &'a self,
        sharing: &'a Sharing,
    ) -> impl Iterator<Item = (&'a lockusher_policy::interface::SearcherId, Said<'a>)> {
        let of = |by: &'a MixerName, zone: &'a str, record: &'a Record| {
            let entries = record.entries.iter().filter(|(_, entry)| {
                entry.verdict.fault != crate::shared::records::Fault::Withdrawn
            });
            entries.map(move |(id, entry)| {
                (
                    id,
                    Said {
                        by,
                        zone,
                        verdict: &entry.verdict,
                    },
                )
            })
        };
        let others = sharing.records.others().filter_map(move |(name, record)| {
            let held = self.table.get(name)?;
            let lives = held.record.state.lives() && held.record.generation == record.generation;
            lives.then(|| of(name, &held.record.zone, record))
        });
        others
            .flatten()
            .chain(of(&self.me.name, &self.me.zone, sharing.records.own()))
    }

    fn judge(&self, now: Time, sharing: &mut Sharing) {
        sharing.standing = judge::stands(now, self.said(sharing), self.table.living_zones());
    }

    /// What stands of searchers now.
    pub fn standing_judgements(&self) -> &[Standing] {
        self.sharing
            .as_ref()
            .map_or(&[], |sharing| &sharing.standing)
    }

    /// What others remembered of searchers, once, when this mixer started.
    pub fn take_remembered(&mut self) -> Option<Vec<WarmStartEntry>> {
        self.sharing.as_mut()?.remembered.take()
    }

    pub fn shown(&self, now: Time) -> Option<Shown> {
        let sharing = self.sharing.as_ref()?;
        let mut rates = FleetRates {
            living: self.living(),
            ..FleetRates::default()
        };
        let heard = sharing.rates.iter().filter(|(name, (_, at))| {
            now.since(*at) < RATES_KEPT
                && self
                    .table
                    .get(name)
                    .is_some_and(|held| held.record.state.lives())
        });
        for own in heard.map(|(_, (rates, _))| *rates).chain(sharing.own_rates) {
            rates.heard += 1;
            rates.rates.multigets += own.multigets;
            rates.rates.parts += own.parts;
            rates.rates.further += own.further;
            rates.rates.pushed_back += own.pushed_back;
        }
        Some(Shown {
            standing: sharing.standing.clone(),
            rates,
            records: sharing.records.others().count(),
            entries: sharing
                .records
                .others()
                .map(|(_, record)| record.entries.len())
                .sum(),
            own: sharing.records.own().fresh(now).count(),
            crowded: sharing.records.crowded,
            remembered: sharing.known,
            portions: self.portions(now),
            in_contact: sharing.in_contact,
            lends: sharing
                .lending
                .as_ref()
                .and_then(|lending| lending.lends(now)),
        })
    }

    /// What this mixer may spend of each budget, as of now.
    pub fn portions(&self, now: Time) -> Vec<(Budget, QuotaShare)> {
        let Some(sharing) = &self.sharing else {
            return Vec::new();
        };
        let Some(lending) = &sharing.lending else {
            return Vec::new();
        };
        let budgets = sharing.plan.budgets.iter().map(|(budget, _)| *budget);
        budgets.zip(lending.portions(now)).collect()
    }

    /// Whether more than half of the fleet lives, as far as this mixer knows; `None` where no budget is lent.
    pub fn in_contact(&self) -> Option<bool> {
        let sharing = self.sharing.as_ref()?;
        sharing.lending.as_ref().map(|_| sharing.in_contact)
    }

    /// The living, and the one of them that is to lend: the one that was started first, as it is the likeliest to stay.
    fn lenders(&self) -> (Vec<MixerName>, Option<MixerName>) {
        let living = || {
            self.table
                .iter()
                .map(|held| &held.record)
                .filter(|record| record.state.lives())
        };
        let first = living().min_by_key(|record| (record.born, record.name.clone()));
        let first = first.map(|record| record.name.clone());
        let mut living: Vec<MixerName> = living().map(|record| record.name.clone()).collect();
        living.sort();
        (living, first)
    }

    fn lend(&mut self, now: Time, sharing: &mut Sharing) {
        let Some(lending) = &mut sharing.lending else {
            return;
        };
        let (living, first) = self.lenders();
        let me = (self.me.name.clone(), self.me.generation);
        let view = View {
            me: &me,
            first: first.as_ref(),
            living: &living,
            counted: self.counted,
        };
        sharing.in_contact = view.most(lending.plan());
        for (to, word) in lending.due(now, &view) {
            if let Some(at) = self.table.get(&to).map(|held| held.record.address) {
                self.say_of_lending(at, word);
            }
        }
    }

    fn say_of_lending(&mut self, at: SocketAddrV4, word: Word) {
        use proto::lending::What as Said;
        let of = |number, what: Said| proto::Lending {
            number,
            what: what.into(),
            ..proto::Lending::default()
        };
        let ms = |span: Span| (span.as_micros() / 1_000) as u32;
        let what = match word {
            Word::Promise { number, span } => proto::Lending {
                for_ms: ms(span),
                ..of(number, Said::Promise)
            },
            Word::Promised { number, life } => proto::Lending {
                life,
                ..of(number, Said::Promised)
            },
            Word::Wants { number, amounts } => proto::Lending {
                amounts,
                ..of(number, Said::Wants)
            },
            Word::Lent {
                number,
                life,
                span,
                amounts,
            } => proto::Lending {
                life,
                for_ms: ms(span),
                amounts,
                ..of(number, Said::Lent)
            },
        };
        let draft = self.draft(What::Lending(what));
        self.dispatch(at, draft);
    }

    fn hear_of_lending(
        &mut self,
        now: Time,
        sharing: &mut Sharing,
        from: SocketAddrV4,
        speaker: &super::table::Record,
        said: proto::Lending,
    ) {
        use proto::lending::What as Said;
        let Some(lending) = &mut sharing.lending else {
            return;
        };
        // Of a member that lives, in the life that is known: a former one's words are void.
        let known = self
            .table
            .get(&speaker.name)
            .map(|held| (held.record.generation, held.record.state.lives()));
        if known != Some((speaker.generation, true)) || self.me.state != State::Alive {
            return;
        }
        let (number, life, span) = (
            said.number,
            said.life,
            Span::from_millis(said.for_ms.into()),
        );
        let word = match Said::try_from(said.what) {
            Ok(Said::Promise) => Word::Promise { number, span },
            Ok(Said::Promised) => Word::Promised { number, life },
            Ok(Said::Wants) => Word::Wants {
                number,
                amounts: said.amounts,
            },
            Ok(Said::Lent) => Word::Lent {
                number,
                life,
                span,
                amounts: said.amounts,
            },
            Ok(Said::Nothing) | Err(_) => return self.counts.drops.absurd += 1,
        };
        let (living, first) = self.lenders();
        let me = (self.me.name.clone(), self.me.generation);
        let view = View {
            me: &me,
            first: first.as_ref(),
            living: &living,
            counted: self.counted,
        };
        let life = (speaker.name.clone(), speaker.generation);
        for (_, word) in lending.hear(now, &life, word, &view) {
            self.say_of_lending(from, word);
        }
    }

    /// Tells what is to be told, asks what is to be asked.
    pub(super) fn share(&mut self, now: Time) {
        let Some(mut sharing) = self.sharing.take() else {
            return;
        };
        let chance = self.rng.random_range(0.8..1.2);
        sharing.next = now + TELL_EVERY.times(chance);
        if self.me.state == State::Alive {
            self.warm(now, &mut sharing);
            let lives = |name: &MixerName| {
                self.table
                    .get(name)
                    .is_some_and(|held| held.record.state.lives())
            };
            sharing.records.keep(lives);
            sharing.rates.retain(|name, _| lives(name));
            sharing.bases.retain(|name, _| lives(name));
            sharing.rumours.keep(lives);
            self.rumour(now, &mut sharing);
            self.judge(now, &mut sharing);
            self.lend(now, &mut sharing);
        }
        self.sharing = Some(sharing);
    }

    /// One datagram of changes to one member, or to some if they are new, if there are any.
    fn rumour(&mut self, now: Time, sharing: &mut Sharing) {
        let most = if std::mem::take(&mut sharing.soon) {
            TOLD_SOON
        } else {
            1
        };
        for to in self.some(most, None) {
            if sharing.bases.is_empty() {
                return;
            }
            let Some(at) = self.table.get(&to).map(|held| held.record.address) else {
                continue;
            };
            let mut draft = self.draft(What::Told(proto::Told::default()));
            let Sharing {
                records,
                rumours,
                bases,
                ..
            } = sharing;
            let own = &self.me.name;
            rumours.tell(self.table.living(), |name| {
                let record = if name == own {
                    Some(records.own())
                } else {
                    records.get(name)
                };
                let base = bases.get(name).copied();
                // Nobody has to be told of its own record.
                let told = record.zip(base).filter(|_| *name != to);
                told.is_none_or(|(record, base)| draft.add_delta(record.delta(name, base, now)))
            });
            bases.retain(|name, _| rumours.holds(name));
            self.dispatch(at, draft);
        }
    }

    /// Asks some members what they know, and takes what they told.
    fn warm(&mut self, now: Time, sharing: &mut Sharing) {
        if !sharing.plan.warm_starts {
            return;
        }
        if sharing.warming.asks() {
            let asked = self.some(ASKED, None);
            let questions: Vec<(u32, MixerName)> = asked
                .into_iter()
                .map(|name| (self.probes.number(), name))
                .collect();
            for (number, name) in &questions {
                if let Some(at) = self.table.get(name).map(|held| held.record.address) {
                    let what = What::Recall(proto::Recall { number: *number });
                    let draft = self.draft(what);
                    self.dispatch(at, draft);
                }
            }
            sharing.warming.asked(now, questions.into_iter());
        }
        if let Some(known) = sharing.warming.gives(now).filter(|known| !known.is_empty()) {
            sharing.known = known.len();
            sharing.remembered = Some(known);
        }
    }

    /// A datagram of shared state has come.
    pub(super) fn hear_shared(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        speaker: &super::table::Record,
        what: What,
    ) {
        let Some(mut sharing) = self.sharing.take() else {
            return;
        };
        match what {
            What::Told(told) => self.told(now, &mut sharing, from, told),
            What::Want(want) => self.give_records(now, &mut sharing, from, &want),
            What::Lending(said) => self.hear_of_lending(now, &mut sharing, from, speaker, said),
            What::Recall(recall) => self.recall(now, &mut sharing, from, recall.number),
            What::Known(known) => match warm::read(now, &known.searchers) {
                Some(read) => sharing.warming.hears(known.number, read),
                None => self.counts.drops.absurd += 1,
            },
            _ => {}
        }
        self.sharing = Some(sharing);
    }

    pub(super) fn hear_rates(&mut self, now: Time, of: &MixerName, told: proto::Rates) {
        let values = [told.multigets, told.parts, told.further, told.pushed_back];
        let Some(sharing) = self.sharing.as_mut() else {
            return;
        };
        if !values.iter().all(|value| (0.0..=MOST_RATE).contains(value)) {
            self.counts.drops.absurd += 1;
            return;
        }
        let [multigets, parts, further, pushed_back] = values.map(f64::from);
        if self
            .table
            .get(of)
            .is_some_and(|held| held.record.state.lives())
        {
            sharing.rates.insert(
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

    fn told(&mut self, now: Time, sharing: &mut Sharing, from: SocketAddrV4, told: proto::Told) {
        for delta in told.deltas {
            let name = MixerName::new(&delta.name);
            let known = self
                .table
                .get(&name)
                .map(|held| (held.record.generation, held.record.state));
            // Only of members that live, in the life that is known: nothing else counts, and room is bounded by them.
            if name == self.me.name
                || known.is_none_or(|(life, state)| life != delta.generation || !state.lives())
            {
                continue;
            }
            let generation = delta.generation;
            match sharing.records.merge(now, delta) {
                Merged::News(before) => sharing.rumour(now, &name, before),
                Merged::Old => {}
                Merged::Gap(have) => {
                    if sharing.may_ask(now) {
                        let want = WantOf {
                            name: name.as_str().to_owned(),
                            generation,
                            from: have,
                        };
                        let draft = self.draft(What::Want(want));
                        self.dispatch(from, draft);
                    }
                }
                Merged::Absurd => self.counts.drops.absurd += 1,
            }
        }
        self.judge(now, sharing);
    }

    /// What is held of one record beyond a version.
    fn give_records(&mut self, now: Time, sharing: &mut Sharing, to: SocketAddrV4, want: &WantOf) {
        if !sharing.may_ask(now) {
            self.counts.drops.beyond_share += 1;
            return;
        }
        let name = MixerName::new(&want.name);
        let record = if name == self.me.name {
            Some(sharing.records.own())
        } else {
            sharing.records.get(&name)
        };
        if let Some(record) = record.filter(|record| record.generation == want.generation) {
            let mut draft = self.draft(What::Told(proto::Told::default()));
            draft.add_delta(record.delta(&name, want.from, now));
            self.dispatch(to, draft);
        }
    }

    /// What this mixer knows of searchers, for one that starts.
    fn recall(&mut self, now: Time, sharing: &mut Sharing, to: SocketAddrV4, number: u32) {
        if !sharing.plan.warm_starts || !sharing.may_ask(now) {
            self.counts.drops.beyond_share += 1;
            return;
        }
        let page = || {
            What::Known(proto::Known {
                number,
                searchers: Vec::new(),
            })
        };
        let mut draft = self.draft(page());
        for known in warm::known(now, &sharing.seen) {
            if !draft.add_known(&known) {
                let full = std::mem::replace(&mut draft, self.draft(page()));
                self.dispatch(to, full);
                draft.add_known(&known);
            }
        }
        self.dispatch(to, draft);
    }
}
