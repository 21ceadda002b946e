//! Discovery's lists.

use lockusher_multiget::list::{List, ListText};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;

pub fn decode(body: &[u8], names: &Names) -> Result<List, serde_json::Error> {
    serde_json::from_slice::<ListText>(body).map(|text| text.read(names))
}

/// The path of the complete list, or of a watch for what is newer than a version.
pub fn path(after_version: Option<u64>, hold: Span) -> String {
    match after_version {
        None => "/discovery/hosts".to_owned(),
        Some(after_version) => format!(
            "/discovery/hosts?from={after_version}&hold_ms={}",
            hold.as_micros() / 1_000
        ),
    }
}
