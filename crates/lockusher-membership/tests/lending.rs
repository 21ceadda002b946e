//! Budget leasing under random orders of messages, losses, expirations, restarts and stalls, with differing views and
//! with clocks of different rates: at no instant may all mixers together spend more than the budgets.

use std::collections::VecDeque;

use lockusher_membership::core::table::MixerName;
use lockusher_membership::shared::leasing::{
    BudgetLeasing, FleetView, LeaseConfig, LeaseMessage, MixerInstance,
};
use lockusher_policy::interface::{QuotaShare, Span, Time, TokenBucket};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const START: u64 = 1_000_000_000;
const BUDGETS: [f64; 2] = [60.0, 7.0];

/// A bug injected to check that the test detects it.
#[derive(Clone, Copy, PartialEq)]
enum InjectedBug {
    None,
    /// A lender reclaims a share before its loan has expired on the borrower's clock.
    ReclaimsEarly,
    /// A mixer gives promises right after its start, though the previous process may have given one.
    NoQuietPeriod,
}

struct Node {
    name: MixerName,
    generation: u64,
    /// Its clock: the offset at the start, and the rate.
    offset: u64,
    rate: f64,
    lending: BudgetLeasing,
    stalled: bool,
    inbox: Vec<(MixerInstance, LeaseMessage)>,
    /// Its view of the fleet: any mixer may be the lender, any may be missing.
    lender: usize,
    live: Vec<usize>,
}

struct World {
    nodes: Vec<Node>,
    /// Real time since the start, in microseconds.
    now: u64,
    in_flight: VecDeque<(u64, usize, MixerInstance, LeaseMessage)>,
    rng: ChaCha8Rng,
    injected_bug: InjectedBug,
    total_lent: f64,
}

impl World {
    fn new(mixers: usize, seed: u64, injected_bug: InjectedBug) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            nodes: Vec::new(),
            now: 0,
            in_flight: VecDeque::new(),
            rng,
            injected_bug,
            total_lent: 0.0,
        };
        for number in 0..mixers {
            let (rate, offset) = (
                world.rng.random_range(0.99..1.01),
                world.rng.random_range(START..2 * START),
            );
            let mut node = Node {
                name: MixerName::new(&format!("m{number}")),
                generation: 1,
                offset,
                rate,
                lending: world.lending(Time::from_micros(offset), mixers),
                stalled: false,
                inbox: Vec::new(),
                lender: 0,
                live: (0..mixers).collect(),
            };
            node.lending.set_demand(vec![BUDGETS[0], BUDGETS[1]]);
            world.nodes.push(node);
        }
        world
    }

    fn lending(&self, now: Time, mixers: usize) -> BudgetLeasing {
        let config = LeaseConfig::new(BUDGETS.to_vec(), mixers);
        let since = match self.injected_bug {
            InjectedBug::NoQuietPeriod => now - config.promise_duration().times(2.0),
            _ => now,
        };
        let margin = if self.injected_bug == InjectedBug::ReclaimsEarly {
            -0.2
        } else {
            config.margin
        };
        BudgetLeasing::new(since, LeaseConfig { margin, ..config })
    }

    fn clock(&self, of: usize) -> Time {
        let node = &self.nodes[of];
        Time::from_micros(node.offset + (self.now as f64 * node.rate) as u64)
    }

    fn with_view<T>(
        &mut self,
        of: usize,
        action: impl FnOnce(&mut BudgetLeasing, Time, &FleetView) -> T,
    ) -> T {
        let now = self.clock(of);
        let live: Vec<MixerName> = self.nodes[of]
            .live
            .iter()
            .map(|nth| self.nodes[*nth].name.clone())
            .collect();
        let lender = self.nodes[self.nodes[of].lender].name.clone();
        let local = (self.nodes[of].name.clone(), self.nodes[of].generation);
        let view = FleetView {
            local: &local,
            lender: Some(&lender),
            live: &live,
            counted: live.len(),
        };
        action(&mut self.nodes[of].lending, now, &view)
    }

    fn send(&mut self, from: usize, messages: Vec<(MixerName, LeaseMessage)>) {
        let sender = (self.nodes[from].name.clone(), self.nodes[from].generation);
        for (to, message) in messages {
            let to = self
                .nodes
                .iter()
                .position(|node| node.name == to)
                .expect("the recipient is a member");
            let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
            for _ in 0..copies {
                // Some messages arrive very late.
                let max_delay = if self.rng.random::<f64>() < 0.05 {
                    9_000_000
                } else {
                    30_000
                };
                let at = self.now + self.rng.random_range(100..max_delay);
                self.in_flight
                    .push_back((at, to, sender.clone(), message.clone()));
            }
        }
    }

    fn deliver(&mut self, to: usize, from: &MixerInstance, message: LeaseMessage) {
        let messages = self.with_view(to, |l, now, v| l.handle_message(now, from, message, v));
        self.send(to, messages);
    }

    /// One turn of 100 ms; returns the greatest excess over a budget that may be spent now.
    fn turn(&mut self) -> f64 {
        self.now += 100_000;
        let (due, later) = self
            .in_flight
            .drain(..)
            .partition(|(at, ..)| *at <= self.now);
        self.in_flight = later;
        let due: VecDeque<(u64, usize, MixerInstance, LeaseMessage)> = due;
        for (_, to, from, message) in due {
            match self.nodes[to].stalled {
                true => self.nodes[to].inbox.push((from, message)),
                false => self.deliver(to, &from, message),
            }
        }
        for of in 0..self.nodes.len() {
            self.inject_fault(of);
            if !self.nodes[of].stalled {
                for (from, message) in std::mem::take(&mut self.nodes[of].inbox) {
                    self.deliver(of, &from, message);
                }
                let messages = self.with_view(
                    of,
                    lockusher_membership::shared::leasing::BudgetLeasing::handle_timeout,
                );
                self.send(of, messages);
            }
        }
        let mut worst = f64::MIN;
        for (nth, budget) in BUDGETS.iter().enumerate() {
            let spends = |of: usize| {
                let now = self.clock(of);
                let QuotaShare { own, lent, until } = self.nodes[of].lending.shares(now)[nth];
                (own, if now < until { lent } else { 0.0 })
            };
            let all: Vec<(f64, f64)> = (0..self.nodes.len()).map(spends).collect();
            self.total_lent += all.iter().map(|(_, lent)| lent).sum::<f64>();
            worst = worst.max(all.iter().map(|(own, lent)| own + lent).sum::<f64>() - budget);
        }
        worst
    }

    fn inject_fault(&mut self, of: usize) {
        let all = self.nodes.len();
        match self.rng.random_range(0..400) {
            0 => {
                let now = self.clock(of);
                let mut lending = self.lending(now, all);
                lending.set_demand(vec![BUDGETS[0], BUDGETS[1]]);
                let node = &mut self.nodes[of];
                (node.lending, node.generation, node.stalled) =
                    (lending, node.generation + 1, false);
                node.inbox.clear();
            }
            1 => self.nodes[of].stalled = true,
            2..=9 => self.nodes[of].stalled = false,
            10..=13 => self.nodes[of].lender = self.rng.random_range(0..all),
            14..=15 => {
                let live = (0..all)
                    .filter(|other| *other == of || self.rng.random())
                    .collect();
                self.nodes[of].live = live;
            }
            16..=20 => self.nodes[of].live = (0..all).collect(),
            21..=24 => {
                let wants = BUDGETS.map(|budget| self.rng.random_range(0.0..budget));
                self.nodes[of].lending.set_demand(wants.to_vec());
            }
            _ => {}
        }
    }
}

/// Runs many seeds; returns how many of them exceeded a budget, and whether anything was lent.
fn play(
    mixers: usize,
    seeds: std::ops::Range<u64>,
    turns: usize,
    injected_bug: InjectedBug,
) -> (usize, bool) {
    let (mut violations, mut lent) = (0, 0.0);
    for seed in seeds {
        let mut world = World::new(mixers, seed, injected_bug);
        violations += usize::from((0..turns).any(|_| world.turn() > 1e-6));
        lent += world.total_lent;
    }
    (violations, lent > 0.0)
}

#[rstest]
#[case::three(3, 400)]
#[case::seven(7, 60)]
fn leases_never_exceed_the_budgets(#[case] mixers: usize, #[case] seeds: u64) {
    assert_eq!(play(mixers, 0..seeds, 1_200, InjectedBug::None), (0, true));
}

#[rstest]
#[case::a_share_reclaimed_too_early(InjectedBug::ReclaimsEarly)]
#[case::promises_right_after_a_start(InjectedBug::NoQuietPeriod)]
fn an_injected_bug_is_detected(#[case] injected_bug: InjectedBug) {
    let (violations, _) = play(3, 0..400, 1_200, injected_bug);
    assert!(violations > 0);
}

/// Without faults, the lent half of a budget goes to the mixers that have the traffic; a partitioned mixer has only its
/// own share.
#[rstest]
fn loans_go_to_the_mixers_with_traffic() {
    let mut world = World::new(3, 1, InjectedBug::None);
    for node in &mut world.nodes {
        node.lending.set_demand(vec![0.0, 0.0]);
    }
    world.nodes[2].lending.set_demand(vec![60.0, 0.0]);
    let turn_without_faults = |world: &mut World| {
        world.now += 100_000;
        for of in 0..3 {
            let messages = world.with_view(
                of,
                lockusher_membership::shared::leasing::BudgetLeasing::handle_timeout,
            );
            world.send(of, messages);
            while let Some((_, to, from, message)) = world.in_flight.pop_front() {
                world.deliver(to, &from, message);
            }
        }
    };
    (0..200).for_each(|_| turn_without_faults(&mut world));
    let now = world.clock(2);
    let QuotaShare { own, lent, .. } = world.nodes[2].lending.shares(now)[0];
    assert_eq!(
        (own, lent),
        (10.0, 30.0),
        "a third of one half, and all of the other"
    );
    assert!(
        world.nodes[0]
            .lending
            .loaned_out(world.clock(0))
            .is_some_and(|out| out == [30.0, 0.0])
    );
    // Partition mixer 2.
    (world.nodes[2].lender, world.nodes[2].live) = (2, vec![2]);
    for _ in 0..200 {
        world.now += 100_000;
        world.with_view(
            2,
            lockusher_membership::shared::leasing::BudgetLeasing::handle_timeout,
        );
    }
    let now = world.clock(2);
    let partitioned = world.nodes[2].lending.shares(now)[0];
    assert_eq!((partitioned.own, partitioned.lent), (10.0, 0.0));
}

proptest! {
    /// For any requests at any times, no second exceeds the share plus what was saved up.
    #[test]
    fn an_allowance_is_never_overspent(
        own in 0.1..50.0_f64, lent in 0.0..50.0_f64, until_ms in 0..4_000_u64,
        asks in proptest::collection::vec(0..60_000_u64, 1..400),
    ) {
        let start = Time::from_micros(START);
        let until = start + Span::from_millis(until_ms);
        let mut allowance = TokenBucket::default();
        allowance.set(start, QuotaShare { own, lent, until });
        let (mut now, mut spent) = (start, Vec::new());
        for wait in asks {
            now = now + Span::from_micros(wait);
            if allowance.take(now) {
                spent.push(now);
            }
        }
        for (nth, first) in spent.iter().enumerate() {
            let within = spent[nth..].iter().take_while(|at| at.since(*first) < Span::from_millis(1_000)).count();
            let rate = if *first < until { own + lent } else { own };
            prop_assert!(within as f64 <= rate + (rate * 0.2).max(1.0) + 1e-6, "{within} in a second at {rate}");
        }
    }
}
