//! The HTTP server for clients: accepts connections, reads requests and writes responses.

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
use lockusher_registry_client::io::{StatusRequest, StatusRequests};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};

use crate::config::SocketLimits;
use crate::protocol::MAX_BODY_BYTES;
use crate::protocol::client::{self, Head, RequestError};
use crate::routing::searcher_transport::ClientConnected;
use crate::routing::{ClientResponse, PendingRequest, RouterEvent};
use crate::transport::client_stream::{ClientStream, ConnectionState, Connections, LINGER};

/// Pause before accepting is tried again: long enough not to spin, short enough not to delay clients.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connection slots that are kept free, about as many as are closed at a time.
const SPARE_SLOTS: usize = 8;
/// Interval at which connections are checked for being overdue.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Progress of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No shutdown has been requested.
    Running,
    /// The readiness check fails; clients may go on using their connections.
    Draining,
    /// Idle connections are closed, and every response closes its connection.
    Closing,
}

/// State shared by all connections.
pub struct ServerState {
    pub names: Names,
    pub sockets: SocketLimits,
    pub queue: mpsc::Sender<RouterEvent>,
    /// Reports clients that disconnected; holds at most as many entries as multigets were accepted.
    pub disconnected: mpsc::UnboundedSender<MultigetId>,
    /// Whether the mixer has searchers to serve from.
    pub ready: Rc<Cell<bool>>,
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Size in bytes of the request bodies being read or in flight.
    pub body_bytes: Cell<usize>,
    /// Queries to the registry follower, if a registry is followed.
    pub registry: Option<StatusRequests>,
    /// Queries to the membership task, if membership is enabled.
    pub fleet: Option<fleet::FleetRequestSender>,
}

impl ServerState {
    fn is_stopping(&self) -> bool {
        *self.shutdown.borrow() != ShutdownPhase::Running
    }

    fn is_closing(&self) -> bool {
        *self.shutdown.borrow() == ShutdownPhase::Closing
    }
}

/// Serves connections until `stop_accepting` is notified; completes when the last accepted one has ended.
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
        // Disconnections are detected by [`ClientStream`]; requests received before malformed input are still
        // answered.
        .h1_allow_half_closed(true)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.state.clone());
        })
        .finish(fn_service(move |request: Request| {
            let server = service_state.clone();
            async move { Ok::<_, Infallible>(handle(request, &server).await) }
        }))
        .new_service(())
        .await;
    let Ok(service) = service else {
        return tracing::info!("the client server could not be created");
    };
    let start_connection = |stream: TcpStream, peer, slot: OwnedSemaphorePermit| {
        let _ = stream.set_nodelay(true);
        let stream = ClientStream::new(stream);
        let number = connections.add(stream.state.clone());
        connections.limit_used(server.sockets.max_used_client_connections);
        let connection = service.call((stream, Protocol::Http1, Some(peer)));
        let connections = connections.clone();
        actix_rt::spawn(async move {
            // An error on a connection concerns its client alone.
            let _ = connection.await;
            connections.remove(number);
            drop(slot);
        });
    };
    let accept = async {
        loop {
            // Acquire the slot first: an accepted connection without one would be reset if accepting stops now.
            // Without a free slot, further connections wait in the backlog of the listener until one can be closed.
            // Some slots are freed ahead of need, so that a burst does not wait for each close.
            let slot = loop {
                if slots.available_permits() + connections.closing_count() < SPARE_SLOTS {
                    // Connections that were just accepted are read first, to tell whether they carry a request.
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
    // Connections in the backlog count as accepted: they are served as far as slots become free.
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
    let state = request
        .conn_data::<Rc<ConnectionState>>()
        .cloned()
        .unwrap_or_default();
    state.begin_request();
    let mut response = match request.path() {
        client::UP_PATH if server.ready.get() && !server.is_stopping() => text_response(200, "up"),
        client::UP_PATH => text_response(503, "not serving"),
        path @ (client::REGISTRY_PATH | client::REGISTRY_VIEW_PATH)
            if let Some(asks) = &server.registry =>
        {
            registry(asks, path == client::REGISTRY_VIEW_PATH, &server.names).await
        }
        client::FLEET_PATH if let Some(asks) = &server.fleet => fleet(asks).await,
        _ => match multiget(&mut request, server, &state).await {
            Ok(response) => response,
            Err(error) => {
                let mut response = text_response(error.status, &error.message);
                if !state.is_body_complete() {
                    // The end of the request is unknown, so nothing that follows may be parsed as a request.
                    state.ignore_further_input();
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                response
            }
        },
    };
    state.finish_request(request.path() != client::UP_PATH && !response.status().is_client_error());
    if server.is_closing() || state.is_closing() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn registry(asks: &StatusRequests, view: bool, names: &Names) -> Response<BoxBody> {
    let (reply, shown) = oneshot::channel();
    let sent = asks.send(StatusRequest { view, reply }).await;
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

async fn fleet(asks: &fleet::FleetRequestSender) -> Response<BoxBody> {
    let (reply, shown) = oneshot::channel();
    let sent = asks.send(fleet::FleetRequest::Status(reply)).await;
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

/// Reports the disconnection of a client to the router, unless its multiget has been answered.
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

/// The first bytes of each body are not counted against the shared limit, so that large bodies cannot shut out
/// usual ones.
const SMALL_BODY: usize = 8 * 1024;

/// The share of a body in the total of buffered bytes, released on drop.
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
    state: &Rc<ConnectionState>,
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
    let received_at = state.body_complete();
    // After a stall, the request and the disconnection of its client may be read together: nothing is sent for a
    // client that has disconnected by now.
    tokio::task::yield_now().await;
    if !state.is_connected() {
        return Ok(text_response(500, "its client has gone"));
    }
    let request = client::decode(&head, &body, &server.names, server.sockets.shard_count)?;
    drop(body);
    let (reply, reply_received) = oneshot::channel();
    let id = request.id.clone();
    let client_state = state.clone();
    let client_connected: ClientConnected = Rc::new(move || client_state.is_connected());
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
        // The response reaches nobody; the multiget is given up.
        () = state.wait_disconnected() => return Ok(text_response(500, "its client has gone")),
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

/// Listens on this address only, with a backlog of 1,024 connections.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    })?;
    socket.listen(1_024)
}
