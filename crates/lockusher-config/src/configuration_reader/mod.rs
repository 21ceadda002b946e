//! Reads and checks the operator's configuration.
//!
//! Called by the control node, for the operator's request and for the newest replicated document, and by the program's
//! `check`. A configuration that is read without a fault can be routed by.
//!
//! Faults: a document that can't be read to its end, a required field that is absent or wrong, a route to an unknown
//! service, two routes with the same host and prefix, two services with the same name, weights that sum to 0, a `timeoutMs`
//! of 0. A field that isn't required has a default, said at its field. Whether the version is above the current one is
//! decided by the control plane. Source: the operators' pages (PROTOCOL, "The operator's API").

mod limits;
mod route;
mod route_checks;
mod service;

use crate::configuration::Configuration;
use crate::fault::Faults;
use crate::json::document::read_document;
use crate::json::object_reader::ObjectReader;

use limits::{DEFAULT_LIMITS, limits};
use route::route;
use route_checks::RouteChecks;
use service::{UniqueNames, service};

impl Configuration {
    /// Reads the body of `PUT /api/configuration`.
    ///
    /// # Errors
    ///
    /// All faults of the configuration.
    pub fn parse(body: &[u8]) -> Result<Self, Faults> {
        read_document(body, configuration)
    }
}

fn configuration(reader: &ObjectReader<'_>) -> Option<Configuration> {
    let version = reader.positive_integer("version");
    let mut service_names = UniqueNames::default();
    let services = reader.objects("services", |reader| service(reader, &mut service_names));
    let mut checks = RouteChecks::for_configuration(reader);
    let routes = reader.objects("routes", |reader| route(reader, &mut checks));
    let limits = reader.object_or("limits", DEFAULT_LIMITS, limits);
    Some(Configuration {
        version: version?,
        routes: routes?,
        services: services?,
        limits: limits?,
    })
}
