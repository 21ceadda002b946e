//! The state that the tasks of one proxy share: the current configuration and instance list, the request router, the
//! connection pool, and counters.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use lockusher_config::configuration::Route;
use lockusher_config::route_table::RouteTable;
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::subscribe::FeedUpdate;
use lockusher_transport::clock::Clock;
use lockusher_transport::server::ConnectionRegistry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::{RequestRouter, RequestRouterSettings, SendOutcome, SendTicket};
use crate::descriptors::Descriptors;
use crate::drain::DrainSchedule;
use crate::handle_reuse::HandleReuse;
use crate::memory::BodyMemory;
use crate::traffic_split::TrafficSplits;
use crate::unserved::{UnservedReason, UnservedSummary};
use crate::upstream::pool::Pool;

/// File descriptors reserved for files outside the data directory, listeners and the runtime.
const RESERVED_DESCRIPTORS: u64 = 220;

/// The memory limit of the process divided by this is the limit for the bodies of requests in flight.
const BODY_MEMORY_DIVISOR: u64 = 4;

const BYTES_PER_MB: u64 = 1_048_576;

/// The state of one proxy. It is used by one thread only, hence the cells.
#[derive(Debug)]
pub(crate) struct ProxyState {
    pub(crate) clock: Clock,
    pub(crate) router: RefCell<RequestRouter>,
    pub(crate) pool: Pool,
    pub(crate) descriptors: Rc<Descriptors>,
    pub(crate) clients: Rc<ConnectionRegistry>,
    pub(crate) body_memory: Rc<BodyMemory>,
    pub(crate) handle_reuse: HandleReuse,
    routes: RefCell<Option<Rc<RouteTable>>>,
    traffic_splits: RefCell<TrafficSplits>,
    has_instances: Cell<bool>,
    drain: Cell<Option<Drain>>,
    unserved: RefCell<UnservedSummary>,
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
struct Drain {
    schedule: DrainSchedule,
    started: Instant,
}

impl ProxyState {
    pub(crate) fn new(settings: &NodeSettings, seed: u64) -> Rc<Self> {
        let limit = settings
            .limits
            .file_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(8);
        let descriptors = Descriptors::new(limit);
        let body_bytes = settings.limits.memory_mb * BYTES_PER_MB / BODY_MEMORY_DIVISOR;
        Rc::new(ProxyState {
            clock: Clock::start(),
            router: RefCell::new(RequestRouter::new(
                RequestRouterSettings::from(settings),
                seed,
            )),
            pool: Pool::new(descriptors.clone()),
            descriptors,
            clients: Rc::default(),
            body_memory: BodyMemory::new(body_bytes),
            handle_reuse: HandleReuse::default(),
            routes: RefCell::new(None),
            traffic_splits: RefCell::new(TrafficSplits::new(
                ChaCha8Rng::seed_from_u64(seed).random(),
            )),
            has_instances: Cell::new(false),
            drain: Cell::new(None),
            unserved: RefCell::default(),
        })
    }

    /// Applies an update; requests that were admitted before continue with their snapshot of the configuration.
    pub(crate) fn apply(&self, update: FeedUpdate) {
        let now = self.clock.micros();
        let mut router = self.router.borrow_mut();
        match update {
            FeedUpdate::Configuration(configuration) => {
                router.apply_configuration(now, configuration.clone());
                self.pool.apply_configuration(&configuration);
                self.traffic_splits
                    .borrow_mut()
                    .keep_only(&configuration.routes);
                *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(configuration)));
            }
            FeedUpdate::Instances { instances, .. } => {
                router.apply_instances(now, &instances);
                self.pool.apply_instances(&instances);
                self.has_instances.set(true);
            }
            FeedUpdate::FleetSize(proxies) => {
                router.set_fleet_size(proxies);
                self.pool.set_fleet_size(proxies);
            }
        }
    }

    /// The current routes; `None` before the first configuration.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Whether this proxy is ready to serve clients.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.has_instances.get() && self.routes.borrow().is_some()
    }

    /// The data that this proxy still needs to be ready, as named in log lines; `None` if it has all of it.
    pub(crate) fn missing(&self) -> Option<&'static str> {
        match (self.routes.borrow().is_some(), self.has_instances.get()) {
            (true, true) => None,
            (true, false) => Some("instance list"),
            (false, true) => Some("configuration"),
            (false, false) => Some("configuration and instance list"),
        }
    }

    /// Records a request that the proxy answers itself; `service` is empty if it isn't known.
    pub(crate) fn record_unserved(&self, service: &str, reason: UnservedReason) {
        let now_ms = self.clock.millis();
        self.unserved.borrow_mut().record(now_ms, service, reason);
    }

    /// Logs why requests weren't served since the last summary, if a summary is due.
    pub(crate) fn log_unserved(&self) {
        let now = self.clock.micros();
        let router = self.router.borrow();
        let counts_of = |service: &str| router.searcher_counts(now, service);
        let lines = self
            .unserved
            .borrow_mut()
            .take_lines(self.clock.millis(), counts_of);
        for line in lines {
            log::warn!("{line}");
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Begins the shutdown: this proxy isn't ready any more.
    pub(crate) fn begin_draining(&self, schedule: DrainSchedule, started: Instant) {
        self.drain.set(Some(Drain { schedule, started }));
    }

    /// Whether a complete request is forwarded whose response ends at `response_end` at the latest: a proxy that shuts
    /// down may end before that.
    pub(crate) fn may_forward(&self, response_end: Instant) -> bool {
        let Some(Drain { schedule, started }) = self.drain.get() else {
            return true;
        };
        let since_start = |at: Instant| at.saturating_duration_since(started);
        schedule.may_forward(since_start(Instant::now()), since_start(response_end))
    }

    /// Chooses the service for the next request of a route.
    pub(crate) fn choose_service<'route>(&self, route: &'route Route) -> &'route str {
        self.traffic_splits.borrow_mut().choose(route)
    }

    /// A guard that reports the final outcome of a send exactly once.
    pub(crate) fn guard_send(self: &Rc<Self>, ticket: SendTicket) -> SendGuard {
        SendGuard {
            shared: self.clone(),
            ticket: Some(ticket),
        }
    }
}

/// Reports the final outcome of one send to the router; `Cancelled` if it is dropped without one.
#[derive(Debug)]
pub(crate) struct SendGuard {
    shared: Rc<ProxyState>,
    ticket: Option<SendTicket>,
}

impl SendGuard {
    /// Reports the first event of a stream; the final outcome is reported separately.
    pub(crate) fn first_event(&self) {
        if let Some(ticket) = self.ticket {
            self.report(ticket, SendOutcome::FirstEvent);
        }
    }

    /// Reports the final outcome; later calls have no effect.
    pub(crate) fn finish(&mut self, outcome: SendOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.report(ticket, outcome);
        }
    }

    fn report(&self, ticket: SendTicket, outcome: SendOutcome) {
        let now = self.shared.clock.micros();
        self.shared
            .router
            .borrow_mut()
            .record_outcome(now, ticket, outcome);
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.finish(SendOutcome::Cancelled);
    }
}
