//! Runs one control node: opens its disk, starts its replica and serves until shutdown.
//!
//! Called by the program's roles `control` and, on some machines, `agent`. Everything except the storage thread runs as
//! tasks on the caller's single-threaded runtime. Invariant: listeners are bound before the disk is opened, so that a
//! second process on the machine fails before it accesses the disk.

use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep;
use derive_more::{Display, Error, From};
use futures_util::pin_mut;
use lockusher_config::settings::{InternalListener, NodeSettings, TooFewPorts};
use lockusher_config::settings_file::SeedFile;
use lockusher_distribution::publisher::Publisher;
use lockusher_distribution::serve::{SharedPublisher, accept};
use lockusher_storage::Completions;
use lockusher_transport::clock::Clock;
use lockusher_transport::error::TransportError;
use lockusher_transport::{http, tcp};

use crate::driver::announcement::{self, AnnouncementPorts};
use crate::driver::disk::{Disk, DiskError, OpenedDisk, RecoveredRecords};
use crate::driver::instance_list_publisher::InstanceListPublisher;
use crate::driver::peer_links::{LinkTiming, PeerLinks};
use crate::driver::replica_driver::ReplicaDriver;
use crate::driver::{instance_list_polling, operator_api, peer_listener, stage_assignment};
use crate::locality::{Locality, ToleratedDomains};
use crate::replica::{Event, Replica, ReplicaSetup};

/// Time between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time that a node keeps serving after the request to stop, so that other nodes take over its duties.
const MIN_HAND_OVER_DURATION: Duration = Duration::from_millis(600);
/// The node stops waiting for the hand-over after `graceMs` divided by this.
const HAND_OVER_TIMEOUT_DIVISOR: u32 = 2;
/// Time between two scrubs of the disk.
const SCRUB_INTERVAL: Duration = Duration::from_secs(600);
/// Throughput of a link of 1 Mbit/s, in bytes per millisecond.
const BYTES_PER_MS_OF_MBPS: f64 = 125.0;
/// Upper bound of the assumed throughput, in bytes per millisecond: that of a slow disk.
const MAX_BYTES_PER_MS: u64 = 4096;
/// Bytes of one megabyte in `limits.diskMb`.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Why a control node can't run. A restart helps only after a change of the settings or the machine.
#[derive(Debug, Display, Error, From)]
pub enum ControlError {
    /// A required setting is missing; holds its key.
    #[display("settings: {_0} is missing")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
    /// The settings contain too few internal ports.
    #[display("{_0}")]
    Ports(TooFewPorts),
    /// The disk can't be used.
    #[display("{_0}")]
    Disk(DiskError),
    /// A listener can't be bound.
    #[display("{_0}")]
    Transport(TransportError),
}

/// Command-line options of a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlOptions {
    /// Whether this node, as head, orders searchers to change their stage according to the load.
    pub stage_assignment: bool,
}

impl Default for ControlOptions {
    fn default() -> Self {
        ControlOptions {
            stage_assignment: true,
        }
    }
}

/// Runs a control node until `stop` completes; then hands over its duties and returns.
///
/// # Errors
///
/// [`ControlError`] if a setting is missing, a listener can't be bound, or the disk can't be used. All errors occur
/// before the node serves.
pub async fn run(
    settings: NodeSettings,
    options: ControlOptions,
    stop: impl Future<Output = ()>,
) -> Result<(), ControlError> {
    let resources = Resources::from_settings(&settings)?;
    pin_mut!(stop);
    let bound = tcp::unless_stopped(Listeners::bind(&resources), stop.as_mut()).await;
    let Some(listeners) = bound.transpose()? else {
        return Ok(());
    };
    let disk_bytes = settings.limits.disk_mb * BYTES_PER_MB;
    let OpenedDisk {
        disk,
        completions,
        recovered,
    } = Disk::open(&resources.data_directory, disk_bytes).await?;
    let random_seed = RandomState::new().hash_one(resources.peer_address);
    let driver = start_driver(&settings, &resources, disk, recovered, random_seed);

    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let announcement_task = resources.announcement_ports.map(|ports| {
        let seed_file = SeedFile::new(settings.seeds.clone());
        let driver = Rc::clone(&driver);
        announcement::run(driver, settings.ip_address, ports, seed_file)
    });
    let settings = Rc::new(settings);
    let list_publisher = InstanceListPublisher::new(Rc::clone(&driver));
    let stage_assignment_task = options.stage_assignment.then(|| {
        spawn(stage_assignment::run(
            Rc::clone(&driver),
            Rc::clone(&list_publisher),
            Rc::clone(&settings),
        ))
    });
    let list_polling =
        instance_list_polling::run(Rc::clone(&driver), list_publisher, settings, random_seed);
    let operator_driver = Rc::clone(&driver);
    let handler = move |request| operator_api::handle(Rc::clone(&operator_driver), request);
    let operator_server = http::Server::start(listeners.operator, handler);
    let _tasks = (
        spawn_tasks(
            &driver,
            completions,
            listeners.peers,
            listeners.subscriptions,
        ),
        spawn(list_polling),
        announcement_task.map(spawn),
    );
    stop.await;
    log::info!("stopping");
    // Aborts an order in flight as well, with a reset of its connection.
    drop(stage_assignment_task);
    driver.dispatch(Event::Stop);
    hand_over(&driver, grace / HAND_OVER_TIMEOUT_DIVISOR).await;
    operator_server
        .shut_down(http::shutdown_time_limit(grace))
        .await;
    Ok(())
}

/// Addresses, ports and folder of a control node on its machine.
struct Resources {
    operator_address: SocketAddrV4,
    /// Address to which other control nodes send their messages, and by which they identify this node.
    peer_address: SocketAddrV4,
    subscription_address: SocketAddrV4,
    /// None if the range of internal ports contains none for agents.
    announcement_ports: Option<AnnouncementPorts>,
    data_directory: PathBuf,
}

impl Resources {
    fn from_settings(settings: &NodeSettings) -> Result<Self, ControlError> {
        let operator_address = settings
            .control
            .ok_or(ControlError::Missing("listenAddresses.control"))?;
        let data_directory = settings
            .data_directory
            .clone()
            .ok_or(ControlError::Missing("dataDirectory"))?;
        let peer_port = settings.internal_port(InternalListener::Replicas)?;
        let subscription_port = settings.internal_port(InternalListener::Subscriptions)?;
        let agents = settings.internal_port(InternalListener::Agents).ok();
        let announcement_ports = agents.map(|agents| AnnouncementPorts {
            agents,
            replicas: peer_port,
        });
        Ok(Resources {
            announcement_ports,
            operator_address,
            peer_address: SocketAddrV4::new(settings.ip_address, peer_port),
            subscription_address: SocketAddrV4::new(settings.ip_address, subscription_port),
            data_directory,
        })
    }
}

/// The listeners of a control node.
struct Listeners {
    operator: TcpListener,
    peers: TcpListener,
    subscriptions: TcpListener,
}

impl Listeners {
    async fn bind(resources: &Resources) -> Result<Self, TransportError> {
        Ok(Listeners {
            operator: tcp::listen(resources.operator_address).await?,
            peers: tcp::listen(resources.peer_address).await?,
            subscriptions: tcp::listen(resources.subscription_address).await?,
        })
    }
}

/// Starts the replica from the recovered records, and executes its first effects.
fn start_driver(
    settings: &NodeSettings,
    resources: &Resources,
    disk: Disk,
    recovered: RecoveredRecords,
    random_seed: u64,
) -> Rc<ReplicaDriver> {
    let clock = Clock::start();
    let own_address = resources.peer_address;
    let setup = replica_setup(settings, own_address, &recovered, random_seed);
    for unreachable in settings.unreachable_tolerance() {
        log::warn!("settings: {unreachable}");
    }
    let (records, cleared) = (recovered.records.len(), recovered.cleared);
    let (replica, effects) = Replica::new(setup, recovered.records, clock.millis());
    log::info!(
        "control node {} at {own_address}: {records} records on disk, view {}, {}",
        replica.identity(),
        replica.voter_contact().epoch,
        if cleared {
            "disk cleared, begins as a new node"
        } else {
            "disk as it was left"
        }
    );
    let publisher = SharedPublisher::new(Publisher::new(random_seed), clock);
    let acknowledge = Duration::from_millis(settings.bounds.acknowledge_ms);
    let links = PeerLinks::new(own_address, LinkTiming::new(acknowledge));
    let subscription_port = resources.subscription_address.port();
    let driver = ReplicaDriver::new(clock, publisher, replica, disk, links, subscription_port);
    driver.apply_effects(effects);
    driver
}

fn replica_setup(
    settings: &NodeSettings,
    address: SocketAddrV4,
    recovered: &RecoveredRecords,
    random_seed: u64,
) -> ReplicaSetup {
    let peer_port = address.port();
    ReplicaSetup {
        address,
        seeds: settings
            .seeds
            .iter()
            .map(|seed| SocketAddrV4::new(*seed.ip(), peer_port))
            .collect(),
        first_start: settings.first_start && !recovered.cleared,
        tolerated_losses: settings.fault_tolerance.machines,
        locality: Locality {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        },
        tolerated_domains: ToleratedDomains {
            zones: settings.fault_tolerance.zones as usize,
            regions: settings.fault_tolerance.regions as usize,
        },
        acknowledge_ms: settings.bounds.acknowledge_ms,
        bytes_per_ms: bytes_per_ms(settings.limits.link_mbps),
        catch_up_ms: settings.bounds.catch_up_ms,
        random_seed,
    }
}

/// The assumed throughput to another node: half of the machine's link, which is shared with other traffic, but no more
/// than a slow disk writes.
fn bytes_per_ms(link_mbps: f64) -> u64 {
    let half_of_link = (link_mbps * BYTES_PER_MS_OF_MBPS / 2.0) as u64;
    half_of_link.clamp(1, MAX_BYTES_PER_MS)
}

/// Starts the tasks for the replica's disk, clock, peers and subscribers; each is cancelled when its handle
/// is dropped.
fn spawn_tasks(
    driver: &Rc<ReplicaDriver>,
    completions: Completions,
    peers: TcpListener,
    subscriptions: TcpListener,
) -> [JoinHandle<()>; 5] {
    [
        spawn(process_disk_completions(Rc::clone(driver), completions)),
        spawn(tick_periodically(Rc::clone(driver))),
        spawn(scrub_periodically(Rc::clone(driver))),
        spawn(peer_listener::run(Rc::clone(driver), peers)),
        spawn(accept(subscriptions, Rc::clone(&driver.publisher))),
    ]
}

/// Waits until the other nodes have taken over the duties of this node, or until `timeout` if they can't agree on that.
async fn hand_over(driver: &ReplicaDriver, timeout: Duration) {
    let started_at = driver.clock.millis();
    sleep(MIN_HAND_OVER_DURATION).await;
    let has_timed_out = || driver.clock.millis() - started_at >= timeout.as_millis() as u64;
    while !driver.read(Replica::has_handed_over) && !has_timed_out() {
        sleep(TICK_INTERVAL).await;
    }
}

async fn process_disk_completions(driver: Rc<ReplicaDriver>, mut completions: Completions) {
    while let Some(completion) = completions.next().await {
        driver.on_disk_completion(&completion);
    }
}

async fn tick_periodically(driver: Rc<ReplicaDriver>) {
    loop {
        sleep(TICK_INTERVAL).await;
        driver.dispatch(Event::Tick);
        driver.refresh_status();
        driver.log_service();
    }
}

/// Scrubs the disk periodically. The first delay is random, so that the nodes don't all scrub at the same time.
async fn scrub_periodically(driver: Rc<ReplicaDriver>) {
    sleep(SCRUB_INTERVAL.mul_f64(rand::random_range(0.5..1.0))).await;
    loop {
        driver.scrub();
        sleep(SCRUB_INTERVAL).await;
    }
}
