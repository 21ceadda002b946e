//! What carries the follower's acts out, on the one-threaded runtime. Nothing here decides.

mod consul;
mod etcd;

pub use etcd::range_end as etcd_range_end;

use std::time::Duration;

use lockusher_multiget::list::{List, LocatedSearcher};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{Span, Time};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::core::entry::Revision;
use crate::core::follow::{Act, Call, Follower, Heard, Plan, Protocol, Status};

/// Answers that wait for the follower; a stream that brings more waits on its connection.
const MOST_WAITING: usize = 16;
/// What one answer may take: 20,000 entries of some 200 bytes are 4 MB.
const MOST_ANSWER: usize = 32 * 1024 * 1024;
/// Where a call's answers go.
#[derive(Clone)]
struct Ear {
    call: Call,
    heard: mpsc::Sender<(Call, Heard)>,
}

impl Ear {
    /// Whether anybody listens.
    async fn hear(&self, heard: Heard) -> bool {
        self.heard.send((self.call, heard)).await.is_ok()
    }
}

/// What is open at an endpoint.
enum Open {
    Etcd(etcd::Session),
    Consul(consul::Session),
}

/// How the registry stands, for whoever asks.
pub struct Shown {
    pub status: Status,
    /// The endpoint that is asked now.
    pub endpoint: String,
    /// The view that is held, if it was asked for.
    pub view: Option<Vec<LocatedSearcher>>,
}

/// A question how the registry stands.
pub struct Ask {
    pub view: bool,
    pub reply: oneshot::Sender<Shown>,
}

/// The way to ask.
pub type Asks = mpsc::Sender<Ask>;

/// Follows the registry for good, as `plans` says; each list goes into the queue as `told` makes it; whoever asks is
/// shown how things stand. Ends when nobody takes what it tells.
pub async fn follow<T>(
    mut plans: watch::Receiver<Plan>,
    names: Names,
    seed: u64,
    clock: impl Fn() -> Time,
    queue: mpsc::Sender<T>,
    told: impl Fn(List) -> T,
    mut asks: mpsc::Receiver<Ask>,
) {
    let (hears, mut heard) = mpsc::channel(MOST_WAITING);
    let mut follower = Follower::new(clock(), plans.borrow_and_update().clone(), names, seed);
    let mut carrier = Carrier {
        hears,
        open: None,
        calls: Vec::new(),
    };
    let mut next_told = clock();
    let acts = follower.step(clock(), None);
    carrier.carry_out(&follower, acts);
    loop {
        let now = clock();
        let may_tell = follower.has_news() && now >= next_told;
        let wake = if follower.has_news() {
            follower.due().min(next_told.max(now))
        } else {
            follower.due()
        };
        let wait = if may_tell {
            follower.due().since(now)
        } else {
            wake.since(now)
        };
        let acts = tokio::select! {
            Some(ask) = asks.recv() => {
                let status = follower.status(now);
                let endpoint = follower.plan().endpoints[status.endpoint.0].clone();
                let view = ask.view.then(|| follower.lines());
                let _ = ask.reply.send(Shown { status, endpoint, view });
                Vec::new()
            }
            got = heard.recv() => follower.step(clock(), got),
            changed = plans.changed() => {
                if changed.is_err() {
                    return;
                }
                let plan = plans.borrow_and_update().clone();
                carrier.calls.clear();
                follower.replan(clock(), plan)
            }
            place = queue.reserve(), if may_tell => {
                let Ok(place) = place else { return };
                if let Some(list) = follower.news() {
                    place.send(told(list));
                }
                next_told = clock() + follower.told_apart();
                Vec::new()
            }
            () = tokio::time::sleep(Duration::from_micros(wait.as_micros())) => follower.step(clock(), None),
        };
        carrier.carry_out(&follower, acts);
    }
}

/// A call under way; it ends when dropped.
struct Running(JoinHandle<()>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Carrier {
    hears: mpsc::Sender<(Call, Heard)>,
    open: Option<Open>,
    calls: Vec<Running>,
}

impl Carrier {
    fn carry_out(&mut self, follower: &Follower, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Say(notice) if notice.is_trouble() => {
                    tracing::warn!(target: "registry", kind = notice.kind(), "{notice}");
                }
                Act::Say(notice) => {
                    tracing::info!(target: "registry", kind = notice.kind(), "{notice}");
                }
                Act::Close => {
                    self.calls.clear();
                    self.open = None;
                }
                act => self.ask(follower.plan(), act),
            }
        }
    }

    fn ask(&mut self, plan: &Plan, act: Act) {
        let from = match &act {
            Act::Read { from, .. } | Act::Watch { from, .. } | Act::Poll { from, .. } => *from,
            Act::AskProgress { .. } => {
                if let Some(Open::Etcd(session)) = &self.open {
                    session.ask_progress();
                }
                return;
            }
            Act::Close | Act::Say(_) => return,
        };
        let (endpoint, prefix) = (&plan.endpoints[from.0], &plan.prefix);
        let open = self.open.get_or_insert_with(|| match plan.protocol {
            Protocol::Etcd => Open::Etcd(etcd::Session::new(endpoint, prefix, plan.silent_after)),
            Protocol::Consul => Open::Consul(consul::Session::new(endpoint, prefix)),
        });
        let ear = |call| Ear {
            call,
            heard: self.hears.clone(),
        };
        let running = match (open, act) {
            (
                Open::Etcd(session),
                Act::Read {
                    call,
                    after,
                    limit,
                    at,
                    ..
                },
            ) => tokio::task::spawn_local(session.read(ear(call), after, limit, at)),
            (Open::Etcd(session), Act::Watch { call, start, .. }) => {
                tokio::task::spawn_local(session.watch(ear(call), start))
            }
            (
                Open::Consul(session),
                Act::Poll {
                    call,
                    index,
                    wait,
                    stale,
                    ..
                },
            ) => {
                let most = wait.times(17.0 / 16.0) + plan.silent_after;
                tokio::task::spawn_local(session.poll(ear(call), index, wait, stale, most))
            }
            _ => return,
        };
        self.calls.retain(|call| !call.0.is_finished());
        self.calls.push(Running(running));
    }
}

/// Reads the whole prefix once from the first endpoint that is named, as a client without watches would; the
/// revision that it shows, if it was read. For comparison only.
pub async fn read_whole(plan: &Plan) -> Option<Revision> {
    let (hears, mut heard) = mpsc::channel(1);
    let ear = Ear {
        call: Call(0),
        heard: hears,
    };
    let endpoint = plan.endpoints.first()?;
    let read = async {
        match plan.protocol {
            Protocol::Etcd => {
                let session = etcd::Session::new(endpoint, &plan.prefix, plan.silent_after);
                session.read(ear, None, 0, None).await;
            }
            Protocol::Consul => {
                let session = consul::Session::new(endpoint, &plan.prefix);
                session
                    .poll(ear, Revision(0), Span::ZERO, false, plan.silent_after)
                    .await;
            }
        }
    };
    tokio::time::timeout(Duration::from_micros(plan.silent_after.as_micros()), read)
        .await
        .ok()?;
    match heard.recv().await?.1 {
        Heard::Page { version, .. } => Some(version.revision),
        Heard::Whole { index, .. } => Some(index),
        _ => None,
    }
}
