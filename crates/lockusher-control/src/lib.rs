//! Replicated control state: agreement on views, chain replication, storage, leases.
//!
//! [`Replica`] is the pure state machine of one control node. It has no I/O, no clock and no threads: a driver feeds it
//! [`Event`]s together with the monotonic time, and carries out the [`Effect`]s it returns. The voters of each epoch
//! agree on its successor's [`View`] by single-decree Paxos; the members of a view replicate the configuration along
//! their chain. The protocol is described in `docs/system.md`, section "Control state".

pub mod acceptor;
mod acceptor_log;
pub mod chain_role;
pub mod document;
pub mod driver;
pub mod durable_record;
mod durable_state;
pub mod envelope;
mod failure_detector;
pub mod locality;
pub mod message;
pub mod position;
pub mod proposal;
pub mod proposer;
pub mod replica;
pub mod request;
pub mod serve;
pub mod stage_assignment_lease;
pub mod stage_scheduler;
pub mod state;
pub mod time;
mod timing;
pub mod view;
pub mod view_change;
pub mod voter_spread;

pub use document::{ConfigurationDocument, Digest};
pub use durable_record::{DurableRecord, PersistTicket};
#[cfg(feature = "injected-bugs")]
pub use durable_state::DurableState;
pub use envelope::{Envelope, EnvelopeError, PROTOCOL};
pub use locality::{Locality, ToleratedDomains};
pub use message::Message;
pub use position::Position;
pub use proposal::{AcceptedView, ProposalNumber};
#[cfg(feature = "injected-bugs")]
pub use replica::InjectedBug;
pub use replica::{Counters, DiskComparison, Effect, Event, Replica, ReplicaSetup};
pub use request::{Reply, Request, RequestTicket};
pub use state::ReplicatedState;
pub use time::Millis;
pub use view::{Identity, Member, View};
