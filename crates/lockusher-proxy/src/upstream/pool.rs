//! Connection pool: idle connections by incarnation of a searcher, as addresses may pass to other services.
//!
//! Each searcher's connections are limited by this proxy's quota of the service's `connectionLimit`. `exchange` checks
//! connections out and in; the feed's updates change limits and searchers.

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

/// Proxies assumed to share a searcher's connections until the fleet's size is known.
const ASSUMED_PROXIES: u32 = 16;

/// Connections a searcher may have from one proxy before its service's limit is known.
const ASSUMED_LIMIT: u32 = 4;

/// Why no connection could be had; nothing was sent.
#[derive(Debug, Display, Error)]
pub(crate) enum CheckoutError {
    /// The listed address is none.
    #[display("the address {address:?} cannot be read")]
    BadAddress { address: String },
    /// The quota of connections to this searcher is used up.
    #[display("all connections that this proxy may have are in use")]
    AtLimit,
    /// The connection could not be established.
    #[display("no connection came up: {_0}")]
    Unreachable(io::Error),
}

/// The connections to all searchers.
#[derive(Debug)]
pub(crate) struct Pool {
    searchers: RefCell<HashMap<String, SearcherConnections>>,
    /// Connections that one searcher accepts from all callers, by service.
    limits: RefCell<HashMap<String, u32>>,
    proxies: Cell<Option<u32>>,
    descriptors: Rc<Descriptors>,
}

#[derive(Debug)]
struct SearcherConnections {
    service: String,
    /// Whether idle connections are pooled for another request: the searcher is listed and ready.
    pools_idle: bool,
    idle: Vec<UpstreamConnection>,
    /// Connections open, in use or idle.
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

    /// Closes idle connections to searchers that are draining or gone, and pools none of theirs from now on.
    pub(crate) fn apply_instances(&self, instances: &[Instance]) {
        let mut old = self.searchers.take();
        let listed = instances.iter().map(|instance| {
            let mut connections =
                old.remove(&instance.identifier)
                    .unwrap_or_else(|| SearcherConnections {
                        service: instance.service.clone(),
                        pools_idle: true,
                        idle: Vec::new(),
                        open: Rc::default(),
                    });
            connections.pools_idle = instance.state != InstanceState::Draining;
            if !connections.pools_idle {
                connections.idle.clear();
            }
            (instance.identifier.clone(), connections)
        });
        *self.searchers.borrow_mut() = listed.collect();
    }

    pub(crate) fn set_fleet_size(&self, proxies: u32) {
        self.proxies.set(Some(proxies.max(1)));
    }

    /// A connection on which nothing is pending: an idle one that is still alive, else a new one.
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
        if connection.is_idle_for_too_long(Instant::now()) {
            // Those below it have been idle for longer.
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

    /// Connections that this proxy may have to one searcher of a service.
    fn connection_quota(&self, service: &str) -> u32 {
        let limit = self.limits.borrow().get(service).copied();
        let proxies = self.proxies.get().unwrap_or(ASSUMED_PROXIES);
        limit.map_or(ASSUMED_LIMIT, |limit| (limit / proxies).max(1))
    }

    /// Takes a connection back after a complete answer, if it can serve another request.
    pub(crate) fn checkin(&self, identifier: &str, mut connection: UpstreamConnection) {
        let mut searchers = self.searchers.borrow_mut();
        let Some(connections) = searchers.get_mut(identifier) else {
            return;
        };
        if connections.pools_idle {
            connection.mark_idle(Instant::now());
            connections.idle.push(connection);
        }
    }

    /// Closes the idle connections to a searcher that seems dead: a send on one could not be proven not to have
    /// run, while a connection that does not come up proves it.
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
                .retain(|connection| !connection.is_idle_for_too_long(now));
        }
    }

    /// Closes all idle connections.
    fn close_idle(&self) {
        for connections in self.searchers.borrow_mut().values_mut() {
            connections.idle.clear();
        }
    }
}
