//! The driver of one control node: the I/O with peers, operator, subscribers and disk, and the clock.
//!
//! The replica ([`crate::replica::Replica`]) and the stage scheduler ([`crate::stage_scheduler`]) make decisions
//! without I/O. The modules here own the sockets, the disk and the clock, pass events to them and execute their
//! decisions. [`crate::serve`] creates them and starts their tasks. Logic of the driver's own is kept in modules
//! without I/O: `instance_list_revision`, `operator_error`, `send_queue`, `stage_change_order` and
//! `stage_switch_overlay`.

pub mod announcement;
pub mod change_request;
pub mod disk;
pub mod instance_list_polling;
pub mod instance_list_publisher;
pub mod instance_list_revision;
pub mod operator_api;
pub mod operator_error;
pub mod peer_links;
pub mod peer_listener;
pub mod replica_driver;
pub mod send_queue;
pub mod service_log;
pub mod stage_assignment;
pub mod stage_change_order;
pub mod stage_log;
pub mod stage_switch_overlay;
pub mod status;
