//! Simulated searchers: cores, a bounded queue, service times drawn from a seed, a slow start after a cold restart and
//! a crash on overload while warming up; draining, and answers that are late, wrong or missing. Each logs the parts
//! that it receives.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::stand_in::{PartRequest, frame, parts};

/// How a searcher behaves; each share is of the parts that it accepts.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    /// The mean service time of a part when warm.
    pub mean_service_time: Duration,
    /// Parts in flight, beyond which further ones are rejected.
    pub queue_limit: usize,
    /// It rejects all parts.
    pub draining: bool,
    /// New connections are closed at once, and open ones end.
    pub is_down: bool,
    /// When it started cold, if it did.
    pub cold_since: Option<Instant>,
    /// The share of parts answered `LATE_DELAY` later.
    pub late_share: f64,
    /// The share of parts answered with a wrong value.
    pub wrong_share: f64,
    /// The share of parts not answered.
    pub missing_share: f64,
    /// It reads parts and health checks and answers none, as a machine that hangs.
    pub unresponsive: bool,
}

/// The capacity right after a cold start, as in `stand_in::settings`.
const COLD_CAPACITY: f64 = 0.2;
/// The time from a cold start to full capacity, as in `stand_in::settings`.
const WARM_UP_TIME: Duration = Duration::from_secs(9);
/// The additional delay of a late answer.
const LATE_DELAY: Duration = Duration::from_millis(400);

impl Behavior {
    /// The share of full capacity at this time: it rises linearly from `COLD_CAPACITY` over `WARM_UP_TIME`.
    fn capacity(&self, now: Instant) -> f64 {
        let since = self
            .cold_since
            .map(|since| now.saturating_duration_since(since));
        let elapsed_share = since.map_or(1.0, |since| {
            since.as_secs_f64() / WARM_UP_TIME.as_secs_f64()
        });
        (COLD_CAPACITY + (1.0 - COLD_CAPACITY) * elapsed_share).min(1.0)
    }
}

/// The outcome of a part that a searcher received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// Rejected: the searcher was draining or its queue was full.
    Rejected,
    /// Executed, whether or not it was answered.
    Executed,
    /// Neither executed nor answered, since the searcher hung.
    Unanswered,
}

/// One part as a searcher received it.
#[derive(Clone, Debug)]
pub struct ReceivedPart {
    pub part: String,
    pub received_at: Instant,
    pub outcome: PartOutcome,
    /// The value in the answer, if there was one.
    pub value: Option<String>,
    /// Whether the searcher was warming up when it received the part.
    pub cold: bool,
}

/// A simulated searcher.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    behavior: Mutex<Behavior>,
    cores: Semaphore,
    queued: Mutex<usize>,
    log: Mutex<Vec<ReceivedPart>>,
    health_checks: Mutex<Vec<Instant>>,
    /// Crashes because the queue was full during warm-up.
    pub overload_crashes: Mutex<u64>,
    disconnects: watch::Sender<u64>,
    rng: Mutex<ChaCha8Rng>,
}

impl Worker {
    /// Starts a warm searcher with these cores and this mean service time.
    pub async fn start(
        name: &str,
        cores: usize,
        mean_service_time: Duration,
        seed: u64,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let behavior = Behavior {
            mean_service_time,
            queue_limit: cores * 16,
            draining: false,
            is_down: false,
            cold_since: None,
            late_share: 0.0,
            wrong_share: 0.0,
            missing_share: 0.0,
            unresponsive: false,
        };
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            address: listener.local_addr()?,
            behavior: Mutex::new(behavior),
            cores: Semaphore::new(cores),
            queued: Mutex::new(0),
            log: Mutex::default(),
            health_checks: Mutex::default(),
            overload_crashes: Mutex::new(0),
            disconnects: watch::channel(0).0,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        });
        let this = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if this.behavior().is_down {
                    continue; // Closes the connection.
                }
                let this = this.clone();
                tokio::spawn(async move {
                    let mut disconnected = this.disconnects.subscribe();
                    tokio::select! {
                        () = this.clone().serve(stream) => {}
                        _ = disconnected.changed() => {}
                    }
                });
            }
        });
        Ok(worker)
    }

    /// The current behavior.
    pub fn behavior(&self) -> Behavior {
        *self.behavior.lock().unwrap()
    }

    /// Changes the behavior.
    pub fn set_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.behavior.lock().unwrap());
    }

    /// Simulates the end of the process; `restart_cold` starts it again.
    pub fn crash(&self) {
        self.set_behavior(|behavior| behavior.is_down = true);
        self.drop_connections();
    }

    /// Starts the searcher again, cold.
    pub fn restart_cold(&self) {
        self.set_behavior(|behavior| {
            (behavior.is_down, behavior.draining, behavior.cold_since) =
                (false, false, Some(Instant::now()));
            behavior.unresponsive = false;
        });
    }

    /// Closes all connections; the searcher continues.
    pub fn drop_connections(&self) {
        self.disconnects
            .send_modify(|disconnects| *disconnects += 1);
    }

    /// The times of all health checks received.
    pub fn health_check_times(&self) -> Vec<Instant> {
        self.health_checks.lock().unwrap().clone()
    }

    /// All parts received.
    pub fn log(&self) -> Vec<ReceivedPart> {
        self.log.lock().unwrap().clone()
    }

    fn record(&self, part: &PartRequest, outcome: PartOutcome, value: Option<String>) {
        let (part, received_at) = (part.id.clone(), part.at);
        let cold = self.behavior().capacity(received_at) < 1.0;
        self.log.lock().unwrap().push(ReceivedPart {
            part,
            received_at,
            outcome,
            value,
            cold,
        });
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let (out, mut answers) = mpsc::unbounded_channel::<Vec<u8>>();
        let write_answers = async {
            while let Some(bytes) = answers.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        let read_frames = async {
            while let Some((frame_type, payload)) = next_frame(&mut read).await {
                match frame_type {
                    b'm' => parts(&payload)
                        .into_iter()
                        .for_each(|part| self.clone().accept_part(part, &out)),
                    b'o' if payload.is_empty() => {
                        self.health_checks.lock().unwrap().push(Instant::now());
                        if !self.behavior().unresponsive {
                            let _ = out.send(frame(b'o', b"good"));
                        }
                    }
                    _ => {}
                }
            }
        };
        tokio::select! {
            () = write_answers => {}
            () = read_frames => {}
        }
    }

    fn accept_part(self: Arc<Self>, part: PartRequest, out: &mpsc::UnboundedSender<Vec<u8>>) {
        let (behavior, now) = (self.behavior(), Instant::now());
        if behavior.unresponsive {
            return self.record(&part, PartOutcome::Unanswered, None);
        }
        let full = {
            let mut queued = self.queued.lock().unwrap();
            let full = *queued >= behavior.queue_limit;
            *queued += usize::from(!full && !behavior.draining);
            full
        };
        if full && behavior.capacity(now) < 1.0 {
            // Overload during warm-up: the searcher crashes and restarts cold.
            *self.overload_crashes.lock().unwrap() += 1;
            self.restart_cold();
            self.disconnects
                .send_modify(|disconnects| *disconnects += 1);
        }
        if full || behavior.draining {
            self.record(&part, PartOutcome::Rejected, None);
            let _ = out.send(answer(&part, "later", ""));
            return;
        }
        let (work, draw): (f64, f64) = {
            let mut rng = self.rng.lock().unwrap();
            (-(1.0 - rng.random::<f64>()).ln(), rng.random())
        };
        let out = out.clone();
        tokio::spawn(async move {
            {
                let _core = self.cores.acquire().await;
                tokio::time::sleep(
                    behavior
                        .mean_service_time
                        .mul_f64(work.min(6.0) / behavior.capacity(now)),
                )
                .await;
            }
            *self.queued.lock().unwrap() -= 1;
            let correct_value = format!("v{}", part.id);
            let (late_below, wrong_below) = (
                behavior.late_share,
                behavior.late_share + behavior.wrong_share,
            );
            let value = match draw {
                draw if draw < late_below => {
                    tokio::time::sleep(LATE_DELAY).await;
                    Some(correct_value)
                }
                draw if draw < wrong_below => Some(format!("w{}", part.id)),
                draw if draw < wrong_below + behavior.missing_share => None,
                _ => Some(correct_value),
            };
            self.record(&part, PartOutcome::Executed, value.clone());
            if let Some(value) = value {
                let _ = out.send(answer(&part, "good", &value));
            }
        });
    }
}

fn answer(part: &PartRequest, status: &str, value: &str) -> Vec<u8> {
    frame(
        b'q',
        format!(
            "{} {status} {} -\n{value}",
            part.id,
            1_000_i64 - part.shard as i64
        )
        .as_bytes(),
    )
}

async fn next_frame(read: &mut OwnedReadHalf) -> Option<(u8, Vec<u8>)> {
    let length = read.read_u32().await.ok()? as usize;
    let mut bytes = vec![0; length.min(1 << 20)];
    read.read_exact(&mut bytes).await.ok()?;
    let payload = bytes.split_off(1);
    Some((bytes[0], payload))
}
