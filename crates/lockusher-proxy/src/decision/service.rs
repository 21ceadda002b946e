//! What this proxy knows of one service: its searchers by stage, and what its requests usually take.
//!
//! Owned by `RequestRouter`. Holds the state of the service's other decisions (prefix cache index,
//! retry budget, admission control, KV transfers) and feeds them with outcomes. Invariants: a group has the ready searchers
//! of its stage and no other; the slot of a searcher is reused only once it is neither listed nor has a send in flight.

use std::collections::{HashMap, HashSet};

use lockusher_config::configuration::Engine;
use lockusher_config::instances::{Instance, InstanceState, Stage};

use super::admission_control::AdmissionControl;
use super::budget::RetryBudget;
use super::kv_transfer::KvTransfers;
use super::locality::{Distance, Locality, LocalityRegistry};
use super::plan::{Incarnation, SendRecord};
use super::prefix_cache::{PrefixCacheIndex, PrefixHash};
use super::searcher::{PeerStatistics, Searcher};
use super::service_time::ServiceTimeModel;
use super::types::{Micros, Purpose, SearcherId, SendOutcome};
use crate::unserved::SearcherCounts;

/// The means of a stage's searchers are worked out anew after this time at the latest, if anything has changed.
const MAX_PEER_STATISTICS_AGE: Micros = 20_000;

/// Groups of up to so many searchers always use fresh means.
const MAX_ALWAYS_FRESH_GROUP: usize = 64;

/// The searchers of one stage that take requests.
#[derive(Debug, Default)]
pub struct Group {
    pub candidates: Vec<SearcherId>,
    /// Hashes of their identifiers.
    hashes: Vec<u64>,
    localities: Vec<Locality>,
    peers: PeerStatistics,
    peers_at: Micros,
    stale: bool,
    scratch: Vec<f64>,
}

impl Group {
    /// The affinity targets of a prompt by its shared parts, first and second: the highest by rendezvous hashing, those of
    /// the zone `near` before all others. All proxies that know the same candidates find the same ones, and one
    /// that leaves moves only its own.
    pub fn affinity_targets(
        &self,
        prefix: PrefixHash,
        near: Option<Locality>,
    ) -> [Option<SearcherId>; 2] {
        // Weights and numbers from 1; weight 0 is that of no candidate.
        let (mut first, mut second) = ((0, 0), (0, 0));
        for (number, (hash, locality)) in self.hashes.iter().zip(&self.localities).enumerate() {
            let is_near = near.is_some_and(|near| near.distance(*locality) == Distance::SameZone);
            let weight = rendezvous(prefix, *hash) >> 1 | u64::from(is_near) << 63;
            if weight <= second.0 {
                continue;
            }
            second = (weight, number + 1);
            if weight > first.0 {
                std::mem::swap(&mut first, &mut second);
            }
        }
        [first, second]
            .map(|(_, number)| number.checked_sub(1).map(|number| self.candidates[number]))
    }
}

/// The weight of a searcher as an affinity target (rendezvous hashing, Thaler and Ravishankar, 1998). Both values are hashes, so that little mixing will do.
fn rendezvous(prefix: PrefixHash, searcher: u64) -> u64 {
    let both = prefix ^ searcher;
    (both ^ (both >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

/// Which group a purpose is served by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupKind {
    Plain,
    Prefill,
    Decode,
}

/// One service.
#[derive(Debug)]
pub struct Service {
    pub name: String,
    pub engine: Option<Engine>,
    pub prefix_cache: PrefixCacheIndex,
    pub budget: RetryBudget,
    pub admission: AdmissionControl,
    pub kv_transfers: KvTransfers,
    searchers: Vec<Searcher>,
    unused: Vec<SearcherId>,
    by_identifier: HashMap<String, SearcherId>,
    groups: [Group; 3],
    service_times: [ServiceTimeModel; 3],
}

impl Service {
    /// A service without searchers.
    pub fn new(name: &str, budget: RetryBudget) -> Self {
        Service {
            name: name.to_owned(),
            engine: None,
            prefix_cache: PrefixCacheIndex::default(),
            budget,
            admission: AdmissionControl::default(),
            kv_transfers: KvTransfers::default(),
            searchers: Vec::new(),
            unused: Vec::new(),
            by_identifier: HashMap::new(),
            groups: Default::default(),
            service_times: Default::default(),
        }
    }

    /// Takes the service's part of the list.
    pub fn apply(
        &mut self,
        now: Micros,
        instances: &[&Instance],
        localities: &mut LocalityRegistry,
        own: Locality,
    ) {
        let mut listed = HashSet::new();
        let running = !self.by_identifier.is_empty();
        for instance in instances {
            listed.insert(instance.identifier.as_str());
            let locality = localities.locality(&instance.zone);
            self.apply_one(now, instance, locality, locality.distance(own), running);
        }
        self.drop_missing(&listed);
        self.rebuild_groups();
    }

    fn apply_one(
        &mut self,
        now: Micros,
        instance: &Instance,
        locality: Locality,
        distance: Distance,
        running: bool,
    ) {
        let Some(&id) = self.by_identifier.get(&instance.identifier) else {
            let starts_slowly = running && self.has_peers(instance.stage);
            let id = self.insert(Searcher::new(
                now,
                instance.clone(),
                locality,
                distance,
                starts_slowly,
            ));
            self.by_identifier.insert(instance.identifier.clone(), id);
            return;
        };
        if self.searchers[id as usize].instance.stage != instance.stage {
            let starts_slowly = self.has_peers(instance.stage);
            self.prefix_cache.forget_searcher(id);
            let searcher = &mut self.searchers[id as usize];
            let in_flight = searcher.in_flight;
            *searcher = Searcher::new(now, instance.clone(), locality, distance, starts_slowly);
            searcher.in_flight = in_flight;
            return;
        }
        let searcher = &mut self.searchers[id as usize];
        if *searcher.instance != *instance {
            *searcher.instance = instance.clone();
            searcher.locality = locality;
            searcher.distance = distance;
            searcher.ready = instance.state == InstanceState::Ready;
        }
    }

    fn has_peers(&self, stage: Option<Stage>) -> bool {
        !self.groups[kind_of(stage) as usize].candidates.is_empty()
    }

    fn insert(&mut self, searcher: Searcher) -> SearcherId {
        if let Some(id) = self.unused.pop() {
            self.searchers[id as usize] = searcher;
            return id;
        }
        self.searchers.push(searcher);
        (self.searchers.len() - 1) as SearcherId
    }

    fn drop_missing(&mut self, listed: &HashSet<&str>) {
        let gone = |identifier: &String| !listed.contains(identifier.as_str());
        let missing: Vec<String> = self
            .by_identifier
            .keys()
            .filter(|id| gone(id))
            .cloned()
            .collect();
        for identifier in missing {
            let Some(id) = self.by_identifier.remove(&identifier) else {
                continue;
            };
            self.searchers[id as usize].ready = false;
            self.prefix_cache.forget_searcher(id);
            self.reuse(id);
        }
    }

    /// Lets a searcher's slot be used again once it is neither listed nor owes an outcome.
    pub fn reuse(&mut self, id: SearcherId) {
        let searcher = &self.searchers[id as usize];
        let listed = self.by_identifier.get(&searcher.instance.identifier) == Some(&id);
        if !listed && searcher.in_flight == 0 && !self.unused.contains(&id) {
            self.unused.push(id);
        }
    }

    fn rebuild_groups(&mut self) {
        for group in &mut self.groups {
            group.candidates.clear();
            group.hashes.clear();
            group.localities.clear();
            group.stale = true;
        }
        let mut ready: Vec<SearcherId> = self.by_identifier.values().copied().collect();
        ready.retain(|id| self.searchers[*id as usize].ready);
        ready.sort_unstable();
        for id in ready {
            let searcher = &self.searchers[id as usize];
            let group = &mut self.groups[kind_of(searcher.instance.stage) as usize];
            group.candidates.push(id);
            group.hashes.push(searcher.hash);
            group.localities.push(searcher.locality);
        }
    }

    /// Counts the searchers by what they can be used for.
    pub fn searcher_counts(&self, now: Micros) -> SearcherCounts {
        let ready = || {
            let groups = self.groups.iter();
            groups
                .flat_map(|group| &group.candidates)
                .map(|id| self.searcher(*id))
        };
        let ready_of = |kind| self.group(kind).candidates.len();
        SearcherCounts {
            listed: self.by_identifier.len(),
            plain: ready_of(GroupKind::Plain),
            prefill: ready_of(GroupKind::Prefill),
            decode: ready_of(GroupKind::Decode),
            warming_up: ready()
                .filter(|searcher| searcher.is_warming_up(now))
                .count(),
            failing: ready().filter(|searcher| searcher.is_failing()).count(),
        }
    }

    /// The group that serves a purpose.
    pub fn kind(&self, purpose: Purpose) -> GroupKind {
        match purpose {
            Purpose::Prefill => GroupKind::Prefill,
            Purpose::Decode => GroupKind::Decode,
            Purpose::Whole if !self.group(GroupKind::Decode).candidates.is_empty() => {
                GroupKind::Decode
            }
            Purpose::Whole => GroupKind::Plain,
        }
    }

    /// The group that a searcher is in, if it takes requests.
    pub fn group_of(&self, id: SearcherId) -> Option<GroupKind> {
        let searcher = &self.searchers[id as usize];
        searcher.ready.then(|| kind_of(searcher.instance.stage))
    }

    /// The searchers of a kind that take requests.
    pub fn group(&self, kind: GroupKind) -> &Group {
        &self.groups[kind as usize]
    }

    /// One searcher.
    pub fn searcher(&self, id: SearcherId) -> &Searcher {
        &self.searchers[id as usize]
    }

    /// One searcher, to be changed: the means of its stage are out of date then.
    pub fn searcher_mut(&mut self, id: SearcherId) -> &mut Searcher {
        let searcher = &mut self.searchers[id as usize];
        self.groups[kind_of(searcher.instance.stage) as usize].stale = true;
        searcher
    }

    /// Feeds an outcome to the averages of its searcher, and a good one to what is usual. `elapsed` is absent
    /// where the time was fed before.
    pub fn learn(
        &mut self,
        now: Micros,
        record: &SendRecord,
        outcome: SendOutcome,
        elapsed: Option<Micros>,
    ) {
        let kind = self.kind(record.purpose);
        if kind_of(self.searchers[record.searcher as usize].instance.stage) != kind {
            // It has changed its stage since.
            return;
        }
        let peers = self.refresh_peers(now, kind);
        if elapsed.is_some() {
            self.feed_admission_control(now, record, outcome);
        }
        let is_first = elapsed.is_some();
        let service_time = &mut self.service_times[record.purpose as usize];
        let elapsed = elapsed.unwrap_or(0) as f64;
        let good = matches!(outcome, SendOutcome::FirstEvent | SendOutcome::Answered);
        let sure = record.tokens == record.tokens_upper_bound || !service_time.is_known();
        if good && sure {
            service_time.feed(f64::from(record.tokens_upper_bound), elapsed);
        }
        let multiple = |tokens: u32| elapsed / service_time.usual(f64::from(tokens));
        let multiple = match (service_time.is_measured(), sure) {
            (false, _) => 1.0,
            (true, true) => multiple(record.tokens_upper_bound),
            (true, false) => nearer_to(
                self.searchers[record.searcher as usize]
                    .latency()
                    .unwrap_or(peers.latency),
                multiple(record.tokens),
                multiple(record.tokens_upper_bound),
            ),
        };
        self.searcher_mut(record.searcher)
            .learn(now, outcome, multiple, &peers);
        if is_first && kind == GroupKind::Decode {
            self.learn_acceptance(now, record, outcome);
        }
    }

    /// Records whether a decode searcher took a request, and with it a handle: see [`super::kv_transfer`].
    fn learn_acceptance(&mut self, now: Micros, record: &SendRecord, outcome: SendOutcome) {
        let taken = match outcome {
            SendOutcome::FirstEvent | SendOutcome::Answered => true,
            SendOutcome::Rejected => false,
            _ => return,
        };
        let acceptance = self.searchers[record.searcher as usize].acceptance(now);
        let is_transfer = record.purpose == Purpose::Decode;
        let holder = record.holder.filter(|holder| self.is_listed(*holder));
        let holder_acceptance = holder.map_or(1.0, |holder| {
            self.searchers[holder.searcher as usize].acceptance(now)
        });
        self.searcher_mut(record.searcher).learn_acceptance(
            now,
            taken,
            if is_transfer { holder_acceptance } else { 1.0 },
        );
        if !is_transfer {
            return;
        }
        match taken {
            true => self.kv_transfers.succeeded(),
            false => self.kv_transfers.failed(now, record.sent, acceptance),
        }
        if let Some(holder) = holder {
            let peers = self.refresh_peers(now, GroupKind::Prefill);
            self.searcher_mut(holder.searcher)
                .learn_transfer(now, taken, acceptance, &peers);
        }
    }

    /// Whether a rejected transfer failed rather for its handle than for a full decode searcher: the handles of its
    /// holder were taken no more often lately than the sends to that searcher.
    pub fn is_handle_likely_gone(&self, now: Micros, record: &SendRecord) -> bool {
        let Some(holder) = record.holder.filter(|holder| self.is_listed(*holder)) else {
            return true;
        };
        self.searcher(holder.searcher).acceptance(now)
            <= self.searcher(record.searcher).acceptance(now)
    }

    /// Whether that incarnation of a searcher still prefills for others.
    fn is_listed(&self, holder: Incarnation) -> bool {
        let is_there = self.searcher(holder.searcher).hash == holder.hash;
        is_there && self.group_of(holder.searcher) == Some(GroupKind::Prefill)
    }

    /// Feeds an answer, or that a request was abandoned without a response.
    fn feed_admission_control(&mut self, now: Micros, record: &SendRecord, outcome: SendOutcome) {
        let progress = &record.progress;
        let elapsed = now.saturating_sub(progress.admitted);
        match outcome {
            SendOutcome::FirstEvent | SendOutcome::Answered
                if record.purpose != Purpose::Prefill =>
            {
                self.admission
                    .answered(now, elapsed, progress.client_patience);
            }
            SendOutcome::TimedOut | SendOutcome::Cancelled => {
                self.admission.abandoned(elapsed, progress.client_patience);
            }
            _ => return,
        }
        progress.waiting.take();
    }

    /// What requests of a purpose usually take.
    pub fn service_time(&self, purpose: Purpose) -> &ServiceTimeModel {
        &self.service_times[purpose as usize]
    }

    /// What the searchers of a kind have in common; worked out if it is out of date.
    pub fn refresh_peers(&mut self, now: Micros, kind: GroupKind) -> PeerStatistics {
        let group = &mut self.groups[kind as usize];
        let small = group.candidates.len() <= MAX_ALWAYS_FRESH_GROUP;
        if group.stale && (small || now >= group.peers_at + MAX_PEER_STATISTICS_AGE) {
            group.peers = peer_statistics(&self.searchers, &group.candidates, &mut group.scratch);
            group.peers_at = now;
            group.stale = false;
        }
        group.peers
    }

    /// What the searchers of a kind had in common when it was last worked out.
    pub fn peers(&self, kind: GroupKind) -> &PeerStatistics {
        &self.groups[kind as usize].peers
    }
}

fn kind_of(stage: Option<Stage>) -> GroupKind {
    match stage {
        None => GroupKind::Plain,
        Some(Stage::Prefill) => GroupKind::Prefill,
        Some(Stage::Decode) => GroupKind::Decode,
    }
}

/// Of two multiples of the usual time the one that differs less from what the searcher took so far: whether it
/// held a prompt's shared parts shows in its time.
fn nearer_to(average: f64, one: f64, other: f64) -> f64 {
    let distance = |multiple: f64| (multiple.max(1e-9) / average.max(1e-9)).ln().abs();
    if distance(one) <= distance(other) {
        one
    } else {
        other
    }
}

fn peer_statistics(
    searchers: &[Searcher],
    candidates: &[SearcherId],
    success_rates: &mut Vec<f64>,
) -> PeerStatistics {
    if candidates.is_empty() {
        return PeerStatistics::default();
    }
    success_rates.clear();
    let (mut latency, mut measured, mut in_flight, mut queue) = (0.0, 0.0, 0.0, 0.0);
    for id in candidates {
        let searcher = &searchers[*id as usize];
        let (queue_average, success_rate) = searcher.averages();
        if let Some(average) = searcher.latency() {
            latency += average;
            measured += 1.0;
        }
        in_flight += f64::from(searcher.in_flight);
        queue += queue_average;
        success_rates.push(success_rate);
    }
    let middle = success_rates.len() / 2;
    let (_, success_rate, _) = success_rates.select_nth_unstable_by(middle, f64::total_cmp);
    let count = candidates.len() as f64;
    PeerStatistics {
        latency: if measured > 0.0 {
            latency / measured
        } else {
            PeerStatistics::default().latency
        },
        in_flight: in_flight / count,
        queue: queue / count,
        success_rate: *success_rate,
    }
}
