//! One instance on the simulator's wire: its host, its timer and the actions of a batch.

use anyhow::{Context, Result, bail};
use lockusher_multiget::host::{Ended, Host, NewPart, Taken, Wire};
use lockusher_multiget::settings::{Names, Settings};
use lockusher_policy::interface::*;

use crate::wire::{self, Action, ClosedAttempt, Customer, Entry, Knock, Mode};

pub struct Mixer {
    host: Host,
    names: Names,
    /// The one timer that counts: when it is due and its token. Others are stale.
    armed: Option<(Time, u64)>,
    next_token: u64,
    touched: bool,
    actions: Actions,
}

/// The actions of this batch so far.
#[derive(Default)]
struct Actions(Vec<Action>);

impl Wire for Actions {
    fn send(&mut self, multiget: &Multiget, order: &Order) {
        let searcher = order.to.as_str().to_owned();
        if order.anew {
            self.0.push(Action::Close {
                searcher: searcher.clone(),
            });
        }
        let corr = multiget.parts[order.part].id.as_str().to_owned();
        self.0.push(Action::Relay {
            corr,
            searcher,
            limit_us: order.timeout.as_micros(),
        });
    }

    fn withdraw(&mut self, part: &PartId, nth: usize) {
        self.0.push(Action::Withdraw {
            corr: part.as_str().to_owned(),
            round_no: nth,
        });
    }

    fn reply(&mut self, multiget: &Multiget, reply: Reply) {
        let corr = multiget.id.as_str().to_owned();
        self.0.push(match reply {
            Reply::Answered { whole } => Action::WrapUp {
                corr,
                entire: whole,
            },
            Reply::PushedBack { come_back_in } => {
                let not_before_for_us = come_back_in.map(Span::as_micros);
                Action::Reject {
                    corr,
                    not_before_for_us,
                }
            }
            Reply::Failed => Action::Surrender { corr },
        });
    }

    fn subscribe(&mut self) {
        self.0.push(Action::StreamChanges { entire: true });
    }
}

impl Mixer {
    pub fn start(now: Time, seed: u64, settings: &Settings) -> Result<Self> {
        Ok(Mixer {
            host: Host::start(now, seed, settings)?,
            names: settings.names(),
            armed: None,
            next_token: 0,
            touched: true,
            actions: Actions::default(),
        })
    }

    pub fn listed(&mut self, now: Time, mode: &Mode, entries: &[Entry]) {
        self.touched = true;
        let list = entries.iter().map(|e| e.listed(&self.names)).collect();
        self.host.news(
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
            return self.query(now, knock);
        }
        let part = NewPart {
            id: PartId::new(&knock.corr),
            shard: Shard(knock.slab as usize),
            weight: knock.amount,
            hint: knock.hint(),
        };
        self.host.join(now, knock.whole_no, part);
        Ok(())
    }

    fn query(&mut self, now: Time, knock: &Knock) -> Result<()> {
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
        let taken = Taken {
            id: MultigetId::new(&knock.corr),
            number: knock.whole_no,
            op_type,
            tenant,
            resubmitted: knock.resubmitted(),
            hint: knock.hint(),
            ends: now + Span::from_micros(knock.time_left_us),
        };
        self.host.take(now, taken);
        Ok(())
    }

    pub fn closed(&mut self, now: Time, closed: &ClosedAttempt) -> Result<()> {
        self.touched = true;
        let outcome = wire::outcome(closed.rc)
            .with_context(|| format!("{}: no outcome has the code {}", closed.corr, closed.rc))?;
        let ended = Ended {
            part: PartId::new(&closed.corr),
            nth: closed.round_no,
            outcome,
            elapsed: Span::from_micros(closed.latency_us),
            closed: closed.terminal,
        };
        self.host.ended(now, &ended, &mut self.actions)?;
        Ok(())
    }

    pub fn client_left(&mut self, corr: &str) {
        self.touched = true;
        self.host.client_left(&MultigetId::new(corr));
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
        if let Some(span) = self.host.settle(now, &mut self.actions) {
            self.arm(now, span);
        }
        std::mem::take(&mut self.actions.0)
    }

    fn arm(&mut self, now: Time, span: Span) {
        let due = now + span;
        if self.armed.is_some_and(|(armed, _)| armed <= due) {
            return;
        }
        self.next_token += 1;
        self.armed = Some((due, self.next_token));
        self.actions.0.push(Action::After {
            offset_us: span.as_micros(),
            token: self.next_token,
        });
    }
}
