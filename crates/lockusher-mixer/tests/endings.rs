//! Rare moments: what ends while something is still owed. Each story holds one side until the mixer is seen at the
//! point in question, and then lets the other happen. `docs/endings.md` lists them.

use std::time::{Duration, Instant};

use lockusher_lab::stand_in::*;
use rstest::rstest;

/// A change counts as told so long after discovery had it and could be reached, whatever failed before.
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// How the watch ends that is open when a searcher begins to drain.
#[derive(Clone, Copy, Debug)]
enum Watch {
    FallsSilent,
    IsReset,
    Stays,
}

/// The watch ends and the very next call fails as well. A watch once held 20 s and was given up 2 s later: what it
/// missed was learnt after 22 s.
#[rstest]
fn a_drain_is_obeyed_in_time_though_the_watch_ends_and_the_next_call_fails(
    #[values(Watch::FallsSilent, Watch::IsReset, Watch::Stays)] watch: Watch,
    #[values(
        Says::Nothing,
        Says::Errors,
        Says::Nonsense,
        Says::Resets,
        Says::Half,
        Says::HalfReset,
        Says::HalfWithoutLength,
        Says::Late(Duration::from_millis(1_500))
    )]
    next: Says,
    #[values(false, true)] asks: bool,
) {
    let world = World::start(Setup { asks, ..Setup::default() });
    world.discovery.told(1);
    world.discovery.next_say([next]);
    let began = Instant::now();
    match watch {
        Watch::FallsSilent => world.discovery.falls_silent(),
        Watch::IsReset => world.discovery.resets(),
        // The call that follows the wait fails alone.
        Watch::Stays => world.discovery.said(),
    }
    world.discovery.tell(2, false, vec![line(&world.searchers[0], 0, "leaving")]);
    world.discovery.told(2);
    assert!(began.elapsed() < TOLD_AFTER, "told after {:?}", began.elapsed());
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// An agent that was down is asked soon after its return; and clients that hold every descriptor they can get take
/// neither the one for it nor those for searchers that are new.
#[rstest]
#[case::told(false, 0)]
#[case::on_asking(true, 0)]
#[case::with_idle_clients_in_all_places(false, 600)]
#[case::on_asking_with_idle_clients_in_all_places(true, 600)]
fn a_drain_is_obeyed_in_time_after_the_agent_was_down(#[case] asks: bool, #[case] idle: usize) {
    let mut world = World::start(Setup { asks, ask_every_ms: 60_000, sockets: 80, ..Setup::default() });
    world.discovery.told(1);
    world.discovery.goes_down();
    let crowd: Vec<Client> = (0..idle).map(|_| world.client()).collect();
    assert_eq!(world.client().ask("q0", &[1]).status, 200);
    // The pauses between calls have grown to their longest by then.
    world.discovery.next_say([Says::Errors; 6]);
    world.discovery.comes_up();
    world.discovery.said();
    world.discovery.says(Says::Nothing);
    let new = Searcher::start("s9");
    let mut lines: Vec<_> = (0..3).map(|i| line(&world.searchers[i], i, "leaving")).collect();
    lines.extend((0..3).map(|group| {
        let mut line = line(&new, group, "active");
        line["name"] = format!("n{group}").into();
        line
    }));
    world.discovery.tell(2, true, lines);
    let began = Instant::now();
    world.discovery.says(Says::Lists);
    world.discovery.told(2);
    assert!(began.elapsed() < TOLD_AFTER, "told after {:?}", began.elapsed());
    let before = world.sends("").len();
    assert_eq!(world.client().ask("q1", &[1, 2, 3]).status, 200);
    assert_eq!(world.sends("").len(), before);
    drop(crowd);
    assert!(world.runs());
}

/// Discovery moves by SIGHUP, and the first call at its new address fails: what it has to tell counts as told 4 s
/// after the signal.
#[rstest]
#[case::silence(Says::Nothing)]
#[case::an_error(Says::Errors)]
#[case::a_reset(Says::Resets)]
#[case::half_a_list(Says::HalfWithoutLength)]
fn a_drain_is_obeyed_in_time_after_a_move_whose_first_call_fails(#[case] first: Says) {
    let mut world = World::start(Setup::default());
    world.discovery.told(1);
    let new = Discovery::start((0..3).map(|i| line(&world.searchers[i], i, "active")).collect());
    new.tell(2, false, vec![line(&world.searchers[0], 0, "leaving")]);
    new.next_say([first]);
    let began = Instant::now();
    world.reload("discovery", new.address.to_string());
    new.told(2);
    assert!(began.elapsed() < Duration::from_secs(4), "told after {:?}", began.elapsed());
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}
