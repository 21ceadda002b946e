//! Executes the follower's actions on a single-threaded runtime. No decisions are made here.

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
use crate::core::follow::{
    Action, Follower, Protocol, RegistrySettings, RequestId, Response, Status,
};

/// Responses queued for the follower; beyond that, streams are not read any further.
const RESPONSE_QUEUE_CAPACITY: usize = 16;
/// Limit on one response: 20,000 entries of some 200 bytes are 4 MB.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Sends the responses of one request to the follower.
#[derive(Clone)]
struct ResponseSender {
    request: RequestId,
    responses: mpsc::Sender<(RequestId, Response)>,
}

impl ResponseSender {
    /// Returns false if the follower has ended.
    async fn send(&self, response: Response) -> bool {
        self.responses.send((self.request, response)).await.is_ok()
    }
}

/// The client of the current endpoint.
enum Session {
    Etcd(etcd::Session),
    Consul(consul::Session),
}

/// The status of the registry follower.
pub struct RegistryStatus {
    pub status: Status,
    /// The address of the current endpoint.
    pub endpoint: String,
    /// The lines of the view, if requested.
    pub view: Option<Vec<LocatedSearcher>>,
}

/// A request for the status.
pub struct StatusRequest {
    /// Whether to include the view.
    pub view: bool,
    pub reply: oneshot::Sender<RegistryStatus>,
}

/// The queue of status requests.
pub type StatusRequests = mpsc::Sender<StatusRequest>;

/// Follows the registry with the latest of `settings_updates`. Sends each update, converted by `to_event`, to `queue`,
/// and answers status requests. Ends when the queue or the sender of settings is closed.
pub async fn follow<T>(
    mut settings_updates: watch::Receiver<RegistrySettings>,
    names: Names,
    seed: u64,
    clock: impl Fn() -> Time,
    queue: mpsc::Sender<T>,
    to_event: impl Fn(List) -> T,
    mut status_requests: mpsc::Receiver<StatusRequest>,
) {
    let (responses, mut received) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
    let mut follower = Follower::new(
        clock(),
        settings_updates.borrow_and_update().clone(),
        names,
        seed,
    );
    let mut transport = Transport {
        responses,
        session: None,
        requests: Vec::new(),
    };
    let mut next_update = clock();
    let actions = follower.step(clock(), None);
    transport.execute(&follower, actions);
    loop {
        let now = clock();
        let can_send_update = follower.has_update() && now >= next_update;
        let wake = if follower.has_update() {
            follower.next_due().min(next_update.max(now))
        } else {
            follower.next_due()
        };
        let wait = if can_send_update {
            follower.next_due().since(now)
        } else {
            wake.since(now)
        };
        let actions = tokio::select! {
            Some(request) = status_requests.recv() => {
                let status = follower.status(now);
                let endpoint = follower.settings().endpoints[status.endpoint.0].clone();
                let view = request.view.then(|| follower.lines());
                let _ = request.reply.send(RegistryStatus { status, endpoint, view });
                Vec::new()
            }
            response = received.recv() => follower.step(clock(), response),
            changed = settings_updates.changed() => {
                if changed.is_err() {
                    return;
                }
                let settings = settings_updates.borrow_and_update().clone();
                transport.requests.clear();
                follower.apply_settings(clock(), settings)
            }
            permit = queue.reserve(), if can_send_update => {
                let Ok(permit) = permit else { return };
                if let Some(list) = follower.take_update() {
                    permit.send(to_event(list));
                }
                next_update = clock() + follower.update_interval();
                Vec::new()
            }
            () = tokio::time::sleep(Duration::from_micros(wait.as_micros())) => follower.step(clock(), None),
        };
        transport.execute(&follower, actions);
    }
}

/// The task of a request; dropping it aborts the task.
struct RequestTask(JoinHandle<()>);

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Executes actions, with at most one session at a time.
struct Transport {
    responses: mpsc::Sender<(RequestId, Response)>,
    session: Option<Session>,
    requests: Vec<RequestTask>,
}

impl Transport {
    fn execute(&mut self, follower: &Follower, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Notify(notice) if notice.is_warning() => {
                    tracing::warn!(target: "registry", kind = notice.kind(), "{notice}");
                }
                Action::Notify(notice) => {
                    tracing::info!(target: "registry", kind = notice.kind(), "{notice}");
                }
                Action::Close => {
                    self.requests.clear();
                    self.session = None;
                }
                action => self.start_request(follower.settings(), action),
            }
        }
    }

    /// Starts the task of a request, and opens a session if there is none.
    fn start_request(&mut self, settings: &RegistrySettings, action: Action) {
        let endpoint = match &action {
            Action::Read { endpoint, .. }
            | Action::Watch { endpoint, .. }
            | Action::Poll { endpoint, .. } => *endpoint,
            Action::RequestProgress { .. } => {
                if let Some(Session::Etcd(session)) = &self.session {
                    session.ask_progress();
                }
                return;
            }
            Action::Close | Action::Notify(_) => return,
        };
        let (endpoint, prefix) = (&settings.endpoints[endpoint.0], &settings.prefix);
        let session = self.session.get_or_insert_with(|| match settings.protocol {
            Protocol::Etcd => {
                Session::Etcd(etcd::Session::new(endpoint, prefix, settings.silent_after))
            }
            Protocol::Consul => Session::Consul(consul::Session::new(endpoint, prefix)),
        });
        let responses = |request| ResponseSender {
            request,
            responses: self.responses.clone(),
        };
        let task = match (session, action) {
            (
                Session::Etcd(session),
                Action::Read {
                    request,
                    after,
                    limit,
                    at,
                    ..
                },
            ) => tokio::task::spawn_local(session.read(responses(request), after, limit, at)),
            (Session::Etcd(session), Action::Watch { request, start, .. }) => {
                tokio::task::spawn_local(session.watch(responses(request), start))
            }
            (
                Session::Consul(session),
                Action::Poll {
                    request,
                    index,
                    wait,
                    stale,
                    ..
                },
            ) => {
                let timeout = wait.times(17.0 / 16.0) + settings.silent_after;
                tokio::task::spawn_local(session.poll(
                    responses(request),
                    index,
                    wait,
                    stale,
                    timeout,
                ))
            }
            _ => return,
        };
        self.requests.retain(|request| !request.0.is_finished());
        self.requests.push(RequestTask(task));
    }
}

/// Reads the whole prefix once from the first endpoint, as a client without watches would. Returns its revision if the
/// read succeeded. For comparison only.
pub async fn read_whole(settings: &RegistrySettings) -> Option<Revision> {
    let (sender, mut received) = mpsc::channel(1);
    let responses = ResponseSender {
        request: RequestId(0),
        responses: sender,
    };
    let endpoint = settings.endpoints.first()?;
    let read = async {
        match settings.protocol {
            Protocol::Etcd => {
                let session = etcd::Session::new(endpoint, &settings.prefix, settings.silent_after);
                session.read(responses, None, 0, None).await;
            }
            Protocol::Consul => {
                let session = consul::Session::new(endpoint, &settings.prefix);
                session
                    .poll(
                        responses,
                        Revision(0),
                        Span::ZERO,
                        false,
                        settings.silent_after,
                    )
                    .await;
            }
        }
    };
    tokio::time::timeout(
        Duration::from_micros(settings.silent_after.as_micros()),
        read,
    )
    .await
    .ok()?;
    match received.recv().await?.1 {
        Response::Page { version, .. } => Some(version.revision),
        Response::Snapshot { index, .. } => Some(index),
        _ => None,
    }
}
