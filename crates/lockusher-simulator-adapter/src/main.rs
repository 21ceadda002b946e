//! Plays lockusher's decisions over the simulator's wire: batches on standard input, replies on
//! standard output. It keeps the timers and the multigets in hand and decides nothing.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(clippy::wildcard_imports)]

mod mixer;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use anyhow::{Context, Result, anyhow};
use lockusher_policy::interface::Time;

use mixer::Mixer;
use wire::{Batch, Entry, Event, Mode, Reply, Tagged};

#[derive(Default)]
struct Drill {
    mixers: BTreeMap<String, Mixer>,
    catalogs: BTreeMap<u64, Vec<Entry>>,
}

impl Drill {
    fn mixer(&mut self, name: &str) -> Result<&mut Mixer> {
        self.mixers
            .get_mut(name)
            .ok_or_else(|| anyhow!("{name} has not been started"))
    }

    fn event(&mut self, now: Time, event: Event) -> Result<()> {
        match event {
            Event::Spawn {
                mixer,
                random_seed,
                facts,
            } => {
                let started = Mixer::start(now, random_seed, &facts)
                    .with_context(|| format!("settings of {mixer}"))?;
                self.mixers.insert(mixer, started);
            }
            Event::Exit { mixer } => {
                self.mixers.remove(&mixer);
            }
            Event::Catalog {
                set_id,
                members_list,
            } => {
                self.catalogs.insert(set_id, members_list);
            }
            Event::Update {
                mixer,
                mode,
                set_id,
            } => {
                let entries = match (&mode, set_id) {
                    (Mode::Refused, _) => &[],
                    (_, None) => return Err(anyhow!("UPDATE for {mixer} names no set_id")),
                    (_, Some(number)) => self
                        .catalogs
                        .get(&number)
                        .with_context(|| format!("UPDATE names list {number}, never given"))?
                        .as_slice(),
                };
                let hand = self
                    .mixers
                    .get_mut(&mixer)
                    .ok_or_else(|| anyhow!("{mixer} has not been started"))?;
                hand.listed(now, &mode, entries);
            }
            Event::Knock(knock) => self.mixer(&knock.mixer)?.knock(now, &knock)?,
            Event::ClosedAttempt(closed) => self.mixer(&closed.mixer)?.closed(now, &closed)?,
            Event::ClientLeft { mixer, corr } => self.mixer(&mixer)?.client_left(&corr),
            Event::DeadlineHit { mixer, token } => self.mixer(&mixer)?.timer(token),
            // Nothing that the module asks for brings these.
            Event::PingResult {} | Event::Begun {} | Event::Inbox {} => {}
        }
        Ok(())
    }

    fn batch(&mut self, line: &str) -> Result<String> {
        let batch: Batch = serde_json::from_str(line).context("not a batch of this wire")?;
        let now = Time::from_micros(batch.sim_time_us);
        for event in batch.items {
            self.event(now, event)?;
        }
        let mut cmds = Vec::new();
        for (name, mixer) in &mut self.mixers {
            let actions = mixer.settle(now);
            cmds.extend(actions.into_iter().map(|action| Tagged {
                mixer: name.as_str(),
                action,
            }));
        }
        Ok(serde_json::to_string(&Reply { cmds })?)
    }
}

fn run() -> Result<()> {
    let mut drill = Drill::default();
    let mut out = BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let line = line.context("standard input")?;
        let reply = drill
            .batch(&line)
            .with_context(|| format!("line {}", number + 1))?;
        writeln!(out, "{reply}")?;
        out.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lockusher-simulator-adapter: {error:#}");
            ExitCode::FAILURE
        }
    }
}
