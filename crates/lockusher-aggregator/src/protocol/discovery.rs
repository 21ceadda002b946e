//! Discovery's lists.

use lockusher_multiget::list::{List, ListText};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;

pub fn decode(body: &[u8], names: &Names) -> Result<List, serde_json::Error> {
    serde_json::from_slice::<ListText>(body).map(|text| text.read(names))
}

/// The path of the complete list, or of a watch for what is newer than a version.
pub fn path(from: Option<u64>, hold: Span) -> String {
    match from {
        None => "/discovery/hosts".to_owned(),
        Some(from) => format!(
            "/discovery/hosts?from={from}&hold_ms={}",
            hold.as_micros() / 1_000
        ),
    }
}
