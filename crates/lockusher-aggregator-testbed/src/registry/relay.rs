//! A relay before a member: it counts bytes, cuts connections and refuses new ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub struct Relay {
    pub address: SocketAddr,
    /// Bytes that went to the client.
    bytes: AtomicU64,
    refuses: AtomicBool,
    cuts: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay to an address; it serves as long as the runtime does.
    pub async fn start(to: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (cuts, _) = watch::channel(0);
        let (bytes, refuses) = (AtomicU64::new(0), AtomicBool::new(false));
        let relay = Arc::new(Relay {
            address: listener.local_addr()?,
            bytes,
            refuses,
            cuts,
        });
        let this = relay.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if this.refuses.load(Ordering::Relaxed) {
                    continue; // Dropped: closed at once.
                }
                let relay = this.clone();
                tokio::spawn(async move {
                    if let Ok(other) = TcpStream::connect(to).await {
                        relay.carry(stream, other).await;
                    }
                });
            }
        });
        Ok(relay)
    }

    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Ends all connections; what had been said before still arrives.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Whether new connections are closed at once.
    pub fn refuse(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::Relaxed);
    }

    async fn carry(&self, client: TcpStream, member: TcpStream) {
        let _ = client.set_nodelay(true);
        let _ = member.set_nodelay(true);
        let mut cut = self.cuts.subscribe();
        let ((from_client, mut to_client), (from_member, to_member)) =
            (client.into_split(), member.into_split());
        tokio::select! {
            () = copy(from_client, to_member, |_| {}) => {}
            () = copy_out(from_member, &mut to_client, &self.bytes) => {}
            _ = cut.changed() => {}
        }
        // Closed in order, so that nothing that was written is lost.
        let _ = to_client.shutdown().await;
    }
}

async fn copy_out(from: OwnedReadHalf, to: &mut OwnedWriteHalf, bytes: &AtomicU64) {
    moved(from, to, |count| {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    })
    .await;
}

async fn copy(from: OwnedReadHalf, mut to: OwnedWriteHalf, count: impl Fn(usize)) {
    moved(from, &mut to, count).await;
}

async fn moved(mut from: OwnedReadHalf, to: &mut OwnedWriteHalf, count: impl Fn(usize)) {
    let mut some = vec![0; 64 * 1024];
    while let Ok(read) = from.read(&mut some).await {
        if read == 0 || to.write_all(&some[..read]).await.is_err() {
            return;
        }
        count(read);
    }
}
