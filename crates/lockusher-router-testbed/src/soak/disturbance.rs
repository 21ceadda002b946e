//! Disturbances and planned work of a soak.

use crate::fleet::{Role, SeedChoice};
use crate::searcher::Fault;

/// A disturbance, or planned work. Numbers name machines and searchers, taken modulo how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGKILL to one process; it is started anew a moment later.
    Kill(Role, usize),
    /// The same to all processes of a role at once.
    KillAll(Role),
    /// SIGSTOP to one process, SIGCONT some seconds later.
    Freeze(Role, usize),
    /// SIGTERM to all processes of a role, one after the other, each started anew once it has ended.
    Roll(Role),
    /// SIGHUP to every process.
    HangUpAll,
    /// A control node is killed and its disk lost.
    LoseDisk(usize),
    /// The settings files name other seeds from now on; every process gets SIGHUP.
    ChangeSeeds(SeedChoice),
    /// An edge machine is partitioned from all control nodes for some seconds.
    PartitionEdge(usize),
    /// A core machine is partitioned from all edge machines for some seconds.
    PartitionCore(usize),
    /// One change of the configuration.
    ChangeConfiguration,
    /// Several changes, one after the other.
    ConfigurationStorm,
    /// Two changes on the same version.
    RacingChanges,
    /// An invalid configuration.
    InvalidConfiguration,
    /// A change whose answers are lost.
    LostAcknowledgements,
    /// A model searcher crashes and comes back as a new one.
    CrashSearcher(usize),
    /// A model searcher drains and is replaced.
    ReleaseSearcher(usize),
    /// All model searchers of the decode stage but the last two searchers leave for good.
    RetireDecodeSearchers,
    /// A model searcher is slow for some seconds.
    SlowSearcher(usize),
    /// Transfers between searchers are slow for some seconds.
    SlowLinks,
    /// Held prompts lapse at once for a second.
    LapsingHandles,
    /// The next requests at each searcher meet a fault.
    FaultyRuns(Fault),
    /// The next prefill calls at each searcher meet a fault.
    FaultyPrefills(Fault),
    /// The platform's list answers 500 for some seconds.
    PlatformDown,
    /// More load for some seconds.
    Burst,
}

impl Disturbance {
    /// Whether machines of the fleet are out of touch for a while: rules that bind only machines in touch don't count then.
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
        )
    }
}
