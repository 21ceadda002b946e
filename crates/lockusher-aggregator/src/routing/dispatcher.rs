//! What the router keeps for the host: the ways back to clients, values that came in, sends that are out with
//! their time-outs, and the second step's parts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use lockusher_membership::core::share::Totals;
use lockusher_multiget::host::{NewPart, Wire};
use lockusher_multiget::list::Place;
use lockusher_policy::interface::*;
use tokio::sync::{Notify, oneshot};

use super::Given;
use super::outcome_stats::Tally;
use super::searcher_transport::{Carrier, May, RepeatWindow, Sent, Wanted};
use crate::clock::duration;
use crate::must_hold;
use crate::protocol::client::{self, Request};
use crate::protocol::frame::CallPart;

/// A multiget without its final answer.
struct Open {
    number: u64,
    text: Bytes,
    reply: oneshot::Sender<(Given, Instant)>,
    wanted: Wanted,
    /// Multiget and parts, as they count against what may be in hand.
    weight: usize,
    /// Score and value of each part that came in.
    values: HashMap<PartId, (i64, String)>,
    /// What these take.
    bytes: usize,
    /// Its parts that were sent, and the windows of those that have one.
    parts: Vec<PartId>,
    windows: HashMap<PartId, Rc<RepeatWindow>>,
    /// The shards that the first step had in, and whether it was whole.
    first_step: Option<(Rc<[Shard]>, bool)>,
}

/// A part and the number of its send.
type Nth = (PartId, usize);
/// A send that ended without its searcher.
type EndedHere = (PartId, usize, Outcome);
/// A part of a second step, with the number of its multiget.
type Begun = (u64, NewPart);

pub struct Desk {
    searchers: Box<dyn Carrier>,
    /// Parts of the second step, by op type, and for how long repeats of its parts are dropped, if for a time only.
    second_steps: Vec<usize>,
    windows: Vec<Option<Span>>,
    asked: Rc<Notify>,
    now: Time,
    open: HashMap<MultigetId, Open>,
    /// Whose part it is.
    owners: HashMap<PartId, MultigetId>,
    held: usize,
    /// Bytes of values that came in for multigets that are open.
    values: usize,
    most_values: usize,
    /// Sends that are out: where, and since when.
    out: HashMap<Nth, (SearcherId, Time)>,
    time_outs: BinaryHeap<Reverse<(Time, PartId, usize)>>,
    /// Sends of this settling, not yet handed to the sockets.
    departing: Vec<(SearcherId, Sent)>,
    /// Sends that ended here, and second steps that began.
    ended: Vec<EndedHere>,
    begun: Vec<Begun>,
    /// What became of the multigets of each second, for the log.
    tally: Tally,
}

impl Desk {
    pub fn new(
        searchers: Box<dyn Carrier>,
        op_types: &[OpType],
        asked: Rc<Notify>,
        most_values: usize,
    ) -> Self {
        let window = |op: &OpType| match op.repeat {
            Repeat::Deduped(window) => Some(window),
            Repeat::Retriable | Repeat::NonRetriable => None,
        };
        Desk {
            searchers,
            second_steps: op_types.iter().map(|op| op.second_step).collect(),
            windows: op_types.iter().map(window).collect(),
            asked,
            now: Time::from_micros(0),
            open: HashMap::new(),
            owners: HashMap::new(),
            held: 0,
            values: 0,
            most_values,
            out: HashMap::new(),
            time_outs: BinaryHeap::new(),
            departing: Vec::new(),
            ended: Vec::new(),
            begun: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// A batch begins.
    pub fn begin(&mut self, now: Time) {
        self.now = now;
        if let Some((counts, span)) = self.tally.over(now) {
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

    pub fn holds(&self, id: &MultigetId) -> bool {
        self.open.contains_key(id)
    }

    /// Multigets and parts without their final answer.
    pub fn held(&self) -> usize {
        self.held
    }

    /// What was taken, sent and turned away since the start.
    pub fn totals(&self) -> Totals {
        self.tally.totals()
    }

    /// What may be spent on connections and probes, of what the whole fleet may.
    pub fn portions(&mut self, portions: &[(Budget, Portion)]) {
        self.searchers.portions(self.now, portions);
    }

    pub fn spends(&self) -> Vec<(Budget, f64)> {
        self.searchers.spends(self.now)
    }

    pub fn multigets(&self) -> usize {
        self.open.len()
    }

    pub fn take(
        &mut self,
        number: u64,
        request: Request,
        reply: oneshot::Sender<(Given, Instant)>,
        wanted: Wanted,
    ) {
        let weight = 1 + request.parts.len();
        self.tally.took(request.parts.len());
        self.held += weight;
        let (text, values) = (request.text, HashMap::new());
        self.open.insert(
            request.id,
            Open {
                number,
                text,
                reply,
                wanted,
                weight,
                values,
                bytes: 0,
                parts: Vec::new(),
                windows: HashMap::new(),
                first_step: None,
            },
        );
    }

    /// An answer of a part; the first counts. Tells whether there was room for it.
    pub fn came_in(&mut self, part: &PartId, answer: (i64, String)) -> bool {
        let Some(open) = self.owners.get(part).and_then(|id| self.open.get_mut(id)) else {
            return true;
        };
        let bytes = answer.1.len();
        if self.values + bytes > self.most_values {
            return false;
        }
        open.values.entry(part.clone()).or_insert_with(|| {
            (open.bytes, self.values) = (open.bytes + bytes, self.values + bytes);
            answer
        });
        true
    }

    /// Whose part it is, if its multiget is open.
    pub fn owner(&self, part: &PartId) -> Option<&MultigetId> {
        self.owners.get(part)
    }

    /// A line of the list: nothing more goes to a searcher that drains or is gone.
    pub fn listed(&mut self, line: &Listed, place: Place) {
        let unsent = match line.state {
            SearcherState::Up => self.searchers.at(line, place),
            SearcherState::Draining | SearcherState::Gone => self.searchers.leave(&line.id),
        };
        self.unsent(unsent);
    }

    /// What never left says nothing of the searcher it was for.
    fn unsent(&mut self, unsent: Vec<Nth>) {
        self.ended.extend(
            unsent
                .into_iter()
                .map(|(part, nth)| (part, nth, Outcome::Moot)),
        );
    }

    /// A complete list lacks these.
    pub fn missing(&mut self, missing: impl Fn(&SearcherId) -> bool) {
        for id in self.searchers.known().into_iter().filter(|id| missing(id)) {
            let unsent = self.searchers.leave(&id);
            self.unsent(unsent);
        }
    }

    pub fn knows_any(&self) -> bool {
        !self.searchers.known().is_empty()
    }

    /// A send has ended; tells when it began, unless it had ended before.
    pub fn closed(&mut self, part: &PartId, nth: usize) -> Option<Time> {
        let (_, at) = self.out.remove(&(part.clone(), nth))?;
        Some(at)
    }

    /// Gives a send up: its connection is told, its end is heard of in this batch.
    pub fn give_up(&mut self, part: &PartId, nth: usize) {
        self.cease(part, nth);
        self.ended.push((part.clone(), nth, Outcome::Withdrawn));
    }

    fn cease(&mut self, part: &PartId, nth: usize) {
        self.departing
            .retain(|(_, (n, p, _))| p.id != *part || *n != nth);
        if let Some((to, _)) = self.out.get(&(part.clone(), nth)) {
            self.searchers.give_up(to, part, nth);
        }
    }

    /// A send that has timed out by now.
    pub fn timed_out(&mut self) -> Option<Nth> {
        while let Some(Reverse((due, ..))) = self.time_outs.peek()
            && *due <= self.now
        {
            let Reverse((_, part, nth)) = self.time_outs.pop()?;
            let sent = (part, nth);
            if let Some((to, _)) = self.out.get(&sent).cloned() {
                let unsent = self.searchers.in_vain(&to, &sent.0, nth);
                self.unsent(unsent);
                self.cease(&sent.0, nth);
                return Some(sent);
            }
        }
        None
    }

    pub fn next_time_out(&mut self, now: Time) -> Option<Span> {
        while let Some(Reverse((due, part, nth))) = self.time_outs.peek() {
            if self.out.contains_key(&(part.clone(), *nth)) {
                return Some(due.since(now));
            }
            self.time_outs.pop();
        }
        None
    }

    /// Hands this settling's sends to the sockets; those to one searcher share calls.
    pub fn depart(&mut self) {
        let mut calls: Vec<(SearcherId, Vec<Sent>)> = Vec::new();
        let most = self.searchers.most_parts();
        for (to, sent) in std::mem::take(&mut self.departing) {
            match calls
                .iter_mut()
                .rev()
                .find(|(at, call)| *at == to && call.len() < most)
            {
                Some((_, call)) => call.push(sent),
                None => calls.push((to, vec![sent])),
            }
        }
        for (to, call) in calls {
            let refused = self.searchers.send(&to, call).err().into_iter().flatten();
            self.ended
                .extend(refused.map(|(nth, part, _)| (part.id, nth, Outcome::Moot)));
        }
    }

    /// What came of the last settling: sends that ended here, and parts of second steps.
    pub fn made(&mut self) -> (Vec<EndedHere>, Vec<Begun>) {
        (
            std::mem::take(&mut self.ended),
            std::mem::take(&mut self.begun),
        )
    }

    /// A client went away; tells whether its multiget was open. One of the same id may be another's.
    pub fn forget(&mut self, id: &MultigetId) -> bool {
        self.open.get(id).is_some_and(|open| open.reply.is_closed()) && self.close(id).is_some()
    }

    fn close(&mut self, id: &MultigetId) -> Option<Open> {
        let open = self.open.remove(id)?;
        self.held -= open.weight;
        self.values -= open.bytes;
        for part in &open.parts {
            self.owners.remove(part);
        }
        Some(open)
    }

    /// What has not left by the time its part is in, its step is over or its multiget has its final answer must not
    /// leave after it. A copy may wait for its connection for long.
    pub fn recall<'a>(&mut self, parts: impl Iterator<Item = &'a Part>) {
        for part in parts {
            for (nth, send) in part
                .sends
                .iter()
                .enumerate()
                .filter(|(_, s)| s.outcome.is_none())
            {
                let waiting = self
                    .departing
                    .extract_if(.., |(_, (n, p, _))| p.id == part.id && *n == nth)
                    .count();
                if waiting > 0 || self.searchers.recall(&send.to, &part.id, nth) {
                    self.ended.push((part.id.clone(), nth, Outcome::Moot));
                }
            }
        }
    }

    /// The second step goes to the highest scores among the shards that are in.
    fn second_step(&mut self, multiget: &Multiget, whole: bool, most: usize) {
        let Some(open) = self.open.get_mut(&multiget.id) else {
            return;
        };
        let score = |part: &Part| open.values.get(&part.id).map_or(0, |(score, _)| *score);
        let mut best: Vec<&Part> = multiget.parts.iter().filter(|p| p.returned).collect();
        let shards: Rc<[Shard]> = best.iter().map(|p| p.shard).collect();
        best.sort_by_key(|part| (Reverse(score(part)), part.shard));
        best.truncate(most);
        let weight = 1.0 / best.len().max(1) as f64;
        for part in best {
            let id = PartId::new(&format!("{}.{}.r", multiget.id.as_str(), part.shard.0));
            let part = NewPart {
                id,
                shard: part.shard,
                weight,
                hint: None,
            };
            self.begun.push((open.number, part));
        }
        open.first_step = Some((shards, whole));
    }
}

impl Wire for Desk {
    fn send(&mut self, multiget: &Multiget, order: &Order) {
        let part = &multiget.parts[order.part];
        must_hold!(
            !multiget.ended,
            "nothing is sent for a multiget that has its final answer"
        );
        must_hold!(!part.returned, "nothing is sent for a part that is in");
        let Some(open) = self.open.get_mut(&multiget.id) else {
            return;
        };
        // A copy of what is late: is it the searcher, or the connection to it?
        for (before, send) in part
            .sends
            .iter()
            .enumerate()
            .filter(|(_, send)| send.outcome.is_none())
        {
            self.searchers.doubt(&send.to, &part.id, before);
        }
        if order.anew {
            self.searchers.close_unused(&order.to);
        }
        let (nth, id) = (part.sends.len(), part.id.clone());
        if self
            .owners
            .insert(id.clone(), multiget.id.clone())
            .is_none()
        {
            open.parts.push(id.clone());
        }
        self.out
            .insert((id.clone(), nth), (order.to.clone(), self.now));
        self.time_outs
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
        self.tally.sent(nth);
        let wanted = open.wanted.clone();
        let window = self.windows[multiget.op_type.0].map(|span| {
            let window = open.windows.entry(part.id.clone());
            window
                .or_insert_with(|| Rc::new(RepeatWindow::new(duration(span))))
                .clone()
        });
        if let Some(window) = window
            .as_ref()
            .filter(|_| part.first_that_may_have_run().is_none())
        {
            window.never_ran();
        }
        let may = move || match &window {
            _ if !wanted() => May::Unwanted,
            Some(window) => window.may_leave(Instant::now()),
            None => May::Leave,
        };
        self.departing
            .push((order.to.clone(), (nth, call, Rc::new(may))));
    }

    fn withdraw(&mut self, part: &PartId, nth: usize) {
        self.give_up(part, nth);
    }

    fn reply(&mut self, multiget: &Multiget, reply: Reply) {
        if let Reply::Answered { whole } = reply
            && !multiget.ended
        {
            self.recall(multiget.parts.iter());
            let most = self.second_steps[multiget.op_type.0];
            return self.second_step(multiget, whole, most);
        }
        self.recall(multiget.parts.iter());
        let open = self.close(&multiget.id);
        must_hold!(open.is_some(), "a multiget gets one final answer");
        let Some(open) = open else { return };
        self.tally.replied(
            reply,
            multiget.parts.iter().any(|part| !part.sends.is_empty()),
        );
        let given = match reply {
            Reply::PushedBack { come_back_in } => Given::PushedBack(come_back_in),
            Reply::Failed => Given::Failed,
            Reply::Answered { whole } => {
                let second = open.first_step.is_some();
                let counts = |p: &&Part| p.returned && p.second_step == second;
                let value = |p: &Part| open.values.get(&p.id).map(|(_, value)| value.as_str());
                let parts = multiget.parts.iter().filter(counts);
                Given::Answer(client::answer(
                    whole,
                    parts.filter_map(|p| Some((p.shard, value(p)?))),
                ))
            }
        };
        // The answer must not overtake a copy that has just left: nothing is sent after it.
        let out = |part: &Part, nth: usize| {
            self.searchers
                .on_its_way(&part.sends[nth].to, &part.id, nth)
        };
        let all = multiget
            .parts
            .iter()
            .flat_map(|part| (0..part.sends.len()).filter_map(move |nth| out(part, nth)));
        let not_before = all.max().map_or_else(Instant::now, |until| {
            // Not for long where little time is left.
            until.min(Instant::now() + duration(multiget.ends.since(self.now)) / 2)
        });
        // A client that went away meanwhile is no longer there to be told.
        let _ = open.reply.send((given, not_before));
    }

    fn subscribe(&mut self) {
        self.asked.notify_one();
    }

    fn wants_belief(&self) -> bool {
        self.tally.tell_belief()
    }

    fn believed(&mut self, multiget: &Multiget, belief: Belief) {
        /// A few parts tell what the gate thought; a wide multiget would fill the log.
        const SHOWN: usize = 6;
        self.tally.belief_told();
        let ms = |secs: f64| (secs * 1_000.0).round() as i64;
        let pick = |pick: &Option<Believed>| match pick {
            Some((id, expected, idle, heard, good)) => {
                let idle = if *idle { " idle" } else { "" };
                format!(
                    "{}:{}ms{idle} heard {}ms ago good {good:.2}",
                    id.as_str(),
                    ms(*expected),
                    ms(*heard)
                )
            }
            None => "none".to_owned(),
        };
        let picks: Vec<String> = belief.picks.iter().take(SHOWN).map(pick).collect();
        tracing::info!(
            multiget = multiget.id.as_str(),
            parts = belief.picks.len(),
            pass = format!("{:.2}", belief.pass),
            left_ms = ms(belief.left),
            unserved = format!("{:.2}", belief.unserved),
            peers_ms = ms(belief.peers),
            picks = picks.join("; "),
            "pushed back unsent"
        );
    }
}
