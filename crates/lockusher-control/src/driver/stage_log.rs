//! Logs a service that has lost all ready searchers of a stage, and why none is ordered to it.
//!
//! Owned by the stage assignment, which shows it the searchers at each of its cycles. No I/O besides the log.

use std::collections::BTreeMap;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceState, Stage};
use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};

use crate::stage_scheduler::{StageCounts, is_ready};
use crate::time::Millis;

/// A stage is empty for this long before it is logged, in milliseconds.
const LOG_DELAY_MS: Millis = 500;
/// Time between two lines while a stage is empty, in milliseconds.
const LOG_INTERVAL_MS: Millis = 2_000;

/// What is logged of the services' stages.
#[derive(Debug, Default)]
pub struct StageLog {
    empty_stages: BTreeMap<String, RecurrenceLog>,
}

impl StageLog {
    /// Takes the newest list; `why_no_order` says for a service why no order is due.
    pub fn observe(
        &mut self,
        now: Millis,
        configuration: &Configuration,
        instances: &[Instance],
        why_no_order: impl Fn(&str) -> String,
    ) {
        let staged = configuration
            .services
            .iter()
            .filter(|service| service.engine.is_some());
        for service in staged {
            let name = service.name.as_str();
            let of_service = instances
                .iter()
                .filter(|instance| instance.service == name && instance.stage.is_some());
            let searchers: Vec<&Instance> = of_service.collect();
            self.observe_service(now, name, &searchers, &why_no_order);
        }
    }

    fn observe_service(
        &mut self,
        now: Millis,
        service: &str,
        searchers: &[&Instance],
        why_no_order: impl Fn(&str) -> String,
    ) {
        let ready = StageCounts::by_stage(|stage| count(searchers, |one| is_ready(one, stage)));
        let log = self
            .empty_stages
            .entry(service.to_owned())
            .or_insert_with(|| RecurrenceLog::new(LOG_DELAY_MS, LOG_INTERVAL_MS));
        let Some(stage) = empty_stage(ready).filter(|_| !searchers.is_empty()) else {
            log.end(now);
            return;
        };
        let Some(Recurrence { for_ms, .. }) = log.observe(now) else {
            return;
        };
        let in_state = |state| count(searchers, |one| one.state == state);
        log::warn!(
            "service {service}: no searcher to {stage} for {for_ms} ms ({} prefill, {} decode, {} changing, {} draining): {}",
            ready.prefill,
            ready.decode,
            in_state(InstanceState::Changing),
            in_state(InstanceState::Draining),
            why_no_order(service)
        );
    }
}

fn count(searchers: &[&Instance], is_counted: impl Fn(&Instance) -> bool) -> usize {
    searchers.iter().filter(|one| is_counted(one)).count()
}

/// The verb of a stage without a ready searcher; the more important one if both are empty.
fn empty_stage(ready: StageCounts) -> Option<&'static str> {
    match (ready.prefill, ready.decode) {
        (_, 0) => Some(verb(Stage::Decode)),
        (0, _) => Some(verb(Stage::Prefill)),
        _ => None,
    }
}

fn verb(stage: Stage) -> &'static str {
    match stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    }
}
