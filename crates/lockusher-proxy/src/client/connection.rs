//! Serves the requests of one client connection, one after another.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use compio::runtime::fd::PollFd;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use socket2::Socket;

use super::registry::ClientState;
use super::stream::ClientStream;
use crate::forward::forward;
use crate::proxy_state::{ProxyState, RequestInFlight};
use crate::relay::ResponseAborted;
use crate::response::{ResponseBody, closing};

/// The minimum buffer size that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Serves a client until it disconnects, the proxy closes the connection, or the client violates the protocol.
pub(crate) async fn serve(shared: Rc<ProxyState>, socket: PollFd<Socket>, state: Rc<ClientState>) {
    let header_bytes = shared
        .routes()
        .map(|routes| routes.configuration().limits.header_bytes as usize);
    let stream = ClientStream::new(socket, state.clone());
    let service = service_fn(|request| respond(shared.clone(), state.clone(), request));
    let mut builder = Builder::new();
    builder.auto_date_header(false);
    if let Some(limit) = header_bytes {
        builder.max_buf_size(limit.max(MIN_HEAD_BUFFER_BYTES));
    }
    let mut connection = pin!(builder.serve_connection(stream, service));
    poll_fn(|cx| {
        if state.must_close(cx.waker()) {
            return Poll::Ready(());
        }
        connection.as_mut().poll(cx).map(|ended| {
            if let Err(error) = ended {
                log::debug!("client connection ended: {error}");
            }
        })
    })
    .await;
}

/// Forwards one request, counted as in flight until the end of the response.
async fn respond(
    shared: Rc<ProxyState>,
    state: Rc<ClientState>,
    request: Request<Incoming>,
) -> Result<Response<ClientBody>, Infallible> {
    state.begin_request();
    let in_flight = ExchangeInFlight {
        state,
        _count: shared.start_request(),
    };
    let mut response = forward(&shared, request).await;
    if shared.is_draining() {
        response = closing(response);
    }
    Ok(response.map(|body| ClientBody {
        body,
        _in_flight: in_flight,
    }))
}

/// Guard of a request in flight, from its head to the end of its response.
struct ExchangeInFlight {
    state: Rc<ClientState>,
    _count: RequestInFlight,
}

impl Drop for ExchangeInFlight {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

/// The body of a response; the request counts as in flight until the body is dropped.
struct ClientBody {
    body: ResponseBody,
    _in_flight: ExchangeInFlight,
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
