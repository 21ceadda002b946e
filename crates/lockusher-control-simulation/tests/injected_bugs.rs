//! Every injected bug is detected by the simulation within a stated number of runs or by a named test, or is covered by
//! another guard.

use lockusher_control::{ConfigurationDocument, InjectedBug, Reply, Request};
use lockusher_control_simulation::{Checks, SimulationOptions, SurvivingWrites, simulate_with};
use yare::parameterized;

use support::{CATCH_UP_MS, started_cluster};

mod support;

const STEPS_PER_RUN: usize = 500;

/// How an injected bug is detected.
enum Detection {
    /// By the simulation within this number of runs, from seed 1, with 3, 5 and 9 replicas.
    Within([u64; 3]),
    /// By a dedicated test, since the simulation detects it too rarely.
    ByTest(#[expect(dead_code, reason = "names a test for the reader")] &'static str),
    /// Not detected, since another guard covers for the disabled one.
    CoveredBy(#[expect(dead_code, reason = "names the guard for the reader")] &'static str),
}

use Detection::{ByTest, CoveredBy, Within};

/// Limit for a number of replicas with which the bug has no effect.
const NO_EFFECT: u64 = 0;

fn detection(injected_bug: InjectedBug) -> Detection {
    match injected_bug {
        InjectedBug::ReadUnconfirmed | InjectedBug::StaleConfirmationUsed => Within([30, 30, 30]),
        InjectedBug::ConflictUnconfirmed => Within([200, 200, 200]),
        InjectedBug::NotNewerUnconfirmed => CoveredBy(
            "a change that is rejected as not newer has a version at most its If-Match, and only a version above the If-Match is accepted",
        ),
        InjectedBug::ConfirmAfterAccepting => Within([40, 40, 40]),
        InjectedBug::IfMatchIgnored | InjectedBug::AppliedChangeNotRecognized => Within([5, 5, 5]),
        InjectedBug::VersionIdentifiesChange => Within([5, 5, 5]),
        InjectedBug::RequestNumbersRestart => Within([120, 120, 120]),
        InjectedBug::AcknowledgeBeforeTail | InjectedBug::ForwardBeforeDurable => Within([5, 5, 5]),
        InjectedBug::EntryWithoutPredecessor => CoveredBy(
            "a head sends entries only to members that have its state, one at a time, and entries of older epochs are ignored",
        ),
        InjectedBug::ServeBeforeSynchronised | InjectedBug::ServeAfterSeal => Within([20, 20, 20]),
        InjectedBug::RestartedHeadServes => Within([30, 30, 30]),
        InjectedBug::CommittedUnchecked => Within([5, 5, 5]),
        InjectedBug::EntryAfterSeal => Within([120, 120, 120]),
        InjectedBug::SealNotAwaited
        | InjectedBug::JoinersNotSentState
        | InjectedBug::JoinAnsweredBeforeDurable => Within([20, 20, 20]),
        InjectedBug::OlderTransferApplied => Within([120, 120, 120]),
        InjectedBug::HistoryNotTransferred => Within([10, 10, 10]),
        InjectedBug::ShortChain => Within([30, 30, 60]),
        InjectedBug::SeveralVotersChanged => Within([10, 10, 20]),
        InjectedBug::VotersBelowMinimum => Within([10, 10, 200]),
        // With 9 voters a majority remains after two lost disks and a departure.
        InjectedBug::DepartedVoterRetained => Within([200, 200, NO_EFFECT]),
        InjectedBug::LatestDepartureReplaced => {
            ByTest("scenarios::a_new_node_replaces_the_voter_that_left_the_chain_first")
        }
        // Detected in runs with zones, by `simulation::the_loss_of_a_zone_is_tolerated_only_with_spread_voters`.
        InjectedBug::DomainsIgnored => {
            ByTest("simulation::the_loss_of_a_zone_is_tolerated_only_with_spread_voters")
        }
        InjectedBug::LowerProposalAccepted | InjectedBug::AcceptedViewNotReported => {
            Within([100, 60, 60])
        }
        InjectedBug::AcceptedViewIgnored => Within([120, 120, 120]),
        InjectedBug::VoteAnsweredBeforeDurable | InjectedBug::InstallAfterOneAcceptance => {
            Within([5, 5, 5])
        }
        InjectedBug::NonVotersCount => Within([20, 20, 60]),
        InjectedBug::ActBeforeViewDurable => CoveredBy(
            "a disk preserves the order of writes, votes wait for the view, and no entry is appended without its predecessor",
        ),
        InjectedBug::OlderEpochsCount => Within([120, 120, 120]),
        InjectedBug::VoteAfterDiskLoss | InjectedBug::FirstStartAssumed => Within([20, 20, 60]),
        InjectedBug::PromiseNotRecovered
        | InjectedBug::AcceptanceNotRecovered
        | InjectedBug::SealNotRecovered => Within([60, 60, 60]),
        InjectedBug::SnapshotWithoutState => Within([5, 5, 5]),
        InjectedBug::SnapshotWithoutAcceptorState => Within([20, 20, 20]),
    }
}

/// The first run that detects the bug, counted from 1; the seed is the same number.
fn first_detecting_run(injected_bug: InjectedBug, replicas: usize, limit: u64) -> Option<u64> {
    (1..=limit).find(|seed| {
        let options = SimulationOptions {
            replicas,
            seed: *seed,
            steps: STEPS_PER_RUN,
            injected_bug: Some(injected_bug),
            checks: Checks::All,
            ..SimulationOptions::default()
        };
        !simulate_with(options).violations.is_empty()
    })
}

#[parameterized(three = { 0, 3 }, five = { 1, 5 }, nine = { 2, 9 })]
fn injected_bugs_are_detected_within_the_stated_runs(column: usize, replicas: usize) {
    let mut missed = Vec::new();
    for injected_bug in InjectedBug::ALL {
        let limit = match detection(injected_bug) {
            Within(limits) => limits[column],
            ByTest(_) | CoveredBy(_) => continue,
        };
        if limit == NO_EFFECT {
            continue;
        }
        match first_detecting_run(injected_bug, replicas, limit) {
            Some(run) => {
                println!("{injected_bug:?} with {replicas} replicas: run {run} of {limit}");
            }
            None => missed.push((injected_bug, limit)),
        }
    }
    assert!(
        missed.is_empty(),
        "not detected with {replicas} replicas: {missed:?}"
    );
}

#[test]
fn all_injected_bugs_are_listed_once() {
    for (position, injected_bug) in InjectedBug::ALL.into_iter().enumerate() {
        assert!(
            !InjectedBug::ALL[..position].contains(&injected_bug),
            "{injected_bug:?}"
        );
        assert_eq!(
            InjectedBug::named(&format!("{injected_bug:?}")),
            Some(injected_bug)
        );
    }
    assert_eq!(InjectedBug::named("None"), None);
}

/// A node is killed while a request that it forwarded is pending at the head, and forwards another one as the first request
/// of its new incarnation. The reply to the earlier request must not answer the later one, even if both have the same
/// number.
#[parameterized(
    guard_enabled = { None, false },
    guard_disabled = { Some(InjectedBug::RequestNumbersRestart), true },
)]
fn a_reply_to_a_previous_incarnation_is_ignored(
    injected_bug: Option<InjectedBug>,
    wrong_reply_expected: bool,
) {
    let options = SimulationOptions {
        replicas: 3,
        seed: 1,
        injected_bug,
        ..SimulationOptions::default()
    };
    let mut cluster = started_cluster(options);
    let chain = cluster.chain();
    let (forwarder, tail) = (chain[1], chain[2]);
    // A restart, so that request numbers start anew and the request below is the first one that this incarnation forwards.
    cluster.crash(forwarder, 20);
    assert!(
        cluster.run_until_all_members(CATCH_UP_MS).is_some(),
        "{}",
        cluster.describe()
    );
    // The tail's disk stalls, so that a change stays pending at the head.
    cluster.stall_disk(tail, 400);
    let change = Request::Put {
        if_match: 0,
        document: ConfigurationDocument::new(9, b"{}".as_slice().into()),
    };
    assert_eq!(cluster.request_within(forwarder, change, 60), None);
    cluster.crash(forwarder, 1);
    cluster.run_until(5, |_| false);
    let early_reply = cluster.request_within(forwarder, Request::Read, 30);
    cluster.recover_disks();
    let reply = early_reply.or_else(|| cluster.await_reply(1000));
    let is_reply_to_read = matches!(reply, None | Some(Reply::Document(_) | Reply::Unavailable));
    assert_eq!(!is_reply_to_read, wrong_reply_expected, "{reply:?}");
}

/// A guard and the one that covers for it.
struct CoveredGuard {
    guard: InjectedBug,
    /// The other guard; `None` if it is the order in which a disk makes writes durable.
    covering_guard: Option<InjectedBug>,
    checks: Checks,
}

impl CoveredGuard {
    /// Whether any run with these bugs has a violation.
    fn is_detected(
        &self,
        bugs: [Option<InjectedBug>; 2],
        surviving_writes: SurvivingWrites,
    ) -> bool {
        let [injected_bug, second_injected_bug] = bugs;
        (51_500..51_750).any(|seed| {
            let options = SimulationOptions {
                replicas: 3,
                seed,
                steps: STEPS_PER_RUN,
                injected_bug,
                second_injected_bug,
                surviving_writes,
                checks: self.checks,
                ..SimulationOptions::default()
            };
            !simulate_with(options).violations.is_empty()
        })
    }
}

/// Disabling one of the two guards causes no violation that is checked for; disabling both does.
#[parameterized(
    an_entry_of_an_older_epoch = { CoveredGuard {
        guard: InjectedBug::EntryWithoutPredecessor,
        covering_guard: Some(InjectedBug::OlderEpochsCount),
        checks: Checks::ExternallyVisible,
    } },
    a_view_that_is_not_durable = { CoveredGuard {
        guard: InjectedBug::ActBeforeViewDurable,
        covering_guard: None,
        checks: Checks::All,
    } },
)]
fn a_covered_guard_is_needed_once_the_covering_guard_is_disabled(covered: CoveredGuard) {
    let guard = Some(covered.guard);
    let surviving_writes = match covered.covering_guard {
        Some(_) => SurvivingWrites::Prefix,
        None => SurvivingWrites::AnySubset,
    };
    assert!(covered.is_detected([guard, covered.covering_guard], surviving_writes));
    assert!(!covered.is_detected([guard, None], SurvivingWrites::Prefix));
    assert!(!covered.is_detected([covered.covering_guard, None], surviving_writes));
}
