//! Serves the platform's readiness probes: whether this proxy may receive new clients.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};

use crate::proxy_state::ProxyState;

const READINESS_PATH: &str = "/api/readiness";

/// Delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and serves readiness probes on them; runs until it is cancelled.
pub(crate) async fn serve_readiness(shared: Rc<ProxyState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_probes(shared.clone(), stream)).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a readiness connection: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the probes of one connection.
async fn serve_probes(shared: Rc<ProxyState>, stream: TcpStream) {
    let Ok(stream) = stream.into_poll_fd() else {
        return;
    };
    let service = service_fn(|request| {
        let response = probe_response(&shared, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = Builder::new()
        .auto_date_header(false)
        .serve_connection(HyperStream::new_plain(stream), service);
    if let Err(error) = connection.await {
        log::debug!("readiness connection ended: {error}");
    }
}

fn probe_response(shared: &ProxyState, request: &Request<Incoming>) -> Response<Empty<Bytes>> {
    let status = match request.uri().path() {
        READINESS_PATH if shared.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}
