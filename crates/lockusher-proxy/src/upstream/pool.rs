//! Connection pool: keeps idle connections by incarnation of a searcher, as an address may be reassigned to another service.
//!
//! The connections to each searcher are limited by this proxy's quota of the service's `connectionLimit`. `exchange` checks
//! connections out and in; updates of the configuration and the instance list change limits and searchers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

use derive_more::{Display, Error};
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceState};

use super::connection::{ConnectionPermit, UpstreamConnection};
use crate::descriptors::Descriptors;

/// Number of proxies assumed to share a searcher's connections until the fleet size is known.
const ASSUMED_PROXIES: u32 = 16;

/// Limit of this proxy's connections to one searcher until the limit of the service is known.
const ASSUMED_LIMIT: u32 = 4;

/// Why there is no connection for a request; no request was sent.
#[derive(Debug, Display, Error)]
pub(crate) enum CheckoutError {
    /// The listed address can't be parsed.
    #[display("invalid address {address:?}")]
    BadAddress { address: String },
    /// This proxy's quota of connections to the searcher is used up.
    #[display("connection quota exhausted")]
    AtLimit,
    /// The connection could not be established.
    #[display("cannot connect: {_0}")]
    Unreachable(io::Error),
}

/// The connections to all searchers.
#[derive(Debug)]
pub(crate) struct Pool {
    searchers: RefCell<HashMap<String, SearcherConnections>>,
    /// The number of connections that one searcher accepts from all proxies, by service.
    limits: RefCell<HashMap<String, u32>>,
    proxies: Cell<Option<u32>>,
    descriptors: Rc<Descriptors>,
}

#[derive(Debug)]
struct SearcherConnections {
    service: String,
    /// Whether idle connections are kept for reuse; false while the searcher is draining.
    keeps_idle: bool,
    idle: Vec<UpstreamConnection>,
    /// Number of open connections, in use or idle.
    open: Rc<Cell<u32>>,
}

impl Pool {
    pub(crate) fn new(descriptors: Rc<Descriptors>) -> Self {
        Pool {
            searchers: RefCell::default(),
            limits: RefCell::default(),
            proxies: Cell::new(None),
            descriptors,
        }
    }

    pub(crate) fn apply_configuration(&self, configuration: &Configuration) {
        let services = configuration.services.iter();
        let limits = services.map(|service| (service.name.clone(), service.connection_limit));
        *self.limits.borrow_mut() = limits.collect();
    }

    /// Closes the idle connections to searchers that are draining or no longer listed, and keeps none for reuse from then
    /// on.
    pub(crate) fn apply_instances(&self, instances: &[Instance]) {
        let mut old = self.searchers.take();
        let listed = instances.iter().map(|instance| {
            let mut connections =
                old.remove(&instance.identifier)
                    .unwrap_or_else(|| SearcherConnections {
                        service: instance.service.clone(),
                        keeps_idle: true,
                        idle: Vec::new(),
                        open: Rc::default(),
                    });
            connections.keeps_idle = instance.state != InstanceState::Draining;
            if !connections.keeps_idle {
                connections.idle.clear();
            }
            (instance.identifier.clone(), connections)
        });
        *self.searchers.borrow_mut() = listed.collect();
    }

    pub(crate) fn set_fleet_size(&self, proxies: u32) {
        self.proxies.set(Some(proxies.max(1)));
    }

    /// A connection without a request: an idle one that is still open, otherwise a new one.
    pub(crate) async fn checkout(
        &self,
        identifier: &str,
        address: &str,
    ) -> Result<UpstreamConnection, CheckoutError> {
        while let Some(mut connection) = self.take_idle(identifier) {
            if connection.is_reusable().await {
                return Ok(connection);
            }
        }
        let permit = self
            .acquire_permit(identifier)
            .ok_or(CheckoutError::AtLimit)?;
        let address: SocketAddrV4 = address.parse().map_err(|_| CheckoutError::BadAddress {
            address: address.to_owned(),
        })?;
        UpstreamConnection::open(address, permit)
            .await
            .map_err(CheckoutError::Unreachable)
    }

    fn take_idle(&self, identifier: &str) -> Option<UpstreamConnection> {
        let mut searchers = self.searchers.borrow_mut();
        let idle = &mut searchers.get_mut(identifier)?.idle;
        let connection = idle.pop()?;
        if connection.is_idle_expired(Instant::now()) {
            // The connections below it have been idle for longer.
            idle.clear();
            return None;
        }
        Some(connection)
    }

    fn acquire_permit(&self, identifier: &str) -> Option<ConnectionPermit> {
        let searchers = self.searchers.borrow();
        let open = match searchers.get(identifier) {
            Some(connections)
                if connections.open.get() >= self.connection_quota(&connections.service) =>
            {
                return None;
            }
            Some(connections) => connections.open.clone(),
            None => Rc::default(),
        };
        drop(searchers);
        if !self.descriptors.has_capacity() {
            self.close_idle();
        }
        Some(ConnectionPermit::new(open, self.descriptors.acquire()))
    }

    /// The number of connections that this proxy may have to one searcher of a service.
    fn connection_quota(&self, service: &str) -> u32 {
        let limit = self.limits.borrow().get(service).copied();
        let proxies = self.proxies.get().unwrap_or(ASSUMED_PROXIES);
        limit.map_or(ASSUMED_LIMIT, |limit| (limit / proxies).max(1))
    }

    /// Returns a reusable connection to the pool after a complete response.
    pub(crate) fn checkin(&self, identifier: &str, mut connection: UpstreamConnection) {
        let mut searchers = self.searchers.borrow_mut();
        let Some(connections) = searchers.get_mut(identifier) else {
            return;
        };
        if connections.keeps_idle {
            connection.mark_idle(Instant::now());
            connections.idle.push(connection);
        }
    }

    /// Closes the idle connections to a searcher that seems dead. A request sent on one of them may have run, whereas a
    /// failure to connect proves that it has not.
    pub(crate) fn close_idle_to(&self, identifier: &str) {
        if let Some(connections) = self.searchers.borrow_mut().get_mut(identifier) {
            connections.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        for connections in self.searchers.borrow_mut().values_mut() {
            connections
                .idle
                .retain(|connection| !connection.is_idle_expired(now));
        }
    }

    /// Closes all idle connections.
    fn close_idle(&self) {
        for connections in self.searchers.borrow_mut().values_mut() {
            connections.idle.clear();
        }
    }
}
