//! One control node: opens its disk, starts its replica and serves until it is told to stop.

use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use derive_more::{Display, Error, From};
use lockusher_config::settings::{InternalListener, NodeSettings, TooFewPorts};
use lockusher_distribution::publisher::Publisher;
use lockusher_distribution::serve::{SharedPublisher, accept};
use lockusher_storage::Completions;
use lockusher_transport::clock::Clock;
use lockusher_transport::error::TransportError;
use lockusher_transport::{http, tcp};

use crate::driver::disk::{Disk, DiskError, OpenedDisk};
use crate::driver::instance_list_publisher::InstanceListPublisher;
use crate::driver::peer_links::{LinkTiming, PeerLinks};
use crate::driver::replica_driver::ReplicaDriver;
use crate::driver::{instance_list_polling, operator_api, peer_listener, stage_assignment};
use crate::replica::{Event, Replica, ReplicaSetup};

/// Pause between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a node that was told to stop goes on at least, so that others take over what it did.
const MIN_HAND_OVER: Duration = Duration::from_millis(600);
/// It goes on until it has handed over, for this part of the grace at most.
const HAND_OVER_GRACE_DIVISOR: u32 = 2;
/// Pause between two scrubs of the disk.
const SCRUB_INTERVAL: Duration = Duration::from_secs(600);

/// Bytes of a megabyte of `limits.diskMb`.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Why a control node can't run.
#[derive(Debug, Display, Error, From)]
pub enum ControlError {
    #[display("settings: {_0} is missing")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
    #[display("{_0}")]
    Ports(TooFewPorts),
    #[display("{_0}")]
    Disk(DiskError),
    #[display("{_0}")]
    Net(TransportError),
}

/// What the command line says of a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlOptions {
    /// Whether searchers are ordered to change their stage as the load demands.
    pub stage_assignment: bool,
}

impl Default for ControlOptions {
    fn default() -> Self {
        ControlOptions { stage_assignment: true }
    }
}

/// Runs a control node until `stop` is done; then hands over and returns.
pub async fn run(
    settings: NodeSettings,
    options: ControlOptions,
    stop: impl Future<Output = ()>,
) -> Result<(), ControlError> {
    let operator_address = settings.control.ok_or(ControlError::Missing("listenAddresses.control"))?;
    let folder = settings.data_directory.clone().ok_or(ControlError::Missing("dataDirectory"))?;
    let replica_port = settings.internal_port(InternalListener::Replicas)?;
    let subscription_port = settings.internal_port(InternalListener::Subscriptions)?;
    let own_address = SocketAddrV4::new(settings.ip_address, replica_port);
    let operator_listener = tcp::listen(operator_address).await?;
    let peer_socket = tcp::listen(own_address).await?;
    let subscription = SocketAddrV4::new(settings.ip_address, subscription_port);
    let subscription_listener = tcp::listen(subscription).await?;

    let OpenedDisk { disk, completions, recovered } =
        Disk::open(&folder, settings.limits.disk_mb * BYTES_PER_MB).await?;
    let clock = Clock::start();
    let random_seed = RandomState::new().hash_one(own_address);
    let setup = ReplicaSetup {
        address: own_address,
        seeds: settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), replica_port)).collect(),
        first_start: settings.first_start && !recovered.cleared,
        tolerated_losses: settings.fault_tolerance_machines,
        acknowledge_ms: settings.bounds.acknowledge_ms,
        catch_up_ms: settings.bounds.catch_up_ms,
        random_seed,
    };
    log::info!("control node at {own_address}, {} records on disk", recovered.records.len());
    let (replica, effects) = Replica::new(setup, recovered.records, clock.millis());
    let publisher = SharedPublisher::new(Publisher::new(random_seed), clock);
    let acknowledge = Duration::from_millis(settings.bounds.acknowledge_ms);
    let links = PeerLinks::new(own_address, LinkTiming::new(acknowledge));
    let driver = ReplicaDriver::new(clock, Rc::clone(&publisher), replica, disk, links, subscription_port);
    driver.apply_effects(effects);

    let operator_driver = Rc::clone(&driver);
    let operator = move |request| operator_api::handle(Rc::clone(&operator_driver), request);
    let hand_over_limit = Duration::from_millis(settings.bounds.grace_ms) / HAND_OVER_GRACE_DIVISOR;
    let settings = Rc::new(settings);
    let list_publisher = InstanceListPublisher::new(Rc::clone(&driver));
    let stage_assignment_task = options.stage_assignment.then(|| {
        compio::runtime::spawn(stage_assignment::run(
            Rc::clone(&driver),
            Rc::clone(&list_publisher),
            Rc::clone(&settings),
        ))
    });
    let _tasks = [
        compio::runtime::spawn(follow_disk(Rc::clone(&driver), completions)),
        compio::runtime::spawn(tick_periodically(Rc::clone(&driver))),
        compio::runtime::spawn(scrub_periodically(Rc::clone(&driver))),
        compio::runtime::spawn(peer_listener::run(Rc::clone(&driver), peer_socket)),
        compio::runtime::spawn(accept(subscription_listener, publisher)),
        compio::runtime::spawn(http::serve(operator_listener, operator)),
        compio::runtime::spawn(instance_list_polling::run(
            Rc::clone(&driver),
            list_publisher,
            settings,
            random_seed,
        )),
    ];
    stop.await;
    log::info!("stopping");
    // Ends an order under way, too: its connection is reset.
    drop(stage_assignment_task);
    driver.dispatch(Event::Stop);
    hand_over(&driver, hand_over_limit).await;
    Ok(())
}

/// Waits until the others do without this node, or for `limit` if they can't agree on that.
async fn hand_over(driver: &ReplicaDriver, limit: Duration) {
    let started = driver.clock.millis();
    sleep(MIN_HAND_OVER).await;
    let is_over = || driver.clock.millis() - started >= limit.as_millis() as u64;
    while !driver.read(Replica::has_handed_over) && !is_over() {
        sleep(TICK_INTERVAL).await;
    }
}

async fn follow_disk(driver: Rc<ReplicaDriver>, mut completions: Completions) {
    while let Some(completion) = completions.next().await {
        driver.on_disk_completion(&completion);
    }
}

async fn tick_periodically(driver: Rc<ReplicaDriver>) {
    loop {
        sleep(TICK_INTERVAL).await;
        driver.dispatch(Event::Tick);
        driver.refresh_status();
    }
}

/// Scrubs the disk now and then; the first pause is drawn anew by each node, so that they don't all read at once.
async fn scrub_periodically(driver: Rc<ReplicaDriver>) {
    sleep(SCRUB_INTERVAL.mul_f64(rand::random_range(0.5..1.0))).await;
    loop {
        driver.scrub();
        sleep(SCRUB_INTERVAL).await;
    }
}
