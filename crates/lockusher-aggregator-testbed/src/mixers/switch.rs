//! What lies between processes: a switch that all datagrams of the mixers pass, one socket for each mixer, and relays of
//! the same kind for frames to searchers. Each pair and direction can be cut, delayed, lossy, doubled, damaged or
//! put out of order.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// One end of a way: mixers and searchers by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    Mixer(usize),
    Searcher(usize),
}

/// How it is from one end to another. What is lost, doubled or damaged are datagrams; frames are cut and delayed, as
/// TCP makes up for the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    pub loss: f64,
    pub doubled: f64,
    pub damaged: f64,
    /// Each waits for a time between these, so that later ones overtake it.
    pub least: Duration,
    pub most: Duration,
}

struct Ways {
    all: Way,
    some: HashMap<(End, End), Way>,
    rng: ChaCha8Rng,
}

pub struct Switch {
    ways: Mutex<Ways>,
    /// Where each mixer listens in truth.
    real: Vec<SocketAddrV4>,
    pub passed: AtomicU64,
    pub lost: AtomicU64,
    /// When mixers opened connections to searchers.
    pub opened: Mutex<Vec<Instant>>,
}

impl Switch {
    /// A switch before mixers that listen at these addresses, and the addresses at which others reach them.
    pub async fn start(
        real: Vec<SocketAddrV4>,
        seed: u64,
    ) -> std::io::Result<(Arc<Self>, Vec<SocketAddrV4>)> {
        let (mut sockets, mut shown) = (Vec::new(), Vec::new());
        for _ in &real {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            if let SocketAddr::V4(at) = socket.local_addr()? {
                shown.push(at);
            }
            sockets.push(Arc::new(socket));
        }
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let ways = Mutex::new(Ways {
            all: Way::default(),
            some: HashMap::new(),
            rng,
        });
        let (passed, lost) = (AtomicU64::new(0), AtomicU64::new(0));
        let switch = Arc::new(Switch {
            ways,
            real,
            passed,
            lost,
            opened: Mutex::default(),
        });
        for to in 0..sockets.len() {
            let (this, sockets) = (switch.clone(), sockets.clone());
            tokio::spawn(async move { this.carry(to, &sockets).await });
        }
        Ok((switch, shown))
    }

    /// How it is everywhere, from now on; what was set for single ways is forgotten.
    pub fn everywhere(&self, way: Way) {
        let mut ways = self.ways.lock().unwrap();
        ways.all = way;
        ways.some.clear();
    }

    pub fn way(&self, from: End, to: End, way: Way) {
        self.ways.lock().unwrap().some.insert((from, to), way);
    }

    pub fn both_ways(&self, one: End, other: End, way: Way) {
        self.way(one, other, way);
        self.way(other, one, way);
    }

    fn at(&self, from: End, to: End) -> Way {
        let ways = self.ways.lock().unwrap();
        ways.some.get(&(from, to)).copied().unwrap_or(ways.all)
    }

    fn chance(&self) -> f64 {
        self.ways.lock().unwrap().rng.random()
    }

    fn delay(&self, way: &Way) -> Duration {
        way.least + way.most.saturating_sub(way.least).mul_f64(self.chance())
    }

    /// Carries what others send to one mixer, from the sockets at which they are known.
    async fn carry(&self, to: usize, sockets: &[Arc<UdpSocket>]) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, SocketAddr::V4(sender))) = sockets[to].recv_from(&mut buffer).await
            else {
                continue;
            };
            let Some(from) = self.real.iter().position(|at| *at == sender) else {
                continue;
            };
            let way = self.at(End::Mixer(from), End::Mixer(to));
            if way.cut || self.chance() < way.loss {
                self.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.passed.fetch_add(1, Ordering::Relaxed);
            let mut bytes = buffer[..length].to_vec();
            if self.chance() < way.damaged && !bytes.is_empty() {
                let place = (self.chance() * bytes.len() as f64) as usize;
                bytes[place.min(length - 1)] ^= 0x10;
            }
            let copies = 1 + usize::from(self.chance() < way.doubled);
            for _ in 0..copies {
                let (socket, at, bytes) = (sockets[from].clone(), self.real[to], bytes.clone());
                let delay = self.delay(&way);
                if delay.is_zero() {
                    let _ = socket.try_send_to(&bytes, at.into());
                    continue;
                }
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = socket.send_to(&bytes, at).await;
                });
            }
        }
    }

    /// A relay for frames from one mixer to a searcher; what is cut waits, as TCP would have it wait.
    pub async fn relay(
        self: &Arc<Self>,
        mixer: usize,
        searcher: usize,
        to: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = self.clone();
        let (near, far) = (End::Mixer(mixer), End::Searcher(searcher));
        tokio::spawn(async move {
            while let Ok((near_stream, _)) = listener.accept().await {
                this.opened.lock().unwrap().push(Instant::now());
                let this = this.clone();
                tokio::spawn(async move {
                    this.passable(near, far).await;
                    // A searcher that is down closes what comes, as a refused connection would be.
                    let Ok(far_stream) = TcpStream::connect(to).await else {
                        return;
                    };
                    let _ = (near_stream.set_nodelay(true), far_stream.set_nodelay(true));
                    let (near_read, near_write) = near_stream.into_split();
                    let (far_read, far_write) = far_stream.into_split();
                    // One end's end is the other's.
                    tokio::select! {
                        () = this.pour(near, far, near_read, far_write) => {}
                        () = this.pour(far, near, far_read, near_write) => {}
                    }
                });
            }
        });
        Ok(address)
    }

    async fn passable(&self, from: End, to: End) {
        while self.at(from, to).cut {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn pour(
        &self,
        from: End,
        to: End,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(length) = read.read(&mut buffer).await
            && length > 0
        {
            let way = self.at(from, to);
            let delay = if way.most.is_zero() {
                Duration::ZERO
            } else {
                self.delay(&way)
            };
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.passable(from, to).await;
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
