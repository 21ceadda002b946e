//! A simulated deployment: all machines, the network and the operators, in virtual time.
//!
//! [`Cluster`] owns everything that is simulated. This module has its state and its clock; other modules add to it what
//! processes do (`processes`), calls of operators (`calls`), faults (`fault_actions`, `fault_injection`, `disk_losses`),
//! checks (`invariant_checks`, `recovery`) and what a test reads of it (`observation`).
//!
//! Everything random comes from two generators seeded by the run's seed: one for the faults of the present step, one for all
//! else. The same options therefore play the same run.

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

/// The operator's bound for an acknowledgement, as given to the replicas.
pub(crate) const ACKNOWLEDGE_MS: Millis = 4000;
/// The bound for a new node to become a full member, as given to the replicas.
pub(crate) const CATCH_UP_MS: Millis = 4000;
/// When the processes of a first start begin, each at a time of its own.
const FIRST_START_MS: Range<Millis> = 1..300;
/// Operators that call at the same time.
const OPERATOR_COUNT: usize = 3;

/// A simulated deployment.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) options: SimulationOptions,
    /// Virtual time.
    pub(crate) now: Millis,
    /// Draws everything but faults.
    pub(crate) random: ChaCha8Rng,
    /// Draws the fault of the present step.
    pub(crate) fault_random: ChaCha8Rng,
    pub(crate) network: Network,
    /// All machines that ever were, by their number.
    pub(crate) nodes: Vec<Node>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) violations: ViolationLog,
    pub(crate) model: ReferenceModel,
    pub(crate) invariants: ProtocolInvariants,
    /// An armed fault that waits for a step of the protocol.
    pub(crate) targeted_fault: Option<TargetedFault>,
    /// Calls that are delayed on their way.
    pub(crate) delayed_calls: Vec<DelayedCall>,
    /// When a majority of the voters last wasn't healthy.
    pub(crate) majority_unhealthy_at: Millis,
    /// Removed machines whose votes may be left.
    pub(crate) replacements: Vec<Replacement>,
    pub(crate) next_request: u64,
    /// The single request of [`Cluster::request_within`], and its reply.
    pub(crate) pending_request: Option<(RequestTicket, Option<Reply>)>,
    /// Draws the faults of the steps.
    pub(crate) fault_schedule: FaultSchedule,
    pub(crate) outcome: Outcome,
}

impl Cluster {
    /// A first start of all nodes within 0.3 s.
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

    /// Voters that may be lost at once.
    pub fn tolerated_losses(&self) -> usize {
        (self.options.replicas.saturating_sub(1) / 2).min(2)
    }

    /// What may be lost as a whole in place of single voters.
    pub fn tolerated_domains(&self) -> ToleratedDomains {
        ToleratedDomains {
            zones: usize::from(self.options.loses_zones()),
            regions: 0,
        }
    }

    /// The result.
    pub fn into_outcome(self) -> Outcome {
        let epochs = self
            .nodes
            .iter()
            .filter_map(|node| node.replica.as_ref()?.view())
            .map(|view| view.epoch);
        Outcome {
            epochs: epochs.max().unwrap_or(0),
            acknowledged: self.model.acknowledged,
            violations: self.violations.into_vec(),
            messages: self.network.sent,
            ..self.outcome
        }
    }

    /// Runs until this virtual time.
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
