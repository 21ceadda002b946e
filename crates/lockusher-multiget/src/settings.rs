//! The settings object that an instance gets at its start: read and turned into the module's values. Its names
//! end here.

use std::collections::BTreeMap;

use lockusher_policy::interface::*;
use serde::Deserialize;

/// An instance's settings, of which only what the module asks for is read.
#[derive(Deserialize)]
pub struct Settings {
    /// How many mixers there are, and which of them this is, from 0.
    pub balancers: usize,
    pub rank: usize,
    grades: Vec<Grade>,
    pub extra: Extra,
    pub limits: Limits,
    localities: Vec<String>,
    locality: String,
    pub membership_mode: Membership,
    #[serde(default)]
    pub over_share_worth: f64,
    #[serde(default)]
    parties: Vec<Party>,
    prices: Prices,
    rules: Rules,
    pub tick_us: u64,
    #[serde(default)]
    worth_by: WorthBy,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
struct Grade {
    name: String,
    promise_us: u64,
    deadline_us: u64,
    #[serde(default)]
    aim_stretch: f64,
    effect: Effect,
    dedup_window_us: Option<u64>,
    #[serde(default)]
    late_value: f64,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Deserialize)]
pub struct Extra {
    /// Parts that one call to a searcher may hold.
    pub bundle_max: Option<usize>,
    cells: usize,
    in_a_row: usize,
    #[serde(default)]
    class_partial: Vec<f64>,
    #[serde(default)]
    fetch_parts: Vec<usize>,
    least_share: Vec<f64>,
    need_by_class: Vec<f64>,
    /// How many shards there are.
    pub slices: Option<usize>,
}

#[derive(Deserialize)]
pub struct Limits {
    /// A searcher closes a connection unused for so long.
    pub conn_idle_us: Option<u64>,
    pub connect_timeout_us: Option<u64>,
    max_attempts: usize,
    /// Multigets and parts that one mixer may hold.
    pub max_open: Option<usize>,
    /// Calls that one connection carries at once.
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

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Membership {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
struct Party {
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
    pub fn op_types(&self) -> Result<Vec<OpType>, String> {
        let of = |list: &[f64], i: usize, what: &str| {
            list.get(i)
                .copied()
                .ok_or_else(|| format!("facts.extra.{what} has no entry for class {i}"))
        };
        self.grades
            .iter()
            .enumerate()
            .map(|(i, g)| {
                let repeat = match (&g.effect, g.dedup_window_us) {
                    (Effect::Safe, _) => Repeat::Retriable,
                    (Effect::Unsafe, _) => Repeat::NonRetriable,
                    (Effect::Keyed, Some(us)) => Repeat::Deduped(Span::from_micros(us)),
                    (Effect::Keyed, None) => {
                        return Err(format!(
                            "class {} is keyed but has no dedup_window_us",
                            g.name
                        ));
                    }
                };
                Ok(OpType {
                    latency_budget: Span::from_micros(g.promise_us),
                    budget_stretch: g.aim_stretch,
                    route_timeout: Span::from_micros(g.deadline_us),
                    importance: g.worth,
                    late_share: g.late_value,
                    repeat,
                    need: of(&self.extra.need_by_class, i, "need_by_class")?,
                    least_share: of(&self.extra.least_share, i, "least_share")?,
                    partial_pays: self.extra.class_partial.get(i).copied().unwrap_or(0.0),
                    second_step: self.extra.fetch_parts.get(i).copied().unwrap_or(0),
                })
            })
            .collect()
    }

    pub fn tenants(&self) -> Vec<Tenant> {
        let tenant = |p: &Party| Tenant {
            quota_per_s: p.quota_per_s,
        };
        self.parties.iter().map(tenant).collect()
    }

    pub fn layout(&self) -> Layout {
        Layout {
            cells: self.extra.cells,
            in_a_row: self.extra.in_a_row,
        }
    }

    pub fn cold_rule(&self) -> ColdRule {
        ColdRule {
            starts_at: self.rules.cold_from,
            ramp: Span::from_micros(self.rules.ramp_time_us),
            fall_multiple: self.rules.fall_multiple,
            tip_after: Span::from_micros(self.rules.tip_after_us),
        }
    }

    pub fn send_budget(&self) -> Option<SendBudget> {
        Some(SendBudget {
            free: self.rules.spare_attempts.unwrap_or(0.0),
            share: self.rules.extra_ratio.unwrap_or(0.0),
            window: Span::from_micros(self.rules.look_back_us?),
        })
    }

    pub fn part_limits(&self) -> PartLimits {
        PartLimits {
            most_sends: self.limits.max_attempts,
            second_copies: self.limits.parallel_tries,
            may_withdraw: self.limits.may_cancel,
        }
    }

    /// How often discovery must be asked at the least, where it tells only those that ask. Whatever a refusal or a
    /// silence allows besides, a change counts as told so long after discovery had it and could be reached.
    pub fn ask_every(&self) -> Option<Span> {
        const TOLD_AFTER: Span = Span::from_millis(6_000);
        let stated = self.rules.ask_every_us.map(Span::from_micros);
        (self.membership_mode == Membership::OnRequest)
            .then(|| stated.map_or(TOLD_AFTER, |us| us.min(TOLD_AFTER)))
    }

    /// The longest time to come back that a client keeps to; none if clients are not told one.
    pub fn longest_come_back(&self) -> Option<Span> {
        let us = self.limits.max_retry_after_us;
        self.limits.retry_after.then(|| Span::from_micros(us))
    }

    pub fn by_work(&self) -> bool {
        self.worth_by == WorthBy::Work
    }

    pub fn cross_zone_price(&self) -> f64 {
        self.prices.cross_zone
    }

    pub fn home(&self) -> Option<Zone> {
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

/// The names that the settings give to what the module knows by number.
#[derive(Clone, Default)]
pub struct Names {
    pub op_types: BTreeMap<String, OpTypeId>,
    pub tenants: BTreeMap<String, TenantId>,
    pub zones: BTreeMap<String, Zone>,
}
