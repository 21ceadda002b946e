//! Service recovers after an outage of all processes, checked on real processes by the recovery rule.
//!
//! Each test runs one soak of about forty seconds; the tests run in parallel. The length of a soak is fixed, and no test
//! waits for anything else.

use std::time::Duration;

use lockusher_router_testbed::soak::{
    Schedule, SoakPlan, SoakResult, draw_schedule, run, scenario,
};
use lockusher_router_testbed::world::WorldPlan;

const RATE: f64 = 20.0;
const OUTAGE_AT: Duration = Duration::from_secs(14);
const SERIES: usize = 6;

fn run_soak(schedule: &Schedule) -> SoakResult {
    let plan = SoakPlan {
        world: WorldPlan::default(),
        rate_per_second: RATE,
        outage_at: OUTAGE_AT,
        series: SERIES,
    };
    run(&plan, schedule).expect("running the soak")
}

fn assert_passed(result: &SoakResult) {
    assert!(
        result.passed(),
        "{}\n{}\nfailures: {:#?}\nviolations: {:#?}\nlogs: {:?}",
        result.schedule,
        result.recovery,
        result.failures,
        result.violations,
        result.logs
    );
}

fn assert_scenario_passes(name: &str) {
    let scenario = scenario(name).expect("a scenario");
    assert_passed(&run_soak(&scenario.schedule(101)));
}

/// All processes are killed while the settings files list only edge machines as seeds.
#[test]
fn service_recovers_when_no_seed_runs_a_control_node() {
    assert_scenario_passes("seeds");
}

/// All processes are killed after decode searchers were removed, so that model searchers of one stage remain.
#[test]
fn service_recovers_when_only_searchers_of_one_stage_remain() {
    assert_scenario_passes("stages");
}

/// Randomly drawn soaks with fixed seeds; both violated the recovery rule in a past incident.
#[test]
fn service_recovers_in_the_soak_of_seed_1() {
    assert_passed(&run_soak(&draw_schedule(1, SERIES, OUTAGE_AT)));
}

#[test]
fn service_recovers_in_the_soak_of_seed_2() {
    assert_passed(&run_soak(&draw_schedule(2, SERIES, OUTAGE_AT)));
}
