//! The retry budget over several proxies, in every sliding window.

mod decision_support;

use decision_support::*;
use lockusher_proxy::decision::*;
use proptest::prelude::*;

/// A request at one proxy.
#[derive(Clone, Copy, Debug)]
struct Event {
    at: Micros,
    proxy: usize,
    /// The attempts of the request; all its sends fail, and it is sent as often as allowed.
    attempts: u32,
    /// Whether the proxy restarts before the request and loses its state.
    restarts: bool,
}

/// The requests and retries of all proxies.
#[derive(Default)]
struct ObservedTraffic {
    requests: Vec<Micros>,
    retries: Vec<Micros>,
}

impl ObservedTraffic {
    /// The largest excess over the rule, over all windows that end or begin with a retry, compared with the requests of
    /// the window itself, the preceding one, and one half a window earlier.
    fn excess(&self, window: Micros, ratio: f64, slack: f64) -> f64 {
        let starts = self
            .retries
            .iter()
            .flat_map(|at| [*at, at.saturating_sub(window)]);
        let excess = starts.map(|start| {
            let retries = count(&self.retries, start, start + window);
            let preceding_start = start.saturating_sub(window);
            let half_earlier = start.saturating_sub(window / 2);
            let in_window = count(&self.requests, start, start + window);
            let requests = in_window
                .max(count(&self.requests, preceding_start, start))
                .max(count(&self.requests, half_earlier, half_earlier + window));
            retries as f64 - ratio * requests as f64 - slack
        });
        excess.fold(f64::MIN, f64::max)
    }
}

fn count(times: &[Micros], start: Micros, end: Micros) -> usize {
    times
        .iter()
        .filter(|at| (start..=end).contains(*at))
        .count()
}

const PROXIES: usize = 6;

fn run_events(events: &[Event], is_fleet_size_known: bool) -> ObservedTraffic {
    let new_router = |seed| {
        let mut router = router(&plain_searchers(40), seed);
        if is_fleet_size_known {
            router.set_fleet_size(PROXIES as u32);
        }
        router
    };
    let mut routers: Vec<RequestRouter> = (0..PROXIES as u64).map(new_router).collect();
    let mut observed = ObservedTraffic::default();
    for event in events {
        if event.restarts {
            routers[event.proxy] = new_router(event.at);
            routers[event.proxy].apply_instances(event.at, &plain_searchers(40));
        }
        let router = &mut routers[event.proxy];
        let attributes = RequestAttributes {
            attempts: event.attempts,
            ..request()
        };
        observed.requests.push(event.at);
        let mut plan = admit(router, event.at, &attributes);
        let mut sends = 0;
        while let Choice::Send { ticket, .. } = router.choose(event.at, &mut plan, Purpose::Whole) {
            router.record_outcome(event.at, ticket, SendOutcome::Failed);
            sends += 1;
            if sends > 1 {
                observed.retries.push(event.at);
            }
        }
    }
    observed
}

fn events(restarts: f64) -> impl Strategy<Value = Vec<Event>> {
    // Gaps from zero to seconds, for bursts and idle periods.
    let gap = prop_oneof![6 => 0..5 * MS, 3 => 0..200 * MS, 1 => 0..6 * SECOND];
    let event = (
        gap,
        0..PROXIES,
        1u32..6,
        proptest::bool::weighted(restarts.max(1e-9)),
    );
    proptest::collection::vec(event, 1..600).prop_map(|generated| {
        let mut at = 0;
        let to_event = |(gap, proxy, attempts, restarts)| {
            at += gap;
            Event {
                at,
                proxy,
                attempts,
                restarts,
            }
        };
        generated.into_iter().map(to_event).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn the_fleet_stays_within_the_budget_in_every_window(events in events(0.0), is_fleet_size_known: bool) {
        let settings = settings();
        let observed = run_events(&events, is_fleet_size_known);
        let window = settings.budget_window_ms * MS;
        prop_assert!(observed.excess(window, settings.retry_budget_ratio, settings.retry_budget_slack) <= 1e-9);
    }
}

#[test]
fn simultaneous_restarts_of_all_proxies_stay_within_the_budget() {
    // All sends fail, at 40 requests per second and proxy, and all proxies restart once in the middle.
    let mut events = Vec::new();
    for step in 0..40 * 60 {
        for proxy in 0..PROXIES {
            let at = step * SECOND / 40;
            events.push(Event {
                at,
                proxy,
                attempts: 4,
                restarts: step == 40 * 35,
            });
        }
    }
    let observed = run_events(&events, true);
    let settings = settings();
    let window = settings.budget_window_ms * MS;
    assert!(
        observed.excess(
            window,
            settings.retry_budget_ratio,
            settings.retry_budget_slack
        ) <= 0.0
    );
    let share = observed.retries.len() as f64 / observed.requests.len() as f64;
    assert!(share > 0.05, "the budget allows retries: {share}");
}

#[test]
fn a_smaller_fleet_size_received_later_does_not_raise_the_share() {
    let mut router = router(&plain_searchers(40), 1);
    router.set_fleet_size(60);
    router.set_fleet_size(1);
    let attributes = RequestAttributes {
        attempts: 9,
        ..request()
    };
    let now = 25 * SECOND;
    let mut plan = admit(&mut router, now, &attributes);
    let mut sends = 0;
    while let Choice::Send { ticket, .. } = router.choose(now, &mut plan, Purpose::Whole) {
        router.record_outcome(now, ticket, SendOutcome::Failed);
        sends += 1;
    }
    assert_eq!(sends, 1);
}
