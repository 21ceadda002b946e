//! HTTP calls to the platform for an [`InstanceListPoller`].
//!
//! Used by the polling task at the head of the control plane, and by that of an agent whose lists are stale.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::StatusCode;
use lockusher_config::instances_reader::InstancePage;
use lockusher_transport::clock::Clock;
use lockusher_transport::http;
use lockusher_transport::recurrence::Recurrence;

use crate::instance_list_poller::{InstanceListPoll, InstanceListPoller, PollerStep};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait before the poller's next step is read again, in milliseconds, so that a change of its pace takes
/// effect.
const MAX_WAIT_MS: u64 = 500;

/// Executes the poller's next step, a wait or a call. Returns the list if the call completed it.
pub async fn step(
    poller: &mut InstanceListPoller,
    platform: SocketAddrV4,
    clock: Clock,
) -> Option<InstanceListPoll> {
    match poller.next_step(clock.millis()) {
        PollerStep::Wait { until_ms } => {
            let wait_ms = until_ms.saturating_sub(clock.millis()).min(MAX_WAIT_MS);
            compio::time::sleep(Duration::from_millis(wait_ms)).await;
            None
        }
        PollerStep::Call { path } => call(poller, platform, &path, clock).await,
    }
}

/// Polls until the next full list. The poller must be started.
pub async fn next_poll(
    poller: &mut InstanceListPoller,
    platform: SocketAddrV4,
    clock: Clock,
) -> InstanceListPoll {
    loop {
        if let Some(poll) = step(poller, platform, clock).await {
            return poll;
        }
    }
}

async fn call(
    poller: &mut InstanceListPoller,
    platform: SocketAddrV4,
    path: &str,
    clock: Clock,
) -> Option<InstanceListPoll> {
    let answer = http::get(platform, path, CALL_TIMEOUT).await;
    let now_ms = clock.millis();
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => receive_body(poller, now_ms, &answer.body),
        Ok(answer) if is_transient(answer.status) => {
            let outcome = format!("answered {}", answer.status);
            log_failure(poller, now_ms, platform, &outcome);
            poller.back_off(now_ms);
            None
        }
        Ok(answer) => {
            log::warn!("platform's list: GET {path} answered {}", answer.status);
            poller.restart(now_ms);
            None
        }
        Err(error) => {
            log::debug!("platform's list: call failed: {error}");
            log_failure(poller, now_ms, platform, &error.to_string());
            poller.back_off(now_ms);
            None
        }
    }
}

/// Logs repeated failures, at most once in each report interval.
fn log_failure(
    poller: &mut InstanceListPoller,
    now_ms: u64,
    platform: SocketAddrV4,
    outcome: &str,
) {
    if let Some(Recurrence { for_ms, count }) = poller.record_failure(now_ms) {
        log::warn!("platform's list at {platform}: {count} calls failed in {for_ms} ms: {outcome}");
    }
}

fn receive_body(
    poller: &mut InstanceListPoller,
    now_ms: u64,
    body: &[u8],
) -> Option<InstanceListPoll> {
    match InstancePage::parse(body) {
        Ok(page) => {
            for fault in &page.skipped {
                log::warn!("platform's list: invalid entry skipped: {fault}");
            }
            poller.receive_page(now_ms, page)
        }
        Err(faults) => {
            log::warn!("platform's list: invalid page: {faults}");
            poller.restart(now_ms);
            None
        }
    }
}

/// Whether the failure is transient, so that the same call may succeed later.
fn is_transient(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}
