//! `lockusher-aggregator-testbed`: measurements that are too long for the tests, each with one last line of figures and an exit that
//! is not zero if a promise was broken; and a demonstration.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(clippy::too_many_lines)]

use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use lockusher_aggregator_testbed::{
    chain, chain_injected_bugs, demo, http2, large, mixers, soak, standstill,
};
use lockusher_control::InjectedBug;
use lockusher_control_simulation::Checks;
use lockusher_policy::interface::Span;
use lockusher_registry_client::core::follow::Protocol;

#[derive(Parser)]
#[command(about)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Hosts, a registry and a mixer; a host drains, another dies; what is answered by whom. Ends by itself.
    Demo,
    /// Hosts come, drain, vanish and return under load while the registry is in trouble.
    Registry {
        #[arg(long)]
        protocol: Which,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        #[arg(long, default_value_t = 24)]
        hosts: usize,
        /// Run a reader beside it that reads the whole list each second.
        #[arg(long)]
        baseline: bool,
        /// Spare the registry all trouble.
        #[arg(long)]
        calm: bool,
        /// Show what the mixer says, and each trouble.
        #[arg(long)]
        verbose: bool,
    },
    /// A large registry: a start, a burst of changes under load, a rebuild.
    Large {
        #[arg(long)]
        protocol: Which,
        #[arg(long, default_value_t = 20_000)]
        entries: usize,
        /// Changes a second.
        #[arg(long, default_value_t = 5_000)]
        changes: usize,
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Hosts that speak HTTP/2 close, refuse, stall, lower limits, drain and restart cold under load.
    Http2 {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        #[arg(long, default_value_t = 12)]
        hosts: usize,
        /// Parts of a multiget.
        #[arg(long, default_value_t = 5)]
        width: usize,
    },
    /// A mixer that is stopped and continued while clients leave early: nothing may leave too late.
    Standstill {
        /// Each searcher leaves one part in so many unanswered.
        #[arg(long, default_value_t = 40)]
        silent_one_in: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// The same work over frames and over HTTP/2, one after the other.
    Carriers {
        #[arg(long, default_value_t = 5)]
        width: usize,
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Hosts restart one after the other meanwhile.
        #[arg(long)]
        restarts: bool,
        /// Calls that one connection of frames carries, and descriptors that the mixer may hold.
        #[arg(long, default_value_t = 32)]
        calls: usize,
        #[arg(long, default_value_t = 256)]
        sockets: usize,
    },
    /// Real mixers that keep a view of their fleet, under faults drawn from a seed and a load.
    Fleet {
        #[arg(long, default_value_t = 8)]
        mixers: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Multigets a second at each mixer.
        #[arg(long, default_value_t = 10.0)]
        rate: f64,
        /// Say what happens.
        #[arg(long)]
        verbose: bool,
    },
    /// The fleet's view in virtual time: joins, crashes, cuts and loss, at sizes that processes do not reach.
    FleetSim {
        #[arg(long, default_value_t = 300)]
        members: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Of virtual time, after all have joined.
        #[arg(long, default_value_t = 90)]
        seconds: u64,
        /// Say what happens.
        #[arg(long)]
        verbose: bool,
    },
    /// Real mixers that share state: what the fleet spends of its budgets under faults, and what judgements and warm
    /// starts earn, played with and without them.
    Shared {
        #[arg(long, default_value_t = 8)]
        mixers: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Of faults, while budgets are counted.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Multigets a second at each mixer.
        #[arg(long, default_value_t = 20.0)]
        rate: f64,
        /// Say what happens.
        #[arg(long)]
        verbose: bool,
    },
    /// Shared state in virtual time: how soon a judgement reaches all, and what the fleet may spend under random cuts.
    SharedSim {
        #[arg(long, default_value_t = 300)]
        members: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Of faults, in virtual time.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// The replicated control state in virtual time, under faults drawn from a seed, against a plain model.
    Chain {
        /// Control nodes at the start, 1 to 9.
        #[arg(long)]
        replicas: usize,
        /// Of the first run; further runs have the seeds that follow.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Steps under faults in each run.
        #[arg(long, default_value_t = 500)]
        steps: usize,
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// As many as the machine runs at once, if absent.
        #[arg(long)]
        threads: Option<std::num::NonZero<usize>>,
    },
    /// How often the same simulation detects each injected bug; a line for each.
    #[command(alias = "chain-mistakes")]
    ChainInjectedBugs {
        /// Control nodes at the start, 1 to 9.
        #[arg(long)]
        replicas: usize,
        /// Of the first run; further runs have the seeds that follow.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Steps under faults in each run.
        #[arg(long, default_value_t = 500)]
        steps: usize,
        /// Runs with each bug.
        #[arg(long, default_value_t = 200)]
        runs: u64,
        /// Check only what operators and agents observe, not the invariants between nodes.
        #[arg(long)]
        told_only: bool,
        /// One bug, by its name in lockusher_control::InjectedBug.
        #[arg(long, alias = "mistake")]
        injected_bug: Option<String>,
    },
    /// The mixer itself, as the stories start it.
    #[command(hide = true, disable_help_flag = true)]
    Mixer {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<std::ffi::OsString>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Which {
    Etcd,
    Consul,
}

impl From<Which> for Protocol {
    fn from(which: Which) -> Self {
        match which {
            Which::Etcd => Protocol::Etcd,
            Which::Consul => Protocol::Consul,
        }
    }
}

fn main() -> ExitCode {
    let kept = match Line::parse().command {
        Command::Mixer { args } => {
            return lockusher_aggregator::program::run(
                std::iter::once("lockusher".into()).chain(args),
            );
        }
        Command::Demo => demo::run(),
        Command::Registry {
            protocol,
            seed,
            seconds,
            hosts,
            baseline,
            calm,
            verbose,
        } => {
            let span = Duration::from_secs(seconds);
            soak::run(&soak::Run {
                protocol: protocol.into(),
                seed,
                span,
                hosts,
                baseline,
                calm,
                quiet: !verbose,
            })
        }
        Command::Http2 {
            seed,
            seconds,
            hosts,
            width,
        } => http2::run(seed, Duration::from_secs(seconds), hosts, width),
        Command::Standstill {
            seed,
            seconds,
            silent_one_in,
        } => standstill::run(seed, Duration::from_secs(seconds), silent_one_in),
        Command::Carriers {
            width,
            seconds,
            restarts,
            calls,
            sockets,
        } => http2::carriers(
            width,
            Duration::from_secs(seconds),
            restarts,
            calls,
            sockets,
        ),
        Command::Fleet {
            mixers,
            seed,
            seconds,
            rate,
            verbose,
        } => mixers::run::run(mixers, seed, Duration::from_secs(seconds), rate, verbose),
        Command::Shared {
            mixers,
            seed,
            seconds,
            rate,
            verbose,
        } => mixers::shared::run(mixers, seed, Duration::from_secs(seconds), rate, verbose),
        Command::SharedSim {
            members,
            seed,
            seconds,
        } => mixers::shared_sim::run(members, seed, Span::from_millis(seconds * 1_000)),
        Command::FleetSim {
            members,
            seed,
            seconds,
            verbose,
        } => mixers::simulate::run(members, seed, Span::from_millis(seconds * 1_000), verbose),
        Command::Chain {
            replicas,
            seed,
            steps,
            runs,
            threads,
        } => {
            let threads = threads.unwrap_or_else(chain::default_threads);
            let (injected_bug, checks) = (None, Checks::All);
            let options = chain::ChainRuns {
                replicas,
                seed,
                steps,
                runs,
                threads,
                injected_bug,
                checks,
            };
            chain::run(&options, &mut std::io::stdout().lock())
        }
        Command::ChainInjectedBugs {
            replicas,
            seed,
            steps,
            runs,
            told_only,
            injected_bug,
        } => {
            let threads = chain::default_threads();
            let checks = if told_only {
                Checks::ExternallyVisible
            } else {
                Checks::All
            };
            let options = chain::ChainRuns {
                replicas,
                seed,
                steps,
                runs,
                threads,
                injected_bug: None,
                checks,
            };
            match injected_bug
                .map(|name| InjectedBug::named(&name).ok_or(name))
                .transpose()
            {
                Ok(one) => chain_injected_bugs::run(&options, one, &mut std::io::stdout().lock()),
                Err(name) => Err(anyhow::anyhow!(
                    "injected-bug: {name} is none of {:?}",
                    InjectedBug::ALL
                )),
            }
        }
        Command::Large {
            protocol,
            entries,
            changes,
            seconds,
        } => large::run(
            protocol.into(),
            entries,
            changes,
            Duration::from_secs(seconds),
        ),
    };
    match kept {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
