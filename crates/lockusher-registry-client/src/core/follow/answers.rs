//! What is made of the answers.

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;

use super::{
    AWAY, Act, Draft, FEW_LEFT, Follower, Heard, LONGEST_REST, MOST_ENTRIES, MOST_PENDING, Notice,
    PAGES_GROW, POLL_APART, Stage, Why,
};
use crate::core::contradictions::Doubt;
use crate::core::entry::{Change, Entry, Revision};
use crate::core::view::{Altered, Version};

impl Follower {
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
        let Some(held) = self
            .held()
            .filter(|held| !self.accept && Doubt::contradicts(*held, said))
        else {
            self.doubt.clear();
            return false;
        };
        let from = self.endpoints.at();
        self.counts.contradictions += 1;
        if !self
            .doubt
            .note(now, from, said, self.endpoints.count(), self.plan.settle)
        {
            acts.push(Act::Say(Notice::Contradicts { from, held, said }));
            self.leave(now, acts);
            return true;
        }
        let other = said.cluster != held.cluster;
        (self.rebuild, self.accept) = (
            Some(if other {
                Why::OtherCluster
            } else {
                Why::WentBack
            }),
            true,
        );
        self.doubt.clear();
        acts.push(Act::Close);
        self.begin(now, acts);
        true
    }

    pub(super) fn take(&mut self, now: Time, heard: Heard, acts: &mut Vec<Act>) {
        match heard {
            Heard::Failed { why } => self.failed(now, why, acts),
            Heard::Compacted => self.compacted(now, acts),
            Heard::Page {
                version,
                entries,
                more_after,
            } => {
                self.page(now, version, entries, more_after, acts);
            }
            Heard::Opened { version } => self.opened(now, version, acts),
            Heard::Changes {
                version,
                changes,
                more,
            } => self.changes(now, version, changes, more, acts),
            Heard::Progress { version } => self.progress(now, version, acts),
            Heard::Whole {
                index,
                entries,
                leader_heard,
            } => {
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
        let rest = Span::from_millis(50)
            .times(2f64.powi(self.spoilt.min(10) as i32))
            .min(LONGEST_REST);
        self.spoilt += 1;
        let until = self.endpoints.after(now, &mut self.rng);
        self.stage = Stage::Resting {
            until: until + rest.times(self.rng.random_range(0.0..1.0)),
        };
    }

    fn page(
        &mut self,
        now: Time,
        version: Version,
        entries: Vec<Entry>,
        more_after: Option<Vec<u8>>,
        acts: &mut Vec<Act>,
    ) {
        let Stage::Reading { draft, .. } = &mut self.stage else {
            return;
        };
        if !draft.begun {
            (draft.version, draft.begun) = (version, true);
            if self.contradicted(now, version, acts) {
                return;
            }
        } else if draft.version.cluster != version.cluster {
            return self.failed(
                now,
                "another cluster answers in the middle of a read".to_owned(),
                acts,
            );
        }
        let Stage::Reading { draft, asked } = &mut self.stage else {
            return;
        };
        draft
            .entries
            .extend(entries.into_iter().map(|entry| (entry.name.clone(), entry)));
        if draft.entries.len() > MOST_ENTRIES {
            return self.failed(now, format!("more than {MOST_ENTRIES} entries"), acts);
        }
        if let Some(last) = more_after {
            *asked = now;
            let at = Some(draft.version.revision);
            let grown = PAGES_GROW.checked_pow(self.spoilt).unwrap_or(u32::MAX);
            let limit = self.plan.page.saturating_mul(grown);
            let call = self.next_call();
            acts.push(Act::Read {
                call,
                from: self.endpoints.at(),
                after: Some(last),
                limit,
                at,
            });
            return;
        }
        let Draft {
            version, entries, ..
        } = std::mem::take(draft);
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
            acts.push(Act::Say(Notice::Rebuilt {
                version,
                entries,
                written,
                vanished,
            }));
        }
        self.altered(altered, acts);
    }

    /// What staff should know of a change.
    fn altered(&mut self, altered: Altered, acts: &mut Vec<Act>) {
        let Altered {
            up_before,
            up,
            unreadable,
            ..
        } = altered;
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
        acts.push(Act::Say(Notice::Following {
            from: self.endpoints.at(),
            revision,
        }));
        self.endpoints.good(now);
        self.stage = Stage::Following {
            heard: now,
            probed: false,
            pending: Vec::new(),
        };
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
        let Stage::Following {
            heard,
            probed,
            pending,
        } = &mut self.stage
        else {
            return;
        };
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
        let Stage::Following {
            heard,
            probed,
            pending,
        } = &mut self.stage
        else {
            return;
        };
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
        let other = self
            .held()
            .is_some_and(|held| held.cluster != version.cluster);
        if other {
            self.failed(
                now,
                "another cluster answers on an open watch".to_owned(),
                acts,
            );
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
            return self.failed(
                now,
                "it has not heard of its leader for too long".to_owned(),
                acts,
            );
        }
        if entries.len() > MOST_ENTRIES {
            return self.failed(now, format!("more than {MOST_ENTRIES} entries"), acts);
        }
        // An index of 0 would be answered at once, over and over.
        let index = index.max(Revision(1));
        let version = Version {
            revision: index,
            ..Version::default()
        };
        if self.contradicted(now, version, acts) {
            return;
        }
        self.rebuilt(version, entries, acts);
        self.endpoints.good(now);
        self.vouch(now, acts);
        self.stage = Stage::Resting {
            until: now + POLL_APART.times(self.rng.random_range(0.5..1.0)),
        };
    }
}
