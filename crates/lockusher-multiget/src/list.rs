//! The list of searchers: the JSON of discovery and registries, and the internal form.

use std::net::SocketAddr;

use lockusher_policy::interface::*;
use serde::{Deserialize, Serialize};

use crate::settings::Names;

/// A list in discovery's JSON.
#[derive(Deserialize)]
pub struct ListDocument {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<EntryDocument>,
}

/// One searcher in JSON. Registry entries may omit the name, which is their key.
#[derive(Deserialize)]
pub struct EntryDocument {
    #[serde(default)]
    pub name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: usize,
    status: Status,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
    /// The protocol that the searcher offers in addition to frames.
    #[serde(default)]
    carrier: CarrierProtocol,
}

#[derive(Serialize, Deserialize, Clone, Copy, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
enum CarrierProtocol {
    #[default]
    Frames,
    Http2,
}

#[derive(Serialize, Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum Status {
    Active,
    Leaving,
    Left,
}

/// Address of a searcher, and whether its entry says that it offers HTTP/2 there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearcherEndpoint {
    pub address: SocketAddr,
    pub http2: bool,
}

/// A searcher and its address.
pub type LocatedSearcher = (SearcherEntry, SearcherEndpoint);

/// A list in its internal form.
pub struct List {
    /// Version of the source, for the next call to it.
    pub index: u64,
    /// Whether this is the complete list, rather than changes only.
    pub complete: bool,
    pub lines: Vec<LocatedSearcher>,
}

impl EntryDocument {
    /// Converts an entry; a zone that is not in the settings becomes `None`.
    pub fn read(&self, names: &Names) -> LocatedSearcher {
        let entry = SearcherEntry {
            id: SearcherId::new(&self.name),
            cell: Cell(self.group),
            zone: names.zones.get(&self.zone).copied(),
            state: match self.status {
                Status::Active => SearcherState::Up,
                Status::Leaving => SearcherState::Draining,
                Status::Left => SearcherState::Gone,
            },
            up_since: (self.since_ms > 0)
                .then(|| Time::from_micros(self.since_ms.saturating_mul(1_000))),
            rating: self.weight.unwrap_or(1.0),
        };
        (
            entry,
            SearcherEndpoint {
                address: self.address,
                http2: self.carrier == CarrierProtocol::Http2,
            },
        )
    }
}

impl ListDocument {
    /// Converts the list to its internal form.
    pub fn read(self, names: &Names) -> List {
        let lines = self
            .endpoints
            .iter()
            .map(|document| document.read(names))
            .collect();
        List {
            index: self.index,
            complete: self.snapshot,
            lines,
        }
    }
}

/// A list to be written as discovery's JSON, which [`ListDocument`] reads.
#[derive(Serialize)]
pub struct ListOutput<'a> {
    index: u64,
    snapshot: bool,
    endpoints: Vec<EntryOutput<'a>>,
}

#[derive(Serialize)]
struct EntryOutput<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    group: usize,
    status: Status,
    weight: f64,
    since_ms: u64,
    #[serde(skip_serializing_if = "is_frames")]
    carrier: CarrierProtocol,
}

fn is_frames(protocol: &CarrierProtocol) -> bool {
    *protocol == CarrierProtocol::Frames
}

impl<'a> ListOutput<'a> {
    /// A zone that is not in the settings is written as an empty name.
    pub fn new(
        index: u64,
        lines: impl IntoIterator<Item = &'a LocatedSearcher>,
        names: &'a Names,
    ) -> Self {
        let zone_name = |zone: Zone| {
            names
                .zones
                .iter()
                .find(|(_, z)| **z == zone)
                .map(|(name, _)| name.as_str())
        };
        let output = |(entry, endpoint): &'a LocatedSearcher| EntryOutput {
            name: entry.id.as_str(),
            address: endpoint.address,
            zone: entry.zone.and_then(zone_name).unwrap_or_default(),
            group: entry.cell.0,
            status: match entry.state {
                SearcherState::Up => Status::Active,
                SearcherState::Draining => Status::Leaving,
                SearcherState::Gone => Status::Left,
            },
            weight: entry.rating,
            since_ms: entry
                .up_since
                .map_or(0, |at| at.since(Time::from_micros(0)).as_micros() / 1_000),
            carrier: if endpoint.http2 {
                CarrierProtocol::Http2
            } else {
                CarrierProtocol::Frames
            },
        };
        ListOutput {
            index,
            snapshot: true,
            endpoints: lines.into_iter().map(output).collect(),
        }
    }
}
