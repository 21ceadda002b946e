//! Simulated deployment: all machines, the network and the operators, in virtual time.
//!
//! [`Cluster`] owns the whole simulated state. This module contains its fields and the event loop; other modules implement
//! the processes (`processes`), calls of operators (`calls`), faults (`fault_actions`, `fault_injection`, `disk_losses`,
//! `message_races`), checks (`invariant_checks`, `recovery`) and accessors for tests (`observation`).
//!
//! All random draws come from two generators seeded with the run's seed: one for the fault of the present step, one for all
//! else. The same options therefore reproduce the same run.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    ops::Range,
};

use lockusher_control::{Event, Millis, Reply, RequestTicket, ToleratedDomains};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    fault_schedule::FaultSchedule,
    invariants::ProtocolInvariants,
    network::{Delivery, Network},
    node::Node,
    operator::{DelayedCall, Operator},
    options::SimulationOptions,
    outcome::Outcome,
    reference_model::ReferenceModel,
    replacement::Replacement,
    targeted_faults::TargetedFault,
    violation::ViolationLog,
};

/// Bound for an acknowledgement, as configured in the replicas.
pub(crate) const ACKNOWLEDGE_MS: Millis = 4000;
/// Bound for a new node to become a full member, as configured in the replicas.
pub(crate) const CATCH_UP_MS: Millis = 4000;
/// Range of the processes' start times at the first start of the deployment.
const FIRST_START_MS: Range<Millis> = 1..300;
/// Number of concurrent operators.
const OPERATOR_COUNT: usize = 3;

/// A simulated deployment.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) options: SimulationOptions,
    /// Virtual time.
    pub(crate) now: Millis,
    /// Generator of all draws except those of faults.
    pub(crate) random: ChaCha8Rng,
    /// Generator of the draws for the fault of the present step.
    pub(crate) fault_random: ChaCha8Rng,
    pub(crate) network: Network,
    /// All machines, indexed by their number, including removed ones.
    pub(crate) nodes: Vec<Node>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) violations: ViolationLog,
    pub(crate) model: ReferenceModel,
    pub(crate) invariants: ProtocolInvariants,
    /// An armed fault that waits for its protocol step.
    pub(crate) targeted_fault: Option<TargetedFault>,
    /// Duplicates of calls that have not been delivered yet.
    pub(crate) delayed_calls: Vec<DelayedCall>,
    /// When the voters last had no healthy majority.
    pub(crate) majority_unhealthy_at: Millis,
    /// Removed machines that may still be voters, with their successors.
    pub(crate) replacements: Vec<Replacement>,
    /// Number of the latest request.
    pub(crate) next_request: u64,
    /// The latest request of [`Cluster::request_within`], and its reply once that has arrived.
    pub(crate) pending_request: Option<(RequestTicket, Option<Reply>)>,
    /// Draws the fault of each step.
    pub(crate) fault_schedule: FaultSchedule,
    pub(crate) outcome: Outcome,
}

impl Cluster {
    /// Creates a cluster whose nodes all start for the first time within 0.3 s.
    pub fn new(options: SimulationOptions) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let fault_schedule = FaultSchedule::new(options.seed, &mut random);
        let nodes = (0..options.replicas)
            .map(|number| Node {
                zone: options.zone_of(number),
                ..Node::new(address(number), true, random.random_range(FIRST_START_MS))
            })
            .collect();
        Self {
            options,
            now: 0,
            fault_random: ChaCha8Rng::seed_from_u64(options.seed),
            random,
            network: Network::with_link_bandwidth(options.link_bytes_per_ms),
            nodes,
            operators: (0..OPERATOR_COUNT).map(Operator::new).collect(),
            violations: ViolationLog::default(),
            model: ReferenceModel::default(),
            invariants: ProtocolInvariants::default(),
            targeted_fault: None,
            delayed_calls: Vec::new(),
            majority_unhealthy_at: 0,
            replacements: Vec::new(),
            next_request: 0,
            pending_request: None,
            fault_schedule,
            outcome: Outcome::default(),
        }
    }

    /// Number of voters that may be lost at the same time.
    pub fn tolerated_losses(&self) -> usize {
        (self.options.replicas.saturating_sub(1) / 2).min(2)
    }

    /// Zones and regions that may be lost at the same time, instead of single voters.
    pub fn tolerated_domains(&self) -> ToleratedDomains {
        ToleratedDomains {
            zones: usize::from(self.options.loses_zones()),
            regions: 0,
        }
    }

    /// Ends the run and returns its result.
    pub fn into_outcome(self) -> Outcome {
        let epochs = self
            .nodes
            .iter()
            .filter_map(|node| node.replica.as_ref()?.view())
            .map(|view| view.epoch);
        Outcome {
            highest_epoch: epochs.max().unwrap_or(0),
            acknowledged: self.model.acknowledged,
            violations: self.violations.into_vec(),
            messages: self.network.sent,
            ..self.outcome
        }
    }

    /// Processes all events up to this virtual time.
    pub fn advance(&mut self, until: Millis) {
        while let Some(next) = self.next_time().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            self.deliver_messages();
            self.deliver_delayed_calls();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
        }
        self.now = until;
    }

    /// Time of the next event: a start, a tick, a completed write, a delayed call or the arrival of a message.
    fn next_time(&self) -> Option<Millis> {
        let nodes = self.nodes.iter().flat_map(|node| {
            let start = node.start_at.filter(|_| node.replica.is_none());
            let tick = node
                .replica
                .is_some()
                .then(|| node.next_tick.max(node.frozen_until));
            let disk = node.disk.next_due().filter(|_| node.replica.is_some());
            [start, tick, disk.map(|due| due.max(node.frozen_until))]
                .into_iter()
                .flatten()
        });
        let delayed = self.delayed_calls.iter().map(|call| call.due);
        nodes.chain(delayed).chain(self.network.next_due()).min()
    }

    /// Delivers the messages that are due: to a frozen process once it runs again, and not at all to one that is down.
    fn deliver_messages(&mut self) {
        while let Some(arrival) = self.network.take_due(self.now) {
            let Some(Delivery { from, to, message }) = arrival else {
                continue;
            };
            let Some(node) = self.nodes.iter().position(|node| node.address == to) else {
                continue;
            };
            let resumes_at = self.nodes[node].frozen_until;
            if self.nodes[node].runs(self.now) {
                self.handle_event(node, Event::Message { from, message });
            } else if resumes_at > self.now {
                self.network
                    .schedule(Delivery { from, to, message }, resumes_at);
            }
        }
    }
}

/// Address of the machine with this number.
pub(crate) fn address(number: usize) -> SocketAddrV4 {
    let number = u8::try_from(number % 200).unwrap_or(0);
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number + 1), 7000)
}
