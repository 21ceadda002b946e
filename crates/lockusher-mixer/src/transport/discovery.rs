//! The watch on discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use lockusher::interface::Span;
use lockusher_host::list::List;
use lockusher_host::settings::Names;
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::duration;
use crate::config::Sockets;
use crate::protocol::discovery;
use crate::routing::Arrival;

/// A watch goes on if the next call comes within this of the last answer.
const WITHIN: Duration = Duration::from_millis(200);
/// One that answers at once with nothing is not asked faster than this.
const PACE: Duration = Duration::from_millis(100);
/// How long after its wait a call's answer may still come.
const LATE: Duration = Duration::from_secs(2);
/// The first wait at an address, well within the 4 s after which news of one that moved counts as told.
const FIRST: Span = Span::from_millis(1_000);

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
    let longest = duration(sockets.hold) + LATE;
    let connector =
        Connector::new().timeout(duration(sockets.connect_timeout)).conn_lifetime(longest * 1_000);
    let client = Client::builder().connector(connector).timeout(longest).finish();
    // Versions may begin anew at another address: a first wait that is short shows it soon.
    let mut hold = sockets.hold.min(FIRST);
    loop {
        if !std::mem::replace(began, !sockets.on_request) {
            asked.notified().await;
        }
        loop {
            let began = Instant::now();
            let told = match call(&client, address, names, *from, hold, duration(hold) + LATE).await {
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
                    if sockets.on_request {
                        break;
                    }
                    tokio::time::sleep(WITHIN).await;
                    continue;
                }
            };
            hold = sockets.hold;
            let (index, nothing) = (told.index, told.lines.is_empty());
            let Ok(place) = queue.reserve().await else { return };
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
    most: Duration,
) -> Result<List, String> {
    let url = format!("http://{address}{}", discovery::path(from, hold));
    let whole = async {
        let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("it answered {}", response.status()));
        }
        let body = response.body().limit(MOST_LIST).await.map_err(|e| e.to_string())?;
        discovery::decode(&body, names).map_err(|e| format!("no list: {e}"))
    };
    tokio::time::timeout(most, whole).await.map_err(|_| "silent".to_owned())?
}

/// A list of some thousand searchers.
const MOST_LIST: usize = 4 * 1024 * 1024;
