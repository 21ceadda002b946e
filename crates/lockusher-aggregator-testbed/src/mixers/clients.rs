//! Open-loop clients: each multiget is sent on schedule, whatever the outcome of earlier ones. A rejected multiget is
//! retried after its `Retry-After`, retried at once, or not retried, by shares of the load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::stand_in::{body, request_of};

/// The deadline that `stand_in::request_of` puts on a request.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long after its deadline a request is still waited for before it counts as unanswered.
pub const TIMEOUT_GRACE: Duration = Duration::from_millis(500);

/// The outcome of one attempt of a multiget, as its client observed it.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer: whether it was marked complete, and the value of each shard in it.
    Answered(bool, Vec<(u64, String)>),
    /// Rejected with status 429 or 503, with the `Retry-After` if there was one.
    Rejected(Option<Duration>),
    /// Another status, or 200 with a body that cannot be parsed.
    Failed(u16),
    /// The connection was closed before an answer, or could not be established.
    ConnectionLost,
    /// No answer within `CLIENT_TIMEOUT + TIMEOUT_GRACE`.
    TimedOut,
}

/// One attempt of a multiget, with its times and outcome.
#[derive(Clone, Debug)]
pub struct FinishedMultiget {
    pub id: String,
    pub mixer: usize,
    pub non_retriable: bool,
    pub shards: Vec<usize>,
    pub sent_at: Instant,
    pub finished_at: Instant,
    pub outcome: Outcome,
}

/// The current address of a mixer, and its clients' idle connections.
pub struct MixerEndpoint {
    /// `None` while the mixer does not run.
    pub address: Mutex<Option<SocketAddr>>,
    idle: Mutex<Vec<BufReader<TcpStream>>>,
}

impl Default for MixerEndpoint {
    fn default() -> Self {
        MixerEndpoint {
            address: Mutex::new(None),
            idle: Mutex::default(),
        }
    }
}

impl MixerEndpoint {
    /// Sets the address and discards idle connections.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        *self.address.lock().unwrap() = address;
        self.idle.lock().unwrap().clear();
    }

    /// Sends one request and reads the response. If the mixer closed an idle connection before the request reached it,
    /// the request is sent once more, on a new connection.
    async fn exchange(&self, request: &[u8]) -> Option<Response> {
        let idle = self.idle.lock().unwrap().pop();
        if let Some(mut stream) = idle {
            let _ = stream.write_all(request).await;
            if matches!(stream.fill_buf().await, Ok(read) if !read.is_empty()) {
                return self.read_and_release(stream).await;
            }
        }
        let address = (*self.address.lock().unwrap())?;
        let mut stream = BufReader::new(TcpStream::connect(address).await.ok()?);
        let _ = stream.get_ref().set_nodelay(true);
        stream.write_all(request).await.ok()?;
        self.read_and_release(stream).await
    }

    /// Reads a response, then returns the connection to the idle ones if the mixer has not moved.
    async fn read_and_release(&self, mut stream: BufReader<TcpStream>) -> Option<Response> {
        let response = read_response(&mut stream).await?;
        let peer = stream.get_ref().peer_addr().ok();
        if peer.is_some() && peer == *self.address.lock().unwrap() {
            self.idle.lock().unwrap().push(stream);
        }
        Some(response)
    }

    /// Gets a path of the mixer as JSON; `None` if it does not answer within a second.
    pub async fn get_json(&self, path: &str) -> Option<Value> {
        let address = (*self.address.lock().unwrap())?;
        let request = async {
            let mut stream = BufReader::new(TcpStream::connect(address).await.ok()?);
            let line = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
            stream.write_all(line.as_bytes()).await.ok()?;
            let (_, _, body) = read_response(&mut stream).await?;
            serde_json::from_str(&body).ok()
        };
        tokio::time::timeout(Duration::from_millis(1_000), request)
            .await
            .ok()?
    }
}

/// Status, `Retry-After` and body.
type Response = (u16, Option<Duration>, String);

async fn read_response(stream: &mut BufReader<TcpStream>) -> Option<Response> {
    let (mut status, mut length, mut retry_after) = (None, 0, None);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        match (status, line.split_once(':')) {
            (None, _) => status = Some(line.split(' ').nth(1)?.parse().ok()?),
            (Some(status), None) => {
                let mut body = vec![0; length];
                stream.read_exact(&mut body).await.ok()?;
                return Some((status, retry_after, String::from_utf8(body).ok()?));
            }
            (_, Some((name, value))) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().ok()?;
            }
            (_, Some((name, value))) if name.eq_ignore_ascii_case("retry-after") => {
                retry_after = value
                    .trim()
                    .parse::<f64>()
                    .ok()
                    .map(Duration::from_secs_f64);
            }
            _ => {}
        }
    }
}

/// The load on each mixer.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Multigets a second at one mixer.
    pub rate: f64,
    /// Parts of each multiget.
    pub width: usize,
    /// Shards from which the parts are drawn.
    pub shards: usize,
    /// The share of non-retriable multigets.
    pub non_retriable_share: f64,
    /// The share that is retried after `Retry-After` when rejected.
    pub honors_retry_after_share: f64,
    /// The share that is retried at once when rejected.
    pub immediate_retry_share: f64,
}

/// The clients of all mixers, and a log of their finished attempts.
pub struct Clients {
    pub endpoints: Vec<Arc<MixerEndpoint>>,
    pub finished: Mutex<Vec<FinishedMultiget>>,
    rate: Mutex<f64>,
}

impl Clients {
    /// Starts the clients of all mixers. The load lasts as long as the runtime and pauses while its rate is 0.
    pub fn start(mixers: usize, load: Load, seed: u64) -> Arc<Self> {
        let endpoints = (0..mixers).map(|_| Arc::default()).collect();
        let clients = Arc::new(Clients {
            endpoints,
            finished: Mutex::default(),
            rate: Mutex::new(load.rate),
        });
        for mixer in 0..mixers {
            let (this, rng) = (
                clients.clone(),
                ChaCha8Rng::seed_from_u64(seed ^ (mixer as u64 + 1) << 20),
            );
            tokio::spawn(async move { this.run_load(mixer, load, rng).await });
        }
        clients
    }

    /// Sets the multigets a second at each mixer.
    pub fn set_rate(&self, rate: f64) {
        *self.rate.lock().unwrap() = rate;
    }

    /// Sends multigets to one mixer at exponentially distributed intervals.
    async fn run_load(self: Arc<Self>, mixer: usize, load: Load, mut rng: ChaCha8Rng) {
        let (mut due, mut number) = (Instant::now(), 0_u64);
        loop {
            let rate = *self.rate.lock().unwrap();
            if rate <= 0.0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
                due = Instant::now();
                continue;
            }
            due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            tokio::time::sleep_until(due.into()).await;
            number += 1;
            let first = rng.random_range(0..load.shards);
            let shards = (0..load.width)
                .map(|nth| (first + nth * 7) % load.shards)
                .collect();
            let (non_retriable, retry_draw) = (
                rng.random::<f64>() < load.non_retriable_share,
                rng.random::<f64>(),
            );
            let this = self.clone();
            tokio::spawn(async move {
                this.send_with_retries(
                    mixer,
                    format!("m{mixer}n{number}"),
                    shards,
                    non_retriable,
                    retry_draw,
                    load,
                )
                .await;
            });
        }
    }

    /// Sends one multiget, and retries it up to twice if it is rejected.
    async fn send_with_retries(
        &self,
        mixer: usize,
        id: String,
        mut shards: Vec<usize>,
        non_retriable: bool,
        retry_draw: f64,
        load: Load,
    ) {
        shards.sort_unstable();
        shards.dedup();
        for attempt in 0..3 {
            let id = format!("{id}t{attempt}");
            let (sent_at, op_type) = (Instant::now(), if non_retriable { "once" } else { "look" });
            let request = request_of(op_type, &id, &body(&shards));
            let exchange = self.endpoints[mixer].exchange(&request);
            let outcome = match tokio::time::timeout(CLIENT_TIMEOUT + TIMEOUT_GRACE, exchange).await
            {
                Err(_) => Outcome::TimedOut,
                Ok(None) => Outcome::ConnectionLost,
                Ok(Some((200, _, body))) => parse_answer(&body),
                Ok(Some((429 | 503, retry_after, _))) => Outcome::Rejected(retry_after),
                Ok(Some((status, ..))) => Outcome::Failed(status),
            };
            let retry_after = match &outcome {
                Outcome::Rejected(retry_after) => *retry_after,
                _ => None,
            };
            let retries = matches!(outcome, Outcome::Rejected(_))
                && retry_draw < load.honors_retry_after_share + load.immediate_retry_share;
            let (shards, finished_at) = (shards.clone(), Instant::now());
            self.finished.lock().unwrap().push(FinishedMultiget {
                id,
                mixer,
                non_retriable,
                shards,
                sent_at,
                finished_at,
                outcome,
            });
            if !retries {
                return;
            }
            if retry_draw < load.honors_retry_after_share {
                tokio::time::sleep(retry_after.unwrap_or(Duration::from_millis(200))).await;
            }
        }
    }
}

/// Parses the body of a 200 response.
fn parse_answer(body: &str) -> Outcome {
    let read: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    let hits = read["answers"].as_array().into_iter().flatten();
    let value = |hit: &Value| Some((hit["range"].as_u64()?, hit["blob"].as_str()?.to_owned()));
    match (
        read["total"].as_bool(),
        hits.map(value).collect::<Option<Vec<_>>>(),
    ) {
        (Some(complete), Some(hits)) => Outcome::Answered(complete, hits),
        _ => Outcome::Failed(200),
    }
}
