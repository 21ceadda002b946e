//! Budgets of the whole fleet, lent out: half of each is shared evenly among the mixers for good, the other half is lent
//! by one of them, for short times, to those that have the traffic. So a part of the fleet that hears nothing spends
//! what is certainly its own, and what it was lent until that lapses.
//!
//! At most one lends at any instant: it holds the promises of more than half of the fleet, each given for a time in
//! which its giver promises nobody else (leases: Gray and Cheriton, 1989; escrow: O'Neil, 1986). All times are spans,
//! each counted from its earlier end by who gains from it and from its later end by who gives it, with a margin for
//! clocks of unlike rates; no clock is compared with another.

use std::collections::{BTreeMap, BTreeSet};

use lockusher_policy::interface::{QuotaShare, Span, Time};

use crate::core::table::MixerName;

/// What of each budget is the mixers' own for good, in even parts: a cut-off mixer keeps half of its even share, and
/// one that has the traffic may have up to the other half beside its own part.
pub const OWN: f64 = 0.5;
/// Clocks' rates differ by up to 1%: who gives a time counts it this much longer, who has it this much shorter.
pub const MARGIN: f64 = 0.02;
/// A loan lasts at least so long, and longer in large fleets, so that the lender's datagrams do not grow with them.
const LEAST_LOAN: Span = Span::from_millis(2_000);
const LOAN_A_MIXER: Span = Span::from_millis(20);
/// A promise lasts this many loans: it is renewed after half of that, and no loan outlives it.
const LOANS_A_PROMISE: f64 = 3.0;
/// Members asked for their promise in one turn.
const ASKED_A_TURN: usize = 16;
/// What was spent is asked for with this much more, so that traffic that grows is held to its last rate for no more
/// than a few loans.
const HEADROOM: f64 = 2.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// What the whole fleet may spend of each a second.
    pub budgets: Vec<f64>,
    /// Mixers that make up the fleet, at the most.
    pub mixers: usize,
    /// See `MARGIN`; another value is for tests alone.
    pub margin: f64,
}

impl Plan {
    pub fn new(budgets: Vec<f64>, mixers: usize) -> Self {
        Plan {
            budgets,
            mixers: mixers.max(1),
            margin: MARGIN,
        }
    }

    pub fn loan(&self) -> Span {
        LEAST_LOAN.max(LOAN_A_MIXER.times(self.mixers as f64))
    }

    pub fn promise(&self) -> Span {
        self.loan().times(LOANS_A_PROMISE)
    }

    /// As counted by who gives it, and by who has it.
    fn longer(&self, span: Span) -> Span {
        span.times(1.0 + self.margin)
    }

    fn shorter(&self, span: Span) -> Span {
        span.times(1.0 - self.margin)
    }
}

/// What one says to another. An answer names the life that asked: numbers begin anew with each, and what a former one
/// was promised or lent has been running since then.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// Asks to be the only lender for a time.
    Promise {
        number: u32,
        span: Span,
    },
    Promised {
        number: u32,
        life: u64,
    },
    /// Asks for so much of each budget a second, beyond what is its own.
    Wants {
        number: u32,
        amounts: Vec<f64>,
    },
    /// Lends that, for a time that counts from when it was asked for.
    Lent {
        number: u32,
        life: u64,
        span: Span,
        amounts: Vec<f64>,
    },
}

/// One mixer in one life.
pub type Life = (MixerName, u64);

/// What the view tells.
pub struct View<'a> {
    pub me: &'a Life,
    /// Who is to lend: the same for all that hold the same view.
    pub first: Option<&'a MixerName>,
    pub living: &'a [MixerName],
    /// The mixers whose shares may be in use.
    pub counted: usize,
}

impl View<'_> {
    fn of(&self, plan: &Plan) -> usize {
        plan.mixers.max(self.counted)
    }

    /// Whether more than half of the fleet is heard from.
    pub fn most(&self, plan: &Plan) -> bool {
        self.living.len() * 2 > self.of(plan)
    }
}

/// A round of asking for promises.
#[derive(Debug)]
struct Round {
    number: u32,
    began: Time,
    yes: BTreeSet<MixerName>,
    /// Whom to ask next.
    place: usize,
}

#[derive(Debug)]
struct Loan {
    to: Life,
    amounts: Vec<f64>,
    until: Time,
}

#[derive(Debug)]
pub struct Lending {
    plan: Plan,
    next_number: u32,
    /// As one that promises: to whom, until when; and that nothing is promised before, since a former life may have.
    promised: Option<(Life, Time)>,
    quiet_until: Time,
    /// As the one that lends, or wants to.
    round: Option<Round>,
    lends_until: Option<Time>,
    loans: Vec<Loan>,
    /// What others wanted last, and when.
    wanted: BTreeMap<Life, (Vec<f64>, Time)>,
    /// As one that borrows: what it wants in all, questions that are out, and what it holds.
    wants: Vec<f64>,
    asked: BTreeMap<u32, (MixerName, Time)>,
    ask_at: Time,
    held: Option<(u32, Vec<f64>, Time)>,
    own: f64,
}

impl Lending {
    pub fn new(now: Time, plan: Plan) -> Self {
        Lending {
            next_number: 0,
            promised: None,
            quiet_until: now + plan.longer(plan.promise()),
            round: None,
            lends_until: None,
            loans: Vec::new(),
            wanted: BTreeMap::new(),
            wants: vec![0.0; plan.budgets.len()],
            asked: BTreeMap::new(),
            ask_at: now,
            held: None,
            own: OWN / plan.mixers as f64,
            plan,
        }
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// What this mixer would spend of each budget a second, if it could.
    pub fn wants(&mut self, wants: Vec<f64>) {
        debug_assert_eq!(
            wants.len(),
            self.plan.budgets.len(),
            "one want of each budget"
        );
        self.wants = wants;
    }

    /// What it may spend of each budget.
    pub fn portions(&self, now: Time) -> Vec<QuotaShare> {
        let held = self.held.as_ref().filter(|(.., until)| *until > now);
        let share = |(nth, budget): (usize, &f64)| QuotaShare {
            own: budget * self.own,
            lent: held.map_or(0.0, |(_, amounts, _)| amounts[nth]),
            until: held.map_or(Time::default(), |(.., until)| *until),
        };
        self.plan.budgets.iter().enumerate().map(share).collect()
    }

    /// Whether it lends now, and what of each budget is out.
    pub fn lends(&self, now: Time) -> Option<Vec<f64>> {
        self.lends_until.filter(|until| *until > now)?;
        Some(
            (0..self.plan.budgets.len())
                .map(|nth| self.out(now, nth, None))
                .collect(),
        )
    }

    /// What is out of one budget, but for one borrower. Of several loans to one, a later one may not have arrived: the
    /// greatest counts.
    fn out(&self, now: Time, nth: usize, but: Option<&Life>) -> f64 {
        let mut greatest: BTreeMap<&Life, f64> = BTreeMap::new();
        for loan in self
            .loans
            .iter()
            .filter(|loan| loan.until > now && Some(&loan.to) != but)
        {
            let held = greatest.entry(&loan.to).or_default();
            *held = held.max(loan.amounts[nth]);
        }
        greatest.values().sum()
    }

    fn number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// What is to be said now; called often, at the least several times within a loan.
    pub fn due(&mut self, now: Time, view: &View) -> Vec<(MixerName, Word)> {
        self.own = OWN / view.of(&self.plan) as f64;
        let mut out = Vec::new();
        let first = view.first == Some(&view.me.0);
        if first {
            self.ask_promises(now, view, &mut out);
        } else {
            self.round = None;
        }
        self.loans.retain(|loan| loan.until > now);
        let loan = self.plan.loan();
        self.wanted.retain(|_, (_, at)| now.since(*at) < loan);
        self.asked.retain(|_, (_, at)| now.since(*at) < loan);
        let beyond: Vec<f64> = self.beyond();
        let wanting = beyond.iter().any(|want| *want > 0.0) || self.held.is_some();
        if let Some(lender) = view.first.filter(|_| wanting && now >= self.ask_at) {
            // Twice before a loan has lapsed.
            self.ask_at = now + loan.times(0.4);
            let number = self.number();
            self.asked.insert(number, (lender.clone(), now));
            let word = Word::Wants {
                number,
                amounts: beyond,
            };
            match first {
                true => out.extend(self.hear(now, view.me, word, view)),
                false => out.push((lender.clone(), word)),
            }
            // What a lender says to itself needs no datagram.
            let own: Vec<Word> = out
                .extract_if(.., |(to, _)| *to == view.me.0)
                .map(|(_, word)| word)
                .collect();
            for word in own {
                let _ = self.hear(now, view.me, word, view);
            }
        }
        if self.held.as_ref().is_some_and(|(.., until)| *until <= now) {
            self.held = None;
        }
        out
    }

    /// What it wants of each budget beyond its own part.
    fn beyond(&self) -> Vec<f64> {
        let beyond = |(want, budget): (&f64, &f64)| (want * HEADROOM - budget * self.own).max(0.0);
        self.wants
            .iter()
            .zip(&self.plan.budgets)
            .map(beyond)
            .collect()
    }

    fn ask_promises(&mut self, now: Time, view: &View, out: &mut Vec<(MixerName, Word)>) {
        let span = self.plan.promise();
        let renew = self
            .round
            .as_ref()
            .is_none_or(|round| now.since(round.began) >= span.times(0.5));
        if renew {
            let number = self.number();
            let mut yes = BTreeSet::new();
            if self.promises(now, view.me, span) {
                yes.insert(view.me.0.clone());
            }
            self.round = Some(Round {
                number,
                began: now,
                yes,
                place: 0,
            });
            self.count_promises(view);
        }
        let Some(round) = &mut self.round else { return };
        let mut asked = 0;
        for _ in 0..view.living.len() {
            let name = &view.living[round.place % view.living.len()];
            round.place = round.place.wrapping_add(1);
            if *name != view.me.0 && !round.yes.contains(name) {
                out.push((
                    name.clone(),
                    Word::Promise {
                        number: round.number,
                        span,
                    },
                ));
                asked += 1;
            }
            if asked == ASKED_A_TURN {
                break;
            }
        }
    }

    /// Promises not to promise anybody else for so long, unless that is promised already.
    fn promises(&mut self, now: Time, to: &Life, span: Span) -> bool {
        let free = self
            .promised
            .as_ref()
            .is_none_or(|(holder, until)| holder == to || *until <= now);
        let may = free && now >= self.quiet_until && span <= self.plan.promise();
        if may {
            self.promised = Some((to.clone(), now + self.plan.longer(span)));
        }
        may
    }

    /// With the promises of more than half of the fleet it lends, for as long as the first of them holds.
    fn count_promises(&mut self, view: &View) {
        let Some(round) = &self.round else { return };
        if round.yes.len() * 2 > view.of(&self.plan) {
            let until = round.began + self.plan.shorter(self.plan.promise());
            self.lends_until = self.lends_until.max(Some(until));
        }
    }

    /// Something was said by a member; what it is answered.
    pub fn hear(
        &mut self,
        now: Time,
        from: &Life,
        word: Word,
        view: &View,
    ) -> Vec<(MixerName, Word)> {
        let budgets = self.plan.budgets.len();
        let sound = |amounts: &[f64]| {
            amounts.len() == budgets
                && amounts
                    .iter()
                    .all(|amount| amount.is_finite() && *amount >= 0.0)
        };
        match word {
            Word::Promise { number, span } => {
                let yes = self.promises(now, from, span);
                let life = from.1;
                yes.then(|| (from.0.clone(), Word::Promised { number, life }))
                    .into_iter()
                    .collect()
            }
            Word::Promised { number, life } if life == view.me.1 => {
                if let Some(round) = self.round.as_mut().filter(|round| round.number == number) {
                    round.yes.insert(from.0.clone());
                    self.count_promises(view);
                }
                Vec::new()
            }
            Word::Wants { number, amounts } if sound(&amounts) => {
                self.wanted.insert(from.clone(), (amounts, now));
                self.lend(now, from, number).into_iter().collect()
            }
            Word::Lent {
                number,
                life,
                span,
                amounts,
            } if life == view.me.1 && sound(&amounts) => {
                let asked = self
                    .asked
                    .get(&number)
                    .filter(|(lender, _)| *lender == from.0);
                let newer = self
                    .held
                    .as_ref()
                    .is_none_or(|(held, ..)| number.wrapping_sub(*held) < 1 << 31);
                if let Some((_, at)) = asked.filter(|_| newer && span <= self.plan.loan()) {
                    let until = *at + self.plan.shorter(span);
                    let most = self.plan.budgets.iter().map(|budget| budget * (1.0 - OWN));
                    let amounts = amounts
                        .into_iter()
                        .zip(most)
                        .map(|(amount, most)| amount.min(most))
                        .collect();
                    self.held = Some((number, amounts, until));
                }
                Vec::new()
            }
            Word::Wants { .. } | Word::Promised { .. } | Word::Lent { .. } => Vec::new(),
        }
    }

    /// Lends to one what it wants, as far as it is there; of what is wanted by more than there is for, a share in
    /// proportion. No loan outlives the promises.
    fn lend(&mut self, now: Time, to: &Life, number: u32) -> Option<(MixerName, Word)> {
        let span = self.plan.loan();
        let until = now + self.plan.longer(span);
        self.lends_until.filter(|lends| until <= *lends)?;
        let wants = self.wanted.get(to)?.0.clone();
        let lends = |(nth, want): (usize, &f64)| {
            let pool = self.plan.budgets[nth] * (1.0 - OWN);
            let all: f64 = self.wanted.values().map(|(wants, _)| wants[nth]).sum();
            let fair = if all > pool { pool * want / all } else { *want };
            fair.min(pool - self.out(now, nth, Some(to))).max(0.0)
        };
        let amounts: Vec<f64> = wants.iter().enumerate().map(lends).collect();
        self.loans.push(Loan {
            to: to.clone(),
            amounts: amounts.clone(),
            until,
        });
        Some((
            to.0.clone(),
            Word::Lent {
                number,
                life: to.1,
                span,
                amounts,
            },
        ))
    }
}
