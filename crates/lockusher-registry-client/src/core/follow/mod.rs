//! The follower: what is asked of which endpoint, and what is made of the answers.
//!
//! etcd (its published gRPC API): the prefix is read in pages that all show the first one's revision, then watched
//! from the next revision on. A watch that breaks is resumed after the last whole revision that was applied; if that
//! was compacted away, all is read again, and only what differs is told. Consul (its published HTTP API): each
//! blocking read brings the whole prefix once its index passes the one named.

mod answers;
mod exchange;
mod notice;
mod requests;
mod status;

pub use exchange::{Act, Call, Heard, Plan, Protocol};
pub use notice::{Notice, Why};
pub use status::{Counts, Status};

use std::collections::BTreeMap;

use lockusher_multiget::list::{Line, List};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{Span, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::contradictions::Doubt;
use super::endpoints::Endpoints;
use super::entry::{Change, Entry};
use super::view::{Untold, Version, View};

/// A read that is under way.
#[derive(Default)]
struct Draft {
    version: Version,
    /// By name, so that nothing is held twice.
    entries: BTreeMap<String, Entry>,
    begun: bool,
}

enum Stage {
    Resting {
        until: Time,
    },
    Reading {
        asked: Time,
        draft: Draft,
    },
    Opening {
        asked: Time,
    },
    Following {
        heard: Time,
        probed: bool,
        pending: Vec<Change>,
    },
    Polling {
        until: Time,
    },
}

/// Entries that one view may hold: some hundred MB would be a mistake in the prefix, not a fleet.
pub const MOST_ENTRIES: usize = 100_000;
/// Changes of one revision, split over several responses, that are kept until it is whole.
const MOST_PENDING: usize = 100_000;
/// Reads that met a compaction before pages grow: each then takes fewer, and the last of them one, which nothing
/// can be compacted between.
const PAGES_GROW: u32 = 4;
/// The longest rest between reads that compactions spoil.
const LONGEST_REST: Span = Span::from_millis(3_000);
/// Blocking reads of one mixer lie so far apart however fast the index moves: each brings the whole prefix.
const POLL_APART: Span = Span::from_millis(100);
/// The first time staff are told that the registry is away, and then at twice the age each time.
const AWAY: Span = Span::from_millis(10_000);
/// What is told lies so far apart at least, so that a burst is folded: a fortieth of the grace for a drain.
const TOLD_APART: Span = Span::from_millis(50);
/// And so much further for each entry held: to take news in, the router looks through all searchers. With 20,000 and
/// 5,000 changes a second, tellings 50 ms apart doubled the time that one multiget in a hundred took.
const TOLD_APART_EACH: f64 = 10e-6;
/// But never further than a quarter of the grace.
const TOLD_APART_MOST: Span = Span::from_millis(500);
/// A change after which less than this share of the searchers that were up is left is told of by itself.
const FEW_LEFT: f64 = 0.5;

/// Follows one registry. Owns the view; yields what is to be told.
pub struct Follower {
    plan: Plan,
    names: Names,
    rng: ChaCha8Rng,
    endpoints: Endpoints,
    doubt: Doubt,
    view: Option<View>,
    untold: Untold,
    told_whole: bool,
    stage: Stage,
    call: Call,
    /// Why the next try must read all; nothing if it may resume.
    rebuild: Option<Why>,
    /// What is read next is taken, whatever it contradicts.
    accept: bool,
    /// Reads in a row that met a compaction.
    spoilt: u32,
    vouched: Option<Time>,
    away_next: Span,
    counts: Counts,
}

impl Follower {
    /// `plan` names one endpoint at least.
    pub fn new(now: Time, plan: Plan, names: Names, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = Endpoints::new(now, plan.endpoints.len(), &mut rng);
        Follower {
            plan,
            names,
            rng,
            endpoints,
            doubt: Doubt::default(),
            view: None,
            untold: Untold::default(),
            told_whole: false,
            stage: Stage::Resting { until: now },
            call: Call(0),
            rebuild: Some(Why::Start),
            accept: true,
            spoilt: 0,
            vouched: None,
            away_next: AWAY,
            counts: Counts::default(),
        }
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Takes what came, then does what is due.
    pub fn step(&mut self, now: Time, heard: Option<(Call, Heard)>) -> Vec<Act> {
        let mut acts = Vec::new();
        if let Some((call, heard)) = heard
            && call == self.call
        {
            self.take(now, heard, &mut acts);
        }
        self.do_due(now, &mut acts);
        acts
    }

    /// When to step at the latest though nothing comes.
    pub fn due(&self) -> Time {
        let stage = match &self.stage {
            Stage::Resting { until } | Stage::Polling { until } => *until,
            Stage::Reading { asked, .. } | Stage::Opening { asked } => {
                *asked + self.plan.silent_after
            }
            Stage::Following {
                heard,
                probed: true,
                ..
            } => *heard + self.plan.silent_after,
            Stage::Following {
                heard,
                probed: false,
                ..
            } => *heard + self.plan.silent_after.times(0.5),
        };
        self.vouched
            .map_or(stage, |at| stage.min(at + self.away_next))
    }

    /// Whether there is something to tell.
    pub fn has_news(&self) -> bool {
        match &self.view {
            Some(_) => !self.told_whole || !self.untold.is_empty(),
            None => false,
        }
    }

    /// How far apart what is told should lie.
    pub fn told_apart(&self) -> Span {
        let entries = self.view.as_ref().map_or(0, View::entries);
        (TOLD_APART + Span::from_secs(entries as f64 * TOLD_APART_EACH)).min(TOLD_APART_MOST)
    }

    /// What has not been told: the whole view the first time, then each searcher that differs, once. It shows whole
    /// revisions only.
    pub fn news(&mut self) -> Option<List> {
        let view = self.view.as_ref().filter(|_| self.has_news())?;
        let complete = !std::mem::replace(&mut self.told_whole, true);
        let changes = self.untold.take();
        let lines = if complete {
            view.lines().cloned().collect()
        } else {
            changes
        };
        Some(List {
            index: view.version.revision.0,
            complete,
            lines,
        })
    }

    /// Other settings are in force from here on. What is held stays until what stands there has been read.
    pub fn replan(&mut self, now: Time, plan: Plan) -> Vec<Act> {
        if plan == self.plan {
            return Vec::new();
        }
        let other_place = plan.prefix != self.plan.prefix || plan.protocol != self.plan.protocol;
        let other_endpoints = !plan
            .endpoints
            .iter()
            .any(|endpoint| self.plan.endpoints.contains(endpoint));
        if self.view.is_some() && (other_place || other_endpoints) {
            // Revisions of another place say nothing of those held, and the operator means to go there.
            (self.rebuild, self.accept) = (Some(Why::Moved), true);
        }
        self.endpoints = Endpoints::new(now, plan.endpoints.len(), &mut self.rng);
        self.doubt.clear();
        self.plan = plan;
        self.stage = Stage::Resting { until: now };
        self.call.0 += 1;
        let mut acts = vec![Act::Close];
        self.do_due(now, &mut acts);
        acts
    }

    /// The view that is held; nothing before the first one.
    pub fn lines(&self) -> Vec<Line> {
        self.view.iter().flat_map(View::lines).cloned().collect()
    }

    pub fn status(&self, now: Time) -> Status {
        Status {
            stage: match &self.stage {
                Stage::Resting { .. } => "resting",
                Stage::Reading { .. } => "reading",
                Stage::Opening { .. } => "opening",
                Stage::Following { .. } | Stage::Polling { .. } => "following",
            },
            endpoint: self.endpoints.at(),
            version: self.view.as_ref().map(|view| view.version),
            entries: self.view.as_ref().map_or(0, View::entries),
            unreadable: self.view.as_ref().map_or(0, View::unreadable),
            age: self.vouched.map(|at| now.since(at)),
            folded: self.untold.folded,
            counts: self.counts,
        }
    }

    fn held(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.version)
    }

    fn do_due(&mut self, now: Time, acts: &mut Vec<Act>) {
        if let Some(at) = self.vouched
            && now.since(at) >= self.away_next
        {
            let hosts = self.view.as_ref().map_or(0, |view| view.lines().count());
            acts.push(Act::Say(Notice::Away {
                age: now.since(at),
                hosts,
            }));
            self.away_next = self.away_next.times(2.0);
        }
        if now < self.due() {
            return;
        }
        let silent_after = self.plan.silent_after;
        match &mut self.stage {
            Stage::Resting { until } if *until <= now => self.begin(now, acts),
            Stage::Following { heard, probed, .. }
                if !*probed && now.since(*heard) >= silent_after.times(0.5) =>
            {
                *probed = true;
                self.counts.requests += 1;
                acts.push(Act::AskProgress { call: self.call });
            }
            Stage::Reading { asked: since, .. }
            | Stage::Opening { asked: since }
            | Stage::Following { heard: since, .. }
                if now.since(*since) >= silent_after =>
            {
                self.silent(now, acts);
            }
            Stage::Polling { until } if *until <= now => self.silent(now, acts),
            _ => {}
        }
    }
}
