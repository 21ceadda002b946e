//! The state of one service: its searchers by stage, and the service times of its requests.
//!
//! Owned by `RequestRouter`. Holds the state of the service's other decisions (prefix cache index, retry budget,
//! admission control, KV transfers) and updates it with outcomes. Invariants: a group contains exactly the ready
//! searchers of its stage; the slot of a searcher is reused only once the searcher is no longer listed and has no send
//! in flight.

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

/// Peer statistics that are stale are recomputed after this time at the latest.
const MAX_PEER_STATISTICS_AGE: Micros = 20_000;

/// Groups up to this size always use fresh peer statistics.
const MAX_ALWAYS_FRESH_GROUP: usize = 64;

/// The ready searchers of one stage.
#[derive(Debug, Default)]
pub struct Group {
    pub candidates: Vec<SearcherId>,
    /// Hashes of the candidates' identifiers.
    hashes: Vec<u64>,
    localities: Vec<Locality>,
    peers: PeerStatistics,
    peers_updated_at: Micros,
    peers_stale: bool,
    scratch: Vec<f64>,
}

impl Group {
    /// The first and second affinity target of a prompt by its shared prefix: the candidates with the highest
    /// rendezvous weights, those in the zone of `preferred` before all others. All proxies that know the same
    /// candidates find the same targets, and removing a candidate moves only its own prompts.
    pub fn affinity_targets(
        &self,
        prefix: PrefixHash,
        preferred: Option<Locality>,
    ) -> [Option<SearcherId>; 2] {
        // Pairs of weight and index, counted from 1; weight 0 stands for no candidate.
        let (mut first, mut second) = ((0, 0), (0, 0));
        for (index, (hash, locality)) in self.hashes.iter().zip(&self.localities).enumerate() {
            let is_preferred = preferred
                .is_some_and(|preferred| preferred.distance(*locality) == Distance::SameZone);
            let weight = rendezvous(prefix, *hash) >> 1 | u64::from(is_preferred) << 63;
            if weight <= second.0 {
                continue;
            }
            second = (weight, index + 1);
            if weight > first.0 {
                std::mem::swap(&mut first, &mut second);
            }
        }
        [first, second].map(|(_, index)| index.checked_sub(1).map(|index| self.candidates[index]))
    }
}

/// The rendezvous hashing weight of a searcher (Thaler and Ravishankar, 1998). Both arguments are hashes, so that
/// little mixing is needed.
fn rendezvous(prefix: PrefixHash, searcher: u64) -> u64 {
    let mixed = prefix ^ searcher;
    (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

/// The group of searchers that serves a purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupKind {
    Plain,
    Prefill,
    Decode,
}

/// The state of one service.
#[derive(Debug)]
pub struct Service {
    pub name: String,
    pub engine: Option<Engine>,
    pub prefix_cache: PrefixCacheIndex,
    pub budget: RetryBudget,
    pub admission: AdmissionControl,
    pub kv_transfers: KvTransfers,
    searchers: Vec<Searcher>,
    free_slots: Vec<SearcherId>,
    by_identifier: HashMap<String, SearcherId>,
    groups: [Group; 3],
    service_times: [ServiceTimeModel; 3],
}

impl Service {
    /// Creates a service without searchers.
    pub fn new(name: &str, budget: RetryBudget) -> Self {
        Service {
            name: name.to_owned(),
            engine: None,
            prefix_cache: PrefixCacheIndex::default(),
            budget,
            admission: AdmissionControl::default(),
            kv_transfers: KvTransfers::default(),
            searchers: Vec::new(),
            free_slots: Vec::new(),
            by_identifier: HashMap::new(),
            groups: Default::default(),
            service_times: Default::default(),
        }
    }

    /// Applies this service's entries of the instance list.
    pub fn apply_instances(
        &mut self,
        now: Micros,
        instances: &[&Instance],
        localities: &mut LocalityRegistry,
        own_locality: Locality,
    ) {
        let mut listed = HashSet::new();
        let has_searchers = !self.by_identifier.is_empty();
        for instance in instances {
            listed.insert(instance.identifier.as_str());
            let locality = localities.locality(&instance.zone);
            self.apply_instance(
                now,
                instance,
                locality,
                locality.distance(own_locality),
                has_searchers,
            );
        }
        self.remove_missing(&listed);
        self.rebuild_groups();
    }

    fn apply_instance(
        &mut self,
        now: Micros,
        instance: &Instance,
        locality: Locality,
        distance: Distance,
        has_searchers: bool,
    ) {
        let Some(&id) = self.by_identifier.get(&instance.identifier) else {
            let starts_slowly = has_searchers && self.has_peers(instance.stage);
            let id = self.insert_searcher(Searcher::new(
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
            self.prefix_cache.remove_searcher(id);
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

    fn insert_searcher(&mut self, searcher: Searcher) -> SearcherId {
        if let Some(id) = self.free_slots.pop() {
            self.searchers[id as usize] = searcher;
            return id;
        }
        self.searchers.push(searcher);
        (self.searchers.len() - 1) as SearcherId
    }

    fn remove_missing(&mut self, listed: &HashSet<&str>) {
        let is_missing = |identifier: &String| !listed.contains(identifier.as_str());
        let missing: Vec<String> = self
            .by_identifier
            .keys()
            .filter(|id| is_missing(id))
            .cloned()
            .collect();
        for identifier in missing {
            let Some(id) = self.by_identifier.remove(&identifier) else {
                continue;
            };
            self.searchers[id as usize].ready = false;
            self.prefix_cache.remove_searcher(id);
            self.release_slot(id);
        }
    }

    /// Frees a searcher's slot once the searcher is no longer listed and has no send in flight.
    pub fn release_slot(&mut self, id: SearcherId) {
        let searcher = &self.searchers[id as usize];
        let listed = self.by_identifier.get(&searcher.instance.identifier) == Some(&id);
        if !listed && searcher.in_flight == 0 && !self.free_slots.contains(&id) {
            self.free_slots.push(id);
        }
    }

    fn rebuild_groups(&mut self) {
        for group in &mut self.groups {
            group.candidates.clear();
            group.hashes.clear();
            group.localities.clear();
            group.peers_stale = true;
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

    /// Counts the searchers by stage and condition.
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

    /// The group that a searcher is in; `None` if it isn't ready.
    pub fn group_of(&self, id: SearcherId) -> Option<GroupKind> {
        let searcher = &self.searchers[id as usize];
        searcher.ready.then(|| kind_of(searcher.instance.stage))
    }

    /// The ready searchers of a kind.
    pub fn group(&self, kind: GroupKind) -> &Group {
        &self.groups[kind as usize]
    }

    /// One searcher.
    pub fn searcher(&self, id: SearcherId) -> &Searcher {
        &self.searchers[id as usize]
    }

    /// One searcher for modification; marks the peer statistics of its stage as stale.
    pub fn searcher_mut(&mut self, id: SearcherId) -> &mut Searcher {
        let searcher = &mut self.searchers[id as usize];
        self.groups[kind_of(searcher.instance.stage) as usize].peers_stale = true;
        searcher
    }

    /// Records an outcome in the averages of its searcher, and a successful one in the service time model. `elapsed` is
    /// `None` if the elapsed time was recorded before.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        record: &SendRecord,
        outcome: SendOutcome,
        elapsed: Option<Micros>,
    ) {
        let kind = self.kind(record.purpose);
        if kind_of(self.searchers[record.searcher as usize].instance.stage) != kind {
            // The searcher has changed its stage since the send.
            return;
        }
        let peers = self.refresh_peers(now, kind);
        if elapsed.is_some() {
            self.update_admission_control(now, record, outcome);
        }
        let is_first_response = elapsed.is_some();
        let service_time = &mut self.service_times[record.purpose as usize];
        let elapsed = elapsed.unwrap_or(0) as f64;
        let is_success = matches!(outcome, SendOutcome::FirstEvent | SendOutcome::Answered);
        let is_cache_known =
            record.expected_tokens == record.tokens_upper_bound || !service_time.is_reliable();
        if is_success && is_cache_known {
            service_time.record(f64::from(record.tokens_upper_bound), elapsed);
        }
        let latency_ratio = |tokens: u32| elapsed / service_time.predict(f64::from(tokens));
        let latency_ratio = match (service_time.has_samples(), is_cache_known) {
            (false, _) => 1.0,
            (true, true) => latency_ratio(record.tokens_upper_bound),
            (true, false) => closer_ratio(
                self.searchers[record.searcher as usize]
                    .latency_ratio()
                    .unwrap_or(peers.latency_ratio),
                latency_ratio(record.expected_tokens),
                latency_ratio(record.tokens_upper_bound),
            ),
        };
        self.searcher_mut(record.searcher)
            .record_outcome(now, outcome, latency_ratio, &peers);
        if is_first_response && kind == GroupKind::Decode {
            self.record_acceptance(now, record, outcome);
        }
    }

    /// Records whether a decode searcher accepted a request, and with it a handle: see [`super::kv_transfer`].
    fn record_acceptance(&mut self, now: Micros, record: &SendRecord, outcome: SendOutcome) {
        let accepted = match outcome {
            SendOutcome::FirstEvent | SendOutcome::Answered => true,
            SendOutcome::Rejected => false,
            _ => return,
        };
        let acceptance_rate = self.searchers[record.searcher as usize].acceptance_rate(now);
        let is_transfer = record.purpose == Purpose::Decode;
        let holder = record.cache_holder.filter(|holder| self.is_listed(*holder));
        let holder_acceptance_rate = holder.map_or(1.0, |holder| {
            self.searchers[holder.searcher as usize].acceptance_rate(now)
        });
        self.searcher_mut(record.searcher).record_acceptance(
            now,
            accepted,
            if is_transfer {
                holder_acceptance_rate
            } else {
                1.0
            },
        );
        if !is_transfer {
            return;
        }
        match accepted {
            true => self.kv_transfers.record_success(),
            false => self
                .kv_transfers
                .record_rejection(now, record.sent_at, acceptance_rate),
        }
        if let Some(holder) = holder {
            let peers = self.refresh_peers(now, GroupKind::Prefill);
            self.searcher_mut(holder.searcher).record_transfer(
                now,
                accepted,
                acceptance_rate,
                &peers,
            );
        }
    }

    /// Whether a rejected transfer more likely failed because of its handle than because of a full decode searcher: the
    /// acceptance rate of the holder's handles is at most that of the sends to the decode searcher.
    pub fn is_handle_likely_gone(&self, now: Micros, record: &SendRecord) -> bool {
        let Some(holder) = record.cache_holder.filter(|holder| self.is_listed(*holder)) else {
            return true;
        };
        self.searcher(holder.searcher).acceptance_rate(now)
            <= self.searcher(record.searcher).acceptance_rate(now)
    }

    /// Whether this incarnation of a searcher is still a ready prefill searcher.
    fn is_listed(&self, holder: Incarnation) -> bool {
        let is_same_incarnation = self.searcher(holder.searcher).hash == holder.hash;
        is_same_incarnation && self.group_of(holder.searcher) == Some(GroupKind::Prefill)
    }

    /// Records a response, or a request that was abandoned without one, for admission control.
    fn update_admission_control(&mut self, now: Micros, record: &SendRecord, outcome: SendOutcome) {
        let progress = &record.progress;
        let elapsed = now.saturating_sub(progress.admitted_at);
        match outcome {
            SendOutcome::FirstEvent | SendOutcome::Answered
                if record.purpose != Purpose::Prefill =>
            {
                self.admission
                    .record_response(now, elapsed, progress.client_timeout);
            }
            SendOutcome::TimedOut | SendOutcome::Cancelled => {
                self.admission
                    .record_abandoned(elapsed, progress.client_timeout);
            }
            _ => return,
        }
        progress.waiting_permit.take();
    }

    /// The service time model of a purpose.
    pub fn service_time(&self, purpose: Purpose) -> &ServiceTimeModel {
        &self.service_times[purpose as usize]
    }

    /// The peer statistics of a kind; recomputed if they are stale.
    pub fn refresh_peers(&mut self, now: Micros, kind: GroupKind) -> PeerStatistics {
        let group = &mut self.groups[kind as usize];
        let small = group.candidates.len() <= MAX_ALWAYS_FRESH_GROUP;
        if group.peers_stale && (small || now >= group.peers_updated_at + MAX_PEER_STATISTICS_AGE) {
            group.peers = peer_statistics(&self.searchers, &group.candidates, &mut group.scratch);
            group.peers_updated_at = now;
            group.peers_stale = false;
        }
        group.peers
    }

    /// The peer statistics of a kind as last computed.
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

/// Of two latency ratios the one that is closer to the searcher's average: whether the searcher had cached a prompt's
/// shared parts shows in the elapsed time.
fn closer_ratio(average: f64, one: f64, other: f64) -> f64 {
    let distance = |latency_ratio: f64| (latency_ratio.max(1e-9) / average.max(1e-9)).ln().abs();
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
    let (mut latency_ratio, mut responded, mut in_flight, mut in_flight_average) =
        (0.0, 0.0, 0.0, 0.0);
    for id in candidates {
        let searcher = &searchers[*id as usize];
        let (searcher_in_flight_average, success_rate) = searcher.averages();
        if let Some(average) = searcher.latency_ratio() {
            latency_ratio += average;
            responded += 1.0;
        }
        in_flight += f64::from(searcher.in_flight);
        in_flight_average += searcher_in_flight_average;
        success_rates.push(success_rate);
    }
    let middle = success_rates.len() / 2;
    let (_, success_rate, _) = success_rates.select_nth_unstable_by(middle, f64::total_cmp);
    let count = candidates.len() as f64;
    PeerStatistics {
        latency_ratio: if responded > 0.0 {
            latency_ratio / responded
        } else {
            PeerStatistics::default().latency_ratio
        },
        in_flight: in_flight / count,
        in_flight_average: in_flight_average / count,
        success_rate: *success_rate,
    }
}
