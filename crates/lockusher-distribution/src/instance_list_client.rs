//! Makes a list reader's calls to the platform.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::StatusCode;
use lockusher_config::instances_reader::InstancePage;
use lockusher_transport::clock::Clock;
use lockusher_transport::http;

use crate::instance_list_poller::{InstanceListPoll, InstanceListPoller, PollerStep};

/// The longest that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest pause before the reader is asked again, so that a change of its pace is seen.
const MAX_WAIT_MS: u64 = 500;

/// Makes one step: a pause or a call. Returns the list when a call made it whole.
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

/// Reads until the next whole list. The reader must have been started.
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
        Ok(answer) if answer.status == StatusCode::OK => match InstancePage::parse(&answer.body) {
            Ok(page) => {
                page.skipped.iter().for_each(|fault| log::warn!("platform's list: {fault}"));
                return poller.page(now_ms, page);
            }
            Err(faults) => {
                log::warn!("platform's list: {faults}");
                poller.fail(now_ms);
            }
        },
        Ok(answer) if is_passing(answer.status) => poller.back_off(now_ms),
        Ok(answer) => {
            log::warn!("platform's list: {path} answered {}", answer.status);
            poller.fail(now_ms);
        }
        Err(error) => {
            log::debug!("platform's list: {error}");
            poller.back_off(now_ms);
        }
    }
    None
}

fn is_passing(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}
