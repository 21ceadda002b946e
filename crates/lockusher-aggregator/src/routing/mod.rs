//! The one task that owns the decision module. Sockets reach it through its queue only.

mod dispatcher;
mod outcome_stats;
pub mod searcher_transport;

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use anyhow::Result;
use bytes::Bytes;
use lockusher_membership::core::share::Own;
use lockusher_multiget::host::{Ended, Host, NewPart, Taken};
use lockusher_policy::interface::*;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::check_invariant;
use crate::clock::{Clock, duration};
use crate::config::{Config, SocketLimits};
use crate::protocol::client::{Request, RequestError};
use dispatcher::Dispatcher;
use lockusher_multiget::list::List;
use searcher_transport::{ClientConnected, SearcherTransport};

/// What comes to the router.
pub enum RouterEvent {
    Multiget(Box<PendingRequest>),
    SendEnded(SendEnded),
    /// Discovery told something, or refused.
    SearcherList(Option<List>),
    /// The fleet tells something: how many mixers there may be, what they agree on.
    Fleet(News),
    /// What this mixer saw and did is to be told to the fleet.
    Report(oneshot::Sender<Own>),
    /// The process ends: what is in hand is given up.
    Stop,
}

/// A multiget, and the way back to its client, with the time before which it must not be written.
pub struct PendingRequest {
    pub request: Request,
    /// When its last byte was read.
    pub received_at: Instant,
    pub reply: oneshot::Sender<(ClientResponse, Instant)>,
    pub client_connected: ClientConnected,
}

/// What a client is given.
#[derive(Debug)]
pub enum ClientResponse {
    Answer(Bytes),
    PushedBack(Option<Span>),
    Failed,
    Rejected(RequestError),
}

/// How a send ended.
pub struct SendEnded {
    pub part: PartId,
    pub nth: usize,
    pub outcome: Outcome,
    pub at: Instant,
    /// Score and value of what returned.
    pub answer: Option<(i64, String)>,
}

/// The ends of the queue that others hold.
pub struct RouterInputs {
    pub events: mpsc::Receiver<RouterEvent>,
    pub disconnected: mpsc::UnboundedReceiver<MultigetId>,
}

pub struct Router {
    clock: Clock,
    host: Host,
    dispatcher: Dispatcher,
    sockets: SocketLimits,
    inputs: RouterInputs,
    ready: Rc<Cell<bool>>,
    next_number: u64,
    /// Multigets in hand that have no final answer yet.
    open_multigets: Rc<Cell<usize>>,
    stopped: bool,
}

impl Router {
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

    /// Tells the list that was held last.
    pub fn restore_list(&mut self, list: List) {
        self.apply_list(self.clock.now(), list, News::Remembered);
    }

    pub async fn run(mut self) {
        // A batch has one settling; a longer one would let the first of it wait.
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
            // What has come on the sockets is read first: after standing still, a copy that is due must not leave
            // for a client that has gone, nor a time-out be noted for what has been answered.
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
                // A value that there is no room for is no answer.
                let stored = answer.is_none_or(|answer| self.dispatcher.store_value(&part, answer));
                let outcome = if stored { outcome } else { Outcome::Error };
                self.handle_send_end(now, part, nth, outcome, Some(self.clock.at(at)));
            }
            RouterEvent::SearcherList(Some(list)) => {
                let kind = if list.complete {
                    News::All
                } else {
                    News::Changes
                };
                self.apply_list(now, list, kind);
            }
            RouterEvent::Stop => {
                self.stopped = true;
                self.host.stop(now);
            }
            RouterEvent::Fleet(news) => {
                if let News::Portions(portions) = &news {
                    self.dispatcher.set_portions(portions);
                }
                self.host.news(now, news);
            }
            RouterEvent::Report(reply) => {
                // Whoever asked may have gone.
                let (seen, totals) = (self.host.seen(), self.dispatcher.totals());
                let wants = self
                    .host
                    .spends(now)
                    .into_iter()
                    .chain(self.dispatcher.spending_rates())
                    .collect();
                let _ = reply.send(Own {
                    seen,
                    totals,
                    wants,
                });
            }
            RouterEvent::SearcherList(None) => self.host.news(now, News::Refused),
        }
    }

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
            return; // Its client went away while it waited here.
        }
        if self.dispatcher.contains(&request.id) || self.host.in_hand().contains_key(&request.id) {
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
        let taken = Taken {
            id: request.id.clone(),
            number,
            op_type: request.op_type,
            tenant: request.tenant,
            resubmitted: request.resubmitted,
            hint,
            ends: self.clock.at(received_at)
                + request.time_limit.min(self.sockets.max_route_timeout),
        };
        self.host.take(now, taken);
        for part in &request.parts {
            let id = PartId::new(&format!("{}.{}", request.id.as_str(), part.shard.0));
            let (shard, weight, hint) = (part.shard, part.weight, part.hint);
            self.host.join(
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

    /// The end of a send, once; `at` is when it was heard of, if before now.
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
        let ended = Ended {
            part,
            nth,
            outcome,
            elapsed,
            closed,
        };
        let recorded = self.host.ended(now, &ended, &mut self.dispatcher);
        check_invariant!(recorded.is_ok(), "an outcome finds its send");
        if closed
            && let Some(multiget) = self
                .dispatcher
                .owner(&ended.part)
                .and_then(|id| self.host.in_hand().get(id))
        {
            self.dispatcher
                .cancel_unsent(multiget.parts.iter().filter(|part| part.id == ended.part));
        }
    }

    fn apply_list(&mut self, now: Time, list: List, kind: fn(Vec<Listed>) -> News) {
        if list.complete {
            let listed: HashSet<&SearcherId> =
                list.lines.iter().map(|(entry, _)| &entry.id).collect();
            self.dispatcher.remove_missing(|id| !listed.contains(id));
        }
        for (entry, place) in &list.lines {
            self.dispatcher.apply_entry(entry, *place);
        }
        self.host.news(
            now,
            kind(list.lines.into_iter().map(|(entry, _)| entry).collect()),
        );
        self.ready
            .set(self.ready.get() || self.dispatcher.has_searchers());
    }

    fn handle_disconnect(&mut self, id: &MultigetId) {
        if !self.dispatcher.remove_disconnected(id) {
            return; // Its answer crossed with its going.
        }
        if self.sockets.cancellation_allowed
            && let Some(multiget) = self.host.in_hand().get(id)
        {
            for part in &multiget.parts {
                for (nth, _) in part
                    .sends
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

    /// Has all turns taken that are due, until nothing more comes of them now.
    fn settle(&mut self, now: Time) -> Option<Span> {
        let mut next;
        loop {
            next = self.host.settle(now, &mut self.dispatcher);
            self.dispatcher.flush();
            let (ended, second_step_parts) = self.dispatcher.take_results();
            if ended.is_empty() && second_step_parts.is_empty() {
                break;
            }
            for (part, nth, outcome) in ended {
                self.handle_send_end(now, part, nth, outcome, None);
            }
            for (number, part) in second_step_parts {
                self.host.join(now, number, part);
            }
        }
        self.open_multigets.set(self.dispatcher.open_count());
        next.into_iter()
            .chain(self.dispatcher.next_timeout(now))
            .min()
    }
}
