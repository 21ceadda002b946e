//! The follower: what is asked of which endpoint, and what is made of the answers.
//!
//! etcd (its published gRPC API): the prefix is read in pages that all show the first one's revision, then watched
//! from the next revision on. A watch that breaks is resumed after the last whole revision that was applied; if that
//! was compacted away, all is read again, and only what differs is told. Consul (its published HTTP API): each
//! blocking read brings the whole prefix once its index passes the one named.

use std::collections::BTreeMap;
use std::fmt;

use lockusher::interface::{Span, Time};
use lockusher_host::list::{Line, List};
use lockusher_host::settings::Names;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::doubt::Doubt;
use super::endpoints::{EndpointId, Endpoints};
use super::entry::{Change, Entry, Revision};
use super::view::{Altered, Untold, Version, View};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Etcd,
    Consul,
}

/// What the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub protocol: Protocol,
    /// Addresses with ports; one at least.
    pub endpoints: Vec<String>,
    /// The keys that begin so are searchers' entries, named by the rest of the key.
    pub prefix: String,
    /// Entries in one page of a read; 0 reads all at once.
    pub page: u32,
    /// An endpoint that says nothing for so long is left for another.
    pub silent_after: Span,
    /// For how long more than half of the endpoints must contradict what is held before they are believed.
    pub settle: Span,
    /// How long a blocking read may be held.
    pub wait: Span,
    /// Whether any server may answer, and how long ago at most it heard of its leader.
    pub stale: Option<Span>,
}

/// One request that is out; what comes for an earlier one is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call(pub u64);

/// What the transport is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Reads a page of the prefix: after a key, at a revision if one is named.
    Read { call: Call, from: EndpointId, after: Option<Vec<u8>>, limit: u32, at: Option<Revision> },
    /// Watches the prefix from a revision on.
    Watch { call: Call, from: EndpointId, start: Revision },
    /// Asks the watch that is open how far it has come.
    AskProgress { call: Call },
    /// Reads the whole prefix once its index has passed one.
    Poll { call: Call, from: EndpointId, index: Revision, wait: Span, stale: bool },
    /// Closes what is open; nothing more of it counts.
    Close,
    /// For the log.
    Say(Notice),
}

/// What came for a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// A page, and its last key if more follow.
    Page { version: Version, entries: Vec<Entry>, more_after: Option<Vec<u8>> },
    /// The revision asked for is no longer there.
    Compacted,
    /// The watch stands.
    Opened { version: Version },
    /// Changes; `more` belong to the same revisions and follow.
    Changes { version: Version, changes: Vec<Change>, more: bool },
    /// All changes up to here have come.
    Progress { version: Version },
    /// The whole prefix; how long ago its server heard of the leader, if it knows one.
    Whole { index: Revision, entries: Vec<Entry>, leader_heard: Option<Span> },
    /// The call ended otherwise.
    Failed { why: String },
}

/// Why all is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Start,
    Compacted,
    OtherCluster,
    WentBack,
    Moved,
    TooMuch,
}

/// What staff should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    Following { from: EndpointId, revision: Revision },
    Rebuilding { why: Why },
    Rebuilt { version: Version, entries: usize, written: usize, vanished: usize },
    Failed { from: EndpointId, why: String },
    Silent { from: EndpointId },
    Contradicts { from: EndpointId, held: Version, said: Version },
    Unreadable { name: String, why: String },
    MostVanished { up_before: usize, up: usize },
    Away { age: Span, hosts: usize },
    Back { age: Span },
}

impl Notice {
    /// A word for it, for who filters logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Notice::Following { .. } => "following",
            Notice::Rebuilding { .. } => "rebuilding",
            Notice::Rebuilt { .. } => "rebuilt",
            Notice::Failed { .. } => "failed",
            Notice::Silent { .. } => "silent",
            Notice::Contradicts { .. } => "contradicts",
            Notice::Unreadable { .. } => "unreadable",
            Notice::MostVanished { .. } => "most_vanished",
            Notice::Away { .. } => "away",
            Notice::Back { .. } => "back",
        }
    }

    pub fn is_trouble(&self) -> bool {
        use Notice::{Back, Following, Rebuilding, Rebuilt};
        !matches!(self, Following { .. } | Rebuilding { .. } | Rebuilt { .. } | Back { .. })
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Notice::Following { from, revision } => {
                write!(f, "registry: endpoint {} is followed from revision {}", from.0, revision.0)
            }
            Notice::Rebuilding { why } => {
                let why = match why {
                    Why::Start => "nothing is held yet",
                    Why::Compacted => "what came since was compacted away",
                    Why::OtherCluster => "another cluster answers",
                    Why::WentBack => "the registry went back to an earlier state",
                    Why::Moved => "the settings name another place",
                    Why::TooMuch => "more came at once than is kept",
                };
                write!(f, "registry: all is read: {why}")
            }
            Notice::Rebuilt { version, entries, written, vanished } => write!(
                f,
                "registry: cluster {:x} read at revision {}: {entries} entries, {written} written and {vanished} \
                 vanished since",
                version.cluster.0, version.revision.0
            ),
            Notice::Failed { from, why } => write!(f, "registry: endpoint {}: {why}", from.0),
            Notice::Silent { from } => write!(f, "registry: endpoint {} says nothing", from.0),
            Notice::Contradicts { from, held, said } => write!(
                f,
                "registry: endpoint {} is passed over: it is at revision {} of cluster {:x}, held is {} of {:x}",
                from.0, said.revision.0, said.cluster.0, held.revision.0, held.cluster.0
            ),
            Notice::Unreadable { name, why } => write!(f, "registry: entry {name:?} can't be read: {why}"),
            Notice::MostVanished { up_before, up } => {
                write!(f, "registry: of {up_before} searchers that were up, {up} are left after one change")
            }
            Notice::Away { age, hosts } => write!(
                f,
                "registry: away; {hosts} searchers are served from a view {:.0} s old",
                age.as_secs()
            ),
            Notice::Back { age } => write!(f, "registry: back after {:.1} s", age.as_secs()),
        }
    }
}

/// Events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub failures: u64,
    pub silences: u64,
    pub compactions: u64,
    pub rebuilds: u64,
    pub contradictions: u64,
    pub unreadable: u64,
    /// Acts that asked an endpoint for something.
    pub requests: u64,
}

/// How things stand, for whoever asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub stage: &'static str,
    pub endpoint: EndpointId,
    pub version: Option<Version>,
    pub entries: usize,
    pub unreadable: usize,
    /// How long ago the registry last vouched for the view.
    pub age: Option<Span>,
    /// Changes that another overtook before they were told.
    pub folded: u64,
    pub counts: Counts,
}

/// A read that is under way.
#[derive(Default)]
struct Draft {
    version: Version,
    /// By name, so that nothing is held twice.
    entries: BTreeMap<String, Entry>,
    begun: bool,
}

enum Stage {
    Resting { until: Time },
    Reading { asked: Time, draft: Draft },
    Opening { asked: Time },
    Following { heard: Time, probed: bool, pending: Vec<Change> },
    Polling { until: Time },
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
            Stage::Reading { asked, .. } | Stage::Opening { asked } => *asked + self.plan.silent_after,
            Stage::Following { heard, probed: true, .. } => *heard + self.plan.silent_after,
            Stage::Following { heard, probed: false, .. } => *heard + self.plan.silent_after.times(0.5),
        };
        self.vouched.map_or(stage, |at| stage.min(at + self.away_next))
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
        let lines = if complete { view.lines().cloned().collect() } else { changes };
        Some(List { index: view.version.revision.0, complete, lines })
    }

    /// Other settings are in force from here on. What is held stays until what stands there has been read.
    pub fn replan(&mut self, now: Time, plan: Plan) -> Vec<Act> {
        if plan == self.plan {
            return Vec::new();
        }
        let other_place = plan.prefix != self.plan.prefix || plan.protocol != self.plan.protocol;
        let other_endpoints = !plan.endpoints.iter().any(|endpoint| self.plan.endpoints.contains(endpoint));
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
            acts.push(Act::Say(Notice::Away { age: now.since(at), hosts }));
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

    fn silent(&mut self, now: Time, acts: &mut Vec<Act>) {
        self.counts.silences += 1;
        acts.push(Act::Say(Notice::Silent { from: self.endpoints.at() }));
        self.leave(now, acts);
    }

    fn failed(&mut self, now: Time, why: String, acts: &mut Vec<Act>) {
        self.counts.failures += 1;
        acts.push(Act::Say(Notice::Failed { from: self.endpoints.at(), why }));
        self.leave(now, acts);
    }

    /// The endpoint at hand is left for another. What came of a read, or of a revision that is not whole, is dropped.
    fn leave(&mut self, now: Time, acts: &mut Vec<Act>) {
        acts.push(Act::Close);
        self.call.0 += 1;
        let until = self.endpoints.failed(now, &mut self.rng);
        self.stage = Stage::Resting { until };
    }

    fn next_call(&mut self) -> Call {
        self.call.0 += 1;
        self.counts.requests += 1;
        self.call
    }

    fn begin(&mut self, now: Time, acts: &mut Vec<Act>) {
        if let Some(why) = self.rebuild {
            acts.push(Act::Say(Notice::Rebuilding { why }));
        }
        match self.plan.protocol {
            Protocol::Consul => self.poll(now, acts),
            Protocol::Etcd if self.rebuild.is_some() => self.read(now, acts),
            Protocol::Etcd => self.open(now, acts),
        }
    }

    /// Begins to read all.
    fn read(&mut self, now: Time, acts: &mut Vec<Act>) {
        let grown = PAGES_GROW.checked_pow(self.spoilt).unwrap_or(u32::MAX);
        let page = self.plan.page.saturating_mul(grown);
        let limit = if page as usize >= MOST_ENTRIES { 0 } else { page };
        let call = self.next_call();
        acts.push(Act::Read { call, from: self.endpoints.at(), after: None, limit, at: None });
        self.stage = Stage::Reading { asked: now, draft: Draft::default() };
    }

    /// Watches from the revision after the one held.
    fn open(&mut self, now: Time, acts: &mut Vec<Act>) {
        let held = self.held().unwrap_or_default();
        let start = Revision(held.revision.0 + 1);
        let call = self.next_call();
        acts.push(Act::Watch { call, from: self.endpoints.at(), start });
        self.stage = Stage::Opening { asked: now };
    }

    fn poll(&mut self, now: Time, acts: &mut Vec<Act>) {
        // Index 0 is answered at once, with what is there.
        let at_once = self.rebuild.is_some() || self.doubt.any();
        let index = if at_once { Revision(0) } else { self.held().unwrap_or_default().revision };
        let call = self.next_call();
        let (wait, stale) = (self.plan.wait, self.plan.stale.is_some());
        acts.push(Act::Poll { call, from: self.endpoints.at(), index, wait, stale });
        // Servers spread the ends of waits by a sixteenth.
        let until = now + wait + wait.times(1.0 / 16.0) + self.plan.silent_after;
        self.stage = Stage::Polling { until };
    }

    /// The registry vouches for the view as it is held now.
    fn vouch(&mut self, now: Time, acts: &mut Vec<Act>) {
        if self.away_next > AWAY
            && let Some(at) = self.vouched
        {
            acts.push(Act::Say(Notice::Back { age: now.since(at) }));
        }
        (self.vouched, self.away_next) = (Some(now), AWAY);
    }

    /// Whether what the endpoint says can't follow on what is held; it is left then, or believed for good.
    fn contradicted(&mut self, now: Time, said: Version, acts: &mut Vec<Act>) -> bool {
        let Some(held) = self.held().filter(|held| !self.accept && Doubt::contradicts(*held, said)) else {
            self.doubt.clear();
            return false;
        };
        let from = self.endpoints.at();
        self.counts.contradictions += 1;
        if !self.doubt.note(now, from, said, self.endpoints.count(), self.plan.settle) {
            acts.push(Act::Say(Notice::Contradicts { from, held, said }));
            self.leave(now, acts);
            return true;
        }
        let other = said.cluster != held.cluster;
        (self.rebuild, self.accept) = (Some(if other { Why::OtherCluster } else { Why::WentBack }), true);
        self.doubt.clear();
        acts.push(Act::Close);
        self.begin(now, acts);
        true
    }

    fn take(&mut self, now: Time, heard: Heard, acts: &mut Vec<Act>) {
        match heard {
            Heard::Failed { why } => self.failed(now, why, acts),
            Heard::Compacted => self.compacted(now, acts),
            Heard::Page { version, entries, more_after } => {
                self.page(now, version, entries, more_after, acts);
            }
            Heard::Opened { version } => self.opened(now, version, acts),
            Heard::Changes { version, changes, more } => self.changes(now, version, changes, more, acts),
            Heard::Progress { version } => self.progress(now, version, acts),
            Heard::Whole { index, entries, leader_heard } => {
                self.whole(now, index, entries, leader_heard, acts);
            }
        }
    }

    /// All must be read, again if it was being read: after a rest that grows and differs from mixer to mixer, with
    /// larger pages, so that a registry that compacts all the time still lets a read through.
    fn compacted(&mut self, now: Time, acts: &mut Vec<Act>) {
        self.counts.compactions += 1;
        acts.push(Act::Close);
        self.call.0 += 1;
        self.rebuild = Some(Why::Compacted);
        let rest = Span::from_millis(50).times(2f64.powi(self.spoilt.min(10) as i32)).min(LONGEST_REST);
        self.spoilt += 1;
        let until = self.endpoints.after(now, &mut self.rng);
        self.stage = Stage::Resting { until: until + rest.times(self.rng.random_range(0.0..1.0)) };
    }

    fn page(
        &mut self,
        now: Time,
        version: Version,
        entries: Vec<Entry>,
        more_after: Option<Vec<u8>>,
        acts: &mut Vec<Act>,
    ) {
        let Stage::Reading { draft, .. } = &mut self.stage else { return };
        if !draft.begun {
            (draft.version, draft.begun) = (version, true);
            if self.contradicted(now, version, acts) {
                return;
            }
        } else if draft.version.cluster != version.cluster {
            return self.failed(now, "another cluster answers in the middle of a read".to_owned(), acts);
        }
        let Stage::Reading { draft, asked } = &mut self.stage else { return };
        draft.entries.extend(entries.into_iter().map(|entry| (entry.name.clone(), entry)));
        if draft.entries.len() > MOST_ENTRIES {
            return self.failed(now, format!("more than {MOST_ENTRIES} entries"), acts);
        }
        if let Some(last) = more_after {
            *asked = now;
            let at = Some(draft.version.revision);
            let grown = PAGES_GROW.checked_pow(self.spoilt).unwrap_or(u32::MAX);
            let limit = self.plan.page.saturating_mul(grown);
            let call = self.next_call();
            acts.push(Act::Read { call, from: self.endpoints.at(), after: Some(last), limit, at });
            return;
        }
        let Draft { version, entries, .. } = std::mem::take(draft);
        self.rebuilt(version, entries.into_values().collect(), acts);
        self.vouch(now, acts);
        self.open(now, acts);
    }

    /// Takes a whole view that was read.
    fn rebuilt(&mut self, version: Version, entries: Vec<Entry>, acts: &mut Vec<Act>) {
        let anew = self.accept;
        let view = self.view.get_or_insert_default();
        let altered = view.replace(version, entries, anew, &self.names, &mut self.untold);
        let (entries, why) = (view.entries(), self.rebuild.take());
        self.accept = false;
        if why.is_some() {
            self.counts.rebuilds += 1;
            let (written, vanished) = (altered.written, altered.vanished);
            acts.push(Act::Say(Notice::Rebuilt { version, entries, written, vanished }));
        }
        self.altered(altered, acts);
    }

    /// What staff should know of a change.
    fn altered(&mut self, altered: Altered, acts: &mut Vec<Act>) {
        let Altered { up_before, up, unreadable, .. } = altered;
        if (up as f64) < up_before as f64 * FEW_LEFT {
            acts.push(Act::Say(Notice::MostVanished { up_before, up }));
        }
        for (name, why) in unreadable {
            self.counts.unreadable += 1;
            acts.push(Act::Say(Notice::Unreadable { name, why }));
        }
    }

    fn opened(&mut self, now: Time, version: Version, acts: &mut Vec<Act>) {
        if !matches!(self.stage, Stage::Opening { .. }) || self.contradicted(now, version, acts) {
            return;
        }
        let revision = self.held().unwrap_or_default().revision;
        acts.push(Act::Say(Notice::Following { from: self.endpoints.at(), revision }));
        self.endpoints.good(now);
        self.stage = Stage::Following { heard: now, probed: false, pending: Vec::new() };
    }

    fn changes(
        &mut self,
        now: Time,
        version: Version,
        changes: Vec<Change>,
        more: bool,
        acts: &mut Vec<Act>,
    ) {
        if self.other_cluster(now, version, acts) {
            return;
        }
        let Stage::Following { heard, probed, pending } = &mut self.stage else { return };
        (*heard, *probed) = (now, false);
        pending.extend(changes);
        if more {
            if pending.len() > MOST_PENDING {
                self.rebuild = Some(Why::TooMuch);
                self.failed(now, "a revision that never ends".to_owned(), acts);
            }
            return;
        }
        let whole = std::mem::take(pending);
        // It came through: the next compaction finds a view that moved on.
        self.spoilt = 0;
        if let Some(view) = &mut self.view {
            let altered = view.apply(whole, &self.names, &mut self.untold);
            self.altered(altered, acts);
        }
        self.vouch(now, acts);
    }

    /// The revision held moves on though no entry changed: a quiet prefix in a busy registry could not be resumed
    /// from an old one.
    fn progress(&mut self, now: Time, version: Version, acts: &mut Vec<Act>) {
        if self.other_cluster(now, version, acts) {
            return;
        }
        let Stage::Following { heard, probed, pending } = &mut self.stage else { return };
        (*heard, *probed) = (now, false);
        if pending.is_empty()
            && let Some(view) = &mut self.view
            && version.revision >= view.version.revision
        {
            view.version.revision = version.revision;
            self.spoilt = 0;
            self.vouch(now, acts);
        }
    }

    fn other_cluster(&mut self, now: Time, version: Version, acts: &mut Vec<Act>) -> bool {
        let other = self.held().is_some_and(|held| held.cluster != version.cluster);
        if other {
            self.failed(now, "another cluster answers on an open watch".to_owned(), acts);
        }
        other
    }

    fn whole(
        &mut self,
        now: Time,
        index: Revision,
        entries: Vec<Entry>,
        leader_heard: Option<Span>,
        acts: &mut Vec<Act>,
    ) {
        if !matches!(self.stage, Stage::Polling { .. }) {
            return;
        }
        let longest = self.plan.stale.unwrap_or(Span::MAX);
        if leader_heard.is_none_or(|ago| ago > longest) {
            return self.failed(now, "it has not heard of its leader for too long".to_owned(), acts);
        }
        if entries.len() > MOST_ENTRIES {
            return self.failed(now, format!("more than {MOST_ENTRIES} entries"), acts);
        }
        // An index of 0 would be answered at once, over and over.
        let index = index.max(Revision(1));
        let version = Version { revision: index, ..Version::default() };
        if self.contradicted(now, version, acts) {
            return;
        }
        self.rebuilt(version, entries, acts);
        self.endpoints.good(now);
        self.vouch(now, acts);
        self.stage = Stage::Resting { until: now + POLL_APART.times(self.rng.random_range(0.5..1.0)) };
    }
}
