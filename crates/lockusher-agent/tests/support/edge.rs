//! An edge machine on loopback: a control node's listener, a fake platform, the agent, and a proxy's feed.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use compio::time::timeout;
use hyper::StatusCode;
use lockusher_agent::serve;
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::Instance;
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::publisher::{Publisher, PublisherStatus};
use lockusher_distribution::revision::POLLER_REVISION_STEP;
use lockusher_distribution::serve::SharedPublisher;
use lockusher_distribution::subscribe::{self, Feed, FeedUpdate};
use lockusher_transport::clock::Clock;

use super::common::{identity, revision};

/// Timeout for a state to be reached; far longer than any takes.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A control node's listener.
pub struct ControlNode {
    publisher: Rc<SharedPublisher>,
    accepting: JoinHandle<()>,
}

impl ControlNode {
    pub async fn start(address: SocketAddrV4) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the address is free");
        let publisher = SharedPublisher::new(Publisher::new(1), Clock::start());
        let accepting = compio::runtime::spawn(lockusher_distribution::serve::accept(
            listener,
            Rc::clone(&publisher),
        ));
        ControlNode {
            publisher,
            accepting,
        }
    }

    pub fn publish_configuration(&self, configuration: Configuration) {
        self.publisher
            .update(|publisher| publisher.publish_configuration(Rc::new(configuration)));
    }

    /// Publishes the addresses of control nodes.
    pub fn publish_control_nodes(&self, control_nodes: Vec<SocketAddrV4>) {
        self.publisher
            .update(|publisher| publisher.set_control_nodes(control_nodes));
    }

    /// Publishes a list that counts as confirmed for the rest of the test.
    pub fn publish_list(&self, sequence: u64, instances: &[Instance]) {
        let instances = Rc::new(instances.to_vec());
        self.publisher.update(|publisher| {
            publisher.publish_list(revision(1, sequence * POLLER_REVISION_STEP), instances);
            publisher.set_status(PublisherStatus {
                list_confirmed_at_ms: Some(u64::MAX),
                calls_per_poll: 1,
                proxies: 1,
                in_view: true,
            });
        });
    }

    pub fn stop(self) {
        drop(self.accepting);
        self.publisher.close();
    }
}

/// A fake platform, which serves its instance list in pages of one entry.
pub struct Platform {
    pub address: SocketAddrV4,
    pub identifiers: Rc<RefCell<Vec<&'static str>>>,
    pub calls: Rc<Cell<u32>>,
    _server: lockusher_transport::http::Server,
}

impl Platform {
    pub async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a listener");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            panic!("IPv4")
        };
        let identifiers: Rc<RefCell<Vec<&'static str>>> = Rc::default();
        let calls: Rc<Cell<u32>> = Rc::default();
        let (listed, counted) = (Rc::clone(&identifiers), Rc::clone(&calls));
        let handler = move |request: hyper::Request<hyper::body::Incoming>| {
            counted.set(counted.get() + 1);
            let body = page(&listed.borrow(), request.uri().query());
            async move { lockusher_transport::http::answer(StatusCode::OK, "application/json", body) }
        };
        let _server = lockusher_transport::http::Server::start(listener, handler);
        Platform {
            address,
            identifiers,
            calls,
            _server,
        }
    }
}

fn page(identifiers: &[&str], query: Option<&str>) -> String {
    let position: usize = query
        .and_then(|query| query.strip_prefix("pageToken=p-"))
        .map_or(0, |number| number.parse().expect("a token"));
    let entry = |identifier: &&str| {
        format!(
            r#"{{"identifier":"{identifier}","service":"service","address":"10.0.0.1:80","zone":"zone","version":"v1","slots":4,"state":"ready","coldRemainingMs":0}}"#
        )
    };
    let entry: String = identifiers.get(position).map(entry).unwrap_or_default();
    let next = if position + 1 < identifiers.len() {
        format!("\"p-{}\"", position + 1)
    } else {
        "null".to_owned()
    };
    format!(r#"{{"instances":[{entry}],"nextToken":{next}}}"#)
}

/// Three consecutive ports that are free on all loopback addresses of a test, and are the same on all of its machines.
#[derive(Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Port at which control nodes and agents serve subscribers.
    pub fn subscriptions(self) -> u16 {
        self.first
    }

    /// Port for operators.
    fn operators(self) -> u16 {
        self.first + 1
    }

    /// Port for gossip between agents.
    pub fn agents(self) -> u16 {
        self.first + 2
    }
}

pub async fn free_ports() -> Ports {
    for _ in 0..100 {
        let first = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a listener");
        let port = first.local_addr().expect("an address").port();
        let all = |port: u16| {
            [1, 2, 3].map(|host| SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), port))
        };
        drop(first);
        let addresses = [all(port), all(port + 1), all(port + 2)].concat();
        if addresses
            .iter()
            .all(|address| std::net::TcpListener::bind(address).is_ok())
        {
            return Ports { first: port };
        }
    }
    panic!("no three consecutive ports are free");
}

/// An edge machine at 127.0.0.2 whose control node is at 127.0.0.3.
pub fn settings(ports: Ports, platform: SocketAddrV4) -> NodeSettings {
    settings_with_ports(ports.subscriptions(), ports.agents(), platform)
}

/// The settings of [`settings`], with any range of internal ports.
pub fn settings_with_ports(first: u16, last: u16, platform: SocketAddrV4) -> NodeSettings {
    let text = format!(
        "node=edge-1\nzone=zone\nipAddress=127.0.0.2\ninternalPorts={first},{last}\nseeds=127.0.0.3:1\ncloud.address={platform}\ncloud.ratePerS=2000\n"
    );
    NodeSettings::parse(&text).expect("settings")
}

/// Address for operators at the machine 127.0.0.`host`.
pub fn operator_address(ports: Ports, host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), ports.operators())
}

pub fn control_address(ports: Ports) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 3), ports.subscriptions())
}

pub fn start_agent(settings: &NodeSettings) -> JoinHandle<()> {
    let settings = settings.clone();
    compio::runtime::spawn(async move {
        serve::run(settings, std::future::pending())
            .await
            .expect("the agent runs");
    })
}

/// A proxy: the newest state that its feed has delivered.
pub struct Proxy {
    feed: Feed,
    configuration_version: u64,
    pub listed: Vec<String>,
    pub fleet_size: u32,
}

impl Proxy {
    pub fn start(ports: Ports) -> Self {
        let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, ports.subscriptions());
        let feed = subscribe::subscribe(agent, identity("proxy"), Clock::start(), 1);
        Proxy {
            feed,
            configuration_version: 0,
            listed: vec![],
            fleet_size: 0,
        }
    }

    async fn receive_update(&mut self) {
        match self.feed.next().await {
            FeedUpdate::Configuration(configuration) => {
                assert!(
                    configuration.version > self.configuration_version,
                    "the configuration version decreased"
                );
                self.configuration_version = configuration.version;
            }
            FeedUpdate::Instances { instances, .. } => {
                self.listed = instances
                    .iter()
                    .map(|entry| entry.identifier.clone())
                    .collect();
            }
            FeedUpdate::FleetSize(proxies) => self.fleet_size = proxies,
        }
    }

    /// Receives updates until the state is reached, in whatever order they arrive.
    pub async fn wait_until(&mut self, state: &str, reached: impl Fn(&Proxy) -> bool) {
        let wait = async {
            while !reached(self) {
                self.receive_update().await;
            }
        };
        timeout(TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("not reached in time: {state}"));
    }

    pub async fn wait_for_configuration(&mut self, version: u64) {
        let state = format!("configuration {version}");
        self.wait_until(&state, |proxy| proxy.configuration_version == version)
            .await;
    }

    pub async fn wait_for_list(&mut self, identifiers: &[&str]) {
        self.wait_until(&format!("list {identifiers:?}"), |proxy| {
            proxy.listed == identifiers
        })
        .await;
    }
}

/// Response to an operator's request.
#[derive(Debug, PartialEq)]
pub struct OperatorResponse {
    pub status: StatusCode,
    pub location: Option<String>,
}

/// Sends an operator's request with a body of 300,000 bytes.
pub async fn call_operator(address: SocketAddrV4) -> OperatorResponse {
    let stream = lockusher_transport::tcp::connect(address, TIMEOUT)
        .await
        .expect("a connection");
    let stream = cyper_core::HyperStream::new_plain(stream.into_poll_fd().expect("polled"));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
        .await
        .expect("a handshake");
    let _driver = compio::runtime::spawn(connection);
    let request = hyper::Request::builder()
        .method("PUT")
        .uri("/api/configuration?x=1")
        .header("host", address.to_string())
        .body(http_body_util::Full::<hyper::body::Bytes>::from(
            vec![b'x'; 300_000],
        ))
        .expect("a request");
    let response = sender.send_request(request).await.expect("a response");
    let location = response
        .headers()
        .get("location")
        .map(|value| value.to_str().expect("text").to_owned());
    OperatorResponse {
        status: response.status(),
        location,
    }
}
