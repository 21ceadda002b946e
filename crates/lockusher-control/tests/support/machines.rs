//! Control nodes in one process on loopback addresses, each with its own thread, runtime and data directory, and an
//! operator's calls to them.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cyper_core::HyperStream;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use lockusher_config::settings::NodeSettings;
use lockusher_control::serve;
use lockusher_transport::{
    http::{Answer, FullBody},
    tcp,
};
use serde_json::Value;
use tempfile::TempDir;

/// Time within which every awaited state is reached, also on a busy machine.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    operator: u16,
}

/// Three consecutive ports that are free on all of these addresses.
fn free_ports(hosts: &[Ipv4Addr]) -> Ports {
    for _ in 0..100 {
        let port = TcpListener::bind((hosts[0], 0)).and_then(|listener| listener.local_addr());
        let port = port.expect("a listener").port();
        if port > u16::MAX - 2 {
            continue;
        }
        let is_free = |host: &Ipv4Addr, port: u16| TcpListener::bind((*host, port)).is_ok();
        if hosts
            .iter()
            .all(|host| (port..=port + 2).all(|port| is_free(host, port)))
        {
            return Ports {
                internal: port,
                operator: port + 2,
            };
        }
    }
    panic!("no three consecutive ports are free");
}

/// A running control node.
struct Running {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// A machine with a control node.
pub struct Machine {
    /// Address of its operator API.
    pub operator: SocketAddrV4,
    settings: String,
    /// Its data directory.
    pub folder: TempDir,
    running: Option<Running>,
}

impl Machine {
    pub fn start(&mut self, first_start: bool) {
        let text = format!("{}firstStart={first_start}\n", self.settings);
        let settings = NodeSettings::parse(&text).expect("settings");
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            let options = serve::ControlOptions::default();
            let node = serve::run(settings, options, async { stopped.await.unwrap_or(()) });
            runtime.block_on(node).expect("the node runs");
        });
        self.running = Some(Running { stop, thread });
    }

    /// Stops the node as SIGTERM does, and waits for its exit.
    pub fn stop(&mut self) {
        let Running { stop, thread } = self.running.take().expect("a running node");
        stop.send(()).expect("the node still runs");
        thread.join().expect("the thread ends without a panic");
    }

    pub async fn status(&self) -> Value {
        let answer = call(self.operator, Method::GET, "/api/status", None, "").await;
        serde_json::from_slice(&answer.body).expect("JSON")
    }

    /// Reads the configuration; the response may be 503.
    pub async fn try_read(&self) -> Answer {
        call(self.operator, Method::GET, "/api/configuration", None, "").await
    }

    /// Reads the configuration, with retries while the response is 503, as an operator does.
    pub async fn read(&self) -> Answer {
        retry_while_unavailable(async || self.try_read().await).await
    }

    /// Puts a configuration, with retries while the response is 503, as an operator does; returns the final status.
    pub async fn put(&self, if_match: &str, body: &str) -> StatusCode {
        let put = async || {
            call(
                self.operator,
                Method::PUT,
                "/api/configuration",
                Some(if_match),
                body,
            )
            .await
        };
        retry_while_unavailable(put).await.status
    }

    /// Sends a patch, with retries while the response is 503, as an operator does.
    pub async fn patch(&self, if_match: &str, body: &Value) -> Answer {
        let body = body.to_string();
        let patch = async || {
            call(
                self.operator,
                Method::PATCH,
                "/api/configuration",
                Some(if_match),
                &body,
            )
            .await
        };
        retry_while_unavailable(patch).await
    }

    /// Polls the status until the state is reached.
    pub async fn wait_until(&self, state: &str, reached: impl Fn(&Value) -> bool) -> Value {
        let started = Instant::now();
        loop {
            let status = self.status().await;
            if reached(&status) {
                return status;
            }
            assert!(
                started.elapsed() < STATE_TIMEOUT,
                "{state} isn't reached: {status}"
            );
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(Running { stop, thread }) = self.running.take() {
            // A panic has already reported the failure.
            let _ = stop.send(());
            let _ = thread.join();
        }
    }
}

/// Machines at these addresses, all of them seeds. None is started.
pub fn machines(hosts: &[[u8; 4]]) -> Vec<Machine> {
    let hosts: Vec<Ipv4Addr> = hosts.iter().copied().map(Ipv4Addr::from).collect();
    let ports = free_ports(&hosts);
    let operator = |host: &Ipv4Addr| SocketAddrV4::new(*host, ports.operator);
    let seeds: Vec<String> = hosts
        .iter()
        .map(|host| operator(host).to_string())
        .collect();
    let machine = |host: &Ipv4Addr| {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = format!(
            "node=control-{host}\nzone=zone\nipAddress={host}\ninternalPorts={},{}\nseeds={}\n\
             cloud.address={host}:1\ncountsForQuorum=true\nlistenAddresses.control={}\ndataDirectory={}\n",
            ports.internal,
            ports.internal + 1,
            seeds.join(","),
            operator(host),
            folder.path().display(),
        );
        Machine {
            operator: operator(host),
            settings,
            folder,
            running: None,
        }
    };
    hosts.iter().map(machine).collect()
}

/// Repeats an attempt until its response isn't 503.
async fn retry_while_unavailable(attempt: impl AsyncFn() -> Answer) -> Answer {
    let started = Instant::now();
    loop {
        let answer = attempt().await;
        if answer.status != StatusCode::SERVICE_UNAVAILABLE {
            return answer;
        }
        assert!(started.elapsed() < STATE_TIMEOUT, "all responses were 503");
    }
}

pub async fn call(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    if_match: Option<&str>,
    body: &str,
) -> Answer {
    let started = Instant::now();
    loop {
        let attempt = try_call(address, &method, path, if_match, body);
        match compio::time::timeout(CALL_TIMEOUT, attempt).await {
            Ok(Some(answer)) => return answer,
            // The node isn't listening yet.
            Ok(None) | Err(_) => assert!(
                started.elapsed() < STATE_TIMEOUT,
                "{address} doesn't answer"
            ),
        }
    }
}

async fn try_call(
    address: SocketAddrV4,
    method: &Method,
    path: &str,
    if_match: Option<&str>,
    body: &str,
) -> Option<Answer> {
    let stream = tcp::connect(address, CALL_TIMEOUT).await.ok()?;
    let stream = HyperStream::new_plain(stream.into_poll_fd().ok()?);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await.ok()?;
    let _driver = compio::runtime::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    if let Some(version) = if_match {
        request = request.header("if-match", version);
    }
    let request = request
        .body(FullBody::from(body.to_owned()))
        .expect("a request");
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, body })
}
