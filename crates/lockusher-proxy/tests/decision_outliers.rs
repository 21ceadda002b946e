//! Searchers that err, hang, were slow once, or have just come: how much traffic they get.

mod decision_support;

use std::collections::HashMap;

use decision_support::*;
use lockusher_proxy::decision::*;
use yare::parameterized;

/// Requests of a test, ten milliseconds apart.
const GAP: Micros = 10 * MS;

/// One searcher's way to end its sends.
#[derive(Clone, Copy, Debug)]
struct Fault {
    outcome: SendOutcome,
    takes: Micros,
}

/// Sends so many requests one after the other; `p0` ends them by its fault, the others answer in 30 ms. The
/// number of sends to each.
fn flow(
    router: &mut RequestRouter,
    start: Micros,
    requests: u64,
    fault: Option<Fault>,
) -> HashMap<String, u64> {
    let mut sends: HashMap<String, u64> = HashMap::new();
    let mut out: Vec<(Micros, SendTicket, SendOutcome)> = Vec::new();
    for step in 0..requests {
        let now = start + step * GAP;
        out.sort_by_key(|(at, ..)| *at);
        while let Some((at, ticket, outcome)) = out.first().copied().filter(|(at, ..)| *at <= now) {
            router.outcome(at, ticket, outcome);
            out.remove(0);
        }
        let mut plan = admit(router, now, &request());
        let (identifier, ticket) = send(router, now, &mut plan, Purpose::Whole);
        let good = Fault {
            outcome: SendOutcome::Answered,
            takes: 30 * MS + step % 5 * MS,
        };
        let fault = fault.filter(|_| identifier == "p0").unwrap_or(good);
        out.push((now + fault.takes, ticket, fault.outcome));
        *sends.entry(identifier).or_default() += 1;
    }
    for (at, ticket, outcome) in out {
        router.outcome(at, ticket, outcome);
    }
    sends
}

#[parameterized(
    errs_fast = { SendOutcome::Failed, 1 },
    refuses_connections = { SendOutcome::Unreachable, 1 },
    belongs_to_others = { SendOutcome::Misdirected, 1 },
    errs_slowly = { SendOutcome::Failed, 300 },
    is_silent = { SendOutcome::TimedOut, 5_000 },
)]
fn one_that_fails_loses_its_traffic_but_is_tried_again(outcome: SendOutcome, takes_ms: u64) {
    let mut router = router(&plain(5), 3);
    flow(&mut router, 0, 200, None);
    let fault = Fault {
        outcome,
        takes: takes_ms * MS,
    };
    let at_first = flow(&mut router, 3 * SECOND, 100, Some(fault));
    assert!(
        at_first.get("p0").is_none_or(|sends| *sends <= 20),
        "{at_first:?}"
    );
    // Sixty seconds of it.
    let later = flow(&mut router, 15 * SECOND, 6_000, Some(fault));
    let tried = later.get("p0").copied().unwrap_or(0);
    assert!((1..=40).contains(&tried), "{later:?}");
    // Once it is well again it gets its share back in a while.
    flow(&mut router, 90 * SECOND, 6_000, None);
    let well = flow(&mut router, 160 * SECOND, 1_000, None);
    assert!(well.get("p0").is_some_and(|sends| *sends > 80), "{well:?}");
}

#[test]
fn one_that_was_slow_once_recovers() {
    let mut router = router(&plain(5), 3);
    flow(&mut router, 0, 200, None);
    let slow = Fault {
        outcome: SendOutcome::Answered,
        takes: 600 * MS,
    };
    let while_slow = flow(&mut router, 3 * SECOND, 500, Some(slow));
    assert!(while_slow["p0"] < 40, "{while_slow:?}");
    flow(&mut router, 10 * SECOND, 4_000, None);
    let after = flow(&mut router, 60 * SECOND, 1_000, None);
    assert!(after["p0"] > 100, "{after:?}");
}

#[test]
fn where_all_look_bad_none_is_ruled_out() {
    let mut router = router(&plain(5), 3);
    let mut met: HashMap<String, u64> = HashMap::new();
    for step in 0..500 {
        let now = step * GAP;
        let mut plan = admit(&mut router, now, &request());
        let (identifier, ticket) = send(&mut router, now, &mut plan, Purpose::Whole);
        router.outcome(now + MS, ticket, SendOutcome::Failed);
        *met.entry(identifier).or_default() += 1;
    }
    assert!(
        met.len() == 5 && met.values().all(|sends| *sends > 40),
        "{met:?}"
    );
}

#[test]
fn the_last_one_is_not_ruled_out() {
    let mut router = router(&plain(1), 3);
    let fault = Fault {
        outcome: SendOutcome::Failed,
        takes: MS,
    };
    assert_eq!(flow(&mut router, 0, 100, Some(fault))["p0"], 100);
}

#[test]
fn one_that_has_just_come_draws_no_rush() {
    // Sixty proxies with a few requests out at each of ten searchers; one more comes.
    let mut list = plain(10);
    let mut routers: Vec<RequestRouter> = (0..60).map(|seed| router(&list, seed)).collect();
    let mut now = 0;
    let mut out: Vec<(usize, SendTicket)> = Vec::new();
    for _ in 0..40 {
        now += GAP;
        for (number, router) in routers.iter_mut().enumerate() {
            let mut plan = admit(router, now, &request());
            out.push((number, send(router, now, &mut plan, Purpose::Whole).1));
        }
        while out.len() > 60 * 20 {
            let (number, ticket) = out.remove(0);
            routers[number].outcome(now, ticket, SendOutcome::Answered);
        }
    }
    list.push(searcher("new", "a", None));
    let mut to_new = 0;
    for router in &mut routers {
        router.apply_instances(now, &list);
    }
    // In the first tenth of a second after it came: its share of 600 sends would be 55.
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
