//! State machine of one control node: it handles events and returns effects.
//!
//! The state and the dispatch of events are in `state_machine`. Each of the other modules adds the methods of one
//! concern:
//!
//! - messages: `dispatch` (received), `sending` (sent), `heartbeats`;
//! - views: `membership` (this node's role in the newest one), `change_planning` and `proposing` (as proposer, with the
//!   state in `view_proposal`), `voting` (as acceptor), `joining` (transfer to new members), `view_installation`;
//! - replication: `appends` and `transfers` (as a member of the chain), `synchronisation`, `replication`, `progress`
//!   and `learners` (as its head, with the state in `head`), `commit` (tracking of the committed state), `repair`;
//! - requests: `forwarding` (at the receiving node), `service` (at the head), with the state in `request_queue`;
//!   `confirmation` of the head's epoch, with the state in `epoch_confirmation`;
//! - the disk: `persistence` (writes), `recovery` (start);
//! - `status`: what the node reports about itself;
//! - `bug_injection`, with `injected_bug` and `bug_alterations`: hooks for tests, never compiled into production
//!   builds.

mod appends;
#[cfg(feature = "injected-bugs")]
mod bug_alterations;
mod bug_injection;
mod change_planning;
mod commit;
mod confirmation;
mod counters;
mod dispatch;
mod effect;
mod epoch_confirmation;
mod event;
mod forwarding;
mod head;
mod heartbeats;
#[cfg(feature = "injected-bugs")]
mod injected_bug;
mod joining;
mod learners;
mod membership;
mod persistence;
mod progress;
mod proposing;
mod recovery;
mod repair;
mod replication;
mod request_queue;
mod sending;
mod service;
mod setup;
mod state_machine;
mod status;
mod synchronisation;
mod transfers;
mod view_installation;
mod view_proposal;
mod voting;

pub use counters::Counters;
pub use effect::Effect;
pub use event::Event;
#[cfg(feature = "injected-bugs")]
pub use injected_bug::InjectedBug;
pub use repair::DiskComparison;
pub use setup::ReplicaSetup;
pub use state_machine::Replica;
pub use status::VoterContact;
