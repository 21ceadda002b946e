//! Encodes the registry status as JSON for operators and tools.

use lockusher_multiget::list::ListOutput;
use lockusher_multiget::settings::Names;
use lockusher_registry_client::io::RegistryStatus;
use serde_json::json;

/// Encodes the status of the registry follower, with the view if one is given.
pub fn encode(shown: &RegistryStatus, names: &Names) -> String {
    let RegistryStatus {
        status,
        endpoint,
        view,
    } = shown;
    let counts = &status.counts;
    let revision = status.version.map(|version| version.revision.0);
    json!({
        "stage": status.stage,
        "endpoint": endpoint,
        "cluster": status.version.map(|version| format!("{:x}", version.cluster.0)),
        "revision": revision,
        "age_ms": status.age.map(|age| age.as_micros() / 1_000),
        "entries": status.entries,
        "unreadable": status.unreadable,
        "counts": {
            "failures": counts.failures,
            "silences": counts.timeouts,
            "compactions": counts.compactions,
            "rebuilds": counts.rebuilds,
            "contradictions": counts.contradictions,
            "unreadable": counts.unreadable,
            "requests": counts.requests,
            "folded": status.coalesced,
        },
        "view": view.as_ref().map(|lines| ListOutput::new(revision.unwrap_or(0), lines, names)),
    })
    .to_string()
}
