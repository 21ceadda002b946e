//! Budgets of the whole fleet, divided and leased: half of each is divided evenly among the mixers for good; the other
//! half is lent by one of them, the lender, for short times to those that have the traffic. A partitioned part of the
//! fleet thus spends only its own share, and its loans until they expire.
//!
//! There is at most one lender at any instant: it holds promises of more than half of the fleet, and each mixer that
//! gives a promise gives none to any other candidate for its duration (leases: Gray and Cheriton, 1989; escrow: O'Neil,
//! 1986). All times are durations. The side that benefits counts a duration from its earliest possible start and the
//! side that grants it from the latest, with a margin for clocks that run at different rates; clocks are never compared
//! with each other.

use std::collections::{BTreeMap, BTreeSet};

use lockusher_policy::interface::{QuotaShare, Span, Time};

use crate::core::table::MixerName;

/// The fraction of each budget that is divided evenly for good: a partitioned mixer keeps half of its even share, and
/// one that has the traffic may have up to the other half in addition to its own share.
pub const GUARANTEED_FRACTION: f64 = 0.5;
/// Clock rates differ by up to 1%: the grantor of a duration counts it longer by this fraction, and its holder shorter.
pub const CLOCK_RATE_MARGIN: f64 = 0.02;
/// The minimum duration of a loan. It is longer in large fleets, so that the lender's datagrams per second don't grow
/// with the fleet.
const MIN_LOAN: Span = Span::from_millis(2_000);
const LOAN_PER_MIXER: Span = Span::from_millis(20);
/// The duration of a promise in loans: it is renewed after half of that, and no loan outlives it.
const LOANS_PER_PROMISE: f64 = 3.0;
/// Members that are asked for a promise per turn.
const MAX_PROMISE_REQUESTS_PER_TURN: usize = 16;
/// The factor by which requests exceed the current demand, so that growing traffic is limited to its previous rate for
/// no more than a few loans.
const DEMAND_HEADROOM: f64 = 2.0;

/// The configuration of budget leasing.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// What the whole fleet may spend of each budget per second.
    pub budgets: Vec<f64>,
    /// The most mixers in the fleet.
    pub mixers: usize,
    /// See `CLOCK_RATE_MARGIN`; only tests set another value.
    pub margin: f64,
}

impl LeaseConfig {
    /// A configuration with the default margin.
    pub fn new(budgets: Vec<f64>, mixers: usize) -> Self {
        LeaseConfig {
            budgets,
            mixers: mixers.max(1),
            margin: CLOCK_RATE_MARGIN,
        }
    }

    /// The duration of a loan.
    pub fn loan_duration(&self) -> Span {
        MIN_LOAN.max(LOAN_PER_MIXER.times(self.mixers as f64))
    }

    /// The duration of a promise.
    pub fn promise_duration(&self) -> Span {
        self.loan_duration().times(LOANS_PER_PROMISE)
    }

    /// The duration as counted by its grantor, and by its holder.
    fn lengthened(&self, span: Span) -> Span {
        span.times(1.0 + self.margin)
    }

    fn shortened(&self, span: Span) -> Span {
        span.times(1.0 - self.margin)
    }
}

/// A message of budget leasing. An answer names the generation that asked, since request numbers restart with each
/// process, and what was promised or lent to an earlier process has been running since then.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseMessage {
    /// FleetRequestSender for the promise to be the only lender for a time.
    PromiseRequest {
        /// The number of the request.
        number: u32,
        /// The duration of the promise.
        span: Span,
    },
    /// Grants the promise.
    PromiseGrant {
        /// The number of the request.
        number: u32,
        /// The generation that sent the request.
        life: u64,
    },
    /// FleetRequestSender for so much of each budget per second, in addition to the sender's own share.
    LoanRequest {
        /// The number of the request.
        number: u32,
        /// The requested amount of each budget.
        amounts: Vec<f64>,
    },
    /// Grants a loan; its duration counts from the request.
    LoanGrant {
        /// The number of the request.
        number: u32,
        /// The generation that sent the request.
        life: u64,
        /// The duration of the loan.
        span: Span,
        /// The granted amount of each budget.
        amounts: Vec<f64>,
    },
}

/// A mixer's name and generation.
pub type MixerInstance = (MixerName, u64);

/// The view of the fleet that leasing depends on.
pub struct FleetView<'a> {
    /// The local mixer.
    pub local: &'a MixerInstance,
    /// The mixer that is to be the lender; the same for all members with the same view.
    pub lender: Option<&'a MixerName>,
    /// The live members, sorted by name.
    pub live: &'a [MixerName],
    /// The number of mixers whose shares may be in use.
    pub counted: usize,
}

impl FleetView<'_> {
    /// The number of mixers that budgets are divided by.
    fn fleet_size(&self, config: &LeaseConfig) -> usize {
        config.mixers.max(self.counted)
    }

    /// Whether more than half of the fleet is live.
    pub fn has_quorum(&self, config: &LeaseConfig) -> bool {
        self.live.len() * 2 > self.fleet_size(config)
    }
}

/// A round of promise requests.
#[derive(Debug)]
struct PromiseRound {
    number: u32,
    started_at: Time,
    grants: BTreeSet<MixerName>,
    /// The index of the next member to ask.
    next_peer: usize,
}

/// A loan that was granted, as the lender counts it.
#[derive(Debug)]
struct Loan {
    to: MixerInstance,
    amounts: Vec<f64>,
    until: Time,
}

/// The state of one mixer as grantor of promises, lender and borrower.
#[derive(Debug)]
pub struct BudgetLeasing {
    config: LeaseConfig,
    last_number: u32,
    /// As the grantor of a promise: to whom and until when it is given; and until when none is given after the start,
    /// since an earlier process may have given one.
    promise_given: Option<(MixerInstance, Time)>,
    quiet_until: Time,
    /// As the lender or a candidate.
    round: Option<PromiseRound>,
    lender_until: Option<Time>,
    loans: Vec<Loan>,
    /// The latest request of each borrower, and when it came.
    loan_requests: BTreeMap<MixerInstance, (Vec<f64>, Time)>,
    /// As a borrower: the total demand, the outstanding requests, and the current loan.
    demand: Vec<f64>,
    pending_requests: BTreeMap<u32, (MixerName, Time)>,
    next_request_at: Time,
    current_loan: Option<(u32, Vec<f64>, Time)>,
    share: f64,
}

impl BudgetLeasing {
    /// The state after the start of a process: no promise is given before one from an earlier process must have
    /// expired.
    pub fn new(now: Time, config: LeaseConfig) -> Self {
        BudgetLeasing {
            last_number: 0,
            promise_given: None,
            quiet_until: now + config.lengthened(config.promise_duration()),
            round: None,
            lender_until: None,
            loans: Vec::new(),
            loan_requests: BTreeMap::new(),
            demand: vec![0.0; config.budgets.len()],
            pending_requests: BTreeMap::new(),
            next_request_at: now,
            current_loan: None,
            share: GUARANTEED_FRACTION / config.mixers as f64,
            config,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// Sets what this mixer would spend of each budget per second if it could.
    pub fn set_demand(&mut self, demand: Vec<f64>) {
        debug_assert_eq!(
            demand.len(),
            self.config.budgets.len(),
            "the demand needs one amount per budget"
        );
        self.demand = demand;
    }

    /// What this mixer may spend of each budget.
    pub fn shares(&self, now: Time) -> Vec<QuotaShare> {
        let loan = self
            .current_loan
            .as_ref()
            .filter(|(.., until)| *until > now);
        let share = |(nth, budget): (usize, &f64)| QuotaShare {
            own: budget * self.share,
            lent: loan.map_or(0.0, |(_, amounts, _)| amounts[nth]),
            until: loan.map_or(Time::default(), |(.., until)| *until),
        };
        self.config.budgets.iter().enumerate().map(share).collect()
    }

    /// The outstanding loans of each budget; `None` if this mixer is not the lender now.
    pub fn loaned_out(&self, now: Time) -> Option<Vec<f64>> {
        self.lender_until.filter(|until| *until > now)?;
        Some(
            (0..self.config.budgets.len())
                .map(|nth| self.outstanding(now, nth, None))
                .collect(),
        )
    }

    /// The outstanding loans of one budget, without those of one borrower. Of several loans to one borrower the
    /// greatest counts, since a later one may not have arrived.
    fn outstanding(&self, now: Time, nth: usize, except: Option<&MixerInstance>) -> f64 {
        let mut greatest: BTreeMap<&MixerInstance, f64> = BTreeMap::new();
        for loan in self
            .loans
            .iter()
            .filter(|loan| loan.until > now && Some(&loan.to) != except)
        {
            let amount = greatest.entry(&loan.to).or_default();
            *amount = amount.max(loan.amounts[nth]);
        }
        greatest.values().sum()
    }

    fn next_request_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Returns the messages that are due; to be called at least several times per loan.
    pub fn handle_timeout(
        &mut self,
        now: Time,
        view: &FleetView,
    ) -> Vec<(MixerName, LeaseMessage)> {
        self.share = GUARANTEED_FRACTION / view.fleet_size(&self.config) as f64;
        let mut out = Vec::new();
        let is_lender = view.lender == Some(&view.local.0);
        if is_lender {
            self.request_promises(now, view, &mut out);
        } else {
            self.round = None;
        }
        self.loans.retain(|loan| loan.until > now);
        let loan = self.config.loan_duration();
        self.loan_requests
            .retain(|_, (_, at)| now.since(*at) < loan);
        self.pending_requests
            .retain(|_, (_, at)| now.since(*at) < loan);
        let excess: Vec<f64> = self.excess_demand();
        let needs_loan = excess.iter().any(|want| *want > 0.0) || self.current_loan.is_some();
        if let Some(lender) = view
            .lender
            .filter(|_| needs_loan && now >= self.next_request_at)
        {
            // Twice before a loan expires.
            self.next_request_at = now + loan.times(0.4);
            let number = self.next_request_number();
            self.pending_requests.insert(number, (lender.clone(), now));
            let message = LeaseMessage::LoanRequest {
                number,
                amounts: excess,
            };
            match is_lender {
                true => out.extend(self.handle_message(now, view.local, message, view)),
                false => out.push((lender.clone(), message)),
            }
            // Messages of the lender to itself are handled directly.
            let to_self: Vec<LeaseMessage> = out
                .extract_if(.., |(to, _)| *to == view.local.0)
                .map(|(_, message)| message)
                .collect();
            for message in to_self {
                let _ = self.handle_message(now, view.local, message, view);
            }
        }
        if self
            .current_loan
            .as_ref()
            .is_some_and(|(.., until)| *until <= now)
        {
            self.current_loan = None;
        }
        out
    }

    /// The demand for each budget beyond the local share.
    fn excess_demand(&self) -> Vec<f64> {
        let excess =
            |(want, budget): (&f64, &f64)| (want * DEMAND_HEADROOM - budget * self.share).max(0.0);
        self.demand
            .iter()
            .zip(&self.config.budgets)
            .map(excess)
            .collect()
    }

    /// Starts a round of promise requests when it is due, and asks the next members.
    fn request_promises(
        &mut self,
        now: Time,
        view: &FleetView,
        out: &mut Vec<(MixerName, LeaseMessage)>,
    ) {
        let span = self.config.promise_duration();
        let renew = self
            .round
            .as_ref()
            .is_none_or(|round| now.since(round.started_at) >= span.times(0.5));
        if renew {
            let number = self.next_request_number();
            let mut grants = BTreeSet::new();
            if self.grant_promise(now, view.local, span) {
                grants.insert(view.local.0.clone());
            }
            self.round = Some(PromiseRound {
                number,
                started_at: now,
                grants,
                next_peer: 0,
            });
            self.count_promises(view);
        }
        let Some(round) = &mut self.round else { return };
        let mut asked_count = 0;
        for _ in 0..view.live.len() {
            let name = &view.live[round.next_peer % view.live.len()];
            round.next_peer = round.next_peer.wrapping_add(1);
            if *name != view.local.0 && !round.grants.contains(name) {
                out.push((
                    name.clone(),
                    LeaseMessage::PromiseRequest {
                        number: round.number,
                        span,
                    },
                ));
                asked_count += 1;
            }
            if asked_count == MAX_PROMISE_REQUESTS_PER_TURN {
                break;
            }
        }
    }

    /// Promises not to accept any other lender for a time, unless another promise is in force.
    fn grant_promise(&mut self, now: Time, to: &MixerInstance, span: Span) -> bool {
        let free = self
            .promise_given
            .as_ref()
            .is_none_or(|(holder, until)| holder == to || *until <= now);
        let allowed = free && now >= self.quiet_until && span <= self.config.promise_duration();
        if allowed {
            self.promise_given = Some((to.clone(), now + self.config.lengthened(span)));
        }
        allowed
    }

    /// Becomes the lender with promises of more than half of the fleet, until the first of them expires.
    fn count_promises(&mut self, view: &FleetView) {
        let Some(round) = &self.round else { return };
        if round.grants.len() * 2 > view.fleet_size(&self.config) {
            let until = round.started_at + self.config.shortened(self.config.promise_duration());
            self.lender_until = self.lender_until.max(Some(until));
        }
    }

    /// Handles a message of a member and returns the answers.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: &MixerInstance,
        message: LeaseMessage,
        view: &FleetView,
    ) -> Vec<(MixerName, LeaseMessage)> {
        let budgets = self.config.budgets.len();
        let valid = |amounts: &[f64]| {
            amounts.len() == budgets
                && amounts
                    .iter()
                    .all(|amount| amount.is_finite() && *amount >= 0.0)
        };
        match message {
            LeaseMessage::PromiseRequest { number, span } => {
                let granted = self.grant_promise(now, from, span);
                let life = from.1;
                granted
                    .then(|| (from.0.clone(), LeaseMessage::PromiseGrant { number, life }))
                    .into_iter()
                    .collect()
            }
            LeaseMessage::PromiseGrant { number, life } if life == view.local.1 => {
                if let Some(round) = self.round.as_mut().filter(|round| round.number == number) {
                    round.grants.insert(from.0.clone());
                    self.count_promises(view);
                }
                Vec::new()
            }
            LeaseMessage::LoanRequest { number, amounts } if valid(&amounts) => {
                self.loan_requests.insert(from.clone(), (amounts, now));
                self.grant_loan(now, from, number).into_iter().collect()
            }
            LeaseMessage::LoanGrant {
                number,
                life,
                span,
                amounts,
            } if life == view.local.1 && valid(&amounts) => {
                let request = self
                    .pending_requests
                    .get(&number)
                    .filter(|(lender, _)| *lender == from.0);
                let newer = self
                    .current_loan
                    .as_ref()
                    .is_none_or(|(current, ..)| number.wrapping_sub(*current) < 1 << 31);
                if let Some((_, at)) =
                    request.filter(|_| newer && span <= self.config.loan_duration())
                {
                    let until = *at + self.config.shortened(span);
                    let max_amounts = self
                        .config
                        .budgets
                        .iter()
                        .map(|budget| budget * (1.0 - GUARANTEED_FRACTION));
                    let amounts = amounts
                        .into_iter()
                        .zip(max_amounts)
                        .map(|(amount, max)| amount.min(max))
                        .collect();
                    self.current_loan = Some((number, amounts, until));
                }
                Vec::new()
            }
            LeaseMessage::LoanRequest { .. }
            | LeaseMessage::PromiseGrant { .. }
            | LeaseMessage::LoanGrant { .. } => Vec::new(),
        }
    }

    /// Lends a borrower what it requested, as far as it is available. If the requests exceed the pool, each borrower
    /// gets a proportional share. No loan outlives the promises.
    fn grant_loan(
        &mut self,
        now: Time,
        to: &MixerInstance,
        number: u32,
    ) -> Option<(MixerName, LeaseMessage)> {
        let span = self.config.loan_duration();
        let until = now + self.config.lengthened(span);
        self.lender_until.filter(|end| until <= *end)?;
        let requested = self.loan_requests.get(to)?.0.clone();
        let lend = |(nth, want): (usize, &f64)| {
            let pool = self.config.budgets[nth] * (1.0 - GUARANTEED_FRACTION);
            let total: f64 = self
                .loan_requests
                .values()
                .map(|(amounts, _)| amounts[nth])
                .sum();
            let fair = if total > pool {
                pool * want / total
            } else {
                *want
            };
            fair.min(pool - self.outstanding(now, nth, Some(to)))
                .max(0.0)
        };
        let amounts: Vec<f64> = requested.iter().enumerate().map(lend).collect();
        self.loans.push(Loan {
            to: to.clone(),
            amounts: amounts.clone(),
            until,
        });
        Some((
            to.0.clone(),
            LeaseMessage::LoanGrant {
                number,
                life: to.1,
                span,
                amounts,
            },
        ))
    }
}
