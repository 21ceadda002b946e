//! The follower: sends requests to endpoints, maintains the view from the responses, and yields its updates.
//!
//! etcd (its published gRPC API): the prefix is read in pages, all at the revision of the first one, then watched from
//! the next revision on. A broken watch is resumed after the last whole revision that was applied; if that revision has
//! been compacted, the whole prefix is read again, and only differences are yielded. Consul (its published HTTP API):
//! each blocking read returns the whole prefix once its index exceeds the requested one.

mod answers;
mod exchange;
mod notice;
mod requests;
mod status;

pub use exchange::{Action, Protocol, RegistrySettings, RequestId, Response};
pub use notice::{Notice, RebuildReason};
pub use status::{Counts, Status};

use std::collections::BTreeMap;

use lockusher_multiget::list::{List, LocatedSearcher};
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{Span, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::contradictions::Contradictions;
use super::endpoints::Endpoints;
use super::entry::{Change, Entry};
use super::view::{PendingUpdates, Version, View};

/// A read of several pages that has not completed.
#[derive(Default)]
struct PartialRead {
    version: Version,
    /// By name, so that there are no duplicates.
    entries: BTreeMap<String, Entry>,
    started: bool,
}

enum Stage {
    /// Waiting to send the next request.
    Waiting { until: Time },
    /// Reading pages.
    Reading {
        requested_at: Time,
        partial: PartialRead,
    },
    /// Waiting for the watch to be created.
    Opening { requested_at: Time },
    /// Receiving changes of the watch; `pending` are those of an incomplete revision.
    Following {
        last_received: Time,
        progress_requested: bool,
        pending: Vec<Change>,
    },
    /// Waiting for a blocking read.
    Polling { until: Time },
}

/// Limit on the entries of a view: more, some hundred MB, indicate a wrong prefix rather than a fleet.
pub const MAX_ENTRIES: usize = 100_000;
/// Limit on buffered changes of a revision that is split over several responses.
const MAX_PENDING_CHANGES: usize = 100_000;
/// Factor by which the page size grows after each read that failed because of a compaction: reads need fewer and fewer
/// pages, in the end a single one, which no compaction can interrupt.
const PAGE_GROWTH_FACTOR: u32 = 4;
/// Maximum backoff between reads that fail because of compactions.
const MAX_COMPACTION_BACKOFF: Span = Span::from_millis(3_000);
/// Interval between blocking reads of one mixer, however fast the index advances: each returns the whole prefix.
const MIN_POLL_INTERVAL: Span = Span::from_millis(100);
/// Age of the view at the first notice that the registry is away; the age doubles for each further notice.
const AWAY_NOTICE_AGE: Span = Span::from_millis(10_000);
/// Minimum interval between updates, so that bursts are coalesced: a fortieth of the grace period of a drain.
const MIN_UPDATE_INTERVAL: Span = Span::from_millis(50);
/// Added to the interval for each entry of the view: the router looks through all searchers on each update. With 20,000
/// entries and 5,000 changes a second, updates every 50 ms doubled the 99th percentile of the multiget latency.
const UPDATE_INTERVAL_PER_ENTRY_S: f64 = 10e-6;
/// Maximum interval between updates: a quarter of the grace period of a drain.
const MAX_UPDATE_INTERVAL: Span = Span::from_millis(500);
/// A change that leaves less than this share of the searchers up is logged.
const MIN_UP_RATIO: f64 = 0.5;

/// Follows one registry. Owns the view; yields its updates.
pub struct Follower {
    settings: RegistrySettings,
    names: Names,
    rng: ChaCha8Rng,
    endpoints: Endpoints,
    contradictions: Contradictions,
    view: Option<View>,
    pending_updates: PendingUpdates,
    full_view_sent: bool,
    stage: Stage,
    request: RequestId,
    /// Why the next attempt must read the whole view; none if it may resume the watch.
    rebuild_reason: Option<RebuildReason>,
    /// Accept the next read even if its version contradicts the view.
    accept_any_version: bool,
    /// Reads in a row that failed because of a compaction.
    compacted_reads: u32,
    /// When the registry last confirmed that the view is current.
    confirmed_at: Option<Time>,
    /// Age of the view at the next notice that the registry is away.
    next_away_notice_age: Span,
    counts: Counts,
}

impl Follower {
    /// Creates a follower without a view; `settings` must have at least one endpoint.
    pub fn new(now: Time, settings: RegistrySettings, names: Names, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = Endpoints::new(now, settings.endpoints.len(), &mut rng);
        Follower {
            settings,
            names,
            rng,
            endpoints,
            contradictions: Contradictions::default(),
            view: None,
            pending_updates: PendingUpdates::default(),
            full_view_sent: false,
            stage: Stage::Waiting { until: now },
            request: RequestId(0),
            rebuild_reason: Some(RebuildReason::Initial),
            accept_any_version: true,
            compacted_reads: 0,
            confirmed_at: None,
            next_away_notice_age: AWAY_NOTICE_AGE,
            counts: Counts::default(),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &RegistrySettings {
        &self.settings
    }

    /// Handles a response, then runs what is due.
    pub fn step(&mut self, now: Time, response: Option<(RequestId, Response)>) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some((request, response)) = response
            && request == self.request
        {
            self.handle_response(now, response, &mut actions);
        }
        self.run_due(now, &mut actions);
        actions
    }

    /// When [`Follower::step`] is due at the latest, even without a response.
    pub fn next_due(&self) -> Time {
        let stage_due = match &self.stage {
            Stage::Waiting { until } | Stage::Polling { until } => *until,
            Stage::Reading { requested_at, .. } | Stage::Opening { requested_at } => {
                *requested_at + self.settings.silent_after
            }
            Stage::Following {
                last_received,
                progress_requested: true,
                ..
            } => *last_received + self.settings.silent_after,
            Stage::Following {
                last_received,
                progress_requested: false,
                ..
            } => *last_received + self.settings.silent_after.times(0.5),
        };
        self.confirmed_at.map_or(stage_due, |at| {
            stage_due.min(at + self.next_away_notice_age)
        })
    }

    /// Whether there is an update to take.
    pub fn has_update(&self) -> bool {
        match &self.view {
            Some(_) => !self.full_view_sent || !self.pending_updates.is_empty(),
            None => false,
        }
    }

    /// The minimum interval between updates for the current size of the view.
    pub fn update_interval(&self) -> Span {
        let entries = self.view.as_ref().map_or(0, View::entries);
        (MIN_UPDATE_INTERVAL + Span::from_secs(entries as f64 * UPDATE_INTERVAL_PER_ENTRY_S))
            .min(MAX_UPDATE_INTERVAL)
    }

    /// Takes the next update: first the whole view, then each searcher that has changed, once. Updates cover whole
    /// revisions only.
    pub fn take_update(&mut self) -> Option<List> {
        let view = self.view.as_ref().filter(|_| self.has_update())?;
        let complete = !std::mem::replace(&mut self.full_view_sent, true);
        let changes = self.pending_updates.take();
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

    /// Applies new settings. The view is kept until the new registry or prefix has been read.
    pub fn apply_settings(&mut self, now: Time, settings: RegistrySettings) -> Vec<Action> {
        if settings == self.settings {
            return Vec::new();
        }
        let other_prefix =
            settings.prefix != self.settings.prefix || settings.protocol != self.settings.protocol;
        let other_endpoints = !settings
            .endpoints
            .iter()
            .any(|endpoint| self.settings.endpoints.contains(endpoint));
        if self.view.is_some() && (other_prefix || other_endpoints) {
            // Revisions of another registry or prefix can't be compared with the view's, and the operator intends the
            // change.
            (self.rebuild_reason, self.accept_any_version) =
                (Some(RebuildReason::SettingsChanged), true);
        }
        self.endpoints = Endpoints::new(now, settings.endpoints.len(), &mut self.rng);
        self.contradictions.clear();
        self.settings = settings;
        self.stage = Stage::Waiting { until: now };
        self.request.0 += 1;
        let mut actions = vec![Action::Close];
        self.run_due(now, &mut actions);
        actions
    }

    /// The lines of the view; none before the first read.
    pub fn lines(&self) -> Vec<LocatedSearcher> {
        self.view.iter().flat_map(View::lines).cloned().collect()
    }

    /// The status for operators.
    pub fn status(&self, now: Time) -> Status {
        Status {
            stage: match &self.stage {
                Stage::Waiting { .. } => "resting",
                Stage::Reading { .. } => "reading",
                Stage::Opening { .. } => "opening",
                Stage::Following { .. } | Stage::Polling { .. } => "following",
            },
            endpoint: self.endpoints.current(),
            version: self.view.as_ref().map(|view| view.version),
            entries: self.view.as_ref().map_or(0, View::entries),
            unreadable: self.view.as_ref().map_or(0, View::unreadable),
            age: self.confirmed_at.map(|at| now.since(at)),
            coalesced: self.pending_updates.coalesced,
            counts: self.counts,
        }
    }

    fn current_version(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.version)
    }

    fn run_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some(at) = self.confirmed_at
            && now.since(at) >= self.next_away_notice_age
        {
            let hosts = self.view.as_ref().map_or(0, |view| view.lines().count());
            actions.push(Action::Notify(Notice::Away {
                age: now.since(at),
                hosts,
            }));
            self.next_away_notice_age = self.next_away_notice_age.times(2.0);
        }
        if now < self.next_due() {
            return;
        }
        let silent_after = self.settings.silent_after;
        match &mut self.stage {
            Stage::Waiting { until } if *until <= now => self.start(now, actions),
            Stage::Following {
                last_received,
                progress_requested,
                ..
            } if !*progress_requested && now.since(*last_received) >= silent_after.times(0.5) => {
                *progress_requested = true;
                self.counts.requests += 1;
                actions.push(Action::RequestProgress {
                    request: self.request,
                });
            }
            Stage::Reading {
                requested_at: since,
                ..
            }
            | Stage::Opening {
                requested_at: since,
            }
            | Stage::Following {
                last_received: since,
                ..
            } if now.since(*since) >= silent_after => {
                self.timed_out(now, actions);
            }
            Stage::Polling { until } if *until <= now => self.timed_out(now, actions),
            _ => {}
        }
    }
}
