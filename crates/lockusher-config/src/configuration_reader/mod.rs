//! Reads and validates the operator's configuration.
//!
//! Called by the control node, for the operator's request and for the newest replicated document, and by the command
//! `check`. A configuration without faults can be used for routing.
//!
//! Faults: an unparsable document, a required field that is absent or invalid, a route to an unknown service, two
//! routes with the same host and prefix, two services with the same name, weights that sum to 0, a `timeoutMs` of 0. An
//! optional field has a default, documented at the field. The control plane checks that the version is above the
//! current one. Source: the operators' pages (PROTOCOL, "The operator's API").

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
    /// Parses the body of `PUT /api/configuration`.
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
