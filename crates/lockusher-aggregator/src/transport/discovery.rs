//! Watches discovery for changes of the searcher list by long polling.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use lockusher_multiget::list::List;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::Span;
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::duration;
use crate::config::SocketLimits;
use crate::protocol::discovery;
use crate::routing::RouterEvent;

/// Delay before a failed call is repeated; discovery continues a watch if the next call arrives within 200 ms of
/// the last answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Minimum interval between calls when answers arrive at once and are empty.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that a call is held open without changes. A silent watch is only detected by its timeout, and a
/// missed change must be applied within 6 s of discovery knowing it: this time, its grace period and two more
/// failing calls fit into that.
const MAX_HOLD: Span = Span::from_millis(1_000);
/// Hold time of the first call at an address and of each call after a failure, which must be answered almost at
/// once: after a move to another address changes must be applied within 4 s, and versions may start anew there.
const FIRST_HOLD: Span = Span::from_millis(50);
/// Grace periods: how much later than its hold time an answer may arrive. The usual one, the one for the first call
/// after a failure, and the maximum, for a slow agent.
const ANSWER_GRACE: Duration = Duration::from_millis(1_000);
const GRACE_AFTER_FAILURE: Duration = Duration::from_millis(500);
const MAX_GRACE: Duration = Duration::from_millis(2_000);

/// Watches for changes after `known_version` until the router stops, also when the address of discovery changes. If
/// lists are sent on request only, a watch starts when it is requested or the address changes, and a failed watch
/// is reported to the router.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    sockets: SocketLimits,
    names: Names,
    mut known_version: Option<u64>,
    list_requested: Rc<Notify>,
    queue: mpsc::Sender<RouterEvent>,
) {
    let mut requested = !sockets.lists_on_request;
    loop {
        let current = *address.borrow_and_update();
        let watching = watch_at(
            current,
            &sockets,
            &names,
            &mut known_version,
            &mut requested,
            &list_requested,
            &queue,
        );
        tokio::select! {
            () = watching => return,
            // The interrupted watch is repeated at the new address, from the last list that was passed on.
            Ok(()) = address.changed() => requested = true,
        }
    }
}

/// Watches at one address; completes when the router has stopped. A list counts as known once it is in the queue.
async fn watch_at(
    address: SocketAddr,
    sockets: &SocketLimits,
    names: &Names,
    known_version: &mut Option<u64>,
    requested: &mut bool,
    list_requested: &Notify,
    queue: &mpsc::Sender<RouterEvent>,
) {
    // The HTTP client's own timeouts must not end a watch early.
    let max_call_time = duration(MAX_HOLD) + MAX_GRACE;
    let connector = Connector::new()
        .timeout(duration(sockets.connect_timeout))
        .conn_lifetime(max_call_time * 1_000);
    let client = Client::builder()
        .connector(connector)
        .timeout(max_call_time)
        .finish();
    // The current hold time and grace period, and the usual grace period, derived from the duration of the last
    // first call.
    let (mut hold, mut grace, mut usual_grace) = (FIRST_HOLD, ANSWER_GRACE, ANSWER_GRACE);
    loop {
        if !std::mem::replace(requested, !sockets.lists_on_request) {
            list_requested.notified().await;
        }
        loop {
            let sent_at = Instant::now();
            let list = match call(&client, address, names, *known_version, hold, grace).await {
                Ok(list) if list.complete || known_version.is_some_and(|v| list.index >= v) => list,
                Ok(list) => {
                    // A version that decreases, or a change to a list that is not known, means that discovery
                    // restarted.
                    tracing::info!(
                        "discovery went back to version {}: asking for the whole list",
                        list.index
                    );
                    *known_version = None;
                    tokio::time::sleep(MIN_CALL_INTERVAL).await;
                    continue;
                }
                Err(error) => {
                    tracing::warn!("discovery: {error}");
                    grace = if hold == FIRST_HOLD {
                        (grace * 2).min(MAX_GRACE)
                    } else {
                        GRACE_AFTER_FAILURE
                    };
                    hold = FIRST_HOLD;
                    if sockets.lists_on_request {
                        break;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            usual_grace = if hold == FIRST_HOLD {
                (sent_at.elapsed() * 2).clamp(ANSWER_GRACE, MAX_GRACE)
            } else {
                usual_grace
            };
            (hold, grace) = (sockets.max_watch_hold.min(MAX_HOLD), usual_grace);
            let (index, is_empty) = (list.index, list.lines.is_empty());
            let Ok(permit) = queue.reserve().await else {
                return;
            };
            permit.send(RouterEvent::SearcherList(Some(list)));
            *known_version = Some(index);
            if is_empty && sent_at.elapsed() < MIN_CALL_INTERVAL {
                tokio::time::sleep(MIN_CALL_INTERVAL).await;
            }
        }
        if queue.send(RouterEvent::SearcherList(None)).await.is_err() {
            return;
        }
    }
}

/// Requests a list of searchers.
async fn call(
    client: &Client,
    address: SocketAddr,
    names: &Names,
    known_version: Option<u64>,
    hold: Span,
    grace: Duration,
) -> Result<List, String> {
    let url = format!("http://{address}{}", discovery::path(known_version, hold));
    let answer = async {
        let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("answered {}", response.status()));
        }
        let body = response
            .body()
            .limit(MAX_LIST_BYTES)
            .await
            .map_err(|e| e.to_string())?;
        discovery::decode(&body, names).map_err(|e| format!("invalid list: {e}"))
    };
    tokio::time::timeout(duration(hold) + grace, answer)
        .await
        .map_err(|_| "no answer in time".to_owned())?
}

/// Maximum size of a list in bytes, enough for several thousand searchers.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
