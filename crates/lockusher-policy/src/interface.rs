//! The plain values that the decision module is asked with and answers with, and the kinds of average it
//! keeps. Nothing here decides, and no value is set here.

use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::sync::Arc;

use crate::scoring::blend;

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    pub const fn from_micros(us: u64) -> Self {
        Time(us)
    }

    /// How long ago `earlier` was; nothing if it lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const MAX: Span = Span(u64::MAX);

    pub const fn from_micros(us: u64) -> Self {
        Span(us)
    }

    pub const fn from_millis(ms: u64) -> Self {
        Span(ms * 1_000)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// A negative length becomes nothing, one too long the longest span.
    pub fn from_secs(secs: f64) -> Self {
        Span((secs * 1e6).round() as u64)
    }

    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    pub fn times(self, factor: f64) -> Span {
        Span::from_secs(self.as_secs() * factor)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

macro_rules! name_id {
    ($($(#[$doc:meta])* $id:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(Arc<str>);

        impl $id {
            pub fn new(name: &str) -> Self {
                $id(name.into())
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $id:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $id(pub usize);
    )*};
}

name_id!(
    /// A multiget's id, as the host names it.
    MultigetId,
    /// A part's id, as the host names it.
    PartId,
    /// A searcher's id, the same across its restarts.
    SearcherId
);

number_id!(
    /// An op type, by its place in the settings.
    OpTypeId,
    /// A tenant, by its place in the settings.
    TenantId,
    /// A zone, by its place in the settings.
    Zone,
    /// A shard's number.
    Shard,
    /// A cell: a group of searchers that begin the same shards.
    Cell
);

/// What a repeat of a part does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again.
    Retriable,
    /// A repeat is dropped within this long of the first send that may have run.
    Deduped(Span),
    /// It must never run twice.
    NonRetriable,
}

/// What the settings say of one op type.
#[derive(Clone, Debug)]
pub struct OpType {
    pub latency_budget: Span,
    /// The latency budget grows by this multiple of the multiget's own work, up to the route timeout.
    pub budget_stretch: f64,
    pub route_timeout: Span,
    pub importance: f64,
    /// Share of the importance that an answer past the latency budget earns.
    pub late_share: f64,
    pub repeat: Repeat,
    /// Share of the first step's weight that makes a whole answer.
    pub need: f64,
    /// Least share of the weight for any answer.
    pub least_share: f64,
    /// What an answer that is not whole earns, times its share of `need`.
    pub partial_pays: f64,
    /// Parts of the second step; none means there is no second step.
    pub second_step: usize,
}

/// A tenant's share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Multigets a second within its share, over all mixers.
    pub quota_per_s: f64,
}

/// Which searchers hold a shard: those of cell (shard + j) mod `cells` for j below `in_a_row`.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub cells: usize,
    pub in_a_row: usize,
}

impl Layout {
    /// The shards, modulo `cells`, that the searchers of a cell hold.
    pub fn shards_of(self, cell: Cell) -> impl Iterator<Item = usize> {
        let first = cell.0 % self.cells + self.cells;
        (0..self.in_a_row.min(self.cells)).map(move |j| (first - j) % self.cells)
    }
}

/// The zone that the mixer is in, and the price of a send that leaves it.
pub type Site = (Option<Zone>, f64);

/// Which of the mixers this is, from 0, and how many there are.
pub type Rank = (usize, usize);

/// The figures of the rule on cold searchers.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    pub starts_at: f64,
    pub ramp: Span,
    pub fall_multiple: f64,
    pub tip_after: Span,
}

/// The budget for sends beyond each part's first, where one is stated.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    pub free: f64,
    pub share: f64,
    pub window: Span,
}

/// What may be done about one part.
#[derive(Clone, Copy, Debug)]
pub struct PartLimits {
    pub most_sends: usize,
    pub second_copies: bool,
    pub may_withdraw: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearcherState {
    Up,
    Draining,
    Gone,
}

/// One line of the list of searchers.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: SearcherId,
    pub cell: Cell,
    pub zone: Option<Zone>,
    pub state: SearcherState,
    pub up_since: Option<Time>,
    pub rating: f64,
}

/// What discovery told.
#[derive(Clone, Debug)]
pub enum News {
    /// Altered lines only.
    Changes(Vec<Listed>),
    /// The complete list: what it lacks has been removed.
    All(Vec<Listed>),
    /// The complete list as it was last held, perhaps out of date.
    Remembered(Vec<Listed>),
    /// A call failed or the subscription broke.
    Refused,
    /// The mixers whose shares may be in use, where the fleet keeps a view of itself; else the settings' number.
    Mixers(usize),
    /// All that the fleet's mixers agree on of searchers that are unlike their peers.
    Judged(Vec<Judged>),
    /// What other mixers held of searchers when this one started.
    Remembers(Vec<Known>),
    /// What this mixer may spend of the budgets that the fleet shares.
    Portions(Vec<(Budget, Portion)>),
}

/// What the whole fleet spends from one account, a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Sends of a part beyond its first.
    Further,
    /// Sends to searchers that are cold.
    Cold,
    /// New connections to searchers.
    Connections,
    /// Searchers asked how they are.
    Probes,
    /// A tenant's share.
    Tenant(TenantId),
}

/// What a mixer itself saw of a searcher, for others to hear; it decides nothing. Latency in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Glimpse {
    pub id: SearcherId,
    /// Its start as listed: which life this is of.
    pub life: Option<Time>,
    pub latency: Option<f64>,
    /// The share of good sends.
    pub good: f64,
    pub heard: Time,
    /// Since when a send is out with nothing heard after it left.
    pub silent_since: Option<Time>,
    /// Since when nothing but signs of a dead process came.
    pub down_since: Option<Time>,
    /// When it came back cold, by its symptoms.
    pub cold_since: Option<Time>,
}

impl Judged {
    /// Whether it is said against the searcher.
    pub fn accuses(&self) -> bool {
        self.good < 1.0 || self.slower > 1.0
    }
}

/// What several mixers agree on of one searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Judged {
    pub id: SearcherId,
    /// The life that it is said of.
    pub life: Option<Time>,
    /// The share of good sends that is to be expected, and latency as a multiple of its peers'.
    pub good: f64,
    pub slower: f64,
    pub cold_since: Option<Time>,
    /// When it was last seen so.
    pub at: Time,
}

/// What another mixer held of a searcher: latency in seconds and share of good sends, as of a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub id: SearcherId,
    pub life: Option<Time>,
    pub latency: f64,
    pub good: f64,
    pub at: Time,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Returned,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Withdrawn,
    /// Its connection fell silent while its searcher answers on another: it may have run, and says nothing more.
    Lost,
    /// Not transmitted: the part was done, out of time or out of sends.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the part never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::Moot)
    }

    /// Whether there was no answer though a connection was there.
    pub fn came_to_nothing(self) -> bool {
        matches!(self, Outcome::Broken | Outcome::TimedOut | Outcome::Withdrawn)
    }
}

/// One send of a part.
#[derive(Clone, Debug)]
pub struct Send {
    pub to: SearcherId,
    pub at: Time,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: Shard,
    pub weight: f64,
    /// Rough expected work, where the host is told it.
    pub hint: Option<Span>,
    /// Whether it belongs to the second step.
    pub second_step: bool,
    pub sends: Vec<Send>,
    /// Its answer is in.
    pub returned: bool,
    /// Nothing more comes of it.
    pub closed: bool,
}

impl Part {
    /// The first of its sends that is not known never to have run.
    pub fn first_that_may_have_run(&self) -> Option<&Send> {
        self.sends.iter().find(|s| !s.outcome.is_some_and(Outcome::never_ran))
    }
}

#[derive(Clone, Debug)]
pub struct Multiget {
    pub id: MultigetId,
    /// The host's own number for it, which grows with each one taken.
    pub number: u64,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    /// The client marked this as a try after its first.
    pub resubmitted: bool,
    /// Rough expected work of all parts, where the host is told it.
    pub hint: Option<Span>,
    pub arrived: Time,
    /// The client's time for this try is up.
    pub ends: Time,
    /// When to ask about it again, as the module last said.
    pub due: Time,
    pub parts: Vec<Part>,
    /// The first answer was given; whether it was whole.
    pub first_answer: Option<bool>,
    /// It has its final answer; some of its sends may still be out.
    pub ended: bool,
}

impl Multiget {
    /// The parts of the step that is on, with their places.
    pub fn step(&self) -> impl Iterator<Item = (usize, &Part)> {
        let second = self.first_answer.is_some();
        self.parts.iter().enumerate().filter(move |(_, p)| p.second_step == second)
    }
}

/// A send of a part that the module orders.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Place of the part in the multiget.
    pub part: usize,
    pub to: SearcherId,
    pub timeout: Span,
    /// Close what unused connections there are to it first.
    pub anew: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Answered { whole: bool },
    PushedBack { come_back_in: Option<Span> },
    Failed,
}

/// What the gate believed when it pushed a fresh multiget back, for a trace; it decides nothing. Times in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Belief {
    /// How much an idle replica's expected time counts, from 0 (not at all) to 1.
    pub pass: f64,
    /// The time that the multiget may plan to use.
    pub left: f64,
    /// The share of first tries not answered in time, which shortens later tries' budgets.
    pub unserved: f64,
    /// The middle latency of the fleet as this mixer holds it.
    pub peers: f64,
    /// By part: the replica that would be picked, what it is expected to take there, whether nothing of ours is
    /// out there, how long ago it was heard from, and its share of good sends; `None` where none may be asked.
    pub picks: Vec<Option<Believed>>,
}

/// A replica as the gate saw it: (searcher, expected, idle, heard ago, good), as in [`Belief::picks`].
pub type Believed = (SearcherId, f64, bool, f64, f64);

/// What to do about one multiget now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Sends to cease waiting for, before the orders: place of the part and of the send.
    pub withdraw: Vec<(usize, usize)>,
    pub orders: Vec<Order>,
    pub reply: Option<Reply>,
    /// Ask about it again after this, whatever happens before.
    pub again: Option<Span>,
}

/// A call on discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Subscribe,
}

/// How long to wait, and what is due before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wait {
    /// Multigets to ask about now, in this order.
    pub turn: Vec<MultigetId>,
    pub ask: Option<Ask>,
    /// Call again after this at the latest.
    pub next: Option<Span>,
}

/// The multigets that the host has in hand.
pub type InHand = BTreeMap<MultigetId, Multiget>;

/// What is left after a time of what halves in so many seconds.
pub fn half_in(seconds: u32, gone: Span) -> f64 {
    0.5f64.powf(gone.as_secs() / f64::from(seconds))
}

/// The value that one in so many lies under.
pub fn lowest(one_in: usize, values: &mut [f64]) -> Option<f64> {
    let place = values.len() / one_in;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(place, f64::total_cmp).1)
}

/// A plain mean at first, then an average over about the last `LAST` samples.
#[derive(Clone, Copy, Default)]
pub struct Mean<const LAST: u32> {
    pub count: f64,
    pub value: f64,
}

impl<const LAST: u32> Mean<LAST> {
    pub fn feed(&mut self, sample: f64) {
        self.count = (self.count + 1.0).min(f64::from(LAST));
        blend(&mut self.value, sample, 1.0 / self.count);
    }

    pub fn known(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// The share of events that were bad, over about the last `LAST`, with `GOOD` counted as good beforehand; it
/// halves in `HALF` seconds. It means the same whether events are many or rare.
pub struct Share<const LAST: u32, const GOOD: u32, const HALF: u32> {
    bad: f64,
    all: f64,
    at: Time,
}

impl<const LAST: u32, const GOOD: u32, const HALF: u32> Share<LAST, GOOD, HALF> {
    pub fn new(at: Time) -> Self {
        Share { bad: 0.0, all: 0.0, at }
    }

    pub fn note(&mut self, now: Time, bad: bool) {
        let memory = half_in(HALF, now.since(self.at)).min(f64::from(LAST) / (self.all + 1.0));
        (self.bad, self.all, self.at) = (self.bad * memory + f64::from(bad), self.all * memory + 1.0, now);
    }

    pub fn value(&self, now: Time) -> f64 {
        self.bad / (self.all + f64::from(GOOD)) * half_in(HALF, now.since(self.at))
    }
}

/// How much comes a second, over a time that halves in `HALF` seconds.
#[derive(Clone, Copy, Default)]
pub struct Rate<const HALF: u32> {
    amount: f64,
    at: Time,
}

impl<const HALF: u32> Rate<HALF> {
    pub fn new(at: Time) -> Self {
        Rate { amount: 0.0, at }
    }

    pub fn add(&mut self, now: Time, amount: f64) {
        (self.amount, self.at) = (self.amount * half_in(HALF, now.since(self.at)) + amount, now);
    }

    pub fn per_second(&self, now: Time) -> f64 {
        self.amount * half_in(HALF, now.since(self.at)) * std::f64::consts::LN_2 / f64::from(HALF)
    }
}

/// What a mixer may spend of one of the fleet's budgets, a second: what is its own, and what it is lent for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Portion {
    pub own: f64,
    pub lent: f64,
    /// When the loan lapses by itself.
    pub until: Time,
}

impl Portion {
    /// What may be spent a second now.
    pub fn rate(&self, now: Time) -> f64 {
        self.own + if now < self.until { self.lent } else { 0.0 }
    }
}

/// Meters what is spent of a share; with no share set, nothing is held back. Some is saved for uneven traffic, a fifth of
/// a second's share or one, so that all mixers together never spend much more in any second than the budget.
#[derive(Clone, Copy, Default)]
pub struct Allowance {
    portion: Option<Portion>,
    level: f64,
    at: Time,
    spent: Rate<2>,
}

impl Allowance {
    /// From now on this is the share; it does not take effect before now, nor the old one after.
    pub fn set(&mut self, now: Time, portion: Portion) {
        match self.portion {
            Some(_) => self.fill(now),
            None => self.at = now,
        }
        self.portion = Some(portion);
    }

    fn fill(&mut self, now: Time) {
        let Some(portion) = self.portion else { return };
        let lent_for = portion.until.min(now).since(self.at.min(portion.until));
        let gained = portion.own * now.since(self.at).as_secs() + portion.lent * lent_for.as_secs();
        self.level = (self.level + gained).min((portion.rate(now) * 0.2).max(1.0));
        self.at = self.at.max(now);
    }

    /// Whether there is one to be spent.
    pub fn has(&self, now: Time) -> bool {
        let mut then = *self;
        then.fill(now);
        then.portion.is_none() || then.level >= 1.0
    }

    /// Spends one, which `has` said is there.
    pub fn spend(&mut self, now: Time) {
        debug_assert!(self.has(now), "no more is spent than there is");
        self.fill(now);
        self.level -= if self.portion.is_some() { 1.0 } else { 0.0 };
        self.spent.add(now, 1.0);
    }

    /// Spends one, if there is one to be spent.
    pub fn take(&mut self, now: Time) -> bool {
        let has = self.has(now);
        if has {
            self.spend(now);
        }
        has
    }

    /// How many are spent a second.
    pub fn spent(&self, now: Time) -> f64 {
        self.spent.per_second(now)
    }
}

/// What is spent of each budget; one of which no share was told is spent freely, and counted.
#[derive(Default)]
pub struct Purses(BTreeMap<Budget, Allowance>);

impl Purses {
    pub fn set(&mut self, now: Time, portions: &[(Budget, Portion)]) {
        for (budget, portion) in portions {
            self.0.entry(*budget).or_default().set(now, *portion);
        }
    }

    pub fn has(&self, now: Time, budget: Budget) -> bool {
        self.0.get(&budget).is_none_or(|allowance| allowance.has(now))
    }

    /// Spends one, which `has` said is there.
    pub fn spend(&mut self, now: Time, budget: Budget) {
        self.0.entry(budget).or_default().spend(now);
    }

    /// Counts one that comes whether or not there is room for it; tells what may come a second, if a share was told.
    pub fn comes(&mut self, now: Time, budget: Budget) -> Option<f64> {
        let allowance = self.0.entry(budget).or_default();
        allowance.spent.add(now, 1.0);
        allowance.portion.map(|portion| portion.rate(now))
    }

    /// What is spent of each, a second.
    pub fn spent(&self, now: Time) -> Vec<(Budget, f64)> {
        self.0.iter().map(|(budget, allowance)| (*budget, allowance.spent(now))).collect()
    }
}
