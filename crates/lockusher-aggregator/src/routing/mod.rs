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

use crate::clock::{Clock, duration};
use crate::config::{Config, Sockets};
use crate::must_hold;
use crate::protocol::client::{Request, Unusable};
use dispatcher::Desk;
use lockusher_multiget::list::List;
use searcher_transport::{Carrier, Wanted};

/// What comes to the router.
pub enum Arrival {
    Asked(Box<Asked>),
    Ended(SendEnded),
    /// Discovery told something, or refused.
    Told(Option<List>),
    /// The fleet tells something: how many mixers there may be, what they agree on.
    Fleet(News),
    /// What this mixer saw and did is to be told to the fleet.
    Report(oneshot::Sender<Own>),
    /// The process ends: what is in hand is given up.
    Stop,
}

/// A multiget, and the way back to its client, with the time before which it must not be written.
pub struct Asked {
    pub request: Request,
    /// When its last byte was read.
    pub at: Instant,
    pub reply: oneshot::Sender<(Given, Instant)>,
    pub wanted: Wanted,
}

/// What a client is given.
#[derive(Debug)]
pub enum Given {
    Answer(Bytes),
    PushedBack(Option<Span>),
    Failed,
    Unusable(Unusable),
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
pub struct Inlets {
    pub arrivals: mpsc::Receiver<Arrival>,
    pub left: mpsc::UnboundedReceiver<MultigetId>,
}

pub struct Router {
    clock: Clock,
    host: Host,
    desk: Desk,
    sockets: Sockets,
    inlets: Inlets,
    can_serve: Rc<Cell<bool>>,
    next_number: u64,
    /// Multigets in hand that have no final answer yet.
    open: Rc<Cell<usize>>,
    stopped: bool,
}

impl Router {
    pub fn start(
        clock: Clock,
        config: &Config,
        searchers: Box<dyn Carrier>,
        asked: Rc<Notify>,
        inlets: Inlets,
        can_serve: Rc<Cell<bool>>,
        open: Rc<Cell<usize>>,
    ) -> Result<Self> {
        let host = Host::start(clock.now(), config.seed, &config.settings)?;
        let op_types = config.settings.op_types().map_err(anyhow::Error::msg)?;
        let desk = Desk::new(searchers, &op_types, asked, config.sockets.most_bytes);
        let sockets = config.sockets;
        Ok(Router {
            clock,
            host,
            desk,
            sockets,
            inlets,
            can_serve,
            next_number: 0,
            open,
            stopped: false,
        })
    }

    /// Tells the list that was held last.
    pub fn remember(&mut self, list: List) {
        self.told(self.clock.now(), list, News::Remembered);
    }

    pub async fn run(mut self) {
        // A batch has one settling; a longer one would let the first of it wait.
        const MOST: usize = 64;
        let mut next = Some(Span::ZERO);
        loop {
            let wait = next.map_or(std::time::Duration::MAX, duration);
            let (mut arrival, mut left) = (None, None);
            tokio::select! {
                got = self.inlets.arrivals.recv() => match got {
                    Some(got) => arrival = Some(got),
                    None => return,
                },
                Some(id) = self.inlets.left.recv() => left = Some(id),
                () = tokio::time::sleep(wait) => {}
            }
            // What has come on the sockets is read first: after standing still, a copy that is due must not leave
            // for a client that has gone, nor a time-out be noted for what has been answered.
            tokio::task::yield_now().await;
            let now = self.clock.now();
            self.desk.begin(now);
            arrival = arrival.or_else(|| self.inlets.arrivals.try_recv().ok());
            left = left.or_else(|| self.inlets.left.try_recv().ok());
            let mut handled = 0;
            while let Some(got) = arrival {
                self.arrived(now, got);
                handled += 1;
                arrival = (handled < MOST)
                    .then(|| self.inlets.arrivals.try_recv().ok())
                    .flatten();
            }
            while let Some(id) = left {
                self.client_left(&id);
                left = self.inlets.left.try_recv().ok();
            }
            while let Some((part, nth)) = self.desk.timed_out() {
                self.ended(now, part, nth, Outcome::TimedOut, None);
            }
            next = self.settle(now);
        }
    }

    fn arrived(&mut self, now: Time, arrival: Arrival) {
        match arrival {
            Arrival::Asked(asked) => self.asked(now, *asked),
            Arrival::Ended(SendEnded {
                part,
                nth,
                outcome,
                at,
                answer,
            }) => {
                // A value that there is no room for is no answer.
                let kept = answer.is_none_or(|answer| self.desk.came_in(&part, answer));
                let outcome = if kept { outcome } else { Outcome::Error };
                self.ended(now, part, nth, outcome, Some(self.clock.at(at)));
            }
            Arrival::Told(Some(list)) => {
                let kind = if list.complete {
                    News::All
                } else {
                    News::Changes
                };
                self.told(now, list, kind);
            }
            Arrival::Stop => {
                self.stopped = true;
                self.host.stop(now);
            }
            Arrival::Fleet(news) => {
                if let News::Portions(portions) = &news {
                    self.desk.portions(portions);
                }
                self.host.news(now, news);
            }
            Arrival::Report(reply) => {
                // Whoever asked may have gone.
                let (seen, totals) = (self.host.seen(), self.desk.totals());
                let wants = self
                    .host
                    .spends(now)
                    .into_iter()
                    .chain(self.desk.spends())
                    .collect();
                let _ = reply.send(Own {
                    seen,
                    totals,
                    wants,
                });
            }
            Arrival::Told(None) => self.host.news(now, News::Refused),
        }
    }

    fn asked(
        &mut self,
        now: Time,
        Asked {
            request,
            at,
            reply,
            wanted,
        }: Asked,
    ) {
        if reply.is_closed() {
            return; // Its client went away while it waited here.
        }
        if self.desk.holds(&request.id) || self.host.in_hand().contains_key(&request.id) {
            let unusable = Unusable::new(409, "a multiget of this id is in hand");
            let _ = reply.send((Given::Unusable(unusable), at));
            return;
        }
        if self.stopped || self.desk.held() + 1 + request.parts.len() > self.sockets.most_open {
            let _ = reply.send((Given::PushedBack(None), at));
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
            ends: self.clock.at(at) + request.given.min(self.sockets.longest),
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
        self.desk.take(number, request, reply, wanted);
    }

    /// The end of a send, once; `at` is when it was heard of, if before now.
    fn ended(&mut self, now: Time, part: PartId, nth: usize, outcome: Outcome, at: Option<Time>) {
        let Some(sent) = self.desk.closed(&part, nth) else {
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
        let noted = self.host.ended(now, &ended, &mut self.desk);
        must_hold!(noted.is_ok(), "an outcome finds its send");
        if closed
            && let Some(multiget) = self
                .desk
                .owner(&ended.part)
                .and_then(|id| self.host.in_hand().get(id))
        {
            self.desk
                .recall(multiget.parts.iter().filter(|part| part.id == ended.part));
        }
    }

    fn told(&mut self, now: Time, list: List, kind: fn(Vec<Listed>) -> News) {
        if list.complete {
            let named: HashSet<&SearcherId> = list.lines.iter().map(|(line, _)| &line.id).collect();
            self.desk.missing(|id| !named.contains(id));
        }
        for (line, place) in &list.lines {
            self.desk.listed(line, *place);
        }
        self.host.news(
            now,
            kind(list.lines.into_iter().map(|(line, _)| line).collect()),
        );
        self.can_serve
            .set(self.can_serve.get() || self.desk.knows_any());
    }

    fn client_left(&mut self, id: &MultigetId) {
        if !self.desk.forget(id) {
            return; // Its answer crossed with its going.
        }
        if self.sockets.may_withdraw
            && let Some(multiget) = self.host.in_hand().get(id)
        {
            for part in &multiget.parts {
                for (nth, _) in part
                    .sends
                    .iter()
                    .enumerate()
                    .filter(|(_, s)| s.outcome.is_none())
                {
                    self.desk.give_up(&part.id, nth);
                }
            }
        }
        self.host.client_left(id);
    }

    /// Has all turns taken that are due, until nothing more comes of them now.
    fn settle(&mut self, now: Time) -> Option<Span> {
        let mut next;
        loop {
            next = self.host.settle(now, &mut self.desk);
            self.desk.depart();
            let (ended, begun) = self.desk.made();
            if ended.is_empty() && begun.is_empty() {
                break;
            }
            for (part, nth, outcome) in ended {
                self.ended(now, part, nth, outcome, None);
            }
            for (number, part) in begun {
                self.host.join(now, number, part);
            }
        }
        self.open.set(self.desk.multigets());
        next.into_iter().chain(self.desk.next_time_out(now)).min()
    }
}
