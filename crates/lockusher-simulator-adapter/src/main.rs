//! Runs lockusher's decisions in the simulator's protocol: batches on standard input, replies on
//! standard output. The adapter keeps the timers and the pending multigets and makes no decisions.

// Lints of the workspace that this package does not satisfy yet; docs/ROADMAP.md lists what
// remains.
#![allow(clippy::wildcard_imports)]

mod mixer;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use anyhow::{Context, Result, anyhow};
use lockusher_policy::interface::Time;

use mixer::Mixer;
use wire::{Batch, Entry, Event, InstanceAction, Mode, Reply};

/// The running instances, and the lists of searchers by `set_id`.
#[derive(Default)]
struct Simulation {
    mixers: BTreeMap<String, Mixer>,
    catalogs: BTreeMap<u64, Vec<Entry>>,
}

impl Simulation {
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
                    .with_context(|| format!("invalid settings for {mixer}"))?;
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
                    (_, None) => return Err(anyhow!("UPDATE for {mixer} has no set_id")),
                    (_, Some(number)) => self
                        .catalogs
                        .get(&number)
                        .with_context(|| format!("UPDATE names undefined set_id {number}"))?
                        .as_slice(),
                };
                let instance = self
                    .mixers
                    .get_mut(&mixer)
                    .ok_or_else(|| anyhow!("{mixer} has not been started"))?;
                instance.apply_list(now, &mode, entries);
            }
            Event::Arrival(arrival) => self.mixer(&arrival.mixer)?.arrival(now, &arrival)?,
            Event::ClosedAttempt(closed) => self.mixer(&closed.mixer)?.ended(now, &closed)?,
            Event::ClientLeft { mixer, corr } => self.mixer(&mixer)?.client_left(&corr),
            Event::DeadlineHit { mixer, token } => self.mixer(&mixer)?.timer(token),
            // Results of actions that the decision module never requests.
            Event::PingResult {} | Event::Begun {} | Event::Inbox {} => {}
        }
        Ok(())
    }

    /// Handles one batch of events and returns the encoded reply.
    fn batch(&mut self, line: &str) -> Result<String> {
        let batch: Batch =
            serde_json::from_str(line).context("not a batch of the simulator's protocol")?;
        let now = Time::from_micros(batch.sim_time_us);
        for event in batch.items {
            self.event(now, event)?;
        }
        let mut cmds = Vec::new();
        for (name, mixer) in &mut self.mixers {
            let actions = mixer.settle(now);
            cmds.extend(actions.into_iter().map(|action| InstanceAction {
                mixer: name.as_str(),
                action,
            }));
        }
        Ok(serde_json::to_string(&Reply { cmds })?)
    }
}

fn run() -> Result<()> {
    let mut simulation = Simulation::default();
    let mut out = BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let line = line.context("cannot read standard input")?;
        let reply = simulation
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
