//! Encodes the fleet status as JSON for operators and tools.

use lockusher_membership::core::{MembershipStatus, shared_state};
use lockusher_membership::io::FleetStatus;
use lockusher_policy::interface::{Budget, TenantId, Time};
use serde_json::{Value, json};

/// Encodes the state shared between mixers.
fn encode_shared(now: Time, shared: &shared_state::SharedStatus) -> Value {
    let verdicts: Vec<Value> = shared
        .standing
        .iter()
        .map(|verdict| {
            json!({
                "searcher": verdict.health.id.as_str(),
                "fault": verdict.fault.as_str(),
                "good": verdict.health.success_ratio,
                "slower": verdict.health.latency_ratio,
                "seen_ms_ago": now.since(verdict.health.at).as_micros() / 1_000,
                "witnesses": verdict.witnesses.iter().map(lockusher_membership::core::table::MixerName::as_str).collect::<Vec<_>>(),
            })
        })
        .collect();
    let rates = &shared.rates;
    let budget_name = |budget: &Budget| match budget {
        Budget::Retries => "further".to_owned(),
        Budget::Cold => "cold".to_owned(),
        Budget::Connections => "connections".to_owned(),
        Budget::Probes => "probes".to_owned(),
        Budget::Tenant(TenantId(nth)) => format!("tenant {nth}"),
    };
    let shares: Vec<Value> = shared
        .portions
        .iter()
        .map(|(budget, share)| {
            let lapses_in_ms = share.until.since(now).as_micros() / 1_000;
            json!({ "budget": budget_name(budget), "own": share.own, "lent": share.lent, "lapses_in_ms": lapses_in_ms })
        })
        .collect();
    json!({
        "in_contact": shared.in_contact,
        "portions": shares,
        "lends": shared.lends,
        "judged": verdicts,
        "records": shared.records,
        "entries": shared.entries,
        "own_entries": shared.own,
        "crowded": shared.crowded,
        "remembered": shared.remembered,
        "rates": {
            "heard_from": rates.heard,
            "of": rates.living,
            "multigets": rates.rates.multigets,
            "parts": rates.rates.parts,
            "further": rates.rates.further,
            "pushed_back": rates.rates.pushed_back,
        },
    })
}

/// Encodes the membership status of this mixer.
pub fn encode(shown: &FleetStatus) -> String {
    let FleetStatus {
        now,
        standing,
        members,
        living,
        counted,
        digest,
        counts,
        shared,
    } = shown;
    let (standing, name_taken_by) = match standing {
        MembershipStatus::Joining => ("joining", None),
        MembershipStatus::Member => ("member", None),
        MembershipStatus::NameTaken(address) => ("outside", Some(address.to_string())),
        MembershipStatus::Leaving => ("leaving", None),
    };
    let members: Vec<Value> = members
        .iter()
        .map(|member| {
            let record = &member.record;
            json!({
                "name": record.name.as_str(),
                "address": record.address.to_string(),
                "zone": &*record.zone,
                "generation": record.generation,
                "incarnation": record.incarnation,
                "state": record.state.as_str(),
                "since_ms": now.since(member.since).as_micros() / 1_000,
                "by": record.by.as_ref().map(lockusher_membership::core::table::MixerName::as_str),
            })
        })
        .collect();
    let drops = &counts.drops;
    json!({
        "standing": standing,
        "name_taken_by": name_taken_by,
        "living": living,
        "counted": counted,
        "digest": format!("{digest:016x}"),
        "members": members,
        "shared": shared.as_ref().map(|shared| encode_shared(*now, shared)),
        "counts": {
            "datagrams_in": counts.datagrams_in,
            "bytes_in": counts.bytes_in,
            "datagrams_out": counts.datagrams_out,
            "bytes_out": counts.bytes_out,
            "unreached": counts.unreached,
            "suspected": counts.suspected,
            "refuted": counts.refuted,
            "exchanges": counts.exchanges,
            "stood_still": counts.stood_still,
            "dropped": {
                "damaged": drops.damaged,
                "other_form": drops.other_form,
                "other_fleet": drops.other_fleet,
                "absurd": drops.absurd,
                "misdirected": drops.misdirected,
                "far_off": drops.far_off,
                "beyond_share": drops.beyond_share,
            },
        },
    })
    .to_string()
}
