//! The list of searchers as discovery and registries write it, and as it is used.

use std::net::SocketAddr;

use lockusher_policy::interface::*;
use serde::{Deserialize, Serialize};

use crate::settings::Names;

/// A list as discovery writes it.
#[derive(Deserialize)]
pub struct ListText {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<LineText>,
}

/// One searcher as it is written. A registry's entry may leave its name to its key.
#[derive(Deserialize)]
pub struct LineText {
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
    /// What it can be spoken to by, beside frames.
    #[serde(default)]
    carrier: Offers,
}

#[derive(Serialize, Deserialize, Clone, Copy, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Offers {
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

/// Where a searcher listens, and whether its line says that it speaks HTTP/2 there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub address: SocketAddr,
    pub http2: bool,
}

/// A searcher, and where it is.
pub type Line = (Listed, Place);

/// A list as it is used.
pub struct List {
    /// The version of what told it, for whoever asks there again.
    pub index: u64,
    /// The complete list, not changes only.
    pub complete: bool,
    pub lines: Vec<Line>,
}

impl LineText {
    pub fn read(&self, names: &Names) -> Line {
        let listed = Listed {
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
            listed,
            Place {
                address: self.address,
                http2: self.carrier == Offers::Http2,
            },
        )
    }
}

impl ListText {
    pub fn read(self, names: &Names) -> List {
        let lines = self.endpoints.iter().map(|text| text.read(names)).collect();
        List {
            index: self.index,
            complete: self.snapshot,
            lines,
        }
    }
}

/// A list in discovery's form, which [`ListText`] reads back.
#[derive(Serialize)]
pub struct ListOut<'a> {
    index: u64,
    snapshot: bool,
    endpoints: Vec<LineOut<'a>>,
}

#[derive(Serialize)]
struct LineOut<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    group: usize,
    status: Status,
    weight: f64,
    since_ms: u64,
    #[serde(skip_serializing_if = "is_frames")]
    carrier: Offers,
}

fn is_frames(offers: &Offers) -> bool {
    *offers == Offers::Frames
}

impl<'a> ListOut<'a> {
    /// A zone that the settings don't name is left empty.
    pub fn new(index: u64, lines: impl IntoIterator<Item = &'a Line>, names: &'a Names) -> Self {
        let named = |zone: Zone| {
            names
                .zones
                .iter()
                .find(|(_, z)| **z == zone)
                .map(|(name, _)| name.as_str())
        };
        let line = |(listed, place): &'a Line| LineOut {
            name: listed.id.as_str(),
            address: place.address,
            zone: listed.zone.and_then(named).unwrap_or_default(),
            group: listed.cell.0,
            status: match listed.state {
                SearcherState::Up => Status::Active,
                SearcherState::Draining => Status::Leaving,
                SearcherState::Gone => Status::Left,
            },
            weight: listed.rating,
            since_ms: listed
                .up_since
                .map_or(0, |at| at.since(Time::from_micros(0)).as_micros() / 1_000),
            carrier: if place.http2 {
                Offers::Http2
            } else {
                Offers::Frames
            },
        };
        ListOut {
            index,
            snapshot: true,
            endpoints: lines.into_iter().map(line).collect(),
        }
    }
}
