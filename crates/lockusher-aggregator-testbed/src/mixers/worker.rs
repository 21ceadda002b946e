//! Searchers with work to do: cores, a queue with a limit, times drawn from a seed, warming up from cold and falling
//! over when pushed while cold; draining, and answers that are late, wrong or missing. Each notes what came to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::stand_in::{Seen, frame, parts};

/// How a searcher is; every share is of the parts that it takes.
#[derive(Clone, Copy, Debug)]
pub struct Temper {
    pub mean: Duration,
    pub queue: usize,
    pub drains: bool,
    /// Nothing comes up to it, and what is up ends.
    pub down: bool,
    /// When it started cold, if it did.
    pub cold_since: Option<Instant>,
    pub late: f64,
    pub wrong: f64,
    pub missing: f64,
    /// It takes what comes and says nothing, as a machine that hangs.
    pub hangs: bool,
}

/// While cold it does this share of its work, and is warm after `RAMP`: the settings of `stand_in::settings`.
const COLD_FROM: f64 = 0.2;
const RAMP: Duration = Duration::from_secs(9);
/// A late answer comes after this much more.
const LATE: Duration = Duration::from_millis(400);

impl Temper {
    fn warmth(&self, now: Instant) -> f64 {
        let since = self
            .cold_since
            .map(|since| now.saturating_duration_since(since));
        let gone = since.map_or(1.0, |since| since.as_secs_f64() / RAMP.as_secs_f64());
        (COLD_FROM + (1.0 - COLD_FROM) * gone).min(1.0)
    }
}

/// What became of a part that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    TurnedAway,
    Ran,
    /// It hung, or answered nothing.
    Swallowed,
}

#[derive(Clone, Debug)]
pub struct Came {
    pub part: String,
    pub at: Instant,
    pub did: Did,
    /// The value that it was answered with, if any.
    pub value: Option<String>,
    /// Whether the searcher was cold then.
    pub cold: bool,
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    temper: Mutex<Temper>,
    cores: Semaphore,
    waiting: Mutex<usize>,
    log: Mutex<Vec<Came>>,
    probes: Mutex<Vec<Instant>>,
    pub fell: Mutex<u64>,
    breaks: watch::Sender<u64>,
    rng: Mutex<ChaCha8Rng>,
}

impl Worker {
    pub async fn start(
        name: &str,
        cores: usize,
        mean: Duration,
        seed: u64,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let temper = Temper {
            mean,
            queue: cores * 16,
            drains: false,
            down: false,
            cold_since: None,
            late: 0.0,
            wrong: 0.0,
            missing: 0.0,
            hangs: false,
        };
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            address: listener.local_addr()?,
            temper: Mutex::new(temper),
            cores: Semaphore::new(cores),
            waiting: Mutex::new(0),
            log: Mutex::default(),
            probes: Mutex::default(),
            fell: Mutex::new(0),
            breaks: watch::channel(0).0,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        });
        let this = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if this.temper().down {
                    continue; // Closed at once.
                }
                let this = this.clone();
                tokio::spawn(async move {
                    let mut broken = this.breaks.subscribe();
                    tokio::select! {
                        () = this.clone().serve(stream) => {}
                        _ = broken.changed() => {}
                    }
                });
            }
        });
        Ok(worker)
    }

    pub fn temper(&self) -> Temper {
        *self.temper.lock().unwrap()
    }

    pub fn set(&self, what: impl FnOnce(&mut Temper)) {
        what(&mut self.temper.lock().unwrap());
    }

    /// Its process ends; `up` starts it again, cold.
    pub fn down(&self) {
        self.set(|temper| temper.down = true);
        self.break_off();
    }

    pub fn up(&self) {
        self.set(|temper| {
            (temper.down, temper.drains, temper.cold_since) = (false, false, Some(Instant::now()));
            temper.hangs = false;
        });
    }

    /// All its connections end; it goes on.
    pub fn break_off(&self) {
        self.breaks.send_modify(|breaks| *breaks += 1);
    }

    /// When it was asked how it is.
    pub fn probed(&self) -> Vec<Instant> {
        self.probes.lock().unwrap().clone()
    }

    pub fn log(&self) -> Vec<Came> {
        self.log.lock().unwrap().clone()
    }

    fn note(&self, seen: &Seen, did: Did, value: Option<String>) {
        let (part, at) = (seen.id.clone(), seen.at);
        let cold = self.temper().warmth(at) < 1.0;
        self.log.lock().unwrap().push(Came {
            part,
            at,
            did,
            value,
            cold,
        });
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let (out, mut answers) = mpsc::unbounded_channel::<Vec<u8>>();
        let written = async {
            while let Some(bytes) = answers.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        let heard = async {
            while let Some((letter, rest)) = next_frame(&mut read).await {
                match letter {
                    b'm' => parts(&rest)
                        .into_iter()
                        .for_each(|part| self.clone().takes(part, &out)),
                    b'o' if rest.is_empty() => {
                        self.probes.lock().unwrap().push(Instant::now());
                        if !self.temper().hangs {
                            let _ = out.send(frame(b'o', b"good"));
                        }
                    }
                    _ => {}
                }
            }
        };
        tokio::select! {
            () = written => {}
            () = heard => {}
        }
    }

    fn takes(self: Arc<Self>, part: Seen, out: &mpsc::UnboundedSender<Vec<u8>>) {
        let (temper, now) = (self.temper(), Instant::now());
        if temper.hangs {
            return self.note(&part, Did::Swallowed, None);
        }
        let full = {
            let mut waiting = self.waiting.lock().unwrap();
            let full = *waiting >= temper.queue;
            *waiting += usize::from(!full && !temper.drains);
            full
        };
        if full && temper.warmth(now) < 1.0 {
            // Pushed over: it ends and begins anew, cold.
            *self.fell.lock().unwrap() += 1;
            self.up();
            self.breaks.send_modify(|breaks| *breaks += 1);
        }
        if full || temper.drains {
            self.note(&part, Did::TurnedAway, None);
            let _ = out.send(answer(&part, "later", ""));
            return;
        }
        let (work, chance): (f64, f64) = {
            let mut rng = self.rng.lock().unwrap();
            (-(1.0 - rng.random::<f64>()).ln(), rng.random())
        };
        let out = out.clone();
        tokio::spawn(async move {
            {
                let _core = self.cores.acquire().await;
                tokio::time::sleep(temper.mean.mul_f64(work.min(6.0) / temper.warmth(now))).await;
            }
            *self.waiting.lock().unwrap() -= 1;
            let own = format!("v{}", part.id);
            let (late, wrong) = (temper.late, temper.late + temper.wrong);
            let value = match chance {
                chance if chance < late => {
                    tokio::time::sleep(LATE).await;
                    Some(own)
                }
                chance if chance < wrong => Some(format!("w{}", part.id)),
                chance if chance < wrong + temper.missing => None,
                _ => Some(own),
            };
            self.note(&part, Did::Ran, value.clone());
            if let Some(value) = value {
                let _ = out.send(answer(&part, "good", &value));
            }
        });
    }
}

fn answer(part: &Seen, end: &str, value: &str) -> Vec<u8> {
    frame(
        b'q',
        format!(
            "{} {end} {} -\n{value}",
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
    let rest = bytes.split_off(1);
    Some((bytes[0], rest))
}
