//! The settings object that an instance receives at its start, and its conversion to the types of
//! the decision module. Names of the settings are used in this file only.

use std::collections::BTreeMap;

use lockusher_policy::interface::*;
use serde::Deserialize;

/// Settings of an instance; keys that are not needed are ignored.
#[derive(Deserialize)]
pub struct Settings {
    /// Number of mixers, and the index of this one, starting at 0.
    pub balancers: usize,
    pub rank: usize,
    grades: Vec<OpTypeSettings>,
    pub extra: Extra,
    pub limits: Limits,
    localities: Vec<String>,
    locality: String,
    pub membership_mode: Membership,
    #[serde(default)]
    pub over_share_worth: f64,
    #[serde(default)]
    parties: Vec<TenantSettings>,
    prices: Prices,
    rules: Rules,
    pub tick_us: u64,
    #[serde(default)]
    worth_by: ValueBasis,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum ValueBasis {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
struct OpTypeSettings {
    name: String,
    promise_us: u64,
    deadline_us: u64,
    #[serde(default)]
    aim_stretch: f64,
    effect: RepeatSafety,
    dedup_window_us: Option<u64>,
    #[serde(default)]
    late_value: f64,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatSafety {
    Safe,
    Keyed,
    Unsafe,
}

/// Settings of sharded queries.
#[derive(Deserialize)]
pub struct Extra {
    /// Most parts in one call to a searcher.
    pub bundle_max: Option<usize>,
    cells: usize,
    in_a_row: usize,
    #[serde(default)]
    class_partial: Vec<f64>,
    #[serde(default)]
    fetch_parts: Vec<usize>,
    least_share: Vec<f64>,
    need_by_class: Vec<f64>,
    /// Number of shards.
    pub slices: Option<usize>,
}

/// Limits of calls, connections and attempts.
#[derive(Deserialize)]
pub struct Limits {
    /// Searchers close connections that are idle for this long.
    pub conn_idle_us: Option<u64>,
    pub connect_timeout_us: Option<u64>,
    max_attempts: usize,
    /// Most multigets and parts that one mixer may hold at a time.
    pub max_open: Option<usize>,
    /// Most concurrent calls on one connection.
    pub max_streams: Option<usize>,
    #[serde(default)]
    max_retry_after_us: u64,
    #[serde(default)]
    pub may_cancel: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
}

/// How the list of searchers is obtained: pushed by discovery, or on request.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Membership {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
struct TenantSettings {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize)]
struct Rules {
    ask_every_us: Option<u64>,
    cold_from: f64,
    ramp_time_us: u64,
    fall_multiple: f64,
    tip_after_us: u64,
    spare_attempts: Option<f64>,
    extra_ratio: Option<f64>,
    look_back_us: Option<u64>,
}

impl Settings {
    /// The operation types; fails if a list in `extra` is too short or a deduplication window is
    /// missing.
    pub fn op_types(&self) -> Result<Vec<OpType>, String> {
        let entry = |list: &[f64], i: usize, field: &str| {
            list.get(i)
                .copied()
                .ok_or_else(|| format!("facts.extra.{field} has no entry for class {i}"))
        };
        self.grades
            .iter()
            .enumerate()
            .map(|(i, g)| {
                let idempotency = match (&g.effect, g.dedup_window_us) {
                    (RepeatSafety::Safe, _) => Idempotency::Retriable,
                    (RepeatSafety::Unsafe, _) => Idempotency::NonRetriable,
                    (RepeatSafety::Keyed, Some(us)) => Idempotency::Deduped(Span::from_micros(us)),
                    (RepeatSafety::Keyed, None) => {
                        return Err(format!(
                            "class {} is keyed but has no dedup_window_us",
                            g.name
                        ));
                    }
                };
                Ok(OpType {
                    latency_target: Span::from_micros(g.promise_us),
                    target_stretch: g.aim_stretch,
                    route_timeout: Span::from_micros(g.deadline_us),
                    value: g.worth,
                    late_value: g.late_value,
                    idempotency,
                    complete_share: entry(&self.extra.need_by_class, i, "need_by_class")?,
                    min_share: entry(&self.extra.least_share, i, "least_share")?,
                    partial_value: self.extra.class_partial.get(i).copied().unwrap_or(0.0),
                    second_step: self.extra.fetch_parts.get(i).copied().unwrap_or(0),
                })
            })
            .collect()
    }

    pub fn tenants(&self) -> Vec<Tenant> {
        let tenant = |p: &TenantSettings| Tenant {
            quota_per_s: p.quota_per_s,
        };
        self.parties.iter().map(tenant).collect()
    }

    pub fn layout(&self) -> Layout {
        Layout {
            cells: self.extra.cells,
            cells_per_shard: self.extra.in_a_row,
        }
    }

    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.rules.cold_from,
            ramp: Span::from_micros(self.rules.ramp_time_us),
            overload_multiple: self.rules.fall_multiple,
            overload_window: Span::from_micros(self.rules.tip_after_us),
        }
    }

    pub fn retry_limit(&self) -> Option<RetryLimit> {
        Some(RetryLimit {
            base: self.rules.spare_attempts.unwrap_or(0.0),
            ratio: self.rules.extra_ratio.unwrap_or(0.0),
            window: Span::from_micros(self.rules.look_back_us?),
        })
    }

    pub fn attempt_limits(&self) -> AttemptLimits {
        AttemptLimits {
            max_attempts: self.limits.max_attempts,
            may_hedge: self.limits.parallel_tries,
            may_cancel: self.limits.may_cancel,
        }
    }

    /// Longest interval between calls to discovery, where it only answers calls; `None` if it
    /// pushes. Whatever failures and delays are allowed for, a change counts as known this long
    /// after discovery had it and was reachable.
    pub fn poll_interval(&self) -> Option<Span> {
        const KNOWN_AFTER: Span = Span::from_millis(6_000);
        let configured = self.rules.ask_every_us.map(Span::from_micros);
        (self.membership_mode == Membership::OnRequest)
            .then(|| configured.map_or(KNOWN_AFTER, |us| us.min(KNOWN_AFTER)))
    }

    /// The longest retry delay that clients observe; `None` if clients are not given one.
    pub fn max_retry_after(&self) -> Option<Span> {
        let us = self.limits.max_retry_after_us;
        self.limits.retry_after.then(|| Span::from_micros(us))
    }

    /// Whether `worth` is per unit of work instead of per multiget.
    pub fn value_is_per_work(&self) -> bool {
        self.worth_by == ValueBasis::Work
    }

    pub fn cross_zone_price(&self) -> f64 {
        self.prices.cross_zone
    }

    /// The mixer's own zone; `None` if it is not in `localities`.
    pub fn home_zone(&self) -> Option<Zone> {
        self.zone(&self.locality)
    }

    pub fn names(&self) -> Names {
        let op_types = self.grades.iter().map(|g| g.name.clone()).enumerate();
        let tenants = self.parties.iter().map(|p| p.name.clone()).enumerate();
        let zones = self.localities.iter().cloned().enumerate();
        Names {
            op_types: op_types.map(|(i, n)| (n, OpTypeId(i))).collect(),
            tenants: tenants.map(|(i, n)| (n, TenantId(i))).collect(),
            zones: zones.map(|(i, n)| (n, Zone(i))).collect(),
        }
    }

    fn zone(&self, name: &str) -> Option<Zone> {
        self.localities.iter().position(|z| z == name).map(Zone)
    }
}

/// Indices of the names in the settings.
#[derive(Clone, Default)]
pub struct Names {
    pub op_types: BTreeMap<String, OpTypeId>,
    pub tenants: BTreeMap<String, TenantId>,
    pub zones: BTreeMap<String, Zone>,
}
