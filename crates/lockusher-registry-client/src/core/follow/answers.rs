//! Handles the responses of endpoints.

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::{
    AWAY_NOTICE_AGE, Action, Follower, MAX_COMPACTION_BACKOFF, MAX_ENTRIES, MAX_PENDING_CHANGES,
    MIN_POLL_INTERVAL, MIN_UP_RATIO, Notice, PAGE_GROWTH_FACTOR, PartialRead, RebuildReason,
    Response, Stage,
};
use crate::core::contradictions::Contradictions;
use crate::core::entry::{Change, Entry, Revision};
use crate::core::view::{Version, ViewChange};

impl Follower {
    /// The registry has confirmed that the view is current.
    fn confirm(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.next_away_notice_age > AWAY_NOTICE_AGE
            && let Some(at) = self.confirmed_at
        {
            actions.push(Action::Notify(Notice::Back { age: now.since(at) }));
        }
        (self.confirmed_at, self.next_away_notice_age) = (Some(now), AWAY_NOTICE_AGE);
    }

    /// Whether the reported version contradicts the view. If so, switches to another endpoint, or, once the
    /// contradiction is accepted, starts reading the whole view.
    fn contradicts_view(
        &mut self,
        now: Time,
        reported: Version,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(current) = self.current_version().filter(|current| {
            !self.accept_any_version && Contradictions::contradicts(*current, reported)
        }) else {
            self.contradictions.clear();
            return false;
        };
        let endpoint = self.endpoints.current();
        self.counts.contradictions += 1;
        if !self.contradictions.record(
            now,
            endpoint,
            reported,
            self.endpoints.count(),
            self.settings.settle,
        ) {
            actions.push(Action::Notify(Notice::Contradicts {
                endpoint,
                current,
                reported,
            }));
            self.switch_endpoint(now, actions);
            return true;
        }
        let other = reported.cluster != current.cluster;
        (self.rebuild_reason, self.accept_any_version) = (
            Some(if other {
                RebuildReason::OtherCluster
            } else {
                RebuildReason::RevisionDecreased
            }),
            true,
        );
        self.contradictions.clear();
        actions.push(Action::Close);
        self.start(now, actions);
        true
    }

    pub(super) fn handle_response(
        &mut self,
        now: Time,
        response: Response,
        actions: &mut Vec<Action>,
    ) {
        match response {
            Response::Failed { reason } => self.failed(now, reason, actions),
            Response::Compacted => self.compacted(now, actions),
            Response::Page {
                version,
                entries,
                continue_after,
            } => {
                self.page(now, version, entries, continue_after, actions);
            }
            Response::WatchCreated { version } => self.watch_created(now, version, actions),
            Response::Changes {
                version,
                changes,
                more,
            } => self.changes(now, version, changes, more, actions),
            Response::Progress { version } => self.progress(now, version, actions),
            Response::Snapshot {
                index,
                entries,
                leader_contact_age,
            } => {
                self.snapshot(now, index, entries, leader_contact_age, actions);
            }
        }
    }

    /// Schedules a read of the whole view, or a repeated one, after a backoff with jitter. Backoff and pages grow, so
    /// that a read succeeds even if the registry compacts all the time.
    fn compacted(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.counts.compactions += 1;
        actions.push(Action::Close);
        self.request.0 += 1;
        self.rebuild_reason = Some(RebuildReason::Compacted);
        let backoff = Span::from_millis(50)
            .times(2f64.powi(self.compacted_reads.min(10) as i32))
            .min(MAX_COMPACTION_BACKOFF);
        self.compacted_reads += 1;
        let until = self.endpoints.schedule_attempt(now, &mut self.rng);
        self.stage = Stage::Waiting {
            until: until + backoff.times(self.rng.random_range(0.0..1.0)),
        };
    }

    fn page(
        &mut self,
        now: Time,
        version: Version,
        entries: Vec<Entry>,
        continue_after: Option<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let Stage::Reading { partial, .. } = &mut self.stage else {
            return;
        };
        if !partial.started {
            (partial.version, partial.started) = (version, true);
            if self.contradicts_view(now, version, actions) {
                return;
            }
        } else if partial.version.cluster != version.cluster {
            return self.failed(
                now,
                "another cluster answers during a read".to_owned(),
                actions,
            );
        }
        let Stage::Reading {
            partial,
            requested_at,
        } = &mut self.stage
        else {
            return;
        };
        partial
            .entries
            .extend(entries.into_iter().map(|entry| (entry.name.clone(), entry)));
        if partial.entries.len() > MAX_ENTRIES {
            return self.failed(now, format!("more than {MAX_ENTRIES} entries"), actions);
        }
        if let Some(last) = continue_after {
            *requested_at = now;
            let at = Some(partial.version.revision);
            let growth = PAGE_GROWTH_FACTOR
                .checked_pow(self.compacted_reads)
                .unwrap_or(u32::MAX);
            let limit = self.settings.page.saturating_mul(growth);
            let request = self.next_request();
            actions.push(Action::Read {
                request,
                endpoint: self.endpoints.current(),
                after: Some(last),
                limit,
                at,
            });
            return;
        }
        let PartialRead {
            version, entries, ..
        } = std::mem::take(partial);
        self.replace_view(version, entries.into_values().collect(), actions);
        self.confirm(now, actions);
        self.start_watch(now, actions);
    }

    /// Replaces the view after a complete read.
    fn replace_view(&mut self, version: Version, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        let ignore_revisions = self.accept_any_version;
        let view = self.view.get_or_insert_default();
        let change = view.replace(
            version,
            entries,
            ignore_revisions,
            &self.names,
            &mut self.pending_updates,
        );
        let (entries, reason) = (view.entries(), self.rebuild_reason.take());
        self.accept_any_version = false;
        if reason.is_some() {
            self.counts.rebuilds += 1;
            let (written, removed) = (change.written, change.removed);
            actions.push(Action::Notify(Notice::Rebuilt {
                version,
                entries,
                written,
                removed,
            }));
        }
        self.report_change(change, actions);
    }

    /// Logs what operators should know about a change.
    fn report_change(&mut self, change: ViewChange, actions: &mut Vec<Action>) {
        let ViewChange {
            up_before,
            up,
            unreadable,
            ..
        } = change;
        if (up as f64) < up_before as f64 * MIN_UP_RATIO {
            actions.push(Action::Notify(Notice::MostVanished { up_before, up }));
        }
        for (name, reason) in unreadable {
            self.counts.unreadable += 1;
            actions.push(Action::Notify(Notice::Unreadable { name, reason }));
        }
    }

    fn watch_created(&mut self, now: Time, version: Version, actions: &mut Vec<Action>) {
        if !matches!(self.stage, Stage::Opening { .. })
            || self.contradicts_view(now, version, actions)
        {
            return;
        }
        let revision = self.current_version().unwrap_or_default().revision;
        actions.push(Action::Notify(Notice::Following {
            endpoint: self.endpoints.current(),
            revision,
        }));
        self.endpoints.record_success(now);
        self.stage = Stage::Following {
            last_received: now,
            progress_requested: false,
            pending: Vec::new(),
        };
    }

    fn changes(
        &mut self,
        now: Time,
        version: Version,
        changes: Vec<Change>,
        more: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.rejects_other_cluster(now, version, actions) {
            return;
        }
        let Stage::Following {
            last_received,
            progress_requested,
            pending,
        } = &mut self.stage
        else {
            return;
        };
        (*last_received, *progress_requested) = (now, false);
        pending.extend(changes);
        if more {
            if pending.len() > MAX_PENDING_CHANGES {
                self.rebuild_reason = Some(RebuildReason::TooManyPendingChanges);
                self.failed(now, "too many changes in one revision".to_owned(), actions);
            }
            return;
        }
        let changes = std::mem::take(pending);
        // The watch made progress: later compactions start again with the smallest backoff and page size.
        self.compacted_reads = 0;
        if let Some(view) = &mut self.view {
            let change = view.apply(changes, &self.names, &mut self.pending_updates);
            self.report_change(change, actions);
        }
        self.confirm(now, actions);
    }

    /// Advances the view's revision although no entry has changed: otherwise the watch of a quiet prefix in a busy
    /// registry could not be resumed, as its old revision would have been compacted.
    fn progress(&mut self, now: Time, version: Version, actions: &mut Vec<Action>) {
        if self.rejects_other_cluster(now, version, actions) {
            return;
        }
        let Stage::Following {
            last_received,
            progress_requested,
            pending,
        } = &mut self.stage
        else {
            return;
        };
        (*last_received, *progress_requested) = (now, false);
        if pending.is_empty()
            && let Some(view) = &mut self.view
            && version.revision >= view.version.revision
        {
            view.version.revision = version.revision;
            self.compacted_reads = 0;
            self.confirm(now, actions);
        }
    }

    fn rejects_other_cluster(
        &mut self,
        now: Time,
        version: Version,
        actions: &mut Vec<Action>,
    ) -> bool {
        let other = self
            .current_version()
            .is_some_and(|current| current.cluster != version.cluster);
        if other {
            self.failed(
                now,
                "another cluster answers on an open watch".to_owned(),
                actions,
            );
        }
        other
    }

    fn snapshot(
        &mut self,
        now: Time,
        index: Revision,
        entries: Vec<Entry>,
        leader_contact_age: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(self.stage, Stage::Polling { .. }) {
            return;
        }
        let max_age = self.settings.stale.unwrap_or(Span::MAX);
        if leader_contact_age.is_none_or(|ago| ago > max_age) {
            return self.failed(
                now,
                "it has no leader, or its last contact with the leader is too old".to_owned(),
                actions,
            );
        }
        if entries.len() > MAX_ENTRIES {
            return self.failed(now, format!("more than {MAX_ENTRIES} entries"), actions);
        }
        // A blocking read with index 0 returns at once, which would make a busy loop.
        let index = index.max(Revision(1));
        let version = Version {
            revision: index,
            ..Version::default()
        };
        if self.contradicts_view(now, version, actions) {
            return;
        }
        self.replace_view(version, entries, actions);
        self.endpoints.record_success(now);
        self.confirm(now, actions);
        self.stage = Stage::Waiting {
            until: now + MIN_POLL_INTERVAL.times(self.rng.random_range(0.5..1.0)),
        };
    }
}
