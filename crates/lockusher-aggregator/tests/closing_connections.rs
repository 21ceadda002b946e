//! Client connections of a mixer that is told to stop, in states that need a stalled or slow client. The router is a
//! stand-in that answers when the test says so.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use lockusher_aggregator::config;
use lockusher_aggregator::routing::{ClientResponse, PendingRequest, RouterEvent};
use lockusher_aggregator::transport::clients::{self, ServerState, ShutdownPhase};
use lockusher_aggregator_testbed::stand_in::*;
use rstest::rstest;
use serde_json::json;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;

/// More than the kernel buffers for a client that doesn't read.
const LARGE_BYTES: usize = 8_000_000;

/// A client server whose router is the test.
struct Server {
    address: SocketAddr,
    events: mpsc::Receiver<RouterEvent>,
    shutdown: watch::Sender<ShutdownPhase>,
    stop_accepting: Rc<Notify>,
    serving: JoinHandle<()>,
}

impl Server {
    async fn start() -> Server {
        let text = json!({ "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
            "settings": settings(&Setup::default()) });
        let config = config::parse(&text.to_string(), |_| None).expect("a configuration");
        let listener = clients::listen(config.listen).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (queue, events) = mpsc::channel(8);
        let (disconnected, _) = mpsc::unbounded_channel();
        let (shutdown, phase) = watch::channel(ShutdownPhase::Running);
        let state = Rc::new(ServerState {
            names: config.settings.names(),
            sockets: config.sockets,
            queue,
            disconnected,
            ready: Rc::new(Cell::new(true)),
            shutdown: phase,
            body_bytes: Cell::new(0),
            registry: None,
            fleet: None,
        });
        let stop_accepting = Rc::new(Notify::new());
        let serving = actix_rt::spawn(clients::serve(listener, state, stop_accepting.clone()));
        Server {
            address,
            events,
            shutdown,
            stop_accepting,
            serving,
        }
    }

    /// The next multiget that a client has sent.
    async fn multiget(&mut self) -> PendingRequest {
        match self.events.recv().await {
            Some(RouterEvent::Multiget(pending)) => *pending,
            _ => panic!("no multiget"),
        }
    }

    /// Closes connections between two requests, and waits until an idle client has seen that.
    async fn close(&self, idle: Client) {
        self.shutdown.send_replace(ShutdownPhase::Closing);
        self.stop_accepting.notify_one();
        let ended = tokio::task::spawn_blocking(move || {
            let mut idle = idle;
            idle.end()
        });
        assert_eq!(ended.await.expect("it reads").expect("a clean end"), 0);
    }
}

/// Answers a multiget with a body of this length.
fn answer(pending: PendingRequest, length: usize) {
    let body = Bytes::from("x".repeat(length));
    let sent = pending
        .reply
        .send((ClientResponse::Answer(body), Instant::now()));
    assert!(sent.is_ok(), "the connection waits for its answer");
}

/// Reads an answer and the clean end of its connection, on a thread of its own; returns the length of the answer.
async fn read_last_answer(mut client: Client) -> usize {
    let read = tokio::task::spawn_blocking(move || {
        let answer = client.read().expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(client.end().expect("a clean end"), 0);
        answer.body.len()
    });
    read.await.expect("the answer is complete")
}

/// Guards against the loss of an answer that the process holds and the kernel doesn't when connections are closed.
#[rstest]
fn an_answer_that_is_not_yet_written_survives_the_close() {
    actix_rt::System::new().block_on(async {
        let mut server = Server::start().await;
        let idle = Client::to(server.address);
        let mut slow = Client::to(server.address);
        slow.write(&request("q1", &body(&[1])));
        answer(server.multiget().await, LARGE_BYTES);
        server.close(idle).await;
        assert!(!server.serving.is_finished());
        assert_eq!(read_last_answer(slow).await, LARGE_BYTES);
        server.serving.await.expect("all connections have ended");
    });
}

/// Guards against the loss of a request whose head is half read when connections are closed.
#[rstest]
fn a_request_whose_head_was_half_read_at_the_close_is_answered() {
    actix_rt::System::new().block_on(async {
        let mut server = Server::start().await;
        let mut late = Client::to(server.address);
        let text = request("q1", &body(&[1]));
        let (first, rest) = text.split_at(40);
        late.write(first);
        server.close(Client::to(server.address)).await;
        late.write(rest);
        answer(server.multiget().await, 10);
        assert_eq!(read_last_answer(late).await, 10);
        server.serving.await.expect("all connections have ended");
    });
}

/// Guards against the loss of a request that was sent behind another one, whose answer ends after the close: what has been
/// read is answered.
#[rstest]
fn a_request_that_was_sent_behind_another_one_is_answered() {
    actix_rt::System::new().block_on(async {
        let mut server = Server::start().await;
        let idle = Client::to(server.address);
        let mut busy = Client::to(server.address);
        busy.write(&request("q1", &body(&[1])));
        let first = server.multiget().await;
        busy.write(&request("q2", &body(&[2])));
        server.close(idle).await;
        answer(first, 10);
        let read = tokio::task::spawn_blocking(move || {
            assert_eq!(busy.read().expect("an answer").body.len(), 10);
            busy
        });
        let busy = read.await.expect("the answer is complete");
        answer(server.multiget().await, 20);
        assert_eq!(read_last_answer(busy).await, 20);
        server.serving.await.expect("all connections have ended");
    });
}
