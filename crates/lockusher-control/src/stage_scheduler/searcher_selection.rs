//! Selection of the searcher that leaves a stage.
//!
//! Keeps the zones balanced, prefers searchers that have warmed up, and leaves no model without a searcher of the
//! stage.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use lockusher_config::instances::{Instance, InstanceState, Stage};

/// Numbers of ready searchers in one zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCounts {
    in_stage: usize,
    in_other_stage: usize,
}

/// Whether a searcher is ready and serves this stage.
pub fn is_ready(searcher: &Instance, stage: Stage) -> bool {
    searcher.stage == Some(stage) && searcher.state == InstanceState::Ready
}

/// Selects the searcher that leaves the stage `from`, in the order of [`select_preferred`]. Excluded searchers and the
/// only server of a model aren't selected.
pub fn select_searcher<'a>(
    searchers: &[&'a Instance],
    from: Stage,
    is_excluded: impl Fn(&Instance) -> bool,
) -> Option<&'a Instance> {
    let may_leave = |searcher: &Instance| {
        is_ready(searcher, from)
            && !is_excluded(searcher)
            && !is_only_server_of_a_model(searcher, from, searchers)
    };
    select_preferred(searchers, from, may_leave)
}

/// Selects one of the searchers that may leave the stage `from`: from the zone with the most searchers of that stage,
/// then the fewest of the other stage; within it the one with the least remaining warm-up time.
pub fn select_preferred<'a>(
    searchers: &[&'a Instance],
    from: Stage,
    may_leave: impl Fn(&Instance) -> bool,
) -> Option<&'a Instance> {
    let zones = count_by_zone(searchers, from);
    let preference = |searcher: &&'a Instance| {
        let zone = zones
            .get(searcher.zone.as_str())
            .copied()
            .unwrap_or_default();
        (
            Reverse(zone.in_stage),
            zone.in_other_stage,
            searcher.warm_up_remaining_ms,
            searcher.identifier.as_str(),
        )
    };
    searchers
        .iter()
        .copied()
        .filter(|searcher| may_leave(searcher))
        .min_by_key(preference)
}

fn count_by_zone<'a>(searchers: &[&'a Instance], stage: Stage) -> BTreeMap<&'a str, ZoneCounts> {
    let mut zones: BTreeMap<&str, ZoneCounts> = BTreeMap::new();
    for searcher in searchers
        .iter()
        .filter(|searcher| searcher.state == InstanceState::Ready)
    {
        let counts = zones.entry(&searcher.zone).or_default();
        if searcher.stage == Some(stage) {
            counts.in_stage += 1;
        } else {
            counts.in_other_stage += 1;
        }
    }
    zones
}

/// Whether a model would have no ready searcher of the stage without this one.
pub fn is_only_server_of_a_model(
    searcher: &Instance,
    stage: Stage,
    searchers: &[&Instance],
) -> bool {
    let others = searchers
        .iter()
        .filter(|other| is_ready(other, stage) && other.identifier != searcher.identifier);
    let served_by_others: BTreeSet<&str> = others
        .flat_map(|other| other.models.iter().map(|model| model.name.as_str()))
        .collect();
    searcher
        .models
        .iter()
        .any(|model| !served_by_others.contains(model.name.as_str()))
}
