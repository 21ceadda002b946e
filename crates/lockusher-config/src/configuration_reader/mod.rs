//! Reads and checks the operator's configuration (PROTOCOL.md, "The operator's API").
//!
//! Faults: a document that can't be read whole, a needed field that is absent or wrong, a route to an unknown
//! service, two routes with the same host and prefix, weights that sum to 0, a `timeoutMs` of 0. What the
//! protocol does not name as needed has a default, said at its constant. Whether the version is above the current
//! one is not decided here.

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
    /// Reads the body of `PUT /api/configuration` and finds all of its faults.
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
    Some(Configuration { version: version?, routes: routes?, services: services?, limits: limits? })
}
