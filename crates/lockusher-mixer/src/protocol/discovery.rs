//! Discovery's lists.

use std::net::SocketAddr;

use lockusher::interface::*;
use lockusher_host::settings::Names;
use serde::Deserialize;

/// A list as it is written.
#[derive(Deserialize)]
pub struct ListText {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<LineText>,
}

#[derive(Deserialize)]
struct LineText {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: usize,
    status: Status,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum Status {
    Active,
    Leaving,
    Left,
}

/// A list as it is used.
pub struct List {
    pub index: u64,
    /// The complete list, not changes only.
    pub complete: bool,
    pub lines: Vec<(Listed, SocketAddr)>,
}

impl ListText {
    pub fn read(self, names: &Names) -> List {
        let line = |text: LineText| {
            let listed = Listed {
                id: SearcherId::new(&text.name),
                cell: Cell(text.group),
                zone: names.zones.get(&text.zone).copied(),
                state: match text.status {
                    Status::Active => SearcherState::Up,
                    Status::Leaving => SearcherState::Draining,
                    Status::Left => SearcherState::Gone,
                },
                up_since: (text.since_ms > 0).then(|| Time::from_micros(text.since_ms.saturating_mul(1_000))),
                rating: text.weight.unwrap_or(1.0),
            };
            (listed, text.address)
        };
        let lines = self.endpoints.into_iter().map(line).collect();
        List { index: self.index, complete: self.snapshot, lines }
    }
}

pub fn decode(body: &[u8], names: &Names) -> Result<List, serde_json::Error> {
    serde_json::from_slice::<ListText>(body).map(|text| text.read(names))
}

/// The path of the complete list, or of a watch for what is newer than a version.
pub fn path(from: Option<u64>, hold: Span) -> String {
    match from {
        None => "/discovery/hosts".to_owned(),
        Some(from) => format!("/discovery/hosts?from={from}&hold_ms={}", hold.as_micros() / 1_000),
    }
}
