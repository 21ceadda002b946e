//! Open-loop clients: each multiget leaves when it is due, whatever became of those before. Pushed back, some come
//! back when they are told to, others at once, others never.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::stand_in::{body, request_of};

/// How long clients of the lab wait, as `stand_in::request_of` says; and how much later an answer still counts as one.
pub const PATIENCE: Duration = Duration::from_millis(4_000);
pub const LOST_AFTER: Duration = Duration::from_millis(500);

/// What a multiget came to.
#[derive(Clone, Debug)]
pub enum End {
    /// Whether it was marked whole, and each shard's value.
    Answered(bool, Vec<(u64, String)>),
    PushedBack(Option<Duration>),
    Failed(u16),
    /// The connection ended first, or could not be had.
    Broken,
    /// Nothing came.
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Done {
    pub id: String,
    pub mixer: usize,
    pub once: bool,
    pub shards: Vec<usize>,
    pub asked: Instant,
    pub ended: Instant,
    pub end: End,
}

/// Where a mixer's clients find it now, and connections that are unused.
pub struct Door {
    pub address: Mutex<Option<SocketAddr>>,
    unused: Mutex<Vec<BufReader<TcpStream>>>,
}

impl Default for Door {
    fn default() -> Self {
        Door {
            address: Mutex::new(None),
            unused: Mutex::default(),
        }
    }
}

impl Door {
    /// From now on it is elsewhere, or nowhere.
    pub fn moves(&self, address: Option<SocketAddr>) {
        *self.address.lock().unwrap() = address;
        self.unused.lock().unwrap().clear();
    }

    /// One request and its answer. A close between two requests may cross the second: then it is sent once more, on a
    /// new connection.
    async fn exchange(&self, bytes: &[u8]) -> Option<Answer> {
        let unused = self.unused.lock().unwrap().pop();
        if let Some(mut stream) = unused {
            let _ = stream.write_all(bytes).await;
            if matches!(stream.fill_buf().await, Ok(read) if !read.is_empty()) {
                return self.answered(stream).await;
            }
        }
        let address = (*self.address.lock().unwrap())?;
        let mut stream = BufReader::new(TcpStream::connect(address).await.ok()?);
        let _ = stream.get_ref().set_nodelay(true);
        stream.write_all(bytes).await.ok()?;
        self.answered(stream).await
    }

    async fn answered(&self, mut stream: BufReader<TcpStream>) -> Option<Answer> {
        let answer = read_answer(&mut stream).await?;
        let peer = stream.get_ref().peer_addr().ok();
        if peer.is_some() && peer == *self.address.lock().unwrap() {
            self.unused.lock().unwrap().push(stream);
        }
        Some(answer)
    }

    /// A page of the mixer's, as JSON; nothing if it does not answer in time.
    pub async fn page(&self, path: &str) -> Option<Value> {
        let address = (*self.address.lock().unwrap())?;
        let asked = async {
            let mut stream = BufReader::new(TcpStream::connect(address).await.ok()?);
            let line = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
            stream.write_all(line.as_bytes()).await.ok()?;
            let (_, _, body) = read_answer(&mut stream).await?;
            serde_json::from_str(&body).ok()
        };
        tokio::time::timeout(Duration::from_millis(1_000), asked)
            .await
            .ok()?
    }
}

/// Status, when to come back, and body.
type Answer = (u16, Option<Duration>, String);

async fn read_answer(stream: &mut BufReader<TcpStream>) -> Option<Answer> {
    let (mut status, mut length, mut back) = (None, 0, None);
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
                return Some((status, back, String::from_utf8(body).ok()?));
            }
            (_, Some((name, value))) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().ok()?;
            }
            (_, Some((name, value))) if name.eq_ignore_ascii_case("retry-after") => {
                back = value
                    .trim()
                    .parse::<f64>()
                    .ok()
                    .map(Duration::from_secs_f64);
            }
            _ => {}
        }
    }
}

/// How a load comes.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Multigets a second at one mixer, and parts of each.
    pub rate: f64,
    pub width: usize,
    pub shards: usize,
    /// Shares that are non-retriable, that come back as told, and that come back at once.
    pub once: f64,
    pub back: f64,
    pub rude: f64,
}

pub struct Clients {
    pub doors: Vec<Arc<Door>>,
    pub done: Mutex<Vec<Done>>,
    rate: Mutex<f64>,
}

impl Clients {
    /// Clients of as many mixers; the load goes on as long as the runtime does, or until its rate is 0.
    pub fn start(mixers: usize, load: Load, seed: u64) -> Arc<Self> {
        let doors = (0..mixers).map(|_| Arc::default()).collect();
        let clients = Arc::new(Clients {
            doors,
            done: Mutex::default(),
            rate: Mutex::new(load.rate),
        });
        for mixer in 0..mixers {
            let (this, rng) = (
                clients.clone(),
                ChaCha8Rng::seed_from_u64(seed ^ (mixer as u64 + 1) << 20),
            );
            tokio::spawn(async move { this.keeps_asking(mixer, load, rng).await });
        }
        clients
    }

    /// From now on so many a second come to each mixer.
    pub fn rate(&self, rate: f64) {
        *self.rate.lock().unwrap() = rate;
    }

    async fn keeps_asking(self: Arc<Self>, mixer: usize, load: Load, mut rng: ChaCha8Rng) {
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
            let (once, manners) = (rng.random::<f64>() < load.once, rng.random::<f64>());
            let this = self.clone();
            tokio::spawn(async move {
                this.asks(
                    mixer,
                    format!("m{mixer}n{number}"),
                    shards,
                    once,
                    manners,
                    load,
                )
                .await;
            });
        }
    }

    /// One multiget, and its further tries if it is pushed back.
    async fn asks(
        &self,
        mixer: usize,
        id: String,
        mut shards: Vec<usize>,
        once: bool,
        manners: f64,
        load: Load,
    ) {
        shards.sort_unstable();
        shards.dedup();
        for again in 0..3 {
            let id = format!("{id}t{again}");
            let (asked, op_type) = (Instant::now(), if once { "once" } else { "look" });
            let bytes = request_of(op_type, &id, &body(&shards));
            let exchanged = self.doors[mixer].exchange(&bytes);
            let end = match tokio::time::timeout(PATIENCE + LOST_AFTER, exchanged).await {
                Err(_) => End::Nothing,
                Ok(None) => End::Broken,
                Ok(Some((200, _, body))) => answered(&body),
                Ok(Some((429 | 503, back, _))) => End::PushedBack(back),
                Ok(Some((status, ..))) => End::Failed(status),
            };
            let told = match &end {
                End::PushedBack(told) => *told,
                _ => None,
            };
            let came_back = matches!(end, End::PushedBack(_)) && manners < load.back + load.rude;
            let (shards, ended) = (shards.clone(), Instant::now());
            self.done.lock().unwrap().push(Done {
                id,
                mixer,
                once,
                shards,
                asked,
                ended,
                end,
            });
            if !came_back {
                return;
            }
            if manners < load.back {
                tokio::time::sleep(told.unwrap_or(Duration::from_millis(200))).await;
            }
        }
    }
}

fn answered(body: &str) -> End {
    let read: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    let values = read["answers"].as_array().into_iter().flatten();
    let value = |hit: &Value| Some((hit["range"].as_u64()?, hit["blob"].as_str()?.to_owned()));
    match (
        read["total"].as_bool(),
        values.map(value).collect::<Option<Vec<_>>>(),
    ) {
        (Some(whole), Some(values)) => End::Answered(whole, values),
        _ => End::Failed(200),
    }
}
