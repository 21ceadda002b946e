//! What a control node tells of itself.

use std::fmt::Write;

use serde_json::{Value, json};

use super::replica_driver::ReplicaDriver;

/// The state of this control node as JSON.
pub fn report(driver: &ReplicaDriver) -> String {
    let view = driver.read(|replica| {
        let view = replica.view()?;
        let member = |member: &crate::view::Member| json!({"identity": member.identity.0.to_string(), "address": member.address.to_string()});
        let voters: Vec<Value> = view.voters.iter().map(member).collect();
        let chain: Vec<String> = view.chain.iter().map(|identity| identity.0.to_string()).collect();
        Some(json!({"epoch": view.epoch, "voters": voters, "chain": chain}))
    });
    let subscribers: Vec<Value> = driver.publisher.read(|publisher| {
        let subscriber = |status: lockusher_distribution::publisher::SubscriberStatus| {
            json!({
                "node": status.identity.node,
                "configuration": status.acknowledged.configuration_version,
                "inForce": status.downstream.in_force_version,
                "proxies": status.downstream.proxies,
                "list": format!("{}.{}", status.acknowledged.list_revision.epoch, status.acknowledged.list_revision.sequence),
            })
        };
        publisher.subscribers().map(subscriber).collect()
    });
    let role = driver.role();
    let report = json!({
        "identity": driver.read(|replica| replica.identity().0.to_string()),
        "head": role.is_head,
        "clean": driver.read(|replica| replica.is_clean()),
        "view": view,
        "configuration": driver.read(|replica| replica.committed().map(|document| document.version)),
        "subscribers": subscribers,
    });
    format!("{report}\n")
}

/// Counters of this control node in the common text format.
pub fn metrics(driver: &ReplicaDriver) -> String {
    let counters = driver.read(|replica| replica.counters());
    let scrubs = driver.scrub_counters();
    let newest = driver.publisher.read(|publisher| publisher.newest());
    let rows = [
        ("control_views_adopted_total", counters.views_adopted),
        ("control_view_proposals_total", counters.proposals),
        ("control_commits_total", counters.commits),
        ("control_full_snapshots_sent_total", counters.full_snapshots_sent),
        ("control_repairs_total", counters.repairs),
        ("control_read_repairs_total", counters.read_repairs),
        ("control_digest_repairs_total", counters.digest_repairs),
        ("control_scrubs_total", scrubs.completed),
        ("control_scrub_damage_total", scrubs.damage_found),
        ("control_persist_failures_total", counters.persist_failures),
        ("control_configuration_version", newest.configuration_version),
        ("control_is_head", u64::from(driver.role().is_head)),
    ];
    let mut text = String::new();
    for (name, value) in rows {
        // Writing to a string doesn't fail.
        let _ = writeln!(text, "lockusher_{name} {value}");
    }
    text
}
