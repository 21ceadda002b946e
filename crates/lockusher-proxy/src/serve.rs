//! Runs a proxy from its start to the end of its graceful shutdown.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::{Stream, StreamExt, pin_mut};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::load::ServiceLoad;
use lockusher_distribution::subscribe::FeedUpdate;
use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};
use lockusher_transport::tcp::unless_stopped;

use crate::client::listener::{accept_clients, listen, sweep};
use crate::client::registry::ClientRegistry;
use crate::error::ProxyError;
use crate::proxy_state::ProxyState;
use crate::readiness::serve_readiness;

/// Time within which the platform detects that a proxy is no longer ready.
const READINESS_DETECTION: Duration = Duration::from_secs(3);

/// The maximum fraction of the grace period that is left to the platform for that detection, in eighths.
const READINESS_DETECTION_EIGHTHS: u32 = 3;

/// Part of the grace period that is reserved for the exit of the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// Interval at which a draining proxy checks whether requests are in flight.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which readiness and unserved requests are checked for log lines that are due.
const STATUS_LOG_INTERVAL: Duration = Duration::from_millis(250);

/// How long the proxy is not ready before this is logged first.
const NOT_READY_LOG_DELAY_MS: u64 = 500;
/// Interval between two log lines while the proxy is not ready.
const NOT_READY_LOG_INTERVAL_MS: u64 = 2_000;

/// Interval between two reports of the load that this proxy puts on the searchers.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// [`run_and_report`] without load reports.
///
/// # Errors
///
/// [`ProxyError`] if an address is missing from the settings or can't be listened on.
pub async fn run(
    settings: NodeSettings,
    feed: impl Stream<Item = FeedUpdate> + 'static,
    stop: impl Future<Output = ()>,
) -> Result<(), ProxyError> {
    run_and_report(settings, feed, |_| (), stop).await
}

/// Serves until `stop` completes, and calls `report` twice a second with the load on the searchers.
///
/// The shutdown is graceful: readiness probes fail at once, but the proxy continues to serve until the platform has
/// detected that. Then it stops accepting clients, finishes the requests in flight and returns, within the grace period.
///
/// # Errors
///
/// [`ProxyError`] if an address is missing from the settings or can't be listened on.
pub async fn run_and_report(
    settings: NodeSettings,
    feed: impl Stream<Item = FeedUpdate> + 'static,
    report: impl Fn(Vec<ServiceLoad>) + 'static,
    stop: impl Future<Output = ()>,
) -> Result<(), ProxyError> {
    let front = settings
        .front
        .ok_or(ProxyError::MissingAddress { name: "front" })?;
    let readiness = settings
        .readiness
        .ok_or(ProxyError::MissingAddress { name: "readiness" })?;
    pin_mut!(stop);
    let open = async { Ok::<_, ProxyError>((listen(front).await?, listen(readiness).await?)) };
    let opened = unless_stopped(open, stop.as_mut()).await;
    let Some((front, readiness)) = opened.transpose()? else {
        return Ok(());
    };
    let shared = ProxyState::new(&settings, rand::random());
    let clients = Rc::new(ClientRegistry::default());
    // Dropping a task's handle cancels the task.
    let accepting = compio::runtime::spawn(accept_clients(shared.clone(), clients.clone(), front));
    let _tasks = [
        compio::runtime::spawn(apply_updates(shared.clone(), feed)),
        compio::runtime::spawn(serve_readiness(shared.clone(), readiness)),
        compio::runtime::spawn(sweep(shared.clone(), clients.clone())),
        compio::runtime::spawn(report_loads(shared.clone(), report)),
        compio::runtime::spawn(log_status(shared.clone())),
    ];
    stop.await;
    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let start = Instant::now();
    let detection = READINESS_DETECTION.min(grace * READINESS_DETECTION_EIGHTHS / 8);
    shared.begin_draining();
    compio::time::sleep(detection).await;
    drop(accepting);
    clients.close_idle();
    drain_requests(
        &shared,
        start + grace.saturating_sub(SHUTDOWN_RESERVE).max(detection),
    )
    .await;
    Ok(())
}

/// Applies the updates of the feed until it ends.
async fn apply_updates(shared: Rc<ProxyState>, feed: impl Stream<Item = FeedUpdate>) {
    let mut feed = std::pin::pin!(feed);
    while let Some(update) = feed.next().await {
        shared.apply(update);
    }
    log::warn!("the feed ended; serving with the last configuration and instance list");
}

/// Reports the load on the searchers periodically; runs until it is cancelled.
async fn report_loads(shared: Rc<ProxyState>, report: impl Fn(Vec<ServiceLoad>)) {
    loop {
        compio::time::sleep(LOAD_REPORT_INTERVAL).await;
        let loads = shared.router.borrow_mut().take_loads(shared.clock.micros());
        if let Some(loads) = loads {
            report(loads);
        }
    }
}

/// Logs why this proxy isn't ready and why requests aren't served; runs until it is cancelled.
async fn log_status(shared: Rc<ProxyState>) {
    let mut not_ready = RecurrenceLog::new(NOT_READY_LOG_DELAY_MS, NOT_READY_LOG_INTERVAL_MS);
    let mut has_been_ready = false;
    loop {
        compio::time::sleep(STATUS_LOG_INTERVAL).await;
        let now_ms = shared.clock.millis();
        match shared.missing() {
            Some(missing) => {
                if let Some(Recurrence { for_ms, .. }) = not_ready.observe(now_ms) {
                    log::warn!("not ready for {for_ms} ms: no {missing}");
                }
            }
            None if !has_been_ready => {
                has_been_ready = true;
                log::info!("ready after {now_ms} ms");
            }
            None => {}
        }
        shared.log_unserved();
    }
}

/// Waits until no request is in flight and none was accepted since the last check, at most until `deadline`.
async fn drain_requests(shared: &ProxyState, deadline: Instant) {
    let mut accepted = shared.requests_accepted();
    while Instant::now() < deadline {
        compio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        let is_idle = shared.requests_in_flight() == 0 && shared.requests_accepted() == accepted;
        if is_idle {
            return;
        }
        accepted = shared.requests_accepted();
    }
    log::warn!(
        "shut down with {} requests in flight",
        shared.requests_in_flight()
    );
}
