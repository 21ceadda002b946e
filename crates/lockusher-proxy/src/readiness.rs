//! Answers the platform's readiness probes: whether this proxy may receive new clients.

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

/// Delay after a probe's connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers readiness probes for ever.
pub(crate) async fn answer_readiness(shared: Rc<ProxyState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(answer_probes(shared.clone(), stream)).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a readiness probe: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the probes that come over one connection.
async fn answer_probes(shared: Rc<ProxyState>, stream: TcpStream) {
    let Ok(stream) = stream.into_poll_fd() else {
        return;
    };
    let service = service_fn(|request| {
        let answer = probe_answer(&shared, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = Builder::new()
        .auto_date_header(false)
        .serve_connection(HyperStream::new_plain(stream), service);
    if let Err(error) = connection.await {
        log::debug!("readiness connection ended: {error}");
    }
}

fn probe_answer(shared: &ProxyState, request: &Request<Incoming>) -> Response<Empty<Bytes>> {
    let status = match request.uri().path() {
        READINESS_PATH if shared.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = status;
    answer
}
