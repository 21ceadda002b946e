//! Every mistake that can be planted is found: by the simulation within a stated number of runs, or by a named test.

use lockusher_control::{ConfigurationDocument, InjectedBug, Reply, Request};
use lockusher_control_simulation::{Checks, SimulationOptions, World, simulate_with};
use yare::parameterized;

const STEPS: usize = 500;

/// How a mistake shows.
enum Shown {
    /// By the simulation, in one of so many runs from seed 1 on, with 3, 5 and 9 replicas.
    Within([u64; 3]),
    /// By a test of its own; the simulation shows it too rarely.
    ByTest(#[expect(dead_code, reason = "names a test for the reader")] &'static str),
    /// By none, since another guard covers it.
    CoveredBy(#[expect(dead_code, reason = "names the guard for the reader")] &'static str),
}

use Shown::{ByTest, CoveredBy, Within};

/// A number of replicas with which the mistake does no harm.
const HARMLESS: u64 = 0;

fn shown(injected_bug: InjectedBug) -> Shown {
    match injected_bug {
        InjectedBug::ReadUnconfirmed | InjectedBug::EarlierRoundCounts => Within([30, 30, 30]),
        InjectedBug::ConflictUnconfirmed => Within([200, 200, 200]),
        InjectedBug::NotNewerUnconfirmed => CoveredBy(
            "versions only rise: what isn't above a version that was once in place isn't above the newest one",
        ),
        InjectedBug::ConfirmAfterAccepting => Within([40, 40, 40]),
        InjectedBug::IfMatchIgnored | InjectedBug::TakenNotRecognized => Within([5, 5, 5]),
        InjectedBug::VersionIdentifiesChange => Within([5, 5, 5]),
        InjectedBug::RequestNumbersRestart => {
            ByTest("injected_bugs::an_answer_of_a_former_life_answers_nothing")
        }
        InjectedBug::AcknowledgeBeforeTail | InjectedBug::PassOnBeforeDurable => Within([5, 5, 5]),
        InjectedBug::EntryWithoutPredecessor => CoveredBy(
            "a head sends entries only to members that hold its state, and the next one only when all hold the one before",
        ),
        InjectedBug::ServeBeforeSynchronised | InjectedBug::ServeAfterSeal => Within([20, 20, 20]),
        InjectedBug::RestartedHeadServes => Within([30, 30, 30]),
        InjectedBug::CommittedUnchecked => Within([5, 5, 5]),
        InjectedBug::EntryAfterSeal => ByTest("joining::a_sealed_member_takes_no_entries"),
        InjectedBug::SealNotAwaited | InjectedBug::JoinersUnfed | InjectedBug::JoinAnsweredBeforeDurable => {
            Within([20, 20, 20])
        }
        InjectedBug::OlderTransferTaken => ByTest("joining::an_older_state_handed_over_is_not_taken"),
        InjectedBug::HistoryForgotten => Within([10, 10, 10]),
        InjectedBug::ShortChain => Within([30, 30, 60]),
        InjectedBug::SeveralVotersChanged => Within([10, 10, 20]),
        InjectedBug::VotersBelowMinimum => Within([10, 10, 200]),
        // With 9 voters a majority is left after two lost disks and a departure.
        InjectedBug::DepartedVoterKept => Within([200, 200, HARMLESS]),
        InjectedBug::LowerBallotAccepted | InjectedBug::AcceptedNotReported => Within([100, 60, 60]),
        InjectedBug::AcceptedPassedOver => ByTest("joining::a_view_accepted_before_is_taken_over"),
        InjectedBug::VoteAnsweredBeforeDurable | InjectedBug::AdoptAfterOneAcceptance => Within([5, 5, 5]),
        InjectedBug::StrangersCount => Within([20, 20, 60]),
        InjectedBug::ActBeforeViewDurable => CoveredBy(
            "a disk keeps the order of writes, so that nothing of an epoch is durable before its view, and votes wait for it",
        ),
        InjectedBug::OlderEpochsCount => ByTest("joining::an_entry_of_an_older_epoch_is_not_taken"),
        InjectedBug::VoteAfterWipe | InjectedBug::FirstStartAssumed => Within([20, 20, 60]),
        InjectedBug::PromiseForgotten | InjectedBug::AcceptanceForgotten | InjectedBug::SealForgotten => {
            Within([60, 60, 60])
        }
        InjectedBug::SnapshotWithoutState => Within([5, 5, 5]),
        InjectedBug::SnapshotWithoutVotes => Within([20, 20, 20]),
    }
}

fn runs_until_found(injected_bug: InjectedBug, replicas: usize, limit: u64) -> Option<u64> {
    (1..=limit).find(|seed| {
        let options = SimulationOptions {
            replicas,
            seed: *seed,
            steps: STEPS,
            injected_bug: Some(injected_bug),
            checks: Checks::Everything,
        };
        !simulate_with(options).violations.is_empty()
    })
}

#[parameterized(three = { 0, 3 }, five = { 1, 5 }, nine = { 2, 9 })]
fn planted_mistakes_are_found_within_the_stated_runs(column: usize, replicas: usize) {
    let mut missed = Vec::new();
    for injected_bug in InjectedBug::ALL {
        let limit = match shown(injected_bug) {
            Within(limits) => limits[column],
            ByTest(_) | CoveredBy(_) => continue,
        };
        if limit == HARMLESS {
            continue;
        }
        match runs_until_found(injected_bug, replicas, limit) {
            Some(run) => println!("{injected_bug:?} with {replicas} replicas: run {run} of {limit}"),
            None => missed.push((injected_bug, limit)),
        }
    }
    assert!(missed.is_empty(), "not found with {replicas} replicas: {missed:?}");
}

#[test]
fn all_mistakes_are_listed_once() {
    for (place, injected_bug) in InjectedBug::ALL.into_iter().enumerate() {
        assert!(!InjectedBug::ALL[..place].contains(&injected_bug), "{injected_bug:?}");
        assert_eq!(InjectedBug::named(&format!("{injected_bug:?}")), Some(injected_bug));
    }
    assert_eq!(InjectedBug::named("None"), None);
}

/// A node is killed while a request of it waits at the head, and asks for something else under the number that its first
/// request of this life has. The answer to the former request mustn't answer this one.
#[parameterized(
    guarded = { None, false },
    left_out = { Some(InjectedBug::RequestNumbersRestart), true },
)]
fn an_answer_of_a_former_life_answers_nothing(injected_bug: Option<InjectedBug>, confused: bool) {
    let options = SimulationOptions { replicas: 3, seed: 1, injected_bug, ..SimulationOptions::default() };
    let mut world = World::new(options);
    assert!(world.run_until_whole(4000).is_some(), "{}", world.describe());
    let chain = world.chain();
    let (asker, other) = (chain[1], chain[2]);
    // The first life of the asker ends, so that its numbers start anew; the one that follows asks for the first time.
    world.kill(asker, 20);
    assert!(world.run_until_whole(4000).is_some(), "{}", world.describe());
    // The tail's disk stalls, so that a change waits at the head.
    world.stall_disk(other, 400);
    let change =
        Request::Put { if_match: 0, document: ConfigurationDocument::new(9, b"{}".as_slice().into()) };
    assert_eq!(world.ask_for(asker, change, 60), None);
    world.kill(asker, 1);
    world.run_until(5, |_| false);
    let at_once = world.ask_for(asker, Request::Read, 30);
    world.free_disks();
    let answer = at_once.or_else(|| world.await_answer(1000));
    let is_of_the_read = matches!(answer, None | Some(Reply::Document(_) | Reply::Unavailable));
    assert_eq!(!is_of_the_read, confused, "{answer:?}");
}
