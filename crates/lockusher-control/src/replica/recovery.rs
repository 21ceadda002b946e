//! Start of a replica from the records on its disk.
//!
//! Invariant: an identity is used only with the records of its own disk and at its own address. A node that lost its
//! disk restarts with a new identity and isn't a voter, so that no voter can have lost its earlier votes.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::bug_injection::{BugInjection, altered_by_bug, bug_injected};
use super::counters::Counters;
use super::effect::Effect;
use super::request_queue::Requests;
use super::setup::ReplicaSetup;
use super::state_machine::{Replica, ReportedRole};
use crate::acceptor::AcceptorState;
use crate::acceptor_log::{AcceptorLog, AfterAcceptorWrite};
use crate::durable_record::DurableRecord;
use crate::durable_state::DurableState;
use crate::failure_detector::Peers;
use crate::position::Position;
use crate::time::Millis;
use crate::timing::Timing;
use crate::view::{Identity, View};

/// The identity and address recorded on a disk.
struct DiskOwner {
    identity: Identity,
    /// Address at which the disk was used.
    address: SocketAddrV4,
}

/// State restored from the records of a disk.
struct RecoveredDisk {
    owner: Option<DiskOwner>,
    /// The newest view.
    view: Option<View>,
    /// The acceptor's state in the epoch of `view`.
    acceptor: AcceptorState,
    durable_state: DurableState,
}

impl RecoveredDisk {
    fn replay(records: Vec<DurableRecord>) -> Self {
        let view = newest_view(&records);
        let acceptor = view.as_ref().map_or_else(AcceptorState::default, |view| {
            recovered_acceptor(&records, view.epoch)
        });
        Self {
            owner: recovered_owner(&records),
            view,
            acceptor,
            durable_state: recovered_state(records),
        }
    }
}

impl Replica {
    /// Restores the state from the records and sends the first heartbeats.
    pub(super) fn start(
        setup: ReplicaSetup,
        records: Vec<DurableRecord>,
        now: Millis,
        bug_injection: BugInjection,
    ) -> (Replica, Vec<Effect>) {
        let timing = Timing::new(setup.acknowledge_ms, setup.catch_up_ms);
        let mut random = ChaCha8Rng::seed_from_u64(setup.random_seed);
        let recovered =
            RecoveredDisk::replay(altered_by_bug!(bug_injection, altered_recovery, records));
        let new_identity = Identity::of_joiner(random.random());
        let first_request = random.random::<u64>() >> 1;
        let numbers_restart = bug_injected!(bug_injection, RequestNumbersRestart);
        let first_request = if numbers_restart { 0 } else { first_request };
        let mut replica = Replica {
            timing,
            bug_injection,
            random,
            now,
            started_at: now,
            identity: new_identity,
            durable_epoch: recovered.view.as_ref().map_or(0, |view| view.epoch),
            view: recovered.view,
            acceptor: recovered.acceptor,
            acceptor_log: AcceptorLog::default(),
            durable_state: recovered.durable_state,
            committed_document: None,
            known_committed: Position::default(),
            head: None,
            epoch_change_required: false,
            proposal: None,
            sealed_state_holders: BTreeSet::new(),
            highest_proposal_counter: 0,
            proposal_attempts: 0,
            backoff_until: now,
            change_due_since: None,
            peers: Peers::new(now, timing.startup_grace),
            introduced: Vec::new(),
            requests: Requests::new(first_request),
            next_ticket: 0,
            effects: Vec::new(),
            loopback: VecDeque::new(),
            shutting_down: false,
            disk_failed_at: None,
            last_tick_at: now,
            last_heartbeat_at: now,
            reported_role: ReportedRole::default(),
            reported_members: Vec::new(),
            counters: Counters::default(),
            setup,
        };
        replica.restore_identity(recovered.owner);
        replica.send_heartbeats();
        replica.advance();
        replica.report_members();
        let effects = std::mem::take(&mut replica.effects);
        (replica, effects)
    }

    /// Keeps the identity of the disk if it was used at this address; otherwise uses a new one.
    fn restore_identity(&mut self, owner: Option<DiskOwner>) {
        let address = self.setup.address;
        match owner {
            Some(DiskOwner {
                identity,
                address: disk_address,
            }) if disk_address == address => {
                self.identity = identity;
                let was_head = self
                    .view
                    .as_ref()
                    .is_some_and(|view| view.head() == Some(identity));
                self.epoch_change_required =
                    was_head && !bug_injected!(self.bug_injection, RestartedHeadServes);
            }
            Some(_) => {
                self.acceptor = AcceptorState::default();
                self.persist_acceptor_records(vec![self.identity_record()], Vec::new());
            }
            None => self.start_on_empty_disk(),
        }
    }

    /// Starts without records: a seed at the first start installs the first view; any other node uses a new identity
    /// and waits to join.
    fn start_on_empty_disk(&mut self) {
        let address = self.setup.address;
        let is_seed = self.setup.seeds.contains(&address);
        if bug_injected!(self.bug_injection, VoteAfterDiskLoss) && is_seed {
            self.identity = Identity::of_first_start(address);
        }
        let first_start =
            self.setup.first_start || bug_injected!(self.bug_injection, FirstStartAssumed);
        if !(first_start && is_seed) {
            self.persist_acceptor_records(vec![self.identity_record()], Vec::new());
            return;
        }
        self.identity = Identity::of_first_start(address);
        let view = View::first(&self.setup.seeds);
        let epoch = view.epoch;
        self.view = Some(view.clone());
        let records = vec![self.identity_record(), DurableRecord::View(view)];
        self.persist_acceptor_records(records, vec![AfterAcceptorWrite::ViewDurable { epoch }]);
    }

    fn identity_record(&self) -> DurableRecord {
        DurableRecord::Identity {
            identity: self.identity,
            address: self.setup.address,
        }
    }

    /// See [`Replica::snapshot`].
    pub(super) fn durable_records(&self) -> Vec<DurableRecord> {
        let mut records = vec![self.identity_record()];
        if let Some(view) = &self.view {
            records.push(DurableRecord::View(view.clone()));
            records.extend(self.acceptor.records(view.epoch));
        }
        records.push(self.durable_state.record());
        altered_by_bug!(self.bug_injection, altered_snapshot, records)
    }
}

fn recovered_owner(records: &[DurableRecord]) -> Option<DiskOwner> {
    records.iter().rev().find_map(|record| match record {
        DurableRecord::Identity { identity, address } => Some(DiskOwner {
            identity: *identity,
            address: *address,
        }),
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

/// The acceptor's state in this epoch; records of other epochs are ignored.
fn recovered_acceptor(records: &[DurableRecord], current_epoch: u64) -> AcceptorState {
    let mut acceptor = AcceptorState::default();
    for record in records {
        match record {
            DurableRecord::Promise { epoch, .. }
            | DurableRecord::Accept { epoch, .. }
            | DurableRecord::Seal { epoch }
                if *epoch == current_epoch =>
            {
                acceptor.recover(record);
            }
            _ => {}
        }
    }
    acceptor
}

fn recovered_state(records: Vec<DurableRecord>) -> DurableState {
    let mut durable_state = DurableState::default();
    for record in records {
        durable_state.recover(record);
    }
    durable_state
}
