//! The retry budget over several proxies, in every sliding window.

mod decision_support;

use decision_support::*;
use lockusher_proxy::decision::*;
use proptest::prelude::*;

/// What happens at one proxy.
#[derive(Clone, Copy, Debug)]
struct Event {
    at: Micros,
    proxy: usize,
    /// A request's sends that all fail; it is sent as often as allowed.
    attempts: u32,
    /// The proxy loses its memory before.
    restarts: bool,
}

/// What the judge sees.
#[derive(Default)]
struct Seen {
    requests: Vec<Micros>,
    repeats: Vec<Micros>,
}

impl Seen {
    /// The greatest excess over the rule in any window, by looking at each window that ends with a repeat or
    /// begins with one, and a few besides.
    fn excess(&self, window: Micros, ratio: f64, slack: f64) -> f64 {
        let starts = self
            .repeats
            .iter()
            .flat_map(|at| [*at, at.saturating_sub(window)]);
        let excess = starts.map(|start| {
            let repeats = count(&self.repeats, start, start + window);
            let before = start.saturating_sub(window);
            let half = start.saturating_sub(window / 2);
            let here = count(&self.requests, start, start + window);
            let requests = here.max(count(&self.requests, before, start)).max(count(
                &self.requests,
                half,
                half + window,
            ));
            repeats as f64 - ratio * requests as f64 - slack
        });
        excess.fold(f64::MIN, f64::max)
    }
}

fn count(of: &[Micros], from: Micros, to: Micros) -> usize {
    of.iter().filter(|at| (from..=to).contains(*at)).count()
}

const PROXIES: usize = 6;

fn play(events: &[Event], told: bool) -> Seen {
    let fresh = |seed| {
        let mut router = router(&plain(40), seed);
        if told {
            router.set_fleet_size(PROXIES as u32);
        }
        router
    };
    let mut routers: Vec<RequestRouter> = (0..PROXIES as u64).map(fresh).collect();
    let mut seen = Seen::default();
    for event in events {
        if event.restarts {
            routers[event.proxy] = fresh(event.at);
            routers[event.proxy].apply_instances(event.at, &plain(40));
        }
        let router = &mut routers[event.proxy];
        let facts = RequestFacts {
            attempts: event.attempts,
            ..request()
        };
        seen.requests.push(event.at);
        let mut plan = admit(router, event.at, &facts);
        let mut sends = 0;
        while let Choice::Send { ticket, .. } = router.choose(event.at, &mut plan, Purpose::Whole) {
            router.outcome(event.at, ticket, SendOutcome::Failed);
            sends += 1;
            if sends > 1 {
                seen.repeats.push(event.at);
            }
        }
    }
    seen
}

fn events(restarts: f64) -> impl Strategy<Value = Vec<Event>> {
    // Gaps between nothing and seconds, so that there are floods and lulls.
    let gap = prop_oneof![6 => 0..5 * MS, 3 => 0..200 * MS, 1 => 0..6 * SECOND];
    let event = (
        gap,
        0..PROXIES,
        1u32..6,
        proptest::bool::weighted(restarts.max(1e-9)),
    );
    proptest::collection::vec(event, 1..600).prop_map(|drawn| {
        let mut at = 0;
        let place = |(gap, proxy, attempts, restarts)| {
            at += gap;
            Event {
                at,
                proxy,
                attempts,
                restarts,
            }
        };
        drawn.into_iter().map(place).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn all_proxies_together_keep_the_budget_in_every_window(events in events(0.0), told: bool) {
        let settings = settings();
        let seen = play(&events, told);
        let window = settings.budget_window_ms * MS;
        prop_assert!(seen.excess(window, settings.retry_budget_ratio, settings.retry_budget_slack) <= 1e-9);
    }
}

#[test]
fn restarts_of_all_proxies_at_once_keep_the_budget() {
    // All fail always, at 40 requests a second and proxy, and all restart once in the middle.
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
    let seen = play(&events, true);
    let settings = settings();
    let window = settings.budget_window_ms * MS;
    assert!(
        seen.excess(
            window,
            settings.retry_budget_ratio,
            settings.retry_budget_slack
        ) <= 0.0
    );
    let share = seen.repeats.len() as f64 / seen.requests.len() as f64;
    assert!(share > 0.05, "the budget is of use: {share}");
}

#[test]
fn a_smaller_fleet_told_later_does_not_raise_the_share() {
    let mut router = router(&plain(40), 1);
    router.set_fleet_size(60);
    router.set_fleet_size(1);
    let facts = RequestFacts {
        attempts: 9,
        ..request()
    };
    let now = 25 * SECOND;
    let mut plan = admit(&mut router, now, &facts);
    let mut sends = 0;
    while let Choice::Send { ticket, .. } = router.choose(now, &mut plan, Purpose::Whole) {
        router.outcome(now, ticket, SendOutcome::Failed);
        sends += 1;
    }
    assert_eq!(sends, 1);
}
