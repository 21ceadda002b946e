//! Start of a replica from what its disk held.

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Counters, Effect, Mistake, Replica, ReplicaSetup, requests::Requests};
use crate::{
    DurableRecord, Identity, Millis, Position, View, failure_detector::Peers, holding::Holding,
    timing::Timing, vote_log::AfterVote, vote_log::VoteLog, votes::Votes,
};

impl Replica {
    pub(super) fn start(
        setup: ReplicaSetup,
        recovered: Vec<DurableRecord>,
        now: Millis,
        mistake: Option<Mistake>,
    ) -> (Replica, Vec<Effect>) {
        let timing = Timing::new(setup.acknowledge_ms, setup.catch_up_ms);
        let mut random = ChaCha8Rng::seed_from_u64(setup.random_seed);
        let recovered = Self::mistaken_recovery(mistake, recovered);
        let known = recovered_identity(&recovered);
        let drawn = Identity::of_joiner(random.random());
        let first_request = random.random::<u64>() >> 1;
        let numbers_restart = mistake == Some(Mistake::RequestNumbersRestart);
        let first_request = if numbers_restart { 0 } else { first_request };
        let view = newest_view(&recovered);
        let votes = view.as_ref().map_or_else(Votes::default, |view| recovered_votes(&recovered, view.epoch));
        let mut replica = Replica {
            timing,
            mistake,
            random,
            now,
            started: now,
            identity: drawn,
            durable_epoch: view.as_ref().map_or(0, |view| view.epoch),
            view,
            votes,
            vote_log: VoteLog::default(),
            holding: recovered_holding(recovered),
            committed: None,
            committed_at: Position::default(),
            head: None,
            renew: false,
            proposal: None,
            joined: BTreeSet::new(),
            highest_round: 0,
            attempts: 0,
            back_off_until: now,
            reason_since: None,
            peers: Peers::new(now, timing.start_grace),
            requests: Requests::new(first_request),
            next_ticket: 0,
            effects: Vec::new(),
            loopback: VecDeque::new(),
            leaving: false,
            disk_failed_at: None,
            last_tick: now,
            last_heartbeat: now,
            reported_role: (false, 0),
            reported_members: Vec::new(),
            counters: Counters::default(),
            setup,
        };
        replica.take_identity(known);
        replica.send_heartbeats();
        replica.settle();
        replica.report_members();
        let effects = std::mem::take(&mut replica.effects);
        (replica, effects)
    }

    fn take_identity(&mut self, known: Option<(Identity, std::net::SocketAddrV4)>) {
        let address = self.setup.address;
        match known {
            Some((identity, former)) if former == address => {
                self.identity = identity;
                let was_head = self.view.as_ref().is_some_and(|view| view.head() == Some(identity));
                self.renew = was_head && !self.makes(Mistake::RestartedHeadServes);
            }
            Some(_) => {
                self.votes = Votes::default();
                self.persist_votes(vec![self.identity_record()], Vec::new());
            }
            None => self.start_on_empty_disk(),
        }
    }

    fn start_on_empty_disk(&mut self) {
        let address = self.setup.address;
        let is_seed = self.setup.seeds.contains(&address);
        if self.makes(Mistake::VoteAfterWipe) && is_seed {
            self.identity = Identity::of_first_start(address);
        }
        let first_start = self.setup.first_start || self.makes(Mistake::FirstStartAssumed);
        if !(first_start && is_seed) {
            self.persist_votes(vec![self.identity_record()], Vec::new());
            return;
        }
        self.identity = Identity::of_first_start(address);
        let view = View::first(&self.setup.seeds);
        let epoch = view.epoch;
        self.view = Some(view.clone());
        let records = vec![self.identity_record(), DurableRecord::View(view)];
        self.persist_votes(records, vec![AfterVote::ViewDurable { epoch }]);
    }

    fn identity_record(&self) -> DurableRecord {
        DurableRecord::Identity { identity: self.identity, address: self.setup.address }
    }

    /// See [`Replica::snapshot`].
    pub(super) fn durable_records(&self) -> Vec<DurableRecord> {
        let mut records = vec![self.identity_record()];
        if let Some(view) = &self.view {
            records.push(DurableRecord::View(view.clone()));
            records.extend(self.votes.records(view.epoch));
        }
        records.push(self.holding.record());
        self.mistaken_snapshot(records)
    }
}

fn recovered_identity(records: &[DurableRecord]) -> Option<(Identity, std::net::SocketAddrV4)> {
    records.iter().rev().find_map(|record| match record {
        DurableRecord::Identity { identity, address } => Some((*identity, *address)),
        _ => None,
    })
}

fn newest_view(records: &[DurableRecord]) -> Option<View> {
    let views = records.iter().filter_map(|record| match record {
        DurableRecord::View(view) => Some(view),
        _ => None,
    });
    views.max_by_key(|view| view.epoch).cloned()
}

fn recovered_votes(records: &[DurableRecord], current: u64) -> Votes {
    let mut votes = Votes::default();
    for record in records {
        match record {
            DurableRecord::Promise { epoch, .. }
            | DurableRecord::Accept { epoch, .. }
            | DurableRecord::Seal { epoch }
                if *epoch == current =>
            {
                votes.recover(record);
            }
            _ => {}
        }
    }
    votes
}

fn recovered_holding(records: Vec<DurableRecord>) -> Holding {
    let mut holding = Holding::default();
    for record in records {
        holding.recover(record);
    }
    holding
}
