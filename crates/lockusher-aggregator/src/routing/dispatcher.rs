//! State of the multigets in flight, on behalf of the decision module: reply channels to clients, received values,
//! outstanding sends with their timeouts, and parts of second steps.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use lockusher_membership::core::shared_state::Totals;
use lockusher_multiget::host::{ActionSink, NewPart};
use lockusher_multiget::list::SearcherEndpoint;
use lockusher_policy::interface::*;
use tokio::sync::{Notify, oneshot};

use super::ClientResponse;
use super::outcome_stats::OutcomeStats;
use super::searcher_transport::{
    ClientConnected, DedupWindow, OutgoingPart, Permission, SearcherTransport,
};
use crate::check_invariant;
use crate::clock::duration;
use crate::protocol::client::{self, Request};
use crate::protocol::frame::CallPart;

/// A multiget without a final answer.
struct OpenMultiget {
    number: u64,
    text: Bytes,
    reply: oneshot::Sender<(ClientResponse, Instant)>,
    client_connected: ClientConnected,
    /// The multiget and its parts, counted against the limit of requests in flight.
    weight: usize,
    /// Score and value of each answered part.
    values: HashMap<PartId, (i64, String)>,
    /// Size of the values in bytes.
    value_bytes: usize,
    /// Parts that were sent, and the deduplication windows of those that have one.
    parts: Vec<PartId>,
    dedup_windows: HashMap<PartId, Rc<DedupWindow>>,
    /// Once the first step is over: the shards it was answered for, and whether it was complete.
    first_step: Option<(Rc<[Shard]>, bool)>,
}

/// A part and the index of its send.
type SendKey = (PartId, usize);
/// A send that ended in this process, without an answer from the searcher.
type LocalEnd = (PartId, usize, Outcome);
/// A part of a second step with the number of its multiget.
type SecondStepPart = (u64, NewPart);

/// Tracks the multigets in flight and executes the decision module's orders.
pub struct Dispatcher {
    transport: Box<dyn SearcherTransport>,
    /// By op type: the number of parts of the second step, and the deduplication window if repeats are dropped for
    /// a limited time.
    second_steps: Vec<usize>,
    dedup_windows: Vec<Option<Span>>,
    list_requested: Rc<Notify>,
    now: Time,
    open: HashMap<MultigetId, OpenMultiget>,
    /// The multiget that each part belongs to.
    owners: HashMap<PartId, MultigetId>,
    in_flight: usize,
    /// Size in bytes of the values received for open multigets.
    value_bytes: usize,
    max_value_bytes: usize,
    /// Outstanding sends, with the searcher and the start time of each.
    outstanding: HashMap<SendKey, (SearcherId, Time)>,
    timeouts: BinaryHeap<Reverse<(Time, PartId, usize)>>,
    /// Sends of the current round that have not been handed to the transport yet.
    queued: Vec<(SearcherId, OutgoingPart)>,
    /// Sends that ended in this process, and parts of second steps to start.
    local_ends: Vec<LocalEnd>,
    second_step_parts: Vec<SecondStepPart>,
    /// Outcome statistics for the log.
    stats: OutcomeStats,
}

impl Dispatcher {
    /// Creates a dispatcher without multigets.
    pub fn new(
        transport: Box<dyn SearcherTransport>,
        op_types: &[OpType],
        list_requested: Rc<Notify>,
        max_value_bytes: usize,
    ) -> Self {
        let window = |op: &OpType| match op.idempotency {
            Idempotency::Deduped(window) => Some(window),
            Idempotency::Retriable | Idempotency::NonRetriable => None,
        };
        Dispatcher {
            transport,
            second_steps: op_types.iter().map(|op| op.second_step).collect(),
            dedup_windows: op_types.iter().map(window).collect(),
            list_requested,
            now: Time::from_micros(0),
            open: HashMap::new(),
            owners: HashMap::new(),
            in_flight: 0,
            value_bytes: 0,
            max_value_bytes,
            outstanding: HashMap::new(),
            timeouts: BinaryHeap::new(),
            queued: Vec::new(),
            local_ends: Vec::new(),
            second_step_parts: Vec::new(),
            stats: OutcomeStats::default(),
        }
    }

    /// Starts a batch of events; logs the statistics of a period that is over.
    pub fn begin_batch(&mut self, now: Time) {
        self.now = now;
        if let Some((counts, span)) = self.stats.finish_period(now) {
            tracing::info!(
                answered = counts.answered,
                partial = counts.partial,
                pushed_back_unsent = counts.pushed_back_unsent,
                pushed_back_sent = counts.pushed_back_sent,
                failed = counts.failed,
                sends = counts.sends,
                over_ms = (span.as_secs() * 1_000.0).round() as u64,
                "final answers"
            );
        }
    }

    /// Whether a multiget with this id is open.
    pub fn contains(&self, id: &MultigetId) -> bool {
        self.open.contains_key(id)
    }

    /// Number of multigets and parts without a final answer.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Totals of multigets, sends and push-backs since the start.
    pub fn totals(&self) -> Totals {
        self.stats.totals()
    }

    /// Sets this mixer's shares of the fleet-wide budgets for connections and probes.
    pub fn set_shares(&mut self, shares: &[(Budget, QuotaShare)]) {
        self.transport.set_shares(self.now, shares);
    }

    /// Current rates per second at which these budgets are spent.
    pub fn spending_rates(&self) -> Vec<(Budget, f64)> {
        self.transport.spending_rates(self.now)
    }

    /// Number of open multigets.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Registers an accepted multiget.
    pub fn register(
        &mut self,
        number: u64,
        request: Request,
        reply: oneshot::Sender<(ClientResponse, Instant)>,
        client_connected: ClientConnected,
    ) {
        let weight = 1 + request.parts.len();
        self.stats.record_multiget(request.parts.len());
        self.in_flight += weight;
        let (text, values) = (request.text, HashMap::new());
        self.open.insert(
            request.id,
            OpenMultiget {
                number,
                text,
                reply,
                client_connected,
                weight,
                values,
                value_bytes: 0,
                parts: Vec::new(),
                dedup_windows: HashMap::new(),
                first_step: None,
            },
        );
    }

    /// Stores the answer to a part; only the first one counts. Returns `false` if it exceeds the memory limit for
    /// values.
    pub fn store_value(&mut self, part: &PartId, answer: (i64, String)) -> bool {
        let Some(open) = self.owners.get(part).and_then(|id| self.open.get_mut(id)) else {
            return true;
        };
        let bytes = answer.1.len();
        if self.value_bytes + bytes > self.max_value_bytes {
            return false;
        }
        open.values.entry(part.clone()).or_insert_with(|| {
            (open.value_bytes, self.value_bytes) =
                (open.value_bytes + bytes, self.value_bytes + bytes);
            answer
        });
        true
    }

    /// The multiget of a part, if it is open.
    pub fn owner(&self, part: &PartId) -> Option<&MultigetId> {
        self.owners.get(part)
    }

    /// Applies an entry of the searcher list: nothing more is sent to a searcher that drains or is gone.
    pub fn apply_entry(&mut self, entry: &SearcherEntry, place: SearcherEndpoint) {
        let unsent = match entry.state {
            SearcherState::Up => self.transport.set_address(entry, place),
            SearcherState::Draining | SearcherState::Gone => self.transport.drain(&entry.id),
        };
        self.end_unsent(unsent);
    }

    /// Ends sends that were never written; this says nothing about the searcher.
    fn end_unsent(&mut self, unsent: Vec<SendKey>) {
        self.local_ends.extend(
            unsent
                .into_iter()
                .map(|(part, nth)| (part, nth, Outcome::NotSent)),
        );
    }

    /// Stops sending to the searchers that a complete list does not contain.
    pub fn remove_missing(&mut self, missing: impl Fn(&SearcherId) -> bool) {
        for id in self
            .transport
            .searcher_ids()
            .into_iter()
            .filter(|id| missing(id))
        {
            let unsent = self.transport.drain(&id);
            self.end_unsent(unsent);
        }
    }

    /// Whether any searcher has an address.
    pub fn has_searchers(&self) -> bool {
        !self.transport.searcher_ids().is_empty()
    }

    /// Marks a send as ended and returns its start time, or `None` if it had already ended.
    pub fn finish_send(&mut self, part: &PartId, nth: usize) -> Option<Time> {
        let (_, at) = self.outstanding.remove(&(part.clone(), nth))?;
        Some(at)
    }

    /// Cancels a send: the transport cancels it, and it ends within this batch.
    pub fn cancel(&mut self, part: &PartId, nth: usize) {
        self.stop_send(part, nth);
        self.local_ends
            .push((part.clone(), nth, Outcome::Cancelled));
    }

    /// Removes a send from the queue, or has the transport cancel it.
    fn stop_send(&mut self, part: &PartId, nth: usize) {
        self.queued
            .retain(|(_, (n, p, _))| p.id != *part || *n != nth);
        if let Some((to, _)) = self.outstanding.get(&(part.clone(), nth)) {
            self.transport.cancel(to, part, nth);
        }
    }

    /// Returns the next send that has timed out by now.
    pub fn pop_timed_out(&mut self) -> Option<SendKey> {
        while let Some(Reverse((due, ..))) = self.timeouts.peek()
            && *due <= self.now
        {
            let Reverse((_, part, nth)) = self.timeouts.pop()?;
            let sent = (part, nth);
            if let Some((to, _)) = self.outstanding.get(&sent).cloned() {
                let unsent = self.transport.send_timed_out(&to, &sent.0, nth);
                self.end_unsent(unsent);
                self.stop_send(&sent.0, nth);
                return Some(sent);
            }
        }
        None
    }

    /// Time until the next timeout of an outstanding send.
    pub fn next_timeout(&mut self, now: Time) -> Option<Span> {
        while let Some(Reverse((due, part, nth))) = self.timeouts.peek() {
            if self.outstanding.contains_key(&(part.clone(), *nth)) {
                return Some(due.since(now));
            }
            self.timeouts.pop();
        }
        None
    }

    /// Hands the queued sends to the transport; sends to the same searcher share calls.
    pub fn flush(&mut self) {
        let mut calls: Vec<(SearcherId, Vec<OutgoingPart>)> = Vec::new();
        let max_parts = self.transport.max_parts_per_call();
        for (to, sent) in std::mem::take(&mut self.queued) {
            match calls
                .iter_mut()
                .rev()
                .find(|(searcher, call)| *searcher == to && call.len() < max_parts)
            {
                Some((_, call)) => call.push(sent),
                None => calls.push((to, vec![sent])),
            }
        }
        for (to, call) in calls {
            let refused = self.transport.send(&to, call).err().into_iter().flatten();
            self.local_ends
                .extend(refused.map(|(nth, part, _)| (part.id, nth, Outcome::NotSent)));
        }
    }

    /// Takes the results of the last round: sends that ended in this process and parts of second steps.
    pub fn take_results(&mut self) -> (Vec<LocalEnd>, Vec<SecondStepPart>) {
        (
            std::mem::take(&mut self.local_ends),
            std::mem::take(&mut self.second_step_parts),
        )
    }

    /// Removes the multiget of a client that disconnected and returns whether it was open. A multiget with the same
    /// id may belong to another client.
    pub fn remove_disconnected(&mut self, id: &MultigetId) -> bool {
        self.open.get(id).is_some_and(|open| open.reply.is_closed()) && self.close(id).is_some()
    }

    /// Removes a multiget and releases what it holds.
    fn close(&mut self, id: &MultigetId) -> Option<OpenMultiget> {
        let open = self.open.remove(id)?;
        self.in_flight -= open.weight;
        self.value_bytes -= open.value_bytes;
        for part in &open.parts {
            self.owners.remove(part);
        }
        Some(open)
    }

    /// Cancels the unwritten sends of parts that are answered, whose step is over or whose multiget has its final
    /// answer: they must not be written afterwards. A hedged request may wait for its connection for a long time.
    pub fn cancel_unsent<'a>(&mut self, parts: impl Iterator<Item = &'a Part>) {
        for part in parts {
            for (nth, send) in part
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, s)| s.outcome.is_none())
            {
                let queued_sends = self
                    .queued
                    .extract_if(.., |(_, (n, p, _))| p.id == part.id && *n == nth)
                    .count();
                if queued_sends > 0 || self.transport.cancel_unsent(&send.to, &part.id, nth) {
                    self.local_ends
                        .push((part.id.clone(), nth, Outcome::NotSent));
                }
            }
        }
    }

    /// Plans the second step for the shards with the highest scores among those answered.
    fn plan_second_step(&mut self, multiget: &Multiget, complete: bool, max_parts: usize) {
        let Some(open) = self.open.get_mut(&multiget.id) else {
            return;
        };
        let score = |part: &Part| open.values.get(&part.id).map_or(0, |(score, _)| *score);
        let mut best: Vec<&Part> = multiget.parts.iter().filter(|p| p.returned).collect();
        let shards: Rc<[Shard]> = best.iter().map(|p| p.shard).collect();
        best.sort_by_key(|part| (Reverse(score(part)), part.shard));
        best.truncate(max_parts);
        let weight = 1.0 / best.len().max(1) as f64;
        for part in best {
            let id = PartId::new(&format!("{}.{}.r", multiget.id.as_str(), part.shard.0));
            let part = NewPart {
                id,
                shard: part.shard,
                weight,
                hint: None,
            };
            self.second_step_parts.push((open.number, part));
        }
        open.first_step = Some((shards, complete));
    }
}

impl ActionSink for Dispatcher {
    fn send(&mut self, multiget: &Multiget, order: &SendCommand) {
        let part = &multiget.parts[order.part];
        check_invariant!(
            !multiget.ended,
            "nothing is sent for a multiget that has its final answer"
        );
        check_invariant!(
            !part.returned,
            "nothing is sent for a part that is answered"
        );
        let Some(open) = self.open.get_mut(&multiget.id) else {
            return;
        };
        // This is a hedged request: test whether the earlier sends wait for the searcher or on a dead connection.
        for (earlier, send) in part
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, send)| send.outcome.is_none())
        {
            self.transport.check_liveness(&send.to, &part.id, earlier);
        }
        if order.fresh_connection {
            self.transport.close_idle(&order.to);
        }
        let (nth, id) = (part.attempts.len(), part.id.clone());
        if self
            .owners
            .insert(id.clone(), multiget.id.clone())
            .is_none()
        {
            open.parts.push(id.clone());
        }
        self.outstanding
            .insert((id.clone(), nth), (order.to.clone(), self.now));
        self.timeouts
            .push(Reverse((self.now + order.timeout, id.clone(), nth)));
        let first_step = open.first_step.clone().filter(|_| part.second_step);
        let (shard, wait, text) = (part.shard, order.timeout, open.text.clone());
        let call = CallPart {
            id,
            shard,
            wait,
            first_step,
            text,
        };
        self.stats.record_send(nth);
        let client_connected = open.client_connected.clone();
        let window = self.dedup_windows[multiget.op_type.0].map(|span| {
            let window = open.dedup_windows.entry(part.id.clone());
            window
                .or_insert_with(|| Rc::new(DedupWindow::new(duration(span))))
                .clone()
        });
        if let Some(window) = window
            .as_ref()
            .filter(|_| part.first_possibly_executed().is_none())
        {
            window.reset();
        }
        let permission = move || match &window {
            _ if !client_connected() => Permission::Abandoned,
            Some(window) => window.permission(Instant::now()),
            None => Permission::Send,
        };
        self.queued
            .push((order.to.clone(), (nth, call, Rc::new(permission))));
    }

    fn cancel(&mut self, part: &PartId, nth: usize) {
        self.cancel(part, nth);
    }

    fn reply(&mut self, multiget: &Multiget, reply: Reply) {
        if let Reply::Answered { complete } = reply
            && !multiget.ended
        {
            self.cancel_unsent(multiget.parts.iter());
            let max_parts = self.second_steps[multiget.op_type.0];
            return self.plan_second_step(multiget, complete, max_parts);
        }
        self.cancel_unsent(multiget.parts.iter());
        let open = self.close(&multiget.id);
        check_invariant!(open.is_some(), "a multiget gets one final answer");
        let Some(open) = open else { return };
        self.stats.record_reply(
            reply,
            multiget.parts.iter().any(|part| !part.attempts.is_empty()),
        );
        let response = match reply {
            Reply::PushedBack { retry_after } => ClientResponse::PushedBack(retry_after),
            Reply::Failed => ClientResponse::Failed,
            Reply::Answered { complete } => {
                let two_step = open.first_step.is_some();
                let counts = |p: &&Part| p.returned && p.second_step == two_step;
                let value = |p: &Part| open.values.get(&p.id).map(|(_, value)| value.as_str());
                let parts = multiget.parts.iter().filter(counts);
                ClientResponse::Answer(client::encode_answer(
                    complete,
                    parts.filter_map(|p| Some((p.shard, value(p)?))),
                ))
            }
        };
        // The answer must not overtake a hedged request that has just been written, or the request would seem to be
        // sent after it.
        let in_transit = |part: &Part, nth: usize| {
            self.transport
                .in_transit_until(&part.attempts[nth].to, &part.id, nth)
        };
        let in_transit_times = multiget
            .parts
            .iter()
            .flat_map(|part| (0..part.attempts.len()).filter_map(move |nth| in_transit(part, nth)));
        let not_before = in_transit_times.max().map_or_else(Instant::now, |until| {
            // The delay is capped by half of the remaining time.
            until.min(Instant::now() + duration(multiget.deadline.since(self.now)) / 2)
        });
        // The receiver is gone if the client has disconnected.
        let _ = open.reply.send((response, not_before));
    }

    fn subscribe(&mut self) {
        self.list_requested.notify_one();
    }

    fn wants_admission_trace(&self) -> bool {
        self.stats.should_log_admission_trace()
    }

    fn record_admission_trace(&mut self, multiget: &Multiget, admission_trace: AdmissionTrace) {
        /// Maximum number of picks to log; a few suffice, and a wide multiget would flood the log.
        const MAX_PICKS: usize = 6;
        self.stats.set_admission_trace_logged();
        let ms = |secs: f64| (secs * 1_000.0).round() as i64;
        let format_pick = |candidate: &Option<ReplicaEstimate>| match candidate {
            Some((id, expected, idle, outcome_age, success_ratio)) => {
                let idle = if *idle { " idle" } else { "" };
                format!(
                    "{}:{}ms{idle} last outcome {}ms ago success {success_ratio:.2}",
                    id.as_str(),
                    ms(*expected),
                    ms(*outcome_age)
                )
            }
            None => "none".to_owned(),
        };
        let picks: Vec<String> = admission_trace
            .picks
            .iter()
            .take(MAX_PICKS)
            .map(format_pick)
            .collect();
        tracing::info!(
            multiget = multiget.id.as_str(),
            parts = admission_trace.picks.len(),
            pass = format!("{:.2}", admission_trace.idle_weight),
            left_ms = ms(admission_trace.time_left),
            unserved = format!("{:.2}", admission_trace.unserved),
            peers_ms = ms(admission_trace.peers),
            picks = picks.join("; "),
            "pushed back unsent"
        );
    }
}
