//! The traffic of searchers that fail, hang, were slow once, or are new.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;
use yare::parameterized;

/// Time between two requests: ten milliseconds.
const GAP: Micros = 10 * MS;

/// How a faulty searcher ends its sends.
#[derive(Clone, Copy, Debug)]
struct Fault {
    outcome: SendOutcome,
    duration: Micros,
}

/// Sends requests one after the other. `p0` ends them with its fault, the others respond in 30 ms. Returns the number
/// of sends by searcher.
fn flow(
    router: &mut RequestRouter,
    start: Micros,
    requests: u64,
    fault: Option<Fault>,
) -> HashMap<String, u64> {
    let mut sends: HashMap<String, u64> = HashMap::new();
    let mut in_flight: Vec<(Micros, SendTicket, SendOutcome)> = Vec::new();
    for step in 0..requests {
        let now = start + step * GAP;
        in_flight.sort_by_key(|(at, ..)| *at);
        while let Some((at, ticket, outcome)) =
            in_flight.first().copied().filter(|(at, ..)| *at <= now)
        {
            router.record_outcome(at, ticket, outcome);
            in_flight.remove(0);
        }
        let mut plan = admit(router, now, &request());
        let (identifier, ticket) = send(router, now, &mut plan, Purpose::Whole);
        let healthy = Fault {
            outcome: SendOutcome::Answered,
            duration: 30 * MS + step % 5 * MS,
        };
        let fault = fault.filter(|_| identifier == "p0").unwrap_or(healthy);
        in_flight.push((now + fault.duration, ticket, fault.outcome));
        *sends.entry(identifier).or_default() += 1;
    }
    for (at, ticket, outcome) in in_flight {
        router.record_outcome(at, ticket, outcome);
    }
    sends
}

#[parameterized(
    fails_fast = { SendOutcome::Failed, 1 },
    refuses_connections = { SendOutcome::Unreachable, 1 },
    is_misdirected = { SendOutcome::Misdirected, 1 },
    fails_slowly = { SendOutcome::Failed, 300 },
    times_out = { SendOutcome::TimedOut, 5_000 },
)]
fn a_failing_searcher_loses_its_traffic_but_is_probed(outcome: SendOutcome, duration_ms: u64) {
    let mut router = router(&plain_searchers(5), 3);
    flow(&mut router, 0, 200, None);
    let fault = Fault {
        outcome,
        duration: duration_ms * MS,
    };
    let at_first = flow(&mut router, 3 * SECOND, 100, Some(fault));
    assert!(
        at_first.get("p0").is_none_or(|sends| *sends <= 20),
        "{at_first:?}"
    );
    // Sixty seconds of the fault.
    let later = flow(&mut router, 15 * SECOND, 6_000, Some(fault));
    let probes = later.get("p0").copied().unwrap_or(0);
    assert!((1..=40).contains(&probes), "{later:?}");
    // After its recovery it regains its share of the requests within a while.
    flow(&mut router, 90 * SECOND, 6_000, None);
    let recovered = flow(&mut router, 160 * SECOND, 1_000, None);
    assert!(
        recovered.get("p0").is_some_and(|sends| *sends > 80),
        "{recovered:?}"
    );
}

#[test]
fn a_searcher_that_was_slow_once_recovers() {
    let mut router = router(&plain_searchers(5), 3);
    flow(&mut router, 0, 200, None);
    let slow = Fault {
        outcome: SendOutcome::Answered,
        duration: 600 * MS,
    };
    let while_slow = flow(&mut router, 3 * SECOND, 500, Some(slow));
    assert!(while_slow["p0"] < 40, "{while_slow:?}");
    flow(&mut router, 10 * SECOND, 4_000, None);
    let after = flow(&mut router, 60 * SECOND, 1_000, None);
    assert!(after["p0"] > 100, "{after:?}");
}

#[test]
fn no_searcher_is_ejected_if_all_fail() {
    let mut router = router(&plain_searchers(5), 3);
    let mut sends: HashMap<String, u64> = HashMap::new();
    for step in 0..500 {
        let now = step * GAP;
        let mut plan = admit(&mut router, now, &request());
        let (identifier, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
        router.record_outcome(now + MS, ticket, SendOutcome::Failed);
        *sends.entry(identifier).or_default() += 1;
    }
    assert!(
        sends.len() == 5 && sends.values().all(|count| *count > 40),
        "{sends:?}"
    );
}

#[test]
fn the_last_searcher_is_not_ejected() {
    let mut router = router(&plain_searchers(1), 3);
    let fault = Fault {
        outcome: SendOutcome::Failed,
        duration: MS,
    };
    assert_eq!(flow(&mut router, 0, 100, Some(fault))["p0"], 100);
}

#[test]
fn a_new_searcher_is_not_flooded() {
    // Sixty proxies with a few requests in flight at each of ten searchers; one searcher is added.
    let mut list = plain_searchers(10);
    let mut routers: Vec<RequestRouter> = (0..60).map(|seed| router(&list, seed)).collect();
    let mut now = 0;
    let mut in_flight: Vec<(usize, SendTicket)> = Vec::new();
    for _ in 0..40 {
        now += GAP;
        for (number, router) in routers.iter_mut().enumerate() {
            let mut plan = admit(router, now, &request());
            in_flight.push((number, send(router, now, &mut plan, Purpose::Whole).1));
        }
        while in_flight.len() > 60 * 20 {
            let (number, ticket) = in_flight.remove(0);
            routers[number].record_outcome(now, ticket, SendOutcome::Answered);
        }
    }
    list.push(searcher("new", "a", None));
    let mut to_new = 0;
    for router in &mut routers {
        router.apply_instances(now, &list);
    }
    // In the first tenth of a second after it was added, its equal share of 600 sends would be 55.
    for _ in 0..10 {
        now += GAP;
        for router in &mut routers {
            let mut plan = admit(router, now, &request());
            let (identifier, _) = send(router, now, &mut plan, Purpose::Whole);
            to_new += usize::from(identifier == "new");
        }
    }
    assert!((10..=120).contains(&to_new), "{to_new} of 600");
}
