//! Requests to discovery and its lists of searchers.

use lockusher_multiget::list::{List, ListDocument};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::*;

/// Decodes a list of searchers.
pub fn decode(body: &[u8], names: &Names) -> Result<List, serde_json::Error> {
    serde_json::from_slice::<ListDocument>(body).map(|text| text.read(names))
}

/// Returns the path of the complete list, or of a watch for changes after a version that discovery may hold open
/// for `hold`.
pub fn path(after_version: Option<u64>, hold: Span) -> String {
    match after_version {
        None => "/discovery/hosts".to_owned(),
        Some(after_version) => format!(
            "/discovery/hosts?from={after_version}&hold_ms={}",
            hold.as_micros() / 1_000
        ),
    }
}
