//! Fixed soak schedules, each of which provokes one known cause of missing recovery.

use std::time::Duration;

use super::disturbance::Disturbance;
use super::schedule::{FinalOutage, OutageKind, Schedule, Step};
use crate::fleet::{Role, SeedChoice};

/// Start of the final outage of every scenario.
const OUTAGE_AT: Duration = Duration::from_secs(14);

/// A named soak schedule that provokes one cause of missing recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    steps: &'static [(f64, Disturbance)],
    outage: OutageKind,
    duration_s: f64,
    ports_occupied_s: Option<f64>,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "seeds",
        steps: &[(4.0, Disturbance::ChangeSeeds(SeedChoice::Edges))],
        outage: OutageKind::KillAll,
        duration_s: 1.0,
        ports_occupied_s: None,
    },
    Scenario {
        name: "mixed-seeds",
        steps: &[(4.0, Disturbance::ChangeSeeds(SeedChoice::Mixed))],
        outage: OutageKind::PowerLost,
        duration_s: 1.0,
        ports_occupied_s: None,
    },
    Scenario {
        name: "stages",
        steps: &[(3.0, Disturbance::RetireDecodeSearchers)],
        outage: OutageKind::KillAll,
        duration_s: 1.0,
        ports_occupied_s: None,
    },
    Scenario {
        name: "attempts",
        steps: &[(10.0, Disturbance::KillAll(Role::Control))],
        outage: OutageKind::PowerLost,
        duration_s: 4.0,
        ports_occupied_s: None,
    },
    Scenario {
        name: "ports",
        steps: &[],
        outage: OutageKind::KillAll,
        duration_s: 1.0,
        ports_occupied_s: Some(5.0),
    },
    Scenario {
        name: "quorum",
        steps: &[
            (8.0, Disturbance::LoseDisk(0)),
            (13.0, Disturbance::Freeze(Role::Control, 1)),
        ],
        outage: OutageKind::KillAll,
        duration_s: 1.0,
        ports_occupied_s: None,
    },
    Scenario {
        name: "disk",
        steps: &[(13.5, Disturbance::ConfigurationStorm)],
        outage: OutageKind::DisksLost,
        duration_s: 1.0,
        ports_occupied_s: None,
    },
    Scenario {
        name: "list",
        steps: &[(13.9, Disturbance::PlatformDown)],
        outage: OutageKind::KillAll,
        duration_s: 0.3,
        ports_occupied_s: None,
    },
    Scenario {
        name: "warming-up",
        steps: &[
            (13.5, Disturbance::CrashSearcher(0)),
            (13.6, Disturbance::CrashSearcher(1)),
            (13.7, Disturbance::CrashSearcher(2)),
            (13.8, Disturbance::CrashSearcher(3)),
        ],
        outage: OutageKind::KillAll,
        duration_s: 0.5,
        ports_occupied_s: None,
    },
    Scenario {
        name: "connections",
        steps: &[
            (12.0, Disturbance::PartitionEdge(0)),
            (13.0, Disturbance::Freeze(Role::Proxy, 1)),
        ],
        outage: OutageKind::PowerLost,
        duration_s: 3.0,
        ports_occupied_s: None,
    },
];

/// The scenario with this name.
pub fn scenario(name: &str) -> Option<&'static Scenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}

impl Scenario {
    /// The schedule of the scenario, with `seed` for its load.
    pub fn schedule(&self, seed: u64) -> Schedule {
        let steps = self.steps.iter().map(|(at_s, disturbance)| Step {
            at: Duration::from_secs_f64(*at_s),
            disturbance: *disturbance,
        });
        Schedule {
            seed,
            steps: steps.collect(),
            outage: FinalOutage {
                kind: self.outage,
                at: OUTAGE_AT,
                duration: Duration::from_secs_f64(self.duration_s),
                ports_occupied: self.ports_occupied_s.map(Duration::from_secs_f64),
            },
        }
    }
}
