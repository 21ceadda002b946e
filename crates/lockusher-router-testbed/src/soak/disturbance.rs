//! Disturbances and maintenance operations of a soak.

use crate::fleet::{Role, SeedChoice};
use crate::searcher::Fault;

/// A disturbance or a maintenance operation. Numbers are indices of machines and searchers, taken modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGKILL to one process, which is restarted after a short delay.
    Kill(Role, usize),
    /// SIGKILL to all processes of a role at once, each restarted after a short delay.
    KillAll(Role),
    /// SIGSTOP to one process, SIGCONT some seconds later.
    Freeze(Role, usize),
    /// Rolling restart of all processes of a role by SIGTERM, one after the other.
    Roll(Role),
    /// SIGTERM to one process, which is restarted once it has exited. Sent again if it hasn't exited yet.
    Terminate(Role, usize),
    /// SIGTERM to all processes of an edge machine.
    TerminateEdge(usize),
    /// SIGHUP to every process.
    HangUpAll,
    /// A control node is killed and restarted with an empty disk.
    LoseDisk(usize),
    /// The seeds in the settings files change; every process gets SIGHUP.
    ChangeSeeds(SeedChoice),
    /// An edge machine is partitioned from all control nodes for some seconds.
    PartitionEdge(usize),
    /// A core machine is partitioned from all edge machines for some seconds.
    PartitionCore(usize),
    /// One configuration change.
    ChangeConfiguration,
    /// Several consecutive configuration changes.
    ConfigurationStorm,
    /// Two concurrent changes based on the same version.
    RacingChanges,
    /// An invalid configuration is submitted.
    InvalidConfiguration,
    /// A configuration change whose responses are lost.
    LostAcknowledgements,
    /// A model searcher crashes and is replaced by a new incarnation.
    CrashSearcher(usize),
    /// A model searcher drains and is replaced by a new incarnation.
    ReleaseSearcher(usize),
    /// Decode searchers are removed until only two model searchers remain.
    RetireDecodeSearchers,
    /// A model searcher runs slowly for some seconds.
    SlowSearcher(usize),
    /// KV cache transfers between searchers are slow for some seconds.
    SlowLinks,
    /// Prefilled prompts expire immediately for one second.
    LapsingHandles,
    /// A fault is injected into the next requests at each searcher.
    FaultyRuns(Fault),
    /// A fault is injected into the next prefill calls at each searcher.
    FaultyPrefills(Fault),
    /// The platform's instance list answers 500 for some seconds.
    PlatformDown,
    /// Additional load for some seconds.
    Burst,
}

impl Disturbance {
    /// Whether it disconnects machines of the fleet for a while, so that rules for connected machines don't apply.
    pub fn disconnects_machines(self) -> bool {
        use Disturbance::*;
        matches!(
            self,
            Kill(..)
                | KillAll(_)
                | Freeze(..)
                | LoseDisk(_)
                | ChangeSeeds(_)
                | PartitionEdge(_)
                | PartitionCore(_)
                | HangUpAll
                | Roll(Role::Agent | Role::Control)
                | Terminate(Role::Agent | Role::Control, _)
                | TerminateEdge(_)
        )
    }
}
