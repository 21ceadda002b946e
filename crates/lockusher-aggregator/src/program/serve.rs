//! `serve`: one mixer on sockets, configured by `LB_CONFIG` and the operator's settings.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use super::configuration;
use super::signals::{Signals, Told};
use crate::clock::{Clock, duration};
use crate::config::Config;
use crate::operator::{self, Fleet, Operator};
use crate::routing::searcher_transport::Carrier;
use crate::routing::{Arrival, Inlets, Router};
use crate::transport::clients::{self, Desk, Stopping};
use crate::transport::discovery;
use crate::transport::frame_transport::Searchers;
use crate::transport::protocol_selection::Carriers;
use anyhow::{Context, Result};
use lockusher_membership::core::share::Shares;
use lockusher_membership::core::table::MixerName;
use lockusher_membership::core::wire::{MOST_BUDGETS, MOST_NAME};
use lockusher_membership::core::{Core, Plan};
use lockusher_membership::io::{self, Ask, Asks};
use lockusher_multiget::settings::Settings;
use lockusher_policy::interface::{Budget, TenantId, Time};
use lockusher_registry_client::io::follow;
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// A process told to stop is killed no sooner than this after the longest route timeout, of which no more than
/// `LONGEST_COUNTED` counts. Until shortly before it serves those that have a connection to it: others may be
/// down at the same time.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_millis(3_000);
/// So long before that it closes what is unused and each connection with its answer, and gives up what is still in
/// hand; less of both where route timeouts are short, so that it serves on while new connections may still come.
const CLOSE: Duration = Duration::from_millis(1_200);
const GIVE_UP: Duration = Duration::from_millis(400);
/// New connections come for up to 0.4 s after it was told; those that came with the last of them are read by then.
const STILL_COMING: Duration = Duration::from_millis(500);

/// When a process that was told to stop closes what is unused, and when it gives up what is in hand; then how long the
/// last answers may take, which ends before it is killed.
fn stops(longest: Duration) -> [Duration; 3] {
    let killed = longest.min(LONGEST_COUNTED) + KILLED_AFTER;
    let close = killed.saturating_sub(CLOSE).max(STILL_COMING);
    let give_up = GIVE_UP.min((killed - close) / 2);
    [close, killed - give_up - close, give_up * 3 / 4]
}

/// Between two reports of what this mixer saw: a few fit into a second, each costs a look at all searchers.
const REPORT_EVERY: Duration = Duration::from_millis(100);

/// What the platform's settings say of what is shared: how many mixers there are, and tenants' shares.
fn with_platform(mut shares: Shares, settings: &Settings) -> Shares {
    shares.mixers = if shares.mixers > 0 {
        shares.mixers
    } else {
        settings.balancers
    };
    if shares.tenants {
        let tenants = settings.tenants().into_iter().enumerate();
        let budgets =
            tenants.map(|(nth, tenant)| (Budget::Tenant(TenantId(nth)), tenant.quota_per_s));
        shares
            .budgets
            .extend(budgets.take(MOST_BUDGETS.saturating_sub(shares.budgets.len())));
    }
    shares
}

/// Keeps a view of the fleet from here on; what it counts, and what is shared on it, goes to the router.
async fn fleet(
    set: &Fleet,
    config: &Config,
    clock: Clock,
    queue: mpsc::Sender<Arrival>,
) -> Result<Asks> {
    anyhow::ensure!(
        config.name.len() <= MOST_NAME,
        "name: longer than {MOST_NAME} bytes, which a fleet can't tell"
    );
    let socket = io::bind(set.address)
        .await
        .with_context(|| format!("fleet.address: {}", set.address))?;
    let plan = Plan {
        fleet: set.id.clone(),
        name: MixerName::new(&config.name),
        address: set.advertise,
        zone: set.zone.as_str().into(),
        seeds: set.seeds.clone(),
        probe_every: set.probe_every,
        suspect_for: set.suspect_for,
        remember: set.remember,
        shares: set
            .shares
            .clone()
            .map(|shares| with_platform(shares, &config.settings)),
    };
    let (now, mixers) = (clock.now(), config.settings.balancers);
    let core = Core::new(
        now,
        now.since(Time::from_micros(0)).as_micros(),
        plan,
        mixers,
        config.seed,
    );
    // Few ask, and each is answered at once.
    let (ask, asked) = mpsc::channel(4);
    let told = queue.clone();
    let tell = move |news| told.try_send(Arrival::Fleet(news)).is_ok();
    actix_rt::spawn(io::keep(socket, core, move || clock.now(), tell, asked));
    if set.shares.is_some() {
        let ask = ask.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(REPORT_EVERY).await;
                let (reply, report) = oneshot::channel();
                let asked = queue.send(Arrival::Report(reply)).await;
                let (Ok(()), Ok(own)) = (asked, report.await) else {
                    return;
                };
                if ask.send(Ask::Tell(own)).await.is_err() {
                    return;
                }
            }
        });
    }
    Ok(ask)
}

pub async fn serve(settings: Option<PathBuf>, operator: Operator) -> Result<()> {
    let mut config = configuration()?;
    let held = operator.clone();
    let clock = Clock::start();
    let mut signals = Signals::heed().context("signals")?;
    let sockets = config.sockets;
    let (queue, arrivals) = mpsc::channel(sockets.most_open);
    let (left, left_inlet) = mpsc::unbounded_channel();
    let (stop, stopping) = watch::channel(Stopping::No);
    let (can_serve, open, asked) = (
        Rc::new(Cell::new(false)),
        Rc::new(Cell::new(0)),
        Rc::new(Notify::new()),
    );
    let open_sockets = Rc::default();
    let frames = Searchers::new(sockets, queue.clone(), Rc::clone(&open_sockets));
    let searchers: Box<dyn Carrier> = match operator.http2.clone() {
        Some(http2) => Box::new(Carriers::new(
            frames,
            http2,
            sockets,
            config.settings.names(),
            open_sockets,
            queue.clone(),
        )),
        None => Box::new(frames),
    };
    let inlets = Inlets {
        arrivals,
        left: left_inlet,
    };
    let mut router = Router::start(
        clock,
        &config,
        searchers,
        asked.clone(),
        inlets,
        can_serve.clone(),
        open.clone(),
    )
    .context("settings")?;
    let known = config
        .known
        .take()
        .map(|known| known.read(&config.settings.names()));
    let from = known.as_ref().map(|known| known.index);
    if let Some(known) = known {
        router.remember(known);
    }
    let listener = clients::listen(config.listen)
        .await
        .with_context(|| format!("listen: {}", config.listen))?;
    let at = listener.local_addr().context("listen")?;
    let names = config.settings.names();
    // One of the two lists the searchers, for as long as the process runs.
    let (mut registry, mut moves, mut asks) = (None, None, None);
    match operator.registry.clone() {
        Some(plan) => {
            let (plans, planned) = watch::channel(plan);
            // Few ask, and each is answered at once.
            let (ask, asked) = mpsc::channel(4);
            (registry, asks) = (Some(plans), Some(ask));
            let (now, names) = (move || clock.now(), config.settings.names());
            let told = |list| Arrival::Told(Some(list));
            actix_rt::spawn(follow(
                planned,
                names,
                config.seed,
                now,
                queue.clone(),
                told,
                asked,
            ));
        }
        None => {
            let (to, moved) = watch::channel(config.needs_discovery()?);
            moves = Some(to);
            let watching = discovery::watch(
                moved,
                sockets,
                config.settings.names(),
                from,
                asked,
                queue.clone(),
            );
            actix_rt::spawn(watching);
        }
    }
    let fleet = match &operator.fleet {
        Some(set) => Some(fleet(set, &config, clock, queue.clone()).await?),
        None => None,
    };
    let mut routing = actix_rt::spawn(router.run());
    let desk = Rc::new(Desk {
        names,
        sockets,
        queue: queue.clone(),
        left,
        can_serve,
        stopping,
        bodies: Cell::new(0),
        registry: asks,
        fleet: fleet.clone(),
    });
    let closed = Rc::new(Notify::new());
    let mut serving = actix_rt::spawn(clients::serve(listener, desk, closed.clone()));
    tracing::info!("{} serves on {at}", config.name);

    let read_again = |discovery: bool| {
        let new = configuration()?;
        if discovery {
            new.needs_discovery()?;
        }
        anyhow::Ok((new, operator::load(settings.as_deref())?))
    };
    loop {
        tokio::select! {
            // What is in hand, connections and what was learned stay; only the watch moves.
            told = signals.next() => match told {
                Told::Stop => break,
                Told::HangUp => match read_again(moves.is_some()) {
                Ok((new, operator)) => {
                    let name = &config.name;
                    if let (Some(moves), Ok(discovery)) = (&moves, new.needs_discovery()) {
                        let moved = moves.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
                        let moved = if moved { "moves to" } else { "stays at" };
                        tracing::info!("{name}: configuration read again, discovery {moved} {discovery}");
                    }
                    match (&registry, operator.registry) {
                        (Some(plans), Some(plan)) => {
                            let moved = plans.send_if_modified(|held| std::mem::replace(held, plan.clone()) != plan);
                            let moved = if moved { "is followed anew" } else { "stays as it was" };
                            tracing::info!("{name}: settings read again, the registry {moved}");
                        }
                        (None, None) => {}
                        _ => tracing::warn!("registry: to be set or unset it needs a restart"),
                    }
                    if operator.http2 != held.http2 {
                        tracing::warn!("http2: another value needs a restart; the old one stays in force");
                    }
                    if operator.fleet != held.fleet {
                        tracing::warn!("fleet: another value needs a restart; the old one stays in force");
                    }
                    for key in config.needs_restart(&new) {
                        tracing::warn!("{key}: another value needs a restart; the old one stays in force");
                    }
                }
                Err(error) => tracing::error!("configuration not read again, the old one stays in force: {error:#}"),
            },
            },
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
    tracing::info!("{} stops: {} multigets in hand", config.name, open.get());
    stop.send_replace(Stopping::Asked);
    if let Some(fleet) = &fleet {
        let _ = fleet.send(Ask::Leave).await;
    }
    let [close, answer, last] = stops(duration(sockets.longest));
    tokio::time::sleep(close).await;
    stop.send_replace(Stopping::Closing);
    closed.notify_one();
    let mut answered = tokio::time::timeout(answer, &mut serving).await.is_ok();
    if !answered {
        let _ = queue.send(Arrival::Stop).await;
        answered = tokio::time::timeout(last, serving).await.is_ok();
    }
    tracing::info!(
        "{} ends: {}",
        config.name,
        if answered {
            "all was answered"
        } else {
            "connections left"
        }
    );
    Ok(())
}
