//! The router and the plain ways to choose that it is compared with.

use std::collections::HashMap;

use lockusher_config::configuration::RouteKind;
use lockusher_proxy::decision::*;

use super::fleet::Chooser;

/// The proxy's own decisions.
pub struct Directed {
    router: RequestRouter,
    plans: HashMap<usize, RequestPlan>,
    tickets: HashMap<(usize, Purpose), SendTicket>,
    always_split: bool,
    /// Whether requests are admitted as though clients gave them all the time in the world.
    no_gate: bool,
}

impl Directed {
    /// A proxy's router; `always_split` leaves no choice where prompts are read.
    pub fn new(router: RequestRouter, always_split: bool) -> Self {
        Directed {
            router,
            plans: HashMap::new(),
            tickets: HashMap::new(),
            always_split,
            no_gate: false,
        }
    }

    /// The same without a gate at admission.
    pub fn without_gate(router: RequestRouter) -> Self {
        Directed {
            no_gate: true,
            ..Directed::new(router, false)
        }
    }
}

impl Chooser for Directed {
    fn admit(&mut self, now: Micros, request: usize, facts: &RequestFacts) -> Result<(), u64> {
        let patient = RequestFacts {
            kind: RouteKind::Idempotent,
            remaining_ms: 3_600_000,
            ..facts.clone()
        };
        match self
            .router
            .admit(now, if self.no_gate { &patient } else { facts })
        {
            Admission::Go(plan) => {
                self.plans.insert(request, plan);
                Ok(())
            }
            Admission::Refuse { retry_after_ms } => Err(retry_after_ms),
        }
    }

    fn split(&mut self, now: Micros, request: usize, _facts: &RequestFacts) -> bool {
        self.always_split || self.router.split(now, &self.plans[&request])
    }

    fn choose(
        &mut self,
        now: Micros,
        request: usize,
        _facts: &RequestFacts,
        purpose: Purpose,
    ) -> Option<usize> {
        let plan = self.plans.get_mut(&request)?;
        let Choice::Send {
            identifier, ticket, ..
        } = self.router.choose(now, plan, purpose)
        else {
            return None;
        };
        self.tickets.insert((request, purpose), ticket);
        identifier[1..].parse().ok()
    }

    fn outcome(
        &mut self,
        now: Micros,
        request: usize,
        purpose: Purpose,
        _searcher: usize,
        outcome: SendOutcome,
    ) {
        let ticket = self.tickets[&(request, purpose)];
        self.router.outcome(now, ticket, outcome);
        if outcome != SendOutcome::FirstEvent && purpose != Purpose::Prefill {
            self.plans.remove(&request);
        }
    }
}

/// Plain ways to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    RoundRobin,
    /// The fewest own requests out.
    LeastLoaded,
    /// The prefill searcher by a hash of the shared parts, whatever its load; decode by least load.
    PrefixHash,
}

/// A proxy that chooses in a plain way and always splits.
pub struct PlainChooser {
    way: Plain,
    turn: [usize; 2],
    out: [Vec<usize>; 2],
}

impl PlainChooser {
    /// A proxy that begins its turns at a number of its own.
    pub fn new(way: Plain, prefill: usize, decode: usize, proxy: usize) -> Self {
        PlainChooser {
            way,
            turn: [proxy, proxy],
            out: [vec![0; prefill], vec![0; decode]],
        }
    }
}

fn side(purpose: Purpose) -> usize {
    usize::from(purpose != Purpose::Prefill)
}

impl Chooser for PlainChooser {
    fn split(&mut self, _now: Micros, _request: usize, _facts: &RequestFacts) -> bool {
        true
    }

    fn choose(
        &mut self,
        _now: Micros,
        _request: usize,
        facts: &RequestFacts,
        purpose: Purpose,
    ) -> Option<usize> {
        let side = side(purpose);
        let count = self.out[side].len();
        self.turn[side] += 1;
        let turn = self.turn[side] % count;
        let least = (0..count)
            .map(|step| (turn + step) % count)
            .min_by_key(|number| self.out[side][*number]);
        let chosen = match (self.way, purpose) {
            (Plain::RoundRobin, _) => turn,
            (Plain::PrefixHash, Purpose::Prefill) => {
                let shared = &facts.prompt[..facts.prompt.len() - 1];
                let hash = shared.iter().fold(7u64, |hash, part| {
                    (hash ^ part.id).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                });
                (hash >> 32) as usize % count
            }
            _ => least?,
        };
        self.out[side][chosen] += 1;
        Some(chosen)
    }

    fn outcome(
        &mut self,
        _now: Micros,
        _request: usize,
        purpose: Purpose,
        searcher: usize,
        outcome: SendOutcome,
    ) {
        if outcome != SendOutcome::FirstEvent {
            self.out[side(purpose)][searcher] -= 1;
        }
    }
}
