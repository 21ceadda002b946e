//! One mixer: its decision module and the multigets it has in hand. Clocks, timers and wires are its caller's.

use std::collections::HashMap;

use anyhow::{Context, Result, ensure};
use lockusher_policy::interface::*;
use lockusher_policy::policy::{Asking, Further, Gate, Policy, Sender};

use crate::settings::Settings;

/// The way out: advice is carried out by calls on this, in the order given.
pub trait Wire {
    /// Sends a part; `order.part` is its place in the multiget, and its sends so far number this one.
    fn send(&mut self, multiget: &Multiget, order: &Order);
    /// Ceases to wait for a send.
    fn withdraw(&mut self, part: &PartId, nth: usize);
    /// Gives an answer; it is the final one if the multiget has ended.
    fn reply(&mut self, multiget: &Multiget, reply: Reply);
    /// Subscribes to discovery.
    fn subscribe(&mut self);
    /// Whether it would keep what the gate believed at the next fresh multiget pushed back.
    fn wants_belief(&self) -> bool {
        false
    }
    /// What the gate believed of a fresh multiget that it pushed back, for a trace.
    fn believed(&mut self, _multiget: &Multiget, _belief: Belief) {}
}

/// A multiget as it is taken.
pub struct Taken {
    pub id: MultigetId,
    /// The caller's own number for it, which grows with each one taken.
    pub number: u64,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    pub resubmitted: bool,
    pub hint: Option<Span>,
    /// When its client's time for it is up.
    pub ends: Time,
}

/// A part as it joins its multiget.
pub struct NewPart {
    pub id: PartId,
    pub shard: Shard,
    pub weight: f64,
    pub hint: Option<Span>,
}

/// How a send ended.
pub struct Ended {
    pub part: PartId,
    pub nth: usize,
    pub outcome: Outcome,
    pub elapsed: Span,
    /// Nothing more comes of the part.
    pub closed: bool,
}

pub struct Host {
    policy: Policy,
    second_steps: Vec<usize>,
    in_hand: InHand,
    /// Multigets by their number, for the parts that follow them.
    numbers: HashMap<u64, MultigetId>,
    /// Where a part is in hand: its multiget and its place in it.
    parts: HashMap<PartId, (MultigetId, usize)>,
}

impl Host {
    pub fn start(now: Time, seed: u64, settings: &Settings) -> Result<Self> {
        let op_types = settings.op_types().map_err(anyhow::Error::msg)?;
        let layout = settings.layout();
        ensure!(layout.cells > 0, "extra.cells is 0");
        let tick = Span::from_micros(settings.tick_us);
        let second_steps = op_types.iter().map(|op| op.second_step).collect();
        let site = (settings.home(), settings.cross_zone_price());
        let sender = Sender::new(
            now,
            layout,
            settings.cold_rule(),
            site,
            (settings.rank, settings.balancers),
        );
        let further = Further::new(settings.part_limits(), settings.send_budget());
        let gate = Gate::new(
            now,
            &settings.tenants(),
            settings.over_share_worth,
            settings.by_work(),
            settings.longest_come_back(),
        );
        let asking = Asking::new(now, settings.ask_every());
        let policy = Policy::new(seed, tick, op_types, (sender, further, gate, asking));
        let (in_hand, numbers, parts) = (InHand::new(), HashMap::new(), HashMap::new());
        Ok(Host {
            policy,
            second_steps,
            in_hand,
            numbers,
            parts,
        })
    }

    pub fn in_hand(&self) -> &InHand {
        &self.in_hand
    }

    pub fn news(&mut self, now: Time, news: News) {
        self.policy.news(now, news);
    }

    /// What was seen of searchers, for other mixers.
    pub fn seen(&self) -> Vec<Glimpse> {
        self.policy.seen()
    }

    /// What is spent of the budgets that the fleet may share, a second.
    pub fn spends(&self, now: Time) -> Vec<(Budget, f64)> {
        self.policy.spends(now)
    }

    /// Takes a multiget; its parts follow before the next turn.
    pub fn take(&mut self, now: Time, taken: Taken) {
        self.numbers.insert(taken.number, taken.id.clone());
        let multiget = Multiget {
            id: taken.id.clone(),
            number: taken.number,
            op_type: taken.op_type,
            tenant: taken.tenant,
            resubmitted: taken.resubmitted,
            hint: taken.hint,
            arrived: now,
            ends: taken.ends,
            due: now,
            parts: Vec::new(),
            first_answer: None,
            ended: false,
        };
        self.in_hand.insert(taken.id, multiget);
    }

    /// A part of a multiget no longer in hand needs nothing.
    pub fn join(&mut self, now: Time, number: u64, part: NewPart) {
        let Some(id) = self.numbers.get(&number) else {
            return;
        };
        let Some(multiget) = self.in_hand.get_mut(id) else {
            return;
        };
        multiget.due = now;
        self.parts
            .insert(part.id.clone(), (id.clone(), multiget.parts.len()));
        multiget.parts.push(Part {
            id: part.id,
            shard: part.shard,
            weight: part.weight,
            hint: part.hint,
            second_step: multiget.first_answer.is_some(),
            sends: Vec::new(),
            returned: false,
            closed: false,
        });
    }

    /// Notes how a send ended, once; tells whether the part's answer counts.
    pub fn ended(&mut self, now: Time, ended: &Ended, wire: &mut impl Wire) -> Result<bool> {
        let Some((id, place)) = self.parts.get(&ended.part).cloned() else {
            return Ok(false);
        };
        let Some(multiget) = self.in_hand.get_mut(&id) else {
            return Ok(false);
        };
        let part = &mut multiget.parts[place];
        let send = (part.sends.get_mut(ended.nth)).with_context(|| {
            format!(
                "{}: attempt {} was never sent",
                ended.part.as_str(),
                ended.nth
            )
        })?;
        if send.outcome.is_some() {
            return Ok(false);
        }
        send.outcome = Some(ended.outcome);
        let late = part.returned || part.closed || multiget.ended;
        let counts = ended.outcome == Outcome::Returned && !late;
        part.returned |= counts;
        part.closed |= ended.closed;
        let advice = self
            .policy
            .outcome(now, multiget, place, ended.nth, ended.elapsed);
        self.follow(now, &id, advice, wire);
        self.forget_if_over(&id);
        Ok(counts)
    }

    pub fn client_left(&mut self, id: &MultigetId) {
        if let Some(multiget) = self.in_hand.get_mut(id) {
            multiget.ended = true;
            self.forget_if_over(id);
        }
    }

    /// The time for all that is in hand is up now.
    pub fn stop(&mut self, now: Time) {
        for multiget in self.in_hand.values_mut() {
            (multiget.ends, multiget.due) = (now, now);
        }
    }

    /// Takes the turns that are due; tells when to be called again at the latest.
    pub fn settle(&mut self, now: Time, wire: &mut impl Wire) -> Option<Span> {
        let wait = self.policy.wait(now, &self.in_hand);
        if let Some(Ask::Subscribe) = wait.ask {
            wire.subscribe();
        }
        for id in &wait.turn {
            if let Some(multiget) = self.in_hand.get(id) {
                let advice = self.policy.place(now, multiget);
                self.follow(now, id, advice, wire);
                self.forget_if_over(id);
            }
        }
        self.policy.wait(now, &self.in_hand).next
    }

    fn follow(&mut self, now: Time, id: &MultigetId, advice: Advice, wire: &mut impl Wire) {
        let Some(multiget) = self.in_hand.get_mut(id) else {
            return;
        };
        if let Some(span) = advice.again {
            multiget.due = now + span;
        }
        for (place, nth) in advice.withdraw {
            wire.withdraw(&multiget.parts[place].id, nth);
        }
        for order in advice.orders {
            wire.send(multiget, &order);
            multiget.parts[order.part].sends.push(Send {
                to: order.to,
                at: now,
                outcome: None,
            });
        }
        let Some(reply) = advice.reply else { return };
        if let Reply::Answered { whole } = reply {
            let second_step = self.second_steps[multiget.op_type.0] > 0;
            multiget.ended = !second_step || multiget.first_answer.is_some();
            multiget.first_answer.get_or_insert(whole);
        } else {
            multiget.ended = true;
        }
        let fresh = multiget.parts.iter().all(|part| part.sends.is_empty());
        if matches!(reply, Reply::PushedBack { .. }) && fresh && wire.wants_belief() {
            wire.believed(multiget, self.policy.believed(now, multiget));
        }
        wire.reply(multiget, reply);
    }

    /// A multiget stays in hand until its last send is closed, so that each outcome finds its send.
    fn forget_if_over(&mut self, id: &MultigetId) {
        let over = |m: &Multiget| {
            let mut sends = m.parts.iter().flat_map(|p| &p.sends);
            m.ended && sends.all(|s| s.outcome.is_some())
        };
        if !self.in_hand.get(id).is_some_and(over) {
            return;
        }
        if let Some(multiget) = self.in_hand.remove(id) {
            self.numbers.remove(&multiget.number);
            for part in &multiget.parts {
                self.parts.remove(&part.id);
            }
        }
    }
}
