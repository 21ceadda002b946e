//! The state that the tasks of one proxy share: the current configuration and instance list, the request router, the
//! connection pool, and counters.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use lockusher_config::configuration::Route;
use lockusher_config::route_table::RouteTable;
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::subscribe::FeedUpdate;
use lockusher_transport::clock::Clock;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::{RequestRouter, RequestRouterSettings, SendOutcome, SendTicket};
use crate::descriptors::Descriptors;
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
    pub(crate) body_memory: Rc<BodyMemory>,
    pub(crate) handle_reuse: HandleReuse,
    routes: RefCell<Option<Rc<RouteTable>>>,
    traffic_splits: RefCell<TrafficSplits>,
    has_instances: Cell<bool>,
    draining: Cell<bool>,
    requests_in_flight: Cell<u64>,
    requests_accepted: Cell<u64>,
    unserved: RefCell<UnservedSummary>,
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
            body_memory: BodyMemory::new(body_bytes),
            handle_reuse: HandleReuse::default(),
            routes: RefCell::new(None),
            traffic_splits: RefCell::new(TrafficSplits::new(
                ChaCha8Rng::seed_from_u64(seed).random(),
            )),
            has_instances: Cell::new(false),
            draining: Cell::new(false),
            requests_in_flight: Cell::new(0),
            requests_accepted: Cell::new(0),
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
        !self.draining.get() && self.has_instances.get() && self.routes.borrow().is_some()
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
        self.draining.get()
    }

    pub(crate) fn begin_draining(&self) {
        self.draining.set(true);
    }

    /// Chooses the service for the next request of a route.
    pub(crate) fn choose_service<'route>(&self, route: &'route Route) -> &'route str {
        self.traffic_splits.borrow_mut().choose(route)
    }

    /// Counts a request as in flight until the guard is dropped, after the last byte of its response.
    pub(crate) fn start_request(self: &Rc<Self>) -> RequestInFlight {
        self.requests_in_flight
            .set(self.requests_in_flight.get() + 1);
        self.requests_accepted.set(self.requests_accepted.get() + 1);
        RequestInFlight {
            shared: self.clone(),
        }
    }

    /// Number of requests whose responses are not complete yet.
    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.requests_in_flight.get()
    }

    /// Number of requests accepted since the start.
    pub(crate) fn requests_accepted(&self) -> u64 {
        self.requests_accepted.get()
    }

    /// A guard that reports the final outcome of a send exactly once.
    pub(crate) fn guard_send(self: &Rc<Self>, ticket: SendTicket) -> SendGuard {
        SendGuard {
            shared: self.clone(),
            ticket: Some(ticket),
        }
    }
}

/// Guard of a request in flight; see [`ProxyState::start_request`].
#[derive(Debug)]
pub(crate) struct RequestInFlight {
    shared: Rc<ProxyState>,
}

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        let count = &self.shared.requests_in_flight;
        count.set(count.get() - 1);
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
