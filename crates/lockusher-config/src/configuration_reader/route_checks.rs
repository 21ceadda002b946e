//! Validates a route against the services and the other routes of its configuration.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

use crate::fault::Problem;
use crate::json::object_reader::ObjectReader;
use crate::route_table::normalized_host;

/// The services and the preceding routes that a route is validated against.
pub struct RouteChecks<'a> {
    /// `None` if the document has no list of services.
    services: Option<HashSet<&'a str>>,
    /// Path of the first route with each pair of host and prefix.
    routes_by_host_and_prefix: HashMap<(String, String), String>,
}

impl<'a> RouteChecks<'a> {
    /// Creates the checks for the routes of a document.
    pub fn for_configuration(document: &ObjectReader<'a>) -> Self {
        Self {
            services: known_services(document),
            routes_by_host_and_prefix: HashMap::new(),
        }
    }

    /// Adds a fault if the configuration has no service of this name.
    pub fn check_service(&self, name: &str, reader: &ObjectReader<'_>) {
        let unknown = self
            .services
            .as_ref()
            .is_some_and(|services| !services.contains(name));
        if unknown {
            reader.add_field_fault("service", Problem::UnknownService(name.to_owned()));
        }
    }

    /// Adds a fault if a preceding route has the same host and prefix.
    pub fn check_host_and_prefix(
        &mut self,
        host: &str,
        path_prefix: &str,
        reader: &ObjectReader<'_>,
    ) {
        let key = (normalized_host(host).into_owned(), path_prefix.to_owned());
        match self.routes_by_host_and_prefix.entry(key) {
            Entry::Occupied(other) => {
                reader.add_fault(Problem::DuplicateHostAndPrefix {
                    other: other.get().clone(),
                });
            }
            Entry::Vacant(vacant) => {
                vacant.insert(reader.path().to_string());
            }
        }
    }
}

/// The names under `services`, also of services with other faults, so that their routes are not reported as well.
/// `None` if there is no list of services: this is reported once, not for each route.
fn known_services<'a>(reader: &ObjectReader<'a>) -> Option<HashSet<&'a str>> {
    let services = reader.value("services")?.as_array()?;
    Some(
        services
            .iter()
            .filter_map(|service| service.get("name")?.as_str())
            .collect(),
    )
}
