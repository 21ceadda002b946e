//! `lockusher`: one mixer on sockets, configured by `LB_CONFIG`.

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use lockusher_mixer::clock::{Clock, duration};
use lockusher_mixer::config::{self, Config};
use lockusher_mixer::log;
use lockusher_mixer::routing::{Arrival, Inlets, Router};
use lockusher_mixer::transport::clients::{self, Desk, Stopping};
use lockusher_mixer::transport::discovery;
use lockusher_mixer::transport::searchers::Searchers;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};

/// A process told to stop is killed no sooner than this after the longest route timeout, of which no more than
/// `LONGEST_COUNTED` counts. Until shortly before it serves those that have a connection to it: others may be
/// down at the same time.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_millis(3_000);
/// So long before that it closes what is unused and each connection with its answer, and gives up what is
/// still in hand.
const CLOSE: Duration = Duration::from_millis(1_200);
const GIVE_UP: Duration = Duration::from_millis(400);

async fn serve(mut config: Config, load: impl Fn() -> Result<Config>) -> Result<()> {
    let clock = Clock::start();
    let mut hung_up = signal(SignalKind::hangup())?;
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let sockets = config.sockets;
    let (queue, arrivals) = mpsc::channel(sockets.most_open);
    let (left, left_inlet) = mpsc::unbounded_channel();
    let (stop, stopping) = watch::channel(Stopping::No);
    let (can_serve, open, asked) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)), Rc::new(Notify::new()));
    let searchers = Searchers::new(sockets, queue.clone());
    let inlets = Inlets { arrivals, left: left_inlet };
    let mut router =
        Router::start(clock, &config, searchers, asked.clone(), inlets, can_serve.clone(), open.clone())
            .context("settings")?;
    let known = config.known.take().map(|known| known.read(&config.settings.names()));
    let from = known.as_ref().map(|known| known.index);
    if let Some(known) = known {
        router.remember(known);
    }
    let listener =
        clients::listen(config.listen).await.with_context(|| format!("listen: {}", config.listen))?;
    let at = listener.local_addr().context("listen")?;
    let names = config.settings.names();
    let (moves, moved) = watch::channel(config.discovery);
    let watching = discovery::watch(moved, sockets, config.settings.names(), from, asked, queue.clone());
    actix_rt::spawn(watching);
    let mut routing = actix_rt::spawn(router.run());
    let desk = Rc::new(Desk {
        names,
        sockets,
        queue: queue.clone(),
        left,
        can_serve,
        stopping,
        bodies: Cell::new(0),
    });
    let closed = Rc::new(Notify::new());
    let mut serving = actix_rt::spawn(clients::serve(listener, desk, closed.clone()));
    log!("{} serves on {at}", config.name);

    loop {
        tokio::select! {
            // What is in hand, connections and what was learned stay; only the watch moves.
            Some(()) = hung_up.recv() => match load() {
                Ok(new) => {
                    let moves = moves.send_if_modified(|at| std::mem::replace(at, new.discovery) != new.discovery);
                    log!("{}: configuration read again, discovery {} {}", config.name,
                        if moves { "moves to" } else { "stays at" }, new.discovery);
                    for key in config.needs_restart(&new) {
                        log!("{key}: another value needs a restart; the old one stays in force");
                    }
                }
                Err(error) => log!("configuration not read again, the old one stays in force: {error:#}"),
            },
            _ = terminated.recv() => break,
            _ = interrupted.recv() => break,
            ended = &mut routing => {
                ended.context("routing")?;
                anyhow::bail!("routing has ended");
            }
            ended = &mut serving => {
                ended.context("serving")?;
                anyhow::bail!("serving has ended");
            }
        }
    }
    log!("{} stops: {} multigets in hand", config.name, open.get());
    stop.send_replace(Stopping::Asked);
    let killed = duration(sockets.longest).min(LONGEST_COUNTED) + KILLED_AFTER;
    tokio::time::sleep(killed.saturating_sub(CLOSE)).await;
    stop.send_replace(Stopping::Closing);
    closed.notify_one();
    let mut answered = tokio::time::timeout(CLOSE - GIVE_UP, &mut serving).await.is_ok();
    if !answered {
        let _ = queue.send(Arrival::Stop).await;
        answered = tokio::time::timeout(GIVE_UP / 2, serving).await.is_ok();
    }
    log!("{} ends: {}", config.name, if answered { "all was answered" } else { "connections left" });
    Ok(())
}

fn main() -> ExitCode {
    let run = || {
        let load = || config::load(|name| std::env::var(name).ok());
        actix_rt::System::new().block_on(serve(load()?, load))
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
