//! One instance: its decision module, the multigets it has in hand and its timer.

use std::collections::HashMap;

use anyhow::{Context, Result, bail, ensure};
use lockusher::interface::*;
use lockusher::policy::{Asking, Further, Gate, Policy, Sender};

use crate::wire::{self, Action, ClosedAttempt, Customer, Entry, Facts, Knock, Mode, Names};

pub struct Mixer {
    policy: Policy,
    names: Names,
    second_steps: Vec<usize>,
    in_hand: InHand,
    /// Queries by their number, for the parts that follow them.
    numbers: HashMap<u64, MultigetId>,
    /// Where a part is in hand: its multiget and its place in it.
    parts: HashMap<String, (MultigetId, usize)>,
    /// The one timer that counts: when it is due and its token. Others are stale.
    armed: Option<(Time, u64)>,
    next_token: u64,
    touched: bool,
    actions: Vec<Action>,
}

impl Mixer {
    pub fn start(now: Time, seed: u64, facts: &Facts) -> Result<Self> {
        let op_types = facts.op_types().map_err(anyhow::Error::msg)?;
        let layout = facts.layout();
        ensure!(layout.cells > 0, "extra.cells is 0");
        let tick = Span::from_micros(facts.tick_us);
        let second_steps = op_types.iter().map(|op| op.second_step).collect();
        let site = (facts.home(), facts.cross_zone_price());
        let sender = Sender::new(now, layout, facts.cold_rule(), site, facts.balancers);
        let further = Further::new(facts.part_limits(), facts.send_budget());
        let gate = Gate::new(
            now,
            &facts.tenants(),
            facts.over_share_worth,
            facts.by_work(),
            facts.longest_come_back(),
        );
        let asking = Asking::new(now, facts.ask_every());
        let policy = Policy::new(seed, tick, op_types, (sender, further, gate, asking));
        Ok(Mixer {
            policy,
            names: facts.names(),
            second_steps,
            in_hand: InHand::new(),
            numbers: HashMap::new(),
            parts: HashMap::new(),
            armed: None,
            next_token: 0,
            touched: true,
            actions: Vec::new(),
        })
    }

    pub fn listed(&mut self, now: Time, mode: &Mode, entries: &[Entry]) {
        self.touched = true;
        let list = entries.iter().map(|e| self.names.listed(e)).collect();
        self.policy.news(
            now,
            match mode {
                Mode::Changes => News::Changes(list),
                Mode::All => News::All(list),
                Mode::Remembered => News::Remembered(list),
                Mode::Refused => News::Refused,
            },
        );
    }

    pub fn knock(&mut self, now: Time, knock: &Knock) -> Result<()> {
        self.touched = true;
        if knock.slab < 0 {
            self.query(now, knock)
        } else {
            self.part(now, knock);
            Ok(())
        }
    }

    fn query(&mut self, now: Time, knock: &Knock) -> Result<()> {
        let id = MultigetId::new(&knock.corr);
        let op_type = *(self.names.op_types.get(&knock.kind))
            .with_context(|| format!("{}: no class is named {}", knock.corr, knock.kind))?;
        let tenant = match &knock.customer {
            Some(Customer::Name(name)) => Some(
                *(self.names.tenants.get(name))
                    .with_context(|| format!("{}: no tenant is named {name}", knock.corr))?,
            ),
            Some(Customer::Number(0)) | None => None,
            Some(Customer::Number(n)) => bail!("{}: no tenant is named {n}", knock.corr),
        };
        self.numbers.insert(knock.whole_no, id.clone());
        let multiget = Multiget {
            id: id.clone(),
            number: knock.whole_no,
            op_type,
            tenant,
            resubmitted: knock.resubmitted(),
            hint: knock.hint(),
            arrived: now,
            ends: now + Span::from_micros(knock.time_left_us),
            due: now,
            parts: Vec::new(),
            first_answer: None,
            ended: false,
        };
        self.in_hand.insert(id, multiget);
        Ok(())
    }

    /// A part of a multiget no longer in hand needs nothing.
    fn part(&mut self, now: Time, knock: &Knock) {
        let Some(id) = self.numbers.get(&knock.whole_no) else {
            return;
        };
        let Some(multiget) = self.in_hand.get_mut(id) else {
            return;
        };
        multiget.due = now;
        self.parts.insert(knock.corr.clone(), (id.clone(), multiget.parts.len()));
        multiget.parts.push(Part {
            id: PartId::new(&knock.corr),
            shard: Shard(knock.slab as usize),
            weight: knock.amount,
            hint: knock.hint(),
            second_step: multiget.first_answer.is_some(),
            sends: Vec::new(),
            returned: false,
            closed: false,
        });
    }

    pub fn closed(&mut self, now: Time, closed: &ClosedAttempt) -> Result<()> {
        self.touched = true;
        let outcome = wire::outcome(closed.rc)
            .with_context(|| format!("{}: no outcome has the code {}", closed.corr, closed.rc))?;
        let Some((id, place)) = self.parts.get(&closed.corr).cloned() else {
            return Ok(());
        };
        let Some(multiget) = self.in_hand.get_mut(&id) else {
            return Ok(());
        };
        let part = &mut multiget.parts[place];
        let Some(send) = part.sends.get_mut(closed.round_no) else {
            bail!("{}: attempt {} was never sent", closed.corr, closed.round_no);
        };
        if send.outcome.is_some() {
            return Ok(());
        }
        send.outcome = Some(outcome);
        let late = part.returned || part.closed || multiget.ended;
        part.returned |= outcome == Outcome::Returned && !late;
        part.closed |= closed.terminal;
        let elapsed = Span::from_micros(closed.latency_us);
        let advice = self.policy.outcome(now, multiget, place, closed.round_no, elapsed);
        self.follow(now, &id, advice);
        self.forget_if_over(&id);
        Ok(())
    }

    pub fn client_left(&mut self, corr: &str) {
        self.touched = true;
        let id = MultigetId::new(corr);
        if let Some(multiget) = self.in_hand.get_mut(&id) {
            multiget.ended = true;
            self.forget_if_over(&id);
        }
    }

    pub fn timer(&mut self, token: u64) {
        self.touched = true;
        if self.armed.is_some_and(|(_, newest)| newest == token) {
            self.armed = None;
        }
    }

    /// Takes the turns that are due, arms the timer and hands over the actions of this batch.
    pub fn settle(&mut self, now: Time) -> Vec<Action> {
        if !std::mem::take(&mut self.touched) {
            return Vec::new();
        }
        let wait = self.policy.wait(now, &self.in_hand);
        if let Some(Ask::Subscribe) = wait.ask {
            self.actions.push(Action::StreamChanges { entire: true });
        }
        for id in &wait.turn {
            if let Some(multiget) = self.in_hand.get(id) {
                let advice = self.policy.place(now, multiget);
                self.follow(now, id, advice);
                self.forget_if_over(id);
            }
        }
        if let Some(span) = self.policy.wait(now, &self.in_hand).next {
            self.arm(now, span);
        }
        std::mem::take(&mut self.actions)
    }

    fn arm(&mut self, now: Time, span: Span) {
        let due = now + span;
        if self.armed.is_some_and(|(armed, _)| armed <= due) {
            return;
        }
        self.next_token += 1;
        self.armed = Some((due, self.next_token));
        self.actions.push(Action::After { offset_us: span.as_micros(), token: self.next_token });
    }

    fn follow(&mut self, now: Time, id: &MultigetId, advice: Advice) {
        let Some(multiget) = self.in_hand.get_mut(id) else {
            return;
        };
        if let Some(span) = advice.again {
            multiget.due = now + span;
        }
        for (place, round_no) in advice.withdraw {
            let corr = multiget.parts[place].id.as_str().to_owned();
            self.actions.push(Action::Withdraw { corr, round_no });
        }
        for order in advice.orders {
            let part = &mut multiget.parts[order.part];
            if order.anew {
                self.actions.push(Action::Close { searcher: order.to.as_str().to_owned() });
            }
            self.actions.push(Action::Relay {
                corr: part.id.as_str().to_owned(),
                searcher: order.to.as_str().to_owned(),
                limit_us: order.timeout.as_micros(),
            });
            part.sends.push(Send { to: order.to, at: now, outcome: None });
        }
        let corr = id.as_str().to_owned();
        let action = match advice.reply {
            None => return,
            Some(Reply::Answered { whole }) => {
                let second_step = self.second_steps[multiget.op_type.0] > 0;
                multiget.ended = !second_step || multiget.first_answer.is_some();
                multiget.first_answer.get_or_insert(whole);
                Action::WrapUp { corr, entire: whole }
            }
            Some(Reply::PushedBack { come_back_in }) => {
                multiget.ended = true;
                let not_before_for_us = come_back_in.map(Span::as_micros);
                Action::Reject { corr, not_before_for_us }
            }
            Some(Reply::Failed) => {
                multiget.ended = true;
                Action::Surrender { corr }
            }
        };
        self.actions.push(action);
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
                self.parts.remove(part.id.as_str());
            }
        }
    }
}
