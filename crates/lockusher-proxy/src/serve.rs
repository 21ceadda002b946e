//! Runs a proxy from its start to the end of its graceful shutdown.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::{Stream, StreamExt, pin_mut};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::load::ServiceLoad;
use lockusher_distribution::subscribe::FeedUpdate;
use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};
use lockusher_transport::server::Acceptor;
use lockusher_transport::tcp::unless_stopped;

use crate::client::listener::{accept_clients, listen, sweep};
use crate::drain::DrainSchedule;
use crate::error::ProxyError;
use crate::proxy_state::ProxyState;
use crate::readiness::serve_readiness;

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
    let acceptor = accept_clients(&shared, front);
    // Dropping a task's handle cancels the task.
    let _tasks = [
        compio::runtime::spawn(apply_updates(shared.clone(), feed)),
        compio::runtime::spawn(serve_readiness(shared.clone(), readiness)),
        compio::runtime::spawn(sweep(shared.clone())),
        compio::runtime::spawn(report_loads(shared.clone(), report)),
        compio::runtime::spawn(log_status(shared.clone())),
    ];
    stop.await;
    let started = Instant::now();
    let schedule = DrainSchedule::new(Duration::from_millis(settings.bounds.grace_ms));
    shared.begin_draining(schedule, started);
    drain(&shared, schedule, started, acceptor).await;
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

/// Serves on as the schedule of the shutdown says, until all client connections have ended or the time is over.
async fn drain(shared: &ProxyState, schedule: DrainSchedule, started: Instant, acceptor: Acceptor) {
    compio::time::sleep_until(started + schedule.stop_reading).await;
    shared.clients.close_all_when_idle();
    acceptor.finish().await;
    let ended_by = async |at| {
        let ended = compio::time::timeout_at(started + at, shared.clients.all_ended());
        ended.await.is_ok()
    };
    if ended_by(schedule.cut_requests).await {
        return;
    }
    log::warn!(
        "shut down with {} requests in flight",
        shared.clients.requests_in_progress()
    );
    shared.clients.cut_requests();
    if !ended_by(schedule.exit).await {
        log::warn!(
            "ended before {} responses were written",
            shared.clients.requests_in_progress()
        );
    }
}
