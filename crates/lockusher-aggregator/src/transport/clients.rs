//! Clients: accepting, reading requests, writing answers.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER, UPGRADE};
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Protocol, Request, Response, StatusCode,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use futures_util::{FutureExt, StreamExt};
use lockusher_membership::io as fleet;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::MultigetId;
use lockusher_registry_client::io::{Ask, Asks};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};

use crate::config::Sockets;
use crate::protocol::MOST_BODY;
use crate::protocol::client::{self, Head, Unusable};
use crate::routing::searcher_transport::Wanted;
use crate::routing::{Arrival, Asked, Given};
use crate::transport::client_stream::{ClientStream, Connections, LINGER, Usage};

/// How long accepting pauses when it can't go on, so that it neither spins nor keeps anyone waiting.
const PAUSE: Duration = Duration::from_millis(10);

/// Places that are kept free, about as many as are closed at once.
const AHEAD: usize = 8;
/// How often connections are looked through for those to be closed.
const LOOK: Duration = Duration::from_millis(250);

/// How far the program has come in stopping.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Stopping {
    No,
    /// It says so; those that have a connection go on using it.
    Asked,
    /// Unused connections are closed, answers close theirs.
    Closing,
}

/// What all connections share.
pub struct Desk {
    pub names: Names,
    pub sockets: Sockets,
    pub queue: mpsc::Sender<Arrival>,
    /// Clients that went away; as many at most as multigets were taken.
    pub left: mpsc::UnboundedSender<MultigetId>,
    pub can_serve: Rc<Cell<bool>>,
    pub stopping: watch::Receiver<Stopping>,
    /// Bytes of bodies that are being read or in hand.
    pub bodies: Cell<usize>,
    /// The way to ask how the registry stands, if one is followed.
    pub registry: Option<Asks>,
    /// The way to ask how the fleet stands, if a view of it is kept.
    pub fleet: Option<fleet::Asks>,
}

impl Desk {
    fn stops(&self) -> bool {
        *self.stopping.borrow() != Stopping::No
    }

    fn closes(&self) -> bool {
        *self.stopping.borrow() == Stopping::Closing
    }
}

/// Serves connections until `closed`; ends when the last one that was accepted has ended.
pub async fn serve(listener: TcpListener, desk: Rc<Desk>, closed: Rc<Notify>) {
    let most = desk.sockets.most_clients;
    let (places, connections) = (
        Arc::new(Semaphore::new(most)),
        Rc::new(Connections::default()),
    );
    let shared = desk.clone();
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        // A client that goes away is noticed by its stream; what came before nonsense still gets its answer.
        .h1_allow_half_closed(true)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.usage.clone());
        })
        .finish(fn_service(move |request: Request| {
            let desk = shared.clone();
            async move { Ok::<_, Infallible>(handle(request, &desk).await) }
        }))
        .new_service(())
        .await;
    let Ok(service) = service else {
        return tracing::info!("the server of clients could not be made");
    };
    let start = |stream: TcpStream, peer, place: OwnedSemaphorePermit| {
        let _ = stream.set_nodelay(true);
        let stream = ClientStream::new(stream);
        let number = connections.add(stream.usage.clone());
        connections.keep(desk.sockets.most_kept);
        let connection = service.call((stream, Protocol::Http1, Some(peer)));
        let connections = connections.clone();
        actix_rt::spawn(async move {
            // What ends a connection concerns its client alone.
            let _ = connection.await;
            connections.remove(number);
            drop(place);
        });
    };
    let accept = async {
        loop {
            // The place first: a connection that was accepted and has none would be reset if accepting ends now. With
            // no place left the next ones wait in the listener's backlog until one can be closed.
            // Room is made some places ahead, so that a crowd does not wait for each to be closed.
            let place = loop {
                if places.available_permits() + connections.closing() < AHEAD {
                    // Those just accepted are read first, and show what they are.
                    tokio::task::yield_now().await;
                    connections.make_room();
                }
                let place = places.clone().acquire_owned();
                match tokio::time::timeout(PAUSE, place).await {
                    Ok(Ok(place)) => break place,
                    Ok(Err(_)) => return,
                    Err(_) => {}
                }
            };
            match listener.accept().await {
                Ok((stream, peer)) => start(stream, peer, place),
                Err(error) => {
                    tracing::warn!("accepting: {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    };
    let close_overdue = async {
        loop {
            tokio::time::sleep(LOOK).await;
            connections.close_overdue();
        }
    };
    tokio::select! {
        () = accept => {}
        () = close_overdue => {}
        () = closed.notified() => {}
    }
    connections.close_unused();
    // What the system has accepted counts as taken: it is served as far as places get free for it.
    tokio::task::yield_now().await;
    while let Ok(Ok(place)) = tokio::time::timeout(LINGER, places.clone().acquire_owned()).await
        && let Some(Ok((stream, peer))) = listener.accept().now_or_never()
    {
        start(stream, peer, place);
    }
    drop(listener);
    connections.close_unused();
    let _ = places.acquire_many(most as u32).await;
}

async fn handle(mut request: Request, desk: &Desk) -> Response<BoxBody> {
    let usage = request
        .conn_data::<Rc<Usage>>()
        .cloned()
        .unwrap_or_default();
    usage.asked();
    let mut response = match request.path() {
        client::UP if desk.can_serve.get() && !desk.stops() => plain(200, "up"),
        client::UP => plain(503, "not serving"),
        path @ (client::REGISTRY | client::REGISTRY_VIEW) if let Some(asks) = &desk.registry => {
            registry(asks, path == client::REGISTRY_VIEW, &desk.names).await
        }
        client::FLEET if let Some(asks) = &desk.fleet => fleet(asks).await,
        _ => match multiget(&mut request, desk, &usage).await {
            Ok(response) => response,
            Err(unusable) => {
                let mut response = plain(unusable.status, &unusable.why);
                if !usage.is_whole() {
                    // Where it ends is not known: nothing that follows may be taken for a request.
                    usage.refuse();
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                response
            }
        },
    };
    usage.answered(request.path() != client::UP && !response.status().is_client_error());
    if desk.closes() || usage.closes() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn registry(asks: &Asks, view: bool, names: &Names) -> Response<BoxBody> {
    let (reply, shown) = oneshot::channel();
    let asked = asks.send(Ask { view, reply }).await;
    match shown.await {
        Ok(shown) if asked.is_ok() => {
            let mut response = Response::build(StatusCode::OK);
            let body = crate::protocol::registry::encode(&shown, names);
            response
                .insert_header((CONTENT_TYPE, "application/json"))
                .body(body)
                .map_into_boxed_body()
        }
        _ => plain(503, "the registry is not followed"),
    }
}

async fn fleet(asks: &fleet::Asks) -> Response<BoxBody> {
    let (reply, shown) = oneshot::channel();
    let asked = asks.send(fleet::Ask::Show(reply)).await;
    match shown.await {
        Ok(shown) if asked.is_ok() => {
            let mut response = Response::build(StatusCode::OK);
            let body = crate::protocol::fleet::encode(&shown);
            response
                .insert_header((CONTENT_TYPE, "application/json"))
                .body(body)
                .map_into_boxed_body()
        }
        _ => plain(503, "no view of the fleet is kept"),
    }
}

fn plain(status: u16, words: &str) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(format!("{words}\n"))
        .map_into_boxed_body()
}

/// Tells the router when a client goes away before its answer.
struct Waiting<'a> {
    desk: &'a Desk,
    id: Option<MultigetId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.desk.left.send(id);
        }
    }
}

/// What a usual body takes: so much of each has its place with its connection, whatever large ones hold.
const SMALL_BODY: usize = 8 * 1024;

/// Bytes of bodies, as long as they are kept.
struct Kept<'a> {
    all: &'a Cell<usize>,
    bytes: usize,
}

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.bytes);
    }
}

async fn multiget(
    request: &mut Request,
    desk: &Desk,
    usage: &Rc<Usage>,
) -> Result<Response<BoxBody>, Unusable> {
    let mut payload = request.take_payload();
    let headers = request.headers();
    if let Some(name) = client::ONCE
        .into_iter()
        .find(|name| headers.get_all(*name).count() > 1)
    {
        return Err(Unusable::new(400, format!("{name} is given twice")));
    }
    if headers.contains_key(UPGRADE) {
        return Err(Unusable::new(400, "there is nothing to upgrade to"));
    }
    let named = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let head = Head {
        method: request.method().as_str(),
        path: request.path(),
        id: named(client::ID),
        op_type: named(client::OP_TYPE),
        tenant: named(client::TENANT),
        deadline: named(client::DEADLINE),
        resubmitted: named(client::RESUBMITTED),
    };
    client::check(&head, &desk.names)?;
    let too_large = || Unusable::new(413, "the body is too large");
    let length = named("content-length").and_then(|length| length.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > MOST_BODY) {
        return Err(too_large());
    }
    let mut body = BytesMut::new();
    let mut kept = Kept {
        all: &desk.bodies,
        bytes: 0,
    };
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| Unusable::new(400, format!("the body: {e}")))?;
        if body.len() + chunk.len() > MOST_BODY {
            return Err(too_large());
        }
        body.extend_from_slice(&chunk);
        let large = body.len().saturating_sub(SMALL_BODY) - kept.bytes;
        if large > 0 && desk.bodies.get() + large > desk.sockets.most_bytes {
            return Err(Unusable::new(503, "too much is waiting"));
        }
        kept.bytes += large;
        desk.bodies.set(desk.bodies.get() + large);
    }
    let at = usage.whole();
    // A mixer that had to stand still reads a request and its client's going at once: nothing is sent for one
    // that is gone by now.
    tokio::task::yield_now().await;
    if !usage.present() {
        return Ok(plain(500, "its client has gone"));
    }
    let request = client::decode(&head, &body, &desk.names, desk.sockets.shards)?;
    drop(body);
    let (reply, answer) = oneshot::channel();
    let id = request.id.clone();
    let present = usage.clone();
    let wanted: Wanted = Rc::new(move || present.present());
    if desk
        .queue
        .try_send(Arrival::Asked(Box::new(Asked {
            request,
            at,
            reply,
            wanted,
        })))
        .is_err()
    {
        return Ok(plain(503, "too much is waiting"));
    }
    let mut waiting = Waiting { desk, id: Some(id) };
    let given = tokio::select! {
        given = answer => given,
        // Nobody reads this; what it asked for is given up.
        () = usage.left() => return Ok(plain(500, "its client has gone")),
    };
    waiting.id = None;
    if let Ok((_, not_before)) = &given
        && *not_before > Instant::now()
    {
        tokio::time::sleep_until((*not_before).into()).await;
    }
    Ok(match given.map(|(given, _)| given) {
        Ok(Given::Answer(body)) => {
            let mut response = Response::build(StatusCode::OK);
            response
                .insert_header((CONTENT_TYPE, "application/json"))
                .body(body)
                .map_into_boxed_body()
        }
        Ok(Given::PushedBack(None)) => plain(503, "pushed back"),
        Ok(Given::PushedBack(Some(span))) => {
            let mut response = plain(503, "pushed back");
            if let Ok(value) = client::retry_after(span).parse() {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Ok(Given::Unusable(unusable)) => return Err(unusable),
        Ok(Given::Failed) | Err(_) => plain(500, "failed"),
    })
}

/// Listens on this address only.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    })?;
    socket.listen(1_024)
}
