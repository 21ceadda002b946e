//! Coverage: a model that no ready searcher of a stage serves any more, while searchers of the other stage do.
//!
//! Loads don't show that: without a decode searcher every request for the model is rejected, and what is rejected puts no
//! load on anybody. So the change that gives the stage a searcher is decided by the list alone. Without a prefill searcher
//! requests are still served, decode searchers reading the prompts; one is given up for it only if two others stay.
//!
//! Called by the service's state with each observation; no memory, clock or I/O.

use std::collections::BTreeSet;

use lockusher_config::instances::{Instance, Stage};

use super::searcher_selection::{is_last_serving_a_model, is_ready};
use super::stage_change::{StageChange, opposite};

/// Decode searchers that a model keeps when one of them goes over to prefill.
const DECODE_SEARCHERS_RETAINED: usize = 2;

/// A stage in which a model has no searcher, and who could change to it.
#[derive(Clone, Debug, PartialEq)]
pub struct UncoveredStage<'a> {
    /// The stage without a searcher.
    pub stage: Stage,
    /// Ready searchers of the other stage that serve the model, in the order of the list.
    pub candidates: Vec<&'a Instance>,
}

/// The most urgent stage that isn't covered; `in_flight` are the changes that are expected to be made.
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

/// Names of the models that are served; `None` stands for searchers that list none.
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
    let serving = searchers.iter().copied().filter(|one| serves(one, model));
    let serving: Vec<&Instance> = serving.collect();
    let is_coming = |one: &Instance| {
        in_flight
            .iter()
            .any(|change| change.to == stage && change.identifier == one.identifier)
    };
    if serving
        .iter()
        .any(|one| is_ready(one, stage) || is_coming(one))
    {
        return None;
    }
    let mut candidates: Vec<&Instance> = serving;
    candidates.retain(|one| is_ready(one, opposite(stage)));
    if stage == Stage::Prefill {
        if candidates.len() <= DECODE_SEARCHERS_RETAINED {
            return None;
        }
        candidates.retain(|one| !is_last_serving_a_model(one, Stage::Decode, searchers));
    }
    (!candidates.is_empty()).then_some(UncoveredStage { stage, candidates })
}

fn serves(searcher: &Instance, model: Option<&str>) -> bool {
    match model {
        Some(name) => searcher.models.iter().any(|model| model.name == name),
        None => searcher.models.is_empty(),
    }
}
