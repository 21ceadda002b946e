//! Serves the requests of one client connection, one after another.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use lockusher_transport::server::{
    AcceptedSocket, ConnectionState, RegisteredConnection, RequestInProgress, ServerStream,
    TrackedBody,
};

use crate::forward::forward;
use crate::proxy_state::ProxyState;
use crate::response::{ResponseBody, closing};

/// The minimum buffer size that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Serves a client until it disconnects, the proxy closes the connection, or the client violates the protocol.
pub(crate) async fn serve(
    shared: Rc<ProxyState>,
    socket: AcceptedSocket,
    registered: RegisteredConnection,
) {
    let header_bytes = shared
        .routes()
        .map(|routes| routes.configuration().limits.header_bytes as usize);
    let stream = ServerStream::new(socket, registered.share());
    let service = service_fn(|request| respond(shared.clone(), registered.share(), request));
    let mut builder = Builder::new();
    builder.auto_date_header(false);
    if let Some(limit) = header_bytes {
        builder.max_buf_size(limit.max(MIN_HEAD_BUFFER_BYTES));
    }
    let mut connection = pin!(builder.serve_connection(stream, service));
    poll_fn(|cx| {
        registered.set_waker(cx.waker());
        connection.as_mut().poll(cx).map(|ended| {
            if let Err(error) = ended {
                log::debug!("client connection ended: {error}");
            }
        })
    })
    .await;
}

/// Forwards one request, which is in progress until its response is written.
async fn respond(
    shared: Rc<ProxyState>,
    state: Rc<ConnectionState>,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody<ResponseBody>>, Infallible> {
    let in_progress = RequestInProgress::begin(state);
    let mut response = forward(&shared, &in_progress, request).await;
    if shared.is_draining() {
        response = closing(response);
    }
    Ok(in_progress.respond(response))
}
