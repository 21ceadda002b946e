//! The router and the baseline policies that it is compared with.

use std::collections::HashMap;

use lockusher_config::configuration::RouteKind;
use lockusher_proxy::decision::*;

use super::fleet::Chooser;

/// A proxy that uses the request router.
pub struct RouterChooser {
    router: RequestRouter,
    plans: HashMap<usize, RequestPlan>,
    tickets: HashMap<(usize, Purpose), SendTicket>,
    always_split: bool,
    /// Whether requests are admitted with a client timeout too long for admission control to act.
    without_admission_control: bool,
}

impl RouterChooser {
    /// Creates a proxy; `always_split` overrides the router's decision whether to split.
    pub fn new(router: RequestRouter, always_split: bool) -> Self {
        RouterChooser {
            router,
            plans: HashMap::new(),
            tickets: HashMap::new(),
            always_split,
            without_admission_control: false,
        }
    }

    /// Creates a proxy without admission control.
    pub fn without_admission_control(router: RequestRouter) -> Self {
        RouterChooser {
            without_admission_control: true,
            ..RouterChooser::new(router, false)
        }
    }
}

impl Chooser for RouterChooser {
    fn admit(
        &mut self,
        now: Micros,
        request: usize,
        attributes: &RequestAttributes,
    ) -> Result<(), u64> {
        let unlimited = RequestAttributes {
            kind: RouteKind::Idempotent,
            remaining_ms: 3_600_000,
            ..attributes.clone()
        };
        match self.router.admit(
            now,
            if self.without_admission_control {
                &unlimited
            } else {
                attributes
            },
        ) {
            Admission::Admitted(plan) => {
                self.plans.insert(request, plan);
                Ok(())
            }
            Admission::Refused { retry_after_ms } => Err(retry_after_ms),
        }
    }

    fn should_split(&mut self, now: Micros, request: usize, _facts: &RequestAttributes) -> bool {
        self.always_split || self.router.should_split(now, &self.plans[&request])
    }

    fn choose(
        &mut self,
        now: Micros,
        request: usize,
        _facts: &RequestAttributes,
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

    fn record_outcome(
        &mut self,
        now: Micros,
        request: usize,
        purpose: Purpose,
        _searcher: usize,
        outcome: SendOutcome,
    ) {
        let ticket = self.tickets[&(request, purpose)];
        self.router.record_outcome(now, ticket, outcome);
        if outcome != SendOutcome::FirstEvent && purpose != Purpose::Prefill {
            self.plans.remove(&request);
        }
    }
}

/// Baseline policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    RoundRobin,
    /// The fewest own requests in flight.
    LeastLoaded,
    /// Prefill by a hash of the shared parts, regardless of load; decode by least load.
    PrefixHash,
}

/// A proxy that uses a baseline policy and always splits.
pub struct BaselineChooser {
    baseline: Baseline,
    next: [usize; 2],
    in_flight: [Vec<usize>; 2],
}

impl BaselineChooser {
    /// Creates a proxy that starts its round robin at its own number.
    pub fn new(baseline: Baseline, prefill: usize, decode: usize, proxy: usize) -> Self {
        BaselineChooser {
            baseline,
            next: [proxy, proxy],
            in_flight: [vec![0; prefill], vec![0; decode]],
        }
    }
}

fn stage_index(purpose: Purpose) -> usize {
    usize::from(purpose != Purpose::Prefill)
}

impl Chooser for BaselineChooser {
    fn should_split(&mut self, _now: Micros, _request: usize, _facts: &RequestAttributes) -> bool {
        true
    }

    fn choose(
        &mut self,
        _now: Micros,
        _request: usize,
        attributes: &RequestAttributes,
        purpose: Purpose,
    ) -> Option<usize> {
        let stage_index = stage_index(purpose);
        let count = self.in_flight[stage_index].len();
        self.next[stage_index] += 1;
        let next_number = self.next[stage_index] % count;
        let least_loaded = (0..count)
            .map(|offset| (next_number + offset) % count)
            .min_by_key(|number| self.in_flight[stage_index][*number]);
        let chosen = match (self.baseline, purpose) {
            (Baseline::RoundRobin, _) => next_number,
            (Baseline::PrefixHash, Purpose::Prefill) => {
                let shared = &attributes.prompt[..attributes.prompt.len() - 1];
                let hash = shared.iter().fold(7u64, |hash, part| {
                    (hash ^ part.id).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                });
                (hash >> 32) as usize % count
            }
            _ => least_loaded?,
        };
        self.in_flight[stage_index][chosen] += 1;
        Some(chosen)
    }

    fn record_outcome(
        &mut self,
        _now: Micros,
        _request: usize,
        purpose: Purpose,
        searcher: usize,
        outcome: SendOutcome,
    ) {
        if outcome != SendOutcome::FirstEvent {
            self.in_flight[stage_index(purpose)][searcher] -= 1;
        }
    }
}
