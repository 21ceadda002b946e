//! One control node: the events it takes and the effects it asks for.

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
