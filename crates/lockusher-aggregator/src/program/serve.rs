//! `serve`: runs a mixer, configured by `LB_CONFIG` and the operator's settings.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use super::configuration;
use super::signals::{Signal, Signals};
use crate::clock::{Clock, duration};
use crate::config::Config;
use crate::operator::{self, Fleet, OperatorSettings};
use crate::routing::searcher_transport::SearcherTransport;
use crate::routing::{Router, RouterEvent, RouterInputs};
use crate::transport::clients::{self, ServerState, ShutdownPhase};
use crate::transport::discovery;
use crate::transport::frame_transport::FrameTransport;
use crate::transport::protocol_selection::ProtocolSelector;
use anyhow::{Context, Result};
use lockusher_membership::core::shared_state::SharingConfig;
use lockusher_membership::core::table::MixerName;
use lockusher_membership::core::wire::{MAX_BUDGETS, MAX_NAME_BYTES};
use lockusher_membership::core::{Core, MembershipConfig};
use lockusher_membership::io::{self, FleetRequest, FleetRequestSender};
use lockusher_multiget::settings::Settings;
use lockusher_policy::interface::{Budget, TenantId, Time};
use lockusher_registry_client::io::follow;
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// A process that was asked to stop is killed no sooner than this after the longest route timeout, of which at most
/// `MAX_COUNTED_TIMEOUT` counts. It serves existing connections until shortly before, as other mixers may be down
/// at the same time.
const KILL_AFTER_TIMEOUT: Duration = Duration::from_millis(700);
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long before the kill idle connections are closed and each response closes its connection, and how long
/// before it multigets in flight are given up. Both are shorter if route timeouts are short, so that the mixer
/// keeps serving while new connections may still arrive.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_200);
const GIVE_UP_BEFORE_KILL: Duration = Duration::from_millis(400);
/// New connections arrive for up to 0.4 s after the stop request; after this time, requests on the last of them
/// have been read as well.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(500);

/// Durations of the shutdown phases: until idle connections are closed, from then until multigets in flight are
/// given up, and how long the last responses may take. The last phase ends before the process is killed.
fn shutdown_delays(max_route_timeout: Duration) -> [Duration; 3] {
    let kill = max_route_timeout.min(MAX_COUNTED_TIMEOUT) + KILL_AFTER_TIMEOUT;
    let close_delay = kill
        .saturating_sub(CLOSE_BEFORE_KILL)
        .max(NEW_CONNECTION_PERIOD);
    let give_up = GIVE_UP_BEFORE_KILL.min((kill - close_delay) / 2);
    [close_delay, kill - give_up - close_delay, give_up * 3 / 4]
}

/// Interval between reports of this mixer's observations to the fleet: several fit into a second, and each costs a
/// scan of all searchers.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Adds what the platform's settings define for the shared state: the number of mixers if it is not set, and the
/// tenants' quotas.
fn add_platform_settings(mut shares: SharingConfig, settings: &Settings) -> SharingConfig {
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
            .extend(budgets.take(MAX_BUDGETS.saturating_sub(shares.budgets.len())));
    }
    shares
}

/// Starts the membership task. The number of mixers and the shared state are passed to the router.
async fn start_fleet(
    set: &Fleet,
    config: &Config,
    clock: Clock,
    queue: mpsc::Sender<RouterEvent>,
) -> Result<FleetRequestSender> {
    anyhow::ensure!(
        config.name.len() <= MAX_NAME_BYTES,
        "name: longer than {MAX_NAME_BYTES} bytes, the limit of the membership protocol"
    );
    let socket = io::bind(set.address)
        .await
        .with_context(|| format!("fleet.address: {}", set.address))?;
    let plan = MembershipConfig {
        fleet: set.id.clone(),
        name: MixerName::new(&config.name),
        address: set.advertise,
        zone: set.zone.as_str().into(),
        seeds: set.seeds.clone(),
        probe_interval: set.probe_interval,
        suspicion_timeout: set.suspicion_timeout,
        retention: set.dead_member_retention,
        sharing: set
            .shares
            .clone()
            .map(|shares| add_platform_settings(shares, &config.settings)),
    };
    let (now, mixers) = (clock.now(), config.settings.balancers);
    let core = Core::new(
        now,
        now.since(Time::from_micros(0)).as_micros(),
        plan,
        mixers,
        config.seed,
    );
    // Queries are rare, and each is answered at once.
    let (ask, ask_receiver) = mpsc::channel(4);
    let router_queue = queue.clone();
    let forward_update = move |update| router_queue.try_send(RouterEvent::Fleet(update)).is_ok();
    actix_rt::spawn(io::run(
        socket,
        core,
        move || clock.now(),
        forward_update,
        ask_receiver,
    ));
    if set.shares.is_some() {
        let ask = ask.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(REPORT_INTERVAL).await;
                let (reply, report) = oneshot::channel();
                let sent = queue.send(RouterEvent::Report(reply)).await;
                let (Ok(()), Ok(own)) = (sent, report.await) else {
                    return;
                };
                if ask.send(FleetRequest::Report(own)).await.is_err() {
                    return;
                }
            }
        });
    }
    Ok(ask)
}

/// Serves until a signal requests a stop, then shuts down gracefully.
pub async fn serve(settings: Option<PathBuf>, operator: OperatorSettings) -> Result<()> {
    let mut config = configuration()?;
    let initial = operator.clone();
    let clock = Clock::start();
    let mut signals = Signals::install().context("signals")?;
    let sockets = config.sockets;
    let (queue, events) = mpsc::channel(sockets.max_in_flight);
    let (disconnected, disconnected_receiver) = mpsc::unbounded_channel();
    let (stop, shutdown) = watch::channel(ShutdownPhase::Running);
    let (ready, open_multigets, list_requested) = (
        Rc::new(Cell::new(false)),
        Rc::new(Cell::new(0)),
        Rc::new(Notify::new()),
    );
    let open_sockets = Rc::default();
    let frames = FrameTransport::new(sockets, queue.clone(), Rc::clone(&open_sockets));
    let transport: Box<dyn SearcherTransport> = match operator.http2.clone() {
        Some(http2) => Box::new(ProtocolSelector::new(
            frames,
            http2,
            sockets,
            config.settings.names(),
            open_sockets,
            queue.clone(),
        )),
        None => Box::new(frames),
    };
    let inputs = RouterInputs {
        events,
        disconnected: disconnected_receiver,
    };
    let mut router = Router::start(
        clock,
        &config,
        transport,
        list_requested.clone(),
        inputs,
        ready.clone(),
        open_multigets.clone(),
    )
    .context("settings")?;
    let known = config
        .known
        .take()
        .map(|known| known.read(&config.settings.names()));
    let from = known.as_ref().map(|known| known.index);
    if let Some(known) = known {
        router.restore_list(known);
    }
    let listener = clients::listen(config.listen)
        .await
        .with_context(|| format!("listen: {}", config.listen))?;
    let address = listener.local_addr().context("listen")?;
    let names = config.settings.names();
    // Either the registry or discovery lists the searchers, for the lifetime of the process.
    let (mut registry_sender, mut discovery_sender, mut registry_asks) = (None, None, None);
    match operator.registry.clone() {
        Some(plan) => {
            let (plan_sender, plan_receiver) = watch::channel(plan);
            // Queries are rare, and each is answered at once.
            let (ask, ask_receiver) = mpsc::channel(4);
            (registry_sender, registry_asks) = (Some(plan_sender), Some(ask));
            let (now, names) = (move || clock.now(), config.settings.names());
            let to_event = |list| RouterEvent::SearcherList(Some(list));
            actix_rt::spawn(follow(
                plan_receiver,
                names,
                config.seed,
                now,
                queue.clone(),
                to_event,
                ask_receiver,
            ));
        }
        None => {
            let (address_sender, address_receiver) = watch::channel(config.require_discovery()?);
            discovery_sender = Some(address_sender);
            let watching = discovery::watch(
                address_receiver,
                sockets,
                config.settings.names(),
                from,
                list_requested,
                queue.clone(),
            );
            actix_rt::spawn(watching);
        }
    }
    let fleet = match &operator.fleet {
        Some(set) => Some(start_fleet(set, &config, clock, queue.clone()).await?),
        None => None,
    };
    let mut routing = actix_rt::spawn(router.run());
    let server = Rc::new(ServerState {
        names,
        sockets,
        queue: queue.clone(),
        disconnected,
        ready,
        shutdown,
        body_bytes: Cell::new(0),
        registry: registry_asks,
        fleet: fleet.clone(),
    });
    let stop_accepting = Rc::new(Notify::new());
    let mut serving = actix_rt::spawn(clients::serve(listener, server, stop_accepting.clone()));
    tracing::info!("{} serves on {address}", config.name);

    let reload = |discovery: bool| {
        let new = configuration()?;
        if discovery {
            new.require_discovery()?;
        }
        anyhow::Ok((new, operator::load(settings.as_deref())?))
    };
    loop {
        tokio::select! {
            // Multigets in flight, connections and learned state are kept; only the watch changes.
            signal = signals.next() => match signal {
                Signal::Stop => break,
                Signal::Reload => match reload(discovery_sender.is_some()) {
                Ok((new, operator)) => {
                    let name = &config.name;
                    if let (Some(discovery_sender), Ok(discovery)) = (&discovery_sender, new.require_discovery()) {
                        let change = discovery_sender.send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
                        let change = if change { "moves to" } else { "stays at" };
                        tracing::info!("{name}: configuration read again, discovery {change} {discovery}");
                    }
                    match (&registry_sender, operator.registry) {
                        (Some(plan_sender), Some(plan)) => {
                            let change = plan_sender.send_if_modified(|current| std::mem::replace(current, plan.clone()) != plan);
                            let change = if change { "is followed with the new settings" } else { "is unchanged" };
                            tracing::info!("{name}: settings read again, the registry {change}");
                        }
                        (None, None) => {}
                        _ => tracing::warn!("registry: setting or unsetting it needs a restart"),
                    }
                    if operator.http2 != initial.http2 {
                        tracing::warn!("http2: another value needs a restart; the old one stays in force");
                    }
                    if operator.fleet != initial.fleet {
                        tracing::warn!("fleet: another value needs a restart; the old one stays in force");
                    }
                    for key in config.keys_needing_restart(&new) {
                        tracing::warn!("{key}: another value needs a restart; the old one stays in force");
                    }
                }
                Err(error) => tracing::error!("configuration not read again, the old one stays in force: {error:#}"),
            },
            },
            ended = &mut routing => {
                ended.context("router task")?;
                anyhow::bail!("the router task ended unexpectedly");
            }
            ended = &mut serving => {
                ended.context("client server")?;
                anyhow::bail!("the client server ended unexpectedly");
            }
        }
    }
    tracing::info!(
        "{} stops: {} multigets in hand",
        config.name,
        open_multigets.get()
    );
    stop.send_replace(ShutdownPhase::Draining);
    if let Some(fleet) = &fleet {
        let _ = fleet.send(FleetRequest::Leave).await;
    }
    let [close_delay, answer_time, last_answer_time] =
        shutdown_delays(duration(sockets.max_route_timeout));
    tokio::time::sleep(close_delay).await;
    stop.send_replace(ShutdownPhase::Closing);
    stop_accepting.notify_one();
    let mut answered = tokio::time::timeout(answer_time, &mut serving)
        .await
        .is_ok();
    if !answered {
        let _ = queue.send(RouterEvent::Stop).await;
        answered = tokio::time::timeout(last_answer_time, serving)
            .await
            .is_ok();
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
