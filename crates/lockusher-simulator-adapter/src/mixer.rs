//! One simulated instance: its host, its timer and the actions of the current batch.

use anyhow::{Context, Result, bail};
use lockusher_multiget::host::{ActionSink, AttemptResult, Host, NewMultiget, NewPart};
use lockusher_multiget::settings::{Names, Settings};
use lockusher_policy::interface::*;

use crate::wire::{self, Action, Arrival, ClosedAttempt, Entry, Mode, TenantRef};

/// One simulated instance.
pub struct Mixer {
    host: Host,
    names: Names,
    /// The active timer: when it is due, and its token. Timers with other tokens are stale.
    timer: Option<(Time, u64)>,
    next_token: u64,
    changed: bool,
    actions: Actions,
}

/// The actions of the current batch so far.
#[derive(Default)]
struct Actions(Vec<Action>);

impl ActionSink for Actions {
    fn send(&mut self, multiget: &Multiget, command: &SendCommand) {
        let searcher = command.to.as_str().to_owned();
        if command.fresh_connection {
            self.0.push(Action::Close {
                searcher: searcher.clone(),
            });
        }
        let corr = multiget.parts[command.part].id.as_str().to_owned();
        self.0.push(Action::Relay {
            corr,
            searcher,
            limit_us: command.timeout.as_micros(),
        });
    }

    fn cancel(&mut self, part: &PartId, nth: usize) {
        self.0.push(Action::Withdraw {
            corr: part.as_str().to_owned(),
            round_no: nth,
        });
    }

    fn reply(&mut self, multiget: &Multiget, reply: Reply) {
        let corr = multiget.id.as_str().to_owned();
        self.0.push(match reply {
            Reply::Answered { complete } => Action::WrapUp {
                corr,
                entire: complete,
            },
            Reply::PushedBack { retry_after } => {
                let not_before_for_us = retry_after.map(Span::as_micros);
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
            timer: None,
            next_token: 0,
            changed: true,
            actions: Actions::default(),
        })
    }

    pub fn apply_list(&mut self, now: Time, mode: &Mode, entries: &[Entry]) {
        self.changed = true;
        let list = entries
            .iter()
            .map(|e| e.searcher_entry(&self.names))
            .collect();
        self.host.apply_update(
            now,
            match mode {
                Mode::Changes => PolicyUpdate::Changes(list),
                Mode::All => PolicyUpdate::All(list),
                Mode::Remembered => PolicyUpdate::Cached(list),
                Mode::Refused => PolicyUpdate::Failed,
            },
        );
    }

    pub fn arrival(&mut self, now: Time, arrival: &Arrival) -> Result<()> {
        self.changed = true;
        if arrival.slab < 0 {
            return self.take_multiget(now, arrival);
        }
        let part = NewPart {
            id: PartId::new(&arrival.corr),
            shard: Shard(arrival.slab as usize),
            weight: arrival.amount,
            hint: arrival.hint(),
        };
        self.host.add_part(now, arrival.whole_no, part);
        Ok(())
    }

    fn take_multiget(&mut self, now: Time, arrival: &Arrival) -> Result<()> {
        let op_type = *(self.names.op_types.get(&arrival.kind))
            .with_context(|| format!("{}: no class is named {}", arrival.corr, arrival.kind))?;
        let tenant = match &arrival.customer {
            Some(TenantRef::Name(name)) => Some(
                *(self.names.tenants.get(name))
                    .with_context(|| format!("{}: no tenant is named {name}", arrival.corr))?,
            ),
            Some(TenantRef::Number(0)) | None => None,
            Some(TenantRef::Number(n)) => bail!("{}: no tenant is named {n}", arrival.corr),
        };
        let multiget = NewMultiget {
            id: MultigetId::new(&arrival.corr),
            number: arrival.whole_no,
            op_type,
            tenant,
            resubmitted: arrival.resubmitted(),
            hint: arrival.hint(),
            deadline: now + Span::from_micros(arrival.time_left_us),
        };
        self.host.add_multiget(now, multiget);
        Ok(())
    }

    pub fn ended(&mut self, now: Time, closed: &ClosedAttempt) -> Result<()> {
        self.changed = true;
        let outcome = wire::outcome(closed.rc)
            .with_context(|| format!("{}: no outcome has the code {}", closed.corr, closed.rc))?;
        let result = AttemptResult {
            part: PartId::new(&closed.corr),
            nth: closed.round_no,
            outcome,
            elapsed: Span::from_micros(closed.latency_us),
            closed: closed.terminal,
        };
        self.host.record_outcome(now, &result, &mut self.actions)?;
        Ok(())
    }

    pub fn client_left(&mut self, corr: &str) {
        self.changed = true;
        self.host.client_left(&MultigetId::new(corr));
    }

    pub fn timer(&mut self, token: u64) {
        self.changed = true;
        if self.timer.is_some_and(|(_, current)| current == token) {
            self.timer = None;
        }
    }

    /// Runs the work that is due, sets the timer and returns the actions of this batch.
    pub fn settle(&mut self, now: Time) -> Vec<Action> {
        if !std::mem::take(&mut self.changed) {
            return Vec::new();
        }
        if let Some(delay) = self.host.run_due(now, &mut self.actions) {
            self.arm(now, delay);
        }
        std::mem::take(&mut self.actions.0)
    }

    /// Sets the timer unless an earlier one is active.
    fn arm(&mut self, now: Time, delay: Span) {
        let due = now + delay;
        if self.timer.is_some_and(|(at, _)| at <= due) {
            return;
        }
        self.next_token += 1;
        self.timer = Some((due, self.next_token));
        self.actions.0.push(Action::After {
            offset_us: delay.as_micros(),
            token: self.next_token,
        });
    }
}
