//! `lockusher`: one mixer on sockets, configured by `LB_CONFIG`.

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use lockusher_mixer::clock::Clock;
use lockusher_mixer::config::{self, Config};
use lockusher_mixer::log;
use lockusher_mixer::routing::{Inlets, Router};
use lockusher_mixer::transport::clients::{self, Desk, Stopping};
use lockusher_mixer::transport::discovery;
use lockusher_mixer::transport::searchers::Searchers;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};

/// After a signal to stop, unused connections are closed before 0.7 s are over; most are used before and close
/// with their answer.
const CLOSE_UNUSED: Duration = Duration::from_millis(500);
/// No new connection comes after this; those that came last are closed unless a request is in hand.
const CLOSE_LISTENER: Duration = Duration::from_millis(600);

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
    let desk = Rc::new(Desk { names, sockets, queue, left, can_serve, stopping });
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
    tokio::time::sleep(CLOSE_UNUSED).await;
    stop.send_replace(Stopping::Closing);
    tokio::time::sleep(CLOSE_LISTENER.saturating_sub(CLOSE_UNUSED)).await;
    closed.notify_one();
    let answered = tokio::time::timeout(sockets.longest, serving).await;
    log!("{} ends: {}", config.name, if answered.is_ok() { "all was answered" } else { "connections left" });
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
