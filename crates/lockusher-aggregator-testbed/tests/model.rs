//! Properties of the follower against a simple model: whatever comes between, what it tells is the registry's state at
//! one revision, never a blend of two, and in the end it is the registry's truth.

use std::collections::BTreeMap;

use lockusher_aggregator_testbed::registry::store::{Event, Kv, Refused, Store, Write};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{SearcherState, Span, Time};
use lockusher_registry_client::core::entry::{Change, ClusterId, Entry, Revision};
use lockusher_registry_client::core::follow::{
    Action, Follower, Protocol, RegistrySettings, RequestId, Response,
};
use lockusher_registry_client::core::view::Version;
use proptest::prelude::*;

const PREFIX: &[u8] = b"hosts/";
const STATUSES: [&str; 2] = ["active", "leaving"];

#[derive(Clone, Debug)]
enum Op {
    /// One transaction: hosts with a status, or deleted.
    Write(Vec<(u8, Option<bool>)>),
    /// Another user of the registry writes.
    Noise,
    Compact,
    /// The registry answers what is asked, or goes on telling; changes come split into so many at once.
    Serve(usize),
    /// It answers as it stood so many revisions ago.
    ServeLagging(u64),
    /// What a watch was told from so many revisions back is told once more.
    Again(u64),
    Break,
    Pass(u64),
    Tell,
}

fn op() -> impl Strategy<Value = Op> {
    let write = (0..6_u8, prop::option::weighted(0.7, any::<bool>()));
    prop_oneof![
        4 => prop::collection::vec(write, 1..4).prop_map(Op::Write),
        1 => Just(Op::Noise),
        2 => Just(Op::Compact),
        12 => (1..4_usize).prop_map(Op::Serve),
        2 => (1..5_u64).prop_map(Op::ServeLagging),
        2 => (1..4_u64).prop_map(Op::Again),
        2 => Just(Op::Break),
        3 => (1..2_000_u64).prop_map(Op::Pass),
        3 => Just(Op::Tell),
    ]
}

type View = BTreeMap<String, String>;

struct World {
    store: Store,
    /// The hosts as they stood after each revision, whatever was compacted.
    truth: BTreeMap<u64, View>,
    follower: Follower,
    now: Time,
    /// What is asked, until it is answered.
    asked: Option<Action>,
    /// A watch that stands: its request, the next revision it is told, and what of one telling is still to come.
    watch: Option<(RequestId, u64, Vec<Response>)>,
    told: View,
    told_as: u64,
}

fn entry(key: Vec<u8>, kv: Kv) -> Entry {
    Entry {
        name: name(&key),
        modified: Revision(kv.modified),
        value: kv.value,
    }
}

fn change(event: &Event) -> Change {
    Change {
        name: name(&event.key),
        modified: Revision(event.revision),
        value: event.kv.as_ref().map(|kv| kv.value.clone()),
    }
}

fn name(key: &[u8]) -> String {
    String::from_utf8_lossy(&key[PREFIX.len()..]).into_owned()
}

impl World {
    fn new(protocol: Protocol, seed: u64) -> Self {
        let plan = RegistrySettings {
            protocol,
            endpoints: vec!["a:1".to_owned(), "b:1".to_owned()],
            prefix: "hosts/".to_owned(),
            page: 2,
            silent_after: Span::from_millis(1_000),
            // No lag of this model is for good.
            settle: Span::from_millis(1_000_000_000),
            wait: Span::from_millis(1_000),
            stale: None,
        };
        let now = Time::from_micros(1);
        let mut world = World {
            store: Store::new(9),
            truth: BTreeMap::from([(1, View::new())]),
            follower: Follower::new(now, plan, Names::default(), seed),
            now,
            asked: None,
            watch: None,
            told: View::new(),
            told_as: 0,
        };
        // Enough for several pages.
        world.write((0..6).map(|host| (host, Some(true))).collect());
        world.step(None);
        world
    }

    fn step(&mut self, heard: Option<(RequestId, Response)>) {
        for act in self.follower.step(self.now, heard) {
            match act {
                Action::Close => (self.asked, self.watch) = (None, None),
                Action::Notify(_) => {}
                act => self.asked = Some(act),
            }
        }
    }

    fn write(&mut self, writes: Vec<(u8, Option<bool>)>) {
        let write = |(host, status): (u8, Option<bool>)| {
            let key = [PREFIX, format!("h{host}").as_bytes()].concat();
            match status {
                Some(up) => {
                    let status = STATUSES[usize::from(!up)];
                    let value =
                        format!(r#"{{"address":"127.0.0.1:1","status":"{status}"}}"#).into_bytes();
                    Write::Put {
                        key,
                        value,
                        lease: 0,
                    }
                }
                None => Write::Delete { key },
            }
        };
        let revision = self.store.apply(writes.into_iter().map(write));
        let status = |kv: &Kv| {
            let leaving = String::from_utf8_lossy(&kv.value).contains(STATUSES[1]);
            STATUSES[usize::from(leaving)].to_owned()
        };
        let hosts = self
            .store
            .now()
            .iter()
            .filter(|(key, _)| key.starts_with(PREFIX));
        let view = hosts.map(|(key, kv)| (name(key), status(kv))).collect();
        self.truth.insert(revision, view);
    }

    fn version(&self, seen: u64) -> Version {
        Version {
            cluster: ClusterId(9),
            revision: Revision(seen),
        }
    }

    /// Answers what is asked, or tells the watch what came; `seen` is the newest revision that the member knows.
    fn serve(&mut self, seen: u64, split: usize) {
        let version = self.version(seen);
        match self.asked.take() {
            Some(Action::Read {
                request,
                after,
                limit,
                at,
                ..
            }) => {
                let at = at.map_or(seen, |at| at.0);
                let key = after.map_or_else(|| PREFIX.to_vec(), |last| [&last[..], &[0]].concat());
                let heard = match self.store.range(&key, b"hosts0", limit as usize, at) {
                    Ok((keys, more)) => Response::Page {
                        version,
                        continue_after: keys.last().filter(|_| more).map(|(key, _)| key.clone()),
                        entries: keys.into_iter().map(|(key, kv)| entry(key, kv)).collect(),
                    },
                    Err(Refused::Compacted) => Response::Compacted,
                    Err(Refused::Future) => Response::Failed {
                        reason: "future".to_owned(),
                    },
                };
                self.step(Some((request, heard)));
            }
            Some(Action::Watch { request, start, .. }) => {
                self.watch = Some((request, start.0, Vec::new()));
                self.step(Some((request, Response::WatchCreated { version })));
            }
            Some(Action::RequestProgress { request }) => {
                self.tell(seen, usize::MAX);
                while self.tell(seen, usize::MAX) {}
                if let Some((_, next, _)) = &self.watch {
                    let version = self.version(next - 1);
                    self.step(Some((request, Response::Progress { version })));
                }
            }
            Some(Action::Poll { request, index, .. }) => {
                let touched = self.store.touched(PREFIX, seen);
                let Ok((keys, _)) = self.store.range(PREFIX, b"hosts0", 0, seen) else {
                    return self.step(Some((
                        request,
                        Response::Failed {
                            reason: "500".to_owned(),
                        },
                    )));
                };
                if touched <= index.0 && index.0 > 0 && split == 1 {
                    // It holds the read on.
                    self.asked = Some(Action::Poll {
                        request,
                        endpoint: self.follower.status(self.now).endpoint,
                        index,
                        wait: Span::ZERO,
                        stale: false,
                    });
                    return;
                }
                let entries = keys.into_iter().map(|(key, kv)| entry(key, kv)).collect();
                let (index, leader_contact_age) = (Revision(touched), Some(Span::ZERO));
                self.step(Some((
                    request,
                    Response::Snapshot {
                        index,
                        entries,
                        leader_contact_age,
                    },
                )));
            }
            Some(Action::Close | Action::Notify(_)) | None => {
                self.tell(seen, split);
            }
        }
    }

    /// Tells the watch the next that it is to hear; whether there was something.
    fn tell(&mut self, seen: u64, split: usize) -> bool {
        let version = self.version(seen);
        let Some((request, next, rest)) = &mut self.watch else {
            return false;
        };
        let request = *request;
        if rest.is_empty() {
            let heard = match self.store.events(PREFIX, *next, seen) {
                Err(_) => vec![Response::Compacted],
                Ok(events) => {
                    *next = (*next).max(seen + 1);
                    let parts: Vec<Vec<Change>> = events
                        .chunks(split.min(1_000))
                        .map(|part| part.iter().map(change).collect())
                        .collect();
                    let count = parts.len();
                    let changes = parts.into_iter().enumerate();
                    changes
                        .map(|(i, changes)| Response::Changes {
                            version,
                            changes,
                            more: i + 1 < count,
                        })
                        .collect()
                }
            };
            *rest = heard;
        }
        if rest.is_empty() {
            return false;
        }
        let heard = rest.remove(0);
        self.step(Some((request, heard)));
        true
    }

    /// What is told is the state at the revision that it names.
    fn take_news(&mut self) {
        let Some(list) = self.follower.take_update() else {
            return;
        };
        assert!(
            list.index >= self.told_as,
            "the view went back from {} to {}",
            self.told_as,
            list.index
        );
        self.told_as = list.index;
        if list.complete {
            self.told.clear();
        }
        for (line, _) in &list.lines {
            match line.state {
                SearcherState::Up => self
                    .told
                    .insert(line.id.as_str().to_owned(), STATUSES[0].to_owned()),
                SearcherState::Draining => self
                    .told
                    .insert(line.id.as_str().to_owned(), STATUSES[1].to_owned()),
                SearcherState::Gone => self.told.remove(line.id.as_str()),
            };
        }
        let (_, truth) = self
            .truth
            .range(..=list.index)
            .next_back()
            .expect("it began empty");
        assert_eq!(&self.told, truth, "told as revision {}", list.index);
    }

    fn does(&mut self, op: Op) {
        let revision = self.store.revision();
        match op {
            Op::Write(writes) => self.write(writes),
            Op::Noise => {
                let noise = Write::Put {
                    key: b"others".to_vec(),
                    value: Vec::new(),
                    lease: 0,
                };
                let revision = self.store.apply([noise]);
                let last = self
                    .truth
                    .values()
                    .next_back()
                    .cloned()
                    .expect("it began empty");
                self.truth.insert(revision, last);
            }
            Op::Compact => self.store.compact(revision),
            Op::Serve(split) => self.serve(revision, split),
            Op::ServeLagging(by) => self.serve(revision.saturating_sub(by).max(1), 1),
            Op::Again(back) => {
                let Some((request, next, rest)) = &self.watch else {
                    return;
                };
                let (request, version) = (*request, self.version(revision));
                // Less the newest, so that taking it anew would show.
                let (from, to) = (next.saturating_sub(back + 1), next.saturating_sub(2));
                let again = if rest.is_empty() {
                    self.store.events(PREFIX, from, to)
                } else {
                    Ok(Vec::new())
                };
                let changes: Vec<Change> = again.unwrap_or_default().iter().map(change).collect();
                if !changes.is_empty() {
                    self.step(Some((
                        request,
                        Response::Changes {
                            version,
                            changes,
                            more: false,
                        },
                    )));
                }
            }
            Op::Break => {
                let request = match (&self.asked, &self.watch) {
                    (
                        Some(
                            Action::Read { request, .. }
                            | Action::Poll { request, .. }
                            | Action::Watch { request, .. },
                        ),
                        _,
                    ) => *request,
                    (_, Some((request, ..))) => *request,
                    _ => return,
                };
                self.step(Some((
                    request,
                    Response::Failed {
                        reason: "cut".to_owned(),
                    },
                )));
            }
            Op::Pass(ms) => {
                let end = self.now + Span::from_millis(ms);
                while self.follower.next_due() <= end {
                    self.now = self.now.max(self.follower.next_due());
                    self.step(None);
                }
                self.now = end;
            }
            Op::Tell => self.take_news(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_interleaving_ends_in_the_truth(
        consul in any::<bool>(),
        seed in any::<u64>(),
        ops in prop::collection::vec(op(), 1..120),
    ) {
        let protocol = if consul { Protocol::Consul } else { Protocol::Etcd };
        let mut world = World::new(protocol, seed);
        for op in ops {
            world.does(op);
        }
        // Quiet: the registry answers whatever is asked, at once.
        for _ in 0..60 {
            world.does(Op::Pass(400));
            for _ in 0..8 {
                world.does(Op::Serve(2));
            }
            world.does(Op::Tell);
        }
        let truth = world.truth.values().next_back().cloned().expect("it began empty");
        prop_assert_eq!(&world.told, &truth);
        prop_assert_eq!(world.follower.lines().len(), truth.len());
    }
}
