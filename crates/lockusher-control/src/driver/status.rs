//! The status report and the metrics of a control node, served by the operator's HTTP interface.
//!
//! Reads the replica and the publisher, and changes neither. The keys of the report and the names of the metrics are
//! described in `docs/operators/control-plane.md`.

use std::fmt::Write;

use lockusher_distribution::publisher::{Publisher, SubscriberStatus};
use serde_json::{Value, json};

use super::replica_driver::ReplicaDriver;
use crate::replica::Replica;
use crate::view::{Member, View};

/// The status of this control node, as JSON.
pub fn report(driver: &ReplicaDriver) -> String {
    let subscribers: Vec<Value> = driver
        .publisher
        .read(|publisher| publisher.subscribers().map(subscriber_report).collect());
    let is_head = driver.role().is_head;
    let report = driver.read(|replica| {
        json!({
            "identity": replica.identity().0.to_string(),
            "head": is_head,
            "clean": replica.is_clean(),
            "view": replica.view().map(view_report),
            "domainShortfall": replica.domain_shortfall(),
            "configuration": replica.committed().map(|document| document.version),
            "subscribers": subscribers,
        })
    });
    format!("{report}\n")
}

fn view_report(view: &View) -> Value {
    let voters: Vec<Value> = view.voters.iter().map(member_report).collect();
    let chain: Vec<String> = view
        .chain
        .iter()
        .map(|identity| identity.0.to_string())
        .collect();
    json!({"epoch": view.epoch, "voters": voters, "chain": chain})
}

fn member_report(member: &Member) -> Value {
    json!({"identity": member.identity.0.to_string(), "address": member.address.to_string()})
}

fn subscriber_report(status: SubscriberStatus) -> Value {
    let revision = status.acknowledged.list_revision;
    json!({
        "node": status.identity.node,
        "configuration": status.acknowledged.configuration_version,
        "inForce": status.downstream.in_force_version,
        "proxies": status.downstream.proxies,
        "list": format!("{}.{}", revision.epoch, revision.sequence),
    })
}

/// The metrics of this control node, in the Prometheus text format.
pub fn metrics(driver: &ReplicaDriver) -> String {
    let counters = driver.read(Replica::counters);
    let domain_shortfall = driver.read(Replica::domain_shortfall);
    let scrubs = driver.scrub_counters();
    let newest = driver.publisher.read(Publisher::newest);
    let rows = [
        ("control_views_adopted_total", counters.views_installed),
        ("control_view_proposals_total", counters.proposals),
        ("control_commits_total", counters.commits),
        (
            "control_full_snapshots_sent_total",
            counters.full_snapshots_sent,
        ),
        ("control_repairs_total", counters.repairs),
        ("control_read_repairs_total", counters.read_repairs),
        ("control_digest_repairs_total", counters.digest_repairs),
        ("control_scrubs_total", scrubs.completed),
        ("control_scrub_damage_total", scrubs.damage_found),
        ("control_persist_failures_total", counters.persist_failures),
        ("control_domain_shortfall", domain_shortfall as u64),
        (
            "control_configuration_version",
            newest.configuration_version,
        ),
        ("control_is_head", u64::from(driver.role().is_head)),
    ];
    let mut text = String::new();
    for (name, value) in rows {
        // Writing to a string can't fail.
        let _ = writeln!(text, "lockusher_{name} {value}");
    }
    text
}
