//! Coverage: detects a model that no ready searcher of a stage serves, while searchers of the other stage serve it.
//!
//! Loads don't show this: without a decode searcher every request for the model is rejected, and rejected requests
//! cause no load. So the change that restores the stage is decided by the instance list alone. Without a prefill
//! searcher requests are still served, since decode searchers process the prompts themselves; a decode searcher changes
//! to prefill only if two others remain.
//!
//! Called by the service's state with each observation; stateless, without clock or I/O.

use std::collections::BTreeSet;

use lockusher_config::instances::{Instance, Stage};

use super::searcher_selection::{is_only_server_of_a_model, is_ready};
use super::stage_change::{StageChange, opposite};

/// Number of decode searchers that a model must keep when one of them changes to prefill.
const MIN_REMAINING_DECODE_SEARCHERS: usize = 2;

/// A stage in which a model has no searcher, and the searchers that could change to it.
#[derive(Clone, Debug, PartialEq)]
pub struct UncoveredStage<'a> {
    /// The stage without a searcher.
    pub stage: Stage,
    /// Ready searchers of the other stage that serve the model, in the order of the list.
    pub candidates: Vec<&'a Instance>,
}

/// The most urgent stage without a searcher for some model: decode before prefill. A change in `in_flight` counts as if
/// it were complete.
pub fn uncovered_stage<'a>(
    searchers: &[&'a Instance],
    in_flight: &[&StageChange],
) -> Option<UncoveredStage<'a>> {
    let models = models_of(searchers);
    let uncovered = |stage| {
        models
            .iter()
            .find_map(|model| uncovered_by(searchers, in_flight, stage, model.as_deref()))
    };
    uncovered(Stage::Decode).or_else(|| uncovered(Stage::Prefill))
}

/// Names of the models that are served; `None` stands for searchers that list no models.
fn models_of(searchers: &[&Instance]) -> BTreeSet<Option<String>> {
    let names = |searcher: &&Instance| -> Vec<Option<String>> {
        if searcher.models.is_empty() {
            return vec![None];
        }
        let models = searcher.models.iter();
        models.map(|model| Some(model.name.clone())).collect()
    };
    searchers.iter().flat_map(names).collect()
}

fn uncovered_by<'a>(
    searchers: &[&'a Instance],
    in_flight: &[&StageChange],
    stage: Stage,
    model: Option<&str>,
) -> Option<UncoveredStage<'a>> {
    let serving = searchers
        .iter()
        .copied()
        .filter(|searcher| serves(searcher, model));
    let serving: Vec<&Instance> = serving.collect();
    let is_changing_to_stage = |searcher: &Instance| {
        in_flight
            .iter()
            .any(|change| change.to == stage && change.identifier == searcher.identifier)
    };
    if serving
        .iter()
        .any(|searcher| is_ready(searcher, stage) || is_changing_to_stage(searcher))
    {
        return None;
    }
    let mut candidates: Vec<&Instance> = serving;
    candidates.retain(|searcher| is_ready(searcher, opposite(stage)));
    if stage == Stage::Prefill {
        if candidates.len() <= MIN_REMAINING_DECODE_SEARCHERS {
            return None;
        }
        candidates
            .retain(|searcher| !is_only_server_of_a_model(searcher, Stage::Decode, searchers));
    }
    (!candidates.is_empty()).then_some(UncoveredStage { stage, candidates })
}

fn serves(searcher: &Instance, model: Option<&str>) -> bool {
    match model {
        Some(name) => searcher.models.iter().any(|model| model.name == name),
        None => searcher.models.is_empty(),
    }
}
