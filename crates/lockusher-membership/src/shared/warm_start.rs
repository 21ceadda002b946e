//! Warm starts: a mixer that joins requests observations of searchers from a few members and starts from the median of
//! their answers. A single false answer is outvoted; what is not answered in time is learnt from traffic.

use std::collections::BTreeMap;

use lockusher_policy::interface::{SearcherId, SearcherObservation, Span, Time, WarmStartEntry};

use crate::core::table::MixerName;
use crate::core::wire::MAX_NAME_BYTES;
use crate::proto;

/// Members that are asked: the median of three is right even if one is wrong.
pub const WARM_START_PEERS: usize = 3;
/// How long answers are waited for: several round trips on a busy machine, and little compared with the first seconds.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);
/// Rounds of requests if nobody answers.
const MAX_ROUNDS: u32 = 3;
/// The most searchers in one answer: what fits on the pages that a member sends at once.
const MAX_KNOWN_SEARCHERS: usize = 1_000;
/// Older observations are not sent: within this time the policy discounts them by half.
const MAX_AGE: Span = Span::from_millis(20_000);
/// The greatest valid latency.
const MAX_LATENCY_US: u32 = 60_000_000;

/// The state of the local mixer's warm start.
#[derive(Debug, Default)]
pub struct WarmStart {
    rounds: u32,
    /// When the answers received so far are used; `None` before the first request and between rounds.
    deadline: Option<Time>,
    finished: bool,
    requests: BTreeMap<u32, MixerName>,
    answers: BTreeMap<MixerName, Vec<WarmStartEntry>>,
}

impl WarmStart {
    /// Whether members are to be asked now.
    pub fn should_ask(&self) -> bool {
        !self.finished && self.deadline.is_none()
    }

    /// Records the requests of a round; there are none if there is nobody to ask.
    pub fn record_requests(&mut self, now: Time, requests: impl Iterator<Item = (u32, MixerName)>) {
        self.requests.extend(requests);
        (self.rounds, self.deadline) = (self.rounds + 1, Some(now + ANSWER_TIMEOUT));
    }

    /// Adds an answer, or a page of one.
    pub fn handle_answer(&mut self, number: u32, known: Vec<WarmStartEntry>) {
        if let Some(name) = self.requests.get(&number).filter(|_| !self.finished) {
            let answer = self.answers.entry(name.clone()).or_default();
            answer.extend(known);
            answer.truncate(MAX_KNOWN_SEARCHERS);
        }
    }

    /// The result once the wait is over: the median of the answers for each searcher and process.
    pub fn take_result(&mut self, now: Time) -> Option<Vec<WarmStartEntry>> {
        self.deadline
            .filter(|deadline| *deadline <= now && !self.finished)?;
        if self.answers.is_empty() && self.rounds < MAX_ROUNDS {
            self.deadline = None;
            return None;
        }
        self.finished = true;
        let mut by_process: BTreeMap<(SearcherId, Option<Time>), Vec<WarmStartEntry>> =
            BTreeMap::new();
        for known in std::mem::take(&mut self.answers).into_values().flatten() {
            by_process
                .entry((known.id.clone(), known.started_at))
                .or_default()
                .push(known);
        }
        let median = |mut values: Vec<WarmStartEntry>| {
            values.sort_by(|a, b| a.latency.total_cmp(&b.latency));
            let mut success_ratios: Vec<f64> =
                values.iter().map(|known| known.success_ratio).collect();
            success_ratios.sort_by(f64::total_cmp);
            let known = values.swap_remove(values.len() / 2);
            WarmStartEntry {
                success_ratio: success_ratios[success_ratios.len() / 2],
                ..known
            }
        };
        Some(by_process.into_values().map(median).collect())
    }
}

/// The local observations to be sent to a mixer that starts.
pub fn encode_known(
    now: Time,
    seen: &[SearcherObservation],
) -> impl Iterator<Item = proto::KnownSearcher> {
    let recent = seen
        .iter()
        .filter(move |s| now.since(s.last_outcome_at) <= MAX_AGE && s.silent_since.is_none());
    recent.filter_map(move |seen| {
        let latency_us = (seen.latency? * 1e6).round() as u32;
        Some(proto::KnownSearcher {
            searcher: seen.id.as_str().to_owned(),
            life: seen
                .started_at
                .map_or(0, |at| at.since(Time::from_micros(0)).as_micros()),
            latency_us: latency_us.clamp(1, MAX_LATENCY_US),
            good: seen.success_ratio.clamp(0.0, 1.0) as f32,
            age_ms: (now.since(seen.last_outcome_at).as_micros() / 1_000) as u32,
        })
    })
}

/// Decodes an answer; `None` if any part of it is invalid.
pub fn decode_known(now: Time, searchers: &[proto::KnownSearcher]) -> Option<Vec<WarmStartEntry>> {
    let decode = |known: &proto::KnownSearcher| {
        let valid = !known.searcher.is_empty()
            && known.searcher.len() <= MAX_NAME_BYTES
            && (1..=MAX_LATENCY_US).contains(&known.latency_us)
            && (0.0..=1.0).contains(&known.good)
            && Span::from_millis(known.age_ms.into()) <= MAX_AGE;
        valid.then(|| WarmStartEntry {
            id: SearcherId::new(&known.searcher),
            started_at: (known.life > 0).then(|| Time::from_micros(known.life)),
            latency: f64::from(known.latency_us) / 1e6,
            success_ratio: known.good.into(),
            at: now - Span::from_millis(known.age_ms.into()),
        })
    };
    searchers.iter().map(decode).collect()
}
