//! The router: the single task that owns the decision module. Transports reach it only through its queue.

mod dispatcher;
mod outcome_stats;
pub mod searcher_transport;

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use anyhow::Result;
use bytes::Bytes;
use lockusher_membership::core::shared_state::LocalReport;
use lockusher_multiget::host::{AttemptResult, Host, NewMultiget, NewPart};
use lockusher_policy::interface::*;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::check_invariant;
use crate::clock::{Clock, duration};
use crate::config::{Config, SocketLimits};
use crate::protocol::client::{Request, RequestError};
use dispatcher::Dispatcher;
use lockusher_multiget::list::List;
use searcher_transport::{ClientConnected, SearcherTransport};

/// An event for the router.
pub enum RouterEvent {
    /// A multiget request.
    Multiget(Box<PendingRequest>),
    /// The end of a send.
    SendEnded(SendEnded),
    /// A searcher list from discovery or the registry; `None` if the request for it failed.
    SearcherList(Option<List>),
    /// News from the fleet: the number of mixers, and the state they share.
    Fleet(PolicyUpdate),
    /// Requests this mixer's observations and totals, to be shared with the fleet.
    Report(oneshot::Sender<LocalReport>),
    /// The process shuts down: multigets in flight are given up.
    Stop,
}

/// A multiget with the reply channel to its client. The reply carries the time before which it must not be written.
pub struct PendingRequest {
    pub request: Request,
    /// When the last byte of the request was read.
    pub received_at: Instant,
    pub reply: oneshot::Sender<(ClientResponse, Instant)>,
    /// Tells whether the client is still connected.
    pub client_connected: ClientConnected,
}

/// The response to a client.
#[derive(Debug)]
pub enum ClientResponse {
    /// The encoded body of the answer.
    Answer(Bytes),
    /// Not admitted; with the time after which to retry, if known.
    PushedBack(Option<Span>),
    Failed,
    /// The request was invalid.
    Rejected(RequestError),
}

/// The end of a send.
pub struct SendEnded {
    pub part: PartId,
    /// Index of the send among the part's sends, starting at 0.
    pub nth: usize,
    pub outcome: Outcome,
    /// When the end was observed.
    pub at: Instant,
    /// Score and value, if an answer was returned.
    pub answer: Option<(i64, String)>,
}

/// The receiving ends of the router's queues.
pub struct RouterInputs {
    /// Events, in a bounded queue.
    pub events: mpsc::Receiver<RouterEvent>,
    /// Multigets whose clients have disconnected.
    pub disconnected: mpsc::UnboundedReceiver<MultigetId>,
}

/// Connects the decision module with clients, searchers and the fleet.
pub struct Router {
    clock: Clock,
    host: Host,
    dispatcher: Dispatcher,
    sockets: SocketLimits,
    inputs: RouterInputs,
    ready: Rc<Cell<bool>>,
    next_number: u64,
    /// Number of multigets without a final answer.
    open_multigets: Rc<Cell<usize>>,
    stopped: bool,
}

impl Router {
    /// Creates a router; fails if the settings are invalid.
    pub fn start(
        clock: Clock,
        config: &Config,
        transport: Box<dyn SearcherTransport>,
        list_requested: Rc<Notify>,
        inputs: RouterInputs,
        ready: Rc<Cell<bool>>,
        open_multigets: Rc<Cell<usize>>,
    ) -> Result<Self> {
        let host = Host::start(clock.now(), config.seed, &config.settings)?;
        let op_types = config.settings.op_types().map_err(anyhow::Error::msg)?;
        let dispatcher = Dispatcher::new(
            transport,
            &op_types,
            list_requested,
            config.sockets.max_buffered_bytes,
        );
        let sockets = config.sockets;
        Ok(Router {
            clock,
            host,
            dispatcher,
            sockets,
            inputs,
            ready,
            next_number: 0,
            open_multigets,
            stopped: false,
        })
    }

    /// Restores the searcher list that was known before the restart.
    pub fn restore_list(&mut self, list: List) {
        self.apply_list(self.clock.now(), list, PolicyUpdate::Cached);
    }

    /// Processes events until all senders of the queue are dropped.
    pub async fn run(mut self) {
        // Decisions are made once per batch; a longer batch would delay its first events.
        const MAX_EVENTS_PER_BATCH: usize = 64;
        let mut next = Some(Span::ZERO);
        loop {
            let wait = next.map_or(std::time::Duration::MAX, duration);
            let (mut event, mut disconnected) = (None, None);
            tokio::select! {
                received = self.inputs.events.recv() => match received {
                    Some(received) => event = Some(received),
                    None => return,
                },
                Some(id) = self.inputs.disconnected.recv() => disconnected = Some(id),
                () = tokio::time::sleep(wait) => {}
            }
            // Let the sockets be read first: after a stall of the process, a hedged request that is due must not be
            // sent for a client that has disconnected, nor a timeout be recorded for a send that has been answered.
            tokio::task::yield_now().await;
            let now = self.clock.now();
            self.dispatcher.begin_batch(now);
            event = event.or_else(|| self.inputs.events.try_recv().ok());
            disconnected = disconnected.or_else(|| self.inputs.disconnected.try_recv().ok());
            let mut handled = 0;
            while let Some(received) = event {
                self.handle_event(now, received);
                handled += 1;
                event = (handled < MAX_EVENTS_PER_BATCH)
                    .then(|| self.inputs.events.try_recv().ok())
                    .flatten();
            }
            while let Some(id) = disconnected {
                self.handle_disconnect(&id);
                disconnected = self.inputs.disconnected.try_recv().ok();
            }
            while let Some((part, nth)) = self.dispatcher.pop_timed_out() {
                self.handle_send_end(now, part, nth, Outcome::TimedOut, None);
            }
            next = self.settle(now);
        }
    }

    /// Handles one event of the queue.
    fn handle_event(&mut self, now: Time, event: RouterEvent) {
        match event {
            RouterEvent::Multiget(request) => self.handle_multiget(now, *request),
            RouterEvent::SendEnded(SendEnded {
                part,
                nth,
                outcome,
                at,
                answer,
            }) => {
                // An answer whose value exceeds the memory limit counts as an error.
                let stored = answer.is_none_or(|answer| self.dispatcher.store_value(&part, answer));
                let outcome = if stored { outcome } else { Outcome::Error };
                self.handle_send_end(now, part, nth, outcome, Some(self.clock.at(at)));
            }
            RouterEvent::SearcherList(Some(list)) => {
                let kind = if list.complete {
                    PolicyUpdate::All
                } else {
                    PolicyUpdate::Changes
                };
                self.apply_list(now, list, kind);
            }
            RouterEvent::Stop => {
                self.stopped = true;
                self.host.expire_all(now);
            }
            RouterEvent::Fleet(update) => {
                if let PolicyUpdate::QuotaShares(shares) = &update {
                    self.dispatcher.set_shares(shares);
                }
                self.host.apply_update(now, update);
            }
            RouterEvent::Report(reply) => {
                // The receiver may be gone.
                let (seen, totals) = (self.host.observations(), self.dispatcher.totals());
                let wants = self
                    .host
                    .budget_usage(now)
                    .into_iter()
                    .chain(self.dispatcher.spending_rates())
                    .collect();
                let _ = reply.send(LocalReport {
                    seen,
                    totals,
                    wants,
                });
            }
            RouterEvent::SearcherList(None) => self.host.apply_update(now, PolicyUpdate::Failed),
        }
    }

    /// Accepts or rejects a multiget.
    fn handle_multiget(
        &mut self,
        now: Time,
        PendingRequest {
            request,
            received_at,
            reply,
            client_connected,
        }: PendingRequest,
    ) {
        if reply.is_closed() {
            return; // The client disconnected while the request was queued.
        }
        if self.dispatcher.contains(&request.id) || self.host.pending().contains_key(&request.id) {
            let error = RequestError::new(409, "a multiget of this id is in hand");
            let _ = reply.send((ClientResponse::Rejected(error), received_at));
            return;
        }
        if self.stopped
            || self.dispatcher.in_flight() + 1 + request.parts.len() > self.sockets.max_in_flight
        {
            let _ = reply.send((ClientResponse::PushedBack(None), received_at));
            return;
        }
        self.next_number += 1;
        let number = self.next_number;
        let hint = request
            .parts
            .iter()
            .try_fold(Span::ZERO, |all, part| Some(all + part.hint?));
        let taken = NewMultiget {
            id: request.id.clone(),
            number,
            op_type: request.op_type,
            tenant: request.tenant,
            resubmitted: request.resubmitted,
            hint,
            deadline: self.clock.at(received_at)
                + request.time_limit.min(self.sockets.max_route_timeout),
        };
        self.host.add_multiget(now, taken);
        for part in &request.parts {
            let id = PartId::new(&format!("{}.{}", request.id.as_str(), part.shard.0));
            let (shard, weight, hint) = (part.shard, part.weight, part.hint);
            self.host.add_part(
                now,
                number,
                NewPart {
                    id,
                    shard,
                    weight,
                    hint,
                },
            );
        }
        self.dispatcher
            .register(number, request, reply, client_connected);
    }

    /// Records the end of a send; later ends of the same send are ignored. `at` is when the end was observed, if
    /// that was before now.
    fn handle_send_end(
        &mut self,
        now: Time,
        part: PartId,
        nth: usize,
        outcome: Outcome,
        at: Option<Time>,
    ) {
        let Some(sent) = self.dispatcher.finish_send(&part, nth) else {
            return;
        };
        let elapsed = at.unwrap_or(now).since(sent);
        let closed = outcome == Outcome::Returned;
        let ended = AttemptResult {
            part,
            nth,
            outcome,
            elapsed,
            closed,
        };
        let recorded = self.host.record_outcome(now, &ended, &mut self.dispatcher);
        check_invariant!(recorded.is_ok(), "an outcome finds its send");
        if closed
            && let Some(multiget) = self
                .dispatcher
                .owner(&ended.part)
                .and_then(|id| self.host.pending().get(id))
        {
            self.dispatcher
                .cancel_unsent(multiget.parts.iter().filter(|part| part.id == ended.part));
        }
    }

    /// Applies a searcher list and passes it to the decision module.
    fn apply_list(&mut self, now: Time, list: List, kind: fn(Vec<SearcherEntry>) -> PolicyUpdate) {
        if list.complete {
            let listed: HashSet<&SearcherId> =
                list.lines.iter().map(|(entry, _)| &entry.id).collect();
            self.dispatcher.remove_missing(|id| !listed.contains(id));
        }
        for (entry, place) in &list.lines {
            self.dispatcher.apply_entry(entry, *place);
        }
        self.host.apply_update(
            now,
            kind(list.lines.into_iter().map(|(entry, _)| entry).collect()),
        );
        self.ready
            .set(self.ready.get() || self.dispatcher.has_searchers());
    }

    /// Handles the disconnection of a client.
    fn handle_disconnect(&mut self, id: &MultigetId) {
        if !self.dispatcher.remove_disconnected(id) {
            return; // The final answer was sent at the same time.
        }
        if self.sockets.cancellation_allowed
            && let Some(multiget) = self.host.pending().get(id)
        {
            for part in &multiget.parts {
                for (nth, _) in part
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, s)| s.outcome.is_none())
                {
                    self.dispatcher.cancel(&part.id, nth);
                }
            }
        }
        self.host.client_left(id);
    }

    /// Lets the decision module act until it produces nothing more for now; returns the time until it must run
    /// again.
    fn settle(&mut self, now: Time) -> Option<Span> {
        let mut next;
        loop {
            next = self.host.run_due(now, &mut self.dispatcher);
            self.dispatcher.flush();
            let (ended, second_step_parts) = self.dispatcher.take_results();
            if ended.is_empty() && second_step_parts.is_empty() {
                break;
            }
            for (part, nth, outcome) in ended {
                self.handle_send_end(now, part, nth, outcome, None);
            }
            for (number, part) in second_step_parts {
                self.host.add_part(now, number, part);
            }
        }
        self.open_multigets.set(self.dispatcher.open_count());
        next.into_iter()
            .chain(self.dispatcher.next_timeout(now))
            .min()
    }
}
