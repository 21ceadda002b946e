//! The watch on discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use lockusher_multiget::list::List;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::Span;
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::duration;
use crate::config::Sockets;
use crate::protocol::discovery;
use crate::routing::Arrival;

/// A watch goes on if the next call comes within this of the last answer.
const WITHIN: Duration = Duration::from_millis(200);
/// One that answers at once with nothing is not asked faster than this.
const PACE: Duration = Duration::from_millis(100);
/// How long a call waits for news that is not there yet. A watch that falls silent shows by nothing else, and what it
/// misses counts as told 6 s after discovery had it: this, its lateness and two more calls that hang fit into that.
const HOLD: Span = Span::from_millis(1_000);
/// The first call at an address, and each after a failure, is to be answered at once: news of an address that moved
/// counts as told after 4 s, and versions may begin anew there.
const AT_ONCE: Span = Span::from_millis(50);
/// How long after its wait a call's answer may still come: usually, first after a failure, and at the most, for an
/// agent that is slow.
const LATE: Duration = Duration::from_millis(1_000);
const LATE_AFTER_FAILURE: Duration = Duration::from_millis(500);
const LATEST: Duration = Duration::from_millis(2_000);

/// Watches for what is newer than `from`, for good, wherever discovery moves. Where it tells only those that ask,
/// a watch begins when asked for or when discovery moves, and its failure is told.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    sockets: Sockets,
    names: Names,
    mut from: Option<u64>,
    asked: Rc<Notify>,
    queue: mpsc::Sender<Arrival>,
) {
    let mut began = !sockets.on_request;
    loop {
        let at = *address.borrow_and_update();
        let watching = watch_at(at, &sockets, &names, &mut from, &mut began, &asked, &queue);
        tokio::select! {
            () = watching => return,
            // What was being told there is asked for anew, from the last list that was taken whole.
            Ok(()) = address.changed() => began = true,
        }
    }
}

/// Watches at one address; ends when nobody takes what it tells. A list counts once it is in the queue.
async fn watch_at(
    address: SocketAddr,
    sockets: &Sockets,
    names: &Names,
    from: &mut Option<u64>,
    began: &mut bool,
    asked: &Notify,
    queue: &mpsc::Sender<Arrival>,
) {
    // No time-out of the client's own may end a watch early.
    let longest = duration(HOLD) + LATEST;
    let connector = Connector::new()
        .timeout(duration(sockets.connect_timeout))
        .conn_lifetime(longest * 1_000);
    let client = Client::builder()
        .connector(connector)
        .timeout(longest)
        .finish();
    // How late an answer may be, and how late it may usually be, by how long the last first call took.
    let (mut hold, mut late, mut usual) = (AT_ONCE, LATE, LATE);
    loop {
        if !std::mem::replace(began, !sockets.on_request) {
            asked.notified().await;
        }
        loop {
            let began = Instant::now();
            let told = match call(&client, address, names, *from, hold, late).await {
                Ok(list) if list.complete || from.is_some_and(|from| list.index >= from) => list,
                Ok(list) => {
                    // A version that goes back, or a change to a list not held, tells of a restart there.
                    tracing::info!(
                        "discovery went back to version {}: asking for the whole list",
                        list.index
                    );
                    *from = None;
                    tokio::time::sleep(PACE).await;
                    continue;
                }
                Err(error) => {
                    tracing::warn!("discovery: {error}");
                    late = if hold == AT_ONCE {
                        (late * 2).min(LATEST)
                    } else {
                        LATE_AFTER_FAILURE
                    };
                    hold = AT_ONCE;
                    if sockets.on_request {
                        break;
                    }
                    tokio::time::sleep(WITHIN).await;
                    continue;
                }
            };
            usual = if hold == AT_ONCE {
                (began.elapsed() * 2).clamp(LATE, LATEST)
            } else {
                usual
            };
            (hold, late) = (sockets.hold.min(HOLD), usual);
            let (index, nothing) = (told.index, told.lines.is_empty());
            let Ok(place) = queue.reserve().await else {
                return;
            };
            place.send(Arrival::Told(Some(told)));
            *from = Some(index);
            if nothing && began.elapsed() < PACE {
                tokio::time::sleep(PACE).await;
            }
        }
        if queue.send(Arrival::Told(None)).await.is_err() {
            return;
        }
    }
}

async fn call(
    client: &Client,
    address: SocketAddr,
    names: &Names,
    from: Option<u64>,
    hold: Span,
    late: Duration,
) -> Result<List, String> {
    let url = format!("http://{address}{}", discovery::path(from, hold));
    let whole = async {
        let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("it answered {}", response.status()));
        }
        let body = response
            .body()
            .limit(MOST_LIST)
            .await
            .map_err(|e| e.to_string())?;
        discovery::decode(&body, names).map_err(|e| format!("no list: {e}"))
    };
    tokio::time::timeout(duration(hold) + late, whole)
        .await
        .map_err(|_| "silent".to_owned())?
}

/// A list of some thousand searchers.
const MOST_LIST: usize = 4 * 1024 * 1024;
