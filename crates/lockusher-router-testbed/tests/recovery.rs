//! Service returns after everything was lost at once: real processes, by the rule's own terms.
//!
//! Each test plays one soak of some forty seconds; they run side by side. The length of a soak is given, and no test waits
//! for anything else.

use std::time::Duration;

use lockusher_router_testbed::soak::{
    Schedule, SoakPlan, SoakResult, draw_schedule, play, scenario,
};
use lockusher_router_testbed::world::WorldPlan;

const RATE: f64 = 20.0;
const CLOSING_AT: Duration = Duration::from_secs(14);
const SERIES: usize = 6;

fn play_one(schedule: &Schedule) -> SoakResult {
    let plan = SoakPlan {
        world: WorldPlan::default(),
        rate_per_second: RATE,
        closing_at: CLOSING_AT,
        series: SERIES,
    };
    play(&plan, schedule).expect("the soak is played")
}

fn assert_good(result: &SoakResult) {
    assert!(
        result.is_good(),
        "{}\n{}\nfaults: {:#?}\nbroken: {:#?}\nlogs: {:?}",
        result.schedule,
        result.recovery,
        result.faults,
        result.violations,
        result.logs
    );
}

fn assert_scenario_is_good(name: &str) {
    let scenario = scenario(name).expect("a scenario");
    assert_good(&play_one(&scenario.schedule(101)));
}

/// Everything is killed after the settings files have named only edge machines as seeds.
#[test]
fn service_returns_where_no_seed_runs_a_control_node() {
    assert_scenario_is_good("seeds");
}

/// Planned departures leave model searchers of one stage, then everything is killed.
#[test]
fn service_returns_where_searchers_of_one_stage_are_left() {
    assert_scenario_is_good("stages");
}

/// Drawn soaks, the same in each run; on the landing of the incident both broke the rule.
#[test]
fn service_returns_in_the_soak_of_seed_1() {
    assert_good(&play_one(&draw_schedule(1, SERIES, CLOSING_AT)));
}

#[test]
fn service_returns_in_the_soak_of_seed_2() {
    assert_good(&play_one(&draw_schedule(2, SERIES, CLOSING_AT)));
}
