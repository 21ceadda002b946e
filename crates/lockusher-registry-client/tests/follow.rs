//! Stories of the follower, in virtual time and without a registry: what it asks, what it makes of what comes.

use lockusher_multiget::list::List;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{SearcherState, Span, Time};
use lockusher_registry_client::core::endpoints::EndpointId;
use lockusher_registry_client::core::entry::{Change, ClusterId, Entry, Revision};
use lockusher_registry_client::core::follow::{
    Act, Call, Follower, Heard, Notice, Plan, Protocol, Why,
};
use lockusher_registry_client::core::view::Version;
use rstest::rstest;

fn plan(protocol: Protocol, endpoints: usize) -> Plan {
    Plan {
        protocol,
        endpoints: (0..endpoints)
            .map(|i| format!("127.0.0.1:{}", 1_000 + i))
            .collect(),
        prefix: "hosts/".to_owned(),
        page: 2,
        silent_after: Span::from_millis(1_000),
        settle: Span::from_millis(5_000),
        wait: Span::from_millis(4_000),
        stale: None,
    }
}

fn value(status: &str) -> Vec<u8> {
    format!(r#"{{"address":"127.0.0.1:9000","group":1,"status":"{status}"}}"#).into_bytes()
}

fn entry(name: &str, modified: u64, status: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        modified: Revision(modified),
        value: value(status),
    }
}

fn put(name: &str, modified: u64, status: &str) -> Change {
    Change {
        name: name.to_owned(),
        modified: Revision(modified),
        value: Some(value(status)),
    }
}

fn gone(name: &str, modified: u64) -> Change {
    Change {
        name: name.to_owned(),
        modified: Revision(modified),
        value: None,
    }
}

fn at(revision: u64) -> Version {
    of(7, revision)
}

fn of(cluster: u64, revision: u64) -> Version {
    Version {
        cluster: ClusterId(cluster),
        revision: Revision(revision),
    }
}

/// A follower with its clock and the requests it made.
struct Story {
    now: Time,
    follower: Follower,
    acts: Vec<Act>,
    /// The last call that something came for.
    answered: Option<Call>,
}

impl Story {
    fn new(plan: Plan) -> Self {
        let now = Time::from_micros(1_000_000);
        let mut follower = Follower::new(now, plan, Names::default(), 5);
        let acts = follower.step(now, None);
        Story {
            now,
            follower,
            acts,
            answered: None,
        }
    }

    /// What it asked for last.
    fn asked(&self) -> &Act {
        let request = |act: &&Act| !matches!(act, Act::Close | Act::Say(_));
        self.acts
            .iter()
            .rfind(request)
            .expect("it asked for something")
    }

    fn call(&self) -> Call {
        match self.asked() {
            Act::Read { call, .. }
            | Act::Watch { call, .. }
            | Act::Poll { call, .. }
            | Act::AskProgress { call } => *call,
            Act::Close | Act::Say(_) => unreachable!("no request"),
        }
    }

    fn endpoint(&self) -> EndpointId {
        match self.asked() {
            Act::Read { from, .. } | Act::Watch { from, .. } | Act::Poll { from, .. } => *from,
            other => panic!("no endpoint: {other:?}"),
        }
    }

    fn hear(&mut self, heard: Heard) -> &mut Self {
        let call = self.call();
        self.answered = Some(call);
        let acts = self.follower.step(self.now, Some((call, heard)));
        self.acts.extend(acts);
        self
    }

    /// Time passes, in the steps that the follower asks for.
    fn pass(&mut self, ms: u64) -> &mut Self {
        let end = self.now + Span::from_millis(ms);
        while self.follower.due() <= end {
            self.now = self.now.max(self.follower.due());
            let acts = self.follower.step(self.now, None);
            self.acts.extend(acts);
        }
        self.now = end;
        self
    }

    /// Until it has asked for something that nothing has come for.
    fn until_asked(&mut self) -> &mut Self {
        for _ in 0..100_000 {
            if Some(self.call()) != self.answered {
                return self;
            }
            self.pass(10);
        }
        panic!("it asks for nothing more");
    }

    fn page(&mut self, revision: u64, entries: &[Entry], more_after: Option<&str>) -> &mut Self {
        let more_after = more_after.map(|key| key.as_bytes().to_vec());
        self.hear(Heard::Page {
            version: at(revision),
            entries: entries.to_vec(),
            more_after,
        })
    }

    fn changes(&mut self, changes: &[Change], more: bool) -> &mut Self {
        let version = at(changes.last().map_or(0, |change| change.modified.0));
        self.hear(Heard::Changes {
            version,
            changes: changes.to_vec(),
            more,
        })
    }

    fn opened(&mut self, revision: u64) -> &mut Self {
        self.hear(Heard::Opened {
            version: at(revision),
        })
    }

    fn says(&self, wanted: impl Fn(&Notice) -> bool) -> usize {
        self.acts
            .iter()
            .filter(|act| matches!(act, Act::Say(notice) if wanted(notice)))
            .count()
    }

    /// What was told now, as words.
    fn told(&mut self) -> Vec<String> {
        let Some(List {
            complete, lines, ..
        }) = self.follower.news()
        else {
            return Vec::new();
        };
        let word = |state| match state {
            SearcherState::Up => "up",
            SearcherState::Draining => "draining",
            SearcherState::Gone => "gone",
        };
        let mut told: Vec<String> = lines
            .iter()
            .map(|(l, _)| format!("{} {}", l.id.as_str(), word(l.state)))
            .collect();
        if complete {
            told.insert(0, "all".to_owned());
        }
        told
    }
}

/// One that follows a, b and c at revision 10.
fn following(endpoints: usize) -> Story {
    let mut story = Story::new(plan(Protocol::Etcd, endpoints));
    story.page(
        10,
        &[entry("a", 3, "active"), entry("b", 4, "active")],
        Some("hosts/b"),
    );
    story.page(11, &[entry("c", 9, "active")], None).opened(12);
    assert_eq!(story.told(), ["all", "a up", "b up", "c up"]);
    story
}

#[rstest]
fn pages_show_one_revision_and_the_watch_begins_behind_it() {
    let mut story = Story::new(plan(Protocol::Etcd, 1));
    assert!(matches!(
        story.asked(),
        Act::Read {
            after: None,
            limit: 2,
            at: None,
            ..
        }
    ));
    story.page(
        10,
        &[entry("a", 3, "active"), entry("b", 4, "active")],
        Some("hosts/b"),
    );
    let Act::Read { after, at, .. } = story.asked() else {
        panic!("{:?}", story.asked())
    };
    assert_eq!(
        (after.as_deref(), *at),
        (Some(&b"hosts/b"[..]), Some(Revision(10)))
    );
    assert_eq!(story.told(), [""; 0], "half a view is told to nobody");
    // The registry has moved on meanwhile: what came then must come by the watch.
    story.page(15, &[entry("c", 9, "active")], None);
    assert!(matches!(
        story.asked(),
        Act::Watch {
            start: Revision(11),
            ..
        }
    ));
    story
        .opened(15)
        .changes(&[put("a", 12, "leaving"), gone("b", 13)], false);
    assert_eq!(story.told(), ["all", "a draining", "c up"]);
}

/// Hard case 1: what vanished meanwhile is gone, a drain set meanwhile is kept, nothing is told of who stayed.
#[rstest]
fn what_was_compacted_away_is_read_anew_and_only_what_differs_is_told() {
    let mut story = following(2);
    story
        .hear(Heard::Failed {
            why: "cut".to_owned(),
        })
        .until_asked();
    assert!(
        matches!(
            story.asked(),
            Act::Watch {
                start: Revision(11),
                ..
            }
        ),
        "resumed first"
    );
    story.hear(Heard::Compacted).until_asked();
    assert!(matches!(story.asked(), Act::Read { .. }));
    assert_eq!(story.told(), [""; 0], "served from the old view");
    story.page(
        90,
        &[
            entry("a", 3, "active"),
            entry("b", 50, "leaving"),
            entry("d", 60, "active"),
        ],
        None,
    );
    assert_eq!(story.told(), ["b draining", "c gone", "d up"]);
    assert_eq!(
        story.says(|n| matches!(
            n,
            Notice::Rebuilding {
                why: Why::Compacted
            }
        )),
        1
    );
}

/// Hard case 2: compactions one upon another neither spin nor never end: rests grow, pages grow to the whole.
#[rstest]
#[case::between_read_and_watch(true)]
#[case::in_the_middle_of_pages(false)]
fn reads_that_compactions_spoil_rest_and_grow(#[case] read_through: bool) {
    let mut story = following(1);
    story.hear(Heard::Compacted);
    let (began, mut reads, mut limits) = (story.now, 0, Vec::new());
    while story.now.since(began) < Span::from_millis(20_000) {
        story.until_asked();
        let Act::Read { limit, .. } = story.asked() else {
            panic!("{:?}", story.asked())
        };
        limits.push(*limit);
        reads += 1;
        let revision = 100 + reads;
        if read_through {
            story.page(revision, &[entry("a", revision, "active")], None);
            assert!(matches!(story.asked(), Act::Watch { .. }));
        } else {
            story.page(revision, &[entry("a", 3, "active")], Some("hosts/a"));
        }
        story.hear(Heard::Compacted);
    }
    assert!((8..40).contains(&reads), "{reads} reads in 20 s");
    assert!(
        limits.is_sorted_by_key(|l| if *l == 0 { u32::MAX } else { *l }),
        "{limits:?}"
    );
    assert_eq!(limits.last(), Some(&0), "the last ones take all at once");
    // Each read that came through was told, though no watch has stood since.
    assert_eq!(!story.told().is_empty(), read_through);
}

/// Hard case 3: an event that comes twice counts once, whatever it says.
#[rstest]
fn what_came_before_counts_once() {
    let mut story = following(2);
    story.changes(&[put("a", 12, "leaving")], false);
    assert_eq!(story.told(), ["a draining"]);
    story
        .hear(Heard::Failed {
            why: "cut".to_owned(),
        })
        .until_asked();
    assert!(matches!(
        story.asked(),
        Act::Watch {
            start: Revision(13),
            ..
        }
    ));
    story.opened(12).changes(
        &[
            put("a", 9, "active"),
            gone("c", 12),
            put("b", 13, "leaving"),
        ],
        false,
    );
    assert_eq!(story.told(), ["b draining"]);
}

/// Hard case 4: a member that lags is passed over, and the view does not go back with it.
#[rstest]
fn a_lagging_member_is_passed_over() {
    let mut story = following(3);
    story.changes(&[put("a", 20, "leaving")], false);
    story
        .hear(Heard::Failed {
            why: "cut".to_owned(),
        })
        .until_asked();
    let lagging = story.endpoint();
    story.opened(15);
    // At once, not once it has been silent for long.
    let passed_over =
        |n: &Notice| matches!(n, Notice::Contradicts { from, .. } if *from == lagging);
    assert_eq!(story.says(passed_over), 1);
    story.until_asked();
    assert_ne!(story.endpoint(), lagging);
    assert!(matches!(
        story.asked(),
        Act::Watch {
            start: Revision(21),
            ..
        }
    ));
    story.opened(22);
    assert_eq!(story.told(), ["a draining"]);
    assert_eq!(
        story.says(|n| matches!(n, Notice::Rebuilding { .. })),
        1,
        "only the one at the start"
    );
}

/// Hard case 4: one wrong member is never believed; a cluster that has been replaced is, once most say so for long.
#[rstest]
#[case::one_of_three_is_wrong(1, of(8, 500), None)]
#[case::the_cluster_was_replaced(3, of(8, 5), Some(Why::OtherCluster))]
#[case::it_went_back_for_good(3, at(6), Some(Why::WentBack))]
fn whom_to_believe(
    #[case] contradicting: usize,
    #[case] said: Version,
    #[case] believed: Option<Why>,
) {
    let mut story = following(3);
    story.hear(Heard::Failed {
        why: "cut".to_owned(),
    });
    let began = story.now;
    let mut told = Vec::new();
    while story.now.since(began) < Span::from_millis(60_000) {
        story.until_asked();
        if matches!(story.asked(), Act::Read { .. }) {
            assert!(
                story.now.since(began) >= Span::from_millis(5_000),
                "not before it has settled"
            );
            story.hear(Heard::Page {
                version: said,
                entries: vec![entry("z", 4, "active")],
                more_after: None,
            });
            story.hear(Heard::Opened { version: said });
            told = story.told();
            break;
        }
        let wrong = story.endpoint().0 < contradicting;
        // The others are down, so that nobody agrees either.
        story.hear(if wrong {
            Heard::Opened { version: said }
        } else {
            Heard::Failed {
                why: "refused".to_owned(),
            }
        });
    }
    match believed {
        Some(why) => {
            assert_eq!(told, ["a gone", "b gone", "c gone", "z up"]);
            assert_eq!(story.says(|n| *n == Notice::Rebuilding { why }), 1);
        }
        None => assert_eq!(told, [""; 0]),
    }
}

/// Hard case 5: a revision in several responses is applied whole, or not at all if the connection ends before.
#[rstest]
fn a_split_revision_is_whole_or_nothing() {
    let mut story = following(2);
    story
        .changes(&[put("a", 12, "leaving")], true)
        .changes(&[put("b", 12, "leaving")], true);
    assert_eq!(story.told(), [""; 0]);
    story
        .hear(Heard::Failed {
            why: "cut".to_owned(),
        })
        .until_asked();
    assert!(
        matches!(
            story.asked(),
            Act::Watch {
                start: Revision(11),
                ..
            }
        ),
        "from before that revision"
    );
    story.opened(12);
    story
        .changes(&[put("a", 12, "leaving")], true)
        .changes(&[put("b", 12, "leaving")], false);
    assert_eq!(story.told(), ["a draining", "b draining"]);
}

/// Hard case 6: a watch that says nothing is asked how far it has come, then left for another endpoint.
#[rstest]
fn a_silent_watch_is_left() {
    let mut story = following(2);
    let silent = match story
        .acts
        .iter()
        .rev()
        .find(|act| matches!(act, Act::Watch { .. }))
    {
        Some(Act::Watch { from, .. }) => *from,
        _ => panic!("a watch"),
    };
    story.pass(600);
    assert!(matches!(story.asked(), Act::AskProgress { .. }));
    story.hear(Heard::Progress { version: at(40) }).pass(900);
    assert_eq!(
        story.says(|n| matches!(n, Notice::Silent { .. })),
        0,
        "an answer is a sign of life"
    );
    story.pass(1_000);
    assert_eq!(story.says(|n| *n == Notice::Silent { from: silent }), 1);
    story.until_asked();
    assert_ne!(story.endpoint(), silent);
    // A quiet prefix moves on with the registry, so that it can be resumed.
    assert!(matches!(
        story.asked(),
        Act::Watch {
            start: Revision(41),
            ..
        }
    ));
}

/// Hard case 7: a registry that drops most hosts is believed at once, and staff are told.
#[rstest]
fn a_storm_of_leases_is_told_at_once() {
    let mut story = following(1);
    story.changes(&[gone("a", 12), gone("b", 12), gone("c", 12)], false);
    assert_eq!(story.told(), ["a gone", "b gone", "c gone"]);
    assert_eq!(
        story.says(|n| *n
            == Notice::MostVanished {
                up_before: 3,
                up: 0
            }),
        1
    );
}

/// Hard case 8: an entry that can't be read is named once and touches no other; its host stays as it was last read.
#[rstest]
#[case::no_json(b"active".to_vec(), "expected value")]
#[case::no_address(br#"{"status":"active"}"#.to_vec(), "missing field `address`")]
#[case::no_such_status(br#"{"address":"127.0.0.1:1","status":"odd"}"#.to_vec(), "unknown variant `odd`")]
#[case::names_another(br#"{"name":"b","address":"127.0.0.1:1","status":"leaving"}"#.to_vec(), "not its key")]
#[case::not_text(vec![0xff, 0xfe, 0], "expected value")]
fn an_entry_that_cannot_be_read(#[case] value: Vec<u8>, #[case] says: &str) {
    let mut story = following(2);
    let bad = |name: &str, modified| Change {
        name: name.to_owned(),
        modified: Revision(modified),
        value: Some(value.clone()),
    };
    story.changes(
        &[bad("a", 12), put("b", 12, "leaving"), bad("new", 12)],
        false,
    );
    assert_eq!(story.told(), ["b draining"]);
    let named = |story: &Story, wanted: &str| {
        story.says(|n| matches!(n, Notice::Unreadable { name, why } if name == wanted && why.contains(says)))
    };
    assert_eq!((named(&story, "a"), named(&story, "new")), (1, 1));
    // Read again as it stands, it is not named again.
    story.hear(Heard::Compacted).until_asked();
    let entries = [entry("b", 12, "leaving"), entry("c", 9, "active")];
    let unread = |name: &str| Entry {
        name: name.into(),
        modified: Revision(12),
        value: value.clone(),
    };
    story.page(
        30,
        &[&entries[..], &[unread("a"), unread("new")]].concat(),
        None,
    );
    assert_eq!((story.told(), named(&story, "a")), (vec![], 1));
    story
        .opened(30)
        .changes(&[gone("a", 31), put("new", 32, "active")], false);
    assert_eq!(
        story.told(),
        ["a gone", "new up"],
        "mended or gone, it counts"
    );
}

/// Hard case 9: changes of one host are folded; what waits to be told never holds more than the hosts there are.
#[rstest]
fn a_burst_is_folded() {
    let mut story = following(1);
    for revision in 11..50_011 {
        let name = format!("h{}", revision % 100);
        let status = if revision % 3 == 0 {
            "leaving"
        } else {
            "active"
        };
        story.changes(&[put(&name, revision, status)], false);
        story.acts.clear();
        story.acts.push(Act::AskProgress {
            call: Call(story.follower.status(story.now).counts.requests),
        });
    }
    assert_eq!(story.told().len(), 100);
    assert!(story.follower.status(story.now).folded > 30_000);
}

/// Hard case 10: away for long, it serves on from the last view, and says its age less and less often.
#[rstest]
fn a_registry_away_for_long() {
    let mut story = following(3);
    story.changes(&[put("a", 12, "active")], false);
    let began = story.now;
    story.hear(Heard::Failed {
        why: "cut".to_owned(),
    });
    let mut tries = 0;
    while story.now.since(began) < Span::from_millis(600_000) {
        story.until_asked();
        story.hear(Heard::Failed {
            why: "refused".to_owned(),
        });
        tries += 1;
    }
    assert_eq!(story.told(), [""; 0]);
    assert_eq!(story.follower.lines().len(), 3);
    let age = story
        .follower
        .status(story.now)
        .age
        .expect("it was heard of");
    assert!(age >= Span::from_millis(600_000));
    assert_eq!(
        story.says(|n| matches!(n, Notice::Away { .. })),
        6,
        "at 10, 20, 40, ... s"
    );
    assert!(
        (300..1_500).contains(&tries),
        "{tries} tries in 600 s at three endpoints"
    );
    story
        .until_asked()
        .opened(13)
        .hear(Heard::Progress { version: at(13) });
    assert_eq!(story.says(|n| matches!(n, Notice::Back { .. })), 1);
}

/// Hard case 11: other settings in the middle of a read: what is out counts no more, what is held stays.
#[rstest]
fn settings_move_in_the_middle_of_a_read() {
    let mut story = following(2);
    story.hear(Heard::Compacted).until_asked();
    story.page(50, &[entry("a", 3, "leaving")], Some("hosts/a"));
    let late = story.call();
    let moved = Plan {
        prefix: "others/".to_owned(),
        ..plan(Protocol::Etcd, 2)
    };
    let acts = story.follower.replan(story.now, moved);
    story.acts.extend(acts);
    let heard = Heard::Page {
        version: at(50),
        entries: vec![],
        more_after: None,
    };
    let late = story.follower.step(story.now, Some((late, heard)));
    assert!(late.is_empty(), "{late:?}");
    assert!(matches!(
        story.asked(),
        Act::Read {
            after: None,
            at: None,
            ..
        }
    ));
    // The same names and revisions stand for other entries there, in an older registry too.
    story.page(
        8,
        &[entry("a", 3, "leaving"), entry("b", 4, "active")],
        None,
    );
    assert_eq!(story.told(), ["a draining", "c gone"]);
}

/// Consul: whole answers are told by what differs; an index that goes back is asked for anew, and believed in time.
#[rstest]
fn blocking_reads() {
    let mut story = Story::new(plan(Protocol::Consul, 1));
    let whole = |index: u64, entries: &[Entry]| Heard::Whole {
        index: Revision(index),
        entries: entries.to_vec(),
        leader_heard: Some(Span::ZERO),
    };
    let both = [entry("a", 3, "active"), entry("b", 4, "active")];
    assert!(matches!(
        story.asked(),
        Act::Poll {
            index: Revision(0),
            ..
        }
    ));
    story.hear(whole(4, &both)).until_asked();
    assert_eq!(story.told(), ["all", "a up", "b up"]);
    assert!(matches!(
        story.asked(),
        Act::Poll {
            index: Revision(4),
            ..
        }
    ));
    // A wait that ends with nothing new.
    story.pass(4_000).hear(whole(4, &both)).until_asked();
    assert_eq!(story.told(), [""; 0]);
    story
        .hear(whole(9, &[entry("a", 9, "leaving")]))
        .until_asked();
    assert_eq!(story.told(), ["a draining", "b gone"]);
    let began = story.now;
    loop {
        story.hear(whole(2, &[entry("a", 2, "active")]));
        if !story.told().is_empty() {
            break;
        }
        story.until_asked();
        assert!(
            matches!(
                story.asked(),
                Act::Poll {
                    index: Revision(0),
                    ..
                }
            ),
            "asked for what there is"
        );
        assert!(
            story.now.since(began) < Span::from_millis(30_000),
            "never believed"
        );
    }
    assert!(story.now.since(began) >= Span::from_millis(5_000));
}

/// Consul: a server without a leader, or too far behind it, tells nothing; nor does an index of 0 make a busy loop.
#[rstest]
#[case::no_leader(None, 20)]
#[case::too_far_behind(Some(Span::from_millis(700)), 20)]
#[case::an_index_of_nought(Some(Span::ZERO), 0)]
fn stale_reads(#[case] leader_heard: Option<Span>, #[case] index: u64) {
    let stale = Plan {
        stale: Some(Span::from_millis(500)),
        ..plan(Protocol::Consul, 2)
    };
    let mut story = Story::new(stale);
    let (began, mut reads) = (story.now, 0);
    while story.now.since(began) < Span::from_millis(10_000) {
        story.hear(Heard::Whole {
            index: Revision(index),
            entries: vec![entry("a", 1, "active")],
            leader_heard,
        });
        story.until_asked();
        reads += 1;
    }
    assert!(reads <= 200, "{reads} reads in 10 s");
    assert_eq!(story.told().is_empty(), index == 20);
}
