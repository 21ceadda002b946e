//! Service returns after everything was lost at once: real processes, by the rule's own terms.
//!
//! Each test plays one soak of some forty seconds; they run side by side. The length of a soak is given, and no test waits
//! for anything else.

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
    run(&plan, schedule).expect("the soak is played")
}

fn assert_passed(result: &SoakResult) {
    assert!(
        result.passed(),
        "{}\n{}\nfaults: {:#?}\nbroken: {:#?}\nlogs: {:?}",
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

/// Everything is killed after the settings files have named only edge machines as seeds.
#[test]
fn service_returns_where_no_seed_runs_a_control_node() {
    assert_scenario_passes("seeds");
}

/// Planned departures leave model searchers of one stage, then everything is killed.
#[test]
fn service_returns_where_searchers_of_one_stage_are_left() {
    assert_scenario_passes("stages");
}

/// Drawn soaks, the same in each run; on the landing of the incident both broke the rule.
#[test]
fn service_returns_in_the_soak_of_seed_1() {
    assert_passed(&run_soak(&draw_schedule(1, SERIES, OUTAGE_AT)));
}

#[test]
fn service_returns_in_the_soak_of_seed_2() {
    assert_passed(&run_soak(&draw_schedule(2, SERIES, OUTAGE_AT)));
}
