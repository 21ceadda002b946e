//! Lending under every order of messages, losses, lapses, restarts and standstills that a seed draws, with views that
//! differ at will and clocks of unlike rates: what all may spend at one instant never exceeds the budgets.

use std::collections::VecDeque;

use lockusher_membership::core::table::MixerName;
use lockusher_membership::shared::lend::{Lending, Life, Plan, View, Word};
use lockusher_policy::interface::{QuotaShare, Span, Time, TokenBucket};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const START: u64 = 1_000_000_000;
const BUDGETS: [f64; 2] = [60.0, 7.0];

/// A mistake that is planted, to see that it would be found.
#[derive(Clone, Copy, PartialEq)]
enum Mistake {
    None,
    /// A share is taken back before its loan has lapsed on the borrower's clock.
    TakenBackEarly,
    /// One that starts promises at once, though its former life may have promised.
    PromisesAtOnce,
}

struct Node {
    name: MixerName,
    life: u64,
    /// Its clock: what it showed at the start, and its rate.
    offset: u64,
    rate: f64,
    lending: Lending,
    stands_still: bool,
    waiting: Vec<(Life, Word)>,
    /// As it sees the fleet: any of them may be first, any may be missing.
    first: usize,
    living: Vec<usize>,
}

struct World {
    nodes: Vec<Node>,
    /// Real time since the start, in microseconds.
    now: u64,
    flying: VecDeque<(u64, usize, Life, Word)>,
    rng: ChaCha8Rng,
    mistake: Mistake,
    lent: f64,
}

impl World {
    fn new(mixers: usize, seed: u64, mistake: Mistake) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            nodes: Vec::new(),
            now: 0,
            flying: VecDeque::new(),
            rng,
            mistake,
            lent: 0.0,
        };
        for number in 0..mixers {
            let (rate, offset) = (
                world.rng.random_range(0.99..1.01),
                world.rng.random_range(START..2 * START),
            );
            let mut node = Node {
                name: MixerName::new(&format!("m{number}")),
                life: 1,
                offset,
                rate,
                lending: world.lending(Time::from_micros(offset), mixers),
                stands_still: false,
                waiting: Vec::new(),
                first: 0,
                living: (0..mixers).collect(),
            };
            node.lending.wants(vec![BUDGETS[0], BUDGETS[1]]);
            world.nodes.push(node);
        }
        world
    }

    fn lending(&self, now: Time, mixers: usize) -> Lending {
        let plan = Plan::new(BUDGETS.to_vec(), mixers);
        let since = match self.mistake {
            Mistake::PromisesAtOnce => now - plan.promise().times(2.0),
            _ => now,
        };
        let margin = if self.mistake == Mistake::TakenBackEarly {
            -0.2
        } else {
            plan.margin
        };
        Lending::new(since, Plan { margin, ..plan })
    }

    fn clock(&self, of: usize) -> Time {
        let node = &self.nodes[of];
        Time::from_micros(node.offset + (self.now as f64 * node.rate) as u64)
    }

    fn with_view<T>(&mut self, of: usize, what: impl FnOnce(&mut Lending, Time, &View) -> T) -> T {
        let now = self.clock(of);
        let living: Vec<MixerName> = self.nodes[of]
            .living
            .iter()
            .map(|nth| self.nodes[*nth].name.clone())
            .collect();
        let first = self.nodes[self.nodes[of].first].name.clone();
        let me = (self.nodes[of].name.clone(), self.nodes[of].life);
        let view = View {
            me: &me,
            first: Some(&first),
            living: &living,
            counted: living.len(),
        };
        what(&mut self.nodes[of].lending, now, &view)
    }

    fn send(&mut self, from: usize, words: Vec<(MixerName, Word)>) {
        let life = (self.nodes[from].name.clone(), self.nodes[from].life);
        for (to, word) in words {
            let to = self
                .nodes
                .iter()
                .position(|node| node.name == to)
                .expect("a member");
            let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
            for _ in 0..copies {
                // Now and then one comes very late.
                let most = if self.rng.random::<f64>() < 0.05 {
                    9_000_000
                } else {
                    30_000
                };
                let at = self.now + self.rng.random_range(100..most);
                self.flying.push_back((at, to, life.clone(), word.clone()));
            }
        }
    }

    fn hear(&mut self, to: usize, from: &Life, word: Word) {
        let words = self.with_view(to, |lending, now, view| lending.hear(now, from, word, view));
        self.send(to, words);
    }

    /// One turn of 100 ms; tells how much more than its budget may be spent now, at the worst.
    fn turn(&mut self) -> f64 {
        self.now += 100_000;
        let (due, later) = self.flying.drain(..).partition(|(at, ..)| *at <= self.now);
        self.flying = later;
        let due: VecDeque<(u64, usize, Life, Word)> = due;
        for (_, to, from, word) in due {
            match self.nodes[to].stands_still {
                true => self.nodes[to].waiting.push((from, word)),
                false => self.hear(to, &from, word),
            }
        }
        for of in 0..self.nodes.len() {
            self.trouble(of);
            if !self.nodes[of].stands_still {
                for (from, word) in std::mem::take(&mut self.nodes[of].waiting) {
                    self.hear(of, &from, word);
                }
                let words = self.with_view(of, lockusher_membership::shared::lend::Lending::due);
                self.send(of, words);
            }
        }
        let mut worst = f64::MIN;
        for (nth, budget) in BUDGETS.iter().enumerate() {
            let spends = |of: usize| {
                let now = self.clock(of);
                let QuotaShare { own, lent, until } = self.nodes[of].lending.portions(now)[nth];
                (own, if now < until { lent } else { 0.0 })
            };
            let all: Vec<(f64, f64)> = (0..self.nodes.len()).map(spends).collect();
            self.lent += all.iter().map(|(_, lent)| lent).sum::<f64>();
            worst = worst.max(all.iter().map(|(own, lent)| own + lent).sum::<f64>() - budget);
        }
        worst
    }

    fn trouble(&mut self, of: usize) {
        let all = self.nodes.len();
        match self.rng.random_range(0..400) {
            0 => {
                let now = self.clock(of);
                let mut lending = self.lending(now, all);
                lending.wants(vec![BUDGETS[0], BUDGETS[1]]);
                let node = &mut self.nodes[of];
                (node.lending, node.life, node.stands_still) = (lending, node.life + 1, false);
                node.waiting.clear();
            }
            1 => self.nodes[of].stands_still = true,
            2..=9 => self.nodes[of].stands_still = false,
            10..=13 => self.nodes[of].first = self.rng.random_range(0..all),
            14..=15 => {
                let living = (0..all)
                    .filter(|other| *other == of || self.rng.random())
                    .collect();
                self.nodes[of].living = living;
            }
            16..=20 => self.nodes[of].living = (0..all).collect(),
            21..=24 => {
                let wants = BUDGETS.map(|budget| self.rng.random_range(0.0..budget));
                self.nodes[of].lending.wants(wants.to_vec());
            }
            _ => {}
        }
    }
}

/// Plays many seeds; tells how many of them spent too much, and whether anything was lent at all.
fn play(
    mixers: usize,
    seeds: std::ops::Range<u64>,
    turns: usize,
    mistake: Mistake,
) -> (usize, bool) {
    let (mut broken, mut lent) = (0, 0.0);
    for seed in seeds {
        let mut world = World::new(mixers, seed, mistake);
        broken += usize::from((0..turns).any(|_| world.turn() > 1e-6));
        lent += world.lent;
    }
    (broken, lent > 0.0)
}

#[rstest]
#[case::three(3, 400)]
#[case::seven(7, 60)]
fn all_together_never_hold_more_than_the_budgets(#[case] mixers: usize, #[case] seeds: u64) {
    assert_eq!(play(mixers, 0..seeds, 1_200, Mistake::None), (0, true));
}

#[rstest]
#[case::a_share_taken_back_too_early(Mistake::TakenBackEarly)]
#[case::one_that_starts_promises_at_once(Mistake::PromisesAtOnce)]
fn a_planted_mistake_is_found(#[case] mistake: Mistake) {
    let (broken, _) = play(3, 0..400, 1_200, mistake);
    assert!(broken > 0);
}

/// With nothing wrong, all of a budget is there for whoever has the traffic; cut off, each has what is its own.
#[rstest]
fn what_is_lent_goes_where_the_traffic_is() {
    let mut world = World::new(3, 1, Mistake::None);
    for node in &mut world.nodes {
        node.lending.wants(vec![0.0, 0.0]);
    }
    world.nodes[2].lending.wants(vec![60.0, 0.0]);
    let calm = |world: &mut World| {
        world.now += 100_000;
        for of in 0..3 {
            let words = world.with_view(of, lockusher_membership::shared::lend::Lending::due);
            world.send(of, words);
            while let Some((_, to, from, word)) = world.flying.pop_front() {
                world.hear(to, &from, word);
            }
        }
    };
    (0..200).for_each(|_| calm(&mut world));
    let now = world.clock(2);
    let QuotaShare { own, lent, .. } = world.nodes[2].lending.portions(now)[0];
    assert_eq!(
        (own, lent),
        (10.0, 30.0),
        "a third of one half, and all of the other"
    );
    assert!(
        world.nodes[0]
            .lending
            .lends(world.clock(0))
            .is_some_and(|out| out == [30.0, 0.0])
    );
    // Nobody hears it any more.
    (world.nodes[2].first, world.nodes[2].living) = (2, vec![2]);
    for _ in 0..200 {
        world.now += 100_000;
        world.with_view(2, lockusher_membership::shared::lend::Lending::due);
    }
    let now = world.clock(2);
    let alone = world.nodes[2].lending.portions(now)[0];
    assert_eq!((alone.own, alone.lent), (10.0, 0.0));
}

proptest! {
    /// Whatever is asked for and whenever: in no second is more spent than the share and what is saved.
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
