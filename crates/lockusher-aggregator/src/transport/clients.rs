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

use crate::config::SocketLimits;
use crate::protocol::MAX_BODY_BYTES;
use crate::protocol::client::{self, Head, RequestError};
use crate::routing::searcher_transport::ClientConnected;
use crate::routing::{ClientResponse, PendingRequest, RouterEvent};
use crate::transport::client_stream::{ClientStream, Connections, LINGER, Usage};

/// How long accepting pauses when it can't go on, so that it neither spins nor keeps anyone waiting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Places that are kept free, about as many as are closed at once.
const SPARE_SLOTS: usize = 8;
/// How often connections are looked through for those to be closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// How far the program has come in stopping.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    Running,
    /// It says so; those that have a connection go on using it.
    Draining,
    /// Unused connections are closed, answers close theirs.
    Closing,
}

/// What all connections share.
pub struct ServerState {
    pub names: Names,
    pub sockets: SocketLimits,
    pub queue: mpsc::Sender<RouterEvent>,
    /// Clients that went away; as many at most as multigets were taken.
    pub disconnected: mpsc::UnboundedSender<MultigetId>,
    pub ready: Rc<Cell<bool>>,
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Bytes of bodies that are being read or in hand.
    pub body_bytes: Cell<usize>,
    /// The way to ask how the registry stands, if one is followed.
    pub registry: Option<Asks>,
    /// The way to ask how the fleet stands, if a view of it is kept.
    pub fleet: Option<fleet::Asks>,
}

impl ServerState {
    fn is_stopping(&self) -> bool {
        *self.shutdown.borrow() != ShutdownPhase::Running
    }

    fn is_closing(&self) -> bool {
        *self.shutdown.borrow() == ShutdownPhase::Closing
    }
}

/// Serves connections until `closed`; ends when the last one that was accepted has ended.
pub async fn serve(listener: TcpListener, server: Rc<ServerState>, stop_accepting: Rc<Notify>) {
    let max_connections = server.sockets.max_client_connections;
    let (slots, connections) = (
        Arc::new(Semaphore::new(max_connections)),
        Rc::new(Connections::default()),
    );
    let service_state = server.clone();
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
            let server = service_state.clone();
            async move { Ok::<_, Infallible>(handle(request, &server).await) }
        }))
        .new_service(())
        .await;
    let Ok(service) = service else {
        return tracing::info!("the server of clients could not be made");
    };
    let start_connection = |stream: TcpStream, peer, slot: OwnedSemaphorePermit| {
        let _ = stream.set_nodelay(true);
        let stream = ClientStream::new(stream);
        let number = connections.add(stream.usage.clone());
        connections.limit_used(server.sockets.max_used_client_connections);
        let connection = service.call((stream, Protocol::Http1, Some(peer)));
        let connections = connections.clone();
        actix_rt::spawn(async move {
            // What ends a connection concerns its client alone.
            let _ = connection.await;
            connections.remove(number);
            drop(slot);
        });
    };
    let accept = async {
        loop {
            // The place first: a connection that was accepted and has none would be reset if accepting ends now. With
            // no place left the next ones wait in the listener's backlog until one can be closed.
            // Room is made some places ahead, so that a crowd does not wait for each to be closed.
            let slot = loop {
                if slots.available_permits() + connections.closing_count() < SPARE_SLOTS {
                    // Those just accepted are read first, and show what they are.
                    tokio::task::yield_now().await;
                    connections.make_room();
                }
                let slot = slots.clone().acquire_owned();
                match tokio::time::timeout(ACCEPT_PAUSE, slot).await {
                    Ok(Ok(slot)) => break slot,
                    Ok(Err(_)) => return,
                    Err(_) => {}
                }
            };
            match listener.accept().await {
                Ok((stream, peer)) => start_connection(stream, peer, slot),
                Err(error) => {
                    tracing::warn!("accepting: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    let close_overdue = async {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            connections.close_overdue();
        }
    };
    tokio::select! {
        () = accept => {}
        () = close_overdue => {}
        () = stop_accepting.notified() => {}
    }
    connections.close_idle();
    // What the system has accepted counts as taken: it is served as far as places get free for it.
    tokio::task::yield_now().await;
    while let Ok(Ok(slot)) = tokio::time::timeout(LINGER, slots.clone().acquire_owned()).await
        && let Some(Ok((stream, peer))) = listener.accept().now_or_never()
    {
        start_connection(stream, peer, slot);
    }
    drop(listener);
    connections.close_idle();
    let _ = slots.acquire_many(max_connections as u32).await;
}

async fn handle(mut request: Request, server: &ServerState) -> Response<BoxBody> {
    let usage = request
        .conn_data::<Rc<Usage>>()
        .cloned()
        .unwrap_or_default();
    usage.begin_request();
    let mut response = match request.path() {
        client::UP_PATH if server.ready.get() && !server.is_stopping() => text_response(200, "up"),
        client::UP_PATH => text_response(503, "not serving"),
        path @ (client::REGISTRY_PATH | client::REGISTRY_VIEW_PATH)
            if let Some(asks) = &server.registry =>
        {
            registry(asks, path == client::REGISTRY_VIEW_PATH, &server.names).await
        }
        client::FLEET_PATH if let Some(asks) = &server.fleet => fleet(asks).await,
        _ => match multiget(&mut request, server, &usage).await {
            Ok(response) => response,
            Err(error) => {
                let mut response = text_response(error.status, &error.message);
                if !usage.is_body_complete() {
                    // Where it ends is not known: nothing that follows may be taken for a request.
                    usage.ignore_further_input();
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                response
            }
        },
    };
    usage.finish_request(request.path() != client::UP_PATH && !response.status().is_client_error());
    if server.is_closing() || usage.is_closing() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn registry(asks: &Asks, view: bool, names: &Names) -> Response<BoxBody> {
    let (reply, shown) = oneshot::channel();
    let sent = asks.send(Ask { view, reply }).await;
    match shown.await {
        Ok(shown) if sent.is_ok() => {
            let mut response = Response::build(StatusCode::OK);
            let body = crate::protocol::registry::encode(&shown, names);
            response
                .insert_header((CONTENT_TYPE, "application/json"))
                .body(body)
                .map_into_boxed_body()
        }
        _ => text_response(503, "the registry is not followed"),
    }
}

async fn fleet(asks: &fleet::Asks) -> Response<BoxBody> {
    let (reply, shown) = oneshot::channel();
    let sent = asks.send(fleet::Ask::Show(reply)).await;
    match shown.await {
        Ok(shown) if sent.is_ok() => {
            let mut response = Response::build(StatusCode::OK);
            let body = crate::protocol::fleet::encode(&shown);
            response
                .insert_header((CONTENT_TYPE, "application/json"))
                .body(body)
                .map_into_boxed_body()
        }
        _ => text_response(503, "no view of the fleet is kept"),
    }
}

fn text_response(status: u16, message: &str) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(format!("{message}\n"))
        .map_into_boxed_body()
}

/// Tells the router when a client goes away before its answer.
struct DisconnectGuard<'a> {
    server: &'a ServerState,
    id: Option<MultigetId>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.server.disconnected.send(id);
        }
    }
}

/// What a usual body takes: so much of each has its place with its connection, whatever large ones hold.
const SMALL_BODY: usize = 8 * 1024;

/// Bytes of bodies, as long as they are kept.
struct BufferedBody<'a> {
    total: &'a Cell<usize>,
    bytes: usize,
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

async fn multiget(
    request: &mut Request,
    server: &ServerState,
    usage: &Rc<Usage>,
) -> Result<Response<BoxBody>, RequestError> {
    let mut payload = request.take_payload();
    let headers = request.headers();
    if let Some(name) = client::SINGLE_HEADERS
        .into_iter()
        .find(|name| headers.get_all(*name).count() > 1)
    {
        return Err(RequestError::new(400, format!("{name} is given twice")));
    }
    if headers.contains_key(UPGRADE) {
        return Err(RequestError::new(400, "there is nothing to upgrade to"));
    }
    let header_value = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let head = Head {
        method: request.method().as_str(),
        path: request.path(),
        id: header_value(client::ID_HEADER),
        op_type: header_value(client::OP_TYPE_HEADER),
        tenant: header_value(client::TENANT_HEADER),
        deadline: header_value(client::DEADLINE_HEADER),
        resubmitted: header_value(client::RESUBMITTED_HEADER),
    };
    client::check_head(&head, &server.names)?;
    let too_large = || RequestError::new(413, "the body is too large");
    let length =
        header_value("content-length").and_then(|length| length.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let mut body = BytesMut::new();
    let mut buffered = BufferedBody {
        total: &server.body_bytes,
        bytes: 0,
    };
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| RequestError::new(400, format!("the body: {error}")))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        body.extend_from_slice(&chunk);
        let large = body.len().saturating_sub(SMALL_BODY) - buffered.bytes;
        if large > 0 && server.body_bytes.get() + large > server.sockets.max_buffered_bytes {
            return Err(RequestError::new(503, "too much is waiting"));
        }
        buffered.bytes += large;
        server.body_bytes.set(server.body_bytes.get() + large);
    }
    let received_at = usage.body_complete();
    // A mixer that had to stand still reads a request and its client's going at once: nothing is sent for one
    // that is gone by now.
    tokio::task::yield_now().await;
    if !usage.is_connected() {
        return Ok(text_response(500, "its client has gone"));
    }
    let request = client::decode(&head, &body, &server.names, server.sockets.shard_count)?;
    drop(body);
    let (reply, reply_received) = oneshot::channel();
    let id = request.id.clone();
    let connection_usage = usage.clone();
    let client_connected: ClientConnected = Rc::new(move || connection_usage.is_connected());
    if server
        .queue
        .try_send(RouterEvent::Multiget(Box::new(PendingRequest {
            request,
            received_at,
            reply,
            client_connected,
        })))
        .is_err()
    {
        return Ok(text_response(503, "too much is waiting"));
    }
    let mut guard = DisconnectGuard {
        server,
        id: Some(id),
    };
    let response = tokio::select! {
        response = reply_received => response,
        // Nobody reads this; what it asked for is given up.
        () = usage.wait_disconnected() => return Ok(text_response(500, "its client has gone")),
    };
    guard.id = None;
    if let Ok((_, not_before)) = &response
        && *not_before > Instant::now()
    {
        tokio::time::sleep_until((*not_before).into()).await;
    }
    Ok(match response.map(|(response, _)| response) {
        Ok(ClientResponse::Answer(body)) => {
            let mut response = Response::build(StatusCode::OK);
            response
                .insert_header((CONTENT_TYPE, "application/json"))
                .body(body)
                .map_into_boxed_body()
        }
        Ok(ClientResponse::PushedBack(None)) => text_response(503, "pushed back"),
        Ok(ClientResponse::PushedBack(Some(span))) => {
            let mut response = text_response(503, "pushed back");
            if let Ok(value) = client::retry_after(span).parse() {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Ok(ClientResponse::Rejected(error)) => return Err(error),
        Ok(ClientResponse::Failed) | Err(_) => text_response(500, "failed"),
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
