//! The network between processes: a switch that forwards all datagrams between mixers, with one socket for each mixer,
//! and TCP relays for frames to searchers. Each direction of each pair can be blocked, delayed, lossy, or duplicate,
//! corrupt and reorder datagrams.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// One end of a link: a mixer or a searcher, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Endpoint {
    Mixer(usize),
    Searcher(usize),
}

/// The conditions of one direction of a link. Loss, duplication and corruption apply to datagrams only; frames are
/// blocked and delayed, since TCP repairs the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Nothing passes.
    pub blocked: bool,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that are delivered twice.
    pub duplicated: f64,
    /// The share of datagrams of which one bit is flipped.
    pub corrupted: f64,
    /// The least delay; each datagram is delayed at random up to `max_delay`, which reorders datagrams.
    pub min_delay: Duration,
    /// The greatest delay.
    pub max_delay: Duration,
}

/// The conditions of all links: a default, and overrides for single directions.
struct Links {
    default: LinkConditions,
    overrides: HashMap<(Endpoint, Endpoint), LinkConditions>,
    rng: ChaCha8Rng,
}

/// Forwards datagrams and frames under the conditions of each link.
pub struct Switch {
    links: Mutex<Links>,
    /// The address at which each mixer listens.
    mixer_addresses: Vec<SocketAddrV4>,
    /// Datagrams forwarded.
    pub forwarded: AtomicU64,
    /// Datagrams dropped.
    pub dropped: AtomicU64,
    /// The times at which mixers opened connections to searchers.
    pub connections_opened: Mutex<Vec<Instant>>,
}

impl Switch {
    /// Starts a switch in front of mixers that listen at these addresses; returns it with the addresses that the mixers
    /// advertise.
    pub async fn start(
        mixer_addresses: Vec<SocketAddrV4>,
        seed: u64,
    ) -> std::io::Result<(Arc<Self>, Vec<SocketAddrV4>)> {
        let (mut sockets, mut switch_addresses) = (Vec::new(), Vec::new());
        for _ in &mixer_addresses {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            if let SocketAddr::V4(at) = socket.local_addr()? {
                switch_addresses.push(at);
            }
            sockets.push(Arc::new(socket));
        }
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let links = Mutex::new(Links {
            default: LinkConditions::default(),
            overrides: HashMap::new(),
            rng,
        });
        let (forwarded, dropped) = (AtomicU64::new(0), AtomicU64::new(0));
        let switch = Arc::new(Switch {
            links,
            mixer_addresses,
            forwarded,
            dropped,
            connections_opened: Mutex::default(),
        });
        for to in 0..sockets.len() {
            let (this, sockets) = (switch.clone(), sockets.clone());
            tokio::spawn(async move { this.forward_datagrams(to, &sockets).await });
        }
        Ok((switch, switch_addresses))
    }

    /// Sets the conditions of all links and clears the overrides.
    pub fn set_all_links(&self, link: LinkConditions) {
        let mut links = self.links.lock().unwrap();
        links.default = link;
        links.overrides.clear();
    }

    /// Sets the conditions of one direction.
    pub fn set_link(&self, from: Endpoint, to: Endpoint, link: LinkConditions) {
        self.links
            .lock()
            .unwrap()
            .overrides
            .insert((from, to), link);
    }

    /// Sets the conditions of both directions.
    pub fn set_both_directions(&self, one: Endpoint, other: Endpoint, link: LinkConditions) {
        self.set_link(one, other, link);
        self.set_link(other, one, link);
    }

    fn link(&self, from: Endpoint, to: Endpoint) -> LinkConditions {
        let links = self.links.lock().unwrap();
        links
            .overrides
            .get(&(from, to))
            .copied()
            .unwrap_or(links.default)
    }

    fn random(&self) -> f64 {
        self.links.lock().unwrap().rng.random()
    }

    fn delay(&self, link: &LinkConditions) -> Duration {
        link.min_delay
            + link
                .max_delay
                .saturating_sub(link.min_delay)
                .mul_f64(self.random())
    }

    /// Forwards datagrams to one mixer, each from the socket of its sender.
    async fn forward_datagrams(&self, to: usize, sockets: &[Arc<UdpSocket>]) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, SocketAddr::V4(sender))) = sockets[to].recv_from(&mut buffer).await
            else {
                continue;
            };
            let Some(from) = self.mixer_addresses.iter().position(|at| *at == sender) else {
                continue;
            };
            let link = self.link(Endpoint::Mixer(from), Endpoint::Mixer(to));
            if link.blocked || self.random() < link.loss {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.forwarded.fetch_add(1, Ordering::Relaxed);
            let mut bytes = buffer[..length].to_vec();
            if self.random() < link.corrupted && !bytes.is_empty() {
                let index = (self.random() * bytes.len() as f64) as usize;
                bytes[index.min(length - 1)] ^= 0x10;
            }
            let copies = 1 + usize::from(self.random() < link.duplicated);
            for _ in 0..copies {
                let (socket, at, bytes) = (
                    sockets[from].clone(),
                    self.mixer_addresses[to],
                    bytes.clone(),
                );
                let delay = self.delay(&link);
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

    /// Starts a TCP relay from one mixer to a searcher. Bytes on a blocked link wait, as TCP would retransmit them.
    pub async fn relay(
        self: &Arc<Self>,
        mixer: usize,
        searcher: usize,
        to: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = self.clone();
        let (near, far) = (Endpoint::Mixer(mixer), Endpoint::Searcher(searcher));
        tokio::spawn(async move {
            while let Ok((near_stream, _)) = listener.accept().await {
                this.connections_opened.lock().unwrap().push(Instant::now());
                let this = this.clone();
                tokio::spawn(async move {
                    this.wait_until_unblocked(near, far).await;
                    // A searcher that is down closes the connection, which stands for a refused one.
                    let Ok(far_stream) = TcpStream::connect(to).await else {
                        return;
                    };
                    let _ = (near_stream.set_nodelay(true), far_stream.set_nodelay(true));
                    let (near_read, near_write) = near_stream.into_split();
                    let (far_read, far_write) = far_stream.into_split();
                    // When one side closes, so does the other.
                    tokio::select! {
                        () = this.copy(near, far, near_read, far_write) => {}
                        () = this.copy(far, near, far_read, near_write) => {}
                    }
                });
            }
        });
        Ok(address)
    }

    /// Waits while the link is blocked.
    async fn wait_until_unblocked(&self, from: Endpoint, to: Endpoint) {
        while self.link(from, to).blocked {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Copies bytes in one direction under the conditions of the link.
    async fn copy(
        &self,
        from: Endpoint,
        to: Endpoint,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(length) = read.read(&mut buffer).await
            && length > 0
        {
            let link = self.link(from, to);
            let delay = if link.max_delay.is_zero() {
                Duration::ZERO
            } else {
                self.delay(&link)
            };
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.wait_until_unblocked(from, to).await;
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
