//! Runs a proxy on loopback between a scripted client and scripted searchers, all on one thread. Each step waits for the
//! bytes or the close that it expects; there are no sleeps.
#![allow(dead_code, unused_imports)] // Each test file uses only a part of it.

mod deployment;
mod wire;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use futures_channel::{mpsc, oneshot};
use futures_util::future::{Either, select, select_all};
use lockusher_config::instances::{Instance, InstanceListRevision, InstanceState, Stage};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::subscribe::FeedUpdate;
use lockusher_proxy::ProxyError;
use lockusher_proxy::serve;
use socket2::{Domain, Socket, Type};

pub use deployment::configuration;
use deployment::settings;
pub use wire::{Connection, Ending, Head};

pub const HOST: &str = "desk.example";
/// A non-idempotent route to the plain service.
pub const ONCE: &str = "/once/";
/// An idempotent route to the plain service.
pub const REPEAT: &str = "/repeat/";
/// A streaming route that may not be resumed, to the engine.
pub const STREAM: &str = "/stream/";
/// A streaming route that may be resumed, to the engine.
pub const RESUME: &str = "/resume/";
const PLAIN: &str = "roster";
const ENGINE: &str = "model";

/// Timeout of a single step.
const STEP_LIMIT: Duration = Duration::from_secs(10);

/// Runs a test on its own runtime, with a timeout.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        compio::time::timeout(STEP_LIMIT * 2, test)
            .await
            .expect("the test hangs")
    })
}

/// A loopback address that no other running test uses.
fn unique_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id() % 60_000;
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::from(0x7f00_0000 | (process + 1) << 8 | next)
}

/// A running proxy, with the senders of its feed and its stop signal.
pub struct Proxy {
    address: Ipv4Addr,
    feed: mpsc::UnboundedSender<FeedUpdate>,
    stop: Option<oneshot::Sender<()>>,
    running: JoinHandle<Result<(), ProxyError>>,
}

impl Proxy {
    /// Starts a proxy without a configuration.
    pub fn unconfigured() -> Self {
        Self::with_settings(|_| {})
    }

    /// Starts a proxy without a configuration, with changed node settings.
    pub fn with_settings(change: impl FnOnce(&mut NodeSettings)) -> Self {
        let address = unique_address();
        let mut settings = settings(address, 2_000);
        change(&mut settings);
        let (feed, updates) = mpsc::unbounded();
        let (stop, stopped) = oneshot::channel::<()>();
        let stopped = async move {
            let _ = stopped.await;
        };
        let running = compio::runtime::spawn(serve::run(settings, updates, stopped));
        Proxy {
            address,
            feed,
            stop: Some(stop),
            running,
        }
    }

    /// Starts a proxy that is ready to serve these searchers.
    pub async fn serving(searchers: &[&Searcher]) -> Self {
        let proxy = Self::unconfigured();
        proxy.configure(searchers).await;
        proxy
    }

    /// Sends the proxy all updates that it needs to serve these searchers, and waits until it is ready.
    pub async fn configure(&self, searchers: &[&Searcher]) {
        self.send_update(FeedUpdate::Configuration(Rc::new(configuration(1))));
        self.update_instances(searchers);
        self.send_update(FeedUpdate::FleetSize(1));
        self.wait_until_ready().await;
    }

    pub fn send_update(&self, update: FeedUpdate) {
        self.feed
            .unbounded_send(update)
            .expect("the proxy takes updates");
    }

    /// Replaces the instance list.
    pub fn update_instances(&self, searchers: &[&Searcher]) {
        let list = searchers
            .iter()
            .map(|searcher| searcher.instance.clone())
            .collect();
        let revision = InstanceListRevision::default();
        self.send_update(FeedUpdate::Instances {
            revision,
            instances: Rc::new(list),
        });
    }

    /// Sends readiness probes until the response is 200.
    pub async fn wait_until_ready(&self) {
        while self.readiness_status().await != 200 {}
    }

    /// The status of the response to a readiness probe.
    pub async fn readiness_status(&self) -> u16 {
        let mut probe = Connection::connect(SocketAddrV4::new(self.address, 8_140)).await;
        probe
            .write(&format!(
                "GET /api/readiness HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
            ))
            .await;
        probe.read_head().await.status()
    }

    /// Opens a client connection.
    pub async fn client(&self) -> Connection {
        Connection::connect(SocketAddrV4::new(self.address, 8_144)).await
    }

    /// Sends the proxy the stop signal.
    pub fn stop(&mut self) {
        self.stop
            .take()
            .expect("stopped once")
            .send(())
            .expect("the proxy runs");
    }

    /// Waits until the proxy has shut down.
    pub async fn wait_for_exit(self) -> Result<(), ProxyError> {
        step(self.running).await.expect("the proxy does not panic")
    }
}

/// A searcher of a service that the test controls.
pub struct Searcher {
    pub instance: Instance,
    listener: TcpListener,
}

impl Searcher {
    pub async fn plain(identifier: &str) -> Self {
        Self::new(identifier, PLAIN, None).await
    }

    pub async fn prefill(identifier: &str) -> Self {
        Self::new(identifier, ENGINE, Some(Stage::Prefill)).await
    }

    pub async fn decode(identifier: &str) -> Self {
        Self::new(identifier, ENGINE, Some(Stage::Decode)).await
    }

    /// A plain searcher whose machine drops SYNs because its accept queue is full. The returned connections fill the queue
    /// and must be kept.
    pub async fn unresponsive(identifier: &str) -> (Self, Vec<std::net::TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        socket.bind(&any.into()).expect("an address is free");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let address = listener.local_addr().expect("it has an address");
        let connect =
            || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let backlog = std::iter::from_fn(connect).collect();
        (
            Self::with_listener(identifier, PLAIN, None, listener),
            backlog,
        )
    }

    async fn new(identifier: &str, service: &str, stage: Option<Stage>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a searcher listens");
        Self::with_listener(identifier, service, stage, listener)
    }

    fn with_listener(
        identifier: &str,
        service: &str,
        stage: Option<Stage>,
        listener: TcpListener,
    ) -> Self {
        let address = listener
            .local_addr()
            .expect("it has an address")
            .to_string();
        let instance = Instance {
            identifier: identifier.to_owned(),
            service: service.to_owned(),
            address,
            zone: "hall".to_owned(),
            version: "v1".to_owned(),
            slots: 8,
            state: InstanceState::Ready,
            warm_up_remaining_ms: 0,
            stage,
            models: Vec::new(),
        };
        Searcher { instance, listener }
    }

    /// Stops listening: connections are refused from now on.
    pub async fn close(self) {
        self.listener.close().await.expect("a listener closes");
    }

    /// Marks the searcher as draining in later instance lists.
    pub fn drain(&mut self) {
        self.instance.state = InstanceState::Draining;
    }

    /// Accepts the next connection of the proxy.
    pub async fn accept(&self) -> Connection {
        let (stream, _) = step(self.listener.accept())
            .await
            .expect("the proxy connects");
        Connection::new(stream)
    }
}

/// Accepts the first connection that the proxy opens to either of two searchers; returns it and the other searcher.
pub async fn accept_either<'a>(
    one: &'a Searcher,
    other: &'a Searcher,
) -> (Connection, &'a Searcher) {
    let accepts = (std::pin::pin!(one.accept()), std::pin::pin!(other.accept()));
    match select(accepts.0, accepts.1).await {
        Either::Left((connection, _)) => (connection, other),
        Either::Right((connection, _)) => (connection, one),
    }
}

/// Accepts the first connection that the proxy opens to any of these searchers.
pub async fn accept_any(searchers: &[Searcher]) -> Connection {
    let accepts = searchers.iter().map(|searcher| Box::pin(searcher.accept()));
    select_all(accepts).await.0
}

/// Waits for a step of the test, with a timeout.
async fn step<F: Future>(step: F) -> F::Output {
    compio::time::timeout(STEP_LIMIT, step)
        .await
        .expect("a step takes too long")
}
