//! Distribution of agents' connection attempts over control nodes and over time.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;

use lockusher_distribution::reconnect::{
    CONNECT_TIMEOUT_MS, ConnectionPolicy, ControlNodePolicy, FixedAddressPolicy,
    PUBLISHER_INACTIVITY_TIMEOUT_MS,
};

const AGENTS: u64 = 400;

fn address(number: u8) -> SocketAddrV4 {
    format!("10.0.0.{number}:7660").parse().expect("an address")
}

fn seeds(count: u8) -> Vec<SocketAddrV4> {
    (1..=count).map(address).collect()
}

fn agents(seeds: &[SocketAddrV4]) -> Vec<ControlNodePolicy> {
    let agent = |number| ControlNodePolicy::new(&format!("edge-{number}"), seeds.to_vec(), number);
    (0..AGENTS).map(agent).collect()
}

#[test]
fn agents_spread_evenly_at_the_start() {
    let mut counts = BTreeMap::new();

    for mut agent in agents(&seeds(5)) {
        let attempt = agent.next_attempt(0).expect("an attempt");
        assert_eq!(attempt.at_ms, 0);
        *counts.entry(attempt.address).or_insert(0) += 1;
    }

    assert_eq!(counts.len(), 5);
    assert!(
        counts.values().all(|count| (50..=115).contains(count)),
        "{counts:?}"
    );
}

/// Four hundred agents lose a control node at once, and none of the other control nodes accepts connections for ten
/// seconds. Within any 100 ms, no control node receives more attempts than its share of the agents at the start, and on
/// average far fewer after five seconds.
#[test]
fn agents_that_lose_a_control_node_at_once_do_not_overload_the_others() {
    let nodes = 5;
    let mut arrivals: BTreeMap<(SocketAddrV4, u64), usize> = BTreeMap::new();
    for mut agent in agents(&seeds(nodes)) {
        agent.next_attempt(0);
        agent.on_established(10);
        let mut now_ms = 60_000;
        agent.on_lost(now_ms);
        while now_ms < 70_000 {
            let attempt = agent.next_attempt(now_ms).expect("an attempt");
            *arrivals
                .entry((attempt.address, attempt.at_ms / 100))
                .or_default() += 1;
            now_ms = attempt.at_ms.max(now_ms + 1);
            agent.on_lost(now_ms);
        }
    }

    let max_arrivals = arrivals.values().max().copied().unwrap_or_default();
    assert!(
        max_arrivals <= 80,
        "{max_arrivals} within 100 ms at one control node"
    );
    let late: Vec<usize> = arrivals
        .iter()
        .filter(|((_, tenth), _)| *tenth >= 650)
        .map(|(_, count)| *count)
        .collect();
    let mean = late.iter().sum::<usize>() as f64 / late.len() as f64;
    assert!(
        mean <= 8.0,
        "{mean} on average within 100 ms at one control node after five seconds"
    );
}

/// Makes failing attempts at the same time and returns their addresses.
fn fail_attempts(agent: &mut ControlNodePolicy, attempts: usize) -> Vec<SocketAddrV4> {
    let attempt = |_| {
        let address = agent.next_attempt(60_000).expect("an attempt").address;
        agent.on_lost(60_000);
        address
    };
    (0..attempts).map(attempt).collect()
}

#[test]
fn a_lost_node_is_tried_after_all_others() {
    let mut agent = ControlNodePolicy::new("edge", seeds(4), 9);
    let lost = agent.next_attempt(0).expect("an attempt").address;
    agent.on_established(1);
    agent.on_lost(60_000);

    let tried = fail_attempts(&mut agent, 4);

    assert_eq!(tried.iter().collect::<HashSet<_>>().len(), 4);
    assert_eq!(tried[3], lost);
}

#[test]
fn addresses_that_control_nodes_sent_are_tried_before_the_seeds() {
    let mut agent = ControlNodePolicy::new("edge", seeds(2), 9);
    agent.next_attempt(0);
    agent.on_established(1);
    agent.learn(&[address(8), address(9)]);
    agent.on_lost(60_000);

    let tried = fail_attempts(&mut agent, 4);

    assert_eq!(
        tried[..2].iter().collect::<HashSet<_>>(),
        HashSet::from([&address(8), &address(9)])
    );
    assert_eq!(
        tried[2..].iter().collect::<HashSet<_>>(),
        HashSet::from([&address(1), &address(2)])
    );
    assert!(agent.is_out_of_addresses());

    agent.set_seeds(vec![address(77)]);
    let next: HashSet<_> = (0..3)
        .map(|_| agent.next_attempt(60_000).expect("an attempt").address)
        .collect();
    assert!(next.contains(&address(77)));
}

/// Guards against a tight reconnect loop to a control node that accepts connections and closes them immediately.
#[test]
fn short_connections_do_not_reset_the_back_off() {
    let mut agent = ControlNodePolicy::new("edge", seeds(3), 9);
    let mut now_ms = 0;
    let mut attempts = 0;

    while now_ms < 60_000 {
        now_ms = agent.next_attempt(now_ms).expect("an attempt").at_ms;
        agent.on_established(now_ms);
        agent.on_lost(now_ms + 5);
        attempts += 1;
    }

    assert!(attempts <= 70, "{attempts} attempts in a minute");
}

#[test]
fn a_proxy_retries_its_agent_within_200_ms() {
    let mut proxy = FixedAddressPolicy::new(address(1), 3);

    assert_eq!(proxy.next_attempt(0).expect("an attempt").at_ms, 0);
    for _ in 0..50 {
        proxy.on_lost(0);
        let back_off_ms = proxy.next_attempt(0).expect("an attempt").at_ms;
        assert!((50..=200).contains(&back_off_ms), "{back_off_ms} ms");
    }
}

#[test]
fn without_addresses_there_is_no_attempt() {
    assert_eq!(
        ControlNodePolicy::new("edge", vec![], 1).next_attempt(0),
        None
    );
}

/// After a power failure of all machines, the first attempt of an agent may go to a machine that is still down, and
/// hangs. The next attempt starts within half of the inactivity timeout of a publisher.
#[test]
fn an_attempt_that_hangs_is_soon_followed_by_the_next() {
    for mut agent in agents(&seeds(3)) {
        agent.next_attempt(0).expect("an attempt");
        agent.on_lost(CONNECT_TIMEOUT_MS);

        let next = agent.next_attempt(CONNECT_TIMEOUT_MS).expect("an attempt");

        assert!(next.at_ms < PUBLISHER_INACTIVITY_TIMEOUT_MS / 2, "{next:?}");
    }
}

/// In each pass, the agents on the seeds' machines are tried after all known control nodes.
#[test]
fn referring_agents_are_tried_after_all_control_nodes() {
    let mut agent = ControlNodePolicy::new("edge", seeds(2), 9);
    agent.set_referrers(vec![address(71), address(72)]);
    agent.learn(&[address(8)]);

    for _ in 0..3 {
        let pass = if agent.passes_started() == 0 { 3 } else { 5 };
        let tried = fail_attempts(&mut agent, pass);
        let referrers: HashSet<_> = tried[pass - 2..].iter().collect();
        assert_eq!(referrers, HashSet::from([&address(71), &address(72)]));
    }
}

#[test]
fn a_referring_agent_is_not_a_control_node() {
    let mut agent = ControlNodePolicy::new("edge", vec![], 9);
    agent.set_referrers(vec![address(71)]);

    let referrer = agent.next_attempt(0).expect("an attempt").address;
    agent.on_established(1);

    assert_eq!(referrer, address(71));
    assert!(agent.is_referrer());
    assert_eq!(agent.connected_control_node(), None);

    agent.learn(&[address(8)]);
    agent.on_lost(2);
    let next = agent.next_attempt(2).expect("an attempt");
    assert_eq!(next.address, address(8));
    assert!(next.at_ms <= 2 + 250, "{next:?}");
    assert!(!agent.is_referrer());
}

/// An address is tried again within the time of one pass, however many other addresses are dead.
#[test]
fn many_dead_addresses_do_not_delay_a_live_one() {
    for number in 0..50 {
        let mut agent = ControlNodePolicy::new(&format!("edge-{number}"), seeds(9), number);
        agent.set_referrers(vec![address(71), address(72), address(73)]);
        let mut now_ms = 0;
        let mut last_tried_ms = 0;
        while now_ms < 120_000 {
            let attempt = agent.next_attempt(now_ms).expect("an attempt");
            now_ms = attempt.at_ms;
            if attempt.address == address(4) {
                assert!(now_ms <= last_tried_ms + 20_000, "{number}: {now_ms}");
                last_tried_ms = now_ms;
            }
            agent.on_lost(now_ms);
        }
    }
}
