//! The watch on discovery.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use lockusher::interface::Span;
use lockusher_host::settings::Names;
use tokio::sync::{Notify, mpsc};

use crate::clock::duration;
use crate::config::Sockets;
use crate::log;
use crate::protocol::discovery::{self, List};
use crate::routing::Arrival;

/// A watch goes on if the next call comes within this of the last answer.
const WITHIN: Duration = Duration::from_millis(200);
/// One that answers at once with nothing is not asked faster than this.
const PACE: Duration = Duration::from_millis(100);
/// How long after its wait a call's answer may still come.
const LATE: Duration = Duration::from_secs(2);

/// Watches for what is newer than `from`, for good. Where discovery tells only those that ask, a watch begins
/// when asked for, and its failure is told.
pub async fn watch(
    address: SocketAddr,
    sockets: Sockets,
    names: Names,
    mut from: Option<u64>,
    asked: std::rc::Rc<Notify>,
    queue: mpsc::Sender<Arrival>,
) {
    let hold = duration(sockets.hold) + LATE;
    // No time-out of the client's own may end a watch early.
    let connector = Connector::new().timeout(duration(sockets.connect_timeout)).conn_lifetime(hold * 1_000);
    let client = Client::builder().connector(connector).timeout(hold).finish();
    loop {
        if sockets.on_request {
            asked.notified().await;
        }
        loop {
            let began = Instant::now();
            let told = match call(&client, address, &names, from, sockets.hold, hold).await {
                Ok(list) if list.complete || from.is_some_and(|from| list.index >= from) => list,
                Ok(list) => {
                    // A version that goes back, or a change to a list not held, tells of a restart there.
                    log!("discovery went back to version {}: asking for the whole list", list.index);
                    from = None;
                    tokio::time::sleep(PACE).await;
                    continue;
                }
                Err(error) => {
                    log!("discovery: {error}");
                    if sockets.on_request {
                        break;
                    }
                    tokio::time::sleep(WITHIN).await;
                    continue;
                }
            };
            from = Some(told.index);
            let nothing = told.lines.is_empty();
            if queue.send(Arrival::Told(Some(told))).await.is_err() {
                return;
            }
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
