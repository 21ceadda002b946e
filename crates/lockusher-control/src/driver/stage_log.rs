//! Logs services without a ready searcher in a stage, and why no searcher is ordered to change to it.
//!
//! Owned by the stage assignment, which passes it the instance list in each of its cycles. No I/O besides the log.

use std::collections::BTreeMap;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceState, Stage};
use lockusher_transport::recurrence::{Recurrence, RecurrenceLog};

use crate::stage_scheduler::{StageCounts, is_ready};
use crate::time::Millis;

/// An empty stage is logged once it has been empty for this long, in milliseconds.
const LOG_DELAY_MS: Millis = 500;
/// Time between two log lines while a stage is empty, in milliseconds.
const LOG_INTERVAL_MS: Millis = 2_000;

/// Logs empty stages, by service, at a limited rate.
#[derive(Debug, Default)]
pub struct StageLog {
    recurrence_logs: BTreeMap<String, RecurrenceLog>,
}

impl StageLog {
    /// Checks the newest list; `order_status` returns for a service why no order was sent, or that one was.
    pub fn observe(
        &mut self,
        now: Millis,
        configuration: &Configuration,
        instances: &[Instance],
        order_status: impl Fn(&str) -> String,
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
            self.observe_service(now, name, &searchers, &order_status);
        }
    }

    fn observe_service(
        &mut self,
        now: Millis,
        service: &str,
        searchers: &[&Instance],
        order_status: impl Fn(&str) -> String,
    ) {
        let ready =
            StageCounts::by_stage(|stage| count(searchers, |searcher| is_ready(searcher, stage)));
        let log = self
            .recurrence_logs
            .entry(service.to_owned())
            .or_insert_with(|| RecurrenceLog::new(LOG_DELAY_MS, LOG_INTERVAL_MS));
        let Some(stage) = empty_stage(ready).filter(|_| !searchers.is_empty()) else {
            log.end(now);
            return;
        };
        let Some(Recurrence { for_ms, .. }) = log.observe(now) else {
            return;
        };
        let in_state = |state| count(searchers, |searcher| searcher.state == state);
        log::warn!(
            "service {service}: no searcher to {stage} for {for_ms} ms ({} prefill, {} decode, {} changing, {} draining): {}",
            ready.prefill,
            ready.decode,
            in_state(InstanceState::Changing),
            in_state(InstanceState::Draining),
            order_status(service)
        );
    }
}

fn count(searchers: &[&Instance], is_counted: impl Fn(&Instance) -> bool) -> usize {
    searchers
        .iter()
        .filter(|searcher| is_counted(searcher))
        .count()
}

/// The verb of a stage without a ready searcher; decode if both stages are empty.
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
