//! The agent between a control node's publisher and a proxy's feed, with a fake platform, all on loopback. The tests
//! wait for states, never for a fixed time.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::time::timeout;
use hyper::StatusCode;
use lockusher_agent::peers::configuration_fetch::fetch_configuration;
use lockusher_agent::peers::socket::PeerSocket;
use lockusher_agent::serve;
use lockusher_distribution::departures::Departure;
use lockusher_distribution::subscribe::announce_control_nodes;
use lockusher_transport::clock::Clock;
use support::common::{configuration, identity, instance};
use support::departed;
use support::edge::{
    ControlNode, OperatorResponse, Platform, Proxy, TIMEOUT, call_operator, control_address,
    free_ports, operator_address, settings, settings_with_ports, start_agent,
};

#[compio::test]
async fn a_proxy_receives_updates_across_restarts_of_its_agent_and_the_control_node() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let settings = settings(ports, platform.address);
    let mut proxy = Proxy::start(ports);
    let agent = start_agent(&settings);
    let control = ControlNode::start(control_address(ports)).await;

    control.publish_configuration(configuration(3, &[(1, 1)]));
    control.publish_list(1, &[instance("a")]);

    proxy.wait_for_configuration(3).await;
    proxy.wait_for_list(&["a"]).await;
    proxy
        .wait_until("the size of the fleet", |proxy| proxy.fleet_size == 1)
        .await;

    // The control node restarts.
    control.stop();
    let control = ControlNode::start(control_address(ports)).await;
    control.publish_configuration(configuration(5, &[]));
    control.publish_list(2, &[instance("a"), instance("b")]);

    proxy.wait_for_configuration(5).await;

    // The agent restarts; the proxy keeps its state and receives newer versions.
    drop(agent);
    let _agent = start_agent(&settings);
    control.publish_configuration(configuration(6, &[]));
    control.publish_list(3, &[instance("b")]);

    proxy.wait_for_configuration(6).await;
}

/// A configuration can be fetched from a peer, and departures and configuration versions reach peers by gossip.
#[compio::test]
async fn a_partitioned_agent_gets_the_configuration_from_a_peer() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let control = ControlNode::start(control_address(ports)).await;
    control.publish_configuration(configuration(8, &[(1, 1)]));
    control.publish_list(1, &[instance("a")]);
    let connected = settings(ports, platform.address);
    let connected_address = SocketAddrV4::new(connected.ip_address, ports.agents());
    let _connected = start_agent(&connected);
    let mut proxy = Proxy::start(ports);
    proxy.wait_for_configuration(8).await;

    // The connected agent serves its configuration.
    let fetched =
        fetch_configuration(connected_address, identity("cut-off"), None, Clock::start()).await;
    assert_eq!(
        *fetched.expect("the peer has a configuration"),
        configuration(8, &[(1, 1)])
    );

    // A departure spread by the partitioned agent reaches the proxy of its peer.
    let own = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 4), ports.agents());
    let partitioned = PeerSocket::bind(own, 1, Clock::start())
        .await
        .expect("the address is free");
    partitioned.update(|gossip| gossip.set_bootstrap_peers(&[connected_address]));
    let _gossiping = compio::runtime::spawn(Rc::clone(&partitioned).run_gossip(|| true));
    let _receiving = compio::runtime::spawn(Rc::clone(&partitioned).receive(|_| ()));
    partitioned.update(|gossip| gossip.add_rumor(departed("a", Departure::Gone)));
    proxy.wait_for_list(&[]).await;

    // The peer advertises its configuration version.
    let fetch_is_due = async {
        loop {
            let seen = partitioned.received().generation();
            if partitioned.update(|gossip| gossip.take_due_fetch(u64::MAX))
                == Some(connected_address)
            {
                return;
            }
            partitioned.received().changed_since(seen).await;
        }
    };
    timeout(TIMEOUT, fetch_is_due)
        .await
        .expect("the peer advertises its version");
}

#[compio::test]
async fn the_agent_polls_the_platform_until_a_control_node_is_reachable() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    *platform.identifiers.borrow_mut() = vec!["a", "b"];
    let settings = settings(ports, platform.address);
    let _agent = start_agent(&settings);
    let mut proxy = Proxy::start(ports);

    proxy.wait_for_list(&["a", "b"]).await;
    platform.identifiers.borrow_mut().push("c");
    proxy.wait_for_list(&["a", "b", "c"]).await;
    assert!(platform.calls.get() >= 5);

    let control = ControlNode::start(control_address(ports)).await;
    control.publish_list(
        1,
        &[instance("a"), instance("b"), instance("c"), instance("d")],
    );
    proxy.wait_for_list(&["a", "b", "c", "d"]).await;
}

/// The machine of the only seed runs an agent but no control node.
#[compio::test]
async fn an_agent_whose_seed_runs_no_control_node_is_referred_to_one() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let seed = Ipv4Addr::new(127, 0, 0, 4);
    let mut settings = settings(ports, platform.address);
    settings.seeds = vec![SocketAddrV4::new(seed, 1)];
    let seed_agent = ControlNode::start(SocketAddrV4::new(seed, ports.agents())).await;
    let control = ControlNode::start(control_address(ports)).await;
    control.publish_configuration(configuration(6, &[(1, 1)]));
    control.publish_list(1, &[instance("a")]);
    let _agent = start_agent(&settings);
    let mut proxy = Proxy::start(ports);

    // The seed's agent knows no control node until now.
    seed_agent.publish_control_nodes(vec![control_address(ports)]);

    proxy.wait_for_configuration(6).await;
    proxy.wait_for_list(&["a"]).await;
}

/// The only seed is this machine itself, so that the agent knows no control node.
#[compio::test]
async fn an_agent_without_control_nodes_learns_their_addresses_from_an_announcement() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let mut settings = settings(ports, platform.address);
    settings.seeds = vec![SocketAddrV4::new(settings.ip_address, 1)];
    let own_peer_address = SocketAddrV4::new(settings.ip_address, ports.agents());
    let control = ControlNode::start(control_address(ports)).await;
    control.publish_configuration(configuration(7, &[]));
    let _agent = start_agent(&settings);
    let mut proxy = Proxy::start(ports);

    let announced = async {
        loop {
            let known = announce_control_nodes(own_peer_address, vec![control_address(ports)]);
            if let Ok(known) = known.await {
                return known;
            }
        }
    };
    let known = timeout(TIMEOUT, announced)
        .await
        .expect("the agent answers");

    assert_eq!(known, [control_address(ports)]);
    proxy.wait_for_configuration(7).await;
    let known = announce_control_nodes(own_peer_address, vec![]).await;
    assert_eq!(known.expect("an answer"), [control_address(ports)]);
}

#[compio::test]
async fn operators_are_redirected_to_the_control_node_that_the_agent_is_connected_to() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let mut settings = settings(ports, platform.address);
    let own_operator_address = operator_address(ports, 2);
    settings.control = Some(own_operator_address);
    settings.data_directory = Some("/nowhere".into());
    let _agent = start_agent(&settings);
    let mut proxy = Proxy::start(ports);
    // The agent listens once it accepts a connection.
    let ready = async {
        while lockusher_transport::tcp::connect(own_operator_address, TIMEOUT)
            .await
            .is_err()
        {}
    };
    timeout(TIMEOUT, ready).await.expect("the agent listens");

    let without_control_node = call_operator(own_operator_address).await;
    let control = ControlNode::start(control_address(ports)).await;
    control.publish_configuration(configuration(4, &[]));
    proxy.wait_for_configuration(4).await;
    let with_control_node = call_operator(own_operator_address).await;

    let unavailable = OperatorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        location: None,
    };
    assert_eq!(without_control_node, unavailable);
    let location = format!(
        "http://{}/api/configuration?x=1",
        operator_address(ports, 3)
    );
    let redirect = OperatorResponse {
        status: StatusCode::TEMPORARY_REDIRECT,
        location: Some(location),
    };
    assert_eq!(with_control_node, redirect);
}

#[compio::test]
async fn a_range_with_too_few_internal_ports_is_an_error() {
    let first = free_ports().await.subscriptions();
    let platform = Platform::start().await;
    let settings = settings_with_ports(first, first + 1, platform.address);

    let result = serve::run(settings, std::future::pending()).await;

    let error = result.expect_err("a range of two ports is too short");
    assert_eq!(
        error.to_string(),
        "settings: internalPorts: expected 3 ports at least"
    );
}

/// The agent's address is in use for the duration of the test.
#[compio::test]
async fn an_agent_that_waits_for_its_address_can_be_stopped() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let own = SocketAddrV4::new(Ipv4Addr::LOCALHOST, ports.subscriptions());
    let _taken = ControlNode::start(own).await;

    let run = serve::run(settings(ports, platform.address), std::future::ready(()));

    let ended = timeout(TIMEOUT, run).await.expect("the agent ends at once");
    ended.expect("the agent ends without an error");
}

/// The interim response to a request that waits for it before it sends its body.
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Guards against LOST: an operator's request was cut when the agent was stopped.
#[compio::test]
async fn an_agent_that_is_stopped_answers_the_operator_whose_request_is_arriving() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let mut settings = settings(ports, platform.address);
    let own_operator_address = operator_address(ports, 2);
    settings.control = Some(own_operator_address);
    let (stop, stopped) = futures_channel::oneshot::channel::<()>();
    // On a runtime of its own, with which all of its connections end.
    let agent = std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(serve::run(settings, async { stopped.await.unwrap_or(()) }))
    });
    let connect = async {
        loop {
            let connected = lockusher_transport::tcp::connect(own_operator_address, TIMEOUT);
            if let Ok(stream) = connected.await {
                return stream;
            }
        }
    };
    let mut operator = timeout(TIMEOUT, connect).await.expect("the agent listens");
    let head = "PUT /api/configuration HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n";
    operator.write_all(head).await.0.expect("the agent reads");
    // The agent has read the head once it asks for the body, which doesn't come.
    let asked = operator.read_exact(vec![0; CONTINUE.len()]).await;
    asked.0.expect("the agent asks for the body");
    assert_eq!(asked.1, CONTINUE.as_bytes());

    stop.send(()).expect("the agent runs");

    let (result, response) = operator.read_to_end(Vec::new()).await.into();
    result.expect("closed, not reset");
    let response = String::from_utf8(response).expect("text");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let ended = agent.join().expect("no panic");
    ended.expect("the agent ends without an error");
}
