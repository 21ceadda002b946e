//! The agent between a publisher and a proxy's feed, with a stand-in for the platform, all on loopback. Waits for
//! states, never for time.

#[path = "../../lockusher-distribution/tests/common/mod.rs"]
mod common;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use common::{configuration, identity, instance, revision};
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout;
use hyper::StatusCode;
use lockusher_agent::peers::configuration_fetch::fetch_configuration;
use lockusher_agent::peers::message::InstanceDeparture;
use lockusher_agent::peers::socket::PeerSocket;
use lockusher_agent::serve;
use lockusher_config::instances::Instance;
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::departures::Departure;
use lockusher_distribution::message::SubscriberIdentity;
use lockusher_distribution::publisher::{Publisher, PublisherStatus};
use lockusher_distribution::revision::POLLER_REVISION_STEP;
use lockusher_distribution::serve::SharedPublisher;
use lockusher_distribution::subscribe::{self, Feed, FeedUpdate};
use lockusher_transport::clock::Clock;

/// No state takes this long to come about.
const LIMIT: Duration = Duration::from_secs(30);

/// A control node's listener.
struct Control {
    shared: Rc<SharedPublisher>,
    accepting: JoinHandle<()>,
}

impl Control {
    async fn start(address: SocketAddrV4) -> Self {
        let listener = TcpListener::bind(address).await.expect("a listener");
        let shared = SharedPublisher::new(Publisher::new(1), Clock::start());
        let accepting =
            compio::runtime::spawn(lockusher_distribution::serve::accept(listener, Rc::clone(&shared)));
        Control { shared, accepting }
    }

    /// Publishes a list that a reader has just confirmed; it counts as confirmed for the rest of the test if `lasting`.
    fn publish_list(&self, sequence: u64, instances: &[Instance]) {
        let instances = Rc::new(instances.to_vec());
        self.shared.update(|publisher| {
            publisher.publish_list(revision(1, sequence * POLLER_REVISION_STEP), instances);
            publisher.set_status(PublisherStatus {
                list_confirmed_at_ms: Some(u64::MAX),
                calls_per_poll: 1,
                proxies: 1,
                in_view: true,
            });
        });
    }

    fn end(self) {
        drop(self.accepting);
        self.shared.close();
    }
}

/// The platform's list, in pages of one entry.
struct Platform {
    address: SocketAddrV4,
    identifiers: Rc<RefCell<Vec<&'static str>>>,
    calls: Rc<Cell<u32>>,
    _serving: JoinHandle<()>,
}

impl Platform {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else { panic!("IPv4") };
        let identifiers: Rc<RefCell<Vec<&'static str>>> = Rc::default();
        let calls: Rc<Cell<u32>> = Rc::default();
        let (listed, counted) = (Rc::clone(&identifiers), Rc::clone(&calls));
        let handler = move |request: hyper::Request<hyper::body::Incoming>| {
            counted.set(counted.get() + 1);
            let body = answer(&listed.borrow(), request.uri().query());
            async move { lockusher_transport::http::answer(StatusCode::OK, "application/json", body) }
        };
        let _serving = compio::runtime::spawn(lockusher_transport::http::serve(listener, handler));
        Platform { address, identifiers, calls, _serving }
    }
}

fn answer(identifiers: &[&str], query: Option<&str>) -> String {
    let position: usize = query
        .and_then(|query| query.strip_prefix("pageToken=p-"))
        .map_or(0, |number| number.parse().expect("a token"));
    let entry = |identifier: &&str| {
        format!(
            r#"{{"identifier":"{identifier}","service":"service","address":"10.0.0.1:80","zone":"zone","version":"v1","slots":4,"state":"ready","coldRemainingMs":0}}"#
        )
    };
    let entry: String = identifiers.get(position).map(entry).unwrap_or_default();
    let next =
        if position + 1 < identifiers.len() { format!("\"p-{}\"", position + 1) } else { "null".to_owned() };
    format!(r#"{{"instances":[{entry}],"nextToken":{next}}}"#)
}

/// The first and the last of three neighbouring ports that are free on all of loopback.
async fn free_ports() -> (u16, u16) {
    for _ in 0..100 {
        let first = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
        let port = first.local_addr().expect("an address").port();
        let all = |port: u16| [1, 2, 3].map(|host| SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), port));
        drop(first);
        let addresses = [all(port), all(port + 1), all(port + 2)].concat();
        if addresses.iter().all(|address| std::net::TcpListener::bind(address).is_ok()) {
            return (port, port + 2);
        }
    }
    panic!("no three neighbouring ports are free");
}

/// An edge machine at 127.0.0.2 whose control node is at 127.0.0.3.
fn settings(ports: (u16, u16), platform: SocketAddrV4) -> NodeSettings {
    let text = format!(
        "node=edge-1\nzone=zone\nipAddress=127.0.0.2\ninternalPorts={},{}\nseeds=127.0.0.3:1\ncloud.address={platform}\ncloud.ratePerS=2000\n",
        ports.0, ports.1
    );
    NodeSettings::parse(&text).expect("settings")
}

/// Where operators call at the edge machine and at the control node.
fn operator_address(ports: (u16, u16), host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), ports.0 + 1)
}

fn control_address(ports: (u16, u16)) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 3), ports.0)
}

fn start_agent(settings: &NodeSettings) -> JoinHandle<()> {
    let settings = settings.clone();
    compio::runtime::spawn(async move {
        serve::run(settings, std::future::pending()).await.expect("the agent runs");
    })
}

/// A proxy: the newest of each kind that its feed brought.
struct Proxy {
    feed: Feed,
    configuration_version: u64,
    listed: Vec<String>,
    fleet_size: u32,
}

impl Proxy {
    fn start(ports: (u16, u16)) -> Self {
        let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, ports.0);
        let feed = subscribe::subscribe(agent, identity("proxy"), Clock::start(), 1);
        Proxy { feed, configuration_version: 0, listed: vec![], fleet_size: 0 }
    }

    async fn take_update(&mut self) {
        match self.feed.next().await {
            FeedUpdate::Configuration(configuration) => {
                assert!(configuration.version > self.configuration_version, "a version went back");
                self.configuration_version = configuration.version;
            }
            FeedUpdate::Instances { instances, .. } => {
                self.listed = instances.iter().map(|entry| entry.identifier.clone()).collect();
            }
            FeedUpdate::FleetSize(proxies) => self.fleet_size = proxies,
        }
    }

    /// Takes updates until the state is reached, whatever the order in which they come.
    async fn wait_until(&mut self, state: &str, reached: impl Fn(&Proxy) -> bool) {
        let wait = async {
            while !reached(self) {
                self.take_update().await;
            }
        };
        timeout(LIMIT, wait).await.unwrap_or_else(|_| panic!("{state} doesn't come about"));
    }

    async fn wait_for_configuration(&mut self, version: u64) {
        let state = format!("configuration {version}");
        self.wait_until(&state, |proxy| proxy.configuration_version == version).await;
    }

    async fn wait_for_list(&mut self, identifiers: &[&str]) {
        self.wait_until(&format!("list {identifiers:?}"), |proxy| proxy.listed == identifiers).await;
    }
}

#[compio::test]
async fn a_proxy_is_fed_through_its_agent_over_restarts_of_both_ends() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let settings = settings(ports, platform.address);
    let mut proxy = Proxy::start(ports);
    let agent = start_agent(&settings);
    let control = Control::start(control_address(ports)).await;
    control.shared.update(|publisher| publisher.publish_configuration(Rc::new(configuration(3, &[(1, 1)]))));
    control.publish_list(1, &[instance("a")]);
    proxy.wait_for_configuration(3).await;
    proxy.wait_for_list(&["a"]).await;
    proxy.wait_until("the size of the fleet", |proxy| proxy.fleet_size == 1).await;

    // The control node restarts.
    control.end();
    let control = Control::start(control_address(ports)).await;
    control.shared.update(|publisher| publisher.publish_configuration(Rc::new(configuration(5, &[]))));
    control.publish_list(2, &[instance("a"), instance("b")]);
    proxy.wait_for_configuration(5).await;

    // The agent restarts; the proxy keeps what it has and gets what is newer.
    drop(agent);
    let _agent = start_agent(&settings);
    control.shared.update(|publisher| publisher.publish_configuration(Rc::new(configuration(6, &[]))));
    control.publish_list(3, &[instance("b")]);
    proxy.wait_for_configuration(6).await;
}

fn gone(identifier: &str) -> InstanceDeparture {
    InstanceDeparture { identifier: identifier.to_owned(), departure: Departure::Gone }
}

/// The second agent knows no control node; its peer has the configuration.
#[compio::test]
async fn an_agent_that_is_cut_off_gets_the_configuration_from_a_peer() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let control = Control::start(control_address(ports)).await;
    control.shared.update(|publisher| publisher.publish_configuration(Rc::new(configuration(8, &[(1, 1)]))));
    control.publish_list(1, &[instance("a")]);
    let fed = settings(ports, platform.address);
    let _fed = start_agent(&fed);
    let mut proxy = Proxy::start(ports);
    proxy.wait_for_configuration(8).await;

    let address = SocketAddrV4::new(fed.ip_address, ports.1);
    let partitioned = SubscriberIdentity { agent_address: None, ..identity("cut-off") };
    let fetched = fetch_configuration(address, partitioned, None, Clock::start()).await.expect("fetched");
    assert_eq!(*fetched, configuration(8, &[(1, 1)]));

    let own = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 4), ports.1);
    let peer = PeerSocket::bind(own, 1, Clock::start()).await.expect("a socket");
    peer.update(|gossip| gossip.introduce(&[address]));
    let _gossiping = compio::runtime::spawn(Rc::clone(&peer).run_gossip(|| true));
    let _receiving = compio::runtime::spawn(Rc::clone(&peer).receive(|_| ()));
    peer.update(|gossip| gossip.add_rumor(gone("a")));
    proxy.wait_for_list(&[]).await;
    let wait = async {
        loop {
            let seen = peer.received().generation();
            if peer.update(|gossip| gossip.take_due_fetch(u64::MAX)) == Some(address) {
                return;
            }
            peer.received().changed_since(seen).await;
        }
    };
    timeout(LIMIT, wait).await.expect("the peer's version is heard of");
}

#[compio::test]
async fn without_a_control_node_the_agent_reads_the_platforms_list_until_one_returns() {
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

    let control = Control::start(control_address(ports)).await;
    control.publish_list(1, &[instance("a"), instance("b"), instance("c"), instance("d")]);
    proxy.wait_for_list(&["a", "b", "c", "d"]).await;
}

/// An operator's call at an edge machine without a control node: its status and where it is sent on to.
async fn call_operator(address: SocketAddrV4) -> (StatusCode, Option<String>) {
    let stream = lockusher_transport::tcp::connect(address, LIMIT).await.expect("a connection");
    let stream = cyper_core::HyperStream::new_plain(stream.into_poll_fd().expect("polled"));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await.expect("a handshake");
    let _driver = compio::runtime::spawn(connection);
    let request = hyper::Request::builder()
        .method("PUT")
        .uri("/api/configuration?x=1")
        .header("host", address.to_string())
        .body(http_body_util::Full::<hyper::body::Bytes>::from(vec![b'x'; 300_000]))
        .expect("a request");
    let response = sender.send_request(request).await.expect("an answer");
    let location = response.headers().get("location").map(|value| value.to_str().expect("text").to_owned());
    (response.status(), location)
}

#[compio::test]
async fn operators_are_sent_on_to_the_control_node_that_the_agent_is_connected_to() {
    let ports = free_ports().await;
    let platform = Platform::start().await;
    let mut settings = settings(ports, platform.address);
    let here = operator_address(ports, 2);
    settings.control = Some(here);
    settings.data_directory = Some("/nowhere".into());
    let _agent = start_agent(&settings);
    let mut proxy = Proxy::start(ports);
    // Without a control node there is nowhere to go. The agent listens once it answers.
    let ready = async { while lockusher_transport::tcp::connect(here, LIMIT).await.is_err() {} };
    timeout(LIMIT, ready).await.expect("the agent listens");
    assert_eq!(call_operator(here).await, (StatusCode::SERVICE_UNAVAILABLE, None));

    let control = Control::start(control_address(ports)).await;
    control.shared.update(|publisher| publisher.publish_configuration(Rc::new(configuration(4, &[]))));
    proxy.wait_for_configuration(4).await;
    let there = operator_address(ports, 3);
    let expected = format!("http://{there}/api/configuration?x=1");
    assert_eq!(call_operator(here).await, (StatusCode::TEMPORARY_REDIRECT, Some(expected)));
}

#[compio::test]
async fn a_range_with_too_few_internal_ports_is_an_error() {
    let (first, _) = free_ports().await;
    let platform = Platform::start().await;
    let settings = settings((first, first + 1), platform.address);
    let error = serve::run(settings, std::future::pending()).await.expect_err("two ports are too few");
    assert_eq!(error.to_string(), "settings: internalPorts: expected 3 ports at least");
}
