//! Runs a proxy from its start to its orderly end.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::{Stream, StreamExt};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::load::ServiceLoad;
use lockusher_distribution::subscribe::FeedUpdate;

use crate::client::listener::{accept_clients, listen, sweep};
use crate::client::registry::ClientRegistry;
use crate::error::ProxyError;
use crate::shared::Shared;

const READINESS_PATH: &str = "/api/readiness";

/// The entry needs this long at most to notice that a proxy is no longer ready.
const ENTRY_NOTICE: Duration = Duration::from_secs(3);

/// Where the grace is short, this part of it is left to the entry to notice (eighths).
const ENTRY_NOTICE_EIGHTHS: u32 = 3;

/// Kept of the grace for the end itself.
const END_RESERVE: Duration = Duration::from_millis(500);

/// A stopping proxy is looked at this often.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Pause between two reports of this proxy's load.
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// [`run_and_report`] without reports.
///
/// # Errors
/// [`ProxyError`] if an address is missing or cannot be listened on.
pub async fn run(
    settings: NodeSettings,
    feed: impl Stream<Item = FeedUpdate> + 'static,
    stop: impl Future<Output = ()>,
) -> Result<(), ProxyError> {
    run_and_report(settings, feed, |_| (), stop).await
}

/// Serves until `stop` is ready, and calls `report` twice a second with the load on the searchers. Then it is no longer ready, but serves on until the entry has noticed; from then
/// it accepts no client, finishes the requests in hand and returns, within the grace.
///
/// # Errors
/// [`ProxyError`] if an address is missing or cannot be listened on.
pub async fn run_and_report(
    settings: NodeSettings,
    feed: impl Stream<Item = FeedUpdate> + 'static,
    report: impl Fn(Vec<ServiceLoad>) + 'static,
    stop: impl Future<Output = ()>,
) -> Result<(), ProxyError> {
    let front = settings.front.ok_or(ProxyError::MissingAddress { name: "front" })?;
    let readiness = settings.readiness.ok_or(ProxyError::MissingAddress { name: "readiness" })?;
    let front = listen(front)?;
    let readiness = listen(readiness)?;
    let shared = Shared::new(&settings, rand::random());
    let clients = Rc::new(ClientRegistry::default());
    // Tasks end when their handles are dropped.
    let accepting = compio::runtime::spawn(accept_clients(shared.clone(), clients.clone(), front));
    let _tasks = [
        compio::runtime::spawn(take_updates(shared.clone(), feed)),
        compio::runtime::spawn(answer_readiness(shared.clone(), readiness)),
        compio::runtime::spawn(sweep(shared.clone(), clients.clone())),
        compio::runtime::spawn(report_loads(shared.clone(), report)),
    ];
    stop.await;
    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let start = Instant::now();
    let notice = ENTRY_NOTICE.min(grace * ENTRY_NOTICE_EIGHTHS / 8);
    shared.begin_stop();
    compio::time::sleep(notice).await;
    drop(accepting);
    clients.close_idle();
    finish_requests(&shared, start + grace.saturating_sub(END_RESERVE).max(notice)).await;
    Ok(())
}

async fn take_updates(shared: Rc<Shared>, feed: impl Stream<Item = FeedUpdate>) {
    let mut feed = std::pin::pin!(feed);
    while let Some(update) = feed.next().await {
        shared.apply(update);
    }
    log::warn!("the feed ended; serving on with what is held");
}

async fn report_loads(shared: Rc<Shared>, report: impl Fn(Vec<ServiceLoad>)) {
    loop {
        compio::time::sleep(LOAD_PAUSE).await;
        let loads = shared.router.borrow_mut().take_loads(shared.clock.micros());
        if let Some(loads) = loads {
            report(loads);
        }
    }
}

/// Waits until no request is in hand and none has come lately, at most until `last`.
async fn finish_requests(shared: &Shared, last: Instant) {
    let mut taken = shared.requests_taken();
    while Instant::now() < last {
        compio::time::sleep(STOP_POLL).await;
        let quiet = shared.requests_in_hand() == 0 && shared.requests_taken() == taken;
        if quiet {
            return;
        }
        taken = shared.requests_taken();
    }
    log::warn!("ended with {} requests in hand", shared.requests_in_hand());
}

async fn answer_readiness(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(answer_probes(shared.clone(), stream)).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a readiness probe: {error}");
                compio::time::sleep(STOP_POLL).await;
            }
        }
    }
}

/// Answers the probes that come over one connection.
async fn answer_probes(shared: Rc<Shared>, stream: TcpStream) {
    let Ok(stream) = stream.into_poll_fd() else { return };
    let service = service_fn(|request| {
        let answer = probe_answer(&shared, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection =
        Builder::new().auto_date_header(false).serve_connection(HyperStream::new_plain(stream), service);
    if let Err(error) = connection.await {
        log::debug!("readiness connection ended: {error}");
    }
}

fn probe_answer(shared: &Shared, request: &Request<Incoming>) -> Response<Empty<Bytes>> {
    let status = match request.uri().path() {
        READINESS_PATH if shared.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = status;
    answer
}
